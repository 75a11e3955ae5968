"""Start permits: limit how many servers warm up simultaneously, and choose which server starts next.

A permit is a lease on an amount of 1 (see `leases`), so it expires if its holder fails. The number of permits
adapts to the saturation of the shared downstream, as reported by the servers (see `adaptive_limit`).

Guarantee: no new permit is granted if it would raise the number of permits in use above the limit. After the
limit has been lowered, servers keep the permits that they hold.
Failure mode: the permits of a lost grantor can't be granted. Servers that know no other grantor start without
a permit after a timeout and a random delay.

Does no I/O and reads no clock: times are passed in as ms.
"""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.coldstart.adaptive_limit import AdaptiveLimit
from landingshift.coldstart.leases import LeaseGrantor, LeaseRequest

PERMIT_AMOUNT = 1.0


@dataclass(slots=True, frozen=True)
class PermitRequest:
    """A server's request to get or keep a permit.

    Attributes:
        holder_name: Name of the requesting server.
        run_id: Identifier of the requesting process; differs after a restart.
        request_number: Sequence number of the server's permit requests to this grantor.
        claimed_permit: 1 if the server still holds a permit from this grantor, else 0.
        wants_permit: Whether the server wants to get or keep a permit; False once it is warm.
        zone: Failure domain of the server.
        waiting_rpcs_per_second: Rate at which RPCs arrive at the server.
        saturation: Saturation of the downstream as the server measures it, below 0 if unknown.
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
        zone: Failure domain of the server.
        waiting_rpcs_per_second: Rate at which RPCs arrive at the server.
        waiting_since_ms: Time of the server's first permit request to this grantor.
    """

    zone: str
    waiting_rpcs_per_second: float
    waiting_since_ms: float


def assign_permits(candidates: dict[str, StartCandidate], holders: list[str], free_count: int) -> list[str]:
    """Choose the servers that get the free permits.

    Each permit goes to the zone with the fewest permit holders among the zones with waiting servers, so that
    all zones start evenly. Within a zone, the server with the highest rate of arriving RPCs comes first;
    among equal rates, the server that has waited longest.

    Args:
        candidates: All servers that hold a permit or wait for one, by name.
        holders: Names of the servers that hold a permit.
        free_count: Number of permits that nobody holds.

    Returns:
        Names of the chosen servers, in the order of choice.
    """
    holder_count_by_zone: dict[str, int] = {}
    for name in holders:
        zone = candidates[name].zone
        holder_count_by_zone[zone] = holder_count_by_zone.get(zone, 0) + 1
    waiting_by_zone = _waiting_by_zone(candidates, holders)
    chosen: list[str] = []
    while free_count > len(chosen) and waiting_by_zone:
        zone = min(waiting_by_zone, key=lambda zone: (holder_count_by_zone.get(zone, 0), zone))
        chosen.append(waiting_by_zone[zone].pop())
        holder_count_by_zone[zone] = holder_count_by_zone.get(zone, 0) + 1
        if not waiting_by_zone[zone]:
            del waiting_by_zone[zone]
    return chosen


def _waiting_by_zone(candidates: dict[str, StartCandidate], holders: list[str]) -> dict[str, list[str]]:
    """Return the names of the waiting servers by zone, ordered so that the next server to start is last."""
    waiting: dict[str, list[str]] = {}
    for name, candidate in candidates.items():
        if name not in holders:
            waiting.setdefault(candidate.zone, []).append(name)

    def urgency(name: str) -> tuple[float, float, str]:
        """Return the sort key: rate of arriving RPCs, then waiting time, then name; the highest is last."""
        candidate = candidates[name]
        return candidate.waiting_rpcs_per_second, -candidate.waiting_since_ms, name

    for names in waiting.values():
        names.sort(key=urgency)
    return waiting


class StartPermitPool:
    """Start permits that one grantor leases to servers.

    Attributes:
        limiter: Adaptive limit on the number of permits.
        candidates: Servers that hold a permit or wait for one, by name.
        lease_grantor: Grantor that leases the permits.
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
        """Grant or renew a permit.

        Returns:
            1 if the server is allowed to start, 0 if it has to request again, None for a late or duplicated
            request, which must not be answered.
        """
        for name in self.lease_grantor.expire(now_ms):
            self.candidates.pop(name, None)
        self.limiter.record_saturation(request.saturation)
        self._update_candidate(request, now_ms)
        if self.limiter.evaluate(now_ms, self._is_exhausted()):
            self.lease_grantor.capacity = self.limiter.limit
        # Otherwise a free permit would not be assigned until the cached division expires.
        self.lease_grantor.invalidate_division()
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
        """Return the number of servers that hold a permit or might still assume that they hold one."""
        return sum(grant.reserved_amount >= PERMIT_AMOUNT for grant in self.lease_grantor.grants.values())

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
        """Return whether servers are waiting and no whole permit is free."""
        in_use = self.permits_in_use()
        return len(self.candidates) > in_use and in_use + PERMIT_AMOUNT > self.limiter.limit

    def _revoke_fraction(self, name: str) -> None:
        """Revoke a granted fraction of a permit.

        No server can use a fraction, so the fraction must not stay reserved.
        """
        grant = self.lease_grantor.grants[name]
        grant.amount = 0.0
        grant.reserved_amount = 0.0

    def _divide(self, _wanted_amounts: dict[str, float], capacity: float) -> dict[str, float]:
        """Assign a permit to each holder that still wants one, and the free permits to waiting servers.

        Holders keep their permits because a start can't be undone.
        """
        holders = [
            name
            for name, grant in self.lease_grantor.grants.items()
            if grant.reserved_amount >= PERMIT_AMOUNT and name in self.candidates
        ]
        free_count = int(capacity) - self.permits_in_use()
        chosen = assign_permits(self.candidates, holders, free_count)
        return dict.fromkeys([*holders, *chosen], PERMIT_AMOUNT)
