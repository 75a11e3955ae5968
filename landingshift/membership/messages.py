"""Types of the SWIM protocol messages. Each message is one datagram, which `wire` encodes and decodes."""

from __future__ import annotations

from enum import IntEnum
from math import isfinite
from typing import Annotated, Any

from msgspec import Meta, Struct

Address = tuple[str, int]
"""IPv4 address in dotted-decimal form, and port."""
MemberName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,32}$")]
ZoneName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{0,16}$")]
UInt53 = Annotated[int, Meta(ge=0, le=2**53)]
"""Unsigned integer up to 2**53, the range that peers with double-precision numbers represent exactly."""

MAX_METADATA_COUNT = 8  # metadata entries in one record
MAX_METADATA_MAGNITUDE = 1e12
MAX_GOSSIP_RECORDS = 6  # per message; together with the sender's record they fit into one Ethernet frame
MAX_RECORDS_PER_PAGE = 8  # records in one anti-entropy message
DIGEST_BUCKET_COUNT = 64  # checksums in one table digest


class MemberState(IntEnum):
    """State of a member.

    Of two records with the same incarnation and run ID, the one with the higher state overrides the other.
    Messages carry the number; operators see the name in lower case.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


DEPARTED_STATES = (MemberState.DEAD, MemberState.LEFT)


class MemberRecord(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Record of one member. The member itself sets all fields except `state` and `reported_by`.

    `run_id` distinguishes a restarted member from its earlier process without relying on clocks. A record is
    sent as an array, so the order of the fields is part of the protocol.

    Attributes:
        name: Name, unique in the cluster.
        host: IPv4 address that peers send to.
        port: UDP port for messages and TCP port for calls.
        zone: Failure domain; may be empty.
        run_id: Random number drawn at each start of the process.
        incarnation: Counter that the member increases to refute false claims by other members.
        metadata_version: Counter that the member increases with each change of its metadata.
        state: State of the member as reported by `reported_by`.
        reported_by: Name of the member that reported `state`; empty if the member reported it itself.
        metadata: Numbers that the member publishes about itself.
    """

    name: MemberName
    host: Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$")]
    port: Annotated[int, Meta(ge=1, le=65535)]
    zone: ZoneName
    run_id: UInt53
    incarnation: UInt53
    metadata_version: UInt53
    state: MemberState
    reported_by: Annotated[str, Meta(max_length=32)]
    metadata: Annotated[
        dict[Annotated[str, Meta(min_length=1, max_length=8)], float], Meta(max_length=MAX_METADATA_COUNT)
    ]

    @property
    def address(self) -> Address:
        """Address for messages (UDP) and calls (TCP)."""
        return self.host, self.port

    @property
    def liveness_precedence(self) -> tuple[int, int, int]:
        """Sort key like `precedence`, but without the metadata version."""
        return self.incarnation, self.run_id, self.state

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """Sort key: of two records of one member, the one with the greater key overrides the other.

        Who reported a record makes no difference.
        """
        return self.incarnation, self.run_id, self.state, self.metadata_version

    @property
    def has_valid_metadata(self) -> bool:
        """Whether all metadata values are finite and smaller than `MAX_METADATA_MAGNITUDE`."""
        return all(
            isfinite(value) and abs(value) < MAX_METADATA_MAGNITUDE for value in self.metadata.values()
        )


class Ping(Struct, frozen=True):
    """Direct probe of a member, which replies with an `Ack`.

    Attributes:
        target_name: Name of the probed member; empty if only its address is known.
    """

    target_name: str


class Ack(Struct, frozen=True):
    """Reply to a ping, with the same sequence number."""


class PingRequest(Struct, frozen=True):
    """Request to ping a third member on behalf of the sender (SWIM's ping-req).

    Attributes:
        host: IPv4 address of the target.
        port: Port of the target.
        target_name: Name of the target.
    """

    host: str
    port: int
    target_name: str


class Nack(Struct, frozen=True):
    """Reply to a ping-req if the target sent the intermediary no ack in time (from Lifeguard)."""


class Gossip(Struct, frozen=True):
    """Empty payload of a message that only carries gossip records."""


class TableDigestMessage(Struct, frozen=True):
    """Digest of the sender's member table, which the receiver compares with its own.

    Attributes:
        bucket_checksums: Checksums of the `DIGEST_BUCKET_COUNT` buckets.
        wants_digest: Whether the receiver is asked to reply with its own digest if the two digests differ.
    """

    bucket_checksums: tuple[int, ...]
    wants_digest: bool


class RecordPage(Struct, frozen=True):
    """Empty payload of an anti-entropy reply, whose records are in the gossip field of the message."""


class ApplicationPayload(Struct, frozen=True):
    """Message of another package, which validates the body itself.

    Attributes:
        package: Name under which the package has registered its handler.
        body: Content of the message: lists, numbers, strings and bytes.
    """

    package: str
    body: list[Any]


Payload = Ping | Ack | PingRequest | Nack | Gossip | TableDigestMessage | RecordPage | ApplicationPayload


class Message(Struct, frozen=True):
    """One datagram.

    Attributes:
        payload: Content of the message; its type determines the kind of the message on the wire.
        sender: The sender's own record.
        sequence_number: Sequence number of the probe that the message belongs to; 0 if there is none.
        gossip: Piggybacked member records.
    """

    payload: Payload
    sender: MemberRecord
    sequence_number: int
    gossip: list[MemberRecord]
