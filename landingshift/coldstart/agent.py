"""One server's part in a common start: asks for a place and a share of the store, lends them if it is to.

Pure: speaks through its `Node`, which the server's loop or virtual time drives. With nobody to ask it goes by
what it was told last, then by its floor: between an RPC and its answer no peer is ever waited for.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from random import Random
from typing import Any

from landingshift.coldstart.leases import UNEVEN, Lender, Loan, fair
from landingshift.coldstart.places import Pace, Places, Wish
from landingshift.coldstart.start import Start
from landingshift.coldstart.strain import UNKNOWN
from landingshift.membership.messages import GONE, Record
from landingshift.membership.node import Node

PACKAGE = "cold"
ASKS = 3.0  # requests in a lease: two may be lost
UNMET = 0.9  # of what it needs; with less a second lender is asked too
SECOND = 5.0  # leases for which a second lender is asked, once one was needed
LIMIT = 1e9


@dataclass(slots=True, frozen=True)
class Plan:
    """What is settled for all servers alike. `calls`: calls a second that the store bears; times in ms."""

    lenders: tuple[str, ...]
    calls: float
    servers: int  # the most that there will be
    floor: float  # share of `calls` that is divided evenly and for good, and not lent
    lease: float
    spare: float
    first: float  # places at the start of a lender's life, of all lenders together
    most: float
    patience: float
    alone: float  # starts a second of those who find nobody to ask

    def part(self, amount: float) -> float:
        """What one lender has of an amount that all of them lend together."""
        return amount / len(self.lenders) if self.lenders else 0.0

    @property
    def kept(self) -> float:
        """ms for which a grant is booked."""
        return self.lease * (1.0 + UNEVEN) + self.spare

    @property
    def own(self) -> float:
        """Calls a second that each server may always make."""
        return self.calls * self.floor / self.servers if self.lenders else self.calls / self.servers


@dataclass(slots=True)
class Seen:
    """What this server sees of itself: `need` in calls a second, `work` in RPCs a second that wait for it."""

    warmth: float = 0.0
    need: float = 1.0
    work: float = 0.0
    strain: float = UNKNOWN
    base: float = 0.0  # ms of a call when the store is well; 0 where it never saw that


class Lending:
    """The lender's books: its part of the places and of the store's calls."""

    def __init__(self, plan: Plan, now: float, quiet: float | None = None) -> None:
        """`quiet`: ms that it keeps to what is claimed, a whole lease where nothing better is known."""
        calls = plan.part(plan.calls * (1.0 - plan.floor))
        self.shares = Lender(calls, plan.lease, plan.spare, now, fair)
        self.bearable = Pace(calls, calls, now, calls * 0.05)
        self.places = Places(plan.part(plan.first), plan.part(plan.most), plan.lease, plan.spare, now)
        if quiet is not None:
            self.shares.quiet_until = self.places.lender.quiet_until = now + quiet
        self.bases: dict[str, float] = {}

    def base(self) -> float:
        return min((b for b in self.bases.values() if b), default=0.0)

    def asked(self, who: Record, ask: list[Any], now: float) -> list[Any] | None:
        """The answer to one request, None where it is late, doubled or no request."""
        if len(ask) != 9 or not all(isinstance(v, int | float) and UNKNOWN <= v < LIMIT for v in ask):
            return None
        number, claims, need, place_number, place, wants, work, strain, base = ask
        if min(number, claims, need, place_number, place, wants, work, base) < 0:
            return None
        for gone in self.shares.lapse(now):
            self.bases.pop(gone, None)
        self.bearable.strain(strain)
        if self.bearable.look(now, True):
            self.shares.capacity = self.bearable.limit
        amount = self.shares.asked(who.name, who.run, number, claims, need, now)
        wish = Wish(who.zone, work, now) if wants else None
        granted = self.places.asked(who.name, who.run, place_number, place, wish, strain, now)
        if amount is None or granted is None:
            return None
        self.bases[who.name] = base
        return [number, amount, place_number, granted, self.base()]


@dataclass(slots=True, eq=False)
class Loans:
    """What this server has from one lender."""

    share: Loan
    place: Loan


class Agent:
    def __init__(
        self, node: Node, plan: Plan, chance: Random, now: float, quiet: float | None = None
    ) -> None:
        self.node, self.plan, self.chance = node, plan, chance
        self.lending = Lending(plan, now, quiet) if node.me.name in plan.lenders else None
        self.loans: dict[str, Loans] = {}
        self.start = Start(plan.patience, plan.servers, plan.alone, chance, now)
        self.seen = Seen()
        self.told_base = 0.0
        self.second_until = 0.0
        # Servers that began in one second must not ask in step for ever.
        self.ask_at = now + plan.lease / ASKS * chance.random()
        self.asked = self.answered = 0
        self.wanted = 0.0  # calls a second that were asked for last
        self.asked_at = now
        node.handlers[PACKAGE] = self.hear

    # What this server may do

    def share(self, now: float) -> float:
        """Calls a second; never less than its floor."""
        return self.own + sum(loans.share.amount(now) for loans in self.loans.values())

    @property
    def own(self) -> float:
        """Its floor; smaller where more are there than were planned for, as far as it sees."""
        there = len(self.node.members.present) + 1
        return self.plan.own * min(1.0, self.plan.servers / there)

    def place(self, now: float) -> bool:
        return any(loans.place.amount(now) >= 1.0 for loans in self.loans.values())

    def lenders(self) -> list[str]:
        """Those that are there, in this server's own order: each has about as many to lend to."""
        name = self.node.me.name
        here = [n for n in self.plan.lenders if n == name or self.there(n)]
        return sorted(here, key=lambda n: zlib.crc32(f"{n} {name}".encode()))

    def there(self, name: str) -> bool:
        record = self.node.members.get(name)
        return record is not None and record.state not in GONE

    # Time

    def step(self, now: float, seen: Seen) -> bool:
        """Asks where that is due; True where the stage changed."""
        self.seen = seen
        # All that it asked for was lent, and it needs twice that by now: a start must not wait for its turn.
        more = seen.need > 2.0 * max(self.wanted, self.own) and self.share(now) >= UNMET * self.wanted
        if now >= self.ask_at or (more and now >= self.asked_at + self.plan.lease / ASKS / 4.0):
            self.ask_at = now + self.plan.lease / ASKS * self.chance.uniform(0.9, 1.1)
            self.ask(now)
        for name in [n for n, had in self.loans.items() if max(had.share.end, had.place.end) <= now]:
            if name not in self.plan.lenders or not self.there(name):
                del self.loans[name]
        return self.start.step(now, len(self.lenders()), self.place(now), seen.warmth)

    def ask(self, now: float) -> None:
        self.asked_at, self.wanted = now, self.seen.need
        lenders = self.lenders()[:2]
        if not lenders:
            return
        had = self.share(now) - self.own
        if self.answered and had < UNMET * (self.seen.need - self.own):
            self.second_until = now + SECOND * self.plan.lease
        self.ask_one(lenders[0], self.seen.need - self.own, True, now)
        if now < self.second_until and len(lenders) > 1:
            first = self.loans[lenders[0]].share.amount(now)
            self.ask_one(lenders[1], self.seen.need - self.own - first, False, now)

    def ask_one(self, lender: str, need: float, home: bool, now: float) -> None:
        plan, seen = self.plan, self.seen
        loans = self.loans.setdefault(lender, Loans(Loan(plan.lease), Loan(plan.lease)))
        number, claims = loans.share.ask(now)
        place_number, place = loans.place.ask(now)
        wants = home and self.start.wants_place
        ask = [
            number,
            claims,
            max(0.0, need),
            place_number,
            place,
            int(wants),
            seen.work,
            seen.strain,
            seen.base,
        ]
        self.asked += 1
        if lender == self.node.me.name and self.lending is not None:
            self.answer(lender, self.lending.asked(self.node.me, ask, now), now)
        else:
            self.node.say(lender, PACKAGE, ["ask", *ask])

    # What others say

    def hear(self, sender: Record, body: list[Any]) -> None:
        now = self.node.now
        match body:
            case ["ask", *ask] if self.lending is not None:
                answer = self.lending.asked(sender, ask, now)
                if answer is not None:
                    self.node.say(sender.name, PACKAGE, ["give", *answer])
            case ["give", *answer] if sender.name in self.loans:
                self.answer(sender.name, answer, now)

    def answer(self, lender: str, answer: list[Any] | None, now: float) -> None:
        match answer:
            case [int(number), int() | float() as amount, int(place_number), int() | float() as place, base]:
                loans = self.loans[lender]
                if not (0 <= amount < LIMIT and 0 <= place <= 1 and isinstance(base, int | float)):
                    return
                good = loans.share.answer(number, float(amount), now)
                if loans.place.answer(place_number, float(place), now) or good:
                    self.start.heard = now
                    self.answered += 1
                    self.told_base = float(base)
