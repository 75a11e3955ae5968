"""How long connections may be idle before they are closed from this side.

Many callers that each come seldom fill the connection table: it taxes the cores, and once full it keeps
callers out. Where callers come back within seconds, connections stay: closing them would only cost
handshakes.
"""

from __future__ import annotations

from landingshift.admission.interface import Actions
from landingshift.admission.recent_callers import RecentCallers
from landingshift.admission.server_state import ServerState

MAX_CONNECTIONS_PER_CORE = 3.0
MIN_RETURN_FRACTION = 0.5
"""Of RPCs whose caller was here within seconds; with fewer, connections are closed sooner."""
MIN_STEP_FACTOR, MAX_STEP_FACTOR = 0.5, 2.0
MIN_IDLE_TIMEOUT_MS = 10.0


class IdleConnections:
    """The idle timeout of this server's connections.

    Attributes:
        idle_timeout_ms: Now in force; that of the callers at the most.
    """

    def __init__(self, server: ServerState, actions: Actions, callers: RecentCallers) -> None:
        self._server = server
        self._actions = actions
        self._callers = callers
        self.idle_timeout_ms = server.settings.connection_idle_timeout_ms

    def update(self, open_connections: float) -> None:
        """Moves the timeout so that no more connections are open than the cores bear.

        Args:
            open_connections: Those open now.
        """
        settings = self._server.settings
        factor = MAX_STEP_FACTOR
        if self._callers.return_fraction() < MIN_RETURN_FRACTION:
            factor = MAX_CONNECTIONS_PER_CORE * settings.core_count / max(1.0, open_connections)
        step = max(MIN_STEP_FACTOR, min(MAX_STEP_FACTOR, factor))
        timeout_ms = max(MIN_IDLE_TIMEOUT_MS, self.idle_timeout_ms * step)
        timeout_ms = min(timeout_ms, settings.connection_idle_timeout_ms)
        if timeout_ms != self.idle_timeout_ms:
            self.idle_timeout_ms = timeout_ms
            self._actions.close_idle_connections(timeout_ms)
