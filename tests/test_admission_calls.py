"""Downstream calls: retries, rate, quota and calls in flight."""

import unittest
from dataclasses import replace
from typing import Any

from landingshift.admission.interface import DownstreamKind, Idempotency, Outcome
from tests.helpers import METHOD, AdmissionBench

KEYED = replace(METHOD, idempotency=Idempotency.KEYED)
NON_IDEMPOTENT = replace(METHOD, idempotency=Idempotency.NON_IDEMPOTENT)
CALLING_METHOD = replace(METHOD, calls_downstream=True, degraded_value_fraction=0.5)


class CallRetries(unittest.TestCase):
    def test_repeats_call_only_if_idempotent_or_never_run(self) -> None:
        for method, outcome, calls in [
            (CALLING_METHOD, Outcome.ABORTED, 2),
            (replace(NON_IDEMPOTENT, calls_downstream=True, degraded_value_fraction=0.5), Outcome.ABORTED, 1),
            (
                replace(NON_IDEMPOTENT, calls_downstream=True, degraded_value_fraction=0.5),
                Outcome.REJECTED,
                2,
            ),
            (replace(KEYED, calls_downstream=True), Outcome.NO_RESPONSE, 1),
        ]:
            with self.subTest(outcome=outcome, effect=method.idempotency):
                bench = AdmissionBench(method, downstream=DownstreamKind.TIER)
                managed = bench.start()
                bench.controller.on_call_needed(managed)
                bench.controller.settle()
                bench.controller.on_call_finished(managed, outcome, 10.0)
                bench.controller.settle()
                self.assertEqual(len(bench.actions_named("start_call")), calls)
                self.assertEqual(bench.actions_named("reject"), [])


class CallRates(unittest.TestCase):
    def test_larger_quota_is_used_at_once_unless_calls_were_lost(self) -> None:
        # Paced up step by step from a floor, a fleet that starts leaves most of the store unused for seconds.
        bench = AdmissionBench(CALLING_METHOD, downstream=DownstreamKind.SHARED_STORE)
        bench.controller.set_call_quota(0.4)
        bench.controller.set_call_quota(8.0)
        self.assertEqual(bench.controller.call_rate.calls_per_second, 8.0)
        bench.controller.call_rate.calls_per_second = 1.0  # as after two calls in a row without an answer
        bench.controller.set_call_quota(16.0)
        self.assertEqual(bench.controller.call_rate.calls_per_second, 1.0)
        bench.controller.set_call_quota(0.5)
        self.assertEqual(bench.controller.call_rate.calls_per_second, 0.5)

    def test_burst_after_idle_time_stays_within_the_quota(self) -> None:
        # One server that had most of the store's calls lent made a fifth more of them than it bears.
        for share in (12.0, 22.0, 60.0):
            with self.subTest(share=share):
                bench = AdmissionBench(
                    CALLING_METHOD,
                    downstream=DownstreamKind.SHARED_STORE,
                    downstream_concurrency_quota=500.0,
                    downstream_quota_window_ms=5000.0,
                    core_count=400,
                )
                bench.controller.set_call_quota(share)
                for _ in range(40):  # nothing is asked for: calls may be saved up
                    bench.run_check()
                begun: list[float] = []
                for _ in range(60):
                    for _ in range(8):
                        managed = bench.start()
                        bench.controller.on_call_needed(managed)
                        bench.controller.settle()
                        begun += [bench.controller.now_ms] * (
                            len(bench.actions_named("start_call")) - len(begun)
                        )
                    bench.run_check()
                    begun += [bench.controller.now_ms] * (len(bench.actions_named("start_call")) - len(begun))
                    for managed in list(bench.controller.state.calling):
                        bench.controller.on_call_finished(managed, Outcome.OK, 12.0)
                    for managed in list(bench.controller.state.running):
                        bench.controller.on_run_finished(managed, Outcome.OK, 50.0)
                peak = max(sum(at <= t < at + 1000.0 for t in begun) for at in begun)
                self.assertLessEqual(peak, 1.1 * share)
                self.assertGreaterEqual(len(begun), 0.95 * 3.0 * share)  # all of it is used

    def test_paces_calls_only_for_slow_or_unanswered_ones(self) -> None:
        # At 1 call a second nearly all would be left out for as long as a store that still answers is slow.
        for outcome, took, paced in [
            (Outcome.OK, 12.0, False), (Outcome.OK, 80.0, False), (Outcome.OK, 600.0, True),
            (Outcome.CONNECTION_LOST, 12.0, False), (Outcome.NO_RESPONSE, 300.0, True),
        ]:  # fmt: skip
            with self.subTest(outcome=outcome, took=took):
                bench = AdmissionBench(
                    CALLING_METHOD,
                    downstream=DownstreamKind.SHARED_STORE,
                    downstream_concurrency_quota=500.0,
                    downstream_quota_window_ms=5000.0,
                    core_count=40,
                )
                for i in range(80):
                    slow = i >= 40
                    managed = bench.start()
                    bench.controller.on_call_needed(managed)
                    bench.controller.settle()
                    bench.controller.on_call_finished(
                        managed, outcome if slow else Outcome.OK, took if slow else 12.0
                    )
                    if managed.state is not None:
                        bench.controller.on_run_finished(managed, Outcome.OK, 100.0)
                    bench.run_check(elapsed_ms=75.0)
                self.assertEqual(
                    any("paced calls on" in action[1] for action in bench.actions_named("log")), paced
                )

    def test_stops_calling_a_hanging_store_before_its_quota_is_spent(self) -> None:
        # Hundreds of servers with a share below one call each: all spent it on calls that is_hung, then none
        # could call for seconds after the store was well, and all came back to it at one time.
        bench = AdmissionBench(
            CALLING_METHOD,
            downstream=DownstreamKind.SHARED_STORE,
            downstream_concurrency_quota=0.9,
            downstream_quota_window_ms=5000.0,
            lost_call_linger_ms=200.0,
            core_count=40,
        )
        out: list[tuple[float, Any]] = []
        begun: list[float] = []  # calls that were answered
        seen = lost = 0
        for step in range(500):  # 10 s, a call wanted each 0.1 s; from 2 to 3 s none is answered
            bench.set_time(20.0 * step)
            if step % 5 == 0:
                managed = bench.start()
                bench.controller.on_call_needed(managed)
            bench.controller.settle()
            managed_rpcs = {
                managed.rpc: managed
                for place in bench.controller.state.rpcs_by_state.values()
                for managed in place
            }
            for what, rpc, *_ in bench.actions_named("start_call", "skip_call")[seen:]:
                seen += 1
                if what == "start_call":
                    out.append((bench.controller.now_ms, managed_rpcs[rpc]))
                else:
                    bench.controller.on_run_finished(managed_rpcs[rpc], Outcome.OK, 50.0)
            for at, managed in list(out):
                is_hung = 1700.0 < at < 3000.0
                if bench.controller.now_ms - at >= (300.0 if is_hung else 20.0):
                    out.remove((at, managed))
                    lost += is_hung
                    begun += [] if is_hung else [at]
                    bench.controller.on_call_finished(
                        managed, Outcome.NO_RESPONSE if is_hung else Outcome.OK, bench.controller.now_ms - at
                    )
                    bench.controller.on_run_finished(managed, Outcome.OK, 50.0)
            bench.run_check(0.0)
        well = [sum(at <= t < at + 1000.0 for t in begun) for at in (3e3, 4e3, 5e3)]
        self.assertLessEqual(lost, 4)
        self.assertGreaterEqual(min(well), 2, well)
        self.assertGreaterEqual(sum(well), 14, well)


class CallQuotas(unittest.TestCase):
    def test_reserved_call_time_stays_within_the_quota(self) -> None:
        for downstream_concurrency_quota in (0.2, 0.5, 3.0):
            with self.subTest(downstream_concurrency_quota=downstream_concurrency_quota):
                bench = AdmissionBench(
                    CALLING_METHOD,
                    downstream=DownstreamKind.SHARED_STORE,
                    downstream_concurrency_quota=downstream_concurrency_quota,
                    downstream_quota_window_ms=5000.0,
                    lost_call_linger_ms=200.0,
                    core_count=40,
                )
                managed_rpcs = [bench.read() for _ in range(40)]
                bench.controller.settle()
                for managed in managed_rpcs:
                    bench.controller.on_call_needed(managed)
                bench.controller.settle()
                calls = bench.actions_named("start_call")
                self.assertGreaterEqual(len(calls), 1)
                self.assertLessEqual(
                    sum(call[2] + 200.0 for call in calls), downstream_concurrency_quota * 5000.0
                )
                bench.run_check(900.0)
                self.assertEqual(len(bench.actions_named("start_call", "skip_call", "abort")), 40)

    def test_lost_call_counts_while_the_store_may_go_on_with_it(self) -> None:
        for outcome, wait, calls in [
            (Outcome.ABORTED, 100.0, 2),
            (Outcome.NO_RESPONSE, 100.0, 1),
            (Outcome.NO_RESPONSE, 6000.0, 2),
        ]:
            with self.subTest(outcome=outcome, wait=wait):
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
                    managed = bench.start(remaining_ms=20000.0)
                    bench.controller.on_call_needed(managed)
                    bench.controller.settle()
                    bench.set_time(bench.controller.now_ms + 300.0)
                    bench.controller.on_call_finished(managed, outcome, 300.0)
                    bench.set_time(bench.controller.now_ms + wait)
                self.assertEqual(len(bench.actions_named("start_call")), calls)

    def test_calls_in_flight_are_bounded_by_what_comes_back_in_time(self) -> None:
        # A store that turns slow would otherwise fill with calls that all run out of time.
        # Six times as long as they took in the last second, and no more than 40 % of a target of 1000 ms.
        for ended, took, out in [(0, 12.0, 6), (100, 12.0, 8), (100, 60.0, 36), (100, 90.0, 40)]:
            with self.subTest(ended=ended, took=took):
                bench = AdmissionBench(
                    CALLING_METHOD,
                    downstream=DownstreamKind.SHARED_STORE,
                    downstream_concurrency_quota=500.0,
                    downstream_quota_window_ms=5000.0,
                    core_count=200,
                )
                for i in range(ended + 60):
                    managed = bench.start()
                    bench.controller.on_call_needed(managed)
                    bench.controller.settle()
                    if i < ended:
                        bench.controller.on_call_finished(managed, Outcome.OK, took)
                        bench.controller.on_run_finished(managed, Outcome.OK, 100.0)
                    if i == ended - 1:
                        bench.run_check()
                self.assertEqual(len(bench.actions_named("start_call")) - ended, out)


if __name__ == "__main__":
    unittest.main()
