"""Start permits: how many servers may warm up at once, and who is next. Pure.

A permit is leased like any amount (`leases`) and lapses with its holder. How many there are follows what the
servers that warm up report of the downstream that all of them need (`adaptive_limit`).

Guarantee: never more servers hold a permit than the highest limit of the last lease.
Failure mode: with a lost grantor its permits can't be granted; servers that know no other one start after a
time-out.
"""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.coldstart.adaptive_limit import AdaptiveLimit
from landingshift.coldstart.leases import LeaseGrantor, LeaseRequest

PERMIT_AMOUNT = 1.0


@dataclass(slots=True, frozen=True)
class PermitRequest:
    """A server's request for a permit, or to keep it.

    Attributes:
        holder_name: Who asks.
        run_id: Which process of that name.
        request_number: Numbers its requests.
        claimed_permit: 1 where it holds one from this grantor.
        wants_permit: False for a server that is warm.
        zone: Its failure domain.
        waiting_rpcs_per_second: Work that waits for it.
        saturation: Of the downstream, below 0 where unknown.
    """

    holder_name: str
    run_id: int
    request_number: int
    claimed_permit: float
    wants_permit: bool
    zone: str
    waiting_rpcs_per_second: float
    saturation: float


@dataclass(slots=True, frozen=True)
class StartCandidate:
    """A server that holds a permit or waits for one.

    Attributes:
        zone: Its failure domain.
        waiting_rpcs_per_second: Work that waits for it.
        waiting_since_ms: When it asked first.
    """

    zone: str
    waiting_rpcs_per_second: float
    waiting_since_ms: float


def assign_permits(candidates: dict[str, StartCandidate], holders: list[str], free_count: int) -> list[str]:
    """Who gets the free permits.

    First the zone with the fewest servers that warm up, so that no zone is served last; in a zone the server
    with most work waiting; of equal ones the longest wait.

    Args:
        candidates: All who hold a permit or wait for one, by name.
        holders: Names of those who hold one.
        free_count: Permits that nobody holds.
    """
    warming_by_zone: dict[str, int] = {}
    for name in holders:
        zone = candidates[name].zone
        warming_by_zone[zone] = warming_by_zone.get(zone, 0) + 1
    waiting_by_zone = _waiting_by_zone(candidates, holders)
    chosen: list[str] = []
    while free_count > len(chosen) and waiting_by_zone:
        zone = min(waiting_by_zone, key=lambda zone: (warming_by_zone.get(zone, 0), zone))
        chosen.append(waiting_by_zone[zone].pop())
        warming_by_zone[zone] = warming_by_zone.get(zone, 0) + 1
        if not waiting_by_zone[zone]:
            del waiting_by_zone[zone]
    return chosen


def _waiting_by_zone(candidates: dict[str, StartCandidate], holders: list[str]) -> dict[str, list[str]]:
    """Names of those who wait, by zone; the next one last."""
    waiting: dict[str, list[str]] = {}
    for name, candidate in candidates.items():
        if name not in holders:
            waiting.setdefault(candidate.zone, []).append(name)

    def urgency(name: str) -> tuple[float, float, str]:
        """Most work, then the longest wait, then the name."""
        candidate = candidates[name]
        return candidate.waiting_rpcs_per_second, -candidate.waiting_since_ms, name

    for names in waiting.values():
        names.sort(key=urgency)
    return waiting


class StartPermitPool:
    """One grantor's permits.

    Attributes:
        limiter: How many there are.
        candidates: Those who hold a permit or wait for one, by name.
        lease_grantor: Leases the permits.
    """

    def __init__(
        self,
        initial_permits: float,
        max_permits: float,
        lease_ms: float,
        expiry_margin_ms: float,
        now_ms: float,
    ) -> None:
        self.limiter = AdaptiveLimit(initial_permits, max_permits, now_ms)
        self.candidates: dict[str, StartCandidate] = {}
        self.lease_grantor = LeaseGrantor(initial_permits, lease_ms, expiry_margin_ms, now_ms, self._divide)

    def renew(self, request: PermitRequest, now_ms: float) -> float | None:
        """Grants a permit, or renews one.

        Returns:
            1 where the server may start, 0 where it is to ask again, None for a request that is late or
            duplicated.
        """
        for name in self.lease_grantor.expire(now_ms):
            self.candidates.pop(name, None)
        self.limiter.record_saturation(request.saturation)
        self._update_candidate(request, now_ms)
        if self.limiter.evaluate(now_ms, self._is_exhausted()):
            self.lease_grantor.capacity = self.limiter.limit
        self.lease_grantor.invalidate_division()  # a free permit goes to the next who asks, at once
        wanted_amount = PERMIT_AMOUNT if request.wants_permit else 0.0
        granted = self.lease_grantor.renew(
            LeaseRequest(
                request.holder_name,
                request.run_id,
                request.request_number,
                request.claimed_permit,
                wanted_amount,
            ),
            now_ms,
        )
        if granted is not None and 0.0 < granted < PERMIT_AMOUNT:
            self._revoke_fraction(request.holder_name)
            return 0.0
        return granted

    def permits_in_use(self) -> int:
        """Servers that hold a permit, or may still believe that they do."""
        return sum(grant.booked_amount >= PERMIT_AMOUNT for grant in self.lease_grantor.grants.values())

    def _update_candidate(self, request: PermitRequest, now_ms: float) -> None:
        if not request.wants_permit:
            self.candidates.pop(request.holder_name, None)
            return
        known = self.candidates.get(request.holder_name)
        waiting_since_ms = known.waiting_since_ms if known is not None else now_ms
        self.candidates[request.holder_name] = StartCandidate(
            request.zone, request.waiting_rpcs_per_second, waiting_since_ms
        )

    def _is_exhausted(self) -> bool:
        """Whether somebody waits and no whole permit is free."""
        in_use = self.permits_in_use()
        return len(self.candidates) > in_use and in_use + PERMIT_AMOUNT > self.limiter.limit

    def _revoke_fraction(self, name: str) -> None:
        """A fraction of a permit is none, and must not be booked either."""
        grant = self.lease_grantor.grants[name]
        grant.amount = 0.0
        grant.booked_amount = 0.0

    def _divide(self, _wanted_amounts: dict[str, float], capacity: float) -> dict[str, float]:
        """Who has a permit keeps it while it wants it, since a start can't be taken back."""
        holders = [
            name
            for name, grant in self.lease_grantor.grants.items()
            if grant.booked_amount >= PERMIT_AMOUNT and name in self.candidates
        ]
        free_count = int(capacity) - self.permits_in_use()
        chosen = assign_permits(self.candidates, holders, free_count)
        return dict.fromkeys([*holders, *chosen], PERMIT_AMOUNT)
