"""Tests the simulator's adapter, from input lines to output lines."""

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


def exchange(*messages: Any) -> tuple[int, list[Any], str]:
    """Sends messages to an adapter and returns its exit status, its replies and its error output.

    Args:
        messages: Messages, encoded to JSON unless they are strings, which are sent unchanged as lines.
    """
    lines = [message if isinstance(message, str) else json.dumps(message) for message in messages]
    replies, errors = io.BytesIO(), io.StringIO()
    status = main(io.BytesIO("\n".join([*lines, ""]).encode()), replies, errors)
    return status, [json.loads(line) for line in replies.getvalue().splitlines()], errors.getvalue()


class Exchanges(unittest.TestCase):
    def test_answers_each_batch_with_the_actions_and_its_number(self) -> None:
        status, replies, errors = exchange(
            ["Batch", 10.0, 1], START, ["End"], ["Batch", 14.0, 2], READ, ["End"],
            ["Batch", 18.5, 3], ["Result", 3, "aa", "served", 4.5], ["Hangup", 3, "aa"], ["End"],
            ["Batch", 20.0, 4], ["Destroy", 3], ["End"],
        )  # fmt: skip
        self.assertEqual((status, errors), (0, ""))
        self.assertIn(["SetHealth", 3, True, True], replies)
        self.assertIn(["Execute", 3, "aa"], replies)
        yields = [reply for reply in replies if reply[0] == "Yield"]
        self.assertEqual(yields, [["Yield", number] for number in (1, 2, 3, 4)])

    def test_reports_an_exception_in_the_controller_with_its_instance(self) -> None:
        settle = "landingshift.admission.controller.AdmissionController.settle"
        with mock.patch(settle, side_effect=ValueError("injected error")):
            _, replies, _ = exchange(["Batch", 10.0, 1], START, ["End"], ["Batch", 14.0, 2], READ, ["End"])
        failures = [reply for reply in replies if reply[0] == "GiveIn"]
        self.assertEqual([failure[1] for failure in failures], [3])
        self.assertIn("injected error", failures[0][2])

    def test_exits_at_a_malformed_message_and_reports_its_line_and_error(self) -> None:
        batch = ["Batch", 10.0, 1]
        for messages, error_text in [
            (["{"], "line 1"),
            (["[]"], "line 1: a message is an array that begins with its name: b'[]\\n'"),
            ([batch, batch], "a batch begins before the last one ended"),
            ([["Batch", "x", 1]], "Batch takes a clock and a number"),
            ([batch, ["Nonsense", 3]], "unknown event"),
            ([batch, ["Result", "x"]], "Result names no instance"),
            ([batch, READ], "not configured"),
            ([batch, START, [*READ[:7], "x", 9, *READ[9:]]], "line 3"),
            ([batch, START, [*READ[:8], 4, *READ[9:]]], "Ingress of unknown type 4"),
            ([batch, START, ["Result", 3, "aa", "odd", 1.0]], "outcome"),
            ([batch, START, ["Quiesce", 3, "x"]], "Quiesce takes a time"),
            ([batch, START, ["Hangup", 3, 4]], "Hangup takes the id of an RPC"),
            ([batch, ["Configure", 3]], "Configure takes a seed and settings"),
            ([batch, ["Configure", 3, 7, {}]], "settings: BadSetting extra: missing"),
            ([["End"]], "outside a batch"),
            ([batch], "inside a batch"),
        ]:
            with self.subTest(error_text=error_text):
                status, _, errors = exchange(*messages)
                self.assertNotEqual(status, 0)
                self.assertIn(error_text, errors)


if __name__ == "__main__":
    unittest.main()
