"""One gateway's connection: what is read from it, what it is owed, and when it is asked to go or closed.

Guarantee: an RPC that was read gets its answer written before the connection is closed by this server, unless
the gateway stops reading or breaks the protocol. A connection that brings nothing which the engine knows
lasts for `VERIFICATION_TIME_MS`, so that strangers can't fill the table.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from landingshift.net.protocol import gateway as wire
from landingshift.net.routing.dedup import DedupEntry
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.slots import Slots
from landingshift.net.transport.stream import Stream

MAX_OPEN_RPCS = 32  # on one connection
MAX_ANSWER_BYTES = 5000
MAX_UNSENT_BYTES = MAX_OPEN_RPCS * MAX_ANSWER_BYTES  # answers to all open RPCs, all unread
GOAWAY_GRACE_MS = 1500.0  # that a gateway has to close a connection after goaway
VERIFICATION_TIME_MS = 1000.0  # after which an unverified connection that brings nothing is closed
MAX_MESSAGE_MS = 2000.0  # from a message's first byte to its last
MIN_CHECK_INTERVAL_MS = 50.0
RESET_TIME_MS = 30.0  # in which a gateway that has gone answers a write with a reset
DUE_TOLERANCE_MS = 1.0  # a time that is no further off counts as come


class GatewayEvents(Protocol):
    """What gateways ask for."""

    def on_request(self, connection: GatewayConnection, request: wire.Request) -> None:
        """An RPC was read."""

    def on_abandoned(self, rpc: RoutedRpc) -> None:
        """Nobody waits for the RPC's answer any more."""

    def on_health_check(self, connection: GatewayConnection, request: wire.Request) -> None:
        """A health check was read."""


@dataclass(slots=True)
class ConnectionContext:
    """What all connections share."""

    loop: Loop
    log: Callable[..., None]
    connections: Slots[GatewayConnection]
    idle_limit_ms: float  # after which a quiet connection is asked to go
    events: GatewayEvents = field(init=False)  # set before the loop runs
    is_draining: bool = False


class GatewayConnection:
    """A connection from its accept to its end.

    Args:
        context: What all connections share.
        open_stream: Makes the connection's stream.

    Attributes:
        rpcs: Open RPCs, by the message id of their requests.
        rpc_count: RPCs read.
        health_check_count: Health checks read.
        invalid_count: RPCs turned down for a field.
        cut_off_count: RPCs that were open when the connection was cut off.
        last_invalid_field: The field that the last one turned down had wrong.
        goaway_deadline_ms: The time at which it is closed if the gateway does not do that; 0 before goaway.
        is_verified: The engine has known an RPC of it.
        unverified_duplicates: Those to be answered once it is verified, with the entries of their originals.
        accepted_ms: Since when it is here.
        last_message_ms: The time of its last complete message or last written answer.
        partial_since_ms: The time at which an incomplete message began; 0 where there is none.
        accepted_pass: The loop's pass in which it was accepted.
    """

    def __init__(
        self, context: ConnectionContext, open_stream: Callable[[GatewayConnection], Stream]
    ) -> None:
        self.context = context
        self.loop = context.loop
        self.decoder = wire.MessageDecoder()
        self.rpcs: dict[int, RoutedRpc] = {}
        self.rpc_count = 0
        self.health_check_count = 0
        self.invalid_count = 0
        self.cut_off_count = 0
        self.last_invalid_field = ""
        self.goaway_deadline_ms = 0.0
        self.is_verified = False
        self.unverified_duplicates: dict[RoutedRpc, DedupEntry] = {}
        self.accepted_ms = self.loop.now_ms
        self.last_message_ms = self.loop.now_ms
        self.partial_since_ms = 0.0
        self.stream = open_stream(self)
        self.slot = context.connections.put(self)
        self.accepted_pass = self.loop.read_count
        self.timer = self.loop.after(VERIFICATION_TIME_MS, self.check_idle)

    # What comes

    def on_data(self, data: bytes) -> None:
        """Bytes came on the connection."""
        messages = self.decoder.feed(data)
        if messages:
            self.last_message_ms = self.loop.now_ms
            self.partial_since_ms = 0.0
        for message in messages:
            if self.stream.close_reason:
                return  # cut off by the message before
            self._on_message(message)
        if self.decoder.buffer and not self.partial_since_ms and self.stream.is_open:
            self.partial_since_ms = self.loop.now_ms
            self._check_after(MAX_MESSAGE_MS)

    def _on_message(self, message: wire.Message) -> None:
        if isinstance(message, wire.CancelNotification):
            rpc = self.rpcs.pop(message.message_id, None)
            if rpc is not None:
                self.context.events.on_abandoned(rpc)
        elif isinstance(message, wire.ProtocolFailure):
            self.cut_off(message.reason)
        elif message.method == wire.HEALTH_CHECK_METHOD:
            self.health_check_count += 1
            self.context.events.on_health_check(self, message)
        elif message.message_id in self.rpcs:
            self.cut_off("number_twice")  # nobody could tell whose the answer is
        else:
            self.rpc_count += 1
            self.context.events.on_request(self, message)

    def on_eof(self) -> None:
        """The gateway writes no more.

        It may still read; where it does not, a write makes it answer with a reset.
        """
        if not self.rpcs:
            self.stream.close_gracefully("closed_by_gateway")
        else:
            self.send_goaway()
            self.loop.after(RESET_TIME_MS, self.stream.check_error)

    def on_closed(self, reason: str) -> None:
        """The connection ended."""
        self.context.connections.drop(self.slot)
        self.loop.cancel(self.timer)
        self.context.log(
            "connection",
            reason=reason,
            age=round(self.loop.now_ms - self.accepted_ms),
            rpcs=self.rpc_count,
            probes=self.health_check_count,
            open=len(self.rpcs) + self.cut_off_count,
            bad=self.invalid_count,
            fault=self.last_invalid_field,
        )
        self._abandon_rpcs()

    # What is owed

    def answer(self, message_id: int, data: bytes) -> None:
        """Writes the response to a request."""
        self.rpcs.pop(message_id, None)
        self.last_message_ms = self.loop.now_ms
        self.stream.write(data)
        if not self.stream.is_reading and not self.rpcs:
            self.stream.close_gracefully("closed_by_gateway")
        elif self.context.is_draining and not self.rpcs:
            # The last answers go out shortly before the stop: their connections' close can't wait for a
            # check.
            self._check_after(0.0)

    def answer_invalid(self, message_id: int, field: str, data: bytes) -> None:
        """Answers an RPC that never was one.

        No gateway sends it, so it ends a connection that is not verified.
        """
        self.invalid_count += 1
        self.last_invalid_field = field
        self.answer(message_id, data)
        if not self.is_verified:
            self.cut_off("bad_rpc")

    def _abandon_rpcs(self) -> None:
        rpcs = self.rpcs
        self.rpcs = {}
        for rpc in rpcs.values():
            self.context.events.on_abandoned(rpc)

    # Its end

    def send_goaway(self, grace_ms: float = GOAWAY_GRACE_MS) -> None:
        """Asks the gateway to close the connection once it has its answers; closes it if it does not."""
        if not self.stream.is_open:
            return
        if not self.goaway_deadline_ms:
            self.stream.write(wire.GOAWAY)
        self.goaway_deadline_ms = self.loop.now_ms + grace_ms
        self._check_after(grace_ms)

    def cut_off(self, reason: str) -> None:
        """Closes the connection of a peer that breaks the rules, once the answers written have reached it.

        Bytes of it that are not read yet make a close a reset, which would take those answers along.
        """
        self.cut_off_count += len(self.rpcs)
        self._abandon_rpcs()
        self.stream.close_gracefully(reason)

    def close_now(self, reason: str) -> None:
        """Closes at once a connection that nobody needs and to which nothing is owed."""
        self.stream.flush()
        self.stream.close(reason)

    def try_evict(self) -> bool:
        """Closes an unverified connection, unless it has brought an RPC; returns whether it is closed."""
        self._read_pending()
        if self.stream.close_reason or not self.rpcs:
            self.close_now("crowded")
        return not self.stream.is_open

    def _read_pending(self) -> None:
        """Reads what waits in the socket: a close would discard it unread and reset the connection."""
        if self.stream.is_open and self.stream.is_reading:
            self.stream.read()

    def _check_after(self, delay_ms: float) -> None:
        self.loop.cancel(self.timer)
        self.timer = self.loop.after(delay_ms, self.check_idle)

    def check_idle(self) -> None:
        """An idle connection is asked to go, and closed if it does not; an unverified one is closed."""
        if self.stream.close_reason:
            return
        if self._time_left_ms() <= DUE_TOLERANCE_MS:
            self.stream.flush()
            self._read_pending()  # may bring an RPC, or its end
            if self.stream.close_reason:
                return
        time_left_ms = self._time_left_ms()
        if time_left_ms > DUE_TOLERANCE_MS:
            self._check_after(max(MIN_CHECK_INTERVAL_MS, time_left_ms))
        elif self._is_message_overdue:
            self.cut_off("unfinished")
        elif self._is_goaway_unsent:
            # The gateway does not know yet that it is to go, and what it sends until then counts.
            self._check_after(MIN_CHECK_INTERVAL_MS)
        elif self.goaway_deadline_ms:
            self.stream.close_gracefully("goaway")
        elif self.is_verified or (self.rpc_count and not self.invalid_count):
            self.send_goaway()
        else:
            self.close_now("quiet")

    @property
    def _is_message_overdue(self) -> bool:
        left_ms = self.partial_since_ms + MAX_MESSAGE_MS - self.loop.now_ms
        return self.partial_since_ms > 0.0 and left_ms <= DUE_TOLERANCE_MS

    @property
    def _is_goaway_unsent(self) -> bool:
        """Whether goaway still waits behind answers that a slow reader has not taken."""
        if not self.goaway_deadline_ms or not self.stream.output:
            return False
        return self.loop.now_ms < self.goaway_deadline_ms + GOAWAY_GRACE_MS

    def _time_left_ms(self) -> float:
        """The time until the next check; at most `DUE_TOLERANCE_MS` where the connection may be closed."""
        now_ms = self.loop.now_ms
        if self.goaway_deadline_ms:
            ends_ms = self.goaway_deadline_ms
        elif self.is_verified:
            ends_ms = self.stream.last_activity_ms + self.context.idle_limit_ms
        else:
            ends_ms = self.last_message_ms + VERIFICATION_TIME_MS
        message_left_ms = MAX_MESSAGE_MS
        if self.partial_since_ms:
            message_left_ms = self.partial_since_ms + MAX_MESSAGE_MS - now_ms
        time_left_ms = min(ends_ms - now_ms, message_left_ms)
        # However long half a message has stood: closing would lose the answers that are owed.
        return max(MIN_CHECK_INTERVAL_MS, time_left_ms) if self.rpcs else time_left_ms
