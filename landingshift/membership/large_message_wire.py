"""Fragments of large messages, as MessagePack-RPC calls.

Each is `letter(fleet, sender, run, package, number, part, parts, bytes)`.

The only place that knows the call's name and the order of its parameters.
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
MAX_FRAGMENT_BYTES = 12_000  # so that each call fits into one message of the codec


@dataclass(slots=True, frozen=True)
class MessageFragment:
    """One fragment of a large message.

    Attributes:
        cluster_name: The sender's cluster.
        sender_name: Name of the sending member.
        sender_run_id: Which process of that name.
        package: Package that the message is for.
        transfer_number: Counts the sender's large messages.
        fragment_index: From 0.
        fragment_count: Fragments of the whole message.
        content: The bytes.
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
    """The whole body of a message, as it is split into fragments."""
    return msgspec.msgpack.encode(body)


def decode_body(data: bytes) -> list[Any]:
    """The body from the bytes of all fragments.

    Raises:
        MalformedTransferError: The bytes are no list.
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
    """One call for each fragment of a message."""
    pages = [
        packed_body[start : start + MAX_FRAGMENT_BYTES]
        for start in range(0, len(packed_body), MAX_FRAGMENT_BYTES)
    ]
    head = [cluster_name, sender.name, sender.run_id, package, transfer_number]
    return [
        pack([RPC_REQUEST_TYPE, index, METHOD, [*head, index, len(pages), page]])
        for index, page in enumerate(pages)
    ]


def decode_fragment(params: list[Any]) -> MessageFragment:
    """The parameters of one call, typed.

    Raises:
        MalformedTransferError: They do not have the expected types.
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
