"""Leases on parts of a capacity: the grantor's and the holder's side.

A grantor divides its capacity among its holders, the servers that request a part. A lease allows one holder
to use an amount for a limited time. Does no I/O and reads no clock: times are passed in as ms.

Guarantee: while the capacity is not lowered, the amounts that all holders are allowed to use never add up to
more than the capacity, even if messages are lost, delayed, duplicated or reordered, processes are paused or
replaced, and clocks differ. The guarantee follows from these rules:

1. A holder numbers its requests and accepts only the response to the latest request. Sending a request voids
   the responses to all earlier requests. Until the request is answered, the holder therefore uses at most the
   claimed amount. The claimed amount is the amount that the holder has when it sends the request.
2. A holder is allowed to use an amount until the lease duration has passed since it sent *the request*, by
   its own monotonic clock. The grantor reserves the amount for longer. The reservation begins with the
   grantor's *response*, which is later than the request, and lasts for the lease duration plus a margin for
   clock drift and for calls that are still in flight.
3. The grantor reserves the larger of the granted and the claimed amount. If the grant is smaller than the
   claim, the difference becomes free only when a later request claims less or the reservation ends.
4. No grant raises the sum of the reserved amounts above the capacity. A grantor that has just started does
   not know the grants of its previous process. During its recovery grace period it grants each holder no
   more than the holder claims to have.

After the capacity has been lowered, the sum of the reserved amounts can exceed the new capacity. A holder
then keeps its amount until a renewal grants it less or its lease expires.

Failure mode: the grants of a lost grantor expire within one lease duration. The capacity of that grantor
can't be granted until a new process of that grantor has started and its recovery grace period is over.
The amount of a lost holder becomes free once its reservation expires.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

# Largest assumed drift between two monotonic clocks, as a fraction of the elapsed time. The packages
# `policies` and `maintenance` assume the same value.
CLOCK_DRIFT_FRACTION = 0.02
MAX_HOLDER_COUNT = 10_000
# Time for which a division of the capacity is cached. Hundreds of holders send requests each second, so the
# capacity is not divided anew for each request.
DIVISION_LIFETIME_MS = 100.0
NEVER_MS = -1e9  # earlier than any real time

DivideFunction = Callable[[dict[str, float], float], dict[str, float]]
"""Divides a capacity, the second argument, among holders.

The first argument contains the wanted amounts by holder name; the result contains the assigned amounts by
holder name. A holder can be assigned less than it has now.
"""


def reservation_duration_ms(lease_ms: float, expiry_margin_ms: float) -> float:
    """Return for how long a grantor must reserve a granted amount.

    This is longer than the time for which a holder is allowed to use the amount. The holder's clock might run
    slower, and calls that the holder made in time might still be in flight.
    """
    return lease_ms * (1.0 + CLOCK_DRIFT_FRACTION) + expiry_margin_ms


@dataclass(slots=True, frozen=True)
class LeaseRequest:
    """A holder's request for a lease or its renewal.

    Attributes:
        holder_name: Name of the requesting server.
        run_id: Identifier of the requesting process; differs after a restart.
        request_number: Sequence number of the holder's requests to this grantor.
        claimed_amount: Amount that the holder is still allowed to use under this grantor's last grant.
        wanted_amount: Amount that the holder wants to get or keep.
    """

    holder_name: str
    run_id: int
    request_number: int
    claimed_amount: float
    wanted_amount: float


@dataclass(slots=True, eq=False)
class LeaseGrant:
    """A grantor's record of one holder.

    Attributes:
        run_id: Identifier of the holder's process.
        request_number: Number of the holder's latest request.
        amount: Amount granted last.
        reserved_amount: Largest amount that the holder can still use; reserved until `expires_at_ms`.
        expires_at_ms: Time at which the reserved amount becomes free.
        wanted_amount: Amount wanted in the latest request.
    """

    run_id: int
    request_number: int
    amount: float
    reserved_amount: float
    expires_at_ms: float
    wanted_amount: float = 0.0


class LeaseGrantor:
    """Leases parts of a capacity to holders.

    Attributes:
        capacity: Total amount that can be leased. The owner of this object can change it at any time.
        reservation_ms: Time for which a granted amount stays reserved.
        recovery_grace_until_ms: Time until which no holder is granted more than it claims.
        grants: Records of the holders, by name.
        refused_holder_count: Number of requests of new holders that were refused because `grants` was full.
    """

    def __init__(
        self, capacity: float, lease_ms: float, expiry_margin_ms: float, now_ms: float, divide: DivideFunction
    ) -> None:
        self.capacity = capacity
        self.reservation_ms = reservation_duration_ms(lease_ms, expiry_margin_ms)
        self.recovery_grace_until_ms = now_ms + self.reservation_ms
        self.grants: dict[str, LeaseGrant] = {}
        self.refused_holder_count = 0
        self._divide = divide
        self._division: dict[str, float] = {}
        self._divided_at_ms = NEVER_MS

    def reserved_amount(self) -> float:
        """Return the sum of all reserved amounts, the upper bound of what all holders together can use."""
        return sum(grant.reserved_amount for grant in self.grants.values())

    def expire(self, now_ms: float) -> list[str]:
        """Remove expired grants and return the names of their holders."""
        expired = [name for name, grant in self.grants.items() if grant.expires_at_ms <= now_ms]
        for name in expired:
            del self.grants[name]
        if expired:
            self.invalidate_division()
        return expired

    def invalidate_division(self) -> None:
        """Discard the cached division, so that the next request divides the capacity again."""
        self._divided_at_ms = NEVER_MS

    def renew(self, request: LeaseRequest, now_ms: float) -> float | None:
        """Grant or renew a lease.

        Args:
            request: The holder's request.
            now_ms: Present time by the grantor's clock.

        Returns:
            The granted amount, which replaces the amount of the previous grant. None for a late or duplicated
            request, which must not be answered.
        """
        self.expire(now_ms)
        grant = self.grants.get(request.holder_name)
        is_same_process = grant is not None and grant.run_id == request.run_id
        if grant is not None and is_same_process and request.request_number <= grant.request_number:
            return None
        others_reserved = self.reserved_amount() - (grant.reserved_amount if grant is not None else 0.0)
        if grant is None:
            if len(self.grants) >= MAX_HOLDER_COUNT:
                self.refused_holder_count += 1
                return 0.0
            grant = self._reserve_claim(request, others_reserved, now_ms)
        elif not is_same_process:
            # The holder's previous process might still exist but be paused or partitioned. Its amount
            # therefore stays reserved until the reservation expires.
            if grant.reserved_amount > 0.0:
                return 0.0
            grant.run_id = request.run_id
        return self._grant(grant, request, others_reserved, now_ms)

    def _reserve_claim(self, request: LeaseRequest, others_reserved: float, now_ms: float) -> LeaseGrant:
        """Reserve the amount that an unknown holder claims to have from this grantor's previous process.

        All true claims fit into the capacity, because the previous process granted no more than the capacity.
        A false claim is limited to the unreserved capacity.
        """
        reserved = max(0.0, min(request.claimed_amount, self.capacity - others_reserved))
        grant = LeaseGrant(
            request.run_id, request.request_number, 0.0, reserved, now_ms + self.reservation_ms
        )
        self.grants[request.holder_name] = grant
        self.invalidate_division()
        return grant

    def _grant(
        self, grant: LeaseGrant, request: LeaseRequest, others_reserved: float, now_ms: float
    ) -> float:
        """Determine the amount to grant, and reserve the larger of this amount and the claimed amount."""
        grant.request_number = request.request_number
        grant.wanted_amount = max(0.0, request.wanted_amount)
        claimed = max(0.0, min(request.claimed_amount, grant.reserved_amount))
        if now_ms < self.recovery_grace_until_ms:
            amount = min(claimed, grant.wanted_amount)
        else:
            # After a decrease of the capacity, a holder keeps its amount unless the division assigns it less.
            available = max(claimed, self.capacity - others_reserved)
            amount = max(0.0, min(self._divided_amount(request.holder_name, now_ms), available))
        grant.amount = amount
        grant.reserved_amount = max(amount, claimed)
        grant.expires_at_ms = now_ms + self.reservation_ms
        return amount

    def _divided_amount(self, holder_name: str, now_ms: float) -> float:
        """Return the amount that the division assigns to the holder.

        Divide the capacity again if the cached division is outdated or does not contain the holder.
        """
        is_outdated = now_ms - self._divided_at_ms >= DIVISION_LIFETIME_MS
        if is_outdated or holder_name not in self._division:
            wanted_amounts = {name: grant.wanted_amount for name, grant in self.grants.items()}
            self._division = self._divide(wanted_amounts, self.capacity)
            self._divided_at_ms = now_ms
        return self._division.get(holder_name, 0.0)


class HeldLease:
    """A holder's record of its lease from one grantor.

    Attributes:
        lease_ms: Time for which the holder is allowed to use a granted amount, counted from the sending of
            the request.
        request_number: Number of the latest request.
        requested_at_ms: Time of the latest request.
        is_answered: Whether the response to the latest request was accepted.
        held_amount: Amount of the last accepted grant.
        expires_at_ms: Time until which the holder is allowed to use `held_amount`.
    """

    def __init__(self, lease_ms: float) -> None:
        self.lease_ms = lease_ms
        self.request_number = 0
        self.requested_at_ms = NEVER_MS
        self.is_answered = True
        self.held_amount = 0.0
        self.expires_at_ms = 0.0

    def usable_amount(self, now_ms: float) -> float:
        """Return the amount that the holder is allowed to use now."""
        return self.held_amount if now_ms < self.expires_at_ms else 0.0

    def next_request(self, now_ms: float) -> tuple[int, float]:
        """Record that a request is sent now, and return its number and the amount it claims."""
        self.request_number += 1
        self.requested_at_ms = now_ms
        self.is_answered = False
        return self.request_number, self.usable_amount(now_ms)

    def on_grant(self, request_number: int, amount: float, now_ms: float) -> bool:
        """Accept a grant if it answers the latest request.

        Returns:
            Whether the grant was accepted. A grant is rejected if it answers an earlier request, is a
            duplicate, or arrives later than one lease duration after the request.
        """
        expires_at_ms = self.requested_at_ms + self.lease_ms
        if request_number != self.request_number or self.is_answered or now_ms >= expires_at_ms:
            return False
        self.is_answered = True
        self.held_amount = max(0.0, amount)
        self.expires_at_ms = expires_at_ms
        return True
