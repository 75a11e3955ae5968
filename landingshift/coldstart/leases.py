"""Leased amounts: a grantor's and a holder's side.

Guarantee: the sum of what all holders may use never passes what the grantor has, although messages are lost,
late, duplicated and reordered, processes are paused or replaced, and clocks differ. The rule, and why that
holds:

1. A holder numbers its requests and takes only the answer to its last one. What an older answer offered is
   void from the moment of the next request, so that the claim in that request is all that it can ever use.
2. A holder uses an amount until the lease has passed since *its request*, by its own monotonic clock. The
   grantor counts the lease from *its answer*, which is later, and adds a margin for clocks that drift and
   for calls that are already under way.
3. The grantor books the greater of what it now grants and what the holder still claims. A smaller grant
   frees nothing until a later request claims no more than it, or the old lease has expired.
4. What is booked in all never passes the capacity. A grantor that has just started knows nothing of the
   grants of its earlier process: during the recovery grace period it grants no more than each holder claims
   to have from it.

Failure mode: what a lost grantor has granted expires within one lease, and nobody can be granted its part of
the capacity until a process with its name is back and its recovery grace period is over. What a lost holder
had is free after one booking.

Pure: time in ms is an argument. Amounts are numbers of 0 or more.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

# Of a lease, by which two monotonic clocks may run apart in it; policies and maintenance assume the same.
CLOCK_DRIFT_FRACTION = 0.02
MAX_HOLDER_COUNT = 10_000
DIVISION_LIFETIME_MS = 100.0  # hundreds of holders ask in each second
NEVER_MS = -1e9  # a time before all others

Division = Callable[[dict[str, float], float], dict[str, float]]
"""Divides a capacity among names by what each wants; it may give a name less than it has."""


def booking_duration_ms(lease_ms: float, expiry_margin_ms: float) -> float:
    """How long a grantor must count an amount as granted.

    Longer than any holder may use it: the holder's clock may run slower, and calls that it has made in time
    may still be under way.
    """
    return lease_ms * (1.0 + CLOCK_DRIFT_FRACTION) + expiry_margin_ms


@dataclass(slots=True, frozen=True)
class LeaseRequest:
    """A holder's request for a lease, or for its renewal.

    Attributes:
        holder_name: Who asks.
        run_id: Which process of that name.
        request_number: Numbers the holder's requests.
        claimed_amount: What it still holds from this grantor.
        wanted_amount: What it wants from now on.
    """

    holder_name: str
    run_id: int
    request_number: int
    claimed_amount: float
    wanted_amount: float


@dataclass(slots=True, eq=False)
class LeaseGrant:
    """What a grantor has granted to one holder.

    Attributes:
        run_id: Which process of the holder's name.
        request_number: Its last request.
        amount: What was granted last.
        booked_amount: The most that the holder may use until `expires_at_ms`.
        expires_at_ms: When what is booked is free.
        wanted_amount: What the holder wanted last.
    """

    run_id: int
    request_number: int
    amount: float
    booked_amount: float
    expires_at_ms: float
    wanted_amount: float = 0.0


class LeaseGrantor:
    """Grants parts of a capacity for a time.

    Attributes:
        capacity: What there is; may be changed at any time.
        booking_ms: How long a grant is booked.
        recovery_grace_until_ms: Until then no more is granted than holders claim to have.
        grants: By the holders' names.
        refused_holder_count: Requests of new holders that found the table full.
    """

    def __init__(
        self, capacity: float, lease_ms: float, expiry_margin_ms: float, now_ms: float, divide: Division
    ) -> None:
        self.capacity = capacity
        self.booking_ms = booking_duration_ms(lease_ms, expiry_margin_ms)
        self.recovery_grace_until_ms = now_ms + self.booking_ms
        self.grants: dict[str, LeaseGrant] = {}
        self.refused_holder_count = 0
        self._divide = divide
        self._division: dict[str, float] = {}
        self._divided_at_ms = NEVER_MS

    def booked_amount(self) -> float:
        """What all holders together may use at the most."""
        return sum(grant.booked_amount for grant in self.grants.values())

    def expire(self, now_ms: float) -> list[str]:
        """Frees what has expired; returns the holders' names."""
        expired = [name for name, grant in self.grants.items() if grant.expires_at_ms <= now_ms]
        for name in expired:
            del self.grants[name]
        if expired:
            self.invalidate_division()
        return expired

    def invalidate_division(self) -> None:
        """The capacity is divided anew at the next request."""
        self._divided_at_ms = NEVER_MS

    def renew(self, request: LeaseRequest, now_ms: float) -> float | None:
        """Grants or renews a lease.

        Args:
            request: The holder's request.
            now_ms: By the grantor's clock.

        Returns:
            What is granted from now on; None for a request that is late or duplicated, which has no answer.
        """
        self.expire(now_ms)
        grant = self.grants.get(request.holder_name)
        is_same_run = grant is not None and grant.run_id == request.run_id
        if grant is not None and is_same_run and request.request_number <= grant.request_number:
            return None
        others_booked = self.booked_amount() - (grant.booked_amount if grant is not None else 0.0)
        if grant is None:
            if len(self.grants) >= MAX_HOLDER_COUNT:
                self.refused_holder_count += 1
                return 0.0
            grant = self._book_claim(request, others_booked, now_ms)
        elif not is_same_run:
            # The earlier process may still run, paused or cut off: what it has stays booked until it expires.
            if grant.booked_amount > 0.0:
                return 0.0
            grant.run_id = request.run_id
        return self._grant(grant, request, others_booked, now_ms)

    def _book_claim(self, request: LeaseRequest, others_booked: float, now_ms: float) -> LeaseGrant:
        """Books what a new holder claims to have from this grantor's earlier process.

        All true claims fit, by rule 4 of that process; a false one is cut to what is left.
        """
        booked = max(0.0, min(request.claimed_amount, self.capacity - others_booked))
        grant = LeaseGrant(request.run_id, request.request_number, 0.0, booked, now_ms + self.booking_ms)
        self.grants[request.holder_name] = grant
        self.invalidate_division()
        return grant

    def _grant(self, grant: LeaseGrant, request: LeaseRequest, others_booked: float, now_ms: float) -> float:
        """Settles what is granted, and books it by rule 3."""
        grant.request_number = request.request_number
        grant.wanted_amount = max(0.0, request.wanted_amount)
        claimed = max(0.0, min(request.claimed_amount, grant.booked_amount))
        if now_ms < self.recovery_grace_until_ms:
            amount = min(claimed, grant.wanted_amount)
        else:
            # What the holder has may stay although the capacity has shrunk, unless the division takes it.
            available = max(claimed, self.capacity - others_booked)
            amount = max(0.0, min(self._divided_amount(request.holder_name, now_ms), available))
        grant.amount = amount
        grant.booked_amount = max(amount, claimed)
        grant.expires_at_ms = now_ms + self.booking_ms
        return amount

    def _divided_amount(self, holder_name: str, now_ms: float) -> float:
        """The holder's part by the last division, which stands for a while."""
        is_outdated = now_ms - self._divided_at_ms >= DIVISION_LIFETIME_MS
        if is_outdated or holder_name not in self._division:
            wanted_amounts = {name: grant.wanted_amount for name, grant in self.grants.items()}
            self._division = self._divide(wanted_amounts, self.capacity)
            self._divided_at_ms = now_ms
        return self._division.get(holder_name, 0.0)


class HeldLease:
    """A holder's side of a lease, with one grantor.

    Attributes:
        lease_ms: How long an amount may be used, from its request on.
        request_number: The last request.
        requested_at_ms: When that was made.
        is_answered: Whether its answer was taken.
        held_amount: What was granted last.
        expires_at_ms: Until when it may be used.
    """

    def __init__(self, lease_ms: float) -> None:
        self.lease_ms = lease_ms
        self.request_number = 0
        self.requested_at_ms = NEVER_MS
        self.is_answered = True
        self.held_amount = 0.0
        self.expires_at_ms = 0.0

    def usable_amount(self, now_ms: float) -> float:
        """What may be used now."""
        return self.held_amount if now_ms < self.expires_at_ms else 0.0

    def next_request(self, now_ms: float) -> tuple[int, float]:
        """Begins a request; returns its number and what is claimed in it."""
        self.request_number += 1
        self.requested_at_ms = now_ms
        self.is_answered = False
        return self.request_number, self.usable_amount(now_ms)

    def on_grant(self, request_number: int, amount: float, now_ms: float) -> bool:
        """Takes an answer.

        Returns:
            False for an answer to another request than the last, a second one, or one that comes too late.
        """
        expires_at_ms = self.requested_at_ms + self.lease_ms
        if request_number != self.request_number or self.is_answered or now_ms >= expires_at_ms:
            return False
        self.is_answered = True
        self.held_amount = max(0.0, amount)
        self.expires_at_ms = expires_at_ms
        return True
