"""Holders and one lender in virtual time, for the rule of `coldstart.leases`."""

from __future__ import annotations

from random import Random
from typing import Any

from landingshift.coldstart.fair_division import max_min_fair_shares
from landingshift.coldstart.leases import HeldLease, LeaseGrantor, LeaseRequest

LEASE_MS, CLOCK_MARGIN_MS = 1000.0, 100.0


class LeaseSimulation:
    """The network loses, doubles, delays and reorders; clocks run up to 1 % apart; anyone may stand still
    and the lender may start anew. `quiet`, `books`: whether it keeps to those parts of the rule."""

    def __init__(
        self,
        seed: int,
        capacity: float = 10.0,
        has_recovery_grace: bool = True,
        books_old_grants: bool = True,
    ) -> None:
        self.chance, self.now, self.capacity = Random(seed), 0.0, capacity
        self.has_recovery_grace, self.books_old_grants_old_grants = has_recovery_grace, books_old_grants
        self.paces = {name: self.chance.uniform(0.99, 1.01) for name in "abcdefgh"}
        self.runs = dict.fromkeys(self.paces, 1)
        self.loans = {name: HeldLease(LEASE_MS) for name in self.paces}
        self.still = dict.fromkeys([*self.paces, ""], 0.0)
        self.way: list[tuple[float, Any]] = []  # what is under way, and when it arrives
        self.lender = self.begin()
        self.max_believed = 0.0

    def begin(self) -> LeaseGrantor:
        lender = LeaseGrantor(self.capacity, LEASE_MS, CLOCK_MARGIN_MS, self.now, max_min_fair_shares)
        if not self.has_recovery_grace:
            lender.recovery_grace_until_ms = 0.0
        return lender

    def clock(self, name: str) -> float:
        return self.now * self.paces[name] + 5000.0 * ord(name)

    def send(self, what: Any) -> None:
        for _ in range(self.chance.choice((0, 1, 1, 1, 2))):
            late = self.chance.choice((1.0, 5.0, 50.0, 400.0, 1500.0))
            self.way.append((self.now + self.chance.uniform(0.5, 1.0) * late, what))

    def step(self) -> None:
        chance = self.chance
        self.now += chance.uniform(1.0, 60.0)
        name = chance.choice("abcdefgh")
        fate = chance.random()
        if fate < 0.01:
            self.still[chance.choice([*self.paces, ""])] = self.now + chance.uniform(100.0, 3000.0)
        elif fate < 0.015:
            self.lender = self.begin()
        elif fate < 0.025:
            self.loans[name], self.runs[name] = HeldLease(LEASE_MS), self.runs[name] + 1
        elif self.still[name] <= self.now:
            number, claims = self.loans[name].next_request(self.clock(name))
            self.send(("ask", name, self.runs[name], number, claims, chance.choice((0.0, 1.0, 3.0, 9.0))))
        arrived = [entry for entry in self.way if entry[0] <= self.now]
        self.way = [entry for entry in self.way if entry[0] > self.now]
        for _, what in arrived:
            self.arrive(what)
        held = sum(loan.usable_amount(self.clock(n)) for n, loan in self.loans.items())
        self.max_believed = max(self.max_believed, held)

    def arrive(self, what: Any) -> None:
        match what:
            case "ask", name, run, number, claims, wanted:
                if self.still[""] > self.now:
                    self.way.append((self.still[""], what))
                    return
                amount = self.lender.renew(LeaseRequest(name, run, number, claims, wanted), self.now)
                if amount is not None:
                    if not self.books_old_grants_old_grants:  # as if a smaller grant freed the rest at once
                        self.lender.grants[name].booked_amount = amount
                    self.send(("give", name, run, number, amount))
            case "give", name, run, number, amount:
                if self.still[name] > self.now:
                    self.way.append((self.still[name], what))
                elif run == self.runs[name]:
                    self.loans[name].on_grant(number, amount, self.clock(name))
