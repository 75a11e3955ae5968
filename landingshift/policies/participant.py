"""Participant of policy changes: which policy version a server decides by, and its state in a change.

These rules bound the time during which the old and the new version are both in use:

- A server decides on no RPC until the leader has confirmed its membership and the version in force.
- A server becomes prepared only after it has fetched and validated the policy of the change. A prepared
  server decides by the old version only under leases of `prepared_lease_ms`. The leader stops granting leases
  before it replicates the commit. So once one server decides by the new version, all others stop deciding by
  the old version within `prepared_lease_ms`.
- A server stays prepared until it learns the outcome of the change. A reply that the leader sent before the
  change was opened can arrive late, and must not end this state.
- If `is_standby_when_cut_off` is True, a server also needs a lease for its decisions between changes. Such a
  lease lasts `lease_ms`.

A lease begins when its request is sent, by this server's monotonic clock. Failure mode: a prepared server
that is cut off from the leader goes on standby. The server leaves standby once a leader grants it a lease or
reports the outcome of the change.
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
MAX_ENDED_CHANGE_COUNT = 64  # ended changes whose outcome is stored
MAX_TRACKED_REQUEST_COUNT = 16  # requests whose sending time is stored; replies to older requests are ignored
IDLE_REQUEST_INTERVAL_MS = 2000.0  # between changes, when no lease is needed
POLL_SPREAD_MS = 20.0  # replies to a poll are spread over this time, so that they do not all arrive at once
MIN_REQUEST_INTERVAL_MS = 10.0
REQUESTS_PER_LEASE = 4.0  # so that a lease can be extended in time even if requests are lost
MIN_JITTER, MAX_JITTER = 0.8, 1.2  # range of the random factor of intervals; avoids lockstep of servers


class ParticipantState(StrEnum):
    """State of one server in a change. The state only advances; the end of the change resets it to NONE."""

    NONE = ""
    VALIDATED = "ready"  # the server has the policy and can apply it
    REJECTED = "refused"  # the server has the policy and can't apply it
    PREPARED = "armed"  # the server decides by the old version, and only while a lease is valid


class ChangeParticipant:
    """Takes part in policy changes: asks the leader for leases and policies, and processes the replies.

    Attributes:
        discovery: Discovery of the leader.
        is_member: Whether the leader has confirmed this server as a member.
        refusal_reason: Reason why the leader does not accept this server as a member; empty if it does.
        can_become_voter: Whether this server has a log file.
        version: Policy version that this server decides by; -1 until it has one.
        policy: Encoded policy of that version.
        latest_version: Newest version known to be in force; its policy might not have arrived yet.
        change_id: Id of the change that this server takes part in, which means that it has received the
            change's policy and does not know the outcome yet; empty if there is none.
        state: State of this server in that change.
        rejection_reason: Reason why this server can't apply the policy of that change; empty if it can.
        lease_expiry_ms: End of this server's lease, by the monotonic clock.
        ended_changes: Outcomes of the changes that this server took part in, keyed by change id, newest last.
        last_request_number: Number of the last lease request sent.
        last_answered_number: Highest number of a lease request whose reply was processed.
        request_sent_at_ms: Sending times of the last lease requests, keyed by request number.
        next_deadline_ms: Time at which `tick` is due.
        outbox: Messages to send, each with its receiver.
    """

    def __init__(
        self,
        run_id: int,
        settings: PolicySettings,
        find_conflict: Callable[[bytes], str],
        rng: Random,
        now_ms: float,
    ) -> None:
        """Creates the participant of a server that has no policy version yet.

        Args:
            run_id: Random id of this process, new at each start.
            settings: Protocol settings, the same on all servers.
            find_conflict: Returns the reason why this server can't apply an encoded policy; empty if it can.
            rng: Source of the jitter of requests.
            now_ms: Current time of the monotonic clock.
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

    # Permission to decide

    @property
    def needs_lease(self) -> bool:
        """Whether this server currently needs a lease to decide on RPCs."""
        return self._settings.is_standby_when_cut_off or self.state is ParticipantState.PREPARED

    def may_decide(self, now_ms: float) -> bool:
        """Returns whether this server is allowed to decide on RPCs by `version` at `now_ms`."""
        if not self.is_member or self.latest_version > self.version:
            return False
        return now_ms < self.lease_expiry_ms if self.needs_lease else True

    def adopt_trusted_version(self, version: int, policy: bytes) -> str:
        """Adopts a version that an operator declares to be in force.

        This allows the server to decide on RPCs if no leader can return.

        Returns:
            Reason why the version was not adopted; empty if it was.
        """
        if self._settings.is_standby_when_cut_off:
            return "this server needs a leader: its when_cut_off is stand_aside"
        if self.is_member or version < self.version:
            return f"it has version {self.version} from a leader"
        conflict = self._find_conflict(policy) if policy else ""
        if not conflict:
            self.is_member = True
            self.latest_version = version
            self._adopt_version(version, policy)
        return conflict

    # Lease requests

    def tick(self, now_ms: float) -> None:
        """Queues a lease request if one is due."""
        if now_ms >= self.next_deadline_ms:
            self.send_lease_request(now_ms)

    def send_lease_request(self, now_ms: float) -> None:
        """Queues a request that reports this server's state to the leader and asks for a lease."""
        leader = self.discovery.choose_target()
        self.last_request_number += 1
        self.request_sent_at_ms[self.last_request_number] = now_ms
        self.request_sent_at_ms.pop(self.last_request_number - MAX_TRACKED_REQUEST_COUNT, None)
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
        """Returns the interval between lease requests; short enough to renew a lease if one is needed."""
        is_in_change = self.state is not ParticipantState.NONE
        if is_in_change or self.latest_version > self.version >= 0:
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
        """Makes the next request due at `at_ms`, unless the next request is already due earlier."""
        self.next_deadline_ms = min(self.next_deadline_ms, at_ms)

    def _request_at_once(self, now_ms: float) -> None:
        self._request_by(max(now_ms, self._last_request_at_ms + MIN_REQUEST_INTERVAL_MS))

    # Messages

    def on_message(self, sender: str, message: Message, now_ms: float) -> None:
        """Processes a message for participants; ignores replies to requests that are no longer tracked."""
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
        self._prepare_if_requested(reply, now_ms)
        self._extend_lease(reply)
        self._request_by(now_ms + self._request_interval_ms() * self._jitter())

    def _end_change(self, ended: EndedChange, version_in_force: int) -> None:
        """Leaves the current change after its outcome is known.

        Adopts the version that the change created, if that version is in force and directly follows the
        version of this server.
        """
        self.ended_changes[ended.change_id] = ended
        if len(self.ended_changes) > MAX_ENDED_CHANGE_COUNT:
            del self.ended_changes[next(iter(self.ended_changes))]
        if ended.version and ended.version == version_in_force == self.version + 1:
            self._adopt_version(ended.version, self._change_policy)
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

    def _prepare_if_requested(self, reply: LeaseReply, now_ms: float) -> None:
        """Enters the PREPARED state if the leader requests this and the server has validated the policy.

        The current lease then ends at most `prepared_lease_ms` after `now_ms`; a longer lease is shortened.
        """
        is_requested = reply.change_id == self.change_id and reply.phase is ChangePhase.PREPARE
        if is_requested and self.state is ParticipantState.VALIDATED:
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
            self._adopt_version(text.version, text.policy)
            self._request_at_once(now_ms)

    def _adopt_version(self, version: int, policy: bytes) -> None:
        self.version = version
        self.policy = policy
