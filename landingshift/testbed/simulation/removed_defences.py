"""Defences that a simulation can run without, so that an invariant must be found violated.

The names are those of the option `--break` and of the scenarios under `tests/days/without/`. Each defence is
taken from the packages' own objects, in one place, as a bug would take it.
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
"""A prepared server goes on by the old policy without a lease."""
LEASE_REQUEST = "ask"
"""A server decides before it has asked for the current policy."""
LEADER_LEASE = "sure"
"""A leader answers without knowing that it still leads."""
WAIT_FOR_ALL = "arm"
"""A change is taken without waiting for members that are away."""
DURABLE_WRITE = "disk"
"""What a voter answers for is not on its disk."""
RECOVERY_GRACE = "quiet"
"""A grantor that has restarted grants at once."""
BOOKED_AMOUNT = "booking"
"""A smaller grant frees the rest at once, though its holder may not have heard of it."""
PERMIT_EXPIRY = "end"
"""A maintenance permit is used after its end."""
DISRUPTION_BUDGET = "floor"
"""Maintenance takes any number of servers at a time."""
RPC_DEADLINE = "due"
"""RPCs are not given up at their deadline."""
DRAIN_GRACE = "grace"
"""A draining server accepts RPCs to its end."""
SUSPICION = "suspect"
"""A member is declared dead soon after it was suspected."""

INVARIANT_BY_REMOVED_DEFENCE = {
    PARTICIPANT_LEASE: "all_or_none",
    LEASE_REQUEST: "all_or_none",
    LEADER_LEASE: "all_or_none",
    WAIT_FOR_ALL: "all_or_none",
    RECOVERY_GRACE: "shares",
    BOOKED_AMOUNT: "shares",
    PERMIT_EXPIRY: "permissions",
    DISRUPTION_BUDGET: "floor",
    RPC_DEADLINE: "answered",
    DRAIN_GRACE: "drains",
    SUSPICION: "members",
}
"""The invariant that must be found violated in a cluster without the defence."""

AWAY_STATE = "away"


class AgentWithoutExpiry(MaintenanceAgent):
    """Drains by a permit whenever it gets to it."""

    def begin_draining(self, now_ms: float) -> bool:
        """Uses the permit, expired or not."""
        self.permit.expires_at_ms = inf
        return super().begin_draining(now_ms)


def maintenance_agent(used_permit: int, removed_defence: str) -> MaintenanceAgent:
    """Returns the agent of a server whose disk keeps `used_permit`."""
    agent_type = AgentWithoutExpiry if removed_defence == PERMIT_EXPIRY else MaintenanceAgent
    return agent_type(used_permit)


def swim_timings(removed_defence: str) -> SwimTimings:
    """Returns the timings of membership."""
    if removed_defence == SUSPICION:
        return SwimTimings(ack_timeout_ms=20.0, min_suspicion_ms=20.0)
    return SwimTimings()


def disruption_budget(removed_defence: str) -> DisruptionBudget:
    """Returns the disruption budget of maintenance."""
    min_spare_fraction = -1.0 if removed_defence == DISRUPTION_BUDGET else 0.1
    return DisruptionBudget(min_spare_fraction, 0.0, 0.0, 0.0)


def may_decide(participant: ChangeParticipant, now_ms: float, removed_defence: str) -> bool:
    """Returns whether a server may decide about RPCs by the policy that it has."""
    if participant.may_decide(now_ms) or removed_defence == LEASE_REQUEST:
        return True
    return participant.is_member and removed_defence == PARTICIPANT_LEASE


def remove_from_policies(node: PolicyNode, removed_defence: str) -> None:
    """Takes a defence from the leader of policy changes."""
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
    """Lets a grantor grant at once after its start."""
    if cold_start.grantor is not None:
        cold_start.grantor.set_recovery_grace_until(now_ms)


def remove_booked_amount(cold_start: ColdStartParticipant) -> None:
    """Frees what a smaller grant leaves while its holder may still believe in the larger one."""
    if cold_start.grantor is None:
        return
    quota_grantor = cold_start.grantor.call_quota_grantor
    renew = quota_grantor.renew

    def renew_without_booking(request: LeaseRequest, now_ms: float) -> float | None:
        amount = renew(request, now_ms)
        if amount is not None and request.holder_name in quota_grantor.grants:
            quota_grantor.grants[request.holder_name].reserved_amount = amount
        return amount

    quota_grantor.renew = renew_without_booking  # type: ignore[method-assign]


def remove_rpc_deadline(admission: AdmissionController) -> None:
    """Lets RPCs wait and run past their deadlines."""
    admission.enforce_deadline = lambda _managed: inf  # type: ignore[method-assign, assignment]


def remove_drain_grace(admission: AdmissionController) -> None:
    """Lets a draining server accept RPCs to its end."""
    admission.draining.accept_until_ms = inf
