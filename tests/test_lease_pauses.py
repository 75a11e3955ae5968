"""Tests that no lease is taken to last longer than its grantor counts it, wherever the process is paused."""

from __future__ import annotations

import socket
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any, cast
from unittest import mock

from landingshift.coldstart.leases import HeldLease
from landingshift.coldstart.participant import ColdStartParticipant, HeldLeases, LoadObservation
from landingshift.coldstart.service import ColdStartService
from landingshift.maintenance.messages import ReportAnswer
from landingshift.maintenance.service import MaintenanceService
from landingshift.membership import wire
from landingshift.membership.messages import MemberRecord, MemberState
from landingshift.membership.node import SwimNode
from landingshift.membership.service import MembershipService
from landingshift.membership.timings import SwimTimings
from landingshift.net.program import features
from landingshift.net.routing.router import Router
from landingshift.policies.service import PolicyService
from landingshift.system_clock import SystemBoot
from tests.hot_restart_fixtures import RouterHarness
from tests.pausable_clocks import PAUSE_MS, PausableClocks, PauseAfterPoll, PauseTestCase
from tests.test_golden_protocol import unshared_address

CLUSTER_NAME = "pauses"
SERVER_NAME = "n3"  # of the harness's configuration
LEASE_MS = 1000.0
CALLS_PER_SECOND = 100.0
FLOOR_FRACTION = 0.1
MAX_JOIN_ROUNDS = 200
JOIN_ROUND_MS = 5.0


class ServerUnderTest:
    """A router in this process with some of the optional packages."""

    def __init__(self, case: unittest.TestCase, **tables: dict[str, Any]) -> None:
        self.harness = RouterHarness(case)
        self.loop = self.harness.loop
        self.router: Router = self.harness.router
        self.log_events: list[str] = []
        self.host = features.ServiceHost(self.router, lambda event, **_: self.log_events.append(event))
        fleet = {"fleet": CLUSTER_NAME, "listen": unshared_address()}
        for feature in features.decode_features({"fleet": fleet, **tables}, "pauses.toml"):
            case.addCleanup(feature.attach(self.host).finish)

    @property
    def membership(self) -> MembershipService:
        return cast(MembershipService, self.host.services["fleet"])

    @property
    def participant(self) -> ColdStartParticipant:
        return cast(ColdStartService, self.host.services["coldstart"])._participant

    def run_paused_pass(
        self, case: unittest.TestCase, clocks: PausableClocks, reading: int, on_decision: Callable[[], None]
    ) -> None:
        """Runs a pass with a pause before the reading, or after the poll if `reading` is 0.

        `on_decision` is called before the controller decides, if it decides after the pause. After a pause
        after the poll, it always does.
        """
        admission = self.router.admission
        assert admission is not None
        settle, decisions = admission.settle, list[bool]()

        def check_and_settle() -> None:
            decisions.append(clocks.has_paused)
            if clocks.has_paused:
                on_decision()
            settle()

        if reading == 0:
            PauseAfterPoll(case, self.loop, clocks).plan()
        self.router.request_settle()
        self.loop.after(0.0, lambda: None)
        clocks.pause_before_reading(reading)
        with mock.patch.object(admission, "settle", check_and_settle):
            self.loop.run_pass()
        clocks.cancel_pause()
        case.assertTrue(decisions)
        if reading == 0:
            case.assertTrue(all(decisions))


class Holder:
    """A member that requests leases from the server under test; the test sends and receives for it."""

    def __init__(self, case: unittest.TestCase, clocks: PausableClocks, server: ServerUnderTest) -> None:
        self.clocks, self.server = clocks, server
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        case.addCleanup(self.sock.close)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.setblocking(False)
        host, port = self.sock.getsockname()
        record = MemberRecord("h1", host, port, "", 1, 0, 0, MemberState.ALIVE, "", {})
        contact = server.membership.operator_rpc.listener.address
        now_ms = clocks.monotonic_ms()
        self.node = SwimNode(record, [contact], SwimTimings(), 10, Random(1), now_ms, lambda *_, **__: None)
        plan = server.participant.plan
        self.participant = ColdStartParticipant(self.node, plan, Random(1), now_ms)

    def join(self) -> None:
        """Exchanges messages until the holder knows the server as a grantor."""
        for _ in range(MAX_JOIN_ROUNDS):
            self.node.on_timer(self.clocks.monotonic_ms())
            self.flush()
            self.server.harness.run(JOIN_ROUND_MS)
            self.receive()
            if self.participant.present_grantors():
                return
        raise TimeoutError("the holder found no grantor")

    def request(self) -> None:
        """Sends a request for a call quota now."""
        self.participant.next_request_ms = 0.0
        observation = LoadObservation(needed_calls_per_second=CALLS_PER_SECOND)
        self.participant.on_timer(self.clocks.monotonic_ms(), observation)
        self.flush()

    def flush(self) -> None:
        for receiver, message in self.node.take_outgoing():
            self.sock.sendto(wire.encode(CLUSTER_NAME, message), receiver)

    def receive(self) -> None:
        while True:
            try:
                data = self.sock.recv(wire.MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            self.node.on_message(wire.decode(CLUSTER_NAME, data), self.clocks.monotonic_ms())

    @property
    def quota(self) -> HeldLease:
        return self.participant.held_leases[SERVER_NAME].call_quota


def cold_start_table(grantor_name: str, **changes: Any) -> dict[str, Any]:
    return {
        "servers": 2,
        "lenders": [grantor_name],
        "calls_s": CALLS_PER_SECOND,
        "floor": FLOOR_FRACTION,
        "lease_ms": LEASE_MS,
        "spare_ms": 0.0,
        **changes,
    }


class LeasePauseTest(PauseTestCase):
    def test_grantor_reserves_a_quota_for_as_long_as_the_holder_uses_it(self) -> None:
        # A request that is sent after the pause was once reserved from the time before the pause, and the
        # grantor could grant the same amount again while the holder used it.
        clocks = PausableClocks(self)
        server = ServerUnderTest(self, coldstart=cold_start_table(SERVER_NAME))
        holder = Holder(self, clocks, server)
        holder.join()
        grantor = server.participant.grantor
        assert grantor is not None
        grantor.set_recovery_grace_until(0.0)
        PauseAfterPoll(self, server.loop, clocks).plan()
        holder.request()
        clocks.on_pause = holder.request  # read in the same pass as the request before
        server.loop.run_pass()
        self.assertTrue(clocks.has_paused)
        server.harness.run()
        holder.receive()
        grant = grantor.call_quota_grantor.grants["h1"]
        self.assertEqual(grant.request_number, holder.quota.request_number)
        self.assertGreater(holder.quota.held_amount, 0.0)
        self.assertGreaterEqual(grant.expires_at_ms, holder.quota.expires_at_ms)

    def test_quota_that_expires_during_the_pause_is_not_used_after_it(self) -> None:
        # The quota was once used until the next pass.
        def play(clocks: PausableClocks, reading: int) -> None:
            server = ServerUnderTest(self, coldstart=cold_start_table("g1"))
            participant, admission = server.participant, server.router.admission
            assert admission is not None
            leases = HeldLeases(HeldLease(LEASE_MS), HeldLease(LEASE_MS))
            number, _ = leases.call_quota.next_request(clocks.monotonic_ms() - LEASE_MS + PAUSE_MS / 2.0)
            leases.call_quota.on_grant(number, CALLS_PER_SECOND / 2.0, clocks.monotonic_ms())
            participant.held_leases["g1"] = leases
            server.harness.run()
            floor = participant.floor_calls_per_second
            self.assertGreater(admission.call_rate.quota_per_second, floor)

            def check_quota() -> None:
                self.assertEqual(admission.call_rate.quota_per_second, floor)

            server.run_paused_pass(self, clocks, reading, check_quota)
            self.assertEqual(server.harness.faults, [])

        self.play_each_reading(play, first_reading=0)

    def test_recovery_grace_after_a_boot_counts_from_the_reading_of_the_uptime(self) -> None:
        # It was once counted from an earlier reading of the loop's clock, and ended earlier.
        clocks = PausableClocks(self)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        Path(f"{folder}/list.boot").write_text("earlier boot")
        uptime_ms, booted_at_ms = 100.0, 0.0

        def system_boot() -> SystemBoot:
            nonlocal booted_at_ms
            clocks.advance(PAUSE_MS)
            booted_at_ms = clocks.monotonic_ms() - uptime_ms
            return SystemBoot("this boot", uptime_ms)

        table = cold_start_table(SERVER_NAME, snapshot=f"{folder}/list")
        with mock.patch("landingshift.system_clock.system_boot", system_boot):
            server = ServerUnderTest(self, coldstart=table)
        grantor = server.participant.grantor
        assert grantor is not None
        grace_until_ms = grantor.call_quota_grantor.recovery_grace_until_ms
        self.assertGreaterEqual(grace_until_ms, booted_at_ms + server.participant.plan.reservation_ms)


class PolicyLeasePauseTest(PauseTestCase):
    def test_server_whose_lease_expires_during_the_pause_decides_on_standby(self) -> None:
        def play(clocks: PausableClocks, reading: int) -> None:
            table = {"voters": ["v1"], "when_cut_off": "stand_aside"}  # no voter answers
            server = ServerUnderTest(self, policies=table)
            policies = cast(PolicyService, server.host.services["policies"])
            participant, admission = policies.policy_node.participant, server.router.admission
            assert admission is not None
            participant.is_member = True
            participant.version = participant.latest_version = policies.enforcement.applied_version = 1
            participant.lease_expiry_ms = clocks.monotonic_ms() + PAUSE_MS / 2.0
            server.harness.run()
            self.assertTrue(admission.draining.is_in_service)

            def check_standby() -> None:
                self.assertFalse(admission.draining.is_in_service)

            server.run_paused_pass(self, clocks, reading, check_standby)
            self.assertEqual(server.harness.faults, [])

        self.play_each_reading(play, first_reading=0)


class PermitPauseTest(unittest.TestCase):
    def test_permit_that_expires_before_the_drain_begins_is_not_used(self) -> None:
        for pause_ms in (0.0, PAUSE_MS):
            with self.subTest(pause_ms=pause_ms):
                clocks = PausableClocks(self)
                folder = self.enterContext(tempfile.TemporaryDirectory())
                server = ServerUnderTest(
                    self,
                    policies={"voters": [SERVER_NAME], "journal": f"{folder}/journal"},
                    upkeep={"capacity": 10.0, "mark": f"{folder}/mark"},
                )
                maintenance = cast(MaintenanceService, server.host.services["upkeep"])
                maintenance.agent._sent_at_ms[1] = clocks.monotonic_ms()
                if pause_ms:
                    clocks.pause_before_reading(1)  # after the answer was read
                maintenance._on_answer(ReportAnswer(1, "offered", 1, PAUSE_MS / 2.0))
                clocks.cancel_pause()
                self.assertEqual(server.router.is_draining, not pause_ms)
                self.assertEqual("maintenance_permit_expired" in server.log_events, bool(pause_ms))
                self.doCleanups()


if __name__ == "__main__":
    unittest.main()
