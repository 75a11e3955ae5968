"""Every decision of landingshift: what a server takes, runs, pushes back and tells its callers.

A program sets `now`, calls a method for each event, then `settle`. Each RPC is a generator (`Server.life`).
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
    Advert,
    Below,
    Effect,
    Gauges,
    Method,
    Outcome,
    Rpc,
    Settings,
    Stopping,
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
NEVER_RAN = (Outcome.PUSHED_BACK, Outcome.NO_CONNECTION)


# What an RPC wants done; LINE_UP is for a call below, LEAVE means that nobody waits any more.
Want = IntEnum("Want", "HOLD JOIN RUN LINE_UP CALL SKIP PUSH_BACK ABORT LEAVE")
# What it is resumed with; LATE is held too long or no room, ENDED that its run is over.
News = Enum("News", "START LATE DUE GONE NEEDS_CALL GO NO_CALL ENDED")
Life = Generator[Want, "News | Outcome", None]


# What brings an RPC's life to each place, for a new build.
WAY: dict[Want, tuple[News, ...]] = {
    Want.HOLD: (),
    Want.JOIN: (),
    Want.RUN: (News.START,),
    Want.LINE_UP: (News.START, News.NEEDS_CALL),
    Want.CALL: (News.START, News.NEEDS_CALL, News.GO),
    Want.ABORT: (News.START, News.DUE),
    Want.LEAVE: (News.START, News.GONE),
}
CARRIED = ("arrived", "due", "target", "span", "called_for", "called_at", "call_end", "value", "tries", "ran")


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

    def ran(self, now: float, job: Job, whole: float) -> None:
        self.whole.add(now, whole)
        self.own.add(now, max(1.0, whole - job.called_for))

    def refresh(self, now: float) -> None:
        size = self.whole.size(now)
        if self.whole.news - self.seen > 0.01 * size:  # fewer can't move a p99: sorting is dear
            self.seen = self.whole.news
            self.p99 = sorted(self.whole.values(now))[int(size * 0.99)] if size else 0.0
            self.mean = self.own.mean(now, 0.0)
            self.base = self.own.lowest(now, self.mean)


class Job:
    """An RPC in this server's hands; the program's handle for it."""

    def __init__(self, rpc: Rpc, learned: Learned, now: float) -> None:
        m = rpc.method
        self.rpc, self.learned = rpc, learned
        self.life: Life
        self.at: Want | None = None
        self.arrived = now - rpc.waited
        self.due = max(now, now + rpc.remaining if rpc.remaining is not None else self.arrived + m.deadline)
        self.aim()
        self.called_for = self.called_at = self.call_end = self.value = 0.0
        self.tries, self.ran, self.gain = 0, False, (1.0 - m.skip_share) * m.criticality  # of a call

    def aim(self) -> None:
        m = self.rpc.method
        self.target = min(self.arrived + m.target + m.target_stretch * (self.rpc.hint or 0.0), self.due)
        self.span = max(1.0, self.limit - self.arrived)  # the whole of its time

    def until(self, late_share: float) -> float:
        """The deadline, or the target where a late answer keeps no more than this share of its worth."""
        return self.due if self.rpc.method.late_share > late_share else min(self.due, self.target)

    @property
    def limit(self) -> float:
        return self.until(LATE_WORTH)  # for the check: better elsewhere in time than here for little


class Server:
    def __init__(self, settings: Settings, seed: int, out: Actions, now: float) -> None:
        self.set, self.out, self.now = settings, out, now
        self.born = self.last = now
        self.learned: dict[Method, Learned] = {m: Learned() for m in settings.methods}
        self.places: dict[Want, dict[Job, None]] = {w: {} for w in Want}
        self.kept: dict[Job, float] = {}  # live table entries and their ends
        self.kb, self.cap, self.use, self.cut_at = 0.0, float(settings.cores), 0.0, now
        self.stretch = Ring(2, 1000.0)  # own run times over the method's base
        self.tenant_rate: dict[Tenant, Ring] = {t: Ring(5, 1000.0) for t in settings.tenants}
        self.worth: dict[Tenant, float] = {t: 1.0 for t in settings.tenants}
        self.pushed, self.callers = Ring(4, 500.0), Ring(4, 1000.0)
        self.met = inf  # when it read its first RPC
        self.back = Ring(5, 2000.0)  # 1 where a caller was here within those 4 s, else 0
        self.values, self.begun = Ring(4, 500.0), Ring(4, 500.0)  # worth over work of all read; starts
        self.floor = self.reading = self.on_cores = 0.0
        self.tries_seen, self.unread = Ring(4, 500.0), Ring(2, 250.0)
        self.shortest = min(m.target for m in settings.methods)
        self.call_times, self.call_recent = Ring(10, 3000.0), Ring(4, 250.0)
        self.call_load = Ring(11, max(1.0, settings.calls_over / 10))  # time in hand, lost ones with linger
        self.tokens = self.rate = inf  # calls below a second; unbounded while it keeps up
        self.share = inf  # calls a second that a fleet leaves to this server
        self.lost_row, self.slowed = 0, now  # calls without an answer since one with; last pace cut for them
        self.call_mean = 0.0  # of those answered in the last second
        self.advert, self.link_idle = -1.0, settings.link_idle
        self.weight = self.keeps_up = 1.0
        self.leave_at: float | None = None  # when the process is stopped
        self.here = True  # neither leaving nor standing aside
        self.run_until, self.fails, self.alarm = inf, 0.0, now  # later arrivals are not run; next look
        self.modes: dict[str, bool] = {}
        out.health(True, True)
        self.wake(TICK * Random(seed).random())  # so that a fleet does not look at its gauges in step

    # An RPC, from read to answer

    def life(self, job: Job) -> Life:
        m = job.rpc.method
        if job.rpc.repeat and (m.effect is Effect.TOKENED or self.set.share_for > 0):
            news = yield Want.JOIN  # its answer comes from the try it repeats: no effect twice
            if news is News.DUE:
                yield Want.ABORT
            return
        news = yield Want.HOLD
        if news in (News.LATE, News.DUE):
            yield Want.PUSH_BACK
        if news is not News.START:
            return
        news = yield Want.RUN
        while news is News.NEEDS_CALL:
            news = yield from self.below(job)
        if news in (News.DUE, News.GONE):
            yield Want.ABORT if news is News.DUE else Want.LEAVE

    def below(self, job: Job) -> Generator[Want, News | Outcome, News | Outcome]:
        """A call to the layer below: made, made again where that is safe, or left out."""
        if self.now > job.until(0.0):
            return News.DUE  # worth nothing by now: the rest of the work is saved
        while True:
            news = yield Want.LINE_UP
            if news is News.GO:
                news = yield Want.CALL
                if news is Outcome.OK:
                    return (yield Want.RUN)
                if isinstance(news, Outcome):
                    again = job.rpc.method.effect is Effect.IDEMPOTENT or news in NEVER_RAN
                    job.tries += 1
                    if again and job.tries < 3 and self.allow(job) > self.call_times.mean(self.now, 0.0):
                        continue
                    news = News.NO_CALL
            if news is News.NO_CALL:
                return (yield Want.SKIP) if job.rpc.method.skip_share > 0 else News.DUE
            return news

    def resume(self, job: Job, news: News | Outcome) -> None:
        if job.at is None:
            return
        try:
            want: Want | None = job.life.send(news)
        except StopIteration:
            want = None
        self.do(job, want)

    def do(self, job: Job, want: Want | None) -> None:
        rpc = job.rpc
        if job.at is not None:
            del self.places[job.at][job]
            self.kb -= self.weigh(job)
        was, job.at = job.at, Want.RUN if want is Want.SKIP else want
        if want in (Want.PUSH_BACK, None) or (want is Want.ABORT and was in (Want.JOIN, Want.HOLD)):
            job.at = None
            if want is not None:
                self.push_back(job) if want is Want.PUSH_BACK else self.out.abort(rpc)
            if not job.ran and self.kept.pop(job, 0.0):  # a later try may run: not tied to an unrun one
                self.out.forget(rpc)
                self.kb -= self.set.key_kb
            job.life.close()
            self.out.closed(rpc)
            return
        assert job.at is not None
        self.places[job.at][job] = None
        self.kb += self.weigh(job)
        if want is Want.JOIN:
            self.out.join(rpc)
        elif want is Want.SKIP:
            self.out.skip(rpc)
        elif want is Want.RUN and not job.ran:
            job.ran = True
            self.out.run(rpc)
        elif want is Want.CALL:
            allow = self.allow(job)
            job.called_at, job.call_end = self.now, self.now + allow + self.set.linger
            self.out.call(rpc, allow)
        elif want in (Want.ABORT, Want.LEAVE):
            if was is Want.CALL:
                self.count_call(job, True)
            if want is Want.ABORT:
                self.out.abort(rpc)
            if self.set.stopping is not Stopping.NONE:
                self.out.stop(rpc)

    def weigh(self, job: Job) -> float:
        return job.rpc.kb * (1.0 if job.at in (Want.HOLD, Want.JOIN) else self.set.run_factor)

    def read(self, rpc: Rpc) -> Job:
        job = Job(rpc, self.learned[rpc.method], self.now)
        if rpc.tenant is not None:
            self.tenant_rate[rpc.tenant].add(self.now, 1.0)
        self.met = min(self.met, self.now)
        self.callers.turn(self.now)
        self.back.add(self.now, 1.0 if any(rpc.caller in b for b in self.callers.buckets) else 0.0)
        self.callers.add(self.now, rpc.caller)
        self.tries_seen.add(self.now, 1.0 if rpc.retry else 0.0)
        self.unread.add(self.now, rpc.waited)
        if self.leave_at is not None:
            job.due = max(self.now, min(job.due, self.leave_at - TICK))
        job.life = self.life(job)
        job.value = self.value(job)
        self.values.add(self.now, job.value)
        self.do(job, next(job.life))
        if job.at is Want.HOLD and not self.may_hold(job):
            self.resume(job, News.LATE)
        self.fails = min(self.fails, self.ends_at(job))
        if job.limit < self.alarm + TICK and self.alarm > self.now + LAST:  # brought forward, never put off
            self.wake(LAST)  # No RPC lost: it must not end while this server rests
        return job

    def may_hold(self, job: Job) -> bool:
        """Keeps a tokened RPC from the start: a repeat of one held and not kept bears no mark."""
        rpc, m = job.rpc, job.rpc.method
        share = m.effect is Effect.IDEMPOTENT and self.set.share_for > 0 and rpc.keyed and not rpc.write
        if not share and m.effect is not Effect.TOKENED:
            return True
        if self.kb + self.set.key_kb > self.set.memory_kb * SAFE:
            return share
        span = self.set.share_for + m.deadline if share else m.repeat_window - rpc.waited + 1.0
        self.out.keep(rpc, span)
        self.kept[job] = self.now + span
        self.kb += self.set.key_kb
        return True

    def ended(self, job: Job, outcome: Outcome, elapsed: float) -> None:
        if job.at is None:
            return
        if job.at is Want.CALL:
            self.count_call(job, True)
        if job.at is not Want.JOIN and outcome is Outcome.OK:
            if job.learned.base:
                self.stretch.add(self.now, max(1.0, elapsed - job.called_for) / job.learned.base)
            job.learned.ran(self.now, job, elapsed)
        self.resume(job, News.ENDED)

    def wants_call(self, job: Job) -> None:
        job.called_at = self.now
        if job.at is Want.RUN:
            self.resume(job, News.NEEDS_CALL)

    def call_done(self, job: Job, outcome: Outcome, elapsed: float) -> None:
        if job.at is not Want.CALL:
            return
        job.called_for += elapsed
        if outcome is Outcome.OK:
            self.call_times.add(self.now, elapsed)
            self.lost_row = 0
        elif outcome is Outcome.NO_ANSWER:
            self.lost_row += 1
            if self.lost_row > 1 and self.now - self.slowed >= elapsed:
                # Below hangs for all servers at once: each call lost until then is a part of a small share.
                self.rate, self.slowed = 1.0, self.now
        self.count_call(job, outcome in (Outcome.NO_ANSWER, Outcome.CONNECTION_LOST))
        if outcome is not Outcome.CONNECTION_LOST:  # a broken link says nothing of crowding below
            self.call_recent.add(self.now, elapsed if outcome is Outcome.OK else -1.0)
        self.resume(job, outcome)

    def hangup(self, job: Job) -> None:
        if job.at not in (Want.ABORT, Want.LEAVE):
            self.resume(job, News.GONE)

    def quiesce(self, left: float, ago: float = 0.0) -> None:
        """The notice, which came `ago` ms before it was heard; `left` until the process is stopped."""
        self.run_until, self.here = min(self.run_until, self.now - ago + self.set.drain_grace), False
        self.leave_at = self.now + left
        for job in (j for place in self.places.values() for j in place):
            job.due = min(job.due, self.leave_at - TICK)
        self.fails = 0.0
        self.out.health(False, True)
        self.wake(max(1.0, min(TICK, left - 2.0 * TICK)))  # a short notice leaves no time for a whole tick
        self.out.log(f"draining: {left:.0f} ms left, {len(self.places[Want.HOLD])} held")

    def wake(self, delay: float) -> None:
        self.alarm = self.now + delay
        self.out.wake(delay)

    def woken(self, gauges: Gauges) -> None:
        if self.now < self.alarm - 1.0:
            return  # an earlier look has taken this one's place
        for learned in self.learned.values():
            learned.refresh(self.now)
        self.move_cap(gauges)
        for job in self.places[Want.HOLD]:
            job.value = self.value(job)
        if self.set.below is not Below.NONE:
            self.follow_calls()
        if self.now // 1000.0 > self.last // 1000.0:
            self.judge_tenants()
            self.spare_links(gauges.links or 0.0)
        for job in [j for j, end in self.kept.items() if end <= self.now]:
            del self.kept[job]
            self.kb -= self.set.key_kb
        looks = [self.sweep(job) for job in [j for place in self.places.values() for j in place]]
        self.tell()
        self.last = self.now
        self.wake(max(LAST, min([self.now + REST, *looks]) - self.now))

    def sweep(self, job: Job) -> float:
        """Ends what must end by now; returns when to look again."""
        if job.at in (Want.ABORT, Want.LEAVE):
            if self.set.stopping is Stopping.NONE:
                return inf
            self.out.stop(job.rpc)  # a stop is lost on cores that stand still: say it again
        elif job.at is not Want.HOLD:
            # No RPC lost: running work is answered for in time, and stopped once it is worthless.
            by = job.due if self.set.stopping is Stopping.NONE else job.until(0.0)
            if self.now + LAST >= by:
                self.resume(job, News.DUE)
            elif job.at is not Want.LINE_UP:
                return by - LAST
        return self.now + TICK

    def adopted(self) -> None:
        """Figures of methods and tenants have changed in place: what is held is judged by them."""
        self.shortest = min(m.target for m in self.set.methods)
        for job in self.places[Want.HOLD]:
            job.aim()
            job.value = self.value(job)
        self.fails = 0.0

    def stand_aside(self, on: bool) -> None:
        """It can't know by what to decide: runs nothing new until it does."""
        self.here, self.fails = not on and self.leave_at is None, 0.0
        self.run_until = inf if self.here else min(self.run_until, -inf if on else inf)
        self.out.health(self.here, True)

    # A new build goes on where the old one was

    def rings(self) -> dict[str, Ring]:
        found = {name: ring for name, ring in vars(self).items() if isinstance(ring, Ring)}
        for i, learned in enumerate(self.learned.values()):
            found |= {f"whole {i}": learned.whole, f"own {i}": learned.own}
        return found | {f"tenant {i}": ring for i, ring in enumerate(self.tenant_rate.values())}

    def give(self) -> tuple[dict[str, Any], list[Job]]:
        """All that is learned and in hand, as plain values, and the jobs in the order that it names them."""
        jobs = [j for place in self.places.values() for j in place] + [j for j in self.kept if j.at is None]
        at = {job: i for i, job in enumerate(jobs)}
        plain = {k: v for k, v in vars(self).items() if v is None or isinstance(v, int | float)}
        return {
            "plain": plain,
            "modes": dict(self.modes),
            "worth": list(self.worth.values()),
            "rings": {name: ring.give() for name, ring in self.rings().items()},
            "learned": [[v.seen, v.p99, v.mean, v.base] for v in self.learned.values()],
            "jobs": [[j.at, *(getattr(j, name) for name in CARRIED)] for j in jobs],
            "kept": [[at[j], end] for j, end in self.kept.items()],
        }, jobs

    def take(self, given: dict[str, Any], rpcs: list[Rpc]) -> list[Job]:
        """What another build gave, with its RPCs in the same order; what it does not know stays as it is."""
        for name, value in given["plain"].items():
            if name in vars(self):
                setattr(self, name, value)
        self.modes |= given["modes"]
        self.worth = dict(zip(self.worth, given["worth"], strict=True))
        for name, ring in self.rings().items():
            if name in given["rings"]:
                ring.take(given["rings"][name])
        for learned, values in zip(self.learned.values(), given["learned"], strict=True):
            learned.seen, learned.p99, learned.mean, learned.base = values
        jobs = [Job(rpc, self.learned[rpc.method], self.now) for rpc in rpcs]
        for job, (at, *values) in zip(jobs, given["jobs"], strict=True):
            for name, value in zip(CARRIED, values, strict=True):
                setattr(job, name, value)
            if at is not None:
                self.bring_to(job, Want(at))
        self.kept = {jobs[i]: end for i, end in given["kept"]}
        self.out.wake(max(0.0, self.alarm - self.now))
        return jobs

    def bring_to(self, job: Job, at: Want) -> None:
        """Its life anew, up to where it was, with nothing done for it."""
        now, self.now, job.life = self.now, -inf, self.life(job)  # before any deadline: none must end it here
        want = next(job.life)
        for news in WAY[at]:
            want = job.life.send(news)
        assert want is at, f"{want} in place of {at}"
        job.at, self.now = at, now
        self.places[at][job] = None

    # The check, the cap and the start order

    def settle(self) -> None:
        """Called once all events of a moment are in: pushes back what fails the check, starts others."""
        held = self.places[Want.HOLD]
        if self.now >= self.fails:  # none can fail before: what this goes by changes at looks only
            for job in [j for j in held if self.now >= self.ends_at(j)]:
                self.resume(job, News.LATE)
            self.fails = min(map(self.ends_at, held), default=inf)
        full, line = self.set.memory_kb * SAFE, []
        if held and (self.kb > full or self.room() >= 1.0):
            newest = 1.0 if self.pushed.size(self.now) else -1.0  # first, while a line stands
            line = sorted(held, key=lambda j: (-j.value, -newest * j.arrived))
        while line and self.kb > full:  # own memory: the least worth its work goes first
            self.resume(line.pop(), News.LATE)
        while line and self.room() >= 1.0:
            fits = self.kb + line[0].rpc.kb * (self.set.run_factor - 1.0) <= full
            if line[0].value < self.floor or not (fits or len(line) > 1):
                break
            if fits:
                self.begun.add(self.now, 1.0)
            self.resume(line.pop(0 if fits else -1), News.START if fits else News.LATE)  # room is made
        if self.places[Want.LINE_UP]:
            self.place_calls()
        if (held or self.places[Want.LINE_UP]) and self.alarm > self.now + TICK:
            self.wake(TICK / 2.0)

    def fails_at(self, job: Job) -> float:
        margin = min(job.learned.p99, job.span * MARGIN_SHARE)  # the check, before any is learned too
        return job.limit - margin if job.arrived <= self.run_until else 0.0  # safe drain

    def ends_at(self, job: Job) -> float:
        # A line that stands starts only the best: the rest is told while it can still go elsewhere.
        lost = job.arrived + GIVE_UP * job.span if job.value < self.floor else inf
        return min(self.fails_at(job), lost)

    def value(self, job: Job) -> float:
        tenant = job.rpc.tenant
        worth = job.rpc.method.criticality * (self.worth[tenant] if tenant else 1.0)
        return worth if self.set.by_work else worth / max(1.0, job.learned.mean)

    def crowd(self) -> float:
        """RPCs on the cores that this server survives; fewer while it is cold."""
        age = (self.now - self.born) / max(1.0, self.set.cold_time) if self.set.cold else 1.0
        share = min(1.0, self.set.cold_from + (1.0 - self.set.cold_from) * age)
        return (1.0 + (self.set.crowd - 1.0) * share) * self.set.cores * SAFE

    def running(self) -> int:  # what nobody waits for any more is on the cores too
        return sum(len(self.places[want]) for want in (Want.RUN, Want.ABORT, Want.LEAVE))

    def room(self) -> float:
        running = self.running()  # those at a call come back unasked: all stay under the survivable crowd
        at_call = len(self.places[Want.CALL]) + len(self.places[Want.LINE_UP])
        # Reads are not ours to stop: the cap gives way to them, below its floor too, or all crowd each other.
        cap = max(1.0, self.cap - max(0.0, self.reading - READ_CORES * self.set.cores))
        return min(cap - running, self.crowd() - running - at_call)

    def move_cap(self, gauges: Gauges) -> None:
        cores, running = self.set.cores, self.running()
        self.use = gauges.core_use if gauges.core_use is not None else min(1.0, running / cores)
        self.on_cores = 0.7 * self.on_cores + 0.3 * (gauges.on_cores or 0.0)
        self.reading = 0.7 * self.reading + 0.3 * max(0.0, (gauges.on_cores or 0.0) - running)
        idle = cores - (gauges.on_cores if gauges.on_cores is not None else running)
        if idle > 0 and self.places[Want.HOLD]:
            self.cap = max(self.cap, running + idle)
        elif self.use >= BUSY and self.now - self.cut_at >= 500.0:
            # Measured over base latency; where few runs end, by what is on the cores: it must not stay up.
            known = self.stretch.size(self.now) > 4
            stretch = self.stretch.mean(self.now, 1.0) if known else self.on_cores / cores
            self.cap *= max(0.5, min(1.0, 1.0 / max(0.01, stretch)))
            self.cut_at = self.now
        self.cap = max(float(cores), min(self.cap, self.crowd()))
        # Better work grows too old while lesser fills the slots: only as much starts as did, the best of it.
        begun, values = self.begun.size(self.now), sorted(self.values.values(self.now), reverse=True)
        late = self.pushed.size(self.now)
        stands = idle <= 0 and self.use >= BUSY and late > STANDS * len(values)
        self.floor, self.fails = (values[begun] if stands and begun < len(values) else 0.0), 0.0
        self.mode("choosing", self.floor > 0.0, f"of {len(values)} read {begun} begun {late} too late")

    def allow(self, job: Job) -> float:
        # What hangs below or is lost on the way must leave time to call again, or to do without.
        return min(0.8 * (job.limit - self.now), max(300.0, 6.0 * self.call_times.mean(self.now, 100.0)))

    def follow_calls(self) -> None:
        recent = self.call_recent.values(self.now)
        good = [v for v in recent if v >= 0.0]
        base = self.call_times.lowest(self.now, 0.0)
        mean = self.call_mean = sum(good) / len(good) if good else 0.0
        dt = (self.now - self.last) / 1000.0
        slow = base and mean > 3.0 * base
        if len(recent) >= 6 and (len(good) < 0.75 * len(recent) or (slow and mean > SLOW * self.shortest)):
            self.rate = max(1.0, min(self.rate, len(recent)) * (1.0 - 0.5 * dt))
        elif good or not self.places[Want.LINE_UP]:  # not while calls wait and none is answered
            enough = self.rate > 2.0 * len(recent) + 10.0
            self.rate = self.rate * (1.0 + dt) if not enough else self.rate if slow else inf
        self.rate = min(self.rate, self.share)
        saved = max(1.0, 0.2 * self.rate)
        if self.rate >= self.share:
            # A share is what the store bears of this server in a second: what is saved up is over it.
            saved = min(saved, 1.0 + self.rate * TICK / 1000.0)
        self.tokens = min(self.tokens + self.rate * dt, saved) if dt else self.tokens
        self.mode("paced calls", self.rate < self.share, f"mean {mean:.0f} base {base:.0f} ms")

    def use_below(self, share: float) -> None:
        """At once: what was saved up under a larger share must not be spent under a smaller one."""
        free = self.rate >= self.share  # it was paced by its share alone: it follows it up at once too
        self.share = max(0.01, share)
        self.rate = self.share if free else min(self.rate, self.share)
        self.tokens = min(self.tokens, 1.0)

    def count_call(self, job: Job, lost: bool) -> None:
        self.call_load.add(self.now, self.now - job.called_at + self.set.linger * lost)

    def may_call(self, job: Job) -> bool:
        # More out than come back at a bearable time (Little's law) only wait below until they are given up.
        least = max(2.0, min(6.0, self.set.calls_out or 6.0))  # several times a small share is a crowd
        bearable = min(SLOW * self.shortest, 6.0 * self.call_mean)  # as long as a call is waited for
        most = max(least, self.call_recent.size(self.now) * bearable / 1000.0)
        if self.tokens < 1.0 or len(self.places[Want.CALL]) >= most:
            return False
        if self.set.below is Below.SHARED and self.set.calls_out > 0:
            # The shared store falls: what was in hand and what calls out may still take stay in our share.
            out = sum(j.call_end - j.called_at for j in self.places[Want.CALL])
            self.call_load.turn(self.now)
            share = self.set.calls_out * self.set.calls_over * SAFE
            return sum(self.call_load.sums) + out + self.allow(job) + self.set.linger <= share
        return True

    def place_calls(self) -> None:
        mean = self.call_times.mean(self.now, 0.0)
        for place, job in enumerate(sorted(self.places[Want.LINE_UP], key=lambda j: -j.gain), 1):
            wait = max(self.now - job.called_at, place * 1000.0 / self.rate)
            dear = job.rpc.method.skip_share > 0 and wait > CALL_WAIT * job.span
            if self.may_call(job):
                self.tokens -= 1.0
                self.resume(job, News.GO)
            elif dear or self.allow(job) < 2.0 * mean:
                self.resume(job, News.NO_CALL)  # its turn would come too late

    # What callers are told

    def judge_tenants(self) -> None:
        for tenant, ring in self.tenant_rate.items():
            if tenant.allowance > 0:
                over = max(1.0, ring.size(self.now) / 5.0 * self.set.servers / (tenant.allowance * 1.3))
                self.worth[tenant] = 1.0 / over + self.set.over_share_worth * (1.0 - 1.0 / over)

    def push_back(self, job: Job) -> None:
        if self.now >= self.fails_at(job):
            self.pushed.add(self.now, 1.0)  # not those given up early: they would keep the line standing
        # Another try costs a read elsewhere: worth it only while marked tries show that others take them.
        walks = self.set.marks_retry and self.tries_seen.mean(self.now, 0.0) < WALKS
        final = not walks or job.rpc.retry or job.limit - self.now < job.learned.mean
        away = 1.0 - self.keeps_up if self.here else 1.0
        self.out.push_back(job.rpc, self.set.hold_off_max * away, final and self.here)

    def tell(self) -> None:
        p, room = self.places, self.set.cores  # to hold one RPC a core
        held = len(p[Want.HOLD])
        dt = (self.now - self.last) / 1000.0
        self.weight = max(HEARD, min(1.0, self.weight * (1.0 + dt * max(-1.0, (room - held) / room))))
        unread = self.unread.mean(self.now, 0.0)  # shows a slowed server before any run ends
        self.keeps_up = max(HEARD, 1.0 - unread / (UNREAD * self.shortest))
        self.mode("drowning", self.keeps_up < 0.3, f"unread for {unread:.0f} ms")
        self.mode("shedding", self.weight < 0.7, f"held {held} cap {self.cap:.0f} use {self.use:.2f}")
        amount = self.weight * self.keeps_up * self.here
        if self.set.advert is Advert.LEVEL:
            amount = 1.0 - self.weight * self.here
        elif self.set.advert is Advert.CREDIT:
            busy = max(self.cap, len(p[Want.RUN])) + len(p[Want.CALL]) + len(p[Want.LINE_UP])
            # By the share of the busiest caller: split evenly it would starve while others leave theirs.
            seen = Counter(self.callers.values(self.now))
            # Nothing falls over: a first credit is taken by each of all callers, and a cold server that knows
            # none yet would get it times their number. Each counts as one that asked, less so as it learns.
            known = min(1.0, max(0.0, self.now - self.met) / (self.callers.count * self.callers.width))
            guess = (1.0 - known) * (self.set.cold and self.set.callers > 0)
            asked = seen.total() + guess * self.set.callers
            biggest = (max(seen.values(), default=0) + guess) / asked if asked else 1.0
            amount = (busy + room) * biggest * self.keeps_up * self.here
        if round(amount, 3) != self.advert and self.set.advert is not Advert.NONE:
            self.advert = round(amount, 3)
            self.out.advertise(self.advert)

    def spare_links(self, links: float) -> None:
        """Many callers that each come seldom fill the table: it taxes the cores, and full it keeps out."""
        fewer = LINKS * self.set.cores / max(1.0, links) if self.back.mean(self.now, 1.0) < 0.5 else 2.0
        idle = min(max(10.0, self.link_idle * max(0.5, min(2.0, fewer))), self.set.link_idle)
        if idle != self.link_idle:
            self.link_idle = idle
            self.out.reap(idle)

    def mode(self, name: str, on: bool, why: str) -> None:
        if self.modes.get(name, False) != on:
            self.modes[name] = on
            self.out.log(f"{name} {'on' if on else 'off'}: {why}")
