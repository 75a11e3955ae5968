"""Tests retries, rate limit, quota and concurrency limit of downstream calls."""

import unittest
from dataclasses import replace
from typing import Any

from landingshift.admission.interface import DownstreamKind, Idempotency, Outcome
from landingshift.admission.managed_rpc import ManagedRpc
from tests.helpers import METHOD, AdmissionBench

KEYED = replace(METHOD, idempotency=Idempotency.KEYED, calls_downstream=True)
CALLING_METHOD = replace(METHOD, calls_downstream=True, degraded_value_fraction=0.5)
NON_IDEMPOTENT = replace(CALLING_METHOD, idempotency=Idempotency.NON_IDEMPOTENT)
SHARED_STORE: dict[str, Any] = {
    "downstream": DownstreamKind.SHARED_STORE,
    "downstream_concurrency_quota": 500.0,
    "downstream_quota_window_ms": 5000.0,
    "core_count": 40,
}
"""Settings of a server whose quota of the store is too large to limit its calls."""


def start_and_need_call(bench: AdmissionBench, **facts: Any) -> ManagedRpc:
    """Starts an RPC whose run needs a downstream call."""
    managed = bench.start(**facts)
    bench.controller.on_call_needed(managed)
    bench.controller.settle()
    return managed


class CallRetries(unittest.TestCase):
    def test_retries_call_only_if_idempotent_or_never_run(self) -> None:
        for method, outcome, call_count in [
            (CALLING_METHOD, Outcome.ABORTED, 2),
            (NON_IDEMPOTENT, Outcome.ABORTED, 1),
            (NON_IDEMPOTENT, Outcome.REJECTED, 2),
            (KEYED, Outcome.NO_RESPONSE, 1),
        ]:
            with self.subTest(outcome=outcome, idempotency=method.idempotency):
                bench = AdmissionBench(method, downstream=DownstreamKind.TIER)
                managed = start_and_need_call(bench)
                bench.controller.on_call_finished(managed, outcome, 10.0)
                bench.controller.settle()
                self.assertEqual(len(bench.actions_named("start_call")), call_count)
                self.assertEqual(bench.actions_named("reject"), [])


def starts_within_a_second(started_at_ms: list[float], from_ms: float) -> int:
    """Returns how many calls started in the second that begins at `from_ms`."""
    return sum(from_ms <= started < from_ms + 1000.0 for started in started_at_ms)


class HangingStore:
    """A server that needs a call every 0.1 s, and a store that answers no call started between 1.7 and 3 s.

    Attributes:
        answered_at_ms: Start times of the calls that were answered.
        lost_count: Number of calls without a response.
    """

    STEP_MS = 20.0
    STEPS_PER_CALL = 5

    def __init__(self, bench: AdmissionBench) -> None:
        self.bench = bench
        self.in_flight: list[tuple[float, ManagedRpc]] = []
        self.answered_at_ms: list[float] = []
        self.lost_count = 0
        self.handled_action_count = 0

    def run(self, step_count: int) -> None:
        """Simulates `step_count` steps."""
        for step in range(step_count):
            self.bench.set_time(self.STEP_MS * step)
            if step % self.STEPS_PER_CALL == 0:
                managed = self.bench.start()
                self.bench.controller.on_call_needed(managed)
            self.bench.controller.settle()
            self.handle_actions()
            self.end_calls()
            self.bench.run_check(0.0)

    def handle_actions(self) -> None:
        """Starts the calls that the controller requests, and ends the runs whose call is skipped."""
        controller = self.bench.controller
        managed_by_rpc = {managed.rpc: managed for managed in controller.state.all_rpcs()}
        actions = self.bench.actions_named("start_call", "skip_call")
        for name, rpc, *_ in actions[self.handled_action_count :]:
            self.handled_action_count += 1
            if name == "start_call":
                self.in_flight.append((controller.now_ms, managed_by_rpc[rpc]))
            else:
                controller.on_run_finished(managed_by_rpc[rpc], Outcome.OK, 50.0)

    def end_calls(self) -> None:
        """Ends the calls that have been answered or have timed out, and their runs."""
        controller = self.bench.controller
        for started_at_ms, managed in list(self.in_flight):
            hangs = 1700.0 < started_at_ms < 3000.0
            elapsed_ms = controller.now_ms - started_at_ms
            if elapsed_ms < (300.0 if hangs else 20.0):
                continue
            self.in_flight.remove((started_at_ms, managed))
            if hangs:
                self.lost_count += 1
            else:
                self.answered_at_ms.append(started_at_ms)
            outcome = Outcome.NO_RESPONSE if hangs else Outcome.OK
            controller.on_call_finished(managed, outcome, elapsed_ms)
            controller.on_run_finished(managed, Outcome.OK, 50.0)


class CallRates(unittest.TestCase):
    def test_larger_quota_is_used_at_once_unless_calls_were_lost(self) -> None:
        # If the rate grew step by step from a small initial quota, a starting fleet would leave most of the
        # store's capacity unused for seconds.
        bench = AdmissionBench(CALLING_METHOD, downstream=DownstreamKind.SHARED_STORE)
        call_rate = bench.controller.call_rate
        bench.controller.set_call_rate_quota(0.4)
        bench.controller.set_call_rate_quota(8.0)
        self.assertEqual(call_rate.calls_per_second, 8.0)
        call_rate.calls_per_second = 1.0  # the rate after two consecutive calls without a response
        bench.controller.set_call_rate_quota(16.0)
        self.assertEqual(call_rate.calls_per_second, 1.0)
        bench.controller.set_call_rate_quota(0.5)
        self.assertEqual(call_rate.calls_per_second, 0.5)

    def test_burst_after_idle_time_stays_within_the_quota(self) -> None:
        # A server with most of the store's quota made a fifth more calls than the store bears after idle
        # time.
        for quota_per_second in (12.0, 22.0, 60.0):
            with self.subTest(quota_per_second=quota_per_second):
                bench = AdmissionBench(CALLING_METHOD, **SHARED_STORE | {"core_count": 400})
                bench.controller.set_call_rate_quota(quota_per_second)
                for _ in range(40):  # idle time, in which tokens accumulate
                    bench.run_check()
                started_at_ms = self.call_starts(bench, check_count=60, rpcs_per_check=8)
                peak = max(starts_within_a_second(started_at_ms, from_ms) for from_ms in started_at_ms)
                self.assertLessEqual(peak, 1.1 * quota_per_second)
                # The quota is used up.
                self.assertGreaterEqual(len(started_at_ms), 0.95 * 3.0 * quota_per_second)

    def call_starts(self, bench: AdmissionBench, check_count: int, rpcs_per_check: int) -> list[float]:
        """Returns the start times of calls while more calls are needed than the quota allows."""
        started_at_ms: list[float] = []

        def record_starts() -> None:
            new_count = len(bench.actions_named("start_call")) - len(started_at_ms)
            started_at_ms.extend([bench.controller.now_ms] * new_count)

        for _ in range(check_count):
            for _ in range(rpcs_per_check):
                start_and_need_call(bench)
                record_starts()
            bench.run_check()
            record_starts()
            for managed in list(bench.controller.state.calling):
                bench.controller.on_call_finished(managed, Outcome.OK, 12.0)
            for managed in list(bench.controller.state.running):
                bench.controller.on_run_finished(managed, Outcome.OK, 50.0)
        return started_at_ms

    def test_limits_the_rate_only_if_calls_are_unanswered_or_intolerably_slow(self) -> None:
        # A limit of 1 call per second on a slow store that still answers would skip nearly all calls.
        for outcome, latency_ms, is_paced in [
            (Outcome.OK, 12.0, False),
            (Outcome.OK, 80.0, False),
            (Outcome.OK, 600.0, True),
            (Outcome.CONNECTION_LOST, 12.0, False),
            (Outcome.NO_RESPONSE, 300.0, True),
        ]:
            with self.subTest(outcome=outcome, latency_ms=latency_ms):
                bench = AdmissionBench(CALLING_METHOD, **SHARED_STORE)
                for call_outcome, call_ms in [(Outcome.OK, 12.0)] * 40 + [(outcome, latency_ms)] * 40:
                    managed = start_and_need_call(bench)
                    bench.controller.on_call_finished(managed, call_outcome, call_ms)
                    if managed.state is not None:
                        bench.controller.on_run_finished(managed, Outcome.OK, 100.0)
                    bench.run_check(elapsed_ms=75.0)
                log_lines = [action[1] for action in bench.actions_named("log")]
                self.assertEqual(any("paced calls on" in line for line in log_lines), is_paced)

    def test_stops_calling_a_hanging_store_before_its_quota_is_used_up(self) -> None:
        # Hundreds of servers with a quota below one call each used it up on calls that hung. After the store
        # had recovered, none could call it for seconds, and then all did at the same time.
        bench = AdmissionBench(
            CALLING_METHOD,
            **SHARED_STORE | {"downstream_concurrency_quota": 0.9, "lost_call_linger_ms": 200.0},
        )
        store = HangingStore(bench)
        store.run(step_count=500)
        answered_after_recovery = [
            starts_within_a_second(store.answered_at_ms, from_ms) for from_ms in (3e3, 4e3, 5e3)
        ]
        self.assertLessEqual(store.lost_count, 4)
        self.assertGreaterEqual(min(answered_after_recovery), 2, answered_after_recovery)
        self.assertGreaterEqual(sum(answered_after_recovery), 14, answered_after_recovery)


class CallQuotas(unittest.TestCase):
    def test_reserved_call_time_stays_within_the_quota(self) -> None:
        for quota in (0.2, 0.5, 3.0):
            with self.subTest(quota=quota):
                changed = {"downstream_concurrency_quota": quota, "lost_call_linger_ms": 200.0}
                bench = AdmissionBench(CALLING_METHOD, **SHARED_STORE | changed)
                managed_rpcs = [bench.read() for _ in range(40)]
                bench.controller.settle()
                for managed in managed_rpcs:
                    bench.controller.on_call_needed(managed)
                bench.controller.settle()
                calls = bench.actions_named("start_call")
                self.assertGreaterEqual(len(calls), 1)
                self.assertLessEqual(sum(call[2] + 200.0 for call in calls), quota * 5000.0)
                bench.run_check(900.0)
                self.assertEqual(len(bench.actions_named("start_call", "skip_call", "abort")), 40)

    def test_lost_call_uses_quota_while_the_store_may_still_work_on_it(self) -> None:
        for outcome, wait_ms, call_count in [
            (Outcome.ABORTED, 100.0, 2),
            (Outcome.NO_RESPONSE, 100.0, 1),
            (Outcome.NO_RESPONSE, 6000.0, 2),
        ]:
            with self.subTest(outcome=outcome, wait_ms=wait_ms):
                method = replace(
                    CALLING_METHOD,
                    idempotency=Idempotency.NON_IDEMPOTENT,
                    latency_objective_ms=20000.0,
                    deadline_ms=30000.0,
                )
                bench = AdmissionBench(
                    method,
                    downstream=DownstreamKind.SHARED_STORE,
                    downstream_concurrency_quota=0.4,
                    downstream_quota_window_ms=5000.0,
                    lost_call_linger_ms=500.0,
                )
                for _ in range(2):
                    managed = start_and_need_call(bench, remaining_ms=20000.0)
                    bench.set_time(bench.controller.now_ms + 300.0)
                    bench.controller.on_call_finished(managed, outcome, 300.0)
                    bench.set_time(bench.controller.now_ms + wait_ms)
                self.assertEqual(len(bench.actions_named("start_call")), call_count)

    def test_calls_in_flight_are_limited_to_those_that_end_in_time(self) -> None:
        # A store that becomes slow would otherwise fill with calls that all time out. The limit allows a
        # latency of 6 times the mean of the last second, but at most 40 % of the latency objective of 1000
        # ms.
        for answered_count, latency_ms, in_flight_count in [
            (0, 12.0, 6),
            (100, 12.0, 8),
            (100, 60.0, 36),
            (100, 90.0, 40),
        ]:
            with self.subTest(answered_count=answered_count, latency_ms=latency_ms):
                bench = AdmissionBench(CALLING_METHOD, **SHARED_STORE | {"core_count": 200})
                for number in range(1, answered_count + 61):
                    managed = start_and_need_call(bench)
                    if number <= answered_count:
                        bench.controller.on_call_finished(managed, Outcome.OK, latency_ms)
                        bench.controller.on_run_finished(managed, Outcome.OK, 100.0)
                    if number == answered_count:
                        bench.run_check()
                self.assertEqual(len(bench.actions_named("start_call")) - answered_count, in_flight_count)


if __name__ == "__main__":
    unittest.main()
