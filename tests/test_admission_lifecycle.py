"""Tests run deadlines, the check timer, deduplication entries, draining, standby and rolling windows."""

import unittest
from dataclasses import replace

from landingshift.admission.interface import Idempotency, Outcome, RunCancellation
from landingshift.admission.rolling_window import RollingWindow
from tests.helpers import METHOD, AdmissionBench

KEYED = replace(METHOD, idempotency=Idempotency.KEYED)


class RunDeadlines(unittest.TestCase):
    def test_aborts_run_shortly_before_its_answer_is_worthless(self) -> None:
        for run_cancellation, late_value_fraction, check_at_ms, expected in [
            (RunCancellation.NONE, 0.0, 900.0, ["start_run"]),
            (RunCancellation.NONE, 0.0, 2960.0, ["start_run"]),  # the run may still end by itself
            (RunCancellation.NONE, 0.0, 2995.0, ["start_run", "abort"]),
            (RunCancellation.DROP, 0.0, 995.0, ["start_run", "abort", "cancel_run"]),
            (RunCancellation.DROP, 0.2, 995.0, ["start_run"]),  # a late answer keeps some value
            (RunCancellation.PAUSE, 0.0, 995.0, ["start_run", "abort", "cancel_run"]),
        ]:
            with self.subTest(
                run_cancellation=run_cancellation,
                late_value_fraction=late_value_fraction,
                check_at_ms=check_at_ms,
            ):
                method = replace(METHOD, late_value_fraction=late_value_fraction)
                bench = AdmissionBench(method, run_cancellation=run_cancellation)
                managed = bench.start()
                bench.run_check(check_at_ms)
                self.assertEqual(bench.action_names_of(managed), expected)

    def test_short_lived_rpcs_do_not_delay_the_next_check(self) -> None:
        bench = AdmissionBench()
        managed = bench.start(remaining_ms=300.0)
        while bench.controller.now_ms < 400.0:
            bench.set_time(bench.controller.now_ms + 5.0)
            bench.read(remaining_ms=20.0)
            bench.run_check(0.0)
        self.assertEqual(bench.action_names_of(managed), ["start_run", "abort"])

    def test_idle_server_checks_rarely_but_aborts_its_rpcs_in_time(self) -> None:
        # Columns: other RPCs queued, remaining time, minimum and maximum delay of the next check.
        for queued_count, remaining_ms, min_delay_ms, max_delay_ms in [
            (0, 3000.0, 100.0, 200.0),
            (0, 120.0, 0.0, 50.0),
            (9, 3000.0, 0.0, 50.0),
        ]:
            with self.subTest(queued_count=queued_count, remaining_ms=remaining_ms):
                bench = AdmissionBench()
                bench.run_check()
                for _ in range(queued_count):
                    bench.read()
                managed = bench.start(remaining_ms=remaining_ms)
                scheduled = bench.actions_named("schedule_check")
                shortest_ms = min(action[1] for action in scheduled[1:])
                self.assertTrue(min_delay_ms <= shortest_ms <= max_delay_ms, scheduled)
                if remaining_ms < 200.0:
                    bench.run_check(5.0)  # superseded by a later schedule, so that it has no effect
                    self.assertEqual(bench.actions_named("schedule_check"), scheduled)
                    bench.run_check(5.0)
                    bench.run_check(100.0)
                    self.assertEqual(bench.action_names_of(managed), ["start_run", "abort"])

    def test_disconnected_caller_releases_queued_rpcs_without_an_answer(self) -> None:
        bench = AdmissionBench(core_count=1)
        managed_rpcs = [bench.read() for _ in range(3)]
        bench.controller.settle()
        for managed in managed_rpcs:
            bench.controller.on_caller_gone(managed)
        self.assertEqual(bench.actions_named("reject", "abort"), [])
        self.assertEqual(len(bench.actions_named("release")), 2)


class DedupEntryRules(unittest.TestCase):
    def test_duplicate_awaits_original_and_is_aborted_at_its_deadline(self) -> None:
        bench = AdmissionBench(KEYED)
        original = bench.read()
        duplicate = bench.start(is_duplicate=True)
        self.assertEqual(bench.action_names_of(original), ["retain_dedup_entry", "start_run"])
        self.assertEqual(bench.action_names_of(duplicate), ["await_original"])
        bench.run_check(2995.0)
        self.assertEqual(bench.action_names_of(duplicate), ["await_original", "abort"])

    def test_drops_dedup_entry_of_rpc_that_never_ran(self) -> None:
        bench = AdmissionBench(KEYED, core_count=1)
        started, queued, disconnected = bench.read(), bench.read(), bench.read()
        bench.controller.settle()
        bench.controller.on_caller_gone(disconnected)
        bench.run_check(1500.0)
        self.assertEqual(
            [bench.action_names_of(managed)[-1] for managed in (queued, disconnected)],
            ["drop_dedup_entry", "drop_dedup_entry"],
        )
        self.assertNotIn("drop_dedup_entry", bench.action_names_of(started))


class DrainingAndStandby(unittest.TestCase):
    def test_draining_server_runs_rpcs_within_the_grace_period_and_answers_before_the_stop(self) -> None:
        bench = AdmissionBench()
        bench.controller.start_draining(2000.0)
        early = bench.start()
        bench.set_time(1500.0)
        late = bench.start(waited_ms=100.0)
        bench.run_check(450.0)
        self.assertEqual(bench.action_names_of(early), ["start_run", "abort"])
        self.assertEqual(bench.action_names_of(late), ["reject"])
        self.assertIn(("set_health", False, True), bench.actions)

    def test_standby_rejects_queued_and_new_rpcs_until_the_server_returns_to_service(self) -> None:
        bench = AdmissionBench(core_count=1, max_retry_after_ms=900.0)
        running, queued = bench.read(), bench.read()
        bench.controller.settle()
        bench.controller.set_standby(True)
        bench.controller.settle()
        new = bench.start()
        self.assertEqual(
            [bench.action_names_of(managed) for managed in (running, queued, new)],
            [["start_run"], ["reject"], ["reject"]],
        )
        # The longest Retry-After, and another server may be tried.
        self.assertEqual(bench.actions_named("reject")[-1][2:], (900.0, False))
        self.assertEqual(bench.actions_named("set_health")[-1][1], False)
        bench.controller.on_run_finished(running, Outcome.OK, 5.0)
        bench.controller.set_standby(False)
        self.assertEqual(bench.actions_named("set_health")[-1][1], True)
        after_standby = bench.start()
        self.assertEqual(bench.action_names_of(after_standby), ["start_run"])

    def test_standby_and_draining_in_either_order_reject_new_rpcs(self) -> None:
        for first in ("standby", "draining"):
            with self.subTest(first=first):
                bench = AdmissionBench()
                steps = [
                    lambda bench=bench: bench.controller.set_standby(True),
                    lambda bench=bench: bench.controller.start_draining(2000.0),
                ]
                for step in steps if first == "standby" else reversed(steps):
                    step()
                managed = bench.start()
                # Rejected although it arrived within the grace period.
                self.assertEqual(bench.action_names_of(managed), ["reject"])
                bench.controller.set_standby(False)
                # The server is still draining.
                self.assertEqual(bench.actions_named("set_health")[-1][1], False)
                managed = bench.start()
                self.assertEqual(bench.action_names_of(managed), ["reject"])

    def test_settings_changed_in_place_apply_to_queued_rpcs(self) -> None:
        low, high = replace(METHOD), replace(METHOD, criticality=5.0)
        bench = AdmissionBench(low, high, core_count=1)
        running = bench.start(method=low)
        managed_rpcs = [bench.read(method=method) for method in (low, high)]
        low.criticality, high.latency_objective_ms = 9.0, 40.0
        bench.controller.on_settings_changed()
        self.assertEqual(
            [round(managed.objective_at_ms - managed.arrived_at_ms) for managed in managed_rpcs], [1000, 40]
        )
        self.assertEqual(bench.controller.state.shortest_objective_ms, 40.0)
        bench.set_time(5.0)
        bench.controller.on_run_finished(running, Outcome.OK, 5.0)
        bench.controller.settle()
        self.assertEqual([bench.action_names_of(managed) for managed in managed_rpcs], [["start_run"], []])
        bench.run_check(60.0)
        # Rejected because its new latency objective has passed.
        self.assertEqual(bench.action_names_of(managed_rpcs[1]), ["reject"])


class RollingWindows(unittest.TestCase):
    def test_drops_values_older_than_its_buckets(self) -> None:
        for additions, now_ms, expected_values in [
            ([(0.0, 1.0), (9.0, 2.0), (10.0, 3.0)], 10.0, [1.0, 2.0, 3.0]),
            ([(0.0, 1.0), (10.0, 3.0)], 30.0, [3.0]),
            ([(0.0, 1.0), (95.0, 2.0)], 95.0, [2.0]),
            ([(0.0, 1.0)], 1000.0, []),
        ]:
            with self.subTest(now_ms=now_ms):
                window = RollingWindow(3, 10.0)
                for added_at_ms, value in additions:
                    window.add(added_at_ms, value)
                    window.values(added_at_ms)
                self.assertEqual(sorted(window.values(now_ms)), expected_values)


if __name__ == "__main__":
    unittest.main()
