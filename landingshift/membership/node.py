"""One member of the cluster: wires failure detector, gossip, anti-entropy and rejoining together.

Pure: time, chance and messages come in; messages, log events and the next deadline go out. One driver runs it
on the server's loop, another one in virtual time.

Guarantee: members that can reach each other come to know the same members; each knows what was declared of
itself and refutes what is wrong.
Failure mode: two processes with one name refute each other without end, which is logged.
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
from landingshift.membership.failure_detector import HELPER_COUNT, FailureDetector
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

LOCAL_PAUSE_THRESHOLD_MS = 100.0  # a timer that is later than this shows that the process was paused
REPLIES_PER_SECOND = 200.0  # to digests, ping requests and outdated records
METADATA_INTERVAL_MS = 500.0  # between two versions of this member's own metadata, at least
TABLE_CLEANUP_INTERVAL_MS = 1000.0
LEAVE_FANOUT_COUNT = 2 * HELPER_COUNT  # members that hear directly that this one leaves

MessageHandler = Callable[[MemberRecord, list[Any]], None]
"""Called with the sender and the body of another package's message."""


class SwimNode:
    """One member's part in the protocol.

    Attributes:
        now_ms: Time of the last event, by the driver's monotonic clock.
        member_table: The other members.
        outbox: Messages that wait for the driver.
        contacts: Addresses that may lead to members.
        failure_detector: Probes and suspicions.
        anti_entropy: Comparisons of whole tables.
        message_handlers: By the name of the package whose messages they take.
        state_observers: Called with each change of a member's state or run.
        has_joined: Whether any other member was heard.
        is_leaving: Whether this member has announced that it leaves.
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
        # Each starts its rounds at a time of its own: hundreds that start together must not run in step.
        first_round_ms = now_ms + timings.probe_interval_ms * rng.random()
        first_gossip_ms = now_ms + GOSSIP_INTERVAL_MS * rng.random()
        self.failure_detector = FailureDetector(context, now_ms, first_round_ms)
        self._gossip_rounds = GossipRounds(context, first_gossip_ms)
        self.anti_entropy = AntiEntropy(context, first_round_ms)
        self._rejoin = Rejoin(context, first_round_ms)

    # For the driver and for other packages

    @property
    def local_record(self) -> MemberRecord:
        """This member's own record."""
        return self.member_table.local_record

    @property
    def local_health(self) -> LocalHealth:
        """How far this member trusts its own view."""
        return self.failure_detector.local_health

    def next_deadline_ms(self) -> float:
        """When `on_timer` is due."""
        return min(
            self.failure_detector.next_deadline_ms(),
            self._gossip_rounds.next_deadline_ms(),
            self.anti_entropy.next_sync_ms,
            self._rejoin.next_attempt_ms,
            self._next_cleanup_ms,
        )

    def take_outgoing(self) -> list[tuple[Address, Message]]:
        """Messages that the driver is to send now, with their receivers."""
        return self.outbox.pop_all()

    def send_to_member(self, name: str, package: str, body: list[Any]) -> bool:
        """Sends another package's message to one member; it may be lost like any datagram.

        Returns:
            False where no present member has that name.
        """
        record = self.member_table.record(name)
        if record is None or record.state in DEPARTED_STATES:
            return False
        self.outbox.send(record.address, ApplicationPayload(package, list(body)))
        return True

    def publish_metadata(self, now_ms: float, **metadata: float) -> None:
        """Sets this member's metadata, which rides on all its messages; at most so often."""
        record = self.local_record
        if now_ms >= self._next_metadata_ms and metadata != record.metadata:
            self._next_metadata_ms = now_ms + METADATA_INTERVAL_MS
            version = record.metadata_version + 1
            self.member_table.update_local_record(
                replace(record, metadata_version=version, metadata=metadata)
            )

    def leave(self, now_ms: float) -> None:
        """Announces that this member leaves by its own will; from then on it only answers."""
        if self.is_leaving:
            return
        self.now_ms = now_ms
        self.is_leaving = True
        farewell = replace(self.local_record, state=MemberState.LEFT)
        for record in self.member_table.sample(self._rng, LEAVE_FANOUT_COUNT):
            self.outbox.send(record.address, Gossip(), gossip=[farewell])

    def add_contact_addresses(self, addresses: list[Address]) -> None:
        """Keeps addresses that may lead to members."""
        self.contacts.add(addresses)

    # Messages

    def on_message(self, message: Message, now_ms: float) -> None:
        """Takes one message that `wire` has checked."""
        self.now_ms = now_ms
        sender = message.sender
        if sender.name == self.local_record.name:
            if sender.run_id != self.local_record.run_id:
                self._refute(sender)  # its earlier process, or somebody else with its name
            return
        self._merge(sender)
        new_record_count = sum([self._merge(record) for record in message.gossip])
        if new_record_count and isinstance(message.payload, RecordPage):
            self.anti_entropy.on_new_records(now_ms)
        known = self.member_table.record(sender.name)
        if known is None:
            return  # no room for it in the table
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
        """Hands a message to the part that it is for.

        Args:
            message: What came.
            known: The newest record of its sender.
            overriding_record: A record that overrides the sender's own, if there is one.
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
        """Sends a member the record that overrides its own, as it could never refute that otherwise.

        The ack to a ping carries it already.
        """
        if not isinstance(message.payload, Ping) and self._reply_limit.try_consume(self.now_ms):
            self.outbox.send(message.sender.address, Gossip(), gossip=[overriding_record])

    def _on_ping(self, message: Message, target_name: str, overriding_record: MemberRecord | None) -> None:
        """Answers a probe, unless it is meant for another member that had this address."""
        if target_name in (ANY_MEMBER, self.local_record.name):
            gossip = self.member_table.select_gossip(overriding_record)
            self.outbox.send(message.sender.address, Ack(), message.sequence_number, gossip)

    def _merge(self, record: MemberRecord) -> bool:
        """Takes what is said of a member, itself included; returns whether it was new."""
        local_record = self.local_record
        if record.name == local_record.name:
            if record.run_id != local_record.run_id or record.state is not MemberState.ALIVE:
                self._refute(record)
            return False
        return self.member_table.merge(record, self.now_ms)

    def _refute(self, claim: MemberRecord) -> None:
        """What is said of this member is wrong: a higher incarnation overrides it."""
        local_record = self.local_record
        if self.is_leaving or claim.precedence <= local_record.precedence:
            return
        if claim.run_id == local_record.run_id:
            self.local_health.degrade()  # others did not hear it in time: it may be slow
        elif claim.state is MemberState.ALIVE and claim.address != local_record.address:
            self._duplicate_names.on_conflict(local_record.name, claim.address, self.now_ms)
        self.member_table.update_local_record(replace(local_record, incarnation=claim.incarnation + 1))

    def _on_state_change(self, member: Member, previous_state: MemberState | None) -> None:
        self.failure_detector.on_state_change(member, previous_state, self.now_ms)
        for observer in self.state_observers:
            observer(member, previous_state)

    # Time

    def on_timer(self, now_ms: float) -> None:
        """Does all that is due."""
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
