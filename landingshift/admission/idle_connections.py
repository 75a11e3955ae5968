"""Idle timeout after which this server closes callers' connections.

If many callers keep connections open but rarely send RPCs, these connections load the cores. They can also
fill the connection table, which locks out other callers. If callers return within seconds, their connections
stay open, because closing and reopening them would only cost handshakes.
"""

from __future__ import annotations

from landingshift.admission.interface import Actions
from landingshift.admission.recent_callers import RecentCallers
from landingshift.admission.server_state import ServerState

MAX_CONNECTIONS_PER_CORE = 3.0
MIN_RETURN_FRACTION = 0.5
"""Fraction of RPCs from returning callers (`RecentCallers.return_fraction`) below which the idle timeout is
adapted to the number of open connections."""
MIN_STEP_FACTOR, MAX_STEP_FACTOR = 0.5, 2.0
MIN_IDLE_TIMEOUT_MS = 10.0


class IdleConnections:
    """Adapts the idle timeout of this server's connections.

    Attributes:
        idle_timeout_ms: Current timeout, at most the callers' own idle timeout.
    """

    def __init__(self, server: ServerState, actions: Actions, callers: RecentCallers) -> None:
        self._server = server
        self._actions = actions
        self._callers = callers
        self.idle_timeout_ms = server.settings.connection_idle_timeout_ms

    def update(self, open_connections: float) -> None:
        """Adapts the timeout so that at most `MAX_CONNECTIONS_PER_CORE` connections per core stay open.

        While most RPCs come from returning callers, the timeout is raised instead.

        Args:
            open_connections: Number of connections that are open now.
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
