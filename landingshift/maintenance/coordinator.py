"""The leader's work on requests: who may go, who is back, what is refused or taken back. Pure.

Reports of machines may be lost with their leader; the next one lets nobody go before it has heard of the
fleet for `SETTLE` ms. What must not be lost is in the book.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import exp
from typing import Any

from landingshift.maintenance.capacity_constraints import CapacityConstraints, DisruptionBudget, Machine
from landingshift.maintenance.demand_forecast import DailyDemandProfile, DemandTrend, expected
from landingshift.maintenance.planner import permits_to_withhold, refusal_reason, select_next
from landingshift.maintenance.replicated_state import MaintenanceState, command
from landingshift.maintenance.requests import COUNTED, MaintenanceRequest, RequestState
from landingshift.maintenance.staged_rollout import AnswerCounts, allowed, worse

HOPELESS = 5000.0  # ms between two looks for what can never be met
SETTLE = 3000.0  # ms of its reign that a leader only listens
STALE = 6000.0  # ms after which a machine that says nothing counts as lost
SHORT = 400.0  # ms between two looks
PEAK = 0.9  # of the largest demand of the last minutes that stays: load may come back as it went
MOST = 10_000
UNEVEN = 0.02


@dataclass(slots=True, eq=False)
class Report:
    """What a machine says of itself; rates are RPCs a second, `ok` and `all` counted since its start."""

    machine: Machine
    run: int
    warmth: float
    load: float
    at: float
    going: int = 0  # the permission by which it is leaving
    did: int = 0  # the one by which its earlier run left, as its disk says
    ok: float = 0.0
    all: float = 0.0
    offered_at: float = -1e9  # when it was last told that it may go


@dataclass(slots=True, frozen=True)
class CoordinatorSettings:
    """Alike on all servers. A permission not used for `lasts` ms is void, and `spare` later given on."""

    needs: DisruptionBudget = field(default_factory=DisruptionBudget)
    lasts: float = 3000.0
    spare: float = 500.0
    back: float = 1.0  # minutes from a start until warm, about
    rings: bool = True
    fades: float = 400_000.0  # ms in which the largest demand fades to a third


class MaintenanceCoordinator:
    """`propose(data)` puts an entry to the agreement; `leads(now)` whether this one may speak for it;
    `gone(name)` whether the fleet sees that one no more, `names()` all that it has answer_report of."""

    def __init__(
        self,
        book: MaintenanceState,
        plan: CoordinatorSettings,
        propose: Callable[[bytes], object],
        leads: Callable[[float], bool],
        gone: Callable[[str], bool],
        names: Callable[[], set[str]],
        wall: Callable[[], float],
        log: Callable[..., None],
    ) -> None:
        self.state, self.plan, self.propose, self.leads = book, plan, propose, leads
        self.gone, self.names, self.wall, self.log = gone, names, wall, log
        self.reports: dict[str, Report] = {}
        self.since, self.led, self.look_at, self.now = 0.0, False, 0.0, 0.0
        self.looked = False  # at the floor, in this reign
        self.peak, self.hopeless_at, self.looked_at = 0.0, -1e9, 0.0
        self.line = DemandTrend()
        self.quarter = -1  # of an hour of the day that is seen just now, and the most in it
        self.most = 0.0
        self.touched, self.rest = AnswerCounts(), AnswerCounts()
        self.done_names: set[str] = set()
        self.why = ""  # why nobody is let go just now
        self.voters: list[str] = []  # as the agreement has them
        self.asked: dict[str, float] = {}  # proposals under way, by what and when

    def begin(self, now: float) -> None:
        self.since, self.reports, self.peak, self.looked = now, {}, 0.0, False
        self.line, self.quarter, self.most, self.looked_at = DemandTrend(), -1, 0.0, now
        self.touched, self.rest, self.asked = AnswerCounts(), AnswerCounts(), {}

    def put(self, key: str, data: bytes, now: float) -> None:
        """Once a second for each thing: the entry may be lost with a leader."""
        if now - self.asked.get(key, -1e9) >= 1000.0:
            if len(self.asked) >= MOST:
                self.asked.clear()
            self.asked[key] = now
            self.propose(data)

    # Reports

    def hear(self, machine: Machine, run: int, body: list[Any], now: float) -> list[Any] | None:
        """The answer: stage, permission's number, for how long it may be used; None where this leads not."""
        if not self.leads(now):
            return None
        match body:
            case [float(warmth), float(load), int(going), int(did), float(ok), float(all)]:
                pass
            case _:
                return None
        if machine.name not in self.reports and len(self.reports) >= MOST:
            return None
        had = self.reports.get(machine.name)
        report = Report(machine, run, min(1.0, max(0.0, warmth)), load, now, going, did, ok, all)
        if had is not None:
            report.offered_at = had.offered_at if had.run == run else -1e9
            if had.run == run:
                side = self.touched if machine.name in self.done_names else self.rest
                side.add(max(0.0, ok - had.ok), max(0.0, all - had.all))
        self.reports[machine.name] = report
        self.know(machine, now)
        wish = self.state.requests.get(machine.name)
        if wish is None:
            return ["", 0, 0.0]
        self.follow(wish, report, now)
        may = (
            wish.stage is RequestState.PERMITTED
            and self.state.runs.get(wish.name) == run
            and not self.state.held
        )
        # A new leader does not offer again what the one before it allowed, until it knows who is there: that
        # may have gone with a zone.
        may = may and self.looked and not self.asked.get(f"back {wish.name} {wish.number}")
        if may and not going:
            report.offered_at = now
        return [wish.stage.value, wish.number, self.plan.lasts if may else 0.0]

    def know(self, machine: Machine, now: float) -> None:
        """What a later leader must count with although that machine may be gone by then."""
        facts = machine.capacity, machine.zone, machine.model, machine.best
        if self.state.machines.get(machine.name) != facts:
            self.put(f"machine {machine.name}", command("machine", machine.name, *facts), now)

    def missing(self) -> list[Machine]:
        """Those of the book that have not reported to this leader."""
        return [
            Machine(name, *facts, name in self.voters)
            for name, facts in self.state.machines.items()
            if name not in self.reports
        ]

    def follow(self, wish: MaintenanceRequest, report: Report, now: float) -> None:
        """Moves a wish on by what its machine says."""
        same = self.state.runs.get(wish.name) == report.run
        name, number = wish.name, wish.number
        match wish.stage:
            case RequestState.PERMITTED if (same and report.going == number) or report.did == number:
                self.move(wish, RequestState.DRAINING, "", now)
            case RequestState.PERMITTED if not same:
                self.move(wish, RequestState.WISHED, "it was started anew before it left", now)
            case RequestState.DRAINING | RequestState.OUT if not same:
                self.move(wish, RequestState.RETURNING, "", now)
            case RequestState.RETURNING:
                self.move(wish, RequestState.WARMING, "", now)
            case RequestState.WARMING:
                wish.warmth = report.warmth
                if report.warmth >= 1.0:
                    self.put(f"done {name} {number}", self.moved(wish, RequestState.DONE, ""), now)
                    self.done_names.add(name)

    def moved(self, wish: MaintenanceRequest, to: RequestState, why: str) -> bytes:
        return command("move", wish.name, wish.number, to.value, why, self.wall())

    def move(self, wish: MaintenanceRequest, to: RequestState, why: str, now: float) -> None:
        self.put(f"{to.value} {wish.name} {wish.number}", self.moved(wish, to, why), now)

    # Looks

    def demand(self) -> float:
        """What is asked for now, what it was lately (less of it now is no promise that it stays so), and what
        is to be expected until one that leaves now is back."""
        ahead = expected(self.line, self.state.shape, self.asked_for(), self.wall(), self.away())
        return max(ahead, PEAK * self.peak)

    def away(self) -> float:
        """ms until the longest work that might begin now is done and its machine warm."""
        waiting = [w.minutes for w in self.state.requests.values() if w.stage is RequestState.WISHED]
        return (max(waiting) + self.plan.back) * 60_000.0 if waiting else 0.0

    def watch(self, now: float) -> None:
        """What is asked for goes into the line, and once a quarter of an hour into the book."""
        asked = self.asked_for()
        self.peak = max(self.peak * exp((self.looked_at - now) / self.plan.fades), asked)
        self.looked_at = now
        if now - self.since < SETTLE:
            return  # not all have reported to it yet
        self.line.add(now, asked)
        quarter = DailyDemandProfile.quarter(self.wall())
        if quarter != self.quarter:
            if self.quarter >= 0:
                self.put(f"seen {self.quarter}", command("seen", self.quarter, self.most), now)
            self.quarter, self.most = quarter, 0.0
        self.most = max(self.most, asked)

    def asked_for(self) -> float:
        """RPCs a second; what a silent machine told last goes to others by now."""
        # One that has just left counts too: others tell what they took over only with their next reports.
        return sum(r.load for r in self.reports.values() if self.now - r.at <= STALE)

    def lost(self, now: float) -> dict[str, float]:
        """Shares that are out unasked, by name: silent ones, and what is cold of those not sent away."""
        found = {}
        for name, report in self.reports.items():
            wish = self.state.requests.get(name)
            if wish is not None and wish.stage in (*COUNTED, RequestState.WARMING):
                continue
            if now - report.at > STALE or self.gone(name):
                found[name] = 1.0
            elif report.warmth < 1.0:
                found[name] = 1.0 - report.warmth
        for machine in self.missing():
            wish = self.state.requests.get(machine.name)
            if wish is None or wish.stage not in (*COUNTED, RequestState.WARMING):
                found[machine.name] = 1.0
        return found

    def floor(self) -> CapacityConstraints:
        machines = [r.machine for r in self.reports.values()]
        return CapacityConstraints([*machines, *self.missing()], self.plan.needs, self.demand())

    def step(self, now: float) -> None:
        if now < self.look_at:
            return
        self.now = now
        self.look_at = now + SHORT
        leads = self.leads(now)
        if leads and not self.led:
            self.begin(now)
        self.led = leads
        if not leads:
            return
        self.watch(now)
        requests, book = self.state.requests, self.state
        for wish in list(requests.values()):
            self.see(wish, now)
        if now - self.since < SETTLE or not requests:
            self.why = "the leader is new: it listens first" if requests else ""
            return
        floor, lost = self.floor(), self.lost(now)
        out = {n: w.out() for n, w in requests.items() if w.out() > 0.0} | lost
        self.why, self.looked = book.held or floor.broken(out), True
        if self.why:
            for name in permits_to_withhold(requests, floor, lost) if not book.held else []:
                self.asked.setdefault(f"back {name} {requests[name].number}", now)
            return
        for key in [k for k in self.asked if k.startswith("back ")]:
            del self.asked[key]  # it may be used again
        verdict = worse(self.touched, self.rest) if self.plan.rings else ""
        if verdict:
            self.why = verdict
            self.put("hold", command("hold", f"stopped by itself: {verdict}"), now)
            return
        if now - self.hopeless_at >= HOPELESS:
            self.hopeless_at = now
            names = self.names()
            for name in [n for n in self.state.machines if n not in names]:
                self.put(
                    f"without {name}", command("without", name), now
                )  # gone for so long that it is forgotten
            whole = not lost and names <= self.reports.keys()
            for wish in [w for w in requests.values() if w.stage is RequestState.WISHED]:
                why = refusal_reason(wish, floor, self.wall(), wish.name in names, whole)
                if why:
                    self.move(wish, RequestState.REFUSED, why, now)
        if not requests:
            return  # the last ones were refused just now
        oldest = min(w.since for w in requests.values()) - 1000.0  # requests of one call are as old
        done = sum(1 for e in book.history if e.end == RequestState.DONE.value and e.since >= oldest)
        room = 1 << 30
        if self.plan.rings:
            room = max(
                0,
                allowed(done) - done - sum(w.stage not in (RequestState.WISHED,) for w in requests.values()),
            )
        for name in select_next(requests, floor, lost, self.wall(), self.plan.back)[:room]:
            report = self.reports.get(name)
            if report is not None:
                self.put(f"permit {name}", command("permit", name, report.run, now), now)

    def see(self, wish: MaintenanceRequest, now: float) -> None:
        """What goes on without a word from its machine."""
        report = self.reports.get(wish.name)
        if wish.stage is RequestState.DRAINING and (
            self.gone(wish.name) or report is None or now - report.at > STALE
        ):
            self.move(wish, RequestState.OUT, "", now)
        elif wish.stage is RequestState.PERMITTED and self.void(wish, report, now):
            self.move(wish, RequestState.WISHED, "its permission ran out unused", now)
        elif wish.stage is RequestState.WARMING and (report is None or now - report.at > STALE):
            wish.warmth = 0.0
            if now - self.since > SETTLE and (report is None or self.gone(wish.name)):
                self.move(wish, RequestState.OUT, "it crashed while it warmed", now)

    def void(self, wish: MaintenanceRequest, report: Report | None, now: float) -> bool:
        """Whether a permission can't be used any more, by its machine's clock either, whoever offered it.

        It must have said after that that it stays; one that is silent counts as out until it speaks.
        """
        offered = max(self.since, report.offered_at if report is not None else -1e9)
        end = offered + self.plan.lasts * (1.0 + UNEVEN) + self.plan.spare
        if report is None or now - report.at > STALE:
            return False  # it may have left: its disk says so once it is back
        return report.at > end and report.going != wish.number
