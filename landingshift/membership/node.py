"""SWIM node: one member's failure detector, gossip, anti-entropy and rejoining.

The module does no I/O. A driver passes in messages and the time, sends the outgoing messages, and calls
`on_timer` at the next deadline. `MembershipService` is the driver on a server's event loop; other drivers run
nodes in virtual time.

Guarantee: members that can reach each other converge on the same set of members. A member learns of false
claims about itself and refutes them.
Failure mode: two processes with the same name refute each other's records forever; this is logged.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any

from msgspec.structs import replace

from landingshift.membership.anti_entropy import AntiEntropy
from landingshift.membership.contact_addresses import ContactAddresses
from landingshift.membership.dissemination import GOSSIP_INTERVAL_MS, GossipRounds
from landingshift.membership.duplicate_names import DuplicateNameDetector
from landingshift.membership.failure_detector import PING_REQUEST_FANOUT, FailureDetector
from landingshift.membership.local_health import LocalHealth
from landingshift.membership.member_table import Member, MemberTable, StateObserver
from landingshift.membership.messages import (
    DEPARTED_STATES,
    Ack,
    Address,
    ApplicationPayload,
    Gossip,
    MemberRecord,
    MemberState,
    Message,
    Nack,
    Ping,
    PingRequest,
    RecordPage,
    TableDigestMessage,
)
from landingshift.membership.node_context import NodeContext
from landingshift.membership.outbox import Outbox
from landingshift.membership.rejoin import ANY_MEMBER, Rejoin
from landingshift.membership.timings import SwimTimings
from landingshift.membership.token_bucket import TokenBucket

LOCAL_PAUSE_THRESHOLD_MS = 100.0  # a timer that is late by more than this shows that the process was paused
REPLIES_PER_SECOND = 200.0  # limit for replies to digests, ping-reqs and outdated records
METADATA_INTERVAL_MS = 500.0  # minimum interval between two versions of this member's metadata
TABLE_CLEANUP_INTERVAL_MS = 1000.0
LEAVE_FANOUT = 2 * PING_REQUEST_FANOUT  # members that are notified directly when this one leaves

MessageHandler = Callable[[MemberRecord, list[Any]], None]
"""Called with the sender's record and the body of each message for the handler's package."""


class SwimNode:
    """Runs the protocol for one member.

    Attributes:
        now_ms: Time of the last event, by the driver's monotonic clock.
        member_table: Records of all known members.
        outbox: Queue of messages for the driver to send.
        contacts: Addresses at which members might be reachable.
        failure_detector: Probes other members and tracks suspects.
        anti_entropy: Synchronizes the member table with those of other members.
        message_handlers: Handlers of other packages' messages, keyed by package name.
        state_observers: Functions that are called on each change of a member's state, run ID or incarnation.
        has_joined: Whether a message of another member has been received.
        is_leaving: Whether this member has announced that it is leaving.
    """

    def __init__(
        self,
        local_record: MemberRecord,
        contact_addresses: list[Address],
        timings: SwimTimings,
        max_members: int,
        rng: Random,
        now_ms: float,
        log: Callable[..., None],
    ) -> None:
        self.now_ms = now_ms
        self.member_table = MemberTable(local_record, max_members, self._on_state_change)
        self.outbox = Outbox(self.member_table)
        self.contacts = ContactAddresses(contact_addresses)
        self.message_handlers: dict[str, MessageHandler] = {}
        self.state_observers: list[StateObserver] = []
        self.has_joined = False
        self.is_leaving = False
        self._timings, self._rng = timings, rng
        self._reply_limit = TokenBucket(REPLIES_PER_SECOND)
        self._duplicate_names = DuplicateNameDetector(log)
        self._next_metadata_ms = now_ms
        self._next_cleanup_ms = now_ms + TABLE_CLEANUP_INTERVAL_MS
        sequence_numbers = count(rng.getrandbits(32) + 1)
        context = NodeContext(
            self.member_table, self.outbox, self.contacts, timings, rng, sequence_numbers, log
        )
        # The phase is random, so that hundreds of members that start together do not send at the same times.
        first_round_ms = now_ms + timings.probe_interval_ms * rng.random()
        first_gossip_ms = now_ms + GOSSIP_INTERVAL_MS * rng.random()
        self.failure_detector = FailureDetector(context, now_ms, first_round_ms)
        self._gossip_rounds = GossipRounds(context, first_gossip_ms)
        self.anti_entropy = AntiEntropy(context, first_round_ms)
        self._rejoin = Rejoin(context, first_round_ms)

    # Interface for the driver and for other packages

    @property
    def local_record(self) -> MemberRecord:
        """This member's own record."""
        return self.member_table.local_record

    @property
    def local_health(self) -> LocalHealth:
        """This member's local health score."""
        return self.failure_detector.local_health

    def next_deadline_ms(self) -> float:
        """Returns the time at which `on_timer` is next due."""
        return min(
            self.failure_detector.next_deadline_ms(),
            self._gossip_rounds.next_deadline_ms(),
            self.anti_entropy.next_sync_ms,
            self._rejoin.next_attempt_ms,
            self._next_cleanup_ms,
        )

    def take_outgoing(self) -> list[tuple[Address, Message]]:
        """Removes all messages from the outbox and returns them with their receivers."""
        return self.outbox.pop_all()

    def send_to_member(self, name: str, package: str, body: list[Any]) -> bool:
        """Sends a message of another package to one member, as a datagram that may be lost.

        Returns:
            Whether the message was queued; False if no present member has that name.
        """
        record = self.member_table.record(name)
        if record is None or record.state in DEPARTED_STATES:
            return False
        self.outbox.send(record.address, ApplicationPayload(package, list(body)))
        return True

    def publish_metadata(self, now_ms: float, **metadata: float) -> None:
        """Sets the metadata that all messages of this member carry.

        A call less than `METADATA_INTERVAL_MS` after the last change is ignored, not deferred.
        """
        record = self.local_record
        if now_ms >= self._next_metadata_ms and metadata != record.metadata:
            self._next_metadata_ms = now_ms + METADATA_INTERVAL_MS
            version = record.metadata_version + 1
            self.member_table.update_local_record(
                replace(record, metadata_version=version, metadata=metadata)
            )

    def leave(self, now_ms: float) -> None:
        """Announces that this member is leaving; a leaving member starts no probes and refutes no claims."""
        if self.is_leaving:
            return
        self.now_ms = now_ms
        self.is_leaving = True
        left_record = replace(self.local_record, state=MemberState.LEFT)
        for record in self.member_table.sample(self._rng, LEAVE_FANOUT):
            self.outbox.send(record.address, Gossip(), gossip=[left_record])

    def add_contact_addresses(self, addresses: list[Address]) -> None:
        """Adds addresses at which members might be reachable."""
        self.contacts.add(addresses)

    # Message handling

    def on_message(self, message: Message, now_ms: float) -> None:
        """Handles one message that `wire` has decoded and validated."""
        self.now_ms = now_ms
        sender = message.sender
        if sender.name == self.local_record.name:
            if sender.run_id != self.local_record.run_id:
                self._refute(sender)  # an earlier process of this member, or a duplicate of its name
            return
        self._merge(sender)
        new_record_count = sum([self._merge(record) for record in message.gossip])
        if new_record_count and isinstance(message.payload, RecordPage):
            self.anti_entropy.on_new_records(now_ms)
        known = self.member_table.record(sender.name)
        if known is None:
            return  # the table is full
        if not self.has_joined:
            self.has_joined = True
            self.anti_entropy.on_first_contact(now_ms)
        is_outdated = known.liveness_precedence > sender.liveness_precedence
        self._dispatch(message, known, known if is_outdated else None)
        if is_outdated:
            self._correct_outdated_sender(message, known)

    def _dispatch(
        self, message: Message, known: MemberRecord, overriding_record: MemberRecord | None
    ) -> None:
        """Passes a message to the handler of its payload type; drops requests beyond the reply limit.

        Args:
            message: The received message.
            known: Newest known record of the sender.
            overriding_record: `known` if it overrides the sender's record in the message; None otherwise.
        """
        sender = message.sender
        match message.payload:
            case Ping(target_name):
                self._on_ping(message, target_name, overriding_record)
            case Ack():
                self.failure_detector.on_ack(message.sequence_number)
            case Nack():
                self.failure_detector.on_nack(message.sequence_number)
            case PingRequest() as request if self._reply_limit.try_consume(self.now_ms):
                self.failure_detector.on_ping_request(message, request, self.now_ms)
            case TableDigestMessage() as digest if self._reply_limit.try_consume(self.now_ms):
                self.anti_entropy.on_digest(sender.address, digest)
            case ApplicationPayload(package, body) if sender.run_id == known.run_id:
                handler = self.message_handlers.get(package)
                if handler is not None:
                    handler(sender, body)

    def _correct_outdated_sender(self, message: Message, overriding_record: MemberRecord) -> None:
        """Sends a member the record that overrides its own record, so that the member can refute it.

        A ping needs no extra message, because the ack to it already carries the overriding record.
        """
        if not isinstance(message.payload, Ping) and self._reply_limit.try_consume(self.now_ms):
            self.outbox.send(message.sender.address, Gossip(), gossip=[overriding_record])

    def _on_ping(self, message: Message, target_name: str, overriding_record: MemberRecord | None) -> None:
        """Replies to a ping, unless it names another member, which might have had this address earlier."""
        if target_name in (ANY_MEMBER, self.local_record.name):
            gossip = self.member_table.select_gossip(overriding_record)
            self.outbox.send(message.sender.address, Ack(), message.sequence_number, gossip)

    def _merge(self, record: MemberRecord) -> bool:
        """Merges a record of another member, or refutes a false claim about this member.

        Returns:
            Whether the table has changed.
        """
        local_record = self.local_record
        if record.name == local_record.name:
            if record.run_id != local_record.run_id or record.state is not MemberState.ALIVE:
                self._refute(record)
            return False
        return self.member_table.merge(record, self.now_ms)

    def _refute(self, claim: MemberRecord) -> None:
        """Overrides a false claim about this member by raising the local incarnation above the claim's."""
        local_record = self.local_record
        if self.is_leaving or claim.precedence <= local_record.precedence:
            return
        if claim.run_id == local_record.run_id:
            self.local_health.degrade()  # other members got no reply in time, so this member might be slow
        elif claim.state is MemberState.ALIVE and claim.address != local_record.address:
            self._duplicate_names.on_conflict(local_record.name, claim.address, self.now_ms)
        self.member_table.update_local_record(replace(local_record, incarnation=claim.incarnation + 1))

    def _on_state_change(self, member: Member, previous_state: MemberState | None) -> None:
        self.failure_detector.on_state_change(member, previous_state, self.now_ms)
        for observer in self.state_observers:
            observer(member, previous_state)

    # Timers

    def on_timer(self, now_ms: float) -> None:
        """Runs all due timers; first compensates for a pause of the process if the call is late."""
        lateness_ms = now_ms - self.next_deadline_ms()
        self.now_ms = now_ms
        if lateness_ms > LOCAL_PAUSE_THRESHOLD_MS:
            self.failure_detector.on_local_pause(lateness_ms)
        self.failure_detector.on_timer(now_ms, self.is_leaving)
        self._gossip_rounds.on_timer(now_ms)
        self.anti_entropy.on_timer(now_ms)
        self._rejoin.on_timer(now_ms, self.is_leaving)
        if now_ms >= self._next_cleanup_ms:
            self._next_cleanup_ms = now_ms + TABLE_CLEANUP_INTERVAL_MS
            self.member_table.forget_departed(now_ms, self._timings.departed_retention_ms)
