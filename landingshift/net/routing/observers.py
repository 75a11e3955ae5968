"""Parts of the program that watch RPCs, and the gate through which ok answers may have to pass.

Neither can harm an RPC: one that raises is cut off and logged, and the RPC goes on.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from landingshift.net.routing.rpc_record import RoutedRpc

MAX_TRACE_FRAMES = 6  # of a trace that go into the log
EVENT_HANDLERS = (
    "on_read",
    "on_started",
    "on_call_needed",
    "on_call_finished",
    "on_answered",
    "on_closed",
)


class AnswerKind(Enum):
    """What an RPC was answered."""

    OK = "ok"
    REJECTED = "rejected"
    ABORTED = "aborted"


class RpcObserver(Protocol):
    """Called at the stages of an RPC that it has a method for; must neither block nor change the RPC.

    The methods, each optional:

    - `on_read(rpc)`: it was read and is known to be well-formed.
    - `on_started(rpc)`: its run was given to the engine.
    - `on_call_needed(rpc)`: its run asks for a call to the database.
    - `on_call_finished(rpc, outcome, elapsed_ms)`: that call is over.
    - `on_answered(rpc, kind)`: its answer was written; `kind` is an `AnswerKind`.
    - `on_closed(rpc)`: no event of it follows.
    """

    name: str


class AnswerGate(Protocol):
    """May let an ok answer go later than it is there, within the RPC's deadline."""

    def defer_answer(self, rpc: RoutedRpc, result: bytes, run_time_ms: float) -> bool:
        """Returns whether the gate keeps the answer, which it then sends or aborts by itself."""

    def flush_by(self, deadline_ms: float) -> None:
        """The server drains: the gate releases all held answers by `deadline_ms` of the loop's time."""


Handler = Callable[..., None]


class RpcObservers:
    """Those that watch RPCs, in the order in which they were added.

    Args:
        log: Called with an observer that was cut off.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        self.log = log
        self.observers: tuple[RpcObserver, ...] = ()
        self.handlers: dict[str, tuple[tuple[RpcObserver, Handler], ...]] = dict.fromkeys(EVENT_HANDLERS, ())

    def add(self, observer: RpcObserver) -> None:
        """Calls the observer from now on at each event that it has a method for."""
        self._set_observers((*self.observers, observer))

    def notify(self, event: str, *facts: object) -> None:
        """Tells all that have a method `event`."""
        for observer, handler in self.handlers[event]:
            try:
                handler(*facts)
            except Exception:  # one that breaks is cut off: the RPC goes on
                self._set_observers(tuple(other for other in self.observers if other is not observer))
                trace = traceback.format_exc(limit=-MAX_TRACE_FRAMES)
                self.log("observer_cut_off", name=observer.name, trace=trace)

    def _set_observers(self, observers: tuple[RpcObserver, ...]) -> None:
        self.observers = observers
        self.handlers = {
            event: tuple(
                (observer, getattr(observer, event)) for observer in observers if hasattr(observer, event)
            )
            for event in EVENT_HANDLERS
        }
