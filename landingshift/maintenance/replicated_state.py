"""What the voters agree on about work: requests, permissions and how far each is. Pure.

A permission's number is given here and only grows; one machine has one permission. A command that does not
fit any more when its turn comes does nothing.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from landingshift.consensus.state_machines import encode_entry
from landingshift.maintenance.demand_forecast import DailyDemandProfile
from landingshift.maintenance.requests import ENDED, InvalidTransitionError, MaintenanceRequest, RequestState

NAME = "upkeep"
MOST = 2000  # requests that stand
HISTORY = 500  # of those that ended


class Ended(Struct, array_like=True):
    name: str
    end: str
    why: str
    since: float
    at: float  # Unix ms of the leader
    number: int


class Kept(Struct, array_like=True):
    number: int
    held: str
    requests: list[Any]
    history: list[Ended]
    seen: list[float] = []  # a book of an earlier build has none, nor machines
    machines: dict[str, tuple[float, str, str, bool]] = {}


FIELDS = ("name", "minutes", "since", "urgency", "not_before", "not_after", "alone", "group")


def command(*words: Any) -> bytes:
    return encode_entry(NAME, *words)


class MaintenanceState:
    def __init__(self) -> None:
        self.number = 0  # the last permission's
        self.held = ""  # why nobody is let go; empty where somebody may be
        self.requests: dict[str, MaintenanceRequest] = {}
        self.runs: dict[str, int] = {}  # the run that each permission was given to
        self.history: list[Ended] = []
        self.shape = DailyDemandProfile()  # of the last day's demand
        # Capacity, zone, model, best: a new leader must know of those, too, that it never answer_report.
        self.machines: dict[str, tuple[float, str, str, bool]] = {}

    def apply(self, data: bytes) -> None:
        match msgspec.msgpack.decode(data)[1:]:
            case ["wish", list(some)]:
                for one in some:
                    self.wish(MaintenanceRequest(**dict(zip(FIELDS, one, strict=True))))
            case ["permit", str(name), int(run), at]:
                self.permit(name, run, at)
            case ["move", str(name), int(number), str(to), str(why), at]:
                self.move(name, number, RequestState(to), why, at)
            case ["hold", str(why)]:
                self.held = why
            case ["machine", str(name), float(capacity), str(zone), str(model), bool(best)]:
                if name in self.machines or len(self.machines) < MOST:
                    self.machines[name] = capacity, zone, model, best
            case ["without", str(name)]:
                self.machines.pop(name, None)
            case ["seen", int(quarter), float(demand)]:
                self.shape.seen(quarter, demand)

    def wish(self, wish: MaintenanceRequest) -> None:
        """Asked twice, it stands once; the later word on how and when counts until it is permitted."""
        had = self.requests.get(wish.name)
        if had is not None and had.stage is not RequestState.WISHED:
            return
        if had is not None:
            wish.since = had.since
        elif len(self.requests) >= MOST:
            return
        self.requests[wish.name] = wish

    def permit(self, name: str, run: int, at: float) -> None:
        wish = self.requests.get(name)
        if wish is None or wish.stage is not RequestState.WISHED or self.held:
            return
        self.number += 1
        wish.move(RequestState.PERMITTED)
        wish.number, wish.until = self.number, at
        self.runs[name] = run

    def move(self, name: str, number: int, to: RequestState, why: str, at: float) -> None:
        wish = self.requests.get(name)
        if wish is None or wish.number != number:
            return
        try:
            wish.move(to, number)
        except InvalidTransitionError:
            return  # told twice, or too late
        wish.why = why
        if to is RequestState.WISHED:
            wish.number = 0
        if to in ENDED:
            del self.requests[name]
            self.runs.pop(name, None)
            self.history.append(Ended(name, to.value, why, wish.since, at, number))
            del self.history[:-HISTORY]

    def snapshot(self) -> bytes:
        rows = [
            [getattr(w, f) for f in FIELDS]
            + [w.stage.value, w.number, w.until, w.why, self.runs.get(w.name, 0)]
            for w in self.requests.values()
        ]
        kept = Kept(self.number, self.held, rows, self.history, self.shape.most, self.machines)
        return msgspec.msgpack.encode(kept)

    def restore(self, state: bytes) -> None:
        kept = msgspec.msgpack.decode(state, type=Kept)
        self.number, self.held, self.history = kept.number, kept.held, kept.history
        self.requests, self.runs, self.shape = {}, {}, DailyDemandProfile()
        self.machines = dict(kept.machines)
        for quarter, demand in enumerate(kept.seen):
            self.shape.seen(quarter, demand)
        for *fields, stage, number, until, why, run in kept.requests:
            wish = MaintenanceRequest(**dict(zip(FIELDS, fields, strict=True)))
            wish.stage, wish.number, wish.until, wish.why = RequestState(stage), number, until, why
            self.requests[wish.name] = wish
            if run:
                self.runs[wish.name] = run
