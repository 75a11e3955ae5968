"""One server's part in a common start: asks for a place and a share of the store, lends them if it is to.

Pure: speaks through its `Node`, which the server's loop or virtual time drives. With nobody to ask it goes by
what it was told last, then by its floor: between an RPC and its answer no peer is ever waited for.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from random import Random
from typing import Any

from landingshift.coldstart.downstream_saturation import UNKNOWN_SATURATION
from landingshift.coldstart.leases import CLOCK_DRIFT_FRACTION, HeldLease, LeaseGrantor, max_min_fair_shares
from landingshift.coldstart.start_permits import AdaptiveLimit, PermitRequest, StartPermitPool
from landingshift.coldstart.start_sequence import StartSequence
from landingshift.membership.messages import DEPARTED_STATES, MemberRecord
from landingshift.membership.node import SwimNode

PACKAGE = "cold"
ASKS = 3.0  # requests in a lease: two may be lost
UNMET = 0.9  # of what it needs; with less a second lender is asked too
SECOND = 5.0  # leases for which a second lender is asked, once one was needed
LIMIT = 1e9


@dataclass(slots=True, frozen=True)
class ColdStartPlan:
    """What is settled for all servers alike. `calls`: calls a second that the store bears; times in ms."""

    grantor_names: tuple[str, ...]
    downstream_calls_per_second: float
    max_servers: int  # the most that there will be
    floor_fraction: float  # share of `calls` that is divided evenly and for good, and not lent
    lease_ms: float
    grace_ms: float
    initial_permits: float  # places at the start of a lender's life, of all lenders together
    max_permits: float
    grantor_timeout_ms: float
    ungranted_starts_per_second: float  # starts a second of those who find nobody to ask

    def grantor_fraction_of(self, amount: float) -> float:
        """What one lender has of an amount that all of them lend together."""
        return amount / len(self.grantor_names) if self.grantor_names else 0.0

    @property
    def booking_ms(self) -> float:
        """ms for which a grant is booked."""
        return self.lease_ms * (1.0 + CLOCK_DRIFT_FRACTION) + self.grace_ms

    @property
    def floor_calls_per_second(self) -> float:
        """Calls a second that each server may always make."""
        return (
            self.downstream_calls_per_second * self.floor_fraction / self.max_servers
            if self.grantor_names
            else self.downstream_calls_per_second / self.max_servers
        )


@dataclass(slots=True)
class LoadObservation:
    """What this server sees of itself: `need` in calls a second, `work` in RPCs a second that wait for it."""

    warm_fraction: float = 0.0
    needed_calls_per_second: float = 1.0
    waiting_rpcs_per_second: float = 0.0
    saturation: float = UNKNOWN_SATURATION
    baseline_latency_ms: float = 0.0  # ms of a call when the store is well; 0 where it never saw that


class ColdStartGrantor:
    """The lender's books: its part of the places and of the store's calls."""

    def __init__(self, plan: ColdStartPlan, now: float, quiet: float | None = None) -> None:
        """`quiet`: ms that it keeps to what is claimed, a whole lease where nothing better is known."""
        calls = plan.grantor_fraction_of(plan.downstream_calls_per_second * (1.0 - plan.floor_fraction))
        self.call_quota_grantor = LeaseGrantor(calls, plan.lease_ms, plan.grace_ms, now, max_min_fair_shares)
        self.bearable = AdaptiveLimit(calls, calls, now, calls * 0.05)
        self.start_permits = StartPermitPool(
            plan.grantor_fraction_of(plan.initial_permits),
            plan.grantor_fraction_of(plan.max_permits),
            plan.lease_ms,
            plan.grace_ms,
            now,
        )
        if quiet is not None:
            self.call_quota_grantor.recovery_grace_until_ms = (
                self.start_permits.lease_grantor.recovery_grace_until_ms
            ) = now + quiet
        self.bases: dict[str, float] = {}

    def base(self) -> float:
        return min((b for b in self.bases.values() if b), default=0.0)

    def on_request(self, who: MemberRecord, ask: list[Any], now: float) -> list[Any] | None:
        """The answer to one request, None where it is late, doubled or no request."""
        if len(ask) != 9 or not all(
            isinstance(v, int | float) and UNKNOWN_SATURATION <= v < LIMIT for v in ask
        ):
            return None
        number, claims, need, place_number, place, wants, work, strain, base = ask
        if min(number, claims, need, place_number, place, wants, work, base) < 0:
            return None
        for gone in self.call_quota_grantor.expire(now):
            self.bases.pop(gone, None)
        self.bearable.record_saturation(strain)
        if self.bearable.evaluate(now, True):
            self.call_quota_grantor.capacity = self.bearable.limit
        amount = self.call_quota_grantor.renew(who.name, who.run_id, number, claims, need, now)
        wish = PermitRequest(who.zone, work, now) if wants else None
        granted = self.start_permits.renew(who.name, who.run_id, place_number, place, wish, strain, now)
        if amount is None or granted is None:
            return None
        self.bases[who.name] = base
        return [number, amount, place_number, granted, self.base()]


@dataclass(slots=True, eq=False)
class HeldLeases:
    """What this server has from one lender."""

    call_quota: HeldLease
    start_permit: HeldLease


class ColdStartCoordinator:
    def __init__(
        self, node: SwimNode, plan: ColdStartPlan, chance: Random, now: float, quiet: float | None = None
    ) -> None:
        self.node, self.plan, self.chance = node, plan, chance
        self.grantor = (
            ColdStartGrantor(plan, now, quiet) if node.local_record.name in plan.grantor_names else None
        )
        self.held_leases: dict[str, HeldLeases] = {}
        self.start_sequence = StartSequence(
            plan.grantor_timeout_ms, plan.max_servers, plan.ungranted_starts_per_second, chance, now
        )
        self.seen = LoadObservation()
        self.told_baseline_ms = 0.0
        self.second_until = 0.0
        # Servers that began in one second must not ask in step for ever.
        self.ask_at = now + plan.lease_ms / ASKS * chance.random()
        self.asked = self.answered = 0
        self.wanted = 0.0  # calls a second that were asked for last
        self.asked_at = now
        node.message_handlers[PACKAGE] = self.hear

    # What this server may do

    def call_quota(self, now: float) -> float:
        """Calls a second; never less than its floor."""
        return self.own + sum(loans.call_quota.usable_amount(now) for loans in self.held_leases.values())

    @property
    def own(self) -> float:
        """Its floor; smaller where more are there than were planned for, as far as it sees."""
        there = len(self.node.member_table.present_names) + 1
        return self.plan.floor_calls_per_second * min(1.0, self.plan.max_servers / there)

    def has_start_permit(self, now: float) -> bool:
        return any(loans.start_permit.usable_amount(now) >= 1.0 for loans in self.held_leases.values())

    def present_grantors(self) -> list[str]:
        """Those that are there, in this server's own order: each has about as many to lend to."""
        name = self.node.local_record.name
        here = [n for n in self.plan.grantor_names if n == name or self.there(n)]
        return sorted(here, key=lambda n: zlib.crc32(f"{n} {name}".encode()))

    def there(self, name: str) -> bool:
        record = self.node.member_table.record(name)
        return record is not None and record.state not in DEPARTED_STATES

    # Time

    def step(self, now: float, seen: LoadObservation) -> bool:
        """Asks where that is due; True where the stage changed."""
        self.seen = seen
        # All that it asked for was lent, and it needs twice that by now: a start must not wait for its turn.
        more = (
            seen.needed_calls_per_second > 2.0 * max(self.wanted, self.own)
            and self.call_quota(now) >= UNMET * self.wanted
        )
        if now >= self.ask_at or (more and now >= self.asked_at + self.plan.lease_ms / ASKS / 4.0):
            self.ask_at = now + self.plan.lease_ms / ASKS * self.chance.uniform(0.9, 1.1)
            self.ask(now)
        for name in [
            n
            for n, had in self.held_leases.items()
            if max(had.call_quota.expires_at_ms, had.start_permit.expires_at_ms) <= now
        ]:
            if name not in self.plan.grantor_names or not self.there(name):
                del self.held_leases[name]
        return self.start_sequence.advance(
            now, len(self.present_grantors()), self.has_start_permit(now), seen.warm_fraction
        )

    def ask(self, now: float) -> None:
        self.asked_at, self.wanted = now, self.seen.needed_calls_per_second
        lenders = self.present_grantors()[:2]
        if not lenders:
            return
        had = self.call_quota(now) - self.own
        if self.answered and had < UNMET * (self.seen.needed_calls_per_second - self.own):
            self.second_until = now + SECOND * self.plan.lease_ms
        self.ask_one(lenders[0], self.seen.needed_calls_per_second - self.own, True, now)
        if now < self.second_until and len(lenders) > 1:
            first = self.held_leases[lenders[0]].call_quota.usable_amount(now)
            self.ask_one(lenders[1], self.seen.needed_calls_per_second - self.own - first, False, now)

    def ask_one(self, lender: str, need: float, home: bool, now: float) -> None:
        plan, seen = self.plan, self.seen
        loans = self.held_leases.setdefault(
            lender, HeldLeases(HeldLease(plan.lease_ms), HeldLease(plan.lease_ms))
        )
        number, claims = loans.call_quota.next_request(now)
        place_number, place = loans.start_permit.next_request(now)
        wants = home and self.start_sequence.wants_permit
        ask = [
            number,
            claims,
            max(0.0, need),
            place_number,
            place,
            int(wants),
            seen.waiting_rpcs_per_second,
            seen.saturation,
            seen.baseline_latency_ms,
        ]
        self.asked += 1
        if lender == self.node.local_record.name and self.grantor is not None:
            self.answer(lender, self.grantor.on_request(self.node.local_record, ask, now), now)
        else:
            self.node.send_to_member(lender, PACKAGE, ["ask", *ask])

    # What others say

    def hear(self, sender: MemberRecord, body: list[Any]) -> None:
        now = self.node.now_ms
        match body:
            case ["ask", *ask] if self.grantor is not None:
                answer = self.grantor.on_request(sender, ask, now)
                if answer is not None:
                    self.node.send_to_member(sender.name, PACKAGE, ["give", *answer])
            case ["give", *answer] if sender.name in self.held_leases:
                self.answer(sender.name, answer, now)

    def answer(self, lender: str, answer: list[Any] | None, now: float) -> None:
        match answer:
            case [int(number), int() | float() as amount, int(place_number), int() | float() as place, base]:
                loans = self.held_leases[lender]
                if not (0 <= amount < LIMIT and 0 <= place <= 1 and isinstance(base, int | float)):
                    return
                good = loans.call_quota.on_grant(number, float(amount), now)
                if loans.start_permit.on_grant(place_number, float(place), now) or good:
                    self.start_sequence.last_grantor_response_ms = now
                    self.answered += 1
                    self.told_baseline_ms = float(base)
