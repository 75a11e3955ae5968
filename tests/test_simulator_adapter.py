import io
import json
import unittest
from typing import Any
from unittest import mock

from landingshift.drill.adapter import main

SETTINGS: dict[str, Any] = {
    "classes": [{"effect": "retryable", "give-up": 3000.0, "slo": 1000.0, "value": 1.0, "new-key": 1}],
    "extra": {"n-cores": 2, "memory-kb": 9000.0, "run-factor": 8.0, "passes-deadline": True},
    "rules": {
        "cold-from": 0.2,
        "cold": 9000.0,
        "answer-slack": 50.0,
        "drain-grace": 900.0,
        "tip-multiple": 8.0,
    },
}
START = ["Configure", 3, 7, SETTINGS]
READ = ["Ingress", 3, "aa", None, 500.0, 1.0, 20.0, 0, 0, None, None, 0.5, None, 0]


def exchange(*lines: Any) -> tuple[int, list[Any], str]:
    text = "\n".join(line if isinstance(line, str) else json.dumps(line) for line in lines) + "\n"
    out, errors = io.BytesIO(), io.StringIO()
    code = main(io.BytesIO(text.encode()), out, errors)
    return code, [json.loads(v) for v in out.getvalue().splitlines()], errors.getvalue()


class Wire(unittest.TestCase):
    def test_exchange(self) -> None:
        code, out, errors = exchange(
            ["Batch", 10.0, 1], START, ["End"], ["Batch", 14.0, 2], READ, ["End"],
            ["Batch", 18.5, 3], ["Result", 3, "aa", "served", 4.5], ["Hangup", 3, "aa"], ["End"],
            ["Batch", 20.0, 4], ["Destroy", 3], ["End"],
        )  # fmt: skip
        self.assertEqual((code, errors), (0, ""))
        self.assertIn(["SetHealth", 3, True, True], out)
        self.assertIn(["Execute", 3, "aa"], out)
        self.assertEqual([v for v in out if v[0] == "Yield"], [["Yield", n] for n in (1, 2, 3, 4)])

    def test_an_exception_in_the_module_is_reported(self) -> None:
        with mock.patch(
            "landingshift.admission.controller.AdmissionController.settle", side_effect=ValueError("odd")
        ):
            _, out, _ = exchange(["Batch", 10.0, 1], START, ["End"], ["Batch", 14.0, 2], READ, ["End"])
        told = [v for v in out if v[0] == "GiveIn"]
        self.assertEqual([v[1] for v in told], [3])
        self.assertIn("odd", told[0][2])

    def test_malformed(self) -> None:
        batch = ["Batch", 10.0, 1]
        for lines, word in [
            (["{"], "line 1"),
            ([batch, ["Nonsense", 3]], "unknown event"),
            ([batch, READ], "not configured"),
            ([batch, START, [*READ[:7], "x", 9, *READ[9:]]], "line 3"),
            ([batch, START, ["Result", 3, "aa", "odd", 1.0]], "outcome"),
            ([batch, ["Configure", 3, 7, {}]], "settings"),
            ([["End"]], "outside a batch"),
            ([batch], "inside a batch"),
        ]:
            with self.subTest(word=word):
                code, _, errors = exchange(*lines)
                self.assertNotEqual(code, 0)
                self.assertIn(word, errors)


if __name__ == "__main__":
    unittest.main()
