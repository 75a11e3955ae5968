"""One question to the list service: MessagePack-RPC `list(fleet)`, answered by `[[host, port], ...]`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated

import msgspec
from msgspec import Meta

from landingshift.membership.messages import Address
from landingshift.net.protocol.gateway import pack
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Stream, connect

BOUND = 1 << 16
LARGEST = 1 << 17  # bytes of an answer
ENTRIES = 1024

Entry = tuple[
    Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$")], Annotated[int, Meta(ge=1, le=65535)]
]
decoder = msgspec.msgpack.Decoder(
    tuple[int, int, object, Annotated[list[Entry], Meta(max_length=ENTRIES)] | None]
)


class EndpointListRequest:
    """`told(addresses, "")` or `told([], why)`, once; `cancel` ends it without a word."""

    def __init__(
        self, loop: Loop, address: Address, fleet: str, told: Callable[[list[Address], str], None]
    ) -> None:
        self.told: Callable[[list[Address], str], None] | None = told
        self.data_so_far = bytearray()
        stream = connect(loop, address, self, BOUND)
        self.stream = stream if isinstance(stream, Stream) else None
        if isinstance(stream, Stream):
            stream.write(pack([0, 1, "list", [fleet]]))
        else:
            loop.after(0.0, lambda: self.tell([], stream))

    def on_data(self, data: bytes) -> None:
        self.data_so_far += data
        try:
            kind, number, error, entries = decoder.decode(bytes(self.data_so_far))
        except msgspec.ValidationError:
            self.end("bad_answer")
            return
        except msgspec.DecodeError:  # not whole yet
            if len(self.data_so_far) > LARGEST:
                self.end("oversized")
            return
        if (kind, number) != (1, 1) or error is not None or entries is None:
            self.end("error")
            return
        self.tell(list(entries), "")
        self.end("answered")

    def end(self, reason: str) -> None:
        if self.stream is not None:
            self.stream.close(reason)

    def on_eof(self) -> None:
        self.end("closed")

    def on_closed(self, reason: str) -> None:
        self.stream = None
        self.tell([], reason)

    def tell(self, addresses: list[Address], why: str) -> None:
        told, self.told = self.told, None
        if told is not None:
            told(addresses, why)

    def cancel(self) -> None:
        self.told = None
        self.end("cancelled")
