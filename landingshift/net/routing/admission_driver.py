"""Delivers events to the admission controller in order, and never while the controller is acting.

Settling means that the controller decides on the events received so far and requests the resulting actions.
Invariant: the controller receives all events of one loop pass before it settles. The actions can cause
further events. These are deferred until the controller has settled. Then they are delivered, and the
controller settles again in the same pass.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from landingshift.admission.controller import AdmissionController
from landingshift.net.transport.loop import Loop


class AdmissionDriver:
    """Sets the controller's clock, defers events while the controller acts, and makes it settle.

    Attributes:
        controller: The admission controller; None until the engine is up.
        needs_settle: Whether the controller has received events since it last settled.
        deferred: Callbacks to run before the controller settles next; each can deliver an event.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.controller: AdmissionController | None = None
        self.needs_settle = False
        self.deferred: deque[Callable[[], None]] = deque()

    def controller_for_event(self) -> AdmissionController:
        """Set the controller's clock, mark it as needing to settle, and return it to receive an event."""
        assert self.controller is not None
        self.controller.now_ms = self.loop.now_ms
        self.needs_settle = True
        return self.controller

    def defer(self, action: Callable[[], None]) -> None:
        """Calls `action` later in this pass, before the controller settles next."""
        self.deferred.append(action)

    def settle(self) -> None:
        """Runs deferred callbacks and makes the controller settle, until no callbacks or events are left."""
        while self.deferred or self.needs_settle:
            while self.deferred:
                self.deferred.popleft()()
            self.needs_settle = False
            if self.controller is not None:
                self.controller.now_ms = self.loop.now_ms
                self.controller.settle()
