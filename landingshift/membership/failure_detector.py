"""SWIM's failure detector with Lifeguard's extensions.

Each interval one member is probed. One that does not answer is probed through a few others (ping-req); one
that is still silent becomes a suspect, and dead once nobody, least of all itself, has refuted that in time.

Guarantee: a member that is reachable by anybody and answers within the suspicion time-out is not declared
dead by a member whose own process runs on time; a dead one is declared dead within a time that grows with the
logarithm of the cluster's size.
Failure mode: in a partition each side declares the other dead; `rejoin` brings them together again.
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

HELPER_COUNT = 3  # members that are asked to probe a silent one
MAX_INDIRECT_PROBES = 64  # on behalf of others at a time
SUSPECT_CHECK_INTERVAL_MS = 50.0  # a lost zone is many suspects: not checked at each datagram
PROBE_DURATION_FRACTION = 0.95  # of the interval, so that a probe has ended when the next one is due


@dataclass(slots=True, eq=False)
class Probe:
    """This member's own probe under way.

    Attributes:
        sequence_number: What answers carry.
        target_name: Who is probed.
        ping_request_at_ms: When helpers are asked.
        ends_at_ms: When the target becomes a suspect.
        has_asked_helpers: Whether they were asked.
        helper_count: How many were asked.
        silent_helper_count: How many of them have sent neither an ack nor a nack.
    """

    sequence_number: int
    target_name: str
    ping_request_at_ms: float
    ends_at_ms: float
    has_asked_helpers: bool = False
    helper_count: int = 0
    silent_helper_count: int = 0

    @property
    def next_deadline_ms(self) -> float:
        """When the probe goes on."""
        return self.ends_at_ms if self.has_asked_helpers else self.ping_request_at_ms


@dataclass(slots=True, eq=False)
class IndirectProbe:
    """A probe on behalf of another member.

    Attributes:
        requester_sequence_number: Number of the requester's own probe.
        requester: Where the answer goes.
        nack_at_ms: When the requester is told that the target was silent.
    """

    requester_sequence_number: int
    requester: Address
    nack_at_ms: float


class FailureDetector:
    """Probes of this member and on behalf of others, and the suspicions.

    Attributes:
        local_health: How far this member trusts its own view.
        indirect_probes: Probes on behalf of others, by the sequence number of their pings.
    """

    def __init__(self, context: NodeContext, now_ms: float, first_probe_ms: float) -> None:
        self._context = context
        self.local_health = LocalHealth()
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self._probe: Probe | None = None
        self._probe_order: list[str] = []  # the last one is next; shuffled by each member for itself
        self._next_probe_ms = first_probe_ms
        self._suspects: dict[str, None] = {}
        self._next_suspect_check_ms = now_ms

    # For the node

    def next_deadline_ms(self) -> float:
        """When `on_timer` is due."""
        deadline_ms = self._next_probe_ms
        if self._probe is not None:
            deadline_ms = min(deadline_ms, self._probe.next_deadline_ms)
        for indirect_probe in self.indirect_probes.values():
            deadline_ms = min(deadline_ms, indirect_probe.nack_at_ms)
        if self._suspects:
            deadline_ms = min(deadline_ms, self._next_suspect_check_ms)
        return deadline_ms

    def on_timer(self, now_ms: float, is_leaving: bool) -> None:
        """Does what is due; a member that is leaving starts no probe of its own."""
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
        """This member was paused: what others sent meanwhile may be lost.

        All that runs against others is put off by as much, and this member doubts itself.
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
        """A member came to another state or run."""
        record = member.record
        if record.state is MemberState.SUSPECT:
            if not self._suspects:
                self._next_suspect_check_ms = now_ms + SUSPECT_CHECK_INTERVAL_MS
            self._suspects[record.name] = None
        else:
            self._suspects.pop(record.name, None)
        has_joined = previous_state is None or previous_state in DEPARTED_STATES
        if record.state is MemberState.ALIVE and has_joined:
            # At a random position: members that start together must not all be probed by all in one order.
            self._probe_order.insert(self._context.rng.randint(0, len(self._probe_order)), record.name)

    def on_ack(self, sequence_number: int) -> None:
        """A target has answered, directly or through a helper: both carry the number of the probe."""
        indirect_probe = self.indirect_probes.pop(sequence_number, None)
        if indirect_probe is not None:
            self._context.outbox.send(
                indirect_probe.requester, Ack(), indirect_probe.requester_sequence_number
            )
        if self._probe is not None and self._probe.sequence_number == sequence_number:
            self._probe = None
            self.local_health.improve()

    def on_nack(self, sequence_number: int) -> None:
        """A helper is there, though it did not reach the target."""
        if self._probe is not None and self._probe.sequence_number == sequence_number:
            self._probe.silent_helper_count = max(0, self._probe.silent_helper_count - 1)

    def on_ping_request(self, message: Message, request: PingRequest, now_ms: float) -> None:
        """Probes a third member for the sender, as far as there is room."""
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
        """Tells the requesters of probes that were not answered in time."""
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
        # A suspect must receive the suspicion itself, or it could never refute it.
        suspicion = record if record.state is MemberState.SUSPECT else None
        gossip = self._context.member_table.select_gossip(suspicion)
        self._context.outbox.send(record.address, Ping(name), sequence_number, gossip)

    def _next_target(self) -> str | None:
        """Round robin over a shuffled list: each member is probed within a bounded time."""
        for _ in range(2):
            while self._probe_order:
                name = self._probe_order.pop()
                if name in self._context.member_table.present_index:
                    return name
            self._probe_order = list(self._context.member_table.present_names)
            self._context.rng.shuffle(self._probe_order)
        return None

    def _continue_probe(self, probe: Probe, now_ms: float) -> None:
        """Asks helpers or ends the probe, where that is due."""
        target = self._context.member_table.record(probe.target_name)
        if not probe.has_asked_helpers and now_ms >= probe.ping_request_at_ms:
            probe.has_asked_helpers = True
            if target is not None:
                self._ask_helpers(probe, target)
        if now_ms >= probe.ends_at_ms:
            self._on_probe_failed(probe, target, now_ms)

    def _ask_helpers(self, probe: Probe, target: MemberRecord) -> None:
        request = PingRequest(target.host, target.port, target.name)
        for helper in self._context.member_table.sample(
            self._context.rng, HELPER_COUNT, (probe.target_name,)
        ):
            probe.helper_count += 1
            probe.silent_helper_count += 1
            self._context.outbox.send(helper.address, request, probe.sequence_number)

    def _on_probe_failed(self, probe: Probe, target: MemberRecord | None, now_ms: float) -> None:
        """Suspects the target, and itself where helpers were silent too.

        Where all helpers have answered this member is well, and a zone that is lost must not make it wait
        longer and longer.
        """
        self._probe = None
        some_silent = probe.silent_helper_count > 0
        all_silent = probe.silent_helper_count == probe.helper_count
        self.local_health.degrade(some_silent + all_silent)
        if target is not None and target.state not in DEPARTED_STATES:
            self._merge_local_observation(target, MemberState.SUSPECT, now_ms)

    # Suspicions

    def _declare_expired_suspects_dead(self, now_ms: float) -> None:
        expired = [name for name in self._suspects if self._suspicion_ends_at_ms(name) <= now_ms]
        for name in expired:
            self._declare_dead(name, now_ms)

    def _suspicion_ends_at_ms(self, name: str) -> float:
        """When a suspect that has not refuted counts as dead."""
        member = self._context.member_table.members[name]
        timeout_ms = suspicion_timeout_ms(
            self._context.timings.min_suspicion_ms,
            member_count=len(self._context.member_table.present_names) + 1,
            confirmation_count=max(0, len(member.suspecting_members) - 1),
            multiplier=self.local_health.multiplier,
        )
        return member.state_since_ms + timeout_ms

    def _declare_dead(self, name: str, now_ms: float) -> None:
        """Its address is kept: where it is cut off and not dead, it must be found again."""
        member = self._context.member_table.members[name]
        self._context.contacts.add([member.record.address])
        silent_ms = round(now_ms - member.state_since_ms)
        self._context.log(
            "fleet_dead", name=name, silent_ms=silent_ms, local_health_score=self.local_health.score
        )
        self._merge_local_observation(member.record, MemberState.DEAD, now_ms)

    def _merge_local_observation(self, record: MemberRecord, state: MemberState, now_ms: float) -> None:
        """Enters into the table the state that this member itself believes another one to be in."""
        local_name = self._context.member_table.local_record.name
        self._context.member_table.merge(replace(record, state=state, reported_by=local_name), now_ms)
