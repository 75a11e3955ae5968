"""Interfaces for components that observe RPCs, and for the gate that may delay ok answers.

An observer or gate that raises an exception is removed, and the RPC continues; the exception is logged.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from landingshift.net.routing.rpc_record import RoutedRpc

MAX_TRACE_FRAMES = 6  # innermost frames of a traceback to log
EVENT_HANDLERS = (
    "on_read",
    "on_started",
    "on_call_needed",
    "on_call_finished",
    "on_answered",
    "on_closed",
)


class AnswerKind(Enum):
    """The kind of answer that an RPC got."""

    OK = "ok"
    REJECTED = "rejected"
    ABORTED = "aborted"


class RpcObserver(Protocol):
    """Observes the stages of RPCs. Its methods must neither block nor change the RPC.

    The methods, each optional:

    - `on_read(rpc)`: the RPC was read and its request is valid.
    - `on_started(rpc)`: its run was handed to the engine.
    - `on_call_needed(rpc)`: its run asks for a database call.
    - `on_call_finished(rpc, outcome, elapsed_ms)`: its database call has ended.
    - `on_answered(rpc, kind)`: its answer was written; `kind` is an `AnswerKind`.
    - `on_closed(rpc)`: the RPC is closed; no further event follows.
    """

    name: str


class AnswerGate(Protocol):
    """Delays ok answers if necessary, but not beyond the deadlines of their RPCs."""

    def defer_answer(self, rpc: RoutedRpc, result: bytes, run_time_ms: float) -> bool:
        """Return whether the gate takes over the ok answer of `rpc`.

        If so, the gate must later call `AnswerWriter.send_deferred` to send the answer, or `abort_deferred`
        to abort the RPC instead.
        """

    def flush_by(self, deadline_ms: float) -> None:
        """Requires the gate to release all its deferred answers by `deadline_ms` on the loop's clock."""


Handler = Callable[..., None]


class RpcObservers:
    """The observers of RPCs, notified in the order in which they were added.

    Args:
        log: Receives an event when an observer fails and is removed.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        self.log = log
        self.observers: tuple[RpcObserver, ...] = ()
        self.handlers: dict[str, tuple[tuple[RpcObserver, Handler], ...]] = dict.fromkeys(EVENT_HANDLERS, ())

    def add(self, observer: RpcObserver) -> None:
        """Adds an observer, to be called on each event for which it has a method."""
        self._set_observers((*self.observers, observer))

    def notify(self, event: str, *args: object) -> None:
        """Calls the method named `event` of all observers that have it; removes an observer that raises."""
        for observer, handler in self.handlers[event]:
            try:
                handler(*args)
            except Exception:  # a failing observer is removed; the RPC continues
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
