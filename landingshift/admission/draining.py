"""Graceful shutdown and standby, the two ways in which a server is out of service.

A server that drains runs what arrives within the grace, answers all that it has read before the process
stops, and is unhealthy to balancers from the notice on. A server on standby (it does not know by which
policy to decide) runs nothing new, without a grace, but may come back. Draining never ends.
"""

from __future__ import annotations

from math import inf

from landingshift.admission.check_timer import CHECK_INTERVAL_MS
from landingshift.admission.interface import Actions
from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.admission.server_state import ServerState

STOP_MARGIN_MS = CHECK_INTERVAL_MS
"""Before the process stops that all is answered: one check may be late by its interval."""


class Draining:
    """Whether this server is in service, and until when it accepts RPCs if it is not.

    Attributes:
        stop_at_ms: When the process is stopped; None unless it drains.
        is_in_service: Neither draining nor on standby. False during the grace too, in which a draining server
            still accepts RPCs.
        accept_until_ms: RPCs that arrived later are not run.
    """

    def __init__(self, server: ServerState, actions: Actions) -> None:
        self._server = server
        self._actions = actions
        self.stop_at_ms: float | None = None
        self.is_in_service = True
        self.accept_until_ms = inf

    def start(self, remaining_ms: float, notified_ago_ms: float) -> None:
        """Begins to drain.

        Args:
            remaining_ms: Until the process is stopped.
            notified_ago_ms: How long ago the notice came; the grace counts from then.
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
        """Goes to standby or back.

        A draining server never returns to service. Its grace ends with standby, and going back does not
        restore it.
        """
        self.is_in_service = not is_standby and self.stop_at_ms is None
        if self.is_in_service:
            self.accept_until_ms = inf
        elif is_standby:
            self.accept_until_ms = -inf
        self._actions.set_health(self.is_in_service, True)

    def shorten_deadline(self, managed: ManagedRpc) -> None:
        """Has an RPC read while draining answered before the process stops."""
        if self.stop_at_ms is not None:
            latest_ms = min(managed.deadline_at_ms, self.stop_at_ms - STOP_MARGIN_MS)
            managed.deadline_at_ms = max(self._server.now_ms, latest_ms)
