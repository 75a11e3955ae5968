"""When the controller checks its gauges, deadlines and rates next.

Often while RPCs are queued or wait for a call, seldom on an idle server: those of a large fleet must cost
next to nothing. A check is brought forward for an RPC that would otherwise end before it, and never put off
by one.
"""

from __future__ import annotations

from landingshift.admission.interface import Actions
from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.admission.server_state import ServerState

CHECK_INTERVAL_MS = 50.0
"""Between two checks while RPCs are queued or wait for a call."""
IDLE_CHECK_INTERVAL_MS = 200.0
"""Between two checks while nothing is queued."""
MIN_CHECK_INTERVAL_MS = 10.0
TIMER_TOLERANCE_MS = 1.0


class CheckTimer:
    """The one timer of the controller.

    Attributes:
        next_check_ms: When the next check is due.
    """

    def __init__(self, server: ServerState, actions: Actions) -> None:
        self._server = server
        self._actions = actions
        self.next_check_ms = server.now_ms

    def schedule(self, delay_ms: float) -> None:
        """Sets the timer, in place of what it was set to."""
        self.next_check_ms = self._server.now_ms + delay_ms
        self._actions.schedule_check(delay_ms)

    def rearm(self) -> None:
        """Asks for the check that is due anew: of a program that did not ask for it."""
        self._actions.schedule_check(max(0.0, self.next_check_ms - self._server.now_ms))

    def is_due(self) -> bool:
        """False for a timer whose place an earlier check has taken."""
        return self._server.now_ms >= self.next_check_ms - TIMER_TOLERANCE_MS

    def schedule_before_deadline(self, managed: ManagedRpc) -> None:
        """Has an RPC that was read checked before its deadline."""
        ends_before_check = managed.check_deadline_ms < self.next_check_ms + CHECK_INTERVAL_MS
        if ends_before_check and self.next_check_ms > self._server.now_ms + MIN_CHECK_INTERVAL_MS:
            self.schedule(MIN_CHECK_INTERVAL_MS)

    def schedule_while_busy(self) -> None:
        """Ends an idle server's rest where RPCs are queued or wait for a call."""
        server = self._server
        is_busy = server.queued or server.awaiting_call_slot
        if is_busy and self.next_check_ms > server.now_ms + CHECK_INTERVAL_MS:
            self.schedule(CHECK_INTERVAL_MS / 2.0)

    def schedule_next(self, next_checks_ms: list[float]) -> None:
        """Sets the timer after a check.

        Args:
            next_checks_ms: When each RPC in hand needs its next check.
        """
        now_ms = self._server.now_ms
        next_ms = min([now_ms + IDLE_CHECK_INTERVAL_MS, *next_checks_ms])
        self.schedule(max(MIN_CHECK_INTERVAL_MS, next_ms - now_ms))

    def schedule_for_drain(self, remaining_ms: float) -> None:
        """Sets the timer after a notice: a short one leaves no time for a whole interval."""
        before_stop_ms = remaining_ms - 2.0 * CHECK_INTERVAL_MS
        self.schedule(max(1.0, min(CHECK_INTERVAL_MS, before_stop_ms)))
