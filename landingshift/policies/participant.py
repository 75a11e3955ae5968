"""A server as participant of policy changes: by which version it may decide, and how far it is with a change.

The rules that keep decisions by the old and the new version apart:

1. It decides by nothing before the leader has told that it is a member, and which version is in force.
2. Told to prepare, it has the change's policy, has checked it, and from then on decides by the old version
   only for `prepared_lease_ms` after each request that the leader answered with a lease. The leader stops
   granting leases before it has the commit replicated: nobody decides by the old version so long after any
   decided by the new one.
3. It gives that up only on the word of what became of this very change: a late answer from before the change
   was opened must not free it.
4. With `is_standby_when_cut_off` each decision needs a lease, of `lease_ms`, at all times.

A lease counts from when its request was sent, by this server's monotonic clock. Failure mode: cut off while
prepared, it stands aside until a leader tells what became of the change.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from math import inf
from random import Random

from landingshift.policies.leader_discovery import FIRST_RETRY_MS, LeaderDiscovery
from landingshift.policies.messages import (
    MAX_SENT_REASON_CHARS,
    ChangePhase,
    EndedChange,
    LeaseReply,
    LeaseRequest,
    MembershipRefusal,
    Message,
    PolicyRequest,
    PolicyText,
    Redirect,
    StatusPoll,
)
from landingshift.policies.policy_settings import PolicySettings

NEVER_MS = -inf
MAX_ENDED_CHANGE_COUNT = 64  # of which it remembers what became of them
REMEMBERED_REQUEST_COUNT = 16  # requests whose sending times are kept
IDLE_REQUEST_INTERVAL_MS = 2000.0  # between changes, where nothing hangs on it
POLL_SPREAD_MS = 20.0  # over which the answers to a poll are spread
MIN_REQUEST_INTERVAL_MS = 10.0
REQUESTS_PER_LEASE = 4.0  # so that a lease outlives lost requests
MIN_JITTER, MAX_JITTER = 0.8, 1.2  # of an interval, so that servers do not ask in step


class ParticipantState(StrEnum):
    """How far one server is with a change; left only for a later state, or for NONE at its end."""

    NONE = ""
    VALIDATED = "ready"  # it has the policy and could decide by it
    REJECTED = "refused"
    PREPARED = "armed"  # it decides by the old version under leases only


class ChangeParticipant:
    """One server's side of a change.

    Attributes:
        discovery: Finds the leader.
        is_member: Whether the leader has told that it is one.
        refusal_reason: Why the leader does not take it as a member; empty where it does.
        can_become_voter: Whether it has a log file.
        version: In force here; -1 before any was told.
        policy: Of that version.
        latest_version: The newest version that it knows to be in force.
        change_id: The change that it has the policy of; empty for none.
        state: How far it is with that change.
        rejection_reason: Why it can't decide by that policy.
        lease_expiry_ms: When its lease ends, by its own monotonic clock.
        ended_changes: What became of changes that it took part in, newest last.
        last_request_number: Number of the last lease request.
        last_answered_number: Number of the last request whose answer it took.
        request_sent_at_ms: Sending times of the last requests by number.
        next_deadline_ms: When `tick` is due.
        outbox: Receivers and messages that wait to be sent.
    """

    def __init__(
        self,
        run_id: int,
        settings: PolicySettings,
        find_conflict: Callable[[bytes], str],
        rng: Random,
        now_ms: float,
    ) -> None:
        """Starts without any version.

        Args:
            run_id: Which process of that name: drawn anew at each start.
            settings: Alike on all servers.
            find_conflict: Key and reason where this server could not decide by a policy, else empty.
            rng: Spreads requests.
            now_ms: Monotonic clock.
        """
        self._run_id = run_id
        self._settings = settings
        self._find_conflict = find_conflict
        self._rng = rng
        self.outbox: list[tuple[str, Message]] = []
        self.discovery = LeaderDiscovery(settings.voters, rng)
        self.is_member = False
        self.refusal_reason = ""
        self.can_become_voter = False
        self.version = -1
        self.policy = b""
        self.latest_version = -1
        self.change_id = ""
        self.state = ParticipantState.NONE
        self.rejection_reason = ""
        self._change_policy = b""
        self.lease_expiry_ms = now_ms
        self.ended_changes: dict[str, EndedChange] = {}
        self.last_request_number = 0
        self.last_answered_number = 0
        self.request_sent_at_ms: dict[int, float] = {}
        self.next_deadline_ms = now_ms + FIRST_RETRY_MS * rng.random()
        self._last_request_at_ms = NEVER_MS

    # What it may do

    @property
    def needs_lease(self) -> bool:
        """Whether decisions need a lease just now."""
        return self._settings.is_standby_when_cut_off or self.state is ParticipantState.PREPARED

    def may_decide(self, now_ms: float) -> bool:
        """Whether an RPC may be decided now, by `version`."""
        if not self.is_member or self.latest_version > self.version:
            return False
        return now_ms < self.lease_expiry_ms if self.needs_lease else True

    def trust_operator(self, version: int, policy: bytes) -> str:
        """Takes an operator's word for what is in force, where no leader will ever say it.

        Returns:
            Why not; empty where it was taken.
        """
        if self._settings.is_standby_when_cut_off:
            return "it stands aside without a leader: when_cut_off is stand_aside"
        if self.is_member or version < self.version:
            return f"it has version {self.version} from a leader"
        conflict = self._find_conflict(policy) if policy else ""
        if not conflict:
            self.is_member = True
            self.latest_version = version
            self._adopt(version, policy)
        return conflict

    # Lease requests

    def tick(self, now_ms: float) -> None:
        """Sends a lease request if one is due."""
        if now_ms >= self.next_deadline_ms:
            self.send_lease_request(now_ms)

    def send_lease_request(self, now_ms: float) -> None:
        """Tells the leader how far this server is, and asks for a lease."""
        leader = self.discovery.choose_target()
        self.last_request_number += 1
        self.request_sent_at_ms[self.last_request_number] = now_ms
        self.request_sent_at_ms.pop(self.last_request_number - REMEMBERED_REQUEST_COUNT, None)
        self._last_request_at_ms = now_ms
        interval_ms = min(self.discovery.next_retry_ms(), self._request_interval_ms())
        self.next_deadline_ms = now_ms + interval_ms * self._jitter()
        request = LeaseRequest(
            self._run_id,
            self.last_request_number,
            self.version,
            self.change_id,
            self.state.value,
            self.rejection_reason,
            self._settings.fingerprint,
            self.can_become_voter,
        )
        self.outbox.append((leader, request))

    def _request_interval_ms(self) -> float:
        """How often to ask: often enough to keep a lease that is needed, else rarely."""
        is_change_going_on = self.state is not ParticipantState.NONE
        if is_change_going_on or self.latest_version > self.version >= 0:
            return self._prepared_request_interval_ms
        if not self.is_member:
            return FIRST_RETRY_MS
        if self._settings.is_standby_when_cut_off:
            return self._settings.lease_ms / REQUESTS_PER_LEASE
        return IDLE_REQUEST_INTERVAL_MS

    @property
    def _prepared_request_interval_ms(self) -> float:
        return self._settings.prepared_lease_ms / REQUESTS_PER_LEASE

    def _jitter(self) -> float:
        return self._rng.uniform(MIN_JITTER, MAX_JITTER)

    def _request_by(self, at_ms: float) -> None:
        """Brings the next request forward."""
        self.next_deadline_ms = min(self.next_deadline_ms, at_ms)

    def _request_at_once(self, now_ms: float) -> None:
        self._request_by(max(now_ms, self._last_request_at_ms + MIN_REQUEST_INTERVAL_MS))

    # Messages

    def on_message(self, sender: str, message: Message, now_ms: float) -> None:
        """Takes a message for participants; others are ignored."""
        match message:
            case StatusPoll():
                spread_ms = POLL_SPREAD_MS * self._rng.random()
                self._request_by(max(now_ms + spread_ms, self._last_request_at_ms + MIN_REQUEST_INTERVAL_MS))
            case Redirect(number, leader) if number in self.request_sent_at_ms:
                if self.discovery.on_redirected(leader):
                    self._request_at_once(now_ms)
            case MembershipRefusal(number, reason) if number in self.request_sent_at_ms:
                self._on_refusal(reason, now_ms)
            case LeaseReply(number) if number in self.request_sent_at_ms:
                if number > self.last_answered_number:
                    self._on_lease_reply(sender, message, now_ms)
            case PolicyText():
                self._on_policy_text(message, now_ms)

    def _on_refusal(self, reason: str, now_ms: float) -> None:
        self.discovery.on_refused()
        self.refusal_reason = reason[:MAX_SENT_REASON_CHARS]
        self.is_member = False
        self.next_deadline_ms = now_ms + IDLE_REQUEST_INTERVAL_MS

    def _on_lease_reply(self, leader: str, reply: LeaseReply, now_ms: float) -> None:
        self.last_answered_number = reply.number
        self.discovery.on_answered(leader)
        self.discovery.on_voters_received(reply.voters)
        self.next_deadline_ms = now_ms + IDLE_REQUEST_INTERVAL_MS
        self.is_member = reply.is_member
        self.refusal_reason = ""
        self.latest_version = max(self.latest_version, reply.version)
        if reply.ended is not None and reply.ended.change_id == self.change_id:
            self._end_change(reply.ended, reply.version)
        self._request_missing_policies(reply, now_ms)
        self._prepare_if_wanted(reply, now_ms)
        self._extend_lease(reply)
        self._request_by(now_ms + self._request_interval_ms() * self._jitter())

    def _end_change(self, ended: EndedChange, version_in_force: int) -> None:
        """Rule 3: only the end of this very change frees a prepared server."""
        self.ended_changes[ended.change_id] = ended
        if len(self.ended_changes) > MAX_ENDED_CHANGE_COUNT:
            del self.ended_changes[next(iter(self.ended_changes))]
        if ended.version and ended.version == version_in_force == self.version + 1:
            self._adopt(ended.version, self._change_policy)
        self.change_id = ""
        self._change_policy = b""
        self.state = ParticipantState.NONE
        self.rejection_reason = ""

    def _request_missing_policies(self, reply: LeaseReply, now_ms: float) -> None:
        leader = self.discovery.leader
        if self.latest_version > self.version:
            self.outbox.append((leader, PolicyRequest("", self.latest_version)))
            self._request_by(now_ms + self._prepared_request_interval_ms)
        if reply.change_id and not self.change_id:
            self.outbox.append((leader, PolicyRequest(reply.change_id, 0)))
            self._request_by(now_ms + self._prepared_request_interval_ms)

    def _prepare_if_wanted(self, reply: LeaseReply, now_ms: float) -> None:
        """Rule 2: prepared, it decides under short leases only; a longer one that it has is cut."""
        is_wanted = reply.change_id == self.change_id and reply.phase is ChangePhase.PREPARE
        if is_wanted and self.state is ParticipantState.VALIDATED:
            self.state = ParticipantState.PREPARED
            latest_expiry_ms = now_ms + self._settings.prepared_lease_ms
            self.lease_expiry_ms = min(self.lease_expiry_ms, latest_expiry_ms)
            self._request_at_once(now_ms)

    def _extend_lease(self, reply: LeaseReply) -> None:
        if not reply.is_lease_granted or not reply.is_member or reply.version != self.version:
            return
        is_prepared = self.state is ParticipantState.PREPARED
        lease_ms = self._settings.prepared_lease_ms if is_prepared else self._settings.lease_ms
        sent_at_ms = self.request_sent_at_ms[reply.number]
        self.lease_expiry_ms = max(self.lease_expiry_ms, sent_at_ms + lease_ms)

    def _on_policy_text(self, text: PolicyText, now_ms: float) -> None:
        if text.change_id and not self.change_id:
            self.rejection_reason = self._find_conflict(text.policy)
            self.change_id = text.change_id
            self._change_policy = text.policy
            is_rejected = bool(self.rejection_reason)
            self.state = ParticipantState.REJECTED if is_rejected else ParticipantState.VALIDATED
            self._request_at_once(now_ms)
        elif not text.change_id and text.version == self.latest_version > self.version:
            self._adopt(text.version, text.policy)
            self._request_at_once(now_ms)

    def _adopt(self, version: int, policy: bytes) -> None:
        self.version = version
        self.policy = policy
