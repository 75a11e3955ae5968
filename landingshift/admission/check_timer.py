"""Schedules the controller's periodic check of gauges, deadlines and rates.

Checks are frequent while RPCs are queued or wait for a call slot, which is the permission to make a
downstream call. Checks are rare on an idle server, so that it uses little CPU time. A new RPC can bring the
next check forward but never delays the check.
"""

from __future__ import annotations

from landingshift.admission.interface import Actions
from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.admission.server_state import ServerState

CHECK_INTERVAL_MS = 50.0
"""Interval between checks while RPCs are queued or wait for a call slot."""
IDLE_CHECK_INTERVAL_MS = 200.0
"""Maximum interval between checks."""
MIN_CHECK_INTERVAL_MS = 10.0
TIMER_TOLERANCE_MS = 1.0


class CheckTimer:
    """Requests the controller's checks from the host program, one at a time.

    Attributes:
        next_check_ms: Time at which the next check is due.
    """

    def __init__(self, server: ServerState, actions: Actions) -> None:
        self._server = server
        self._actions = actions
        self.next_check_ms = server.now_ms

    def schedule(self, delay_ms: float) -> None:
        """Requests the next check, `delay_ms` from now, in place of any earlier request."""
        self.next_check_ms = self._server.now_ms + delay_ms
        self._actions.schedule_check(delay_ms)

    def rearm(self) -> None:
        """Requests the next check again after a hot restart, because the new process has no timer yet."""
        self._actions.schedule_check(max(0.0, self.next_check_ms - self._server.now_ms))

    def is_due(self) -> bool:
        """Returns whether the next check is due.

        The host program need not cancel the timer of a request when a later request replaces it. Therefore,
        a timer can fire before the next check is due.
        """
        return self._server.now_ms >= self.next_check_ms - TIMER_TOLERANCE_MS

    def schedule_before_deadline(self, managed: ManagedRpc) -> None:
        """Brings the next check forward for a new RPC with an early deadline.

        The check is brought forward if the deadline might otherwise pass before the check.
        """
        ends_before_check = managed.check_deadline_ms < self.next_check_ms + CHECK_INTERVAL_MS
        if ends_before_check and self.next_check_ms > self._server.now_ms + MIN_CHECK_INTERVAL_MS:
            self.schedule(MIN_CHECK_INTERVAL_MS)

    def schedule_while_busy(self) -> None:
        """Brings the next check forward if RPCs are queued or wait for a call slot."""
        server = self._server
        is_busy = server.queued or server.awaiting_call_slot
        if is_busy and self.next_check_ms > server.now_ms + CHECK_INTERVAL_MS:
            self.schedule(CHECK_INTERVAL_MS / 2.0)

    def schedule_next(self, next_checks_ms: list[float]) -> None:
        """Requests the next check. Call this at the end of each check.

        Args:
            next_checks_ms: Times at which the RPCs need their next check.
        """
        now_ms = self._server.now_ms
        next_ms = min([now_ms + IDLE_CHECK_INTERVAL_MS, *next_checks_ms])
        self.schedule(max(MIN_CHECK_INTERVAL_MS, next_ms - now_ms))

    def schedule_for_drain(self, remaining_ms: float) -> None:
        """Requests a check soon after a shutdown notice, if possible before the process stops.

        Args:
            remaining_ms: Time until the process is stopped.
        """
        before_stop_ms = remaining_ms - 2.0 * CHECK_INTERVAL_MS
        self.schedule(max(1.0, min(CHECK_INTERVAL_MS, before_stop_ms)))
