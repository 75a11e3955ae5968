"""Amounts lent for a time: the sum of what all holders may believe never passes what there is to lend.

The rule, and why it holds although messages are lost, late, doubled and out of order, and clocks are apart:

1. A holder numbers its requests and takes only the answer to its last one. What an older answer offered is
   void from the moment it asks again, so that its claim in the new request is all it can ever believe in.
2. It believes in an amount from the answer on, until `lease` ms after *it sent the request*, by its own
   monotonic clock. The lender counts `lease` from *its answer*, later by the way there, and adds `spare` for
   clocks that run unevenly and for calls that are out already.
3. The lender books the greater of what it now grants and what the holder still claims. A smaller grant frees
   nothing until a later request claims no more than it, or the old lease has run out.
4. What is booked in all never passes the amount there is. A lender that has just started knows nothing of its
   earlier self's grants: for one whole lease it grants no more than each holder claims to have from it.

Pure: `now` in ms is an argument. Amounts are numbers of 0 or more.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

CLOCK_DRIFT_FRACTION = 0.02  # share of a lease by which two monotonic clocks may run apart in it
HOLDERS = 10_000
DIVIDE = 100.0  # ms for which one division among all holders stands: hundreds ask in each second


@dataclass(slots=True, eq=False)
class LeaseGrant:
    """`booked` is what the holder may believe in until `end`."""

    run_id: int
    request_number: int
    amount: float
    booked_amount: float
    expires_at_ms: float
    wanted_amount: float = 0.0


class LeaseGrantor:
    """Lends `capacity` in parts; `lease` and `spare` in ms.

    `share(wanted, capacity)` divides what there is among names by what each wants; it may give a name less
    than it has.
    """

    def __init__(
        self,
        capacity: float,
        lease: float,
        spare: float,
        now: float,
        share: Callable[[dict[str, float], float], dict[str, float]],
    ) -> None:
        self.capacity, self.lease_ms, self.divide = capacity, lease, share
        self.booking_ms = lease * (1.0 + CLOCK_DRIFT_FRACTION) + spare  # how long a grant is booked
        self.recovery_grace_until_ms = now + self.booking_ms
        self.grants: dict[str, LeaseGrant] = {}
        self.cached_division: dict[str, float] = {}
        self.divided_at_ms = -1e9
        self.refused_holder_count = 0  # requests that found no room in the table

    def booked_amount(self) -> float:
        return sum(g.booked_amount for g in self.grants.values())

    def expire(self, now: float) -> list[str]:
        """Names whose lease has run out; what they had is free."""
        gone = [name for name, g in self.grants.items() if g.expires_at_ms <= now]
        for name in gone:
            del self.grants[name]
        if gone:
            self.divided_at_ms = -1e9
        return gone

    def renew(
        self, name: str, run: int, number: int, claims: float, wanted: float, now: float
    ) -> float | None:
        """What is lent to `name` from now on; None for a request that is not its last.

        `claims` is what it still believes to have from this lender.
        """
        self.expire(now)
        grant = self.grants.get(name)
        if grant is not None and grant.run_id == run and number <= grant.request_number:
            return None  # late or doubled
        others = self.booked_amount() - (grant.booked_amount if grant is not None else 0.0)
        if grant is None:
            if len(self.grants) >= HOLDERS:
                self.refused_holder_count += 1
                return 0.0
            # Claims from before this lender's start fit, by its earlier self's rule 4; nonsense is cut.
            booked = max(0.0, min(claims, self.capacity - others))
            grant = self.grants[name] = LeaseGrant(run, number, 0.0, booked, now + self.booking_ms)
            self.divided_at_ms = -1e9
        elif grant.run_id != run:
            # Its earlier self may still run, stopped or cut off: that one's part stays booked until its end.
            if grant.booked_amount > 0.0:
                return 0.0
            grant.run_id = run
        grant.request_number, grant.wanted_amount = number, max(0.0, wanted)
        known = max(0.0, min(claims, grant.booked_amount))
        if now < self.recovery_grace_until_ms:
            amount = min(known, grant.wanted_amount)
        else:
            # What it has may stay although the capacity has shrunk: then the division takes it, or nobody.
            amount = max(0.0, min(self.divided_amount(name, now), max(known, self.capacity - others)))
        grant.amount, grant.booked_amount = amount, max(amount, known)
        grant.expires_at_ms = now + self.booking_ms
        return amount

    def divided_amount(self, name: str, now: float) -> float:
        if now - self.divided_at_ms >= DIVIDE or name not in self.cached_division:
            self.cached_division = self.divide(
                {n: g.wanted_amount for n, g in self.grants.items()}, self.capacity
            )
            self.divided_at_ms = now
        return self.cached_division.get(name, 0.0)

    def release(self, name: str, run: int) -> None:
        """The holder has let go of all that it had."""
        grant = self.grants.get(name)
        if grant is not None and grant.run_id == run:
            del self.grants[name]
            self.divided_at_ms = -1e9


class HeldLease:
    """The holder's side with one lender. `amount(now)` is what it may use."""

    def __init__(self, lease: float) -> None:
        self.lease_ms = lease
        self.request_number = 0
        self.requested_at_ms = -1e9
        self.held_amount, self.expires_at_ms = 0.0, 0.0
        self.is_answered = True

    def usable_amount(self, now: float) -> float:
        return self.held_amount if now < self.expires_at_ms else 0.0

    def next_request(self, now: float) -> tuple[int, float]:
        """Number and claim of the next request."""
        self.request_number += 1
        self.requested_at_ms, self.is_answered = now, False
        return self.request_number, self.usable_amount(now)

    def on_grant(self, number: int, amount: float, now: float) -> bool:
        """False for an answer to another request than the last, or one that comes too late to be used."""
        if number != self.request_number or self.is_answered or now >= self.requested_at_ms + self.lease_ms:
            return False
        self.is_answered = True
        self.held_amount, self.expires_at_ms = max(0.0, amount), self.requested_at_ms + self.lease_ms
        return True


def max_min_fair_shares(wanted: dict[str, float], capacity: float) -> dict[str, float]:
    """All get what they want where that fits; else the small wishes whole and the rest alike (max-min)."""
    parts: dict[str, float] = {}
    left, many = capacity, len(wanted)
    for name in sorted(wanted, key=lambda n: (wanted[n], n)):
        parts[name] = max(0.0, min(wanted[name], left / many))
        left -= parts[name]
        many -= 1
    return parts
