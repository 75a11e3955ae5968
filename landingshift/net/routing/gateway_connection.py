"""One connection from a gateway: reads requests, writes answers and decides when to close.

Guarantee: this server closes a connection only after every RPC that was read from it has been answered,
unless the gateway stops reading or violates the protocol. Goaway is a message that asks the gateway to close
the connection.

A connection is verified once the engine has recognized an RPC that arrived on it. An unverified connection
can be idle for at most `VERIFICATION_TIME_MS`, so that unknown clients cannot fill the connection table.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from landingshift.net.protocol import gateway as wire
from landingshift.net.routing.dedup import DedupEntry
from landingshift.net.routing.input_backlog import InputBacklog
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.slots import Slots
from landingshift.net.transport.stream import READ_BYTES, ByteBudget, PeerState, Stream

MAX_OPEN_RPCS = 32  # maximum number of RPCs on one connection for whose answers the gateway waits
MAX_UNANSWERED_RPCS = 2 * MAX_OPEN_RPCS  # the same, including those for which it does not wait any more
# Maximum number of messages that open no RPC and are handled in one turn. A gateway may withdraw all its open
# RPCs at once.
MAX_MESSAGES_PER_TURN = MAX_OPEN_RPCS
MAX_ANSWER_BYTES = 5000  # assumed maximum size of one answer
MAX_UNSENT_BYTES = MAX_OPEN_RPCS * MAX_ANSWER_BYTES  # room for the answers to all open RPCs
GOAWAY_GRACE_MS = 1500.0  # time for a gateway to close its connection after goaway
VERIFICATION_TIME_MS = 1000.0  # idle time allowed to an unverified connection
MAX_MESSAGE_MS = 2000.0  # maximum time from a message's first byte to its last
MIN_CHECK_INTERVAL_MS = 50.0
# If the gateway has closed its socket, a write to the connection causes a reset. The reset arrives within
# this time.
RESET_TIME_MS = 30.0
DUE_TOLERANCE_MS = 1.0  # a deadline that is at most this far away counts as passed


class GatewayEvents(Protocol):
    """Receives the requests and cancellations of gateways."""

    def on_request(self, connection: GatewayConnection, request: wire.Request) -> None:
        """Handles an RPC request."""

    def on_abandoned(self, rpc: RoutedRpc) -> None:
        """Handles an RPC whose answer the caller no longer wants or can no longer get."""

    def on_health_check(self, connection: GatewayConnection, request: wire.Request) -> None:
        """Handles a health check."""


@dataclass(slots=True)
class ConnectionContext:
    """State shared by all gateway connections."""

    loop: Loop
    log: Callable[..., None]
    connections: Slots[GatewayConnection]
    idle_limit_ms: float  # time after which an idle verified connection gets goaway
    undecoded_budget: ByteBudget  # bound on the undecoded input of all connections
    backlog: InputBacklog
    events: GatewayEvents = field(init=False)  # set before the loop runs
    is_draining: bool = False


class GatewayConnection:
    """A connection from a gateway.

    Args:
        context: State shared by all connections.
        open_stream: Opens the connection's stream.

    Attributes:
        rpcs: Open RPCs (neither answered nor abandoned), keyed by the message id of their requests.
        rpc_count: The number of RPCs read.
        health_check_count: The number of health checks read.
        invalid_count: The number of RPCs rejected for an invalid field.
        cut_off_count: The number of RPCs that were open when this server cut the connection off.
        last_invalid_field: The name of the last invalid field; empty if there was none.
        goaway_deadline_ms: The time at which this server closes the connection if the gateway has not
            closed it after goaway; 0 until goaway is sent.
        is_verified: Whether the engine has recognized an RPC from this connection.
        unverified_duplicates: Duplicates that wait until the connection is verified. A duplicate is an RPC
            that is answered with the stored outcome of an earlier RPC; it is mapped to the `DedupEntry` that
            stores this outcome.
        accepted_ms: The time at which the connection was accepted.
        last_message_ms: The time of the last complete message or the last written answer, whichever is later.
        partial_since_ms: The time at which the first part of an incomplete message was received; 0 if no
            message is incomplete.
        undecoded_bytes: The number of received bytes counted in `ConnectionContext.undecoded_budget`.
        turn_message_count: The number of messages handled in the present turn that opened no RPC.
        is_waiting: Whether the connection waits for its next turn to have messages handled.
        is_half_close_checked: Whether the gateway has ended its output and is known to read, or is asked.
        is_behind: Whether messages are handled late because the peer sent more than one turn allows.
        has_unread_input: Whether the last read filled its buffer, so that there can be more input to read.
        accepted_pass: The number of the loop pass in which the connection was accepted.
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
        self.undecoded_bytes = 0
        self.turn_message_count = 0
        self.is_waiting = False
        self.is_half_close_checked = False
        self.is_behind = False
        self.has_unread_input = False
        self.stream = open_stream(self)
        self.slot = context.connections.put(self)
        self.accepted_pass = self.loop.read_count
        self.timer = self.loop.after(VERIFICATION_TIME_MS, self.check_idle)

    # Incoming messages

    def on_data(self, data: bytes) -> None:
        """Adds received bytes and handles the messages in them, as far as the connection's turn allows."""
        self.decoder.receive(data)
        self._count_undecoded()
        if not self.has_unread_input:
            self.turn_message_count = 0
        self.has_unread_input = len(data) == READ_BYTES
        if self.is_waiting:
            return
        if self.is_verified or self.context.backlog.may_handle_unverified():
            self._handle_unless_gone()
        elif self.stream.is_open and not self.stream.close_reason:
            self._wait_for_turn()

    def handle_input(self) -> None:
        """Handles the messages of the connection's next turn, after it has waited for it."""
        self.is_waiting = False
        self.turn_message_count = 0
        if self.stream.is_open and not self.stream.close_reason:
            self._handle_unless_gone()

    def _handle_unless_gone(self) -> None:
        """Handles received messages if the gateway can still get their answers.

        The messages of a gateway that has closed its socket are not handled: it no longer wants the answers,
        and it may have sent the requests again on another connection.
        """
        state = self.stream.peer_state()
        if state is PeerState.GONE:
            self.stream.close("reset")
        elif state is PeerState.HALF_CLOSED and not self.is_half_close_checked:
            self._check_half_close()
        else:
            self._handle_messages()

    def _check_half_close(self) -> None:
        """Finds out whether a gateway that has ended its output still reads.

        If it has closed its socket, the goaway that is sent here causes a reset, which arrives within
        `RESET_TIME_MS`. Messages that are received and not handled wait until then.
        """
        self.is_half_close_checked = True
        self.send_goaway()
        self.stream.write(wire.GOAWAY)  # also if goaway was sent before
        self.stream.flush()
        if not self.stream.is_open or self.stream.peer_state() is PeerState.GONE:
            self.stream.close("reset")
            return
        self.is_waiting = True
        self.stream.pause_reading()
        self.loop.after(RESET_TIME_MS, self.handle_input)

    def _handle_messages(self) -> None:
        """Handles received messages until the connection has used up its turn.

        At most `MAX_MESSAGES_PER_TURN` messages that open no RPC are handled in a turn. The number of open
        RPCs is bounded, and the controller decides about them; nothing else limits the time that others
        take. Without a wait, the next turn begins once all input of the connection has been read.
        """
        try:
            for message in self.decoder.messages():
                if self.stream.close_reason:
                    return  # the previous message made this server close the connection
                self._handle_message(message)
                if self.turn_message_count >= MAX_MESSAGES_PER_TURN:
                    return
        finally:
            self._count_undecoded()
            self._wait_for_input()

    def _handle_message(self, message: wire.Message | None) -> None:
        self.last_message_ms = self.loop.now_ms
        self.partial_since_ms = 0.0
        open_count = len(self.rpcs)
        if message is not None:
            self._on_message(message)
        if len(self.rpcs) <= open_count:
            self.turn_message_count += 1

    def _wait_for_input(self) -> None:
        """Waits for the next turn if there can be more messages, otherwise for more bytes."""
        if self.stream.close_reason or not self.stream.is_open:
            return
        has_messages = self.decoder.may_have_messages
        has_used_turn = self.turn_message_count >= MAX_MESSAGES_PER_TURN
        self.is_behind = (self.is_behind or has_used_turn) and (has_messages or self.has_unread_input)
        if has_messages:
            self._wait_for_turn()
            return
        self.stream.resume_reading()
        if self.decoder.buffer and not self.partial_since_ms:
            self.partial_since_ms = self.loop.now_ms
            self._check_after(MAX_MESSAGE_MS)

    def _wait_for_turn(self) -> None:
        self.is_waiting = True
        self.stream.pause_reading()
        self.context.backlog.add(self)

    def restore_undecoded(self, data: bytes) -> None:
        """Restores input that another process has received and not decoded; handles it in a later pass."""
        self.decoder.receive(data)
        self._count_undecoded()
        self._wait_for_input()

    def _count_undecoded(self) -> None:
        undecoded_bytes = len(self.decoder.buffer)
        added_bytes = undecoded_bytes - self.undecoded_bytes
        self.undecoded_bytes = undecoded_bytes
        self.context.undecoded_budget.add(added_bytes)

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
            self.cut_off("number_twice")  # the gateway could not tell the two answers apart
        else:
            self.rpc_count += 1
            self.context.events.on_request(self, message)

    def on_eof(self) -> None:
        """Handles the end of the gateway's output: closes the connection once its RPCs are answered.

        The gateway might have stopped sending but still read answers. If the gateway has closed its socket
        instead, the goaway that is written here causes a reset. The stream is therefore checked for a reset
        after `RESET_TIME_MS`.
        """
        if not self.rpcs:
            self.stream.close_gracefully("closed_by_gateway")
            return
        self.send_goaway()
        self.stream.flush()  # before the controller decides which of the RPCs it starts
        if self.stream.is_open and self.stream.peer_state() is PeerState.GONE:
            self.stream.close("reset")
        else:
            self.loop.after(RESET_TIME_MS, self.stream.check_error)

    def on_closed(self, reason: str) -> None:
        """Logs that the connection is closed, and abandons its open RPCs."""
        self.context.connections.drop(self.slot)
        self._discard_undecoded()
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

    def has_room_for_rpc(self) -> bool:
        """Returns whether the gateway may have another RPC open.

        A gateway drops a request without a word once the request's time is over, and can then send another
        before this server has answered the dropped one.
        """
        if len(self.rpcs) < MAX_OPEN_RPCS:
            return True
        now_ms = self.loop.now_ms
        awaited_count = sum(rpc.is_awaited(now_ms) for rpc in self.rpcs.values())
        return awaited_count < MAX_OPEN_RPCS and len(self.rpcs) < MAX_UNANSWERED_RPCS

    # Answers

    def answer(self, message_id: int, data: bytes) -> None:
        """Writes the answer to a request."""
        self.rpcs.pop(message_id, None)
        self.last_message_ms = self.loop.now_ms
        self.stream.write(data)
        if not self.stream.is_reading and not self.rpcs:
            self.stream.close_gracefully("closed_by_gateway")
        elif self.context.is_draining and not self.rpcs:
            # The last answers of a drain are written shortly before the process is killed. The connection is
            # therefore checked immediately, not at the next scheduled check.
            self._check_after(0.0)

    def answer_invalid(self, message_id: int, field: str, data: bytes) -> None:
        """Writes `data`, the answer to a request in which the field named `field` is invalid.

        Gateways are not expected to send invalid requests. If the connection is unverified, the peer is
        therefore probably an unknown client, and the connection is cut off.
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

    # Closing

    def send_goaway(self, grace_ms: float = GOAWAY_GRACE_MS) -> None:
        """Asks the gateway to close the connection, and closes it after `grace_ms` if it is still open."""
        if not self.stream.is_open:
            return
        if not self.goaway_deadline_ms:
            self.stream.write(wire.GOAWAY)
        self.goaway_deadline_ms = self.loop.now_ms + grace_ms
        self._check_after(grace_ms)

    def cut_off(self, reason: str) -> None:
        """Closes the connection of a peer that violates the protocol, and abandons the open RPCs.

        The connection is closed gracefully: an immediate close with unread bytes in the socket would cause a
        reset, which can discard answers that the peer has not read.
        """
        self.cut_off_count += len(self.rpcs)
        self._discard_undecoded()
        self._abandon_rpcs()
        self.stream.close_gracefully(reason)

    def _discard_undecoded(self) -> None:
        self.decoder = wire.MessageDecoder()
        self._count_undecoded()

    def close_now(self, reason: str) -> None:
        """Closes the connection immediately; called only if no answer is owed on it."""
        self.stream.flush()
        self.stream.close(reason)

    def try_evict(self) -> bool:
        """Reads waiting data, then closes the connection if no RPC is open.

        Returns:
            Whether the connection is closed.
        """
        self._read_pending()
        if self.stream.close_reason or not self.rpcs:
            self.close_now("crowded")
        return not self.stream.is_open

    def _read_pending(self) -> None:
        """Reads data that waits in the socket, since a close would discard the data and cause a reset."""
        if self.stream.is_open and self.stream.is_reading and not self.is_waiting:
            self.stream.read()

    def _check_after(self, delay_ms: float) -> None:
        self.loop.cancel(self.timer)
        self.timer = self.loop.after(delay_ms, self.check_idle)

    def check_idle(self) -> None:
        """Closes the connection or sends goaway if a deadline has passed; otherwise schedules the next check.

        When a verified connection reaches its idle limit, goaway is sent. An unverified connection that
        reaches its limit gets goaway if at least one RPC was read from it and no RPC was invalid; otherwise
        it is closed immediately. After goaway, the connection is closed if the gateway does not close it in
        time. A connection is cut off if a message is not complete after `MAX_MESSAGE_MS`.
        """
        if self.stream.close_reason:
            return
        if self._time_left_ms() <= DUE_TOLERANCE_MS:
            self.stream.flush()
            self._read_pending()  # can deliver an RPC or show that the gateway has closed the connection
            if self.stream.close_reason:
                return
        time_left_ms = self._time_left_ms()
        if time_left_ms > DUE_TOLERANCE_MS:
            self._check_after(max(MIN_CHECK_INTERVAL_MS, time_left_ms))
        elif self._is_message_overdue:
            self.cut_off("unfinished")
        elif self._is_goaway_unsent:
            # The gateway might not have received goaway yet and can still send requests, which must be read.
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
        """Return whether goaway might still be queued behind answers because the gateway reads slowly.

        False once `GOAWAY_GRACE_MS` have passed since the goaway deadline, so that the connection is closed.
        """
        if not self.goaway_deadline_ms or not self.stream.output:
            return False
        return self.loop.now_ms < self.goaway_deadline_ms + GOAWAY_GRACE_MS

    def _time_left_ms(self) -> float:
        """Return the time until the next deadline; a deadline within `DUE_TOLERANCE_MS` counts as passed."""
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
        # While RPCs are open, no deadline counts as passed, not even that of a partial message: a close would
        # lose the answers to the RPCs.
        is_needed = bool(self.rpcs) or self._has_unhandled_messages
        return max(MIN_CHECK_INTERVAL_MS, time_left_ms) if is_needed else time_left_ms

    @property
    def _has_unhandled_messages(self) -> bool:
        """Return whether received messages wait for their turn that the gateway sent before it got goaway."""
        if not self.is_waiting or not self.goaway_deadline_ms:
            return self.is_waiting
        return self.loop.now_ms < self.goaway_deadline_ms + GOAWAY_GRACE_MS
