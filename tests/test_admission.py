"""Tests the deadline check, start order, concurrency limit and memory limit of queued RPCs."""

import unittest
from dataclasses import replace

from landingshift.admission.interface import DownstreamKind, Outcome
from tests.helpers import METHOD, AdmissionBench

CALLING_METHOD = replace(METHOD, calls_downstream=True, degraded_value_fraction=0.5)


class DeadlineChecks(unittest.TestCase):
    def test_starts_rpc_only_until_deadline_minus_margin_has_passed(self) -> None:
        # Columns: late value fraction, duration of an earlier run, time waited, whether the RPC starts.
        cases = [
            (0.0, None, 0.0, True),
            (0.0, None, 1100.0, False),  # without late value, the latency objective acts as the deadline
            (1.0, None, 1100.0, True),
            (0.2, None, 1100.0, False),  # little late value: another server may still answer in time
            (0.6, None, 1100.0, True),
            (0.0, 400.0, 500.0, True),
            (0.0, 400.0, 700.0, False),  # now + p99 is past the deadline
            (0.0, 900.0, 250.0, True),  # the margin is capped at a fraction of the time budget
            (0.0, 900.0, 350.0, False),
            (1.0, 900.0, 1900.0, True),
            (1.0, 900.0, 2200.0, False),
            (1.0, None, 3000.0, False),  # no time left, although the margin is still 0
            (1.0, None, 3500.0, False),
        ]
        for late_value_fraction, run_ms, waited_ms, starts in cases:
            with self.subTest(late_value_fraction=late_value_fraction, run_ms=run_ms, waited_ms=waited_ms):
                bench = AdmissionBench(replace(METHOD, late_value_fraction=late_value_fraction))
                if run_ms:
                    first = bench.start()
                    bench.set_time(run_ms)
                    bench.controller.on_run_finished(first, Outcome.OK, run_ms)
                    bench.run_check()
                managed = bench.start(waited_ms=waited_ms, remaining_ms=3000.0 - waited_ms)
                self.assertEqual(bench.action_names_of(managed), ["start_run"] if starts else ["reject"])

    def test_rejects_queued_rpc_as_soon_as_it_fails_without_waiting_for_a_free_slot(self) -> None:
        bench = AdmissionBench()
        running = [bench.read() for _ in range(2)]
        queued = bench.start()
        self.assertEqual(
            [bench.action_names_of(managed) for managed in (*running, queued)],
            [["start_run"], ["start_run"], []],
        )
        bench.run_check(900.0)
        self.assertEqual(bench.action_names_of(queued), [])
        bench.run_check(150.0)
        self.assertEqual(bench.action_names_of(queued), ["reject"])

    def test_rejects_rpc_that_fails_between_two_timer_checks(self) -> None:
        bench = AdmissionBench(core_count=1)
        running = bench.start()
        queued = [bench.read(remaining_ms=3000.0 - i) for i in range(5)]
        expiring = bench.read(remaining_ms=60.0)
        for _ in range(9):
            bench.set_time(bench.controller.now_ms + 5.0)
            bench.controller.settle()
        self.assertEqual(bench.action_names_of(expiring), [])
        # No timer check runs in between: the RPC must be rejected when it fails, not at the next check.
        bench.set_time(bench.controller.now_ms + 20.0)
        bench.controller.settle()
        self.assertEqual(bench.action_names_of(expiring), ["reject"])
        bench.controller.start_draining(0.0)
        bench.controller.settle()
        self.assertEqual([bench.action_names_of(managed) for managed in queued], [["reject"]] * 5)
        self.assertEqual(bench.action_names_of(running), ["start_run"])


class StartOrders(unittest.TestCase):
    def test_starts_rpc_of_highest_criticality_first(self) -> None:
        low, high = METHOD, replace(METHOD, criticality=5.0)
        bench = AdmissionBench(low, core_count=1)
        bench.controller.service_times[high] = bench.controller.service_times[low]
        managed_rpcs = [bench.read(method=method) for method in (low, high, low)]
        bench.controller.settle()
        self.assertEqual(
            [bool(bench.action_names_of(managed)) for managed in managed_rpcs], [False, True, False]
        )

    def test_starts_only_the_best_while_saturated_and_rejects_the_rest_early(self) -> None:
        best = replace(METHOD, criticality=5.0)
        for on_cores, core_utilization, starts in [(4.0, 1.0, False), (0.0, 0.3, True)]:
            with self.subTest(on_cores=on_cores):
                bench = AdmissionBench()
                bench.controller.service_times[best] = bench.controller.service_times[METHOD]
                for i in range(20):
                    bench.read(method=best, waited_ms=0.0 if i % 4 == 0 else 1500.0)
                    bench.controller.settle()
                    for managed in list(bench.controller.state.running):
                        bench.controller.on_run_finished(managed, Outcome.OK, 20.0)
                    bench.run_check(50.0, core_utilization, on_cores)
                low_priority = bench.start()
                self.assertEqual(bench.action_names_of(low_priority) == ["start_run"], starts)
                if not starts:  # rejected while another server can still run it
                    bench.run_check(150.0, core_utilization, on_cores)
                    self.assertEqual(bench.action_names_of(low_priority), ["reject"])


class ConcurrencyLimits(unittest.TestCase):
    def test_limit_follows_idle_and_busy_cores(self) -> None:
        # Columns: tasks on the cores, core utilization, minimum and maximum of the runs that start from 8
        # RPCs on 2 cores.
        for on_cores, core_utilization, min_runs, max_runs in [
            (0, 0.2, 3, 16),
            (2, 1.0, 2, 2),
            (40, 1.0, 2, 2),
        ]:
            with self.subTest(on_cores=on_cores):
                bench = AdmissionBench()
                managed_rpcs = [bench.read() for _ in range(8)]
                bench.controller.settle()
                for _ in range(12):
                    bench.run_check(20.0, core_utilization, on_cores)
                runs = sum(bench.action_names_of(managed) == ["start_run"] for managed in managed_rpcs)
                self.assertTrue(min_runs <= runs <= max_runs, runs)

    def test_limit_is_cut_by_busy_cores_if_too_few_runs_end(self) -> None:
        for on_cores, runs in [(2, 6), (8, 2)]:
            with self.subTest(on_cores=on_cores):
                bench = AdmissionBench()
                bench.controller.limit.limit = 6.0
                for _ in range(60):
                    bench.run_check(50.0, 1.0, on_cores)
                bench.controller.limit.reading_cores = 0.0
                for _ in range(9):
                    bench.read()
                bench.controller.settle()
                self.assertEqual(len(bench.actions_named("start_run")), runs)

    def test_runs_stay_within_the_survivable_number_while_cold_or_calling(self) -> None:
        for starts_cold, max_runs in [(False, 13), (True, 4)]:
            with self.subTest(starts_cold=starts_cold):
                bench = AdmissionBench(
                    replace(CALLING_METHOD, degraded_value_fraction=0.0),
                    starts_cold=starts_cold,
                    downstream=DownstreamKind.TIER,
                )
                managed_rpcs = [bench.read() for _ in range(60)]
                for _ in range(40):
                    bench.controller.settle()
                    for managed in managed_rpcs:
                        bench.controller.on_call_needed(managed)
                    bench.run_check(1.0, 0.1, 0)
                self.assertLessEqual(len(bench.actions_named("start_run")), max_runs + 1)

    def test_fewer_runs_start_while_reads_occupy_the_cores(self) -> None:
        for reading_cores, runs in [(0, 4), (3, 3), (8, 1)]:
            with self.subTest(reading_cores=reading_cores):
                bench = AdmissionBench(core_count=4)
                for _ in range(30):
                    bench.run_check(50.0, 1.0, reading_cores)
                for _ in range(9):
                    bench.read()
                bench.controller.settle()
                self.assertEqual(len(bench.actions_named("start_run")), runs)

    def test_abandoned_runs_count_as_running(self) -> None:
        # If abandoned runs were counted as reads, they would lower the limit and hide idle cores.
        bench = AdmissionBench(core_count=4)
        managed_rpcs = [bench.read() for _ in range(4)]
        bench.controller.settle()
        for managed in managed_rpcs:
            bench.controller.on_caller_gone(managed)
        queued = bench.read()
        for _ in range(10):
            bench.run_check(on_cores=4)
        self.assertEqual((bench.controller.limit.reading_cores, bench.action_names_of(queued)), (0.0, []))
        bench.run_check(core_utilization=0.75, on_cores=3)
        self.assertEqual(bench.action_names_of(queued), ["start_run"])

    def test_memory_in_use_stays_below_its_limit(self) -> None:
        bench = AdmissionBench(memory_kb=250.0)
        managed_rpcs = [bench.read() for _ in range(30)]
        bench.controller.settle()
        self.assertLessEqual(bench.controller.state.memory_in_use_kb, 250.0)
        self.assertTrue(any(bench.action_names_of(managed) == ["start_run"] for managed in managed_rpcs))
        self.assertTrue(any(bench.action_names_of(managed) == ["reject"] for managed in managed_rpcs))


class ExcessRpcsTest(unittest.TestCase):
    def test_rpcs_in_excess_start_after_all_others(self) -> None:
        # Guards against a client that sends more than is handled at once and whose RPCs are older for that.
        urgent = replace(METHOD, criticality=5.0)
        bench = AdmissionBench(METHOD, urgent)
        excess = bench.read(method=urgent, waited_ms=900.0, is_excess=True)
        older, newer = bench.read(waited_ms=2.0), bench.read(waited_ms=1.0)
        for newest_first, others in [(False, [older, newer]), (True, [newer, older])]:
            with self.subTest(newest_first=newest_first):
                ordered = bench.controller.order.sort(bench.controller.state.queued, newest_first)
                self.assertEqual(ordered, [*others, excess])

    def test_rpcs_in_excess_do_not_change_the_statistics_of_callers(self) -> None:
        bench = AdmissionBench()
        for caller_id in range(10):
            bench.read(caller_id=caller_id, waited_ms=900.0, is_excess=True)
        controller = bench.controller
        self.assertEqual(controller.callers.caller_ids.count(0.0), 0)
        self.assertEqual(controller.order.arrival_priorities.count(0.0), 0)
        self.assertEqual(controller.backpressure.unread_ms.count(0.0), 0)


if __name__ == "__main__":
    unittest.main()
