"""What watches RPCs without being one of the router's own parts."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Protocol

from landingshift.net.routing.rpc_record import RoutedRpc


class RpcObserver(Protocol):
    """Hears of the stages of an RPC that it has a method for; must not block and must not change the RPC.

    read(rpc), started(rpc), needed(rpc) a call below, called(rpc, outcome, took in ms), answered(rpc, "ok",
    "pushed_back" or "aborted"), closed(rpc).
    """

    name: str


EVENTS = ("on_read", "on_started", "on_call_needed", "on_call_finished", "on_answered", "on_closed")


class AnswerGate(Protocol):
    """May let an ok answer go later than it is there, within the RPC's deadline."""

    def hold_answer(self, rpc: RoutedRpc, result: bytes, work: float) -> bool:
        """True where the gate passes the answer on by itself; `work` in ms."""

    def release_by(self, by: float) -> None:
        """The server drains: whatever is held goes by then, loop time in ms."""


class RpcObservers:
    def __init__(self, report: Callable[..., None]) -> None:
        self.report = report
        self.observers: tuple[RpcObserver, ...] = ()
        self.told: dict[str, tuple[tuple[RpcObserver, Callable[..., None]], ...]] = dict.fromkeys(EVENTS, ())

    def add(self, observer: RpcObserver) -> None:
        self.keep((*self.observers, observer))

    def keep(self, observers: tuple[RpcObserver, ...]) -> None:
        self.observers = observers
        self.told = {
            event: tuple((o, getattr(o, event)) for o in observers if hasattr(o, event)) for event in EVENTS
        }

    def notify(self, event: str, *facts: object) -> None:
        for observer, hear in self.told[event]:
            try:
                hear(*facts)
            except Exception:  # one that breaks is cut off: the RPC goes on
                self.keep(tuple(o for o in self.observers if o is not observer))
                self.report("observer_cut_off", name=observer.name, trace=traceback.format_exc(limit=-6))
