"""What is too large for a datagram goes to a peer by a call over TCP, one connection each, and may be lost.

MessagePack-RPC `letter(fleet, sender, run, package, number, part, parts, bytes)` at the address where the
peer has its datagrams; each part fits into one message of the codec.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgpack
import msgspec

from landingshift.membership.messages import Address
from landingshift.membership.node import SwimNode
from landingshift.membership.operator_rpc import OperatorRpcServer
from landingshift.net.protocol.gateway import pack
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Stream, connect

DATAGRAM = 1100  # bytes of a body that still goes as one
OUT = 16  # letters under way
LASTS = 3000.0  # ms that one may take
LARGEST = 4 << 20  # bytes of one, and of all that are not whole yet
PAGE = 12_000  # bytes of a part


class LargeMessageTransfer:
    """One on its way; whatever becomes of it, `done` is called once."""

    def __init__(
        self, loop: Loop, to: Address, host: str, calls: list[bytes], done: Callable[[], None]
    ) -> None:
        self.loop, self.done, self.left = loop, done, len(calls)
        self.unpacker = msgpack.Unpacker(max_buffer_size=4096)
        self.timer = loop.after(LASTS, lambda: self.end("slow"))
        stream = connect(loop, to, self, LARGEST + 1024, host)
        self.stream = stream if isinstance(stream, Stream) else None
        if self.stream is not None:
            self.stream.write(b"".join(calls))
        else:
            loop.after(0.0, lambda: self.on_closed("unreachable"))

    def on_data(self, data: bytes) -> None:
        try:
            self.unpacker.feed(data)
            self.left -= sum(1 for _ in self.unpacker)  # each says nothing but that a part has come
        except (ValueError, msgpack.exceptions.UnpackException):
            self.left = 0
        if self.left <= 0:
            self.end("answered")

    def on_eof(self) -> None:
        self.end("closed")

    def end(self, reason: str) -> None:
        if self.stream is not None:
            self.stream.close(reason)

    def on_closed(self, _reason: str) -> None:
        self.stream = None
        self.loop.cancel(self.timer)
        done, self.done = self.done, lambda: None
        done()


class LargeMessageTransport:
    def __init__(self, loop: Loop, node: SwimNode, talk: OperatorRpcServer, fleet: str) -> None:
        self.loop, self.node, self.fleet = loop, node, fleet
        self.host = talk.listener.address[0]
        self.under_way = self.lost = self.number = 0
        self.parts: dict[tuple[str, int, int], dict[int, bytes]] = {}  # of letters that are not whole yet
        talk.handlers["letter"] = self.come

    def send_to_member(self, name: str, package: str, body: list[Any]) -> None:
        """To one member, as a datagram where that is enough."""
        record = self.node.member_table.record(name)
        if record is None:
            return
        packed = msgspec.msgpack.encode(body)
        if len(packed) <= DATAGRAM:
            self.node.send_to_member(name, package, body)
        elif self.under_way >= OUT or len(packed) > LARGEST:
            self.lost += 1
        else:
            self.under_way += 1
            self.number += 1
            pages = [packed[i : i + PAGE] for i in range(0, len(packed), PAGE)]
            me, count = self.node.local_record, len(pages)
            head = [self.fleet, me.name, me.run_id, package, self.number]
            calls = [pack([0, i, "letter", [*head, i, count, page]]) for i, page in enumerate(pages)]
            LargeMessageTransfer(self.loop, record.address, self.host, calls, self.gone)

    def gone(self) -> None:
        self.under_way -= 1

    def come(self, params: list[Any]) -> bool:
        """Raises ValueError for what is no letter of this fleet or from nobody known."""
        match params:
            case [
                str(fleet),
                str(name),
                int(run),
                str(package),
                int(number),
                int(part),
                int(parts),
                bytes(page),
            ]:
                pass
            case _:
                raise ValueError("no letter")
        record, hear = self.node.member_table.record(name), self.node.message_handlers.get(package)
        if fleet != self.fleet or record is None or record.run_id != run or hear is None:
            raise ValueError("from nobody that is known here")
        if not 0 <= part < parts <= LARGEST // PAGE + 1 or len(page) > PAGE:
            raise ValueError("no part of a letter")
        key = name, run, number
        had = self.parts.setdefault(key, {})
        had[part] = page
        if len(had) < parts:
            while (
                len(self.parts) > 1 and sum(len(p) for h in self.parts.values() for p in h.values()) > LARGEST
            ):
                del self.parts[next(iter(self.parts))]
            return True
        del self.parts[key]
        try:
            body = msgspec.msgpack.decode(b"".join(had[i] for i in sorted(had)))
        except (msgspec.DecodeError, RecursionError) as err:
            raise ValueError(f"no letter: {err}") from err
        if not isinstance(body, list):
            raise ValueError("no letter: a list is expected")
        hear(record, body)
        return True
