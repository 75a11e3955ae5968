"""Datagrams: MessagePack-RPC notifications, `[2, kind, [fleet, number, sender, body, news]]`."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from landingshift.membership.messages import (
    DIGEST_BUCKET_COUNT,
    MAX_RECORDS_PER_PAGE,
    Counter,
    MemberRecord,
    MemberState,
    Message,
    MessageKind,
)

LARGEST = 4096  # bytes of a datagram that is looked at
NAMES = {kind: kind.name.lower() for kind in MessageKind}
KINDS = {name: kind for kind, name in NAMES.items()}


class Broken(Exception):
    """What came is no message of this fleet; the text is the reason code."""


class Params(Struct, array_like=True, forbid_unknown_fields=True):
    fleet: Annotated[str, Meta(max_length=64)]
    number: Counter
    sender: MemberRecord
    body: Annotated[list[Any], Meta(max_length=DIGEST_BUCKET_COUNT + 1)]
    news: Annotated[list[MemberRecord], Meta(max_length=MAX_RECORDS_PER_PAGE)]


decoder = msgspec.msgpack.Decoder(tuple[int, Annotated[str, Meta(max_length=8)], Params])
encode_any = msgspec.msgpack.Encoder().encode


def encode(fleet: str, message: Message) -> bytes:
    params = Params(fleet, message.number, message.sender, message.body, message.news)
    return encode_any((2, NAMES[message.kind], params))


def decode(fleet: str, data: bytes) -> Message:
    """Raises Broken; nothing that any bytes may hold gets past it unchecked but the bodies of packages."""
    if len(data) > LARGEST:
        raise Broken("oversized")
    try:
        two, name, params = decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as err:
        raise Broken("garbage") from err
    kind = KINDS.get(name)
    if two != 2 or kind is None:
        raise Broken("bad_message")
    if params.fleet != fleet:
        raise Broken("other_fleet")
    sender = params.sender
    if (
        sender.state is not MemberState.ALIVE
        or not sender.has_finite_metadata
        or not all(r.has_finite_metadata for r in params.news)
    ):
        raise Broken("bad_record")
    if not fits(kind, params.body):
        raise Broken("bad_body")
    return Message(kind, sender, params.number, params.body, params.news)


def fits(kind: MessageKind, body: list[Any]) -> bool:
    match kind, body:
        case (MessageKind.PING, [str()]) | (MessageKind.PACKAGE, [str(), *_]):
            return True
        case MessageKind.ASK, [str(), int(port), str()]:
            return 0 < port < 65536
        case MessageKind.SUMS, _:
            return len(body) == DIGEST_BUCKET_COUNT + 1 and all(isinstance(s, int) for s in body)
        case ((MessageKind.ACK | MessageKind.NACK | MessageKind.NEWS | MessageKind.PART), []):
            return True
    return False
