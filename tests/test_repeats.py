"""A repeat of an RPC against whatever its first try is going through."""

import time
import unittest
from typing import Any

from landingshift.admission.interface import Idempotency, Method, Outcome
from landingshift.net.routing.dedup import ENTRY_BYTES, DedupTable
from landingshift.net.routing.rpc_record import RoutedRpc
from tests.helpers import (
    METHOD,
    SETTINGS,
    AdmissionBench,
    EngineStandIn,
    GatewayClient,
    ProgramUnderTest,
    wait_until,
)
from tests.test_server import verify

TOKENED = Method(Idempotency.KEYED, 1000.0, 0.0, 3000.0, 1.0, 0.0, 500.0, False, 0.0)


def routed(name: str, method: Method = TOKENED) -> RoutedRpc:
    return RoutedRpc(
        method=method,
        tenant=None,
        remaining_ms=None,
        waited_ms=0.0,
        memory_kb=1.0,
        caller_id=0,
        work_hint_ms=None,
        has_cache_key=False,
        is_duplicate=False,
        is_retry=False,
        is_write=False,
        rpc_id=b"",
        method_name=b"m",
        body=b"",
        connection=0,
        message_id=0,
        dedup_key=(b"m", name),
    )


class RepeatWindowTest(unittest.TestCase):
    """Times in ms; the window of 500 opens when the first try reached the machine, at 0."""

    def table(self) -> tuple[DedupTable, RoutedRpc]:
        kept, first = DedupTable(1 << 20, 0.0, max_age_ms=12000.0), routed("a")
        kept.reserve(first, 501.0)
        return kept, first

    def test_window_counts_to_the_arrival_of_the_repeat(self) -> None:
        for read, waited, known in [(400.0, 0.0, True), (700.0, 250.0, True), (700.0, 150.0, False)]:
            with self.subTest(read=read, waited=waited):
                kept, first = self.table()
                entry = kept.owned_by(first)
                assert entry is not None
                kept.complete(entry, Outcome.OK, b"r", 100.0)
                self.assertIs(kept.find(routed("a"), read, read - waited), entry if known else None)

    def test_window_does_not_end_while_the_first_attempt_runs(self) -> None:
        kept, first = self.table()
        entry = kept.owned_by(first)
        assert entry is not None
        self.assertIs(kept.find(routed("a"), 9000.0, 9000.0), entry)
        kept.complete(entry, Outcome.OK, b"r", 9001.0)
        self.assertIsNone(kept.find(routed("a"), 9002.0, 9002.0))

    def test_eviction_forgets_no_attempt_that_may_still_be_repeated(self) -> None:
        kept = DedupTable(3 * (ENTRY_BYTES + 100), 0.0, max_age_ms=1000.0)
        names = ["runs", "late", "within", "over"]
        owners = {name: routed(name) for name in names}
        for name, expires_ms in [("runs", 10.0), ("late", 1500.0), ("within", 5000.0), ("over", 900.0)]:
            kept.reserve(owners[name], expires_ms)
        for name in names[1:]:
            entry = kept.owned_by(owners[name])
            assert entry is not None
            kept.complete(entry, Outcome.OK, bytes(90), 10.0)
        entry = kept.owned_by(owners["within"])
        assert entry is not None
        kept.complete(entry, Outcome.OK, bytes(2000), 2000.0)
        self.assertEqual(
            {first_id for first_id, rpc in owners.items() if kept.owned_by(rpc)}, {"runs", "late", "within"}
        )


class RepeatsOnSocketsTest(unittest.TestCase):
    def tokened(
        self, program: ProgramUnderTest, gateway: GatewayClient, token: str, **fields: Any
    ) -> tuple[int, str]:
        return gateway.send_rpc("token", once=token, **fields), gateway.last_rpc_id

    def test_a_repeat_that_came_within_the_window_and_is_read_after_it(self) -> None:
        program = ProgramUnderTest(self, settings__classes__1__repeat_window=250.0)
        gateway = GatewayClient(program)
        came = int(time.time() * 1000)
        _, first = self.tokened(program, gateway, "a", at=str(came))
        program.engine.expect_command("RUN", first)
        program.engine.send_notice("DONE 1", first, "good 5", body=b"r")
        gateway.read_answer()
        wait_until(lambda: time.time() * 1000 > came + 400)
        for wait in ("3000", "50"):  # read past the end of its own wait, too: told "Busy" it ran and did not
            first_id, _ = self.tokened(program, gateway, "a", at=str(came + 200), wait=wait)
            self.assertEqual(gateway.read_answer(), (first_id, b"r"))  # from the first run
        second_id, rid = self.tokened(program, gateway, "a")  # this one came after it
        program.engine.expect_command("RUN", rid)
        program.engine.send_notice("DONE 2", rid, "good 5", body=b"s")
        self.assertEqual(gateway.read_answer(), (second_id, b"s"))

    def test_repeat_joins_a_run_that_is_longer_than_the_window(self) -> None:
        for window in (0.0, 100.0):
            with self.subTest(window=window):
                program = ProgramUnderTest(self, settings__classes__1__repeat_window=window)
                gateway = GatewayClient(program)
                came = time.monotonic()
                first_id, first = self.tokened(program, gateway, "a")
                program.engine.expect_command("RUN", first)
                wait_until(lambda c=came: time.monotonic() > c + 0.25)
                second_id, _ = self.tokened(program, gateway, "a")
                self.assertTrue(gateway.check_health()[0])
                program.engine.send_notice("DONE 1", first, "good 5", body=b"r")
                self.assertEqual(
                    sorted([gateway.read_answer(), gateway.read_answer()]),
                    [(first_id, b"r"), (second_id, b"r")],
                )

    def test_repeat_and_end_of_the_first_attempt_in_one_pass(self) -> None:
        program = ProgramUnderTest(self)
        gateway, other_gateway = GatewayClient(program), GatewayClient(program)
        verify(program, other_gateway)
        for i, end in enumerate(("good", "bad")):
            with self.subTest(end=end):
                first_id, first = self.tokened(program, gateway, end)
                program.engine.expect_command("RUN", first)
                with program.paused():
                    second_id, _ = self.tokened(program, other_gateway, end)
                    program.engine.send_notice(
                        "DONE", i + 2, first, end, 5, body=b"r" if end == "good" else b""
                    )
                answer = b"r" if end == "good" else "Failed"
                self.assertEqual(
                    (gateway.read_final_answer(), other_gateway.read_final_answer()),
                    ((first_id, answer), (second_id, answer)),
                )

    def test_repeat_and_hang_up_of_the_first_attempt_in_one_pass(self) -> None:
        for hang_up in ("giveUp", "close"):
            with self.subTest(gone=hang_up):
                program = ProgramUnderTest(self)
                gateway, other_gateway = GatewayClient(program), GatewayClient(program)
                verify(program, other_gateway)
                first_id, first = self.tokened(program, gateway, "a")
                program.engine.expect_command("RUN", first)
                with program.paused():
                    if hang_up == "close":
                        gateway.sock.close()
                    else:
                        gateway.send(b"\x93\x02\xa6giveUp\x91%c" % first_id)
                    second_id, _ = self.tokened(program, other_gateway, "a")
                self.assertTrue(GatewayClient(program).check_health()[0])
                # It had started: its effect may be there.
                program.engine.send_notice("DONE 2", first, "good 5", body=b"r")
                self.assertEqual(other_gateway.read_answer(), (second_id, b"r"))

    def test_repeat_runs_after_the_first_attempt_was_rejected(self) -> None:
        # Within the window, and where the first try, held behind another RPC, outlived it unrun.
        for window, wait in ((5000.0, "150"), (50.0, "500")):
            with self.subTest(window=window):
                program = ProgramUnderTest(
                    self, settings__extra__n_cores=1, settings__classes__1__repeat_window=window
                )
                gateway = GatewayClient(program)
                gateway.send_rpc()
                program.engine.expect_command("RUN", gateway.last_rpc_id)  # takes the only place
                first_id, _ = self.tokened(program, gateway, "a", wait=wait)
                self.assertEqual(gateway.read_answer(), (first_id, "Busy"))
                second_id, again = self.tokened(program, gateway, "a")
                program.engine.send_notice("DONE 1", f"{1:016x}", "good 5", body=b"r")
                self.assertEqual(gateway.read_answer(), (1, b"r"))
                program.engine.expect_command("RUN", again)
                program.engine.send_notice("DONE 2", again, "good 5", body=b"s")
                self.assertEqual(gateway.read_answer(), (second_id, b"s"))

    def test_repeat_gets_the_result_of_an_attempt_answered_as_aborted(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        first_id, first = self.tokened(program, gateway, "a", wait="200")
        program.engine.expect_command("RUN", first)
        self.assertEqual(gateway.read_answer(), (first_id, "Failed"))
        second_id, _ = self.tokened(program, gateway, "a")
        self.assertTrue(gateway.check_health()[0])
        program.engine.send_notice("DONE 1", first, "good 400", body=b"r")
        self.assertEqual(gateway.read_answer(), (second_id, b"r"))

    def test_second_rpc_with_an_id_in_flight_is_not_run(self) -> None:
        program = ProgramUnderTest(self)
        gateway, other_gateway = GatewayClient(program), GatewayClient(program)
        for i, (method, answer) in enumerate([("m", "Busy"), ("once", "Failed"), ("token", "Failed")]):
            with self.subTest(method=method):
                message_id = gateway.send_rpc(method, once="a")
                rid = gateway.last_rpc_id
                program.engine.expect_command("RUN", rid)
                # Told that it never ran, its sender would have it run elsewhere beside the first one.
                other_id = other_gateway.send_rpc(method, id=rid, once="a")
                program.rpc_count -= 1
                self.assertEqual(other_gateway.read_answer(), (other_id, answer))
                if answer == "Busy":  # nothing but an unknown RPC came on it
                    self.assertEqual(other_gateway.read_until_end(), "closed")
                    other_gateway = GatewayClient(program)
                program.engine.send_notice("DONE", i + 1, rid, "good 5", body=b"r")
                self.assertEqual(gateway.read_answer(), (message_id, b"r"))


class StrangersTest(unittest.TestCase):
    def test_stored_result_goes_only_to_verified_connections(self) -> None:
        # Whoever repeats a gateway's key on a connection of its own must not get what was made for that one.
        program = ProgramUnderTest(
            self, settings__extra__share_for=60000.0, settings__extra__class_skip_worth=[0.5, 0.3, 0.0]
        )
        gateway = GatewayClient(program)
        notice = 0
        for method, field in (("token", "once"), ("m", "key")):
            for known in (False, True):
                for runs in (False, True):  # what it repeats
                    with self.subTest(method=method, known=known, runs=runs):
                        notice += 1
                        told = {field: f"{notice:016x}"}
                        message_id, first = gateway.send_rpc(method, **told), gateway.last_rpc_id
                        program.engine.expect_command("RUN", first)
                        if not runs:
                            program.engine.send_notice("DONE", notice, first, "good 5", body=b"r")
                            self.assertEqual(gateway.read_answer(), (message_id, b"r"))
                        other_gateway = GatewayClient(program)
                        other_id, rid = other_gateway.send_rpc(method, **told), other_gateway.last_rpc_id
                        if runs:
                            self.assertTrue(gateway.check_health()[0])
                            program.engine.send_notice("DONE", notice, first, "good 5", body=b"r")
                            self.assertEqual(gateway.read_answer(), (message_id, b"r"))
                        program.engine.expect_command("SKIP", rid, "0")
                        if not known:
                            program.engine.send_notice("NO SKIP", rid)
                        with program.engine.answering_gauge_queries():
                            self.assertEqual(
                                other_gateway.read_final_answer(), (other_id, b"r" if known else "Failed")
                            )
                        if known:
                            again = other_gateway.send_rpc(method, **told)  # it has proved itself by then
                            self.assertEqual(other_gateway.read_final_answer(), (again, b"r"))
                        else:
                            self.assertEqual(other_gateway.read_until_end(), "closed")

    def test_repeat_waits_for_its_connection_where_the_engine_can_not_be_asked(self) -> None:
        # No call of this method may be left out, so that the engine refuses SKIP for what it knows too: a
        # gateway that came again after a reset was cut off for it, and all that it had open was lost.
        program = ProgramUnderTest(self, settings__extra__class_skip_worth=[0.5, 0.0, 0.0])
        gateway = GatewayClient(program)
        message_id, notice = gateway.send_rpc("token", once="a"), 1
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("DONE", notice, gateway.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))
        for proves in ("before", "DONE", "NEED", "nothing"):
            with self.subTest(proves=proves):
                other_gateway = GatewayClient(program)
                if proves == "nothing":
                    came, message_id = time.monotonic(), other_gateway.send_rpc("token", once="a")
                    with program.engine.answering_gauge_queries():
                        self.assertEqual(other_gateway.read_final_answer(), (message_id, "Failed"))
                    self.assertLess(time.monotonic() - came, 2.0)  # of the 3 s that its caller waits
                    continue
                if proves == "before":
                    notice += 1
                    other = other_gateway.send_rpc()
                    program.engine.expect_command("RUN", other_gateway.last_rpc_id)
                    program.engine.send_notice("DONE", notice, other_gateway.last_rpc_id, "good 5", body=b"s")
                    self.assertEqual(other_gateway.read_answer(), (other, b"s"))
                repeats = [other_gateway.send_rpc("token", once="a") for _ in range(2)]
                if proves != "before":
                    other, rid, notice = other_gateway.send_rpc(), other_gateway.last_rpc_id, notice + 1
                    program.engine.expect_command("RUN", rid)
                    if proves == "NEED":
                        program.engine.send_notice("NEED", notice, rid, body=b"q")
                    else:
                        program.engine.send_notice("DONE", notice, rid, "good 5", body=b"s")
                        self.assertEqual(other_gateway.read_answer(), (other, b"s"))
                self.assertEqual(
                    [other_gateway.read_answer(), other_gateway.read_answer()],
                    [(repeat, b"r") for repeat in repeats],
                )

    def test_repeat_on_a_new_connection_in_a_flood_is_aborted_not_rejected(self) -> None:
        # More RPCs in hand than strangers may bring: the repeat heard "Busy", as if its first try never ran.
        program = ProgramUnderTest(self, limits={"sockets": 200}, settings__extra__n_cores=1)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc("token", once="a")
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))
        strangers = [GatewayClient(program) for _ in range(40)]
        for one in strangers:
            for _ in range(32):
                one.send_rpc(wait="9000", kb="0.001")
        other_gateway = GatewayClient(program)
        for method, answer in [("m", "Busy"), ("token", "Failed")]:
            with self.subTest(method=method):
                came, message_id = time.monotonic(), other_gateway.send_rpc(method, once="a")
                self.assertEqual(other_gateway.read_answer(), (message_id, answer))
                self.assertLess(time.monotonic() - came, 0.9)  # at once, not as one that waits to be proven

    def test_engine_link_lost_while_the_engine_is_asked_about_a_repeat(self) -> None:
        program = ProgramUnderTest(self, settings__extra__class_skip_worth=[0.5, 0.3, 0.0])
        gateway, other_gateway = GatewayClient(program), GatewayClient(program)
        gateway.send_rpc("token", once="a")
        first = gateway.last_rpc_id
        program.engine.expect_command("RUN", first)
        program.engine.send_notice("DONE 1", first, "good 5", body=b"r")
        gateway.read_answer()
        message_id = other_gateway.send_rpc("token", once="a")
        program.engine.expect_command("SKIP", other_gateway.last_rpc_id, "0")
        program.engine.sock.close()
        program.engine = EngineStandIn(program)
        program.engine.expect_command("SKIP", other_gateway.last_rpc_id, "0")
        with program.engine.answering_gauge_queries():
            self.assertEqual(other_gateway.read_answer(), (message_id, b"r"))


class UntoldWaitTest(unittest.TestCase):
    def test_wait_that_callers_do_not_tell_is_the_deadline_of_the_method(self) -> None:
        # A site of another customer: every RPC was turned down for the field that it does not have.
        program = ProgramUnderTest(
            self, settings__extra__passes_deadline=False, settings__classes__0__give_up=600.0
        )
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc(wait=None)
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))
        for wait in (None, "2000"):  # what is told all the same is not what counts there
            came = time.time()
            message_id = gateway.send_rpc(wait=wait, at=str(int(came * 1000) - 300))
            program.engine.expect_command("RUN", gateway.last_rpc_id)
            self.assertEqual(gateway.read_answer(), (message_id, "Failed"))
            self.assertLess(time.time() - came, 0.35)
        told = GatewayClient(ProgramUnderTest(self))
        # Where they do, it must be there.
        self.assertEqual((told.send_rpc(wait=None), "Busy"), told.read_answer())


class ArrivalClockTest(unittest.TestCase):
    def test_arrival_times_out_of_range_are_rejected(self) -> None:
        """`at` is Unix time: a step shows as age, or as a time to come."""
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        prove_at = int(time.time() * 1000)
        message_id = gateway.send_rpc(at=str(prove_at))
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))
        for step, answer in [
            (-2900, "runs"),
            (-3100, "Busy"),
            (4000, "runs"),
            (6000, "Busy"),
            (-130000, "Busy"),
        ]:
            with self.subTest(step=step):
                message_id = gateway.send_rpc(at=str(int(time.time() * 1000) + step))
                if answer == "runs":
                    program.engine.expect_command("RUN", gateway.last_rpc_id)
                    program.engine.send_notice(
                        "DONE", program.rpc_count, gateway.last_rpc_id, "good 5", body=b"r"
                    )
                    answer = b"r"  # type: ignore[assignment]
                self.assertEqual(gateway.read_answer(), (message_id, answer))

    def test_age_counts_for_the_deadline_that_is_not_told(self) -> None:
        bench = AdmissionBench(method=METHOD, callers_send_deadline=False)
        job = bench.read(waited_ms=2500.0, remaining_ms=None)
        self.assertEqual(job.deadline_at_ms, METHOD.deadline_ms - 2500.0)
        self.assertFalse(SETTINGS.starts_cold)


if __name__ == "__main__":
    unittest.main()
