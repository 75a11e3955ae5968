"""Tests duplicates of RPCs whose first attempt is in any stage, and the age and wait of RPCs."""

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

KEYED_METHOD = Method(Idempotency.KEYED, 1000.0, 0.0, 3000.0, 1.0, 0.0, 500.0, False, 0.0)


def make_rpc(name: str, method: Method = KEYED_METHOD) -> RoutedRpc:
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


class DedupWindowTest(unittest.TestCase):
    """Times in ms; the window of 500 ms begins at 0, when the first attempt arrived at the machine."""

    def table_with_entry(self) -> tuple[DedupTable, RoutedRpc]:
        table, first = DedupTable(1 << 20, 0.0, max_age_ms=12000.0), make_rpc("a")
        table.reserve(first, 501.0)
        return table, first

    def test_window_is_compared_with_the_arrival_of_the_duplicate(self) -> None:
        for read_ms, waited_ms, is_within in [
            (400.0, 0.0, True),
            (700.0, 250.0, True),
            (700.0, 150.0, False),
        ]:
            with self.subTest(read_ms=read_ms, waited_ms=waited_ms):
                table, first = self.table_with_entry()
                entry = table.owned_by(first)
                assert entry is not None
                table.complete(entry, Outcome.OK, b"r", 100.0)
                found = table.find(make_rpc("a"), read_ms, read_ms - waited_ms)
                self.assertIs(found, entry if is_within else None)

    def test_window_does_not_end_while_the_first_attempt_runs(self) -> None:
        table, first = self.table_with_entry()
        entry = table.owned_by(first)
        assert entry is not None
        self.assertIs(table.find(make_rpc("a"), 9000.0, 9000.0), entry)
        table.complete(entry, Outcome.OK, b"r", 9001.0)
        self.assertIsNone(table.find(make_rpc("a"), 9002.0, 9002.0))

    def test_eviction_keeps_attempts_that_may_still_have_duplicates(self) -> None:
        table = DedupTable(3 * (ENTRY_BYTES + 100), 0.0, max_age_ms=1000.0)
        names = ["running", "unread duplicate", "in window", "expired"]
        expiries_ms = [10.0, 1500.0, 5000.0, 900.0]
        owners = {name: make_rpc(name) for name in names}
        for name, expires_ms in zip(names, expiries_ms, strict=True):
            table.reserve(owners[name], expires_ms)
        for name in names[1:]:
            entry = table.owned_by(owners[name])
            assert entry is not None
            table.complete(entry, Outcome.OK, bytes(90), 10.0)
        entry = table.owned_by(owners["in window"])
        assert entry is not None
        table.complete(entry, Outcome.OK, bytes(2000), 2000.0)
        self.assertEqual(
            {name for name, rpc in owners.items() if table.owned_by(rpc)},
            {"running", "unread duplicate", "in window"},
        )


class DuplicateRpcTest(unittest.TestCase):
    def send_keyed_rpc(
        self, program: ProgramUnderTest, gateway: GatewayClient, token: str, **fields: Any
    ) -> tuple[int, str]:
        return gateway.send_rpc("token", once=token, **fields), gateway.last_rpc_id

    def test_duplicate_that_arrived_in_the_window_but_is_read_later_gets_the_result(self) -> None:
        program = ProgramUnderTest(self, settings__classes__1__repeat_window=250.0)
        gateway = GatewayClient(program)
        arrived_ms = int(time.time() * 1000)
        _, first_rpc_id = self.send_keyed_rpc(program, gateway, "a", at=str(arrived_ms))
        program.engine.expect_command("RUN", first_rpc_id)
        program.engine.send_notice("DONE 1", first_rpc_id, "good 5", body=b"r")
        gateway.read_answer()
        wait_until(lambda: time.time() * 1000 > arrived_ms + 400)
        # With a wait of 50 ms the duplicate is read after its caller's deadline. It must not get "Busy",
        # which means that the RPC never ran.
        for wait in ("3000", "50"):
            first_message_id, _ = self.send_keyed_rpc(
                program, gateway, "a", at=str(arrived_ms + 200), wait=wait
            )
            self.assertEqual(gateway.read_answer(), (first_message_id, b"r"))  # the result of the first run
        second_message_id, rpc_id = self.send_keyed_rpc(program, gateway, "a")  # arrives after the window
        program.engine.expect_command("RUN", rpc_id)
        program.engine.send_notice("DONE 2", rpc_id, "good 5", body=b"s")
        self.assertEqual(gateway.read_answer(), (second_message_id, b"s"))

    def test_duplicate_waits_for_a_run_that_is_longer_than_the_window(self) -> None:
        for window_ms in (0.0, 100.0):
            with self.subTest(window_ms=window_ms):
                program = ProgramUnderTest(self, settings__classes__1__repeat_window=window_ms)
                gateway = GatewayClient(program)
                sent_s = time.monotonic()
                first_message_id, first_rpc_id = self.send_keyed_rpc(program, gateway, "a")
                program.engine.expect_command("RUN", first_rpc_id)
                wait_until(lambda sent_s=sent_s: time.monotonic() > sent_s + 0.25)
                second_message_id, _ = self.send_keyed_rpc(program, gateway, "a")
                self.assertTrue(gateway.check_health()[0])
                program.engine.send_notice("DONE 1", first_rpc_id, "good 5", body=b"r")
                self.assertEqual(
                    sorted([gateway.read_answer(), gateway.read_answer()]),
                    [(first_message_id, b"r"), (second_message_id, b"r")],
                )

    def test_duplicate_and_end_of_the_first_attempt_in_one_pass(self) -> None:
        program = ProgramUnderTest(self)
        gateway, other_gateway = GatewayClient(program), GatewayClient(program)
        verify(program, other_gateway)
        for i, outcome in enumerate(("good", "bad")):
            with self.subTest(outcome=outcome):
                first_message_id, first_rpc_id = self.send_keyed_rpc(program, gateway, outcome)
                program.engine.expect_command("RUN", first_rpc_id)
                with program.paused():
                    second_message_id, _ = self.send_keyed_rpc(program, other_gateway, outcome)
                    program.engine.send_notice(
                        "DONE", i + 2, first_rpc_id, outcome, 5, body=b"r" if outcome == "good" else b""
                    )
                answer = b"r" if outcome == "good" else "Failed"
                self.assertEqual(
                    (gateway.read_final_answer(), other_gateway.read_final_answer()),
                    ((first_message_id, answer), (second_message_id, answer)),
                )

    def test_duplicate_and_abandoned_first_attempt_in_one_pass(self) -> None:
        for hang_up in ("giveUp", "close"):
            with self.subTest(hang_up=hang_up):
                program = ProgramUnderTest(self)
                gateway, other_gateway = GatewayClient(program), GatewayClient(program)
                verify(program, other_gateway)
                first_message_id, first_rpc_id = self.send_keyed_rpc(program, gateway, "a")
                program.engine.expect_command("RUN", first_rpc_id)
                with program.paused():
                    if hang_up == "close":
                        gateway.sock.close()
                    else:
                        gateway.send(b"\x93\x02\xa6giveUp\x91%c" % first_message_id)
                    second_message_id, _ = self.send_keyed_rpc(program, other_gateway, "a")
                self.assertTrue(GatewayClient(program).check_health()[0])
                # The run had started, so its result still answers the duplicate.
                program.engine.send_notice("DONE 2", first_rpc_id, "good 5", body=b"r")
                self.assertEqual(other_gateway.read_answer(), (second_message_id, b"r"))

    def test_duplicate_runs_after_the_first_attempt_was_rejected(self) -> None:
        # The first attempt is rejected within its window or, in the second case, queued until after it.
        for window_ms, wait in ((5000.0, "150"), (50.0, "500")):
            with self.subTest(window_ms=window_ms):
                program = ProgramUnderTest(
                    self, settings__extra__n_cores=1, settings__classes__1__repeat_window=window_ms
                )
                gateway = GatewayClient(program)
                gateway.send_rpc()
                program.engine.expect_command("RUN", gateway.last_rpc_id)  # occupies the only execution slot
                first_message_id, _ = self.send_keyed_rpc(program, gateway, "a", wait=wait)
                self.assertEqual(gateway.read_answer(), (first_message_id, "Busy"))
                second_message_id, second_rpc_id = self.send_keyed_rpc(program, gateway, "a")
                program.engine.send_notice("DONE 1", f"{1:016x}", "good 5", body=b"r")
                self.assertEqual(gateway.read_answer(), (1, b"r"))
                program.engine.expect_command("RUN", second_rpc_id)
                program.engine.send_notice("DONE 2", second_rpc_id, "good 5", body=b"s")
                self.assertEqual(gateway.read_answer(), (second_message_id, b"s"))

    def test_duplicate_gets_the_result_of_an_attempt_answered_as_aborted(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        first_message_id, first_rpc_id = self.send_keyed_rpc(program, gateway, "a", wait="200")
        program.engine.expect_command("RUN", first_rpc_id)
        self.assertEqual(gateway.read_answer(), (first_message_id, "Failed"))
        second_message_id, _ = self.send_keyed_rpc(program, gateway, "a")
        self.assertTrue(gateway.check_health()[0])
        program.engine.send_notice("DONE 1", first_rpc_id, "good 400", body=b"r")
        self.assertEqual(gateway.read_answer(), (second_message_id, b"r"))

    def test_second_rpc_with_an_id_in_flight_is_not_run(self) -> None:
        program = ProgramUnderTest(self)
        gateway, other_gateway = GatewayClient(program), GatewayClient(program)
        for i, (method, answer) in enumerate([("m", "Busy"), ("once", "Failed"), ("token", "Failed")]):
            with self.subTest(method=method):
                message_id = gateway.send_rpc(method, once="a")
                rpc_id = gateway.last_rpc_id
                program.engine.expect_command("RUN", rpc_id)
                # A rejection would make the sender retry on another server while the first RPC runs here.
                other_id = other_gateway.send_rpc(method, id=rpc_id, once="a")
                program.rpc_count -= 1
                self.assertEqual(other_gateway.read_answer(), (other_id, answer))
                if answer == "Busy":  # an invalid RPC closes an unverified connection
                    self.assertEqual(other_gateway.read_until_end(), "closed")
                    other_gateway = GatewayClient(program)
                program.engine.send_notice("DONE", i + 1, rpc_id, "good 5", body=b"r")
                self.assertEqual(gateway.read_answer(), (message_id, b"r"))


class UnverifiedConnectionTest(unittest.TestCase):
    def test_stored_result_goes_only_to_verified_connections(self) -> None:
        # An unknown client that sends a gateway's key on its own connection must not get the stored result.
        program = ProgramUnderTest(
            self, settings__extra__share_for=60000.0, settings__extra__class_skip_worth=[0.5, 0.3, 0.0]
        )
        gateway = GatewayClient(program)
        notice = 0
        for method, field in (("token", "once"), ("m", "key")):
            for is_known in (False, True):  # whether the engine knows the duplicate's RPC
                for is_running in (False, True):  # whether the original still runs
                    with self.subTest(method=method, is_known=is_known, is_running=is_running):
                        notice += 1
                        key_field = {field: f"{notice:016x}"}
                        message_id, first_rpc_id = gateway.send_rpc(method, **key_field), gateway.last_rpc_id
                        program.engine.expect_command("RUN", first_rpc_id)
                        if not is_running:
                            program.engine.send_notice("DONE", notice, first_rpc_id, "good 5", body=b"r")
                            self.assertEqual(gateway.read_answer(), (message_id, b"r"))
                        other_gateway = GatewayClient(program)
                        other_id = other_gateway.send_rpc(method, **key_field)
                        rpc_id = other_gateway.last_rpc_id
                        if is_running:
                            self.assertTrue(gateway.check_health()[0])
                            program.engine.send_notice("DONE", notice, first_rpc_id, "good 5", body=b"r")
                            self.assertEqual(gateway.read_answer(), (message_id, b"r"))
                        program.engine.expect_command("SKIP", rpc_id, "0")
                        if not is_known:
                            program.engine.send_notice("NO SKIP", rpc_id)
                        with program.engine.answering_gauge_queries():
                            self.assertEqual(
                                other_gateway.read_final_answer(), (other_id, b"r" if is_known else "Failed")
                            )
                        if is_known:
                            next_id = other_gateway.send_rpc(method, **key_field)  # verified by then
                            self.assertEqual(other_gateway.read_final_answer(), (next_id, b"r"))
                        else:
                            self.assertEqual(other_gateway.read_until_end(), "closed")

    def test_duplicate_waits_for_verification_where_the_engine_cannot_be_queried(self) -> None:
        # The method allows no call to be skipped, so the engine refuses SKIP even for RPCs that it knows. The
        # server once took that refusal as proof of an unknown client, cut off a gateway that had reconnected
        # after a reset, and lost its open RPCs.
        program = ProgramUnderTest(self, settings__extra__class_skip_worth=[0.5, 0.0, 0.0])
        gateway = GatewayClient(program)
        message_id, notice = gateway.send_rpc("token", once="a"), 1
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("DONE", notice, gateway.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))
        # What verifies the connection: an earlier RPC, a later RPC's DONE or NEED notice, or nothing.
        for verified_by in ("before", "DONE", "NEED", "nothing"):
            with self.subTest(verified_by=verified_by):
                other_gateway = GatewayClient(program)
                if verified_by == "nothing":
                    sent_s, message_id = time.monotonic(), other_gateway.send_rpc("token", once="a")
                    with program.engine.answering_gauge_queries():
                        self.assertEqual(other_gateway.read_final_answer(), (message_id, "Failed"))
                    self.assertLess(time.monotonic() - sent_s, 2.0)  # before the caller's deadline of 3 s
                    continue
                if verified_by == "before":
                    notice += 1
                    other = other_gateway.send_rpc()
                    program.engine.expect_command("RUN", other_gateway.last_rpc_id)
                    program.engine.send_notice("DONE", notice, other_gateway.last_rpc_id, "good 5", body=b"s")
                    self.assertEqual(other_gateway.read_answer(), (other, b"s"))
                duplicate_ids = [other_gateway.send_rpc("token", once="a") for _ in range(2)]
                if verified_by != "before":
                    other, rpc_id, notice = other_gateway.send_rpc(), other_gateway.last_rpc_id, notice + 1
                    program.engine.expect_command("RUN", rpc_id)
                    if verified_by == "NEED":
                        program.engine.send_notice("NEED", notice, rpc_id, body=b"q")
                    else:
                        program.engine.send_notice("DONE", notice, rpc_id, "good 5", body=b"s")
                        self.assertEqual(other_gateway.read_answer(), (other, b"s"))
                self.assertEqual(
                    [other_gateway.read_answer(), other_gateway.read_answer()],
                    [(duplicate_id, b"r") for duplicate_id in duplicate_ids],
                )

    def test_duplicate_on_a_new_connection_in_a_flood_is_aborted_not_rejected(self) -> None:
        # With so many RPCs in flight, requests on unverified connections are refused. A duplicate must not
        # get "Busy", as if its first attempt had never run.
        program = ProgramUnderTest(self, limits={"sockets": 200}, settings__extra__n_cores=1)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc("token", once="a")
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))
        clients = [GatewayClient(program) for _ in range(40)]
        for client in clients:
            for _ in range(32):
                client.send_rpc(wait="9000", kb="0.001")
            client.send_health_check()
        for client in clients:
            # Messages are handled in order: all RPCs have been read once the health check is answered.
            while client.read_message()[1] != client.last_message_id:
                pass
        other_gateway = GatewayClient(program)
        for method, answer in [("m", "Busy"), ("token", "Failed")]:
            with self.subTest(method=method):
                sent_s, message_id = time.monotonic(), other_gateway.send_rpc(method, once="a")
                self.assertEqual(other_gateway.read_answer(), (message_id, answer))
                self.assertLess(time.monotonic() - sent_s, 0.9)  # at once, without a wait for verification

    def test_query_about_a_duplicate_is_resent_after_a_lost_engine_link(self) -> None:
        program = ProgramUnderTest(self, settings__extra__class_skip_worth=[0.5, 0.3, 0.0])
        gateway, other_gateway = GatewayClient(program), GatewayClient(program)
        gateway.send_rpc("token", once="a")
        first_rpc_id = gateway.last_rpc_id
        program.engine.expect_command("RUN", first_rpc_id)
        program.engine.send_notice("DONE 1", first_rpc_id, "good 5", body=b"r")
        gateway.read_answer()
        message_id = other_gateway.send_rpc("token", once="a")
        program.engine.expect_command("SKIP", other_gateway.last_rpc_id, "0")
        program.engine.sock.close()
        program.engine = EngineStandIn(program)
        program.engine.expect_command("SKIP", other_gateway.last_rpc_id, "0")
        with program.engine.answering_gauge_queries():
            self.assertEqual(other_gateway.read_answer(), (message_id, b"r"))


class MissingWaitTest(unittest.TestCase):
    def test_missing_wait_defaults_to_the_deadline_of_the_method(self) -> None:
        # At a site whose callers send no `wait` field, every RPC was rejected for the missing field.
        program = ProgramUnderTest(
            self, settings__extra__passes_deadline=False, settings__classes__0__give_up=600.0
        )
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc(wait=None)
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))
        for wait in (None, "2000"):  # a wait that is sent all the same does not count there
            sent_s = time.time()
            message_id = gateway.send_rpc(wait=wait, at=str(int(sent_s * 1000) - 300))
            program.engine.expect_command("RUN", gateway.last_rpc_id)
            self.assertEqual(gateway.read_answer(), (message_id, "Failed"))
            self.assertLess(time.time() - sent_s, 0.35)
        # Where callers send their wait, the field is required.
        gateway = GatewayClient(ProgramUnderTest(self))
        self.assertEqual((gateway.send_rpc(wait=None), "Busy"), gateway.read_answer())


class ArrivalTimeTest(unittest.TestCase):
    def test_arrival_times_out_of_range_are_rejected(self) -> None:
        # `at` is Unix time, so a clock step shows as a high age or as an arrival in the future.
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc(at=str(int(time.time() * 1000)))
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))
        for step_ms, answer in [
            (-2900, "runs"),
            (-3100, "Busy"),
            (4000, "runs"),
            (6000, "Busy"),
            (-130000, "Busy"),
        ]:
            with self.subTest(step_ms=step_ms):
                message_id = gateway.send_rpc(at=str(int(time.time() * 1000) + step_ms))
                if answer == "runs":
                    program.engine.expect_command("RUN", gateway.last_rpc_id)
                    program.engine.send_notice(
                        "DONE", program.rpc_count, gateway.last_rpc_id, "good 5", body=b"r"
                    )
                    answer = b"r"  # type: ignore[assignment]
                self.assertEqual(gateway.read_answer(), (message_id, answer))

    def test_age_shortens_a_deadline_that_callers_do_not_send(self) -> None:
        bench = AdmissionBench(method=METHOD, callers_send_deadline=False)
        managed = bench.read(waited_ms=2500.0, remaining_ms=None)
        self.assertEqual(managed.deadline_at_ms, METHOD.deadline_ms - 2500.0)
        self.assertFalse(SETTINGS.starts_cold)


if __name__ == "__main__":
    unittest.main()
