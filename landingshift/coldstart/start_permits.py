"""How many servers may be between start and warm at once, and who is next. Pure.

A place is lent like any amount (`leases.py`) and lapses with its holder. How many there are follows what
those who start tell of the services that all of them need: one number, the strain, 1 where a service is at
its limit. Doubled each second while all places are in use and nothing has strained yet, raised by a tenth
after that, halved when something strains.
"""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.coldstart.leases import LeaseGrantor

WINDOW = 1000.0  # ms in which what is told is gathered
GROWTH = 0.1  # share by which the number grows in a window once something has strained
EASY = 0.5  # strain up to which one more may start at once
LEAST = 0.25  # places below one: nobody starts for some windows, then one tries
REST = 2  # windows after a cut in which nothing is raised or cut again: its effect comes later
TOLD = 4096


class AdaptiveLimit:
    """A number that follows what is told of strain: of places, or of calls that the store bears."""

    def __init__(self, first: float, most: float, now: float, least: float = LEAST) -> None:
        self.limit, self.most, self.least, self.since = min(first, most), most, least, now
        self.told: list[float] = []
        self.wanted = False  # at any moment of this window
        self.rest = 0
        self.growth = 1.0  # share by which it grows in a window; until something strains, it doubles

    def record_saturation(self, value: float) -> None:
        """Below 0: nothing is known, which is no reason for anything."""
        if value >= 0.0 and len(self.told) < TOLD:
            self.told.append(value)

    def evaluate(self, now: float, wanted: bool) -> bool:
        """True where the number changed; called as often as wanted, acts once a window.

        `wanted`: whether all is in use and more is asked for, so that a higher number would be tried out.
        """
        # Places come free all the time: that one just has says nothing of a second in which all were in use.
        self.wanted |= wanted
        if now - self.since < WINDOW:
            return False
        told, self.told, self.since = sorted(self.told), [], now
        wanted, self.wanted = self.wanted, False
        # Three quarters: a few who cannot reach a service by a fault of their own must not stop all.
        strain = told[len(told) * 3 // 4] if told else None
        # Before anything strained silence is a service that nobody has called yet; after it, it is no news.
        easy = strain <= EASY if strain is not None else self.growth >= 1.0
        # With less than one nobody starts who could tell: up to one more may always be tried, else those who
        # wait at a lender that nobody else tells anything would wait for ever.
        tries = strain is None and self.limit < 1.0
        was = self.limit
        if self.rest:
            self.rest -= 1
        elif strain is not None and strain > 1.0:
            self.limit, self.rest, self.growth = max(self.least, self.limit / 2.0), REST, GROWTH
        elif tries and wanted:
            self.limit = min(1.0, self.most, self.limit + max(self.least, self.growth * self.limit))
        elif easy and wanted:
            self.limit = min(self.most, self.limit + max(self.least, self.growth * self.limit))
        return self.limit != was


@dataclass(slots=True, eq=False)
class PermitRequest:
    zone: str
    waiting_rpcs_per_second: float  # RPCs a second that wait for it
    since_ms: float


def assign_permits(wishes: dict[str, PermitRequest], holding: list[str], free: int) -> list[str]:
    """Who gets the free places: the zone with fewest on their way up, then most waiting work, then the
    longest wait."""
    up: dict[str, int] = {}
    for name in holding:
        zone = wishes[name].zone
        up[zone] = up.get(zone, 0) + 1
    lines: dict[str, list[str]] = {}
    for name, wish in wishes.items():
        if name not in holding:
            lines.setdefault(wish.zone, []).append(name)
    for line in lines.values():
        line.sort(
            key=lambda n: (wishes[n].waiting_rpcs_per_second, -wishes[n].since_ms, n)
        )  # the next one last
    chosen: list[str] = []
    while free > len(chosen) and lines:
        zone = min(lines, key=lambda z: (up.get(z, 0), z))
        chosen.append(lines[zone].pop())
        up[zone] = up.get(zone, 0) + 1
        if not lines[zone]:
            del lines[zone]
    return chosen


class StartPermitPool:
    """One lender's places. `first` at the start, never more than `most`; `lease` and `spare` in ms."""

    def __init__(self, first: float, most: float, lease: float, spare: float, now: float) -> None:
        self.limiter = AdaptiveLimit(first, most, now)
        self.requests: dict[str, PermitRequest] = {}  # of those who hold a place or wait for one
        self.lease_grantor = LeaseGrantor(first, lease, spare, now, self.divide)

    def divide(self, wanted: dict[str, float], capacity: float) -> dict[str, float]:
        """Who has a place keeps it while he wants it: a start cannot be taken back."""
        holding = [
            n for n, g in self.lease_grantor.grants.items() if g.booked_amount >= 1.0 and n in self.requests
        ]
        free = int(capacity) - self.permits_in_use()
        return dict.fromkeys([*holding, *assign_permits(self.requests, holding, free)], 1.0)

    def renew(
        self,
        name: str,
        run: int,
        number: int,
        claims: float,
        wish: PermitRequest | None,
        strain: float,
        now: float,
    ) -> float | None:
        """1 where it may start, 0 where it is to ask again, None for a request that is late or doubled.

        `wish` is None for one that needs no place any more; its `since` is kept from its first.
        """
        for gone in self.lease_grantor.expire(now):
            self.requests.pop(gone, None)
        self.limiter.record_saturation(strain)
        if wish is None:
            self.requests.pop(name, None)
        else:
            had = self.requests.get(name)
            wish.since_ms = had.since_ms if had is not None else now
            self.requests[name] = wish
        in_use = self.permits_in_use()
        if self.limiter.evaluate(now, len(self.requests) > in_use and in_use + 1.0 > self.limiter.limit):
            self.lease_grantor.capacity = self.limiter.limit
        self.lease_grantor.divided_at_ms = -1e9  # a place that is free goes to the next who asks, at once
        given = self.lease_grantor.renew(name, run, number, claims, 0.0 if wish is None else 1.0, now)
        # A part of a place is none; it must not be booked either.
        if given is not None and 0.0 < given < 1.0:
            grant = self.lease_grantor.grants[name]
            grant.amount, grant.booked_amount, given = 0.0, 0.0, 0.0
        return given

    def permits_in_use(self) -> int:
        return sum(g.booked_amount >= 1.0 for g in self.lease_grantor.grants.values())

    def release(self, name: str, run: int) -> None:
        self.requests.pop(name, None)
        self.lease_grantor.release(name, run)
