"""Graceful shutdown and standby, the two modes in which a server is out of service.

A draining server reports itself unhealthy to balancers from the shutdown notice on. It still runs RPCs that
arrive within the grace period. Before the process stops, the server answers all RPCs that it has read.
Draining is final. A server is on standby while it has no valid policy. On standby it starts no new runs and
has no grace period, but it can return to service.
"""

from __future__ import annotations

from math import inf

from landingshift.admission.check_timer import CHECK_INTERVAL_MS
from landingshift.admission.interface import Actions
from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.admission.server_state import ServerState

STOP_MARGIN_MS = CHECK_INTERVAL_MS
"""All RPCs must be answered this long before the process stops, because a check can be late by one
interval."""


class Draining:
    """Tracks whether this server is in service and, if it is not, until when it still accepts RPCs.

    Attributes:
        stop_at_ms: Time at which the process is stopped; None unless the server is draining.
        is_in_service: Whether the server is neither draining nor on standby. False also during the grace
            period, in which a draining server still accepts RPCs.
        accept_until_ms: Latest arrival time of RPCs that are run; infinite while in service, and minus
            infinity on standby.
    """

    def __init__(self, server: ServerState, actions: Actions) -> None:
        self._server = server
        self._actions = actions
        self.stop_at_ms: float | None = None
        self.is_in_service = True
        self.accept_until_ms = inf

    def start(self, remaining_ms: float, notified_ago_ms: float) -> None:
        """Starts draining.

        Args:
            remaining_ms: Time until the process is stopped.
            notified_ago_ms: Time since the shutdown notice. The grace period began with the notice.
        """
        server = self._server
        grace_end_ms = server.now_ms - notified_ago_ms + server.settings.drain_grace_ms
        self.accept_until_ms = min(self.accept_until_ms, grace_end_ms)
        self.is_in_service = False
        self.stop_at_ms = server.now_ms + remaining_ms
        for managed in server.all_rpcs():
            managed.deadline_at_ms = min(managed.deadline_at_ms, self.stop_at_ms - STOP_MARGIN_MS)
        self._actions.set_health(False, True)

    def set_standby(self, is_standby: bool) -> None:
        """Enters or leaves standby.

        A draining server never returns to service, and entering standby permanently ends its grace period.
        """
        self.is_in_service = not is_standby and self.stop_at_ms is None
        if self.is_in_service:
            self.accept_until_ms = inf
        elif is_standby:
            self.accept_until_ms = -inf
        self._actions.set_health(self.is_in_service, True)

    def shorten_deadline(self, managed: ManagedRpc) -> None:
        """Sets the RPC's deadline to at most `STOP_MARGIN_MS` before the process stops, but not to the past.

        Has no effect unless the server is draining.
        """
        if self.stop_at_ms is not None:
            latest_ms = min(managed.deadline_at_ms, self.stop_at_ms - STOP_MARGIN_MS)
            managed.deadline_at_ms = max(self._server.now_ms, latest_ms)
