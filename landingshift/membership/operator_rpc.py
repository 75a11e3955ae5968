"""Calls from operators and other members to a server: the gateways' MessagePack-RPC protocol over TCP.

`OperatorRpcServer` answers calls on the event loop; `call_operator_rpc` is the blocking client of the CLI.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from typing import Any

import msgpack

from landingshift.membership.errors import ConnectionClosedError
from landingshift.membership.errors import OperatorRpcError as OperatorRpcError
from landingshift.net.protocol import gateway
from landingshift.net.transport.listener import Listener
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Address, Stream

MAX_CONNECTIONS = 16
MAX_RESPONSE_BYTES = 4 << 20
CONNECTION_TIMEOUT_MS = 10_000.0
DEFAULT_CALL_TIMEOUT_MS = 3000.0
MIN_SOCKET_TIMEOUT_SECONDS = 0.01  # 0 would make the socket non-blocking
RECEIVE_BYTES = 65536
MAX_ECHOED_METHOD_CHARACTERS = 32
RPC_REQUEST_TYPE = 0  # MessagePack-RPC message type of a request
RPC_RESPONSE_TYPE = 1  # MessagePack-RPC message type of a response

CallHandler = Callable[[list[Any]], Any]
"""Called with the parameters; returns the result of the call, or raises ValueError with an error text."""


class OperatorConnection:
    """A connection that an operator or another member has opened to this server."""

    def __init__(self, server: OperatorRpcServer, sock: socket.socket) -> None:
        self._server = server
        self._reader = gateway.MessageDecoder()
        self.stream = Stream(server.loop, sock, self, MAX_RESPONSE_BYTES)
        self._timeout = server.loop.after(CONNECTION_TIMEOUT_MS, lambda: self.stream.close("slow"))

    def on_data(self, data: bytes) -> None:
        """Answers the received calls; closes the connection on malformed data."""
        for message in self._reader.feed(data):
            match message:
                case gateway.Request(number, method, params):
                    self.stream.write(self._server.answer(number, method, params))
                case gateway.ProtocolFailure(reason):
                    self.stream.close(reason)
                    return

    def on_eof(self) -> None:
        """Closes the connection once pending responses are sent, as the caller will send no more calls."""
        self.stream.close_gracefully("closed")

    def on_closed(self, reason: str) -> None:
        """Cancels the time-out and removes the connection from the server."""
        self._server.loop.cancel(self._timeout)
        self._server.on_connection_closed(self, reason)


class OperatorRpcServer:
    """Accepts connections and answers calls.

    Attributes:
        loop: Event loop of the server.
        handlers: Handlers, keyed by method name.
        listener: Listening TCP socket.
    """

    def __init__(self, loop: Loop, address: Address, log: Callable[..., None]) -> None:
        """Starts listening.

        Raises:
            OSError: The address can't be bound.
        """
        self.loop = loop
        self._log = log
        self._connections: set[OperatorConnection] = set()
        self.handlers: dict[str, CallHandler] = {}
        self.listener = Listener(loop, address, lambda _: self._accepts_connection(), self._accept)

    def answer(self, number: int, method: str, params: list[Any]) -> bytes:
        """Returns the encoded response to a call: an error if the method is unknown or raises ValueError."""
        handler = self.handlers.get(method)
        if handler is None:
            error = f"no such call: {method[:MAX_ECHOED_METHOD_CHARACTERS]}"
            return gateway.pack([RPC_RESPONSE_TYPE, number, error, None])
        try:
            return gateway.pack([RPC_RESPONSE_TYPE, number, None, handler(params)])
        except ValueError as error:
            return gateway.pack([RPC_RESPONSE_TYPE, number, str(error), None])

    def on_connection_closed(self, connection: OperatorConnection, reason: str) -> None:
        """Removes a connection, and logs why it was closed."""
        self._connections.discard(connection)
        self._log("fleet_operator_connection_closed", reason=reason)

    def close(self) -> None:
        """Stops listening and closes all open connections."""
        self.listener.close()
        for connection in list(self._connections):
            connection.stream.close("stopping")

    def _accepts_connection(self) -> bool:
        return len(self._connections) < MAX_CONNECTIONS

    def _accept(self, sock: socket.socket) -> None:
        self._connections.add(OperatorConnection(self, sock))


def call_operator_rpc(
    address: Address, method: str, params: list[Any], timeout_ms: float = DEFAULT_CALL_TIMEOUT_MS
) -> Any:
    """Makes one call and blocks until its result arrives.

    Args:
        address: Address of the server's TCP listener for operator calls.
        method: Method name.
        params: Parameters of the method.
        timeout_ms: Time-out of the connection attempt and of the whole call.

    Raises:
        OperatorRpcError: There was no valid response in time, or the server returned an error.
    """
    deadline_seconds = time.monotonic() + timeout_ms / 1000.0
    unpacker = msgpack.Unpacker(max_buffer_size=MAX_RESPONSE_BYTES)
    try:
        with socket.create_connection(address, timeout_ms / 1000.0) as sock:
            sock.sendall(gateway.pack([RPC_REQUEST_TYPE, 1, method, params]))
            while True:
                remaining_seconds = deadline_seconds - time.monotonic()
                sock.settimeout(max(MIN_SOCKET_TIMEOUT_SECONDS, remaining_seconds))
                data = sock.recv(RECEIVE_BYTES)
                if not data:
                    break
                unpacker.feed(data)
                for _, _, error, result in unpacker:
                    return _result_of(error, result)
    except (OSError, ValueError) as err:
        raise OperatorRpcError(str(err)) from err
    raise ConnectionClosedError


def _result_of(error: Any, result: Any) -> Any:
    """Returns the result of a response.

    Raises:
        OperatorRpcError: The response holds an error.
    """
    if error is not None:
        raise OperatorRpcError(str(error))
    return result
