"""What watches RPCs without being one of the router's own parts."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Protocol

from landingshift.net.routing.records import Routed


class Observer(Protocol):
    """Hears of the stages of an RPC that it has a method for; must not block and must not change the RPC.

    read(rpc), started(rpc), needed(rpc) a call below, called(rpc, outcome, took in ms), answered(rpc, "ok",
    "pushed_back" or "aborted"), closed(rpc).
    """

    name: str


EVENTS = ("read", "started", "needed", "called", "answered", "closed")


class Gate(Protocol):
    """May let an ok answer go later than it is there, within the RPC's deadline."""

    def hold(self, rpc: Routed, result: bytes, work: float) -> bool:
        """True where the gate passes the answer on by itself; `work` in ms."""

    def leave(self, by: float) -> None:
        """The server drains: whatever is held goes by then, loop time in ms."""


class Taps:
    def __init__(self, report: Callable[..., None]) -> None:
        self.report = report
        self.observers: tuple[Observer, ...] = ()
        self.told: dict[str, tuple[tuple[Observer, Callable[..., None]], ...]] = dict.fromkeys(EVENTS, ())

    def add(self, observer: Observer) -> None:
        self.keep((*self.observers, observer))

    def keep(self, observers: tuple[Observer, ...]) -> None:
        self.observers = observers
        self.told = {
            event: tuple((o, getattr(o, event)) for o in observers if hasattr(o, event)) for event in EVENTS
        }

    def tell(self, event: str, *facts: object) -> None:
        for observer, hear in self.told[event]:
            try:
                hear(*facts)
            except Exception:  # one that breaks is cut off: the RPC goes on
                self.keep(tuple(o for o in self.observers if o is not observer))
                self.report("observer_cut_off", name=observer.name, trace=traceback.format_exc(limit=-6))
