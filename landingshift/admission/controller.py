"""Every decision of landingshift: what a server takes, runs, pushes back and tells its callers.

A program sets `now`, calls a method for each event, then `settle`. Each RPC is a generator (`life`).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Generator
from enum import Enum, IntEnum
from math import inf
from random import Random
from typing import Any

from landingshift.admission.interface import (
    Actions,
    DownstreamKind,
    Gauges,
    Idempotency,
    LoadAdvertisement,
    Method,
    Outcome,
    Rpc,
    RunCancellation,
    Settings,
    Tenant,
)

TICK = 50.0  # between two looks at the gauges and the hold
LAST = 10.0  # before its end that running work is answered for: it may still end by itself until then
REST = 200.0  # the same while nothing is held: idle servers of a large fleet must cost next to nothing
MARGIN_SHARE = 0.7  # the learned p99 margin is capped at this share of an RPC's whole time
SAFE = 0.85  # of each limit that kills a server or the store
UNREAD = 0.5  # of the shortest target: what waits unread for so long says the server drowns in reads
BUSY = 0.95  # core use from which the cores count as busy
SLOW = 0.4  # of the shortest target: calls that take less are no reason to leave others out
CALL_WAIT = 0.1  # of its whole time that an RPC may line up for a call it can leave out
HEARD = 0.2  # least said to callers: one that hears nothing forgets, and sends as if nothing had been said
WALKS = 0.1  # share of further tries among what is read from which the fleet counts as pushing back too
READ_CORES = 0.5  # share of the cores that may read before the cap gives way to reads
GIVE_UP = 0.12  # of its whole time that an RPC is held which is not among the best that start
LATE_WORTH = 0.5  # an answer that keeps less than this once late is better pushed back than run late
STANDS = 0.1  # share of what is read that fails the check when a line stands
LINKS = 3.0  # open connections a core above which idle ones are closed sooner, where few callers come back
NEVER_RAN = (Outcome.REJECTED, Outcome.NO_CONNECTION)


# What an RPC wants done; LINE_UP is for a call below, LEAVE means that nobody waits any more.
RpcState = IntEnum(
    "RpcState",
    "QUEUED AWAITING_ORIGINAL RUNNING AWAITING_CALL_SLOT CALLING CALL_SKIPPED REJECTED ABORTED ABANDONED",
)
# What it is resumed with; LATE is held too long or no room, ENDED that its run is over.
RpcEvent = Enum(
    "RpcEvent", "START SHED DEADLINE_REACHED CALLER_GONE CALL_NEEDED CALL_PERMITTED CALL_DENIED RUN_FINISHED"
)
Life = Generator[RpcState, "RpcEvent | Outcome", None]


# What brings an RPC's life to each place, for a new build.
WAY: dict[RpcState, tuple[RpcEvent, ...]] = {
    RpcState.QUEUED: (),
    RpcState.AWAITING_ORIGINAL: (),
    RpcState.RUNNING: (RpcEvent.START,),
    RpcState.AWAITING_CALL_SLOT: (RpcEvent.START, RpcEvent.CALL_NEEDED),
    RpcState.CALLING: (RpcEvent.START, RpcEvent.CALL_NEEDED, RpcEvent.CALL_PERMITTED),
    RpcState.ABORTED: (RpcEvent.START, RpcEvent.DEADLINE_REACHED),
    RpcState.ABANDONED: (RpcEvent.START, RpcEvent.CALLER_GONE),
}
CARRIED = (
    "arrived_at_ms", "deadline_at_ms", "objective_at_ms", "time_budget_ms", "total_call_ms", 
    "call_started_at_ms", "call_expires_at_ms", "priority", "call_attempts", "has_started",
)  # fmt: skip
# Stored name of each figure, and the attribute that holds it.
STORED_FIGURES = {
    name: name
    for name in (
        "now", "born", "last", "kb", "cap", "use", "cut_at", "met", "floor", "reading", "on_cores",
        "shortest",
        "tokens", "rate", "share", "lost_row", "slowed", "call_mean", "advert", "link_idle", "weight",
        "keeps_up",
        "leave_at", "here", "run_until", "fails", "alarm",
    )
} | {
    "now": "now_ms", "born": "started_at_ms", "leave_at": "stop_at_ms", "advert": "advertised_load",
    "link_idle": "connection_idle_timeout_ms",
    "run_until": "accept_until_ms", "alarm": "next_check_ms",
}  # fmt: skip


class Ring:
    """Values of the last `count` x `width` ms, in time buckets that are used again."""

    def __init__(self, count: int, width: float) -> None:
        self.width, self.count, self.stamp, self.news = width, count, -1, 0
        self.buckets: list[list[float]] = [[] for _ in range(count)]
        self.sums = [0.0] * count  # of each bucket, so that a mean need not go through all values

    def turn(self, now: float) -> None:
        stamp = int(now // self.width)
        if stamp != self.stamp:
            for old in range(max(self.stamp, stamp - self.count) + 1, stamp + 1):
                at = old % self.count
                self.news += len(self.buckets[at])
                self.buckets[at], self.sums[at] = [], 0.0
            self.stamp = stamp

    def add(self, now: float, value: float) -> None:
        self.turn(now)
        at = self.stamp % self.count
        self.buckets[at].append(value)
        self.sums[at] += value
        self.news += 1

    def values(self, now: float) -> list[float]:
        self.turn(now)
        return [v for b in self.buckets for v in b]

    def size(self, now: float) -> int:
        self.turn(now)
        return sum(map(len, self.buckets))

    def mean(self, now: float, none: float) -> float:
        size = self.size(now)
        return sum(self.sums) / size if size else none

    def lowest(self, now: float, none: float) -> float:
        self.turn(now)
        means = (t / len(b) for t, b in zip(self.sums, self.buckets, strict=True) if len(b) > 7)
        return min(means, default=none)

    def give(self) -> list[Any]:
        return [self.stamp, self.news, self.buckets, self.sums]

    def take(self, given: list[Any]) -> None:
        if len(given[2]) == self.count:  # another build's ring may be of another length: it starts empty
            self.stamp, self.news, self.buckets, self.sums = given


class Learned:
    def __init__(self) -> None:
        self.whole = Ring(8, 2000.0)  # run times, calls included
        self.own = Ring(8, 5000.0)  # run times without calls
        self.seen = 0
        self.p99 = self.mean = self.base = 0.0

    def ran(self, now: float, job: ManagedRpc, whole: float) -> None:
        self.whole.add(now, whole)
        self.own.add(now, max(1.0, whole - job.total_call_ms))

    def refresh(self, now: float) -> None:
        size = self.whole.size(now)
        if self.whole.news - self.seen > 0.01 * size:  # fewer can't move a p99: sorting is dear
            self.seen = self.whole.news
            self.p99 = sorted(self.whole.values(now))[int(size * 0.99)] if size else 0.0
            self.mean = self.own.mean(now, 0.0)
            self.base = self.own.lowest(now, self.mean)


class ManagedRpc:
    """An RPC in this server's hands; the program's handle for it."""

    def __init__(self, rpc: Rpc, learned: Learned, now: float) -> None:
        m = rpc.method
        self.rpc, self.service_times = rpc, learned
        self.lifecycle: Life
        self.state: RpcState | None = None
        self.arrived_at_ms = now - rpc.waited_ms
        self.deadline_at_ms = max(
            now,
            now + rpc.remaining_ms if rpc.remaining_ms is not None else self.arrived_at_ms + m.deadline_ms,
        )
        self.aim()
        self.total_call_ms = self.call_started_at_ms = self.call_expires_at_ms = self.priority = 0.0
        self.call_attempts, self.has_started, self.call_gain = (
            0,
            False,
            (1.0 - m.degraded_value_fraction) * m.criticality,
        )  # of a call

    def aim(self) -> None:
        m = self.rpc.method
        self.objective_at_ms = min(
            self.arrived_at_ms
            + m.latency_objective_ms
            + m.objective_work_factor * (self.rpc.work_hint_ms or 0.0),
            self.deadline_at_ms,
        )
        self.time_budget_ms = max(1.0, self.limit - self.arrived_at_ms)  # the whole of its time

    def until(self, late_value_fraction: float) -> float:
        """The deadline, or the target where a late answer keeps no more than this share of its worth."""
        return (
            self.deadline_at_ms
            if self.rpc.method.late_value_fraction > late_value_fraction
            else min(self.deadline_at_ms, self.objective_at_ms)
        )

    @property
    def limit(self) -> float:
        return self.until(LATE_WORTH)  # for the check: better elsewhere in time than here for little


class AdmissionController:
    def __init__(self, settings: Settings, seed: int, out: Actions, now: float) -> None:
        self.settings, self.out, self.now_ms = settings, out, now
        self.started_at_ms = self.last = now
        self.learned: dict[Method, Learned] = {m: Learned() for m in settings.methods}
        self.places: dict[RpcState, dict[ManagedRpc, None]] = {w: {} for w in RpcState}
        self.kept: dict[ManagedRpc, float] = {}  # live table entries and their ends
        self.kb, self.cap, self.use, self.cut_at = 0.0, float(settings.core_count), 0.0, now
        self.stretch = Ring(2, 1000.0)  # own run times over the method's base
        self.tenant_rate: dict[Tenant, Ring] = {t: Ring(5, 1000.0) for t in settings.tenants}
        self.worth: dict[Tenant, float] = {t: 1.0 for t in settings.tenants}
        self.pushed, self.callers = Ring(4, 500.0), Ring(4, 1000.0)
        self.met = inf  # when it read its first RPC
        self.back = Ring(5, 2000.0)  # 1 where a caller was here within those 4 s, else 0
        self.values, self.begun = Ring(4, 500.0), Ring(4, 500.0)  # worth over work of all read; starts
        self.floor = self.reading = self.on_cores = 0.0
        self.tries_seen, self.unread = Ring(4, 500.0), Ring(2, 250.0)
        self.shortest = min(m.latency_objective_ms for m in settings.methods)
        self.call_times, self.call_recent = Ring(10, 3000.0), Ring(4, 250.0)
        self.call_load = Ring(
            11, max(1.0, settings.downstream_quota_window_ms / 10)
        )  # time in hand, lost ones with linger
        self.tokens = self.rate = inf  # calls below a second; unbounded while it keeps up
        self.share = inf  # calls a second that a fleet leaves to this server
        self.lost_row, self.slowed = 0, now  # calls without an answer since one with; last pace cut for them
        self.call_mean = 0.0  # of those answered in the last second
        self.advertised_load, self.connection_idle_timeout_ms = -1.0, settings.connection_idle_timeout_ms
        self.weight = self.keeps_up = 1.0
        self.stop_at_ms: float | None = None  # when the process is stopped
        self.here = True  # neither leaving nor standing aside
        self.accept_until_ms, self.fails, self.next_check_ms = (
            inf,
            0.0,
            now,
        )  # later arrivals are not run; next look
        self.modes: dict[str, bool] = {}
        out.set_health(True, True)
        self.wake(TICK * Random(seed).random())  # so that a fleet does not look at its gauges in step

    # An RPC, from read to answer

    def life(self, job: ManagedRpc) -> Life:
        m = job.rpc.method
        if job.rpc.is_duplicate and (
            m.idempotency is Idempotency.KEYED or self.settings.response_cache_ttl_ms > 0
        ):
            news = yield RpcState.AWAITING_ORIGINAL  # answered by the try it repeats: no effect twice
            if news is RpcEvent.DEADLINE_REACHED:
                yield RpcState.ABORTED
            return
        news = yield RpcState.QUEUED
        if news in (RpcEvent.SHED, RpcEvent.DEADLINE_REACHED):
            yield RpcState.REJECTED
        if news is not RpcEvent.START:
            return
        news = yield RpcState.RUNNING
        while news is RpcEvent.CALL_NEEDED:
            news = yield from self.below(job)
        if news in (RpcEvent.DEADLINE_REACHED, RpcEvent.CALLER_GONE):
            yield RpcState.ABORTED if news is RpcEvent.DEADLINE_REACHED else RpcState.ABANDONED

    def below(self, job: ManagedRpc) -> Generator[RpcState, RpcEvent | Outcome, RpcEvent | Outcome]:
        """A call to the layer below: made, made again where that is safe, or left out."""
        if self.now_ms > job.until(0.0):
            return RpcEvent.DEADLINE_REACHED  # worth nothing by now: the rest of the work is saved
        while True:
            news = yield RpcState.AWAITING_CALL_SLOT
            if news is RpcEvent.CALL_PERMITTED:
                news = yield RpcState.CALLING
                if news is Outcome.OK:
                    return (yield RpcState.RUNNING)
                if isinstance(news, Outcome):
                    again = job.rpc.method.idempotency is Idempotency.IDEMPOTENT or news in NEVER_RAN
                    job.call_attempts += 1
                    if (
                        again
                        and job.call_attempts < 3
                        and self.allow(job) > self.call_times.mean(self.now_ms, 0.0)
                    ):
                        continue
                    news = RpcEvent.CALL_DENIED
            if news is RpcEvent.CALL_DENIED:
                return (
                    (yield RpcState.CALL_SKIPPED)
                    if job.rpc.method.degraded_value_fraction > 0
                    else RpcEvent.DEADLINE_REACHED
                )
            return news

    def resume(self, job: ManagedRpc, news: RpcEvent | Outcome) -> None:
        if job.state is None:
            return
        try:
            want: RpcState | None = job.lifecycle.send(news)
        except StopIteration:
            want = None
        self.do(job, want)

    def do(self, job: ManagedRpc, want: RpcState | None) -> None:
        rpc = job.rpc
        if job.state is not None:
            del self.places[job.state][job]
            self.kb -= self.weigh(job)
        was, job.state = job.state, RpcState.RUNNING if want is RpcState.CALL_SKIPPED else want
        if want in (RpcState.REJECTED, None) or (
            want is RpcState.ABORTED and was in (RpcState.AWAITING_ORIGINAL, RpcState.QUEUED)
        ):
            job.state = None
            if want is not None:
                self.push_back(job) if want is RpcState.REJECTED else self.out.abort(rpc)
            if not job.has_started and self.kept.pop(
                job, 0.0
            ):  # a later try may run: not tied to an unrun one
                self.out.drop_dedup_entry(rpc)
                self.kb -= self.settings.dedup_entry_kb
            job.lifecycle.close()
            self.out.release(rpc)
            return
        assert job.state is not None
        self.places[job.state][job] = None
        self.kb += self.weigh(job)
        if want is RpcState.AWAITING_ORIGINAL:
            self.out.await_original(rpc)
        elif want is RpcState.CALL_SKIPPED:
            self.out.skip_call(rpc)
        elif want is RpcState.RUNNING and not job.has_started:
            job.has_started = True
            self.out.start_run(rpc)
        elif want is RpcState.CALLING:
            allow = self.allow(job)
            job.call_started_at_ms, job.call_expires_at_ms = (
                self.now_ms,
                self.now_ms + allow + self.settings.lost_call_linger_ms,
            )
            self.out.start_call(rpc, allow)
        elif want in (RpcState.ABORTED, RpcState.ABANDONED):
            if was is RpcState.CALLING:
                self.count_call(job, True)
            if want is RpcState.ABORTED:
                self.out.abort(rpc)
            if self.settings.run_cancellation is not RunCancellation.NONE:
                self.out.cancel_run(rpc)

    def weigh(self, job: ManagedRpc) -> float:
        return job.rpc.memory_kb * (
            1.0
            if job.state in (RpcState.QUEUED, RpcState.AWAITING_ORIGINAL)
            else self.settings.running_memory_factor
        )

    def on_rpc_read(self, rpc: Rpc) -> ManagedRpc:
        job = ManagedRpc(rpc, self.learned[rpc.method], self.now_ms)
        if rpc.tenant is not None:
            self.tenant_rate[rpc.tenant].add(self.now_ms, 1.0)
        self.met = min(self.met, self.now_ms)
        self.callers.turn(self.now_ms)
        self.back.add(self.now_ms, 1.0 if any(rpc.caller_id in b for b in self.callers.buckets) else 0.0)
        self.callers.add(self.now_ms, rpc.caller_id)
        self.tries_seen.add(self.now_ms, 1.0 if rpc.is_retry else 0.0)
        self.unread.add(self.now_ms, rpc.waited_ms)
        if self.stop_at_ms is not None:
            job.deadline_at_ms = max(self.now_ms, min(job.deadline_at_ms, self.stop_at_ms - TICK))
        job.lifecycle = self.life(job)
        job.priority = self.value(job)
        self.values.add(self.now_ms, job.priority)
        self.do(job, next(job.lifecycle))
        if job.state is RpcState.QUEUED and not self.may_hold(job):
            self.resume(job, RpcEvent.SHED)
        self.fails = min(self.fails, self.ends_at(job))
        if (
            job.limit < self.next_check_ms + TICK and self.next_check_ms > self.now_ms + LAST
        ):  # brought forward, never put off
            self.wake(LAST)  # No RPC lost: it must not end while this server rests
        return job

    def may_hold(self, job: ManagedRpc) -> bool:
        """Keeps a tokened RPC from the start: a repeat of one held and not kept bears no mark."""
        rpc, m = job.rpc, job.rpc.method
        share = (
            m.idempotency is Idempotency.IDEMPOTENT
            and self.settings.response_cache_ttl_ms > 0
            and rpc.has_cache_key
            and not rpc.is_write
        )
        if not share and m.idempotency is not Idempotency.KEYED:
            return True
        if self.kb + self.settings.dedup_entry_kb > self.settings.memory_kb * SAFE:
            return share
        span = (
            self.settings.response_cache_ttl_ms + m.deadline_ms
            if share
            else m.dedup_window_ms - rpc.waited_ms + 1.0
        )
        self.out.retain_dedup_entry(rpc, span)
        self.kept[job] = self.now_ms + span
        self.kb += self.settings.dedup_entry_kb
        return True

    def on_run_finished(self, job: ManagedRpc, outcome: Outcome, elapsed: float) -> None:
        if job.state is None:
            return
        if job.state is RpcState.CALLING:
            self.count_call(job, True)
        if job.state is not RpcState.AWAITING_ORIGINAL and outcome is Outcome.OK:
            if job.service_times.base:
                self.stretch.add(self.now_ms, max(1.0, elapsed - job.total_call_ms) / job.service_times.base)
            job.service_times.ran(self.now_ms, job, elapsed)
        self.resume(job, RpcEvent.RUN_FINISHED)

    def on_call_needed(self, job: ManagedRpc) -> None:
        job.call_started_at_ms = self.now_ms
        if job.state is RpcState.RUNNING:
            self.resume(job, RpcEvent.CALL_NEEDED)

    def on_call_finished(self, job: ManagedRpc, outcome: Outcome, elapsed: float) -> None:
        if job.state is not RpcState.CALLING:
            return
        job.total_call_ms += elapsed
        if outcome is Outcome.OK:
            self.call_times.add(self.now_ms, elapsed)
            self.lost_row = 0
        elif outcome is Outcome.NO_RESPONSE:
            self.lost_row += 1
            if self.lost_row > 1 and self.now_ms - self.slowed >= elapsed:
                # Below hangs for all servers at once: each call lost until then is a part of a small share.
                self.rate, self.slowed = 1.0, self.now_ms
        self.count_call(job, outcome in (Outcome.NO_RESPONSE, Outcome.CONNECTION_LOST))
        if outcome is not Outcome.CONNECTION_LOST:  # a broken link says nothing of crowding below
            self.call_recent.add(self.now_ms, elapsed if outcome is Outcome.OK else -1.0)
        self.resume(job, outcome)

    def on_caller_gone(self, job: ManagedRpc) -> None:
        if job.state not in (RpcState.ABORTED, RpcState.ABANDONED):
            self.resume(job, RpcEvent.CALLER_GONE)

    def start_draining(self, left: float, ago: float = 0.0) -> None:
        """The notice, which came `ago` ms before it was heard; `left` until the process is stopped."""
        self.accept_until_ms, self.here = (
            min(self.accept_until_ms, self.now_ms - ago + self.settings.drain_grace_ms),
            False,
        )
        self.stop_at_ms = self.now_ms + left
        for job in (j for place in self.places.values() for j in place):
            job.deadline_at_ms = min(job.deadline_at_ms, self.stop_at_ms - TICK)
        self.fails = 0.0
        self.out.set_health(False, True)
        self.wake(max(1.0, min(TICK, left - 2.0 * TICK)))  # a short notice leaves no time for a whole tick
        self.out.log(f"draining: {left:.0f} ms left, {len(self.places[RpcState.QUEUED])} held")

    def wake(self, delay: float) -> None:
        self.next_check_ms = self.now_ms + delay
        self.out.schedule_check(delay)

    def on_timer(self, gauges: Gauges) -> None:
        if self.now_ms < self.next_check_ms - 1.0:
            return  # an earlier look has taken this one's place
        for learned in self.learned.values():
            learned.refresh(self.now_ms)
        self.move_cap(gauges)
        for job in self.places[RpcState.QUEUED]:
            job.priority = self.value(job)
        if self.settings.downstream is not DownstreamKind.NONE:
            self.follow_calls()
        if self.now_ms // 1000.0 > self.last // 1000.0:
            self.judge_tenants()
            self.spare_links(gauges.open_connections or 0.0)
        for job in [j for j, end in self.kept.items() if end <= self.now_ms]:
            del self.kept[job]
            self.kb -= self.settings.dedup_entry_kb
        looks = [self.enforce_deadline(job) for job in [j for place in self.places.values() for j in place]]
        self.tell()
        self.last = self.now_ms
        self.wake(max(LAST, min([self.now_ms + REST, *looks]) - self.now_ms))

    def enforce_deadline(self, job: ManagedRpc) -> float:
        """Ends what must end by now; returns when to look again."""
        if job.state in (RpcState.ABORTED, RpcState.ABANDONED):
            if self.settings.run_cancellation is RunCancellation.NONE:
                return inf
            self.out.cancel_run(job.rpc)  # a stop is lost on cores that stand still: say it again
        elif job.state is not RpcState.QUEUED:
            # No RPC lost: running work is answered for in time, and stopped once it is worthless.
            by = (
                job.deadline_at_ms
                if self.settings.run_cancellation is RunCancellation.NONE
                else job.until(0.0)
            )
            if self.now_ms + LAST >= by:
                self.resume(job, RpcEvent.DEADLINE_REACHED)
            elif job.state is not RpcState.AWAITING_CALL_SLOT:
                return by - LAST
        return self.now_ms + TICK

    def on_settings_changed(self) -> None:
        """Figures of methods and tenants have changed in place: what is held is judged by them."""
        self.shortest = min(m.latency_objective_ms for m in self.settings.methods)
        for job in self.places[RpcState.QUEUED]:
            job.aim()
            job.priority = self.value(job)
        self.fails = 0.0

    def set_standby(self, on: bool) -> None:
        """It can't know by what to decide: runs nothing new until it does."""
        self.here, self.fails = not on and self.stop_at_ms is None, 0.0
        self.accept_until_ms = inf if self.here else min(self.accept_until_ms, -inf if on else inf)
        self.out.set_health(self.here, True)

    # A new build goes on where the old one was

    def rings(self) -> dict[str, Ring]:
        found = {name: ring for name, ring in vars(self).items() if isinstance(ring, Ring)}
        for i, learned in enumerate(self.learned.values()):
            found |= {f"whole {i}": learned.whole, f"own {i}": learned.own}
        return found | {f"tenant {i}": ring for i, ring in enumerate(self.tenant_rate.values())}

    def export_state(self) -> tuple[dict[str, Any], list[ManagedRpc]]:
        """All that is learned and in hand, as plain values, and the jobs in the order that it names them."""
        jobs = [j for place in self.places.values() for j in place] + [
            j for j in self.kept if j.state is None
        ]
        at = {job: i for i, job in enumerate(jobs)}
        plain = {stored: getattr(self, name) for stored, name in STORED_FIGURES.items()}
        return {
            "plain": plain,
            "modes": dict(self.modes),
            "worth": list(self.worth.values()),
            "rings": {name: ring.give() for name, ring in self.rings().items()},
            "learned": [[v.seen, v.p99, v.mean, v.base] for v in self.learned.values()],
            "jobs": [[j.state, *(getattr(j, name) for name in CARRIED)] for j in jobs],
            "kept": [[at[j], end] for j, end in self.kept.items()],
        }, jobs

    def import_state(self, given: dict[str, Any], rpcs: list[Rpc]) -> list[ManagedRpc]:
        """What another build gave, with its RPCs in the same order; what it does not know stays as it is."""
        for name, value in given["plain"].items():
            if name in STORED_FIGURES:
                setattr(self, STORED_FIGURES[name], value)
        self.modes |= given["modes"]
        self.worth = dict(zip(self.worth, given["worth"], strict=True))
        for name, ring in self.rings().items():
            if name in given["rings"]:
                ring.take(given["rings"][name])
        for learned, values in zip(self.learned.values(), given["learned"], strict=True):
            learned.seen, learned.p99, learned.mean, learned.base = values
        jobs = [ManagedRpc(rpc, self.learned[rpc.method], self.now_ms) for rpc in rpcs]
        for job, (at, *values) in zip(jobs, given["jobs"], strict=True):
            for name, value in zip(CARRIED, values, strict=True):
                setattr(job, name, value)
            if at is not None:
                self.bring_to(job, RpcState(at))
        self.kept = {jobs[i]: end for i, end in given["kept"]}
        self.out.schedule_check(max(0.0, self.next_check_ms - self.now_ms))
        return jobs

    def bring_to(self, job: ManagedRpc, at: RpcState) -> None:
        """Its life anew, up to where it was, with nothing done for it."""
        now, self.now_ms, job.lifecycle = (
            self.now_ms,
            -inf,
            self.life(job),
        )  # before any deadline: none must end it here
        want = next(job.lifecycle)
        for news in WAY[at]:
            want = job.lifecycle.send(news)
        assert want is at, f"{want} in place of {at}"
        job.state, self.now_ms = at, now
        self.places[at][job] = None

    # The check, the cap and the start order

    def settle(self) -> None:
        """Called once all events of a moment are in: pushes back what fails the check, starts others."""
        held = self.places[RpcState.QUEUED]
        if self.now_ms >= self.fails:  # none can fail before: what this goes by changes at looks only
            for job in [j for j in held if self.now_ms >= self.ends_at(j)]:
                self.resume(job, RpcEvent.SHED)
            self.fails = min(map(self.ends_at, held), default=inf)
        full, line = self.settings.memory_kb * SAFE, []
        if held and (self.kb > full or self.room() >= 1.0):
            newest = 1.0 if self.pushed.size(self.now_ms) else -1.0  # first, while a line stands
            line = sorted(held, key=lambda j: (-j.priority, -newest * j.arrived_at_ms))
        while line and self.kb > full:  # own memory: the least worth its work goes first
            self.resume(line.pop(), RpcEvent.SHED)
        while line and self.room() >= 1.0:
            fits = self.kb + line[0].rpc.memory_kb * (self.settings.running_memory_factor - 1.0) <= full
            if line[0].priority < self.floor or not (fits or len(line) > 1):
                break
            if fits:
                self.begun.add(self.now_ms, 1.0)
            self.resume(
                line.pop(0 if fits else -1), RpcEvent.START if fits else RpcEvent.SHED
            )  # room is made
        if self.places[RpcState.AWAITING_CALL_SLOT]:
            self.place_calls()
        if (held or self.places[RpcState.AWAITING_CALL_SLOT]) and self.next_check_ms > self.now_ms + TICK:
            self.wake(TICK / 2.0)

    def fails_at(self, job: ManagedRpc) -> float:
        margin = min(
            job.service_times.p99, job.time_budget_ms * MARGIN_SHARE
        )  # the check, before any is learned too
        return job.limit - margin if job.arrived_at_ms <= self.accept_until_ms else 0.0  # safe drain

    def ends_at(self, job: ManagedRpc) -> float:
        # A line that stands starts only the best: the rest is told while it can still go elsewhere.
        lost = job.arrived_at_ms + GIVE_UP * job.time_budget_ms if job.priority < self.floor else inf
        return min(self.fails_at(job), lost)

    def value(self, job: ManagedRpc) -> float:
        tenant = job.rpc.tenant
        worth = job.rpc.method.criticality * (self.worth[tenant] if tenant else 1.0)
        return worth if self.settings.criticality_is_per_work else worth / max(1.0, job.service_times.mean)

    def crowd(self) -> float:
        """RPCs on the cores that this server survives; fewer while it is cold."""
        age = (
            (self.now_ms - self.started_at_ms) / max(1.0, self.settings.warm_up_ms)
            if self.settings.starts_cold
            else 1.0
        )
        share = min(1.0, self.settings.cold_speed_fraction + (1.0 - self.settings.cold_speed_fraction) * age)
        return (1.0 + (self.settings.max_runs_per_core - 1.0) * share) * self.settings.core_count * SAFE

    def running(self) -> int:  # what nobody waits for any more is on the cores too
        return sum(
            len(self.places[want]) for want in (RpcState.RUNNING, RpcState.ABORTED, RpcState.ABANDONED)
        )

    def room(self) -> float:
        running = self.running()  # those at a call come back unasked: all stay under the survivable crowd
        at_call = len(self.places[RpcState.CALLING]) + len(self.places[RpcState.AWAITING_CALL_SLOT])
        # Reads are not ours to stop: the cap gives way to them, below its floor too, or all crowd each other.
        cap = max(1.0, self.cap - max(0.0, self.reading - READ_CORES * self.settings.core_count))
        return min(cap - running, self.crowd() - running - at_call)

    def move_cap(self, gauges: Gauges) -> None:
        cores, running = self.settings.core_count, self.running()
        self.use = (
            gauges.core_utilization if gauges.core_utilization is not None else min(1.0, running / cores)
        )
        self.on_cores = 0.7 * self.on_cores + 0.3 * (gauges.on_cores or 0.0)
        self.reading = 0.7 * self.reading + 0.3 * max(0.0, (gauges.on_cores or 0.0) - running)
        idle = cores - (gauges.on_cores if gauges.on_cores is not None else running)
        if idle > 0 and self.places[RpcState.QUEUED]:
            self.cap = max(self.cap, running + idle)
        elif self.use >= BUSY and self.now_ms - self.cut_at >= 500.0:
            # Measured over base latency; where few runs end, by what is on the cores: it must not stay up.
            known = self.stretch.size(self.now_ms) > 4
            stretch = self.stretch.mean(self.now_ms, 1.0) if known else self.on_cores / cores
            self.cap *= max(0.5, min(1.0, 1.0 / max(0.01, stretch)))
            self.cut_at = self.now_ms
        self.cap = max(float(cores), min(self.cap, self.crowd()))
        # Better work grows too old while lesser fills the slots: only as much starts as did, the best of it.
        begun, values = self.begun.size(self.now_ms), sorted(self.values.values(self.now_ms), reverse=True)
        late = self.pushed.size(self.now_ms)
        stands = idle <= 0 and self.use >= BUSY and late > STANDS * len(values)
        self.floor, self.fails = (values[begun] if stands and begun < len(values) else 0.0), 0.0
        self.mode("choosing", self.floor > 0.0, f"of {len(values)} read {begun} begun {late} too late")

    def allow(self, job: ManagedRpc) -> float:
        # What hangs below or is lost on the way must leave time to call again, or to do without.
        return min(
            0.8 * (job.limit - self.now_ms), max(300.0, 6.0 * self.call_times.mean(self.now_ms, 100.0))
        )

    def follow_calls(self) -> None:
        recent = self.call_recent.values(self.now_ms)
        good = [v for v in recent if v >= 0.0]
        base = self.call_times.lowest(self.now_ms, 0.0)
        mean = self.call_mean = sum(good) / len(good) if good else 0.0
        dt = (self.now_ms - self.last) / 1000.0
        slow = base and mean > 3.0 * base
        if len(recent) >= 6 and (len(good) < 0.75 * len(recent) or (slow and mean > SLOW * self.shortest)):
            self.rate = max(1.0, min(self.rate, len(recent)) * (1.0 - 0.5 * dt))
        elif (
            good or not self.places[RpcState.AWAITING_CALL_SLOT]
        ):  # not while calls wait and none is answered
            enough = self.rate > 2.0 * len(recent) + 10.0
            self.rate = self.rate * (1.0 + dt) if not enough else self.rate if slow else inf
        self.rate = min(self.rate, self.share)
        saved = max(1.0, 0.2 * self.rate)
        if self.rate >= self.share:
            # A share is what the store bears of this server in a second: what is saved up is over it.
            saved = min(saved, 1.0 + self.rate * TICK / 1000.0)
        self.tokens = min(self.tokens + self.rate * dt, saved) if dt else self.tokens
        self.mode("paced calls", self.rate < self.share, f"mean {mean:.0f} base {base:.0f} ms")

    def set_call_quota(self, share: float) -> None:
        """At once: what was saved up under a larger share must not be spent under a smaller one."""
        free = self.rate >= self.share  # it was paced by its share alone: it follows it up at once too
        self.share = max(0.01, share)
        self.rate = self.share if free else min(self.rate, self.share)
        self.tokens = min(self.tokens, 1.0)

    def count_call(self, job: ManagedRpc, lost: bool) -> None:
        self.call_load.add(
            self.now_ms, self.now_ms - job.call_started_at_ms + self.settings.lost_call_linger_ms * lost
        )

    def may_call(self, job: ManagedRpc) -> bool:
        # More out than come back at a bearable time (Little's law) only wait below until they are given up.
        least = max(
            2.0, min(6.0, self.settings.downstream_concurrency_quota or 6.0)
        )  # several times a small share is a crowd
        bearable = min(SLOW * self.shortest, 6.0 * self.call_mean)  # as long as a call is waited for
        most = max(least, self.call_recent.size(self.now_ms) * bearable / 1000.0)
        if self.tokens < 1.0 or len(self.places[RpcState.CALLING]) >= most:
            return False
        if (
            self.settings.downstream is DownstreamKind.SHARED_STORE
            and self.settings.downstream_concurrency_quota > 0
        ):
            # The shared store falls: what was in hand and what calls out may still take stay in our share.
            out = sum(j.call_expires_at_ms - j.call_started_at_ms for j in self.places[RpcState.CALLING])
            self.call_load.turn(self.now_ms)
            share = (
                self.settings.downstream_concurrency_quota * self.settings.downstream_quota_window_ms * SAFE
            )
            return (
                sum(self.call_load.sums) + out + self.allow(job) + self.settings.lost_call_linger_ms <= share
            )
        return True

    def place_calls(self) -> None:
        mean = self.call_times.mean(self.now_ms, 0.0)
        for place, job in enumerate(
            sorted(self.places[RpcState.AWAITING_CALL_SLOT], key=lambda j: -j.call_gain), 1
        ):
            wait = max(self.now_ms - job.call_started_at_ms, place * 1000.0 / self.rate)
            dear = job.rpc.method.degraded_value_fraction > 0 and wait > CALL_WAIT * job.time_budget_ms
            if self.may_call(job):
                self.tokens -= 1.0
                self.resume(job, RpcEvent.CALL_PERMITTED)
            elif dear or self.allow(job) < 2.0 * mean:
                self.resume(job, RpcEvent.CALL_DENIED)  # its turn would come too late

    # What callers are told

    def judge_tenants(self) -> None:
        for tenant, ring in self.tenant_rate.items():
            if tenant.quota_per_second > 0:
                over = max(
                    1.0,
                    ring.size(self.now_ms)
                    / 5.0
                    * self.settings.server_count
                    / (tenant.quota_per_second * 1.3),
                )
                self.worth[tenant] = 1.0 / over + self.settings.over_quota_value_fraction * (1.0 - 1.0 / over)

    def push_back(self, job: ManagedRpc) -> None:
        if self.now_ms >= self.fails_at(job):
            self.pushed.add(self.now_ms, 1.0)  # not those given up early: they would keep the line standing
        # Another try costs a read elsewhere: worth it only while marked tries show that others take them.
        walks = self.settings.callers_mark_retries and self.tries_seen.mean(self.now_ms, 0.0) < WALKS
        final = not walks or job.rpc.is_retry or job.limit - self.now_ms < job.service_times.mean
        away = 1.0 - self.keeps_up if self.here else 1.0
        self.out.reject(job.rpc, self.settings.max_retry_after_ms * away, final and self.here)

    def tell(self) -> None:
        p, room = self.places, self.settings.core_count  # to hold one RPC a core
        held = len(p[RpcState.QUEUED])
        dt = (self.now_ms - self.last) / 1000.0
        self.weight = max(HEARD, min(1.0, self.weight * (1.0 + dt * max(-1.0, (room - held) / room))))
        unread = self.unread.mean(self.now_ms, 0.0)  # shows a slowed server before any run ends
        self.keeps_up = max(HEARD, 1.0 - unread / (UNREAD * self.shortest))
        self.mode("drowning", self.keeps_up < 0.3, f"unread for {unread:.0f} ms")
        self.mode("shedding", self.weight < 0.7, f"held {held} cap {self.cap:.0f} use {self.use:.2f}")
        amount = self.weight * self.keeps_up * self.here
        if self.settings.load_advertisement is LoadAdvertisement.LEVEL:
            amount = 1.0 - self.weight * self.here
        elif self.settings.load_advertisement is LoadAdvertisement.CREDIT:
            busy = (
                max(self.cap, len(p[RpcState.RUNNING]))
                + len(p[RpcState.CALLING])
                + len(p[RpcState.AWAITING_CALL_SLOT])
            )
            # By the share of the busiest caller: split evenly it would starve while others leave theirs.
            seen = Counter(self.callers.values(self.now_ms))
            # Nothing falls over: a first credit is taken by each of all callers, and a cold server that knows
            # none yet would get it times their number. Each counts as one that asked, less so as it learns.
            known = min(1.0, max(0.0, self.now_ms - self.met) / (self.callers.count * self.callers.width))
            guess = (1.0 - known) * (self.settings.starts_cold and self.settings.caller_count > 0)
            asked = seen.total() + guess * self.settings.caller_count
            biggest = (max(seen.values(), default=0) + guess) / asked if asked else 1.0
            amount = (busy + room) * biggest * self.keeps_up * self.here
        if (
            round(amount, 3) != self.advertised_load
            and self.settings.load_advertisement is not LoadAdvertisement.NONE
        ):
            self.advertised_load = round(amount, 3)
            self.out.advertise_load(self.advertised_load)

    def spare_links(self, links: float) -> None:
        """Many callers that each come seldom fill the table: it taxes the cores, and full it keeps out."""
        fewer = (
            LINKS * self.settings.core_count / max(1.0, links)
            if self.back.mean(self.now_ms, 1.0) < 0.5
            else 2.0
        )
        idle = min(
            max(10.0, self.connection_idle_timeout_ms * max(0.5, min(2.0, fewer))),
            self.settings.connection_idle_timeout_ms,
        )
        if idle != self.connection_idle_timeout_ms:
            self.connection_idle_timeout_ms = idle
            self.out.close_idle_connections(idle)

    def mode(self, name: str, on: bool, why: str) -> None:
        if self.modes.get(name, False) != on:
            self.modes[name] = on
            self.out.log(f"{name} {'on' if on else 'off'}: {why}")
