"""The ledger in a running server: what is billed is what gateways got."""

import contextlib
import tempfile
import time
import unittest
from typing import Any

from landingshift.ledger.entries import Use
from landingshift.ledger.store import Store
from tests.helpers import GatewayClient, ProgramUnderTest, launch_program

TOML = """
[ledger]
folder = "{folder}/ledger"
instance = "n3"
commit_ms = 5
lock_wait_ms = 2000
"""


def store(w: ProgramUnderTest) -> Store:
    return Store(w.folder.name + "/ledger", "n3", "UTC", "month", 900_000, 100_000)


def billed(w: ProgramUnderTest) -> dict[tuple[bytes, bytes], int]:
    s = store(w)
    found: dict[tuple[bytes, bytes], int] = {}
    for (period,) in s.db.execute("SELECT period FROM sums").fetchall():
        for _, tenant, method, uses, *_ in s.totals(period):
            found[tenant, method] = found.get((tenant, method), 0) + uses
    s.close()
    return found


def disputed(w: ProgramUnderTest) -> list[Use]:
    s = store(w)
    found = [use for _, use in s.disputed()]
    s.close()
    return found


def leave(w: ProgramUnderTest) -> None:
    w.process.terminate()
    w.wait_for_log("stopped")
    w.process.wait(5)


def serve(w: ProgramUnderTest, g: GatewayClient, method: str = "m", **fields: Any) -> Any:
    n = g.send_rpc(method, **fields)
    w.engine.expect_command("RUN", g.last_rpc_id)
    w.engine.send_notice("DONE", w.rpc_count, g.last_rpc_id, "good 12.5", body=b"r" * 30)
    return n


def once(case: unittest.TestCase, point: str) -> dict[str, str]:
    folder = tempfile.TemporaryDirectory()
    case.addCleanup(folder.cleanup)
    return {"LANDINGSHIFT_CRASH": point, "LANDINGSHIFT_CRASH_ONCE": folder.name + "/crashed"}


class Billing(unittest.TestCase):
    def test_only_ok_answers_are_billed_once_each(self) -> None:
        for durable in ("before_answer", "after_answer"):
            with self.subTest(durable=durable):
                w = ProgramUnderTest(self, toml=TOML + f'durable = "{durable}"\n')
                g = GatewayClient(w)
                for i in range(3):
                    n = serve(w, g, body=b"route %d" % i)
                    self.assertEqual(g.read_answer(), (n, b"r" * 30))
                n = serve(w, g, body=b"route 1")  # a repeated attempt: its first was answered ok
                self.assertEqual(g.read_answer(), (n, b"r" * 30))
                n = g.send_rpc(body=b"fails")
                w.engine.expect_command("RUN", g.last_rpc_id)
                w.engine.send_notice("DONE 9", g.last_rpc_id, "bad 5", body=b"")
                self.assertEqual(g.read_answer(), (n, "Failed"))
                n = g.send_rpc("nothing")
                self.assertEqual(g.read_answer(), (n, "Busy"))
                leave(w)
                self.assertEqual(billed(w), {(b"t", b"m"): 3})
                self.assertEqual(disputed(w), [])

    def test_an_answer_that_cannot_leave_is_no_use(self) -> None:
        w = ProgramUnderTest(self, toml=TOML)
        g, h = GatewayClient(w), GatewayClient(w)
        g.send_rpc(body=b"given up")
        w.engine.expect_command("RUN", g.last_rpc_id)
        g.send(b"\x93\x02\xa6giveUp\x91\x01")
        n = serve(w, h, body=b"good")
        self.assertEqual(h.read_answer(), (n, b"r" * 30))
        w.rpc_count += 1
        w.engine.send_notice("DONE", w.rpc_count, f"{1:016x}", "good 1", body=b"x")
        n = serve(w, h, body=b"good too")
        self.assertEqual(h.read_answer(), (n, b"r" * 30))
        leave(w)
        self.assertEqual(billed(w), {(b"t", b"m"): 2})

    def test_after_a_kill_what_was_not_known_to_arrive_is_disputed(self) -> None:
        for point, billable in (("ledger.push:2", 0), ("ledger.answering:2", 0)):
            with self.subTest(point=point):
                w = ProgramUnderTest(self, toml=TOML, env={"LANDINGSHIFT_CRASH": point})
                g = GatewayClient(w)
                serve(w, g, body=b"one")
                got = 0
                try:
                    g.read_answer()
                    got = 1
                    serve(w, g, body=b"two")
                    g.read_answer()
                    got = 2
                except (EOFError, ConnectionResetError, BrokenPipeError):
                    pass
                w.process.wait(5)
                w.env.pop("LANDINGSHIFT_CRASH")
                w.open_listeners()
                w.start(w.make_config({}, {}))
                leave(w)
                total = sum(billed(w).values())
                self.assertLessEqual(total, got)
                self.assertLessEqual(got, total + len(disputed(w)))
                self.assertGreaterEqual(total, billable)

    def test_a_store_held_by_another_server_is_refused_at_the_start(self) -> None:
        w = ProgramUnderTest(self, toml=TOML.replace("2000", "100"))
        process = launch_program(w.folder.name, w.make_config({}, {}), w.env)
        out = process.communicate(timeout=20)
        self.assertEqual(process.returncode, 2, out)
        self.assertIn("held by another server", out[1])
        self.assertIn("[ledger] folder", out[1])

    def test_a_store_process_that_dies_comes_back_and_nothing_is_lost(self) -> None:
        # Killed before the commit, after it, and before it could say so.
        for point in ("ledger.appended:2", "ledger.committed:4", "ledger.acking:2"):
            with self.subTest(point=point):
                w = ProgramUnderTest(self, toml=TOML, env=once(self, point))
                g = GatewayClient(w)
                for i in range(4):
                    n = serve(w, g, body=b"route %d" % i)
                    self.assertEqual(g.read_answer(), (n, b"r" * 30))
                leave(w)
                self.assertIn("ledger_store_gone", [line["event"] for line in w.log_entries])
                self.assertEqual(billed(w), {(b"t", b"m"): 4})
                self.assertEqual(disputed(w), [])

    def test_a_drain_does_not_wait_for_a_store_that_hangs(self) -> None:
        # All that was read is answered before the stop, and the notice shortens what an answer may wait.
        w = ProgramUnderTest(self, toml=TOML, env={"LANDINGSHIFT_SLOW": "ledger.take:3000"})
        g = GatewayClient(w)
        n = serve(w, g, body=b"slow")
        time.sleep(0.1)
        w.process.terminate()
        begun = time.monotonic()
        said = [m for m in (g.read_message(), g.read_message()) if m[0] == 1]  # the other asks it to go
        self.assertEqual([(m[1], m[3][0]) for m in said], [(n, b"r" * 30)])
        self.assertLess(time.monotonic() - begun, 1.4)  # stop_ms is 1500
        self.assertEqual(w.wait_for_log("mode")["text"][:15], "draining: 1500 ")

    def test_results_that_wait_for_a_commit_are_bounded(self) -> None:
        # 64 KB of uses let four times that of results wait; 90 of 4 KB are more, and the rest goes at once.
        w = ProgramUnderTest(
            self, toml=TOML + "queue_kb = 64\n", env={"LANDINGSHIFT_SLOW": "ledger.take:1500"}
        )
        gateways = [GatewayClient(w) for _ in range(3)]
        for i in range(90):
            gateways[i % 3].send_rpc(body=b"%d" % i)
        for i in range(90):
            rid = w.engine.next_command()[0][1]
            w.engine.send_notice("DONE", i + 1, rid, "good 1", body=bytes(4000))
        time.sleep(0.5)
        early = 0
        for g in gateways:
            g.sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    g.unpacker.feed(g.sock.recv(65536))
            early += sum(1 for _ in g.unpacker)
        self.assertTrue(20 <= early <= 45, early)

    def test_a_slow_store_holds_no_answer_past_its_deadline(self) -> None:
        w = ProgramUnderTest(self, toml=TOML, env={"LANDINGSHIFT_SLOW": "ledger.take:900"})
        g = GatewayClient(w)
        begun = time.monotonic()
        n = serve(w, g, body=b"slow", wait="400")
        self.assertEqual(g.read_answer(), (n, b"r" * 30))
        self.assertLess(time.monotonic() - begun, 0.4)


if __name__ == "__main__":
    unittest.main()
