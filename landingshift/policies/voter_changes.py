"""The rule by which operators add and remove voters.

Guarantee: a voter is added only where it runs with a log file, and removed only where a majority of those
who are left answers, so that no change of voters by itself stops the log. Failure mode: the voters that
answer now may stop right after.
"""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.consensus.raft import RaftNode
from landingshift.policies.messages import ChangeVoters

BEING_REPLICATED = "it is being agreed on"


@dataclass(slots=True, frozen=True)
class VoterChangePlan:
    """What to do about an operator's wish.

    Attributes:
        is_done: Whether the voters are as wanted and that is committed.
        reason: Why it is not done; empty where it is.
        new_voters: Voters to propose; empty for nothing.
    """

    is_done: bool
    reason: str
    new_voters: tuple[str, ...] = ()


def plan_voter_change(
    raft: RaftNode, command: ChangeVoters, can_become_voter: bool, now_ms: float
) -> VoterChangePlan:
    """What to do to add or remove a voter.

    Args:
        raft: The leader's node.
        command: What the operator wants.
        can_become_voter: Whether the server to add runs as a member with a log file.
        now_ms: Monotonic clock.
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
    answering = [
        voter for voter in remaining if voter == raft.name or raft.has_recent_response(voter, now_ms)
    ]
    if 2 * len(answering) <= len(remaining):
        reason = f"only {', '.join(answering)} would be left of {', '.join(remaining)}"
        return VoterChangePlan(False, reason)
    return VoterChangePlan(False, BEING_REPLICATED, remaining)
