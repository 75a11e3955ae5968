"""What watches RPCs without being one of the router's own parts."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Protocol

from landingshift.interface import Outcome
from landingshift.net.routing.records import Routed


class Observer(Protocol):
    """Hears of an RPC's stages as they happen; must not block and must not change the RPC."""

    name: str

    def read(self, rpc: Routed) -> None: ...
    def started(self, rpc: Routed) -> None: ...
    def called(self, rpc: Routed, outcome: Outcome, took: float) -> None: ...
    def answered(self, rpc: Routed, how: str) -> None: ...  # ok, pushed_back, aborted
    def closed(self, rpc: Routed) -> None: ...


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

    def add(self, observer: Observer) -> None:
        self.observers = (*self.observers, observer)

    def tell(self, event: str, *facts: object) -> None:
        for observer in self.observers:
            try:
                getattr(observer, event)(*facts)
            except Exception:  # one that breaks is cut off: the RPC goes on
                self.observers = tuple(o for o in self.observers if o is not observer)
                self.report("observer_cut_off", name=observer.name, trace=traceback.format_exc(limit=-6))
