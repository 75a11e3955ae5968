"""SWIM's failure detector with Lifeguard's extensions.

Each interval, one member is pinged. If it sends no ack, a few intermediaries are asked to ping it (ping-req).
If no ack arrives through them either, the pinged member becomes a suspect. A suspect is declared dead unless
it refutes the suspicion within the suspicion time-out.

Guarantee: if at least one other member can reach a suspect, and the suspect answers within the suspicion
time-out, no member declares the suspect dead, except a member whose own process is delayed. The time to
declare a failed member dead grows with the logarithm of the cluster size.
Failure mode: in a network partition, the members on each side declare those on the other side dead. `rejoin`
merges the two sides after the partition.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec.structs import replace

from landingshift.membership.local_health import LocalHealth, suspicion_timeout_ms
from landingshift.membership.member_table import Member
from landingshift.membership.messages import (
    DEPARTED_STATES,
    Ack,
    Address,
    MemberRecord,
    MemberState,
    Message,
    Nack,
    Ping,
    PingRequest,
)
from landingshift.membership.node_context import NodeContext

PING_REQUEST_FANOUT = 3  # intermediaries that are asked to ping a member that sent no ack
MAX_INDIRECT_PROBES = 64  # concurrent probes on behalf of other members
# Suspects are not checked after each datagram, because the loss of a zone can leave too many of them.
SUSPECT_CHECK_INTERVAL_MS = 50.0
PROBE_DURATION_FRACTION = 0.95  # of the probe interval, so that a probe ends before the next one is due


@dataclass(slots=True, eq=False)
class Probe:
    """A probe that this member started for itself; there is at most one at a time.

    Attributes:
        sequence_number: Sequence number of the ping, which acks and nacks repeat.
        target_name: Name of the probed member.
        ping_request_at_ms: Time at which ping-reqs are sent.
        ends_at_ms: Time at which the target becomes a suspect.
        has_sent_ping_requests: Whether the time to send ping-reqs has passed.
        ping_request_count: Number of ping-reqs sent.
        missing_nack_count: Number of ping-reqs that have not been answered with a nack.
    """

    sequence_number: int
    target_name: str
    ping_request_at_ms: float
    ends_at_ms: float
    has_sent_ping_requests: bool = False
    ping_request_count: int = 0
    missing_nack_count: int = 0

    @property
    def next_deadline_ms(self) -> float:
        """Time at which the next step of the probe is due."""
        return self.ends_at_ms if self.has_sent_ping_requests else self.ping_request_at_ms


@dataclass(slots=True, eq=False)
class IndirectProbe:
    """A probe on behalf of another member, the requester.

    Attributes:
        requester_sequence_number: Sequence number of the requester's probe, which the ack or nack repeats.
        requester: Address that the ack or nack is sent to.
        nack_at_ms: Time at which a nack is sent if the target has sent no ack.
    """

    requester_sequence_number: int
    requester: Address
    nack_at_ms: float


class FailureDetector:
    """Probes other members, for itself and on behalf of others, and tracks suspects.

    Attributes:
        local_health: This member's local health score.
        indirect_probes: Probes on behalf of other members, keyed by the sequence number of the ping.
    """

    def __init__(self, context: NodeContext, now_ms: float, first_probe_ms: float) -> None:
        self._context = context
        self.local_health = LocalHealth()
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self._probe: Probe | None = None
        self._probe_order: list[str] = []  # shuffled names of the next targets, taken from the end
        self._next_probe_ms = first_probe_ms
        self._suspects: dict[str, None] = {}
        self._next_suspect_check_ms = now_ms

    def next_deadline_ms(self) -> float:
        """Returns the time at which `on_timer` is next due."""
        deadline_ms = self._next_probe_ms
        if self._probe is not None:
            deadline_ms = min(deadline_ms, self._probe.next_deadline_ms)
        for indirect_probe in self.indirect_probes.values():
            deadline_ms = min(deadline_ms, indirect_probe.nack_at_ms)
        if self._suspects:
            deadline_ms = min(deadline_ms, self._next_suspect_check_ms)
        return deadline_ms

    def on_timer(self, now_ms: float, is_leaving: bool) -> None:
        """Runs the due steps of probes and suspicions; starts no new probe if this member is leaving."""
        self._expire_indirect_probes(now_ms)
        if now_ms >= self._next_suspect_check_ms:
            self._next_suspect_check_ms = now_ms + SUSPECT_CHECK_INTERVAL_MS
            self._declare_expired_suspects_dead(now_ms)
        if self._probe is not None:
            self._continue_probe(self._probe, now_ms)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = (
                now_ms + self._context.timings.probe_interval_ms * self.local_health.multiplier
            )
            if not is_leaving and self._probe is None:
                self._start_probe(now_ms)

    def on_local_pause(self, pause_ms: float) -> None:
        """Compensates for a pause of this member's own process.

        Messages that arrived during the pause might be lost. The deadlines of all probes and suspicions are
        therefore postponed by the length of the pause, and the local health score is raised.
        """
        self.local_health.degrade(1 + int(pause_ms / self._context.timings.probe_interval_ms))
        if self._probe is not None:
            self._probe.ping_request_at_ms += pause_ms
            self._probe.ends_at_ms += pause_ms
        for indirect_probe in self.indirect_probes.values():
            indirect_probe.nack_at_ms += pause_ms
        for name in self._suspects:
            self._context.member_table.members[name].state_since_ms += pause_ms

    def on_state_change(self, member: Member, previous_state: MemberState | None, now_ms: float) -> None:
        """Updates the suspects and the probe order after a change of a member's record."""
        record = member.record
        if record.state is MemberState.SUSPECT:
            if not self._suspects:
                self._next_suspect_check_ms = now_ms + SUSPECT_CHECK_INTERVAL_MS
            self._suspects[record.name] = None
        else:
            self._suspects.pop(record.name, None)
        has_joined = previous_state is None or previous_state in DEPARTED_STATES
        if record.state is MemberState.ALIVE and has_joined:
            # Insert at a random position: if many members start together, others should not all probe them
            # in the same order.
            self._probe_order.insert(self._context.rng.randint(0, len(self._probe_order)), record.name)

    def on_ack(self, sequence_number: int) -> None:
        """Ends this member's probe, or forwards the ack to the requester of an indirect probe.

        A probe ends with an ack from its target or from an intermediary, as both carry its sequence number.
        """
        indirect_probe = self.indirect_probes.pop(sequence_number, None)
        if indirect_probe is not None:
            self._context.outbox.send(
                indirect_probe.requester, Ack(), indirect_probe.requester_sequence_number
            )
        if self._probe is not None and self._probe.sequence_number == sequence_number:
            self._probe = None
            self.local_health.improve()

    def on_nack(self, sequence_number: int) -> None:
        """Counts a nack, which shows that this member and an intermediary can reach each other."""
        if self._probe is not None and self._probe.sequence_number == sequence_number:
            self._probe.missing_nack_count = max(0, self._probe.missing_nack_count - 1)

    def on_ping_request(self, message: Message, request: PingRequest, now_ms: float) -> None:
        """Pings a third member for the sender, unless too many indirect probes are in progress."""
        if len(self.indirect_probes) >= MAX_INDIRECT_PROBES:
            return
        sequence_number = next(self._context.sequence_numbers)
        timeout_ms = min(self._context.timings.ack_timeout_ms, self._context.timings.probe_interval_ms / 2.0)
        self.indirect_probes[sequence_number] = IndirectProbe(
            message.sequence_number, message.sender.address, now_ms + timeout_ms
        )
        self._context.outbox.send((request.host, request.port), Ping(request.target_name), sequence_number)

    # Probes

    def _expire_indirect_probes(self, now_ms: float) -> None:
        """Ends the indirect probes that timed out, and sends a nack to the requester of each."""
        expired = [number for number, probe in self.indirect_probes.items() if probe.nack_at_ms <= now_ms]
        for number in expired:
            indirect_probe = self.indirect_probes.pop(number)
            self._context.outbox.send(
                indirect_probe.requester, Nack(), indirect_probe.requester_sequence_number
            )

    def _start_probe(self, now_ms: float) -> None:
        name = self._next_target()
        if name is None:
            return
        record = self._context.member_table.members[name].record
        sequence_number = next(self._context.sequence_numbers)
        multiplier = self.local_health.multiplier
        ping_request_at_ms = now_ms + self._context.timings.ack_timeout_ms * multiplier
        duration_ms = self._context.timings.probe_interval_ms * multiplier * PROBE_DURATION_FRACTION
        self._probe = Probe(sequence_number, name, ping_request_at_ms, now_ms + duration_ms)
        # The ping to a suspect carries the suspicion, so that the suspect learns of it and can refute it.
        suspicion = record if record.state is MemberState.SUSPECT else None
        gossip = self._context.member_table.select_gossip(suspicion)
        self._context.outbox.send(record.address, Ping(name), sequence_number, gossip)

    def _next_target(self) -> str | None:
        """Returns the name of the next target, or None if no other member is present.

        A shuffled round robin bounds the time until each member is probed.
        """
        for _ in range(2):
            while self._probe_order:
                name = self._probe_order.pop()
                if name in self._context.member_table.present_index:
                    return name
            self._probe_order = list(self._context.member_table.present_names)
            self._context.rng.shuffle(self._probe_order)
        return None

    def _continue_probe(self, probe: Probe, now_ms: float) -> None:
        """Sends the ping-reqs if they are due, and ends the probe if its time is over."""
        target = self._context.member_table.record(probe.target_name)
        if not probe.has_sent_ping_requests and now_ms >= probe.ping_request_at_ms:
            probe.has_sent_ping_requests = True
            if target is not None:
                self._send_ping_requests(probe, target)
        if now_ms >= probe.ends_at_ms:
            self._on_probe_failed(probe, target, now_ms)

    def _send_ping_requests(self, probe: Probe, target: MemberRecord) -> None:
        request = PingRequest(target.host, target.port, target.name)
        for intermediary in self._context.member_table.sample(
            self._context.rng, PING_REQUEST_FANOUT, (probe.target_name,)
        ):
            probe.ping_request_count += 1
            probe.missing_nack_count += 1
            self._context.outbox.send(intermediary.address, request, probe.sequence_number)

    def _on_probe_failed(self, probe: Probe, target: MemberRecord | None, now_ms: float) -> None:
        """Marks the target as a suspect, and raises the local health score if this member might be at fault.

        It might be at fault if nacks are missing or no ping-req was sent. If every intermediary sent a nack,
        it is healthy. Its score must then not rise, as otherwise the loss of a zone would slow down its
        probes more and more.
        """
        self._probe = None
        some_missing = probe.missing_nack_count > 0
        all_missing = probe.missing_nack_count == probe.ping_request_count
        self.local_health.degrade(some_missing + all_missing)
        if target is not None and target.state not in DEPARTED_STATES:
            self._merge_local_observation(target, MemberState.SUSPECT, now_ms)

    # Suspicions

    def _declare_expired_suspects_dead(self, now_ms: float) -> None:
        expired = [name for name in self._suspects if self._suspicion_ends_at_ms(name) <= now_ms]
        for name in expired:
            self._declare_dead(name, now_ms)

    def _suspicion_ends_at_ms(self, name: str) -> float:
        """Returns the time at which a suspect is declared dead unless the suspicion is refuted."""
        member = self._context.member_table.members[name]
        timeout_ms = suspicion_timeout_ms(
            self._context.timings.min_suspicion_ms,
            member_count=len(self._context.member_table.present_names) + 1,
            confirmation_count=max(0, len(member.accusers) - 1),
            multiplier=self.local_health.multiplier,
        )
        return member.state_since_ms + timeout_ms

    def _declare_dead(self, name: str, now_ms: float) -> None:
        """Declares a suspect dead, and keeps its address for `Rejoin`, as it might only be unreachable."""
        member = self._context.member_table.members[name]
        self._context.contacts.add([member.record.address])
        silent_ms = round(now_ms - member.state_since_ms)
        self._context.log(
            "fleet_dead", name=name, silent_ms=silent_ms, local_health_score=self.local_health.score
        )
        self._merge_local_observation(member.record, MemberState.DEAD, now_ms)

    def _merge_local_observation(self, record: MemberRecord, state: MemberState, now_ms: float) -> None:
        """Merges another member's record with a state that this member has determined itself."""
        local_name = self._context.member_table.local_record.name
        self._context.member_table.merge(replace(record, state=state, reported_by=local_name), now_ms)
