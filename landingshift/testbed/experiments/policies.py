"""A change of policy under what it is meant for, in virtual time and with real processes; a row a case.

`away` takes one defence away: the rows that rest on it must then be broken.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from landingshift.consensus.raft import Role
from landingshift.policies.commands import FINAL_OUTCOMES
from landingshift.testbed.experiments.rows import ExperimentRow, play_real_rows
from landingshift.testbed.simulation.policy_change import PolicyChangeSimulation, address, run_random_history
from landingshift.testbed.simulation.virtual_time import Address
from landingshift.testbed.verification.invariants import find_violations
from landingshift.testbed.verification.search_policy_change import PolicyChangeSearch

CHUNK = 50  # histories that one worker plays at a time


def judged(row: ExperimentRow, hall: PolicyChangeSimulation) -> None:
    """Promises, and that all is well in the end: one version everywhere, and one answer from everybody."""
    row.violations += find_violations(hall.history, hall.settings.overlap_ms)
    minds = hall.servers.values()
    versions = {m.participant.version for m in minds}
    row.require(len(versions) == 1, f"versions {versions} in the end")
    row.require(all(m.participant.is_member for m in minds), "not all are counted in the end")
    row.require(all(m.participant.may_decide(m.clock_ms()) for m in minds), "not all decide in the end")


def histories(first: int, count: int, away: str) -> ExperimentRow:
    """With faults drawn from the seed."""
    row = ExperimentRow("histories", runs=count)
    ends = {"taken": 0, "refused": 0, "withdrawn": 0}
    for seed in range(first, first + count):
        hall = run_random_history(seed, removed_defence=away)
        had = len(row.violations)
        judged(row, hall)
        row.violations[had:] = [f"seed {seed}: {text}" for text in row.violations[had:]]
        for entry in {(e[3], e[4]) for e in hall.history if e[1] == "end"}:
            ends[entry[1]] += 1
    row.figures |= ends
    return row


def leader(hall: PolicyChangeSimulation) -> str:
    for name, mind in hall.servers.items():
        voter = mind.policy_node.raft
        if name not in hall.down_servers and voter is not None and voter.role is Role.LEADER:
            return name
    raise AssertionError("nobody leads")


def taken(row: ExperimentRow, hall: PolicyChangeSimulation, id: str) -> None:
    ends = {hall.change_outcome(name, id) for name in hall.server_names if name not in hall.down_servers} - {
        "unknown"
    }
    row.require(ends == {"taken"}, f"{id} is {ends}")


# One row for what must hold in a case of its own; each is given its seed and the defence that is away


def without_faults(row: ExperimentRow, seed: int, away: str) -> PolicyChangeSimulation:
    """200 servers: how long a change takes."""
    hall = PolicyChangeSimulation(seed, 200, 5, removed_defence=away)
    hall.run(4000.0)
    began = hall.network.now_ms
    id = hall.propose(f"n{seed % 200}", 1)
    while hall.network.now_ms < began + 10_000.0 and {
        m.participant.version for m in hall.servers.values()
    } != {1}:
        hall.network.run_until(hall.network.now_ms + 20.0)
    top(row, "took_s", (hall.network.now_ms - began) / 1000.0)
    row.require(hall.network.now_ms - began <= 2000.0, f"took {hall.network.now_ms - began:.0f} ms")
    hall.run(300.0)
    taken(row, hall, id)
    return hall


def with_loss(row: ExperimentRow, seed: int, away: str) -> PolicyChangeSimulation:
    """200 servers and 5 % of all messages lost."""
    hall = PolicyChangeSimulation(seed, 200, 5, removed_defence=away, change_timeout_ms=20_000.0)
    hall.network.loss_probability = 0.05
    hall.run(5000.0)
    id = hall.propose(f"n{seed % 200}", 1)
    began = hall.network.now_ms
    while hall.network.now_ms < began + 20_000.0 and {
        m.participant.version for m in hall.servers.values()
    } != {1}:
        hall.network.run_until(hall.network.now_ms + 50.0)
    top(row, "took_s", (hall.network.now_ms - began) / 1000.0)
    hall.run(300.0)
    taken(row, hall, id)
    return hall


def tenth_down(row: ExperimentRow, seed: int, away: str) -> PolicyChangeSimulation:
    """A tenth of 200 is down and stands aside in time: a change takes no more than the lease and 2 s."""
    hall = PolicyChangeSimulation(
        seed,
        200,
        5,
        True,
        removed_defence=away,
        lease_ms=3000.0,
        clock_margin_ms=300.0,
        change_timeout_ms=20_000.0,
    )
    hall.run(4000.0)
    for i in range(20):
        hall.kill(f"n{199 - i}")
    id, began = hall.propose("n7", 1), hall.network.now_ms
    rest = [m for n, m in hall.servers.items() if n not in hall.down_servers]
    while hall.network.now_ms < began + 20_000.0 and {m.participant.version for m in rest} != {1}:
        hall.network.run_until(hall.network.now_ms + 20.0)
    top(row, "took_s", (hall.network.now_ms - began) / 1000.0)
    row.require(hall.network.now_ms - began <= 5000.0, f"took {hall.network.now_ms - began:.0f} ms")
    hall.run(300.0)
    taken(row, hall, id)
    hall.settle(4000.0)
    return hall


def leader_wakes(row: ExperimentRow, seed: int, away: str) -> PolicyChangeSimulation:
    """A leader cut off with one member stands still and wakes: it must not vouch for that one any more."""
    hall = PolicyChangeSimulation(seed, 5, 3, True, removed_defence=away)
    hall.run(2500.0)
    lead = leader(hall)
    side = {address(lead), address("n4")}
    hall.network.is_cut = lambda a, b: (a in side) != (b in side)
    hall.hosts[lead].pause(5000.0)
    other = next(n for n in hall.settings.voters if n != lead)
    hall.run(1500.0)
    id = hall.propose(other, 1)
    hall.run(5000.0)
    taken(row, hall, id)
    hall.settle()
    return hall


def majority_gone(row: ExperimentRow, seed: int, away: str) -> PolicyChangeSimulation:
    """For good: those that run decide on."""
    hall = PolicyChangeSimulation(seed, 6, 3, removed_defence=away)
    hall.run(2500.0)
    id = hall.propose("n5", 1)
    hall.run(1500.0)
    taken(row, hall, id)
    hall.kill("n0")
    hall.kill("n1")
    since = hall.network.now_ms + 2000.0
    hall.run(20_000.0)
    late = {e[2] for e in hall.history if e[1] == "decided" and e[0] > since}
    row.require(late == {"n2", "n3", "n4", "n5"}, f"only {late} decide on")
    hall.settle()
    return hall


def both_sides(row: ExperimentRow, seed: int, away: str) -> PolicyChangeSimulation:
    """Two changes at the same instant on both sides of a cut."""
    hall = PolicyChangeSimulation(seed, 6, 3, removed_defence=away)
    hall.run(2500.0)
    half = {address(n) for n in ("n0", "n3", "n4")}
    hall.network.is_cut = lambda a, b: (a in half) != (b in half)
    one, two = hall.propose("n0", 1), hall.propose("n1", 2)
    hall.run(3000.0)
    hall.settle()
    ends = {hall.change_outcome("n5", one), hall.change_outcome("n5", two)}
    row.require(ends <= set(FINAL_OUTCOMES), f"they ended as {ends}")
    return hall


def refused(row: ExperimentRow, seed: int, away: str) -> PolicyChangeSimulation:
    """One can't read it."""
    hall = PolicyChangeSimulation(seed, 5, 3, removed_defence=away)
    hall.policy_checks["n4"] = lambda policy: "methods.m.criticality: not here" if policy else ""
    hall.kill("n4")
    hall.start("n4")
    hall.run(2500.0)
    id = hall.propose("n3", 1)
    hall.run(1500.0)
    said = hall.servers["n3"].policy_node.change_status(id).reason
    row.require(said == "n4: methods.m.criticality: not here", f"it says {said!r}")
    row.require(not any(e[3] for e in hall.history if e[1] == "decided"), "it was decided by")
    return hall


def is_between(half: set[Address], a: Address, b: Address) -> bool:
    """Whether one of two is in the half and the other is not."""
    return (a in half) != (b in half)


def forgets(row: ExperimentRow, seed: int, away: str) -> PolicyChangeSimulation:
    """Voters die between write and sync all the while: what they promised must be on disk first."""
    hall = PolicyChangeSimulation(seed, 4, 3, removed_defence=away)
    for number in range(25):
        hall.run(float(hall.rng.choice((60.0, 400.0))))
        up = [n for n in hall.server_names if n not in hall.down_servers]
        hall.propose(hall.rng.choice(up), number)
        victim = hall.rng.choice(hall.settings.voters)
        if victim in up and len(up) > 1:
            hall.kill(victim)
        elif hall.down_servers:
            hall.start(hall.rng.choice(sorted(hall.down_servers)))
        half = {address(n) for n in hall.rng.sample(hall.settings.voters, 1)}
        if hall.rng.random() < 0.5:
            hall.network.is_cut = partial(is_between, half)
        else:
            hall.network.is_cut = lambda a, b: False
    hall.settle()
    return hall


def gone_late(row: ExperimentRow, seed: int, away: str) -> PolicyChangeSimulation:
    """An operator's word that one has ended reaches the leader only once that machine is back."""
    hall = PolicyChangeSimulation(seed, 5, 3, removed_defence=away)
    hall.run(2500.0)
    for name in ("n0", "n1", "n4"):
        hall.kill(name)
    hall.declare_departed("n2", "n4")  # nobody leads: it waits
    hall.run(1000.0)
    for name in ("n4", "n0", "n1"):
        hall.start(name)
    hall.run(4000.0)
    cut = address("n4")
    hall.network.is_cut = lambda a, b: cut in (a, b)
    id = hall.propose("n3", 1)
    hall.run(3000.0)
    row.require(hall.change_outcome("n3", id) not in FINAL_OUTCOMES, "it did not wait for one that is there")
    hall.settle()
    return hall


def voters_replaced(row: ExperimentRow, seed: int, away: str) -> PolicyChangeSimulation:
    """One of three is gone for good: another is added, the dead one removed, and a second may die then."""
    hall = PolicyChangeSimulation(seed, 6, 3, removed_defence=away)
    hall.run(2500.0)
    first = hall.propose("n5", 1)
    hall.run(800.0)
    hall.kill("n0")
    hall.run(2000.0)
    hall.change_voter("n4", "add", "n3")
    hall.run(4000.0)
    hall.change_voter("n4", "remove", "n0")
    hall.run(2000.0)
    voters = hall.servers["n3"].policy_node.raft
    assert voters is not None
    row.require(set(voters.voters) == {"n1", "n2", "n3"}, f"voters are {voters.voters}")
    hall.kill("n1")
    hall.run(3000.0)
    for name in ("n0", "n1"):
        hall.declare_departed("n2", name)
    hall.run(1000.0)
    second = hall.propose("n5", 2)
    hall.run(1500.0)
    taken(row, hall, first)
    taken(row, hall, second)
    hall.settle()
    return hall


def settings_outdated(row: ExperimentRow, seed: int, away: str) -> PolicyChangeSimulation:
    """All voters of the settings are replaced one after the other; whoever starts then finds the new one."""
    hall = PolicyChangeSimulation(seed, 6, 3, removed_defence=away)
    hall.run(2500.0)
    for how, name in (("add", "n3"), ("remove", "n0"), ("remove", "n1"), ("remove", "n2")):
        hall.change_voter("n4", how, name)
        hall.run(3000.0)
    voter = hall.servers["n3"].policy_node.raft
    assert voter is not None
    row.require(voter.voters == ("n3",), f"voters are {voter.voters}")
    for name in ("n3", "n5", "n0"):
        hall.kill(name)
        hall.start(name)
    hall.run(8000.0)
    id = hall.propose("n5", 1)
    hall.run(2000.0)
    taken(row, hall, id)
    for name in ("n0", "n1", "n2"):  # none of the settings' voters runs any more
        hall.kill(name)
    hall.kill("n5")
    hall.start("n5")
    hall.run(12_000.0)
    row.require(
        hall.servers["n5"].participant.is_member, "n5 does not find the leader among those that are there"
    )
    hall.settle()
    return hall


VIRTUAL: dict[str, Callable[[ExperimentRow, int, str], PolicyChangeSimulation]] = {
    "without_faults": without_faults,
    "with_loss": with_loss,
    "tenth_down": tenth_down,
    "leader_wakes": leader_wakes,
    "majority_gone": majority_gone,
    "both_sides": both_sides,
    "refused": refused,
    "forgets": forgets,
    "gone_late": gone_late,
    "voters_replaced": voters_replaced,
    "settings_outdated": settings_outdated,
}
LARGE = ("without_faults", "with_loss", "tenth_down")  # 200 servers each


def searched(depth: int, most: int, away: str) -> ExperimentRow:
    """Every order of a small model, in both ways of being cut off."""
    row = ExperimentRow("search", figures={"depth": depth})
    for aside in (False, True):
        found = PolicyChangeSearch(aside, away).run(depth, most)
        row.runs += found.state_count
        row.figures["depth"] = min(row.figures["depth"], found.depth_reached)
        row.require(not found.violation, f"all_or_none: {found.violation}")
    return row


def top(row: ExperimentRow, name: str, value: float) -> None:
    row.figures[name] = max(row.figures.get(name, 0.0), round(value, 2))


def virtual(name: str, runs: int, seed: int, away: str) -> ExperimentRow:
    row = ExperimentRow(name)
    for i in range(max(1, runs // 10) if name in LARGE else runs):
        judged(row, VIRTUAL[name](row, seed + i, away))
        row.runs += 1
    return row


def many(count: int, seed: int, away: str) -> ExperimentRow:
    """Histories on all cores, put together."""
    row = ExperimentRow("histories")
    chunks = [(seed + i, min(CHUNK, count - i), away) for i in range(0, count, CHUNK)]
    with ProcessPoolExecutor() as pool:
        for part in pool.map(histories, *zip(*chunks, strict=True)):
            row.runs += part.runs
            row.violations += part.violations
            for key, value in part.figures.items():
                row.figures[key] = row.figures.get(key, 0) + value
    return row


def experiment(
    repeats: int, seed: int, servers: int, away: str = "", only: str | None = None, count: int = 200
) -> Iterator[ExperimentRow]:
    """`repeats` of each virtual row, `count` histories; `servers`: also the rows of real processes."""
    if only in (None, "search"):
        yield searched(12, 100 * count, away)
    if only in (None, "histories"):
        yield many(count, seed, away)
    for name in VIRTUAL:
        if only in (None, name):
            yield virtual(name, repeats, seed, away)
    if servers:
        from landingshift.testbed.experiments.policies_real import LONG, REAL

        yield from play_real_rows(REAL, LONG, only, servers, repeats, seed)
