"""Tests of maintenance: permits, the replicated state, encodings, leader changes and simulated days."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from landingshift.consensus.state_machines import StateMachineRegistry, encode_entry
from landingshift.maintenance.capacity_constraints import (
    Machine,
    MachineFacts,
)
from landingshift.maintenance.commands import (
    AddRequests,
    ChangeState,
    Command,
    ForgetMachine,
    IssuePermit,
    RecordDemand,
    RegisterMachine,
    SetPause,
)
from landingshift.maintenance.coordinator import MaintenanceCoordinator
from landingshift.maintenance.coordinator_settings import CoordinatorSettings
from landingshift.maintenance.demand_forecast import (
    QUARTER_MS,
    DailyDemandProfile,
)
from landingshift.maintenance.errors import InvalidMessageError, InvalidTransitionError, StalePermitError
from landingshift.maintenance.fleet_view import MachineReport
from landingshift.maintenance.messages import LoadReport, ReportAnswer, ServerStatus
from landingshift.maintenance.permit import DrainPermit
from landingshift.maintenance.permit_file import read_used_permit, write_used_permit
from landingshift.maintenance.proposals import Proposals
from landingshift.maintenance.replicated_state import MaintenanceState
from landingshift.maintenance.request_progress import has_permit_lapsed
from landingshift.maintenance.requests import TRANSITIONS, MaintenanceRequest, RequestState
from landingshift.maintenance.storage import decode_command, encode_command
from landingshift.maintenance.traffic_meter import TrafficMeter
from landingshift.maintenance.wire import decode_message, encode_answer, encode_report
from landingshift.net.routing.observers import AnswerKind
from landingshift.testbed.experiments.maintenance import VIRTUAL_ROWS, play_virtual_row
from landingshift.testbed.simulation.maintenance_fleet import SimulatedFleet
from landingshift.testbed.verification.maintenance_state import state_violations
from tests.golden_files import golden_json

STATUS = ServerStatus(
    capacity=100.0,
    model="a",
    serves_critical_methods=False,
    warm_fraction=1.0,
    rpcs_per_second=0.0,
    ok_count=0.0,
    answered_count=0.0,
)


def reloaded(state: MaintenanceState) -> MaintenanceState:
    copy = MaintenanceState()
    copy.restore(state.snapshot())
    return copy


def started_fleet(count: int, outage_minutes: float, peak_load: float, steps: int = 10) -> SimulatedFleet:
    fleet = SimulatedFleet(1, count, zones=2, warm_up_ms=1000.0)
    fleet.outage_minutes = outage_minutes
    fleet.peak_load = peak_load
    run(fleet, steps)
    return fleet


def run(fleet: SimulatedFleet, steps: int) -> None:
    for _ in range(steps):
        fleet.step()


class TransitionsTest(unittest.TestCase):
    def test_transitions_outside_the_table_raise_an_error(self) -> None:
        for current in RequestState:
            for new in RequestState:
                request = MaintenanceRequest("n0", 1.0, 0.0, state=current, permit_number=3)
                if (current, new) in TRANSITIONS:
                    request.transition(new, 3)
                    self.assertIs(request.state, new)
                else:
                    with self.assertRaises(InvalidTransitionError):
                        request.transition(new, 3)

    def test_a_machine_can_drain_only_under_the_permit_in_force(self) -> None:
        request = MaintenanceRequest("n0", 1.0, 0.0, state=RequestState.PERMITTED, permit_number=4)
        with self.assertRaises(StalePermitError):
            request.transition(RequestState.DRAINING, 3)
        request.transition(RequestState.DRAINING, 4)

    def test_a_permit_expires_by_the_clock_of_the_machine(self) -> None:
        permit = DrainPermit()
        self.assertFalse(permit.is_valid(0.0))
        self.assertTrue(permit.offer(5, 100.0, 1000.0))
        self.assertTrue(permit.is_valid(1099.0))
        self.assertFalse(permit.is_valid(1100.0))  # the process was stopped until the expiry
        self.assertTrue(permit.offer(5, 2000.0, 1000.0))  # the offer is renewed
        self.assertTrue(permit.is_valid(2500.0))
        self.assertFalse(permit.offer(4, 2600.0, 1000.0))  # a delayed offer of an older permit
        permit.consume()
        self.assertFalse(permit.offer(5, 2700.0, 1000.0))  # a duplicate offer of the used permit
        self.assertFalse(permit.is_valid(2750.0))


class ReplicatedStateTest(unittest.TestCase):
    def test_each_permit_has_one_holder_and_numbers_only_grow(self) -> None:
        state = MaintenanceState()
        requests = tuple(MaintenanceRequest(name, 1.0, 0.0, not_after_ms=1e300) for name in "ab")
        commands: list[Command] = [
            AddRequests(requests),
            IssuePermit("a", 7, 0.0),
            IssuePermit("a", 8, 0.0),
            IssuePermit("b", 9, 0.0),
            IssuePermit("c", 9, 0.0),
            ChangeState("a", 1, RequestState.DRAINING, "", 0.0),
            ChangeState("a", 9, RequestState.OUT_OF_SERVICE, "", 0.0),
            ChangeState("b", 2, RequestState.COMPLETED, "", 0.0),
            ChangeState("b", 2, RequestState.REQUESTED, "taken back", 0.0),
            IssuePermit("b", 9, 0.0),
            SetPause("stop"),
        ]
        for command in commands:
            state.apply(encode_command(command))
        found = {name: (request.state, request.permit_number) for name, request in state.requests.items()}
        self.assertEqual(found, {"a": (RequestState.DRAINING, 1), "b": (RequestState.PERMITTED, 3)})
        self.assertEqual(state.permitted_run_ids, {"a": 7, "b": 9})
        self.assertEqual((state.last_permit_number, state.pause_reason), (3, "stop"))
        self.assertEqual(reloaded(state).snapshot(), state.snapshot())

    def test_the_registry_keeps_entries_of_unregistered_state_machines(self) -> None:
        class RecordingStateMachine:
            def __init__(self) -> None:
                self.entries: list[bytes] = []

            def apply(self, data: bytes) -> None:
                self.entries.append(data)

            def snapshot(self) -> bytes:
                return b"|".join(self.entries)

            def restore(self, state: bytes) -> None:
                self.entries = state.split(b"|") if state else []

        complete, incomplete = StateMachineRegistry(), StateMachineRegistry()
        for registry in (complete, incomplete):
            registry.register("first", RecordingStateMachine())
        complete.register("other", RecordingStateMachine())
        for value in range(3):
            for registry in (complete, incomplete):
                registry.apply(encode_entry("other", value))
                registry.apply(b"")
        restored = StateMachineRegistry()
        restored.register("first", RecordingStateMachine())
        restored.restore(incomplete.snapshot())
        other = RecordingStateMachine()
        restored.register("other", other)
        self.assertEqual(other.entries, [encode_entry("other", value) for value in range(3)])


class StateInvariantsTest(unittest.TestCase):
    def test_each_violated_invariant_is_reported(self) -> None:
        for attributes, violation in [
            ({"permit_number": 1}, "a is wished with permit 1"),
            ({"state": RequestState.DRAINING}, "a is draining with permit 0"),
            ({"state": RequestState.OUT_OF_SERVICE, "permit_number": 1}, "a has a permit of no process"),
            ({"state": RequestState.COMPLETED}, "a has ended, and is open"),
            ({"permit_number": 2}, "permit 2 is above the last one, 1"),
            ({"warm_fraction": 1.5}, "a is warm by 1.5"),
        ]:
            with self.subTest(violation=violation):
                state = MaintenanceState()
                state.last_permit_number = 1
                state.requests["a"] = MaintenanceRequest("a", 1.0, 0.0, **attributes)
                self.assertIn(violation, state_violations(state))

    def test_a_state_built_by_commands_violates_no_invariant(self) -> None:
        state = MaintenanceState()
        state.apply(encode_command(AddRequests((MaintenanceRequest("a", 1.0, 0.0),))))
        self.assertEqual(state_violations(state), [])
        state.apply(encode_command(IssuePermit("a", 7, 0.0)))
        self.assertEqual(state_violations(state), [])


class EncodingTest(unittest.TestCase):
    def test_decoded_commands_encode_to_the_same_entries(self) -> None:
        entries = golden_json("replicated_states.json")["work entries"]
        commands = [decode_command(data) for data in entries]
        kinds = {type(command) for command in commands}
        self.assertEqual(
            kinds,
            {AddRequests, ChangeState, ForgetMachine, IssuePermit, RecordDemand, RegisterMachine, SetPause},
        )
        self.assertEqual([encode_command(command) for command in commands if command], entries)

    def test_unknown_and_malformed_commands_are_skipped(self) -> None:
        state = MaintenanceState()
        before = state.snapshot()
        for values in (["unknown", 1], ["hold", 5], ["permit", "a"]):
            state.apply(encode_entry("upkeep", *values))
        self.assertEqual(state.snapshot(), before)

    def test_messages_are_encoded_as_lists_and_malformed_ones_are_rejected(self) -> None:
        report = LoadReport(4, STATUS, 2, 1)
        body = ["at", 4, 100.0, "a", False, 1.0, 0.0, 2, 1, 0.0, 0.0]
        self.assertEqual(encode_report(report), body)
        self.assertEqual(decode_message(body), report)
        answer = ReportAnswer(4, "permitted", 7, 3000.0)
        self.assertEqual(encode_answer(answer), ["told", 4, "permitted", 7, 3000.0])
        self.assertEqual(decode_message(encode_answer(answer)), answer)
        for wrong in ([], ["at"], ["told", 4, "permitted", 7, "3000"], body[:-1]):
            with self.subTest(wrong=wrong), self.assertRaises(InvalidMessageError):
                decode_message(wrong)


class LeaderWithoutConsensus:
    """Coordinator environment that always leads and accepts no proposals."""

    def propose(self, _command: Command) -> bool:
        return False

    def is_leader(self, _now_ms: float) -> bool:
        return True

    def has_left(self, _name: str) -> bool:
        return False

    def known_machines(self) -> set[str]:
        return set()

    def wall_clock_ms(self) -> float:
        return 1.0


class ProposalsTest(unittest.TestCase):
    def test_a_repeated_command_is_proposed_once_per_retry_interval(self) -> None:
        environment = mock.Mock()
        proposals = Proposals(environment)
        commands: list[tuple[Command, float]] = [
            (IssuePermit("a", 7, 0.0), 0.0),
            (IssuePermit("a", 8, 1.0), 999.0),  # repeats the first command
            (IssuePermit("b", 7, 1.0), 999.0),
            (ChangeState("a", 1, RequestState.DRAINING, "", 0.0), 999.0),
            (ChangeState("a", 2, RequestState.DRAINING, "", 0.0), 999.0),
            (IssuePermit("a", 9, 2.0), 1000.0),
        ]
        for command, now_ms in commands:
            proposals.propose(command, now_ms)
        proposed = [call.args[0] for call in environment.propose.call_args_list]
        self.assertEqual(
            proposed, [command for command, _ in commands if command != IssuePermit("a", 8, 1.0)]
        )

    def test_only_the_given_permit_is_withheld_until_the_release(self) -> None:
        proposals = Proposals(mock.Mock())
        proposals.withhold_permit("a", 3)
        self.assertTrue(proposals.is_withheld("a", 3))
        self.assertFalse(proposals.is_withheld("a", 4))
        proposals.release_permits()
        self.assertFalse(proposals.is_withheld("a", 3))


class LapsedPermitTest(unittest.TestCase):
    def test_a_permit_lapses_only_after_a_report_that_the_machine_is_not_draining(self) -> None:
        request = MaintenanceRequest("a", 1.0, 0.0, state=RequestState.PERMITTED, permit_number=3)
        lapses_at_ms = 1000.0 + 3000.0 * 1.02 + 500.0
        for received_at_ms, draining_permit, now_ms, has_lapsed in [
            (lapses_at_ms, 0, lapses_at_ms, False),
            (lapses_at_ms + 1.0, 0, lapses_at_ms + 1.0, True),
            (lapses_at_ms + 1.0, 3, lapses_at_ms + 1.0, False),  # it drains under this permit
            (lapses_at_ms + 1.0, 0, lapses_at_ms + 6002.0, False),  # silent: it may have drained
        ]:
            with self.subTest(received_at_ms=received_at_ms, draining_permit=draining_permit):
                report = MachineReport(
                    machine=Machine("a", 100.0),
                    run_id=7,
                    warm_fraction=1.0,
                    rpcs_per_second=0.0,
                    received_at_ms=received_at_ms,
                    draining_permit=draining_permit,
                    used_permit=0,
                    ok_count=0.0,
                    answered_count=0.0,
                    offered_at_ms=1000.0,
                )
                found = has_permit_lapsed(request, report, 0.0, 3000.0, 500.0, now_ms)
                self.assertIs(found, has_lapsed)
        self.assertFalse(has_permit_lapsed(request, None, 0.0, 3000.0, 500.0, 1e9))


class PermitFileTest(unittest.TestCase):
    def test_reads_only_a_valid_file_written_for_the_same_server(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = f"{folder}/permit"
        self.assertEqual(read_used_permit(path, "n1"), 0)
        write_used_permit(path, "n1", 17)
        self.assertEqual(read_used_permit(path, "n1"), 17)
        self.assertEqual(read_used_permit(path, "n2"), 0)
        Path(path).write_text("n1 not-a-number\n")
        self.assertEqual(read_used_permit(path, "n1"), 0)


class TrafficMeterTest(unittest.TestCase):
    def test_counts_answers_and_computes_the_rate_of_the_last_complete_window(self) -> None:
        rpc: Any = None
        meter = TrafficMeter(500.0)
        for _ in range(30):
            meter.on_read(rpc)
        meter.roll_window(1499.0)
        self.assertEqual(meter.rpcs_per_second, 0.0)
        meter.roll_window(2000.0)
        self.assertEqual(meter.rpcs_per_second, 20.0)
        for kind in (AnswerKind.OK, AnswerKind.ABORTED, AnswerKind.REJECTED, AnswerKind.OK):
            meter.on_answered(rpc, kind)
        self.assertEqual((meter.ok_count, meter.answered_count), (2.0, 4.0))


class NewLeaderTest(unittest.TestCase):
    def test_a_new_leader_counts_machines_that_never_reported_to_it_as_lost(self) -> None:
        # Two of five voters are down when the leader is elected. The machines that do report violate no
        # constraint by themselves.
        fleet = started_fleet(12, outage_minutes=0.5, peak_load=0.3)
        self.assertEqual(set(fleet.state.machines), set(fleet.machines))
        for name in ("n1", "n3"):
            fleet.crash(name, 60_000.0)
        fleet.coordinator = fleet.elect_leader()
        fleet.coordinator.fleet.voters = [f"n{index}" for index in range(5)]
        fleet.request_maintenance(["n9"])
        run(fleet, 30)
        self.assertIs(fleet.state.requests["n9"].state, RequestState.REQUESTED)
        self.assertIn("voters: 3 of 4", fleet.coordinator.waiting_reason)
        run(fleet, 300)
        self.assertEqual(fleet.state.requests, {})

    def test_a_new_leader_offers_no_permit_before_it_has_evaluated_the_constraints(self) -> None:
        # The previous leader issued the permit and was lost with its zone, which may violate the constraints.
        state = MaintenanceState()
        request = MaintenanceRequest("n9", 0.5, 0.0, not_after_ms=1e18)
        state.apply(encode_command(AddRequests((request,))))
        state.apply(encode_command(IssuePermit("n9", 7, 0.0)))
        coordinator = MaintenanceCoordinator(state, CoordinatorSettings(), LeaderWithoutConsensus())
        coordinator.step(0.0)
        for now_ms, valid_ms in [(10.0, 0.0), (2900.0, 0.0), (3400.0, 3000.0)]:
            with self.subTest(now_ms=now_ms):
                coordinator.step(now_ms)
                answer = coordinator.on_report(Machine("n9", 100.0), 7, LoadReport(4, STATUS, 0, 0), now_ms)
                self.assertEqual(answer, ReportAnswer(4, "permitted", 1, valid_ms))

    def test_the_state_keeps_machine_facts_until_membership_forgets_the_machine(self) -> None:
        fleet = started_fleet(12, outage_minutes=10.0, peak_load=0.75)
        self.assertEqual(reloaded(fleet.state).machines["n4"], MachineFacts(100.0, "z0", "b", True))
        del fleet.machines["n11"], fleet.coordinator.fleet.reports["n11"]
        fleet.request_maintenance(["n1"])
        run(fleet, 20)
        self.assertNotIn("n11", fleet.state.machines)


class ExpectedDemandTest(unittest.TestCase):
    def test_no_machine_drains_if_the_daily_profile_predicts_a_peak_during_the_outage(self) -> None:
        fleet = started_fleet(10, outage_minutes=10.0, peak_load=0.4, steps=12)  # now about a third of it
        quarter = DailyDemandProfile.quarter_of_day(fleet.now_ms)
        current = fleet.coordinator.fleet.current_demand(fleet.now_ms)
        for other in range(96):
            peak = 7.0 * current if other == quarter + 1 else current
            fleet.state.demand_profile.record(other, peak)
        fleet.now_ms += 0.6 * QUARTER_MS - fleet.now_ms % QUARTER_MS
        fleet.coordinator.leader_since_ms = fleet.now_ms - 10_000.0
        fleet.request_maintenance(["n7"])
        run(fleet, 6)
        self.assertGreater(fleet.coordinator.expected_demand(), 6.0 * current)
        self.assertIs(fleet.state.requests["n7"].state, RequestState.REQUESTED)
        self.assertIn("the whole", fleet.coordinator.waiting_reason)
        self.assertEqual(reloaded(fleet.state).demand_profile.peaks, fleet.state.demand_profile.peaks)


class SimulatedDaysTest(unittest.TestCase):
    def test_no_simulated_row_finds_a_violation(self) -> None:
        for name in VIRTUAL_ROWS:
            with self.subTest(name=name):
                row = play_virtual_row(name, 15, 1, "")
                self.assertEqual(row.violations, [], row.figures)

    def test_a_violation_is_found_when_a_defence_is_removed(self) -> None:
        for without, name in [("floor", "floor_kept"), ("end", "late_word")]:
            with self.subTest(without=without):
                self.assertNotEqual(play_virtual_row(name, 15, 1, without).violations, [])
