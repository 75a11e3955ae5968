"""The ledger in a running server: what is billed is what gateways got."""

import tempfile
import time
import unittest
from typing import Any

from landingshift.ledger.entries import Use
from landingshift.ledger.store import Store
from tests.helpers import Gateway, World, launch

TOML = """
[ledger]
folder = "{folder}/ledger"
instance = "n3"
commit_ms = 5
lock_wait_ms = 2000
"""


def store(w: World) -> Store:
    return Store(w.folder.name + "/ledger", "n3", "UTC", "month", 900_000, 100_000)


def billed(w: World) -> dict[tuple[bytes, bytes], int]:
    s = store(w)
    found: dict[tuple[bytes, bytes], int] = {}
    for (period,) in s.db.execute("SELECT period FROM sums").fetchall():
        for _, tenant, method, uses, *_ in s.totals(period):
            found[tenant, method] = found.get((tenant, method), 0) + uses
    s.close()
    return found


def disputed(w: World) -> list[Use]:
    s = store(w)
    found = [use for _, use in s.disputed()]
    s.close()
    return found


def leave(w: World) -> None:
    w.process.terminate()
    w.logged("stopped")
    w.process.wait(5)


def serve(w: World, g: Gateway, method: str = "m", **fields: Any) -> Any:
    n = g.rpc(method, **fields)
    w.engine.expect("RUN", g.id)
    w.engine.say("DONE", w.ids, g.id, "good 12.5", body=b"r" * 30)
    return n


def once(case: unittest.TestCase, point: str) -> dict[str, str]:
    folder = tempfile.TemporaryDirectory()
    case.addCleanup(folder.cleanup)
    return {"LANDINGSHIFT_CRASH": point, "LANDINGSHIFT_CRASH_ONCE": folder.name + "/crashed"}


class Billing(unittest.TestCase):
    def test_only_ok_answers_are_billed_once_each(self) -> None:
        for durable in ("before_answer", "after_answer"):
            with self.subTest(durable=durable):
                w = World(self, toml=TOML + f'durable = "{durable}"\n')
                g = Gateway(w)
                for i in range(3):
                    n = serve(w, g, body=b"route %d" % i)
                    self.assertEqual(g.answer(), (n, b"r" * 30))
                n = serve(w, g, body=b"route 1")  # a repeated attempt: its first was answered ok
                self.assertEqual(g.answer(), (n, b"r" * 30))
                n = g.rpc(body=b"fails")
                w.engine.expect("RUN", g.id)
                w.engine.say("DONE 9", g.id, "bad 5", body=b"")
                self.assertEqual(g.answer(), (n, "Failed"))
                n = g.rpc("nothing")
                self.assertEqual(g.answer(), (n, "Busy"))
                leave(w)
                self.assertEqual(billed(w), {(b"t", b"m"): 3})
                self.assertEqual(disputed(w), [])

    def test_an_answer_that_cannot_leave_is_no_use(self) -> None:
        w = World(self, toml=TOML)
        g, h = Gateway(w), Gateway(w)
        g.rpc(body=b"given up")
        w.engine.expect("RUN", g.id)
        g.send(b"\x93\x02\xa6giveUp\x91\x01")
        n = serve(w, h, body=b"good")
        self.assertEqual(h.answer(), (n, b"r" * 30))
        w.ids += 1
        w.engine.say("DONE", w.ids, f"{1:016x}", "good 1", body=b"x")
        n = serve(w, h, body=b"good too")
        self.assertEqual(h.answer(), (n, b"r" * 30))
        leave(w)
        self.assertEqual(billed(w), {(b"t", b"m"): 2})

    def test_after_a_kill_what_was_not_known_to_arrive_is_disputed(self) -> None:
        for point, billable in (("ledger.push:2", 0), ("ledger.answering:2", 0)):
            with self.subTest(point=point):
                w = World(self, toml=TOML, env={"LANDINGSHIFT_CRASH": point})
                g = Gateway(w)
                serve(w, g, body=b"one")
                got = 0
                try:
                    g.answer()
                    got = 1
                    serve(w, g, body=b"two")
                    g.answer()
                    got = 2
                except (EOFError, ConnectionResetError, BrokenPipeError):
                    pass
                w.process.wait(5)
                w.env.pop("LANDINGSHIFT_CRASH")
                w.doors()
                w.start(w.config({}, {}))
                leave(w)
                total = sum(billed(w).values())
                self.assertLessEqual(total, got)
                self.assertLessEqual(got, total + len(disputed(w)))
                self.assertGreaterEqual(total, billable)

    def test_a_store_held_by_another_server_is_refused_at_the_start(self) -> None:
        w = World(self, toml=TOML.replace("2000", "100"))
        process = launch(w.folder.name, w.config({}, {}), w.env)
        out = process.communicate(timeout=20)
        self.assertEqual(process.returncode, 2, out)
        self.assertIn("held by another server", out[1])
        self.assertIn("[ledger] folder", out[1])

    def test_a_store_process_that_dies_comes_back_and_nothing_is_lost(self) -> None:
        # Killed before the commit, after it, and before it could say so.
        for point in ("ledger.appended:2", "ledger.committed:4", "ledger.acking:2"):
            with self.subTest(point=point):
                w = World(self, toml=TOML, env=once(self, point))
                g = Gateway(w)
                for i in range(4):
                    n = serve(w, g, body=b"route %d" % i)
                    self.assertEqual(g.answer(), (n, b"r" * 30))
                leave(w)
                self.assertIn("ledger_store_gone", [line["event"] for line in w.lines])
                self.assertEqual(billed(w), {(b"t", b"m"): 4})
                self.assertEqual(disputed(w), [])

    def test_a_slow_store_holds_no_answer_past_its_deadline(self) -> None:
        w = World(self, toml=TOML, env={"LANDINGSHIFT_SLOW": "ledger.commit:900"})
        g = Gateway(w)
        begun = time.monotonic()
        n = serve(w, g, body=b"slow", wait="400")
        self.assertEqual(g.answer(), (n, b"r" * 30))
        self.assertLess(time.monotonic() - begun, 0.4)


if __name__ == "__main__":
    unittest.main()
