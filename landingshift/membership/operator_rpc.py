"""Calls that operators make to a server of the fleet: MessagePack-RPC over TCP, as gateways speak it."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from typing import Any

import msgpack

from landingshift.net.protocol import gateway as wire
from landingshift.net.transport.listener import Listener
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Address, Stream

LINKS = 16  # operators' connections at a time
BOUND = 4 << 20  # bytes of an answer
LASTS = 10_000.0  # ms that one may take

Call = Callable[[list[Any]], Any]


class OperatorConnection:
    def __init__(self, talk: OperatorRpcServer, sock: socket.socket) -> None:
        self.talk, self.reader = talk, wire.MessageDecoder()
        self.stream = Stream(talk.loop, sock, self, BOUND)
        self.timer = talk.loop.after(LASTS, lambda: self.stream.close("slow"))

    def on_data(self, data: bytes) -> None:
        for message in self.reader.feed(data):
            match message:
                case wire.Request(number, method, params):
                    self.stream.write(self.talk.answer(number, method, params))
                case wire.ProtocolFailure(reason):
                    self.stream.close(reason)
                    return

    def on_eof(self) -> None:
        self.stream.close_gracefully("closed")

    def on_closed(self, reason: str) -> None:
        self.talk.loop.cancel(self.timer)
        self.talk.links.discard(self)
        self.talk.log("fleet_link_ended", reason=reason)


class OperatorRpcServer:
    """`calls` by name; each takes params and returns what msgpack can hold, or raises ValueError."""

    def __init__(self, loop: Loop, address: Address, log: Callable[..., None]) -> None:
        """Raises OSError."""
        self.loop, self.log = loop, log
        self.links: set[OperatorConnection] = set()
        self.handlers: dict[str, Call] = {}
        self.listener = Listener(loop, address, lambda _: len(self.links) < LINKS, self.take)

    def take(self, sock: socket.socket) -> None:
        self.links.add(OperatorConnection(self, sock))

    def answer(self, number: int, method: str, params: list[Any]) -> bytes:
        call = self.handlers.get(method)
        if call is None:
            return wire.pack([1, number, f"no such call: {method[:32]}", None])
        try:
            return wire.pack([1, number, None, call(params)])
        except ValueError as err:
            return wire.pack([1, number, str(err), None])

    def close(self) -> None:
        self.listener.close()
        for link in list(self.links):
            link.stream.close("stopping")


class OperatorRpcError(Exception):
    """The text says why."""


def call_operator_rpc(address: Address, method: str, params: list[Any], wait: float = 3000.0) -> Any:
    """One call, for commands; blocks up to `wait` ms. Raises NoAnswer."""
    end = time.monotonic() + wait / 1000.0
    unpacker = msgpack.Unpacker(max_buffer_size=BOUND)
    try:
        with socket.create_connection(address, wait / 1000.0) as sock:
            sock.sendall(wire.pack([0, 1, method, params]))
            while True:
                sock.settimeout(max(0.01, end - time.monotonic()))
                data = sock.recv(65536)
                if not data:
                    raise OperatorRpcError("it closed the connection")
                unpacker.feed(data)
                for _, _, error, result in unpacker:
                    if error is not None:
                        raise OperatorRpcError(str(error))
                    return result
    except (OSError, ValueError) as err:
        raise OperatorRpcError(str(err)) from err
