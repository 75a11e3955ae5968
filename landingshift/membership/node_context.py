"""State and dependencies that the components of one SWIM node share."""

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
    """Context that the failure detector, gossip rounds, anti-entropy and `Rejoin` of one node share.

    Attributes:
        member_table: Records of all known members.
        outbox: Queue of outgoing messages.
        contacts: Addresses at which members might be reachable.
        timings: Protocol durations.
        rng: The node's only source of randomness.
        sequence_numbers: Sequence numbers for pings; an ack or nack repeats the number of its ping.
        log: Called with an event name and its fields.
    """

    member_table: MemberTable
    outbox: Outbox
    contacts: ContactAddresses
    timings: SwimTimings
    rng: Random
    sequence_numbers: Iterator[int]
    log: Callable[..., None]
