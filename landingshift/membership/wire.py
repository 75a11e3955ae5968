"""Encoding of datagrams as MessagePack-RPC notifications.

A datagram is the array `[2, kind, [cluster name, sequence number, sender's record, body, gossip records]]`.
Only this module knows the names of the message kinds on the wire and the layout of their bodies.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from landingshift.membership.errors import DatagramRejection, InvalidDatagramError
from landingshift.membership.messages import (
    DIGEST_BUCKET_COUNT,
    MAX_RECORDS_PER_PAGE,
    Ack,
    ApplicationPayload,
    Gossip,
    MemberRecord,
    MemberState,
    Message,
    Nack,
    Payload,
    Ping,
    PingRequest,
    RecordPage,
    TableDigestMessage,
    UInt53,
)

MAX_DATAGRAM_BYTES = 4096
RPC_NOTIFICATION_TYPE = 2  # MessagePack-RPC type of a message that expects no response

WIRE_NAMES: dict[type[Payload], str] = {
    Ping: "ping",
    Ack: "ack",
    PingRequest: "ask",
    Nack: "nack",
    Gossip: "news",
    TableDigestMessage: "sums",
    RecordPage: "part",
    ApplicationPayload: "package",
}
KNOWN_KINDS = frozenset(WIRE_NAMES.values())
BODYLESS_PAYLOADS: dict[str, Payload] = {
    "ack": Ack(),
    "nack": Nack(),
    "news": Gossip(),
    "part": RecordPage(),
}


class Params(Struct, array_like=True, forbid_unknown_fields=True):
    """Parameters of a notification, in wire order."""

    cluster_name: Annotated[str, Meta(max_length=64)]
    sequence_number: UInt53
    sender: MemberRecord
    body: Annotated[list[Any], Meta(max_length=DIGEST_BUCKET_COUNT + 1)]
    gossip: Annotated[list[MemberRecord], Meta(max_length=MAX_RECORDS_PER_PAGE)]


_decoder = msgspec.msgpack.Decoder(tuple[int, Annotated[str, Meta(max_length=8)], Params])
_encoder = msgspec.msgpack.Encoder()


def encode(cluster_name: str, message: Message) -> bytes:
    """Encodes a message as one datagram."""
    body = _encode_body(message.payload)
    params = Params(cluster_name, message.sequence_number, message.sender, body, message.gossip)
    return _encoder.encode((RPC_NOTIFICATION_TYPE, WIRE_NAMES[type(message.payload)], params))


def decode(cluster_name: str, data: bytes) -> Message:
    """Decodes and validates one datagram.

    The body of an `ApplicationPayload` is left for the receiving package to validate.

    Raises:
        InvalidDatagramError: The datagram is not a valid message of this cluster.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise InvalidDatagramError(DatagramRejection.OVERSIZED)
    try:
        rpc_type, kind, params = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise InvalidDatagramError(DatagramRejection.UNDECODABLE) from error
    if rpc_type != RPC_NOTIFICATION_TYPE or kind not in KNOWN_KINDS:
        raise InvalidDatagramError(DatagramRejection.UNKNOWN_KIND)
    if params.cluster_name != cluster_name:
        raise InvalidDatagramError(DatagramRejection.OTHER_CLUSTER)
    if not _are_records_valid(params.sender, params.gossip):
        raise InvalidDatagramError(DatagramRejection.INVALID_RECORD)
    payload = _decode_body(kind, params.body)
    return Message(payload, params.sender, params.sequence_number, params.gossip)


def _are_records_valid(sender: MemberRecord, gossip: list[MemberRecord]) -> bool:
    """Returns whether the sender's record has the state ALIVE and all records have valid metadata."""
    if sender.state is not MemberState.ALIVE or not sender.has_valid_metadata:
        return False
    return all(record.has_valid_metadata for record in gossip)


def _encode_body(payload: Payload) -> list[Any]:
    """Converts a payload to the list that is sent as the body."""
    match payload:
        case Ping(target_name):
            return [target_name]
        case PingRequest(host, port, target_name):
            return [host, port, target_name]
        case TableDigestMessage(bucket_checksums, wants_digest):
            return [*bucket_checksums, int(wants_digest)]
        case ApplicationPayload(package, body):
            return [package, *body]
        case _:
            return []


def _decode_body(kind: str, body: list[Any]) -> Payload:
    """Converts the body of a message of the given kind to a payload.

    Raises:
        InvalidDatagramError: The body does not have the layout of this kind.
    """
    match kind, body:
        case "ping", [str(target_name)]:
            return Ping(target_name)
        case "ask", [str(host), int(port), str(target_name)] if 0 < port < 65536:
            return PingRequest(host, port, target_name)
        case "package", [str(package), *application_body]:
            return ApplicationPayload(package, application_body)
        case "sums", [*bucket_checksums, wants_digest] if _is_digest_body(body):
            return TableDigestMessage(tuple(bucket_checksums), bool(wants_digest))
        case _, [] if kind in BODYLESS_PAYLOADS:
            return BODYLESS_PAYLOADS[kind]
    raise InvalidDatagramError(DatagramRejection.INVALID_BODY)


def _is_digest_body(body: list[Any]) -> bool:
    return len(body) == DIGEST_BUCKET_COUNT + 1 and all(isinstance(number, int) for number in body)
