"""Who gets a vote: the rules of elections and pre-votes, without the state that follows from them.

Guarantee: a voter gives at most one vote a term, and only to a candidate whose log has everything that the
voter's own log has, so that a leader has all committed entries. A pre-vote promises nothing: a voter that was
cut off finds out by it whether it would win before it raises its term, and so unseats nobody on its return.
"""

from __future__ import annotations

from landingshift.consensus.messages import RequestVote, VoteResponse
from landingshift.consensus.persistent_state import DurableState


def is_log_up_to_date(state: DurableState, request: RequestVote) -> bool:
    """Whether the candidate's log reaches at least as far as this voter's: by term first, then by index."""
    candidate_end = (request.last_log_term, request.last_log_index)
    return candidate_end >= (state.last_term, state.last_index)


def answer_pre_vote(state: DurableState, request: RequestVote, has_recent_leader: bool) -> VoteResponse:
    """Whether the candidate would get a vote; not from a voter that is in contact with a leader."""
    is_newer_term = request.term > state.term
    is_granted = is_log_up_to_date(state, request) and not has_recent_leader and is_newer_term
    return VoteResponse(request.term, is_granted, True)


def answer_vote(state: DurableState, candidate: str, request: RequestVote) -> VoteResponse:
    """Whether the candidate gets this term's vote; the caller records a vote that is granted."""
    if request.term < state.term:
        return VoteResponse(state.term, False, False)
    is_vote_free = state.voted_for in ("", candidate)
    return VoteResponse(request.term, is_vote_free and is_log_up_to_date(state, request), False)
