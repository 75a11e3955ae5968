"""Manages the gateways' connections: accepts new ones, evicts idle ones and drains all at shutdown."""

from __future__ import annotations

import socket
from collections.abc import Callable

from landingshift.net.routing.gateway_connection import (
    MAX_UNSENT_BYTES,
    ConnectionContext,
    GatewayConnection,
    GatewayEvents,
)
from landingshift.net.transport.listener import ACCEPT_PAUSE_MS, Listener
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.slots import Slots
from landingshift.net.transport.stream import (
    Address,
    Stream,
    UnsentBudget,
)

# Times the gateways' own idle limit. A connection that is idle for longer belongs to a gateway that does not
# enforce the limit.
IDLE_LIMIT_FACTOR = 1.25
DRAIN_GOAWAY_GRACE_MS = 250.0  # time for a gateway to close its connection while the server drains
EVICTION_FRACTION = 1 / 16  # of the maximum number of connections, evicted at a time
MIN_AGE_PASSES = 2  # loop passes before a connection may be evicted


class Gateways:
    """The listener and the connections that it has accepted.

    Args:
        address: The address at which gateways connect.
        max_connections: The maximum number of open connections.
        max_unsent_bytes: The bound on unsent answers over all connections.
        idle_limit_ms: The time after which gateways close idle connections themselves.
        log: Receives events on closed connections and on a full connection table.
        sock: The listening socket of the old process; set only by hot restart.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        max_connections: int,
        max_unsent_bytes: int,
        idle_limit_ms: float,
        log: Callable[..., None],
        sock: socket.socket | None = None,
    ) -> None:
        self.loop = loop
        self.max_connections = max_connections
        self.log = log
        self.gateway_idle_limit_ms = idle_limit_ms
        self.connections: Slots[GatewayConnection] = Slots()
        self.context = ConnectionContext(loop, log, self.connections, idle_limit_ms * IDLE_LIMIT_FACTOR)
        self.unsent_budget = UnsentBudget(max_unsent_bytes, self._drop_slowest_reader)
        self.is_full = False
        self.listener = Listener(loop, address, self._has_capacity, self._accept, sock)

    def start(self, events: GatewayEvents) -> None:
        """Sets the receiver of requests; must be called before the loop runs."""
        self.context.events = events

    def _accept(self, sock: socket.socket) -> None:
        connection = self.add(
            lambda owner: Stream(
                self.loop,
                sock,
                owner,
                MAX_UNSENT_BYTES,
                unsent_budget=self.unsent_budget,
                reads_per_pass=1,
            )
        )
        if self.context.is_draining:
            connection.send_goaway(DRAIN_GOAWAY_GRACE_MS)
        elif len(self.connections) > self.max_connections:
            self.evict_idle()
        if self.is_full:
            self.is_full = False
            self.log("connections_available", connections=len(self.connections))

    def add(self, open_stream: Callable[[GatewayConnection], Stream]) -> GatewayConnection:
        """Add a connection on the stream that `open_stream` opens for it."""
        return GatewayConnection(self.context, open_stream)

    # Capacity

    def _has_capacity(self, has_descriptors: bool) -> bool:
        """Return whether one more connection can be accepted; start an eviction if not.

        Unverified connections can be closed at once for a new one. Verified ones only get goaway, so their
        capacity becomes free later.
        """
        if has_descriptors and len(self.connections) < self.max_connections:
            return True
        if has_descriptors and any(not connection.is_verified for connection in self._idle_connections()):
            return True  # evicted after the accept
        if self.evict_idle():
            return True
        if not self.is_full:
            self.is_full = True
            self.log("connections_full", connections=len(self.connections))
        return False

    def _idle_connections(self) -> list[GatewayConnection]:
        """Return the connections without open RPCs to which no goaway was sent.

        A connection accepted in the last passes is not included: its socket may hold an RPC that was not read
        yet and would be lost.
        """
        newest_pass = self.loop.passes_read - MIN_AGE_PASSES
        return [
            connection
            for connection in self.connections
            if not connection.rpcs
            and not connection.goaway_deadline_ms
            and connection.accepted_pass <= newest_pass
        ]

    def evict_idle(self) -> bool:
        """Closes some idle unverified connections; sends goaway to idle verified ones if there are none.

        Goaway is sent only if every connection is verified or has open RPCs.

        Returns:
            Whether a connection was closed.
        """
        idle = sorted(self._idle_connections(), key=lambda c: (c.is_verified, c.last_message_ms))
        idle = idle[: 1 + int(self.max_connections * EVICTION_FRACTION)]
        closed = [connection.try_evict() for connection in idle if not connection.is_verified]
        if not any(closed) and all(c.is_verified or c.rpcs for c in self.connections):
            for connection in idle:
                connection.send_goaway()
        return any(closed)

    def _drop_slowest_reader(self) -> None:
        """Closes the connection with the most unsent output, to bound the memory that slow readers use."""
        slowest = max(self.connections, key=lambda connection: len(connection.stream.output))
        slowest.stream.flush()
        if slowest.stream.output:
            slowest.stream.close("stalled")

    def set_idle_limit(self, idle_limit_ms: float) -> None:
        """Sets the idle limit that the admission controller decides.

        A limit no shorter than the gateways' own is extended by `IDLE_LIMIT_FACTOR`, so that the gateways
        close their idle connections first.
        """
        if idle_limit_ms < self.gateway_idle_limit_ms:
            self.context.idle_limit_ms = idle_limit_ms
        else:
            self.context.idle_limit_ms = self.gateway_idle_limit_ms * IDLE_LIMIT_FACTOR
        for connection in self.connections:
            connection.check_idle()

    # Draining

    def start_draining(self) -> None:
        """Closes the listener once its backlog is accepted, and sends goaway on all connections."""
        self.context.is_draining = True
        # Closed before goaway is sent: gateways reconnect at once, and a refusal proves that nothing ran.
        self._close_listener()
        for connection in self.connections:
            connection.send_goaway(DRAIN_GOAWAY_GRACE_MS)

    def _close_listener(self) -> None:
        # Requests in the backlog count as received: closing the listener earlier would lose them. They are
        # accepted even if the connection table is full.
        if self.listener.drain():
            self.listener.close()
        else:
            self.loop.after(ACCEPT_PAUSE_MS, self._close_listener)

    def is_drained(self) -> bool:
        """Return whether the listener and all connections are closed."""
        return not self.listener.is_open and len(self.connections) == 0
