"""Manages the connections from gateways: accepts, evicts and drains them.

A connection is verified once the engine has recognized an RPC that arrived on it. Goaway is a message that
asks a gateway to close its connection. An RPC is open on its connection until it is answered or abandoned.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from landingshift.net.routing.gateway_connection import (
    MAX_UNSENT_BYTES,
    ConnectionContext,
    GatewayConnection,
    GatewayEvents,
)
from landingshift.net.routing.input_backlog import InputBacklog
from landingshift.net.transport.listener import ACCEPT_PAUSE_MS, Listener
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.slots import Slots
from landingshift.net.transport.stream import (
    Address,
    ByteBudget,
    Stream,
)

# Gateways close connections that have been idle for a limit of their own. By default, this server's idle
# limit is the gateways' limit times this factor, so gateways normally close idle connections first.
IDLE_LIMIT_FACTOR = 1.25
DRAIN_GOAWAY_GRACE_MS = 250.0  # time for a gateway to close its connection while the server drains
EVICTION_FRACTION = 1 / 16  # fraction of `max_connections` that is evicted at a time, rounded down, plus one
MIN_AGE_PASSES = 2  # number of loop passes for which a new connection cannot be evicted


class Gateways:
    """Accepts the gateways' connections, closes them and bounds their number.

    Args:
        address: The address at which gateways connect.
        max_connections: The maximum number of open connections.
        max_unsent_bytes: The maximum total size of the unsent answers on all connections.
        max_undecoded_bytes: The maximum total size of the undecoded input of all connections.
        idle_limit_ms: The idle time after which gateways close their connections themselves.
        log: Receives events on closed connections and on a full connection table.
        sock: The listening socket of the old process in a hot restart; otherwise None.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        max_connections: int,
        max_unsent_bytes: int,
        max_undecoded_bytes: int,
        idle_limit_ms: float,
        log: Callable[..., None],
        sock: socket.socket | None = None,
    ) -> None:
        self.loop = loop
        self.max_connections = max_connections
        self.log = log
        self.gateway_idle_limit_ms = idle_limit_ms
        self.connections: Slots[GatewayConnection] = Slots()
        self.context = ConnectionContext(
            loop,
            log,
            self.connections,
            idle_limit_ms * IDLE_LIMIT_FACTOR,
            ByteBudget(max_undecoded_bytes, self._drop_longest_input),
            InputBacklog(loop),
        )
        self.unsent_budget = ByteBudget(max_unsent_bytes, self._drop_slowest_reader)
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
        """Add and return a connection on the stream that `open_stream` opens for it."""
        return GatewayConnection(self.context, open_stream)

    # Capacity

    def _has_capacity(self, has_descriptors: bool) -> bool:
        """Return whether one more connection can be accepted; evict idle connections if necessary.

        An unverified connection can be closed immediately to make room. A verified connection only gets
        goaway and makes room later.

        Args:
            has_descriptors: Whether the process has file descriptors left.
        """
        if has_descriptors and len(self.connections) < self.max_connections:
            return True
        if has_descriptors and any(not connection.is_verified for connection in self._idle_connections()):
            return True  # `_accept` will evict an idle unverified connection
        if self.evict_idle():
            return True
        if not self.is_full:
            self.is_full = True
            self.log("connections_full", connections=len(self.connections))
        return False

    def _idle_connections(self) -> list[GatewayConnection]:
        """Return the idle connections: those that have no open RPC and have not been sent goaway.

        Connections that were accepted in this loop pass or the previous one are not included. Their sockets
        might contain RPCs that have not been read yet and would be lost if the connections were closed.
        """
        newest_pass = self.loop.read_count - MIN_AGE_PASSES
        return [
            connection
            for connection in self.connections
            if not connection.rpcs
            and not connection.goaway_deadline_ms
            and connection.accepted_pass <= newest_pass
        ]

    def evict_idle(self) -> bool:
        """Closes some idle unverified connections; if that is not possible, sends goaway on some idle ones.

        Goaway is sent only if no connection was closed. In addition, each unverified connection must have an
        open RPC: an unverified connection without one will make room soon, so goaway is not necessary.

        Returns:
            Whether a connection was closed.
        """
        idle = sorted(
            self._idle_connections(), key=lambda c: (c.is_verified, c.is_waiting, c.last_message_ms)
        )
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

    def _drop_longest_input(self) -> None:
        """Cuts off the connection with the most undecoded input, to bound the memory that slow writers use.

        Connections on which no answer is owed are cut off first, and of these the unverified ones.
        """
        longest = max(
            (connection for connection in self.connections if connection.decoder.buffer),
            key=lambda connection: (
                not connection.rpcs,
                not connection.is_verified,
                len(connection.decoder.buffer),
            ),
        )
        longest.cut_off("unfinished")

    def set_idle_limit(self, idle_limit_ms: float) -> None:
        """Sets the time after which an idle verified connection gets goaway.

        If `idle_limit_ms` is not shorter than the gateways' own limit, their limit times `IDLE_LIMIT_FACTOR`
        is used instead, so that the gateways close their idle connections first.
        """
        if idle_limit_ms < self.gateway_idle_limit_ms:
            self.context.idle_limit_ms = idle_limit_ms
        else:
            self.context.idle_limit_ms = self.gateway_idle_limit_ms * IDLE_LIMIT_FACTOR
        for connection in self.connections:
            connection.check_idle()

    # Draining

    def start_draining(self) -> None:
        """Accepts the connections in the backlog, closes the listener and sends goaway on all connections."""
        self.context.is_draining = True
        # The listener is closed before goaway is sent: a gateway that gets goaway reconnects immediately, and
        # a refused connection proves to the gateway that nothing ran.
        self._close_listener()
        for connection in self.connections:
            connection.send_goaway(DRAIN_GOAWAY_GRACE_MS)

    def _close_listener(self) -> None:
        # Connections in the listener's backlog might contain requests, which would be lost if the listener
        # were closed. These connections are accepted first, even if the connection table is full.
        if self.listener.drain():
            self.listener.close()
        else:
            self.loop.after(ACCEPT_PAUSE_MS, self._close_listener)

    def is_drained(self) -> bool:
        """Return whether the listener and all connections are closed."""
        return not self.listener.is_open and len(self.connections) == 0
