"""Encoding of the fragments of large messages as MessagePack-RPC calls.

Each fragment is one call of the method `letter`. Its parameters are the fields of `MessageFragment` in order.
Only this module knows the name of the method and the order of the parameters.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from landingshift.membership.errors import MalformedTransferError
from landingshift.membership.messages import MemberRecord
from landingshift.net.protocol.gateway import pack

METHOD = "letter"
RPC_REQUEST_TYPE = 0  # MessagePack-RPC type of a call that expects a response
NOT_A_LIST = "a list is expected"
MAX_FRAGMENT_BYTES = 12_000  # keeps each call within the message size limit of the gateway codec


@dataclass(slots=True, frozen=True)
class MessageFragment:
    """One fragment of a large message.

    Attributes:
        cluster_name: Name of the sender's cluster.
        sender_name: Name of the sending member.
        sender_run_id: Run ID of the sending member.
        package: Name of the package that the message is for.
        transfer_number: Sequence number of the message among the large messages of the sending process.
        fragment_index: Index of the fragment, from 0.
        fragment_count: Number of fragments of the message.
        content: Bytes of the fragment.
    """

    cluster_name: str
    sender_name: str
    sender_run_id: int
    package: str
    transfer_number: int
    fragment_index: int
    fragment_count: int
    content: bytes


def encode_body(body: list[Any]) -> bytes:
    """Encodes the body of a large message, for `encode_calls` to split into fragments."""
    return msgspec.msgpack.encode(body)


def decode_body(data: bytes) -> list[Any]:
    """Decodes the body of a reassembled message.

    Raises:
        MalformedTransferError: The bytes do not encode a list.
    """
    try:
        body = msgspec.msgpack.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedTransferError(str(error)) from error
    if not isinstance(body, list):
        raise MalformedTransferError(NOT_A_LIST)
    return body


def encode_calls(
    cluster_name: str, sender: MemberRecord, package: str, transfer_number: int, packed_body: bytes
) -> list[bytes]:
    """Splits an encoded message body into fragments and encodes one call for each."""
    fragments = [
        packed_body[start : start + MAX_FRAGMENT_BYTES]
        for start in range(0, len(packed_body), MAX_FRAGMENT_BYTES)
    ]
    common_params = [cluster_name, sender.name, sender.run_id, package, transfer_number]
    return [
        pack([RPC_REQUEST_TYPE, index, METHOD, [*common_params, index, len(fragments), fragment]])
        for index, fragment in enumerate(fragments)
    ]


def decode_fragment(params: list[Any]) -> MessageFragment:
    """Converts the parameters of one call to a fragment.

    Raises:
        MalformedTransferError: The parameters do not have the expected types.
    """
    match params:
        case [
            str(cluster_name),
            str(sender_name),
            int(sender_run_id),
            str(package),
            int(transfer_number),
            int(fragment_index),
            int(fragment_count),
            bytes(content),
        ]:
            return MessageFragment(
                cluster_name,
                sender_name,
                sender_run_id,
                package,
                transfer_number,
                fragment_index,
                fragment_count,
                content,
            )
    raise MalformedTransferError
