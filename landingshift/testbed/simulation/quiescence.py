"""Whether a simulated cluster has come to rest: all are there, warm, and agree, and nothing is under way."""

from __future__ import annotations

from collections.abc import Callable
from itertools import combinations

from landingshift.testbed.simulation.cluster_state import ClusterState
from landingshift.testbed.simulation.faults import NOBODY_LEADS, WARM_STAGE
from landingshift.testbed.simulation.operators import SimulatedOperators
from landingshift.testbed.simulation.server import SimulatedServer

MAX_SHOWN_PAIRS = 3

_SERVER_CONDITIONS: list[tuple[str, Callable[[SimulatedServer], bool]]] = [
    ("not warm", lambda server: server.cold_start.participant.start_sequence.stage.value == WARM_STAGE),
    ("not counted", lambda server: server.policy_node.participant.is_member),
    ("does not decide", lambda server: server.rpcs.may_decide),
    ("not listed", lambda server: server.is_listed),
]
"""What must hold for each server, with the words for those for which it does not."""


def reasons_not_quiescent(state: ClusterState, operators: SimulatedOperators) -> list[str]:
    """Returns what has not come to its end yet; nothing once the cluster is at rest."""
    servers = list(state.servers.values())
    down = [server.name for server in servers if not server.host.is_up]
    if down:
        return [f"down: {down}"]
    reasons = []
    for words, is_met in _SERVER_CONDITIONS:
        names = [server.name for server in servers if not is_met(server)]
        if names:
            reasons.append(f"{words}: {names}")
    versions = {server.policy_node.participant.version for server in servers}
    if len(versions) > 1:
        reasons.append(f"versions {sorted(versions)}")
    blind_pairs = [(one.name, other.name) for one, other in combinations(servers, 2) if _is_blind(one, other)]
    if blind_pairs:
        reasons.append(f"do not see each other: {blind_pairs[:MAX_SHOWN_PAIRS]}")
    if state.store.is_overloaded:
        reasons.append("the store is down")
    return reasons + _leader_reasons(state, operators)


def _is_blind(one: SimulatedServer, other: SimulatedServer) -> bool:
    """Whether one of two does not see the other."""
    one_view, other_view = one.maintenance.environment, other.maintenance.environment
    return one_view.has_left(other.name) or other_view.has_left(one.name)


def _leader_reasons(state: ClusterState, operators: SimulatedOperators) -> list[str]:
    leader = state.leader()
    if leader is None:
        return [NOBODY_LEADS]
    reasons = []
    requests = leader.maintenance.state.requests.values()
    if requests:
        states = [(request.name, request.state.value) for request in requests]
        reasons.append(f"work is not over: {states}")
    pending_change_id = leader.policy_node.state_machine.pending_change_id
    if pending_change_id:
        reasons.append(f"{pending_change_id} is under way, of {operators.open_change_ids()}")
    return reasons
