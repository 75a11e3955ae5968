"""Removes single defences from a simulation, to test that the invariants detect the resulting violations.

A defence is a rule of the real code that prevents a violation. Each constant below names one defence; its
docstring states the rule. The values of the constants are the arguments of the command line option `--break`
and the file names of the scenarios in `tests/days/without/`. The functions patch the objects of the real
packages, so that these objects break the rule.
"""

from __future__ import annotations

from math import inf

from landingshift.admission.controller import AdmissionController
from landingshift.coldstart.leases import LeaseRequest
from landingshift.coldstart.participant import ColdStartParticipant
from landingshift.consensus.raft import Role
from landingshift.maintenance.agent import MaintenanceAgent
from landingshift.maintenance.capacity_constraints import DisruptionBudget
from landingshift.membership.timings import SwimTimings
from landingshift.policies.node import PolicyNode
from landingshift.policies.participant import ChangeParticipant

PARTICIPANT_LEASE = "lease"
"""A server that has prepared a policy change uses the old policy only while the server holds a lease."""
LEASE_REQUEST = "ask"
"""A server decides about RPCs only after it has requested the current policy."""
LEADER_LEASE = "sure"
"""A leader acts as leader only while it holds the leader lease, which proves that no other server leads."""
WAIT_FOR_ALL = "arm"
"""A policy change is committed only if each member without a report on it is certainly on standby."""
DURABLE_WRITE = "disk"
"""A voter writes its Raft state to disk before it sends messages based on that state."""
RECOVERY_GRACE = "quiet"
"""For the length of one lease after its start, a grantor grants no more than holders claim to have."""
RESERVED_AMOUNT = "booking"
"""A grantor that reduces a grant keeps counting the larger amount until the old lease must have expired."""
PERMIT_EXPIRY = "end"
"""A maintenance permit can't be used after its expiry."""
DISRUPTION_BUDGET = "floor"
"""A maintenance permit is granted only if the rest of the cluster has enough capacity for the load."""
RPC_DEADLINE = "due"
"""An RPC is answered when its deadline passes, even if it is still queued or running."""
DRAIN_GRACE = "grace"
"""A draining server accepts RPCs only during the drain grace period, at the beginning of the drain."""
SUSPICION = "suspect"
"""A suspected member has enough time to refute the suspicion before it is declared dead."""

INVARIANT_BY_REMOVED_DEFENCE = {
    PARTICIPANT_LEASE: "all_or_none",
    LEASE_REQUEST: "all_or_none",
    LEADER_LEASE: "all_or_none",
    WAIT_FOR_ALL: "all_or_none",
    RECOVERY_GRACE: "shares",
    RESERVED_AMOUNT: "shares",
    PERMIT_EXPIRY: "permissions",
    DISRUPTION_BUDGET: "floor",
    RPC_DEADLINE: "answered",
    DRAIN_GRACE: "drains",
    SUSPICION: "members",
}
"""Invariant that must be violated in a cluster without a defence, keyed by the name of the defence."""

AWAY_STATE = "away"
"""State of a member that has sent no report on the policy change in progress."""


class AgentWithoutExpiry(MaintenanceAgent):
    """A maintenance agent that ignores the expiry of its permit."""

    def begin_draining(self, now_ms: float) -> bool:
        """Uses the permit even if it has expired; returns whether the server begins to drain."""
        self.permit.expires_at_ms = inf
        return super().begin_draining(now_ms)


def maintenance_agent(used_permit: int, removed_defence: str) -> MaintenanceAgent:
    """Returns the maintenance agent of a server whose disk stores `used_permit` as the last used permit."""
    agent_type = AgentWithoutExpiry if removed_defence == PERMIT_EXPIRY else MaintenanceAgent
    return agent_type(used_permit)


def swim_timings(removed_defence: str) -> SwimTimings:
    """Returns the timings of membership. If SUSPICION is removed, suspicions time out very soon."""
    if removed_defence == SUSPICION:
        return SwimTimings(ack_timeout_ms=20.0, min_suspicion_ms=20.0)
    return SwimTimings()


def disruption_budget(removed_defence: str) -> DisruptionBudget:
    """Returns the disruption budget of maintenance, without limits if DISRUPTION_BUDGET is removed."""
    min_spare_fraction = -1.0 if removed_defence == DISRUPTION_BUDGET else 0.1
    return DisruptionBudget(min_spare_fraction, 0.0, 0.0, 0.0)


def may_decide(participant: ChangeParticipant, now_ms: float, removed_defence: str) -> bool:
    """Returns whether a server is allowed to decide about RPCs by its present policy."""
    if participant.may_decide(now_ms) or removed_defence == LEASE_REQUEST:
        return True
    return participant.is_member and removed_defence == PARTICIPANT_LEASE


def remove_from_policies(node: PolicyNode, removed_defence: str) -> None:
    """Removes LEADER_LEASE or WAIT_FOR_ALL from a voter; does nothing for other defences."""
    raft, coordinator = node.raft, node.coordinator
    if raft is None or coordinator is None:
        return
    if removed_defence == LEADER_LEASE:
        raft.has_leader_lease = lambda _now_ms: raft.role is Role.LEADER  # type: ignore[method-assign, assignment]
    if removed_defence == WAIT_FOR_ALL:
        unprepared_members = coordinator.unprepared_members
        coordinator.unprepared_members = lambda now_ms: [  # type: ignore[method-assign]
            member for member in unprepared_members(now_ms) if member.state != AWAY_STATE
        ]


def remove_recovery_grace(cold_start: ColdStartParticipant, now_ms: float) -> None:
    """Lets a grantor grant leases immediately after its start."""
    if cold_start.grantor is not None:
        cold_start.grantor.set_recovery_grace_until(now_ms)


def remove_reserved_amount(cold_start: ColdStartParticipant) -> None:
    """Lets a grantor that reduces a call quota lease the freed amount before the old lease has expired."""
    if cold_start.grantor is None:
        return
    quota_grantor = cold_start.grantor.call_quota_grantor
    renew = quota_grantor.renew

    def renew_without_reservation(request: LeaseRequest, now_ms: float) -> float | None:
        amount = renew(request, now_ms)
        if amount is not None and request.holder_name in quota_grantor.grants:
            quota_grantor.grants[request.holder_name].reserved_amount = amount
        return amount

    quota_grantor.renew = renew_without_reservation  # type: ignore[method-assign]


def remove_rpc_deadline(admission: AdmissionController) -> None:
    """Lets RPCs wait and run beyond their deadlines."""
    admission.enforce_deadline = lambda _managed: inf  # type: ignore[method-assign, assignment]


def remove_drain_grace(admission: AdmissionController) -> None:
    """Lets a draining server accept RPCs until its process ends."""
    admission.draining.accept_until_ms = inf
