"""Cases of a policy change in virtual time, each of which returns the simulation to be judged."""

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
LARGE_VOTERS_COUNT = 5
LOSS_PROBABILITY = 0.05
MAX_CHANGE_MS = 2000.0
"""That a change takes among many servers."""
MAX_CHANGE_WITH_DOWN_MS = 5000.0
"""The same where some are down: the lease and 2 s."""
POLICY_CONFLICT = "methods.m.criticality: not here"
CRASH_STEPS_COUNT = 25
CRASH_STEP_MS = (60.0, 400.0)
PARTITION_PROBABILITY = 0.5

VirtualCase = Callable[[ExperimentRow, int, str], PolicyChangeSimulation]
"""Plays a case; arguments are row, seed and removed defence ("" for none)."""


def without_faults(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """200 servers: how long a change takes."""
    simulation = PolicyChangeSimulation(
        seed, LARGE_COUNT, LARGE_VOTERS_COUNT, removed_defence=removed_defence
    )
    simulation.run(4000.0)
    began_ms = simulation.network.now_ms
    change_id = simulation.propose(f"n{seed % LARGE_COUNT}", 1)
    took_ms = _run_until_committed(simulation, simulation.servers.values(), began_ms, 10_000.0, 20.0)
    row.record_max("took_s", took_ms / 1000.0)
    row.require(took_ms <= MAX_CHANGE_MS, f"took {took_ms:.0f} ms")
    simulation.run(300.0)
    _require_committed(row, simulation, change_id)
    return simulation


def with_loss(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """200 servers and 5 % of all messages lost."""
    simulation = PolicyChangeSimulation(
        seed, LARGE_COUNT, LARGE_VOTERS_COUNT, removed_defence=removed_defence, change_timeout_ms=20_000.0
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
    """A tenth of 200 is down and stands aside in time: a change takes no more than the lease and 2 s."""
    simulation = PolicyChangeSimulation(
        seed,
        LARGE_COUNT,
        LARGE_VOTERS_COUNT,
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
    row.require(took_ms <= MAX_CHANGE_WITH_DOWN_MS, f"took {took_ms:.0f} ms")
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
    """Runs until all servers decide by version 1; returns how long it took."""
    network = simulation.network
    while network.now_ms < began_ms + timeout_ms and {server.participant.version for server in servers} != {
        1
    }:
        network.run_until(network.now_ms + step_ms)
    return network.now_ms - began_ms


def _require_committed(row: ExperimentRow, simulation: PolicyChangeSimulation, change_id: str) -> None:
    """Requires that all servers that know the outcome of a change say that it took hold."""
    running = [name for name in simulation.server_names if name not in simulation.down_servers]
    outcomes = {simulation.change_outcome(name, change_id) for name in running} - {"unknown"}
    row.require(outcomes == {"taken"}, f"{change_id} is {outcomes}")


def leader_resumes(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """A leader cut off with one member is paused and resumes: it must not vouch for that one any more."""
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
    """Two of three voters are gone for good: those that run decide on."""
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
    row.require(deciding == {"n2", "n3", "n4", "n5"}, f"only {deciding} decide on")
    simulation.settle()
    return simulation


def both_sides(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """Two changes at the same instant on both sides of a partition."""
    simulation = PolicyChangeSimulation(seed, 6, 3, removed_defence=removed_defence)
    simulation.run(2500.0)
    side = {address(name) for name in ("n0", "n3", "n4")}
    simulation.network.is_cut = partial(crosses_partition, side)
    change_ids = (simulation.propose("n0", 1), simulation.propose("n1", 2))
    simulation.run(3000.0)
    simulation.settle()
    outcomes = {simulation.change_outcome("n5", change_id) for change_id in change_ids}
    row.require(outcomes <= set(FINAL_OUTCOMES), f"they ended as {outcomes}")
    return simulation


def refused(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """One server can't use the change: it is named, and nobody decides by the change."""
    simulation = PolicyChangeSimulation(seed, 5, 3, removed_defence=removed_defence)
    simulation.policy_checks["n4"] = lambda policy: POLICY_CONFLICT if policy else ""
    simulation.kill("n4")
    simulation.start("n4")
    simulation.run(2500.0)
    change_id = simulation.propose("n3", 1)
    simulation.run(1500.0)
    reason = simulation.servers["n3"].policy_node.change_status(change_id).reason
    row.require(reason == f"n4: {POLICY_CONFLICT}", f"it says {reason!r}")
    is_used = any(entry[3] for entry in simulation.history if entry[1] == "decided")
    row.require(not is_used, "it was decided by")
    return simulation


def voters_crash(_row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """Voters die all the while: what they have promised must be on disk first."""
    simulation = PolicyChangeSimulation(seed, 4, 3, removed_defence=removed_defence)
    rng = simulation.rng
    for number in range(CRASH_STEPS_COUNT):
        simulation.run(float(rng.choice(CRASH_STEP_MS)))
        running = [name for name in simulation.server_names if name not in simulation.down_servers]
        simulation.propose(rng.choice(running), number)
        victim = rng.choice(simulation.settings.voters)
        if victim in running and len(running) > 1:
            simulation.kill(victim)
        elif simulation.down_servers:
            simulation.start(rng.choice(sorted(simulation.down_servers)))
        side = {address(name) for name in rng.sample(simulation.settings.voters, 1)}
        is_partitioned = rng.random() < PARTITION_PROBABILITY
        simulation.network.is_cut = partial(crosses_partition, side) if is_partitioned else no_cut
    simulation.settle()
    return simulation


def declared_gone_late(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """An operator's command that one is gone reaches the leader only once that machine is back."""
    simulation = PolicyChangeSimulation(seed, 5, 3, removed_defence=removed_defence)
    simulation.run(2500.0)
    for name in ("n0", "n1", "n4"):
        simulation.kill(name)
    simulation.declare_departed("n2", "n4")  # nobody leads: it waits
    simulation.run(1000.0)
    for name in ("n4", "n0", "n1"):
        simulation.start(name)
    simulation.run(4000.0)
    simulation.network.is_cut = partial(is_to_or_from, address("n4"))
    change_id = simulation.propose("n3", 1)
    simulation.run(3000.0)
    is_waiting = simulation.change_outcome("n3", change_id) not in FINAL_OUTCOMES
    row.require(is_waiting, "it did not wait for one that is there")
    simulation.settle()
    return simulation


def voters_replaced(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """One of three is gone for good: another is added, the dead one removed, and a second may die then."""
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
    """Returns the voters as one of them knows them."""
    raft = simulation.servers[name].policy_node.raft
    assert raft is not None
    return raft.voters


def settings_outdated(row: ExperimentRow, seed: int, removed_defence: str) -> PolicyChangeSimulation:
    """All voters of the settings are replaced one after the other; whoever starts then finds the new one."""
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
    for name in ("n0", "n1", "n2"):  # none of the settings' voters runs any more
        simulation.kill(name)
    simulation.kill("n5")
    simulation.start("n5")
    simulation.run(12_000.0)
    is_member = simulation.servers["n5"].participant.is_member
    row.require(is_member, "n5 does not find the leader among those that are there")
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
"""Rows by the names that the command line knows."""
LARGE_ROWS = ("without_faults", "with_loss", "tenth_down")
"""Played a tenth as often as others."""
