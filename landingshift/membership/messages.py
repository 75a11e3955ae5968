"""What servers say to each other, as types. One message is one datagram; `wire.py` has the bytes."""

from __future__ import annotations

from enum import IntEnum
from math import isfinite
from typing import Annotated, Any

from msgspec import Meta, Struct

Address = tuple[str, int]
MemberName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,32}$")]
ZoneName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{0,16}$")]
Counter = Annotated[int, Meta(ge=0, le=2**53)]
MAX_METADATA_COUNT = 8  # in a record
MAX_GOSSIP_RECORDS = (
    6  # records that ride on a message: with its sender's a datagram stays under an Ethernet frame
)
MAX_RECORDS_PER_PAGE = 8  # records of one answer of the anti-entropy
DIGEST_BUCKET_COUNT = 64  # buckets that the anti-entropy compares


class MemberState(IntEnum):
    """Of the same incarnation the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


DEPARTED_STATES = (MemberState.DEAD, MemberState.LEFT)


class MemberRecord(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What is known of one server, in its own words but for `state` and `by`.

    `run` is a number drawn at each start, `incarnation` rises when the server has to contradict what is said
    of it, `version` when its facts change: a restarted server is told from its earlier self without a clock.
    """

    name: MemberName
    host: Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$")]
    port: Annotated[int, Meta(ge=1, le=65535)]
    zone: ZoneName
    run_id: Counter
    incarnation: Counter
    metadata_version: Counter
    state: MemberState
    reported_by: Annotated[str, Meta(max_length=32)]  # who says so, where it is not the server itself
    metadata: Annotated[
        dict[Annotated[str, Meta(min_length=1, max_length=8)], float], Meta(max_length=MAX_METADATA_COUNT)
    ]

    @property
    def address(self) -> Address:
        return self.host, self.port

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """The higher of two records of a name is the newer one, whoever brought it and whenever."""
        return self.incarnation, self.run_id, self.state, self.metadata_version

    @property
    def has_finite_metadata(self) -> bool:
        return all(isfinite(v) and abs(v) < 1e12 for v in self.metadata.values())


class MessageKind(IntEnum):
    PING = 0  # body: the name it is meant for, "" where only the address is known
    ACK = 1
    ASK = 2  # body: host, port and name of the one to probe for the asker
    NACK = 3  # the helper was there and heard nothing from the one it probed
    NEWS = 4
    SUMS = 5  # body: the sums of all buckets, and whether the other side's are wanted
    PART = 6  # the news are a page of the records that differ
    PACKAGE = 7  # body: the kind of a message of another package, and what it says


class Message(Struct, frozen=True):
    kind: MessageKind
    sender: MemberRecord
    number: int  # of the probe it belongs to
    body: list[Any]
    news: list[MemberRecord]
