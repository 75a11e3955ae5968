import unittest
from dataclasses import replace
from typing import Any

from landingshift.admission.interface import (
    DownstreamKind,
    Idempotency,
    LoadAdvertisement,
    Outcome,
    RunCancellation,
    Tenant,
)
from landingshift.admission.managed_rpc import RpcState
from landingshift.admission.rolling_window import RollingWindow
from tests.helpers import METHOD, Bench

TOKENED = replace(METHOD, idempotency=Idempotency.KEYED)
FRAGILE = replace(METHOD, idempotency=Idempotency.NON_IDEMPOTENT)
CALLS = replace(METHOD, calls_downstream=True, degraded_value_fraction=0.5)


class Looks(unittest.TestCase):
    def test_reads_with_little_time_left_do_not_put_off_the_next_look(self) -> None:
        b = Bench()
        job = b.read(remaining_ms=300.0)
        b.server.settle()
        while b.server.now_ms < 400.0:
            b.at(b.server.now_ms + 5.0)
            b.read(remaining_ms=20.0)
            b.tick(0.0)
        self.assertEqual(b.fates(job), ["start_run", "abort"])


class Check(unittest.TestCase):
    def test_budget_check_just_before_start(self) -> None:
        # late share, learned run, waited, starts
        table = [
            (0.0, None, 0.0, True),
            (0.0, None, 1100.0, False),  # the latency target is the deadline where late worth is nil
            (1.0, None, 1100.0, True),
            (0.2, None, 1100.0, False),  # little is left of it: it may still be in time elsewhere
            (0.6, None, 1100.0, True),
            (0.0, 400.0, 500.0, True),
            (0.0, 400.0, 700.0, False),  # now + p99 lies past the deadline
            (0.0, 900.0, 250.0, True),  # the margin is capped at a share of the time
            (0.0, 900.0, 350.0, False),
            (1.0, 900.0, 1900.0, True),
            (1.0, 900.0, 2200.0, False),
            (1.0, None, 3000.0, False),  # no time left, though no margin is learned yet
            (1.0, None, 3500.0, False),
        ]
        for late, run, waited, starts in table:
            with self.subTest(late=late, run=run, waited=waited):
                b = Bench(replace(METHOD, late_value_fraction=late))
                if run:
                    first = b.read()
                    b.server.settle()
                    b.at(run)
                    b.server.on_run_finished(first, Outcome.OK, run)
                    b.tick()
                job = b.read(waited_ms=waited, remaining_ms=3000.0 - waited)
                b.server.settle()
                self.assertEqual(b.fates(job), ["start_run"] if starts else ["reject"])

    def test_pushed_back_when_it_fails_not_when_a_slot_frees(self) -> None:
        b = Bench()
        running = [b.read() for _ in range(2)]
        held = b.read()
        b.server.settle()
        self.assertEqual([b.fates(j) for j in (*running, held)], [["start_run"], ["start_run"], []])
        b.tick(900.0)
        self.assertEqual(b.fates(held), [])
        b.tick(150.0)
        self.assertEqual(b.fates(held), ["reject"])

    def test_start_order(self) -> None:
        low, high = METHOD, replace(METHOD, criticality=5.0)
        b = Bench(low, core_count=1)
        b.server.service_times[high] = b.server.service_times[low]
        jobs = [b.read(method=m) for m in (low, high, low)]
        b.server.settle()
        self.assertEqual([bool(b.fates(j)) for j in jobs], [False, True, False])

    def test_the_best_start_though_the_hold_is_not_gone_through_at_each_pass(self) -> None:
        b = Bench(core_count=1)
        runs = b.read()
        b.server.settle()
        jobs = [b.read(remaining_ms=3000.0 - i) for i in range(5)]
        short = b.read(remaining_ms=60.0)
        for _ in range(9):
            b.at(b.server.now_ms + 5.0)
            b.server.settle()
        self.assertEqual(b.fates(short), [])
        b.at(b.server.now_ms + 20.0)  # between two looks: it fails the check now, not at the next of them
        b.server.settle()
        self.assertEqual(b.fates(short), ["reject"])
        b.server.start_draining(0.0)
        b.server.settle()
        self.assertEqual([b.fates(j) for j in jobs], [["reject"]] * 5)
        self.assertEqual(b.fates(runs), ["start_run"])


class Limit(unittest.TestCase):
    def test_cap(self) -> None:
        # on_cores, core use, cap expected from 8 reads on 2 cores
        for on_cores, use, low, high in [(0, 0.2, 3, 16), (2, 1.0, 2, 2), (40, 1.0, 2, 2)]:
            with self.subTest(on_cores=on_cores):
                b = Bench()
                jobs = [b.read() for _ in range(8)]
                b.server.settle()
                for _ in range(12):
                    b.tick(20.0, use, on_cores)
                runs = sum(b.fates(j) == ["start_run"] for j in jobs)
                self.assertTrue(low <= runs <= high, runs)

    def test_cap_comes_down_where_too_few_runs_end_to_know_their_stretch(self) -> None:
        for on_cores, runs in [(2, 6), (8, 2)]:
            with self.subTest(on_cores=on_cores):
                b = Bench()
                b.server.limit.limit = 6.0
                for _ in range(60):
                    b.tick(50.0, 1.0, on_cores)
                b.server.limit.reading_cores = 0.0
                for _ in range(9):
                    b.read()
                b.server.settle()
                self.assertEqual(len(b.names("start_run")), runs)

    def test_crowd_ceiling_counts_cold_and_calls(self) -> None:
        for cold, most in [(False, 13), (True, 4)]:
            with self.subTest(starts_cold=cold):
                b = Bench(
                    replace(CALLS, degraded_value_fraction=0.0),
                    starts_cold=cold,
                    downstream=DownstreamKind.TIER,
                )
                jobs = [b.read() for _ in range(60)]
                for _ in range(40):
                    b.server.settle()
                    for job in jobs:
                        b.server.on_call_needed(job)
                    b.tick(1.0, 0.1, 0)
                self.assertLessEqual(len(b.names("start_run")), most + 1)

    def test_cap_gives_way_to_reads(self) -> None:
        for reads, runs in [(0, 4), (3, 3), (8, 1)]:
            with self.subTest(reads=reads):
                b = Bench(core_count=4)
                for _ in range(30):
                    b.tick(50.0, 1.0, reads)
                for _ in range(9):
                    b.read()
                b.server.settle()
                self.assertEqual(len(b.names("start_run")), runs)

    def test_what_nobody_waits_for_runs_too(self) -> None:
        # Taken for reads it would push the cap down, and idle cores would not be seen behind it.
        b = Bench(core_count=4)
        jobs = [b.read() for _ in range(4)]
        b.server.settle()
        for job in jobs:
            b.server.on_caller_gone(job)
        held = b.read()
        for _ in range(10):
            b.tick(on_cores=4)
        self.assertEqual((b.server.limit.reading_cores, b.fates(held)), (0.0, []))
        b.tick(use=0.75, on_cores=3)
        self.assertEqual(b.fates(held), ["start_run"])

    def test_only_the_best_start_while_reads_crowd_out_better_work(self) -> None:
        best = replace(METHOD, criticality=5.0)
        for on_cores, use, starts in [(4.0, 1.0, False), (0.0, 0.3, True)]:
            with self.subTest(on_cores=on_cores):
                b = Bench()
                b.server.service_times[best] = b.server.service_times[METHOD]
                for i in range(20):
                    b.read(method=best, waited_ms=0.0 if i % 4 == 0 else 1500.0)
                    b.server.settle()
                    for job in list(b.server.state.rpcs_by_state[RpcState.RUNNING]):
                        b.server.on_run_finished(job, Outcome.OK, 20.0)
                    b.tick(50.0, use, on_cores)
                poor = b.read()
                b.server.settle()
                self.assertEqual(b.fates(poor) == ["start_run"], starts)
                if not starts:  # it is told while it can still go elsewhere
                    b.tick(150.0, use, on_cores)
                    self.assertEqual(b.fates(poor), ["reject"])

    def test_memory(self) -> None:
        b = Bench(memory_kb=250.0)
        jobs = [b.read() for _ in range(30)]
        b.server.settle()
        self.assertLessEqual(b.server.state.memory_in_use_kb, 250.0)
        self.assertTrue(any(b.fates(j) == ["start_run"] for j in jobs))
        self.assertTrue(any(b.fates(j) == ["reject"] for j in jobs))


class Rules(unittest.TestCase):
    def test_running_work_is_answered_in_time(self) -> None:
        for stopping, late, at, fates in [
            (RunCancellation.NONE, 0.0, 900.0, ["start_run"]),
            (RunCancellation.NONE, 0.0, 2960.0, ["start_run"]),  # it may still end by itself
            (RunCancellation.NONE, 0.0, 2995.0, ["start_run", "abort"]),
            (RunCancellation.DROP, 0.0, 995.0, ["start_run", "abort", "cancel_run"]),
            (
                RunCancellation.DROP,
                0.2,
                995.0,
                ["start_run"],
            ),  # begun in time, its late answer keeps something
            (RunCancellation.PAUSE, 0.0, 995.0, ["start_run", "abort", "cancel_run"]),
        ]:
            with self.subTest(run_cancellation=stopping, late=late, at=at):
                b = Bench(replace(METHOD, late_value_fraction=late), run_cancellation=stopping)
                job = b.read()
                b.server.settle()
                b.tick(at)
                self.assertEqual(b.fates(job), fates)

    def test_no_effect_twice(self) -> None:
        b = Bench(TOKENED)
        first = b.read()
        again = b.read(is_duplicate=True)
        b.server.settle()
        self.assertEqual(b.fates(first), ["retain_dedup_entry", "start_run"])
        self.assertEqual(b.fates(again), ["await_original"])
        b.tick(2995.0)
        self.assertEqual(b.fates(again), ["await_original", "abort"])

    def test_a_call_is_repeated_only_if_it_cannot_have_run(self) -> None:
        for method, outcome, calls in [
            (CALLS, Outcome.ABORTED, 2),
            (replace(FRAGILE, calls_downstream=True, degraded_value_fraction=0.5), Outcome.ABORTED, 1),
            (replace(FRAGILE, calls_downstream=True, degraded_value_fraction=0.5), Outcome.REJECTED, 2),
            (replace(TOKENED, calls_downstream=True), Outcome.NO_RESPONSE, 1),
        ]:
            with self.subTest(outcome=outcome, effect=method.idempotency):
                b = Bench(method, downstream=DownstreamKind.TIER)
                job = b.read()
                b.server.settle()
                b.server.on_call_needed(job)
                b.server.settle()
                b.server.on_call_finished(job, outcome, 10.0)
                b.server.settle()
                self.assertEqual(len(b.names("start_call")), calls)
                self.assertEqual(b.names("reject"), [])

    def test_drain(self) -> None:
        b = Bench()
        b.server.start_draining(2000.0)
        early = b.read()
        b.server.settle()
        b.at(1500.0)
        late = b.read(waited_ms=100.0)
        b.server.settle()
        b.tick(450.0)
        self.assertEqual(b.fates(early), ["start_run", "abort"])
        self.assertEqual(b.fates(late), ["reject"])
        self.assertIn(("set_health", False, True), b.did)

    def test_a_larger_share_of_the_store_is_used_at_once_unless_calls_were_lost(self) -> None:
        # Paced up step by step from a floor, a fleet that starts leaves most of the store unused for seconds.
        b = Bench(CALLS, downstream=DownstreamKind.SHARED_STORE)
        b.server.set_call_quota(0.4)
        b.server.set_call_quota(8.0)
        self.assertEqual(b.server.calls.calls_per_second, 8.0)
        b.server.calls.calls_per_second = 1.0  # as after two calls in a row without an answer
        b.server.set_call_quota(16.0)
        self.assertEqual(b.server.calls.calls_per_second, 1.0)
        b.server.set_call_quota(0.5)
        self.assertEqual(b.server.calls.calls_per_second, 0.5)

    def test_what_is_saved_up_does_not_pass_a_share_of_the_store(self) -> None:
        # One server that had most of the store's calls lent made a fifth more of them than it bears.
        for share in (12.0, 22.0, 60.0):
            with self.subTest(share=share):
                b = Bench(
                    CALLS,
                    downstream=DownstreamKind.SHARED_STORE,
                    downstream_concurrency_quota=500.0,
                    downstream_quota_window_ms=5000.0,
                    core_count=400,
                )
                b.server.set_call_quota(share)
                for _ in range(40):  # nothing is asked for: calls may be saved up
                    b.tick()
                begun: list[float] = []
                for _ in range(60):
                    for _ in range(8):
                        job = b.read()
                        b.server.settle()
                        b.server.on_call_needed(job)
                        b.server.settle()
                        begun += [b.server.now_ms] * (len(b.names("start_call")) - len(begun))
                    b.tick()
                    begun += [b.server.now_ms] * (len(b.names("start_call")) - len(begun))
                    for job in list(b.server.state.rpcs_by_state[RpcState.CALLING]):
                        b.server.on_call_finished(job, Outcome.OK, 12.0)
                    for job in list(b.server.state.rpcs_by_state[RpcState.RUNNING]):
                        b.server.on_run_finished(job, Outcome.OK, 50.0)
                peak = max(sum(at <= t < at + 1000.0 for t in begun) for at in begun)
                self.assertLessEqual(peak, 1.1 * share)
                self.assertGreaterEqual(len(begun), 0.95 * 3.0 * share)  # all of it is used

    def test_who_stands_aside_runs_nothing_new_says_so_and_answers_what_runs(self) -> None:
        b = Bench(core_count=1, max_retry_after_ms=900.0)
        runs, held = b.read(), b.read()
        b.server.settle()
        b.server.set_standby(True)
        b.server.settle()
        late = b.read()
        b.server.settle()
        self.assertEqual([b.fates(j) for j in (runs, held, late)], [["start_run"], ["reject"], ["reject"]])
        self.assertEqual(b.names("reject")[-1][2:], (900.0, False))  # when to return, and that others may
        self.assertEqual(b.names("set_health")[-1][1], False)
        b.server.on_run_finished(runs, Outcome.OK, 5.0)
        b.server.set_standby(False)
        self.assertEqual(b.names("set_health")[-1][1], True)
        again = b.read()
        b.server.settle()
        self.assertEqual(b.fates(again), ["start_run"])

    def test_standing_aside_and_a_notice_to_leave_in_either_order(self) -> None:
        for first in ("aside", "leave"):
            with self.subTest(first=first):
                b = Bench()
                steps = [lambda b=b: b.server.set_standby(True), lambda b=b: b.server.start_draining(2000.0)]
                for step in steps if first == "aside" else reversed(steps):
                    step()
                job = b.read()
                b.server.settle()
                self.assertEqual(b.fates(job), ["reject"])  # though it came within the grace
                b.server.set_standby(False)
                self.assertEqual(b.names("set_health")[-1][1], False)  # it still leaves
                job = b.read()
                b.server.settle()
                self.assertEqual(b.fates(job), ["reject"])

    def test_figures_that_change_in_place_judge_what_is_held(self) -> None:
        low, high = replace(METHOD), replace(METHOD, criticality=5.0)
        b = Bench(low, high, core_count=1)
        runs = b.read(method=low)
        b.server.settle()
        jobs = [b.read(method=m) for m in (low, high)]
        low.criticality, high.latency_objective_ms = 9.0, 40.0
        b.server.on_settings_changed()
        self.assertEqual([round(j.objective_at_ms - j.arrived_at_ms) for j in jobs], [1000, 40])
        self.assertEqual(b.server.state.shortest_objective_ms, 40.0)
        b.at(5.0)
        b.server.on_run_finished(runs, Outcome.OK, 5.0)
        b.server.settle()
        self.assertEqual([b.fates(j) for j in jobs], [["start_run"], []])
        b.tick(60.0)
        self.assertEqual(b.fates(jobs[1]), ["reject"])  # past the target that it has now

    def test_share_of_the_store(self) -> None:
        for downstream_concurrency_quota in (0.2, 0.5, 3.0):
            with self.subTest(downstream_concurrency_quota=downstream_concurrency_quota):
                b = Bench(
                    CALLS,
                    downstream=DownstreamKind.SHARED_STORE,
                    downstream_concurrency_quota=downstream_concurrency_quota,
                    downstream_quota_window_ms=5000.0,
                    lost_call_linger_ms=200.0,
                    core_count=40,
                )
                jobs = [b.read() for _ in range(40)]
                b.server.settle()
                for job in jobs:
                    b.server.on_call_needed(job)
                b.server.settle()
                calls = b.names("start_call")
                self.assertGreaterEqual(len(calls), 1)
                self.assertLessEqual(sum(c[2] + 200.0 for c in calls), downstream_concurrency_quota * 5000.0)
                b.tick(900.0)
                self.assertEqual(len(b.names("start_call", "skip_call", "abort")), 40)

    def test_a_lost_call_counts_while_the_store_may_hold_it(self) -> None:
        for outcome, wait, calls in [
            (Outcome.ABORTED, 100.0, 2),
            (Outcome.NO_RESPONSE, 100.0, 1),
            (Outcome.NO_RESPONSE, 6000.0, 2),
        ]:
            with self.subTest(outcome=outcome, wait=wait):
                method = replace(
                    CALLS,
                    idempotency=Idempotency.NON_IDEMPOTENT,
                    latency_objective_ms=20000.0,
                    deadline_ms=30000.0,
                )
                b = Bench(
                    method,
                    downstream=DownstreamKind.SHARED_STORE,
                    downstream_concurrency_quota=0.4,
                    downstream_quota_window_ms=5000.0,
                    lost_call_linger_ms=500.0,
                )
                for _ in range(2):
                    job = b.read(remaining_ms=20000.0)
                    b.server.settle()
                    b.server.on_call_needed(job)
                    b.server.settle()
                    b.at(b.server.now_ms + 300.0)
                    b.server.on_call_finished(job, outcome, 300.0)
                    b.at(b.server.now_ms + wait)
                self.assertEqual(len(b.names("start_call")), calls)

    def test_calls_are_paced_by_crowding_below_only(self) -> None:
        # At 1 call a second nearly all would be left out for as long as a store that still answers is slow.
        for outcome, took, paced in [
            (Outcome.OK, 12.0, False), (Outcome.OK, 80.0, False), (Outcome.OK, 600.0, True),
            (Outcome.CONNECTION_LOST, 12.0, False), (Outcome.NO_RESPONSE, 300.0, True),
        ]:  # fmt: skip
            with self.subTest(outcome=outcome, took=took):
                b = Bench(
                    CALLS,
                    downstream=DownstreamKind.SHARED_STORE,
                    downstream_concurrency_quota=500.0,
                    downstream_quota_window_ms=5000.0,
                    core_count=40,
                )
                for i in range(80):
                    slow = i >= 40
                    job = b.read()
                    b.server.settle()
                    b.server.on_call_needed(job)
                    b.server.settle()
                    b.server.on_call_finished(job, outcome if slow else Outcome.OK, took if slow else 12.0)
                    if job.state is not None:
                        b.server.on_run_finished(job, Outcome.OK, 100.0)
                    b.tick(ms=75.0)
                self.assertEqual(any("paced calls on" in d[1] for d in b.names("log")), paced)

    def test_a_store_that_hangs_is_left_alone_before_the_share_is_spent(self) -> None:
        # Hundreds of servers with a share below one call each: all spent it on calls that hung, then none
        # could call for seconds after the store was well, and all came back to it at one time.
        b = Bench(
            CALLS,
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
            b.at(20.0 * step)
            if step % 5 == 0:
                job = b.read()
                b.server.settle()
                b.server.on_call_needed(job)
            b.server.settle()
            jobs = {j.rpc: j for place in b.server.state.rpcs_by_state.values() for j in place}
            for what, rpc, *_ in b.names("start_call", "skip_call")[seen:]:
                seen += 1
                if what == "start_call":
                    out.append((b.server.now_ms, jobs[rpc]))
                else:
                    b.server.on_run_finished(jobs[rpc], Outcome.OK, 50.0)
            for at, job in list(out):
                hung = 1700.0 < at < 3000.0
                if b.server.now_ms - at >= (300.0 if hung else 20.0):
                    out.remove((at, job))
                    lost += hung
                    begun += [] if hung else [at]
                    b.server.on_call_finished(
                        job, Outcome.NO_RESPONSE if hung else Outcome.OK, b.server.now_ms - at
                    )
                    b.server.on_run_finished(job, Outcome.OK, 50.0)
            b.tick(0.0)
        well = [sum(at <= t < at + 1000.0 for t in begun) for at in (3e3, 4e3, 5e3)]
        self.assertLessEqual(lost, 4)
        self.assertGreaterEqual(min(well), 2, well)
        self.assertGreaterEqual(sum(well), 14, well)

    def test_no_more_calls_out_than_come_back_in_time(self) -> None:
        # A store that turns slow would otherwise fill with calls that all run out of time.
        # Six times as long as they took in the last second, and no more than 40 % of a target of 1000 ms.
        for ended, took, out in [(0, 12.0, 6), (100, 12.0, 8), (100, 60.0, 36), (100, 90.0, 40)]:
            with self.subTest(ended=ended, took=took):
                b = Bench(
                    CALLS,
                    downstream=DownstreamKind.SHARED_STORE,
                    downstream_concurrency_quota=500.0,
                    downstream_quota_window_ms=5000.0,
                    core_count=200,
                )
                for i in range(ended + 60):
                    job = b.read()
                    b.server.settle()
                    b.server.on_call_needed(job)
                    b.server.settle()
                    if i < ended:
                        b.server.on_call_finished(job, Outcome.OK, took)
                        b.server.on_run_finished(job, Outcome.OK, 100.0)
                    if i == ended - 1:
                        b.tick()
                self.assertEqual(len(b.names("start_call")) - ended, out)

    def test_a_tokened_rpc_that_never_ran_leaves_the_table(self) -> None:
        b = Bench(TOKENED, core_count=1)
        ran, held, gone = b.read(), b.read(), b.read()
        b.server.settle()
        b.server.on_caller_gone(gone)
        b.tick(1500.0)
        self.assertEqual([b.fates(j)[-1] for j in (held, gone)], ["drop_dedup_entry", "drop_dedup_entry"])
        self.assertNotIn("drop_dedup_entry", b.fates(ran))

    def test_hangup_frees_what_is_held(self) -> None:
        b = Bench(core_count=1)
        jobs = [b.read() for _ in range(3)]
        b.server.settle()
        for job in jobs:
            b.server.on_caller_gone(job)
        self.assertEqual(b.names("reject", "abort"), [])
        self.assertEqual(len(b.names("release")), 2)


class Fleet(unittest.TestCase):
    def test_a_ring_forgets(self) -> None:
        for adds, now, values in [
            ([(0.0, 1.0), (9.0, 2.0), (10.0, 3.0)], 10.0, [1.0, 2.0, 3.0]),
            ([(0.0, 1.0), (10.0, 3.0)], 30.0, [3.0]),
            ([(0.0, 1.0), (95.0, 2.0)], 95.0, [2.0]),
            ([(0.0, 1.0)], 1000.0, []),
        ]:
            with self.subTest(now=now):
                ring = RollingWindow(3, 10.0)
                for at, value in adds:
                    ring.add(at, value)
                    ring.values(at)
                self.assertEqual(sorted(ring.values(now)), values)

    def test_an_idle_server_rests_but_ends_its_rpcs_in_time(self) -> None:
        # others held, remaining, the look that follows comes within
        for others, remaining, low, high in [
            (0, 3000.0, 100.0, 200.0),
            (0, 120.0, 0.0, 50.0),
            (9, 3000.0, 0.0, 50.0),
        ]:
            with self.subTest(others=others, remaining=remaining):
                b = Bench()
                b.tick()
                for _ in range(others):
                    b.read()
                job = b.read(remaining_ms=remaining)
                b.server.settle()
                delays = b.names("schedule_check")
                self.assertTrue(low <= min(d[1] for d in delays[1:]) <= high, delays)
                if remaining < 200.0:
                    b.tick(5.0)  # another look has replaced this one
                    self.assertEqual(b.names("schedule_check"), delays)
                    b.tick(5.0)
                    b.tick(100.0)
                    self.assertEqual(b.fates(job), ["start_run", "abort"])

    def test_connections_are_closed_early_only_where_callers_seldom_come_back(self) -> None:
        for callers, links, closed in [(4, 200.0, False), (500, 200.0, True), (500, 3.0, False)]:
            with self.subTest(caller_count=callers, links=links):
                b = Bench()
                for i in range(100):
                    b.read(caller_id=i % callers)
                    b.tick(100.0, 0.2, 0, links)
                self.assertEqual(bool(b.names("close_idle_connections")), closed)


class Told(unittest.TestCase):
    def test_adverts(self) -> None:
        for advert, calm, leaving in [
            (LoadAdvertisement.LEVEL, 0.0, 1.0),
            (LoadAdvertisement.WEIGHT, 1.0, 0.0),
            (LoadAdvertisement.CREDIT, None, 0.0),
        ]:
            with self.subTest(load_advertisement=advert):
                b = Bench(load_advertisement=advert)
                b.tick()
                if calm is not None:
                    self.assertEqual(b.names("advertise_load")[-1][1], calm)
                else:
                    self.assertGreater(b.names("advertise_load")[-1][1], 1.0)
                b.server.start_draining(2000.0)
                b.tick()
                self.assertEqual(b.names("advertise_load")[-1][1], leaving)

    def test_a_flooding_tenant_counts_less(self) -> None:
        calm, loud = Tenant(40.0), Tenant(40.0)
        b = Bench(tenants=[calm, loud])
        for i in range(100):
            b.at(i * 40.0)
            b.read(tenant=loud)
            if i % 5 == 0:
                b.read(tenant=calm)
        b.tick()
        self.assertEqual(b.server.tenants.weights[calm], 1.0)
        self.assertLess(b.server.tenants.weights[loud], 0.8)


if __name__ == "__main__":
    unittest.main()
