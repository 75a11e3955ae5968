"""Every order of a small model of what is lent: a lender, two holders, any message next, lost or twice; time
passes, lender and holders die and come back. Checked at each state: what all believe in is never more than
there is. It starts where one holder has all.

Whoever died believes on in what he had until its end: he may only have been stopped.
"""

from __future__ import annotations

import copy
from dataclasses import dataclass, field, replace
from typing import Any

from landingshift.coldstart.fair_division import max_min_fair_shares
from landingshift.coldstart.leases import HeldLease, LeaseGrantor, LeaseRequest

LEASE_MS, CLOCK_MARGIN_MS = 300.0, 40.0
STEP = 100.0  # ms
CAPACITY = 4.0
WANTS = {"a": 4.0, "b": 3.0}
FLIGHT = 3  # messages under way at a time


@dataclass
class Spent:
    """How often each may still come."""

    asks: int = 4
    losses: int = 1
    doubles: int = 1
    passes: int = 5
    restarts: int = 2


@dataclass
class State:
    lender: LeaseGrantor
    loans: dict[str, HeldLease]
    runs: dict[str, int]
    now: float = 10_000.0
    way: list[tuple[Any, ...]] = field(default_factory=list)
    ghosts: list[tuple[float, float]] = field(default_factory=list)  # amounts and ends of who died
    spent: Spent = field(default_factory=Spent)

    def believed(self) -> float:
        living = sum(loan.usable_amount(self.now) for loan in self.loans.values())
        return living + sum(amount for amount, end in self.ghosts if end > self.now)

    def key(self) -> Any:
        now, lender = self.now, self.lender
        grants = [
            (n, g.run_id, g.request_number, g.amount, g.booked_amount, g.expires_at_ms - now, g.wanted_amount)
            for n, g in sorted(lender.grants.items())
        ]
        loans = [
            (
                n,
                self.runs[n],
                o.request_number,
                o.is_answered,
                o.held_amount,
                max(0.0, o.expires_at_ms - now),
                now - o.requested_at_ms,
            )
            for n, o in self.loans.items()
        ]
        ghosts = sorted((a, e - now) for a, e in self.ghosts if e > now)
        way = sorted(map(repr, self.way))
        return repr((grants, max(0.0, lender.recovery_grace_until_ms - now), loans, ghosts, way, self.spent))


class LeaseSearch:
    """`quiet`, `books`: whether the lender keeps to those parts of the rule."""

    def __init__(self, has_recovery_grace: bool = True, books_old_grants: bool = True) -> None:
        self.has_recovery_grace, self.books_old_grants_old_grants = has_recovery_grace, books_old_grants
        self.state_count, self.violation, self.max_believed = 0, "", 0.0

    def lender(self, now: float) -> LeaseGrantor:
        lender = LeaseGrantor(CAPACITY, LEASE_MS, CLOCK_MARGIN_MS, now, max_min_fair_shares)
        if not self.has_recovery_grace:
            lender.recovery_grace_until_ms = now
        return lender

    def begin(self) -> State:
        lender = self.lender(0.0)
        state = State(lender, {n: HeldLease(LEASE_MS) for n in WANTS}, dict.fromkeys(WANTS, 1))
        for step in (("ask", "a"), ("deliver", 0), ("deliver", 0)):
            state = self.take(state, step)
        state.spent = Spent()
        return state

    def steps(self, state: State) -> list[tuple[Any, ...]]:
        spent, room = state.spent, len(state.way) < FLIGHT
        found: list[tuple[Any, ...]] = [("deliver", i) for i in range(len(state.way))]
        if spent.asks and room:
            found += [("ask", n) for n in WANTS]
        if spent.losses:
            found += [("lose", i) for i in range(len(state.way))]
        if spent.doubles and room:
            found += [("double", i) for i in range(len(state.way))]
        if spent.passes:
            found.append(("pass",))
        if spent.restarts:
            found += [("lender",), ("holder", "a")]
        return found

    def take(self, old: State, step: tuple[Any, ...]) -> State:
        state = replace(
            old, lender=copy.deepcopy(old.lender), loans=copy.deepcopy(old.loans), runs=dict(old.runs),
            way=list(old.way), ghosts=list(old.ghosts), spent=replace(old.spent),
        )  # fmt: skip
        spent = state.spent
        match step:
            case "deliver", int(i):
                self.deliver(state, state.way.pop(i))
            case "ask", str(name):
                spent.asks -= 1
                number, claims = state.loans[name].next_request(state.now)
                state.way.append(("ask", name, state.runs[name], number, claims))
            case "lose", int(i):
                spent.losses -= 1
                state.way.pop(i)
            case "double", int(i):
                spent.doubles -= 1
                state.way.append(state.way[i])
            case ("pass",):
                spent.passes -= 1
                state.now += STEP
            case ("lender",):
                spent.restarts -= 1
                state.lender = self.lender(state.now)
            case "holder", str(name):
                spent.restarts -= 1
                loan = state.loans[name]
                state.ghosts.append((loan.held_amount, loan.expires_at_ms))
                state.loans[name], state.runs[name] = HeldLease(LEASE_MS), state.runs[name] + 1
        return state

    def deliver(self, state: State, message: tuple[Any, ...]) -> None:
        match message:
            case "ask", str(name), int(run), int(number), float(claims):
                amount = state.lender.renew(LeaseRequest(name, run, number, claims, WANTS[name]), state.now)
                if amount is not None:
                    if not self.books_old_grants_old_grants:
                        state.lender.grants[name].booked_amount = amount
                    state.way.append(("give", name, run, number, amount))
            case "give", str(name), int(run), int(number), float(amount) if run == state.runs[name]:
                state.loans[name].on_grant(number, amount, state.now)

    def run(self, depth: int, most: int) -> LeaseSearch:
        """All states up to `depth` steps, each once; ends at the first in which too much is believed in."""
        begin = self.begin()
        seen, edge = {begin.key()}, [(begin, ())]
        for _ in range(depth):
            new: list[tuple[State, Any]] = []
            for state, way in edge:
                for step in self.steps(state):
                    after = self.take(state, step)
                    key = after.key()
                    if key in seen:
                        continue
                    seen.add(key)
                    self.state_count, self.max_believed = len(seen), max(self.max_believed, after.believed())
                    if after.believed() > CAPACITY + 1e-9:
                        self.violation = f"{after.believed():g} of {CAPACITY:g}, by {[*way, step]}"
                        return self
                    if self.state_count >= most:
                        return self
                    new.append((after, (*way, step)))
            edge = new
        return self
