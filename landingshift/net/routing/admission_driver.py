"""Delivers events to the admission controller in order, and never while it is acting.

Invariant: the controller receives all events of one loop pass before it settles. Events caused by its own
actions are deferred until it has acted, then delivered and settled in the same pass.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from landingshift.admission.controller import AdmissionController
from landingshift.net.transport.loop import Loop


class AdmissionDriver:
    """Sets the controller's clock, queues events for the controller and makes it settle.

    Attributes:
        controller: The admission controller; None until the engine is up.
        needs_settle: Whether the controller has received events since it last settled.
        deferred: Callbacks that deliver events once the controller has stopped acting.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.controller: AdmissionController | None = None
        self.needs_settle = False
        self.deferred: deque[Callable[[], None]] = deque()

    def controller_for_event(self) -> AdmissionController:
        """Return the controller with its clock set to now, marked as needing to settle."""
        assert self.controller is not None
        self.controller.now_ms = self.loop.now_ms
        self.needs_settle = True
        return self.controller

    def defer(self, action: Callable[[], None]) -> None:
        """Calls `action` later in this pass, before the controller settles next."""
        self.deferred.append(action)

    def settle(self) -> None:
        """Ends the pass: runs deferred callbacks and settles the controller until neither is left to do."""
        while self.deferred or self.needs_settle:
            while self.deferred:
                self.deferred.popleft()()
            self.needs_settle = False
            if self.controller is not None:
                self.controller.now_ms = self.loop.now_ms
                self.controller.settle()
