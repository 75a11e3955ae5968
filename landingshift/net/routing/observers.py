"""Interfaces for observers of RPCs, and for the answer gate, a component that can delay ok answers.

If an observer or the answer gate raises an exception, that component is removed, the exception is logged, and
the processing of the RPC continues.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from landingshift.net.routing.rpc_record import RoutedRpc

MAX_TRACE_FRAMES = 6  # number of innermost traceback frames that are logged
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
    - `on_started(rpc)`: the engine is asked to run the RPC.
    - `on_call_needed(rpc)`: the RPC's run asks for a database call.
    - `on_call_finished(rpc, outcome, elapsed_ms)`: the RPC's database call has ended after `elapsed_ms`.
    - `on_answered(rpc, kind)`: the answer to the RPC was written; `kind` is an `AnswerKind`.
    - `on_closed(rpc)`: the RPC is closed; no further event follows.
    """

    name: str  # name of the observer in the log


class AnswerGate(Protocol):
    """A component that can delay the ok answers to RPCs, but not beyond the deadlines of the RPCs."""

    def defer_answer(self, rpc: RoutedRpc, result: bytes, run_time_ms: float) -> bool:
        """Return whether this gate delays the ok answer to `rpc`; if not, the caller sends it immediately.

        After returning True, the gate must call `AnswerWriter.send_deferred` later to send the answer, or
        `AnswerWriter.abort_deferred` to abort the RPC.
        """

    def flush_by(self, deadline_ms: float) -> None:
        """Requires the gate to send or abort every delayed answer by `deadline_ms` on the loop's clock."""


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
        """Calls the method named `event` of each observer that has it; removes observers that raise."""
        for observer, handler in self.handlers[event]:
            try:
                handler(*args)
            except Exception:  # a failing observer must not stop the processing of the RPC
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
