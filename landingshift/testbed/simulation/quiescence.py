"""Checks whether a simulated cluster is quiescent.

In a quiescent cluster all servers are up, warm and listed, know each other and use the same policy version.
A leader exists, no maintenance or policy change is in progress, and the downstream store is not overloaded.
"""

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
"""Pairs of a reason and a condition. The reason is recorded if a server does not meet the condition.

The reasons in this module are part of history entries and must not change.
"""


def reasons_not_quiescent(state: ClusterState, operators: SimulatedOperators) -> list[str]:
    """Returns the reasons why the cluster is not quiescent; an empty list if it is."""
    servers = list(state.servers.values())
    down = [server.name for server in servers if not server.host.is_up]
    if down:
        return [f"down: {down}"]
    reasons = []
    for problem, is_met in _SERVER_CONDITIONS:
        names = [server.name for server in servers if not is_met(server)]
        if names:
            reasons.append(f"{problem}: {names}")
    versions = {server.policy_node.participant.version for server in servers}
    if len(versions) > 1:
        reasons.append(f"versions {sorted(versions)}")
    unaware_pairs = [
        (first.name, second.name)
        for first, second in combinations(servers, 2)
        if not _see_each_other(first, second)
    ]
    if unaware_pairs:
        reasons.append(f"do not see each other: {unaware_pairs[:MAX_SHOWN_PAIRS]}")
    if state.store.is_overloaded:
        reasons.append("the store is down")
    return reasons + _leader_reasons(state, operators)


def _see_each_other(first: SimulatedServer, second: SimulatedServer) -> bool:
    """Returns whether each of two servers is known to the other server and has not departed."""
    first_view, second_view = first.maintenance.environment, second.maintenance.environment
    return not (first_view.has_left(second.name) or second_view.has_left(first.name))


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
