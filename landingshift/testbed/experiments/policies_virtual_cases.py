"""Cases of policy changes in virtual time. Each returns its simulation, which the caller checks."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

from landingshift.consensus.raft import Role
from landingshift.policies.commands import FINAL_OUTCOMES
from landingshift.testbed.errors import NoLeaderError
from landingshift.testbed.experiments.partitions import crosses_partition, is_to_or_from, no_cut
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.simulation.policy_change import PolicyChangeSimulation, PolicyServer, address

LARGE_COUNT = 200
LARGE_VOTER_COUNT = 5
LOSS_PROBABILITY = 0.05
MAX_CHANGE_MS = 2000.0
"""Maximum duration of a change in a large cluster."""
MAX_CHANGE_WITH_DOWN_MS = 5000.0
"""Maximum duration of a change in a large cluster with servers down: the lease of 3 s, and 2 s."""
POLICY_CONFLICT = "methods.m.criticality: not here"
CRASH_STEP_COUNT = 25
CRASH_STEP_MS = (60.0, 400.0)
PARTITION_PROBABILITY = 0.5

VirtualCase = Callable[[ExperimentRow, int, str], PolicyChangeSimulation]
"""Runs a case and fills the row; arguments: row, seed, removed defence ("" for none)."""


def without_faults(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """Without faults a change among 200 servers commits within `MAX_CHANGE_MS`."""
    simulation = PolicyChangeSimulation(seed, LARGE_COUNT, LARGE_VOTER_COUNT, removed_defence=removed_defence)
    simulation.run(4000.0)
    began_ms = simulation.network.now_ms
    change_id = simulation.propose(f"n{seed % LARGE_COUNT}", 1)
    took_ms = _run_until_committed(simulation, simulation.servers.values(), began_ms, 10_000.0, 20.0)
    row.record_max("took_s", took_ms / 1000.0)
    row.require(took_ms <= MAX_CHANGE_MS, f"the change took {took_ms:.0f} ms")
    simulation.run(300.0)
    _require_committed(row, simulation, change_id)
    return simulation


def with_loss(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """With 5 % of all messages lost, a change among 200 servers commits."""
    simulation = PolicyChangeSimulation(
        seed, LARGE_COUNT, LARGE_VOTER_COUNT, removed_defence=removed_defence, change_timeout_ms=20_000.0
    )
    simulation.network.loss_probability = LOSS_PROBABILITY
    simulation.run(5000.0)
    change_id = simulation.propose(f"n{seed % LARGE_COUNT}", 1)
    began_ms = simulation.network.now_ms
    took_ms = _run_until_committed(simulation, simulation.servers.values(), began_ms, 20_000.0, 50.0)
    row.record_max("took_s", took_ms / 1000.0)
    simulation.run(300.0)
    _require_committed(row, simulation, change_id)
    return simulation


def tenth_down(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """With 20 of 200 servers down, a change commits within the lease and 2 s.

    Servers without a lease stop serving, so the change has to wait only until the leases expire.
    """
    simulation = PolicyChangeSimulation(
        seed,
        LARGE_COUNT,
        LARGE_VOTER_COUNT,
        True,
        removed_defence=removed_defence,
        lease_ms=3000.0,
        clock_margin_ms=300.0,
        change_timeout_ms=20_000.0,
    )
    simulation.run(4000.0)
    for index in range(LARGE_COUNT // 10):
        simulation.kill(f"n{LARGE_COUNT - 1 - index}")
    change_id = simulation.propose("n7", 1)
    began_ms = simulation.network.now_ms
    down = simulation.down_servers
    running = [server for name, server in simulation.servers.items() if name not in down]
    took_ms = _run_until_committed(simulation, running, began_ms, 20_000.0, 20.0)
    row.record_max("took_s", took_ms / 1000.0)
    row.require(took_ms <= MAX_CHANGE_WITH_DOWN_MS, f"the change took {took_ms:.0f} ms")
    simulation.run(300.0)
    _require_committed(row, simulation, change_id)
    simulation.settle(4000.0)
    return simulation


def _run_until_committed(
    simulation: PolicyChangeSimulation,
    servers: Iterable[PolicyServer],
    began_ms: float,
    timeout_ms: float,
    step_ms: float,
) -> float:
    """Runs until all given servers have version 1, or for `timeout_ms`; returns the time since `began_ms`."""
    network = simulation.network
    while network.now_ms < began_ms + timeout_ms and {server.participant.version for server in servers} != {
        1
    }:
        network.run_until(network.now_ms + step_ms)
    return network.now_ms - began_ms


def _require_committed(row: ExperimentRow, simulation: PolicyChangeSimulation, change_id: str) -> None:
    """Requires that running servers know a change as committed, and none of them knows another outcome."""
    running = [name for name in simulation.server_names if name not in simulation.down_servers]
    outcomes = {simulation.change_outcome(name, change_id) for name in running} - {"unknown"}
    row.require(outcomes == {"taken"}, f"outcomes of {change_id}, expected to be committed: {outcomes}")


def leader_resumes(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """A leader is cut off with a member, paused, and resumed: it must not renew the member's lease."""
    simulation = PolicyChangeSimulation(seed, 5, 3, True, removed_defence=removed_defence)
    simulation.run(2500.0)
    leader = _leader(simulation)
    simulation.network.is_cut = partial(crosses_partition, {address(leader), address("n4")})
    simulation.hosts[leader].pause(5000.0)
    other = next(name for name in simulation.settings.voters if name != leader)
    simulation.run(1500.0)
    change_id = simulation.propose(other, 1)
    simulation.run(5000.0)
    _require_committed(row, simulation, change_id)
    simulation.settle()
    return simulation


def _leader(simulation: PolicyChangeSimulation) -> str:
    for name, server in simulation.servers.items():
        raft = server.policy_node.raft
        if name not in simulation.down_servers and raft is not None and raft.role is Role.LEADER:
            return name
    raise NoLeaderError


def majority_gone(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """With two of three voters gone for good, the other servers keep deciding RPCs."""
    simulation = PolicyChangeSimulation(seed, 6, 3, removed_defence=removed_defence)
    simulation.run(2500.0)
    change_id = simulation.propose("n5", 1)
    simulation.run(1500.0)
    _require_committed(row, simulation, change_id)
    simulation.kill("n0")
    simulation.kill("n1")
    since_ms = simulation.network.now_ms + 2000.0
    simulation.run(20_000.0)
    deciding = {
        server for at_ms, event, server, *_ in simulation.history if event == "decided" and at_ms > since_ms
    }
    row.require(deciding == {"n2", "n3", "n4", "n5"}, f"only {deciding} keep deciding RPCs")
    simulation.settle()
    return simulation


def both_sides(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """Two changes that are proposed at once on the two sides of a partition both end."""
    simulation = PolicyChangeSimulation(seed, 6, 3, removed_defence=removed_defence)
    simulation.run(2500.0)
    side = {address(name) for name in ("n0", "n3", "n4")}
    simulation.network.is_cut = partial(crosses_partition, side)
    change_ids = (simulation.propose("n0", 1), simulation.propose("n1", 2))
    simulation.run(3000.0)
    simulation.settle()
    outcomes = {simulation.change_outcome("n5", change_id) for change_id in change_ids}
    row.require(outcomes <= set(FINAL_OUTCOMES), f"not all changes have ended: {outcomes}")
    return simulation


def refused(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """A server can't use a change: the change is refused and names the server, and no server uses it."""
    simulation = PolicyChangeSimulation(seed, 5, 3, removed_defence=removed_defence)
    simulation.policy_checks["n4"] = lambda policy: POLICY_CONFLICT if policy else ""
    simulation.kill("n4")
    simulation.start("n4")
    simulation.run(2500.0)
    change_id = simulation.propose("n3", 1)
    simulation.run(1500.0)
    reason = simulation.servers["n3"].policy_node.change_status(change_id).reason
    row.require(reason == f"n4: {POLICY_CONFLICT}", f"the change has the reason {reason!r}")
    is_used = any(entry[3] for entry in simulation.history if entry[1] == "decided")
    row.require(not is_used, "a server decided by the refused change")
    return simulation


def voters_crash(_row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """Voters crash repeatedly. Before they send a message, the state that it depends on must be on disk."""
    simulation = PolicyChangeSimulation(seed, 4, 3, removed_defence=removed_defence)
    rng = simulation.rng
    for number in range(CRASH_STEP_COUNT):
        simulation.run(float(rng.choice(CRASH_STEP_MS)))
        running = [name for name in simulation.server_names if name not in simulation.down_servers]
        simulation.propose(rng.choice(running), number)
        voter = rng.choice(simulation.settings.voters)
        if voter in running and len(running) > 1:
            simulation.kill(voter)
        elif simulation.down_servers:
            simulation.start(rng.choice(sorted(simulation.down_servers)))
        side = {address(name) for name in rng.sample(simulation.settings.voters, 1)}
        is_partitioned = rng.random() < PARTITION_PROBABILITY
        simulation.network.is_cut = partial(crosses_partition, side) if is_partitioned else no_cut
    simulation.settle()
    return simulation


def declared_gone_late(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """An operator declares a server gone, and the command reaches the leader only after the server is back.

    A change must still wait for that server.
    """
    simulation = PolicyChangeSimulation(seed, 5, 3, removed_defence=removed_defence)
    simulation.run(2500.0)
    for name in ("n0", "n1", "n4"):
        simulation.kill(name)
    simulation.declare_departed("n2", "n4")  # the command waits, because there is no leader
    simulation.run(1000.0)
    for name in ("n4", "n0", "n1"):
        simulation.start(name)
    simulation.run(4000.0)
    simulation.network.is_cut = partial(is_to_or_from, address("n4"))
    change_id = simulation.propose("n3", 1)
    simulation.run(3000.0)
    is_waiting = simulation.change_outcome("n3", change_id) not in FINAL_OUTCOMES
    row.require(is_waiting, "a change did not wait for a server that is back")
    simulation.settle()
    return simulation


def voters_replaced(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """A voter that is gone for good is replaced by another one; then a second voter can fail."""
    simulation = PolicyChangeSimulation(seed, 6, 3, removed_defence=removed_defence)
    simulation.run(2500.0)
    first_id = simulation.propose("n5", 1)
    simulation.run(800.0)
    simulation.kill("n0")
    simulation.run(2000.0)
    simulation.change_voter("n4", "add", "n3")
    simulation.run(4000.0)
    simulation.change_voter("n4", "remove", "n0")
    simulation.run(2000.0)
    voters = _voters(simulation, "n3")
    row.require(set(voters) == {"n1", "n2", "n3"}, f"voters are {voters}")
    simulation.kill("n1")
    simulation.run(3000.0)
    for name in ("n0", "n1"):
        simulation.declare_departed("n2", name)
    simulation.run(1000.0)
    second_id = simulation.propose("n5", 2)
    simulation.run(1500.0)
    _require_committed(row, simulation, first_id)
    _require_committed(row, simulation, second_id)
    simulation.settle()
    return simulation


def _voters(simulation: PolicyChangeSimulation, name: str) -> tuple[str, ...]:
    """Returns the names of the voters according to the voter `name`."""
    raft = simulation.servers[name].policy_node.raft
    assert raft is not None
    return raft.voters


def settings_outdated(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """All voters that the settings list are replaced; servers that start later still find the new voter."""
    simulation = PolicyChangeSimulation(seed, 6, 3, removed_defence=removed_defence)
    simulation.run(2500.0)
    for action, name in (("add", "n3"), ("remove", "n0"), ("remove", "n1"), ("remove", "n2")):
        simulation.change_voter("n4", action, name)
        simulation.run(3000.0)
    voters = _voters(simulation, "n3")
    row.require(voters == ("n3",), f"voters are {voters}")
    for name in ("n3", "n5", "n0"):
        simulation.kill(name)
        simulation.start(name)
    simulation.run(8000.0)
    change_id = simulation.propose("n5", 1)
    simulation.run(2000.0)
    _require_committed(row, simulation, change_id)
    for name in ("n0", "n1", "n2"):  # no voter that the settings list is running any more
        simulation.kill(name)
    simulation.kill("n5")
    simulation.start("n5")
    simulation.run(12_000.0)
    is_member = simulation.servers["n5"].participant.is_member
    row.require(is_member, "n5 did not become a member again, because it did not find the leader")
    simulation.settle()
    return simulation


VIRTUAL_ROWS: dict[str, VirtualCase] = {
    "without_faults": without_faults,
    "with_loss": with_loss,
    "tenth_down": tenth_down,
    "leader_wakes": leader_resumes,
    "majority_gone": majority_gone,
    "both_sides": both_sides,
    "refused": refused,
    "forgets": voters_crash,
    "gone_late": declared_gone_late,
    "voters_replaced": voters_replaced,
    "settings_outdated": settings_outdated,
}
"""Cases by their names on the command line."""
LARGE_ROWS = ("without_faults", "with_loss", "tenth_down")
"""Cases with many servers, which run a tenth as often as others."""
