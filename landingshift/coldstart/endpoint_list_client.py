"""Client of the list service. The list service returns the addresses of a cluster's members.

The MessagePack-RPC method `list` takes the cluster name and returns `[[host, port], ...]`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated

import msgspec
from msgspec import Meta

from landingshift.membership.messages import Address
from landingshift.net.protocol.gateway import pack
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Stream, connect

METHOD = "list"
RPC_REQUEST_TYPE = 0  # message type of a request in MessagePack-RPC
RPC_RESPONSE_TYPE = 1  # message type of a response in MessagePack-RPC
REQUEST_NUMBER = 1
MAX_UNSENT_BYTES = 1 << 16
MAX_RESPONSE_BYTES = 1 << 17
MAX_ENDPOINT_COUNT = 1024

Endpoint = tuple[
    Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$")], Annotated[int, Meta(ge=1, le=65535)]
]
_decoder = msgspec.msgpack.Decoder(
    tuple[int, int, object, Annotated[list[Endpoint], Meta(max_length=MAX_ENDPOINT_COUNT)] | None]
)

ResultHandler = Callable[[list[Address], str], None]
"""Called after a success with the endpoints and "", after a failure with an empty list and the reason."""


class EndpointListRequest:
    """One poll of the list service.

    The constructor sends the request. `on_result` is called once, unless the poll is cancelled first.
    """

    def __init__(self, loop: Loop, address: Address, cluster_name: str, on_result: ResultHandler) -> None:
        self._on_result: ResultHandler | None = on_result
        self._received = bytearray()
        stream = connect(loop, address, self, MAX_UNSENT_BYTES)
        self._stream = stream if isinstance(stream, Stream) else None
        if isinstance(stream, Stream):
            stream.write(pack([RPC_REQUEST_TYPE, REQUEST_NUMBER, METHOD, [cluster_name]]))
        else:
            loop.after(0.0, lambda: self._finish([], stream))

    def on_data(self, data: bytes) -> None:
        """Handle received bytes; report the result once the response is complete or invalid."""
        self._received += data
        try:
            rpc_type, number, error, endpoints = _decoder.decode(bytes(self._received))
        except msgspec.ValidationError:
            self._close("bad_answer")
            return
        except msgspec.DecodeError:  # the response is still incomplete
            if len(self._received) > MAX_RESPONSE_BYTES:
                self._close("oversized")
            return
        is_expected = (rpc_type, number) == (RPC_RESPONSE_TYPE, REQUEST_NUMBER)
        if not is_expected or error is not None or endpoints is None:
            self._close("error")
            return
        self._finish(list(endpoints), "")
        self._close("answered")

    def on_eof(self) -> None:
        """Close the connection after the service has closed its side."""
        self._close("closed")

    def on_closed(self, reason: str) -> None:
        """Report a failure if the connection was closed before a result was reported."""
        self._stream = None
        self._finish([], reason)

    def cancel(self) -> None:
        """End the poll without calling `on_result`."""
        self._on_result = None
        self._close("cancelled")

    def _close(self, reason: str) -> None:
        if self._stream is not None:
            self._stream.close(reason)

    def _finish(self, endpoints: list[Address], reason: str) -> None:
        on_result = self._on_result
        self._on_result = None
        if on_result is not None:
            on_result(endpoints, reason)
