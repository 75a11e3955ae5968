"""Brings events to the admission controller, in their order and never while it acts.

Invariant: the controller sees all events of one pass of the loop before it settles; what its actions cause is
deferred, comes to it next, and is settled in the same pass.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from landingshift.admission.controller import AdmissionController
from landingshift.net.transport.loop import Loop


class AdmissionDriver:
    """The controller's clock and the events that wait for it.

    Attributes:
        controller: None until the engine is up.
        needs_settle: The controller has seen events since it settled.
        deferred: Events that must not reach the controller while it acts.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.controller: AdmissionController | None = None
        self.needs_settle = False
        self.deferred: deque[Callable[[], None]] = deque()

    def controller_for_event(self) -> AdmissionController:
        """The controller, ready to be told of an event that happens now."""
        assert self.controller is not None
        self.controller.now_ms = self.loop.now_ms
        self.needs_settle = True
        return self.controller

    def defer(self, action: Callable[[], None]) -> None:
        """Has `action` done before the controller settles next."""
        self.deferred.append(action)

    def settle(self) -> None:
        """Ends the pass: does what was deferred and lets the controller act, until nothing is left."""
        while self.deferred or self.needs_settle:
            while self.deferred:
                self.deferred.popleft()()
            self.needs_settle = False
            if self.controller is not None:
                self.controller.now_ms = self.loop.now_ms
                self.controller.settle()
