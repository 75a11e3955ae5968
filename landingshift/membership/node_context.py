"""What the parts of one node share."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random

from landingshift.membership.contact_addresses import ContactAddresses
from landingshift.membership.member_table import MemberTable
from landingshift.membership.outbox import Outbox
from landingshift.membership.timings import SwimTimings


@dataclass(slots=True, frozen=True, eq=False)
class NodeContext:
    """The state and the sources that failure detector, gossip, anti-entropy and rejoining work on.

    Attributes:
        member_table: The other members, and this one's own record.
        outbox: Takes outgoing messages.
        contacts: Addresses that may lead to members.
        timings: Durations of the protocol.
        rng: The node's only source of chance.
        sequence_numbers: Numbers for pings; an answer to a number is an answer to that ping.
        log: Called with an event and its fields.
    """

    member_table: MemberTable
    outbox: Outbox
    contacts: ContactAddresses
    timings: SwimTimings
    rng: Random
    sequence_numbers: Iterator[int]
    log: Callable[..., None]
