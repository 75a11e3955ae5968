"""All connections of gateways: who is accepted, who makes room for others, and how all of them leave."""

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

# Times the gateways' own idle limit: a connection idle for longer belongs to a gateway that keeps no limit.
IDLE_LIMIT_FACTOR = 1.25
DRAIN_GOAWAY_GRACE_MS = 250.0  # that a gateway has to close a connection while the server drains
EVICTION_FRACTION = 1 / 16  # of the connections that may be asked to go at a time
MIN_AGE_PASSES = 2  # of the loop, before a connection may be closed to make room


class Gateways:
    """The listener and the connections that it accepted.

    Args:
        address: The address at which gateways connect.
        max_connections: The number of connections that may be open.
        max_unsent_bytes: The bound on answers that gateways have not read, all connections together.
        idle_limit_ms: The time after which the gateways themselves close an idle connection.
        log: Called with connections that ended, and of a full table.
        sock: Set by hot restart alone: the listening socket of the old build.
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
        """Sets the receiver of what gateways ask for; called before the loop runs."""
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
            self.log("connections_room", connections=len(self.connections))

    def add(self, open_stream: Callable[[GatewayConnection], Stream]) -> GatewayConnection:
        """A new connection on the stream that `open_stream` makes for it."""
        return GatewayConnection(self.context, open_stream)

    # Room for new ones

    def _has_capacity(self, has_descriptors: bool) -> bool:
        """Returns whether one more may come.

        Connections that are not verified make room for it; verified ones are asked to go and leave only in
        time.
        """
        if has_descriptors and len(self.connections) < self.max_connections:
            return True
        if has_descriptors and any(not connection.is_verified for connection in self._idle_connections()):
            return True  # it makes room once the new one is here
        if self.evict_idle():
            return True
        if not self.is_full:
            self.is_full = True
            self.log("connections_full", connections=len(self.connections))
        return False

    def _idle_connections(self) -> list[GatewayConnection]:
        """Those without open RPCs that have not been asked to go.

        One that has just come may have brought an RPC that is not read yet: it would be lost.
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
        """Closes idle connections that are not verified; where all are verified, asks some to go.

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
        """Many that read slowly fill the memory as well as one: the one with most to read goes."""
        slowest = max(self.connections, key=lambda connection: len(connection.stream.output))
        slowest.stream.flush()
        if slowest.stream.output:
            slowest.stream.close("stalled")

    def set_idle_limit(self, idle_limit_ms: float) -> None:
        """The admission controller's limit; at its longest the gateways close idle connections themselves."""
        if idle_limit_ms < self.gateway_idle_limit_ms:
            self.context.idle_limit_ms = idle_limit_ms
        else:
            self.context.idle_limit_ms = self.gateway_idle_limit_ms * IDLE_LIMIT_FACTOR
        for connection in self.connections:
            connection.check_idle()

    # Leaving

    def start_draining(self) -> None:
        """All are asked to go; no more come once those that wait to be accepted are here."""
        self.context.is_draining = True
        # Closed before gateways are told: they come again at once, and a refusal proves that nothing ran.
        self._close_listener()
        for connection in self.connections:
            connection.send_goaway(DRAIN_GOAWAY_GRACE_MS)

    def _close_listener(self) -> None:
        # What waits there counts as received: a close over it would lose it, however full the table is.
        if self.listener.drain():
            self.listener.close()
        else:
            self.loop.after(ACCEPT_PAUSE_MS, self._close_listener)

    def is_drained(self) -> bool:
        """Whether the listener and all connections are closed."""
        return not self.listener.is_open and len(self.connections) == 0
