"""The rules by which a voter grants votes and pre-votes; they change no state.

Guarantee: a voter grants at most one vote per term, and only to a candidate whose log is at least as
up-to-date as its own, so that every leader has all committed entries. A granted pre-vote does not bind the
voter. The pre-vote tells a candidate whether it could win before it increments its term, so that a node that
returns from a partition does not depose the current leader.
"""

from __future__ import annotations

from landingshift.consensus.messages import RequestVote, VoteResponse
from landingshift.consensus.persistent_state import DurableState


def is_log_up_to_date(state: DurableState, request: RequestVote) -> bool:
    """Returns whether the candidate's log is at least as up-to-date as the voter's, by term, then index."""
    candidate_position = (request.last_log_term, request.last_log_index)
    return candidate_position >= (state.last_term, state.last_index)


def decide_pre_vote(state: DurableState, request: RequestVote, has_recent_leader: bool) -> VoteResponse:
    """Returns the response to a pre-vote; a voter in contact with a leader does not grant it."""
    is_newer_term = request.term > state.term
    is_granted = is_log_up_to_date(state, request) and not has_recent_leader and is_newer_term
    return VoteResponse(request.term, is_granted, True)


def decide_vote(state: DurableState, candidate: str, request: RequestVote) -> VoteResponse:
    """Returns the response to a vote request; the caller must record a granted vote."""
    if request.term < state.term:
        return VoteResponse(state.term, False, False)
    can_vote_for_candidate = state.voted_for in ("", candidate)
    return VoteResponse(request.term, can_vote_for_candidate and is_log_up_to_date(state, request), False)
