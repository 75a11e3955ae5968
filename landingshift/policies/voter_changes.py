"""Rules by which operators can add and remove voters.

Guarantee: a server is added to the voters only if it has a log file. A voter is removed only if a majority of
the remaining voters responds, because no log entry can be committed without a majority. Failure mode: voters
that respond now might stop right afterwards.
"""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.consensus.raft import RaftNode
from landingshift.policies.messages import ChangeVoters

BEING_REPLICATED = "it is being agreed on"


@dataclass(slots=True, frozen=True)
class VoterChangePlan:
    """Next step of a change of voters.

    Attributes:
        is_done: Whether the change is committed.
        reason: Reason why the change is not committed yet; empty if it is committed.
        new_voters: Voters to propose; empty if there is nothing to propose.
    """

    is_done: bool
    reason: str
    new_voters: tuple[str, ...] = ()


def plan_voter_change(
    raft: RaftNode, command: ChangeVoters, can_become_voter: bool, now_ms: float
) -> VoterChangePlan:
    """Returns the next step to add or remove a voter.

    Args:
        raft: Raft node of the leader.
        command: The operator's command.
        can_become_voter: Whether the server to add is a member with a log file.
        now_ms: Current time of the monotonic clock.
    """
    name = command.name
    if (name in raft.voters) is command.is_addition:
        is_committed = raft.is_voter_change_committed
        return VoterChangePlan(is_committed, "" if is_committed else BEING_REPLICATED)
    if command.is_addition:
        if not can_become_voter:
            return VoterChangePlan(False, f"{name} is not there with a journal")
        return VoterChangePlan(False, BEING_REPLICATED, (*raft.voters, name))
    remaining = tuple(voter for voter in raft.voters if voter != name)
    responding = [
        voter for voter in remaining if voter == raft.name or raft.has_recent_response(voter, now_ms)
    ]
    if 2 * len(responding) <= len(remaining):
        reason = f"only {', '.join(responding)} would be left of {', '.join(remaining)}"
        return VoterChangePlan(False, reason)
    return VoterChangePlan(False, BEING_REPLICATED, remaining)
