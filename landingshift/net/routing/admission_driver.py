"""Delivers events to the admission controller in order, but none while the controller settles.

Settling means that the controller decides on the events received so far and requests the resulting actions.
Invariant: the controller receives all events of one loop pass before it settles. The requested actions can
cause further events. These events are deferred until the controller has settled. Then they are delivered, and
the controller settles again in the same pass.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from landingshift.admission.controller import AdmissionController
from landingshift.net.transport.loop import Loop


class AdmissionDriver:
    """Delivers events to the admission controller and makes the controller settle.

    To settle, the controller decides on the events received so far and requests the resulting actions. Events
    that the actions cause are deferred until the controller has settled.

    Attributes:
        controller: The admission controller; None until the engine is up.
        needs_settle: Whether the controller has received events since it last settled.
        deferred: Callbacks that are called before the controller next settles; each can deliver an event.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.controller: AdmissionController | None = None
        self.needs_settle = False
        self.deferred: deque[Callable[[], None]] = deque()

    def controller_for_event(self) -> AdmissionController:
        """Return the controller, so that the caller can deliver an event to it.

        The controller's clock is set to the current time, and the controller will settle in this loop pass.
        """
        assert self.controller is not None
        self.controller.now_ms = self.loop.now_ms
        self.needs_settle = True
        return self.controller

    def defer(self, action: Callable[[], None]) -> None:
        """Calls `action` later in this loop pass, before the controller next settles."""
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
