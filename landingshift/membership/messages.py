"""The messages of the SWIM protocol as types; one message is one datagram, whose bytes `wire` knows."""

from __future__ import annotations

from enum import IntEnum
from math import isfinite
from typing import Annotated, Any

from msgspec import Meta, Struct

Address = tuple[str, int]
"""IPv4 address in dotted form, and port."""
MemberName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,32}$")]
ZoneName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{0,16}$")]
Counter = Annotated[int, Meta(ge=0, le=2**53)]
"""A number that is counted up or drawn at random, exact in every peer's number type."""

MAX_METADATA_COUNT = 8  # entries in one record
MAX_METADATA_MAGNITUDE = 1e12
MAX_GOSSIP_RECORDS = 6  # on one message: with its sender's a datagram stays under an Ethernet frame
MAX_RECORDS_PER_PAGE = 8  # in one message of the anti-entropy
DIGEST_BUCKET_COUNT = 64  # checksums that the anti-entropy compares


class MemberState(IntEnum):
    """The believed state of a member; of the same incarnation the higher state wins.

    Numbers are sent; `name.lower()` is what operators see.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


DEPARTED_STATES = (MemberState.DEAD, MemberState.LEFT)


class MemberRecord(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What is known of one member, in its own words but for `state` and `reported_by`.

    A restarted member is told from its earlier process by `run_id`, without any clock. Sent as an array: the
    order of the fields is part of the protocol.

    Attributes:
        name: Unique in the cluster.
        host: IPv4 address that peers send to.
        port: Port for datagrams and for calls over TCP.
        zone: Failure domain, may be empty.
        run_id: Drawn at random at each start of the process.
        incarnation: Raised by the member itself to refute what others say of it.
        metadata_version: Raised by the member itself with each change of its metadata.
        state: The state that the reporter believes it to be in.
        reported_by: Name of the member that says so, empty where it is the member itself.
        metadata: Figures that the member publishes of itself.
    """

    name: MemberName
    host: Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$")]
    port: Annotated[int, Meta(ge=1, le=65535)]
    zone: ZoneName
    run_id: Counter
    incarnation: Counter
    metadata_version: Counter
    state: MemberState
    reported_by: Annotated[str, Meta(max_length=32)]
    metadata: Annotated[
        dict[Annotated[str, Meta(min_length=1, max_length=8)], float], Meta(max_length=MAX_METADATA_COUNT)
    ]

    @property
    def address(self) -> Address:
        """Where the member has its datagrams and its calls."""
        return self.host, self.port

    @property
    def liveness_precedence(self) -> tuple[int, int, int]:
        """Orders two records of a member by what they say of its life, whatever their metadata."""
        return self.incarnation, self.run_id, self.state

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """Orders two records of a member: the higher one is newer, whoever brought it and whenever."""
        return self.incarnation, self.run_id, self.state, self.metadata_version

    @property
    def has_finite_metadata(self) -> bool:
        """Whether all figures of the metadata are finite and of a sane size."""
        return all(
            isfinite(value) and abs(value) < MAX_METADATA_MAGNITUDE for value in self.metadata.values()
        )


class Ping(Struct, frozen=True):
    """Direct probe.

    Attributes:
        target_name: Member that is meant, empty where only an address is known.
    """

    target_name: str


class Ack(Struct, frozen=True):
    """Answer to a ping; its sequence number is that of the probe."""


class PingRequest(Struct, frozen=True):
    """Asks the receiver to probe a third member (SWIM's ping-req).

    Attributes:
        host: IPv4 address of the target.
        port: Port of the target.
        target_name: Name of the target.
    """

    host: str
    port: int
    target_name: str


class Nack(Struct, frozen=True):
    """The helper is there, and its own probe of the target was not answered in time (Lifeguard)."""


class Gossip(Struct, frozen=True):
    """Nothing but the records that ride on the message."""


class TableDigestMessage(Struct, frozen=True):
    """Checksums of the sender's member table, to be compared by the receiver.

    Attributes:
        bucket_checksums: One for each of `DIGEST_BUCKET_COUNT` buckets.
        wants_digest: Whether the sender wants the receiver's digest where the two differ.
    """

    bucket_checksums: tuple[int, ...]
    wants_digest: bool


class RecordPage(Struct, frozen=True):
    """The records that ride on the message are a page of those that differ."""


class ApplicationPayload(Struct, frozen=True):
    """A message of another package, which checks the body itself.

    Attributes:
        package: Name under which the receiving package has registered.
        body: What it says; lists, numbers, strings and bytes.
    """

    package: str
    body: list[Any]


Payload = Ping | Ack | PingRequest | Nack | Gossip | TableDigestMessage | RecordPage | ApplicationPayload


class Message(Struct, frozen=True):
    """One datagram.

    Attributes:
        payload: What is said or asked.
        sender: The sender's own record.
        sequence_number: Number of the probe that the message belongs to, 0 for none.
        gossip: Records of other members that ride on it.
    """

    payload: Payload
    sender: MemberRecord
    sequence_number: int
    gossip: list[MemberRecord]
