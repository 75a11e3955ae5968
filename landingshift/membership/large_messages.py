"""Transport for messages that are too large for a datagram: MessagePack-RPC calls over TCP.

Each message has its own connection, to the TCP port that has the same number as the receiver's UDP port.

Guarantee: a message is delivered completely or not at all, and all its fragments go to the same process.
Failure mode: like a datagram, a message might be lost without notice to the sender or the receiver.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgpack

from landingshift.membership.errors import UnknownSenderError
from landingshift.membership.large_message_assembly import MAX_MESSAGE_BYTES, FragmentAssembler
from landingshift.membership.large_message_wire import (
    METHOD,
    decode_body,
    decode_fragment,
    encode_body,
    encode_calls,
)
from landingshift.membership.messages import Address
from landingshift.membership.node import SwimNode
from landingshift.membership.operator_rpc import OperatorRpcServer
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Stream, connect

MAX_DATAGRAM_BODY_BYTES = 1100  # a larger body goes over TCP
MAX_CONCURRENT_TRANSFERS = 16
TRANSFER_TIMEOUT_MS = 3000.0
MAX_UNSENT_BYTES = MAX_MESSAGE_BYTES + 1024  # room for one message with the overhead of its calls
MAX_RESPONSE_BYTES = 4096


class LargeMessageTransfer:
    """Transfer of one message; calls `on_finished` exactly once, whatever the outcome."""

    def __init__(
        self,
        loop: Loop,
        receiver: Address,
        local_host: str,
        calls: list[bytes],
        on_finished: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._on_finished: Callable[[], None] | None = on_finished
        self._pending_responses = len(calls)
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_RESPONSE_BYTES)
        self._timeout = loop.after(TRANSFER_TIMEOUT_MS, lambda: self._close("slow"))
        stream = connect(loop, receiver, self, MAX_UNSENT_BYTES, local_host)
        self._stream = stream if isinstance(stream, Stream) else None
        if self._stream is not None:
            self._stream.write(b"".join(calls))
        else:
            loop.after(0.0, lambda: self.on_closed("unreachable"))

    def on_data(self, data: bytes) -> None:
        """Counts responses, errors included, and closes the connection once each fragment has one."""
        try:
            self._unpacker.feed(data)
            self._pending_responses -= sum(1 for _ in self._unpacker)
        except (ValueError, msgpack.exceptions.UnpackException):
            self._pending_responses = 0
        if self._pending_responses <= 0:
            self._close("answered")

    def on_eof(self) -> None:
        """Closes the connection, as the receiver will send no more responses."""
        self._close("closed")

    def on_closed(self, _reason: str) -> None:
        """Ends the transfer after the connection was closed or could not be opened."""
        self._stream = None
        self._loop.cancel(self._timeout)
        on_finished = self._on_finished
        self._on_finished = None
        if on_finished is not None:
            on_finished()

    def _close(self, reason: str) -> None:
        if self._stream is not None:
            self._stream.close(reason)


class LargeMessageTransport:
    """Sends messages of up to `MAX_MESSAGE_BYTES` to members, and receives large messages from them.

    Attributes:
        dropped_message_count: Messages dropped because they were too large or too many were being sent.
    """

    def __init__(
        self, loop: Loop, node: SwimNode, operator_rpc: OperatorRpcServer, cluster_name: str
    ) -> None:
        self._loop, self._node, self._cluster_name = loop, node, cluster_name
        self._local_host = operator_rpc.listener.address[0]
        self._active_transfer_count = 0
        self._last_transfer_number = 0
        self.dropped_message_count = 0
        self._assembler = FragmentAssembler()
        operator_rpc.handlers[METHOD] = self._on_call

    def send_to_member(self, name: str, package: str, body: list[Any]) -> None:
        """Sends a message to one member, over TCP if the body is too large for a datagram."""
        record = self._node.member_table.record(name)
        if record is None:
            return
        packed_body = encode_body(body)
        if len(packed_body) <= MAX_DATAGRAM_BODY_BYTES:
            self._node.send_to_member(name, package, body)
        elif self._active_transfer_count >= MAX_CONCURRENT_TRANSFERS or len(packed_body) > MAX_MESSAGE_BYTES:
            self.dropped_message_count += 1
        else:
            self._start_transfer(record.address, package, packed_body)

    def _start_transfer(self, receiver: Address, package: str, packed_body: bytes) -> None:
        self._active_transfer_count += 1
        self._last_transfer_number += 1
        sender = self._node.local_record
        calls = encode_calls(self._cluster_name, sender, package, self._last_transfer_number, packed_body)
        LargeMessageTransfer(self._loop, receiver, self._local_host, calls, self._on_transfer_finished)

    def _on_transfer_finished(self) -> None:
        self._active_transfer_count -= 1

    def _on_call(self, params: list[Any]) -> bool:
        """Receives a fragment; if it completes its message, passes the message to the package's handler.

        Raises:
            TransferError: The fragment is malformed, or its cluster, sender or package is unknown.
        """
        fragment = decode_fragment(params)
        record = self._node.member_table.record(fragment.sender_name)
        handler = self._node.message_handlers.get(fragment.package)
        is_known = record is not None and record.run_id == fragment.sender_run_id
        if fragment.cluster_name != self._cluster_name or not is_known or record is None or handler is None:
            raise UnknownSenderError
        packed_body = self._assembler.add(fragment)
        if packed_body is not None:
            handler(record, decode_body(packed_body))
        return True
