"""Rows of the maintenance experiment in virtual time: a day of hundreds, random faults, the greedy order.

Each row may run without one defence and must then find a violation; rows of real processes are in
`maintenance_real`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import astuple
from math import ceil
from random import Random

from landingshift.maintenance.capacity_constraints import CapacityConstraints, DisruptionBudget, Machine
from landingshift.maintenance.planner import MS_PER_MINUTE, select_next
from landingshift.maintenance.requests import MaintenanceRequest, RequestState
from landingshift.maintenance.schedule_bounds import duration_lower_bound_ms, exact_rounds, greedy_rounds
from landingshift.testbed.experiments.rows import ExperimentRow, play_real_rows
from landingshift.testbed.simulation.maintenance_fleet import (
    DAY_MINUTES,
    MACHINE_CAPACITY_RPCS_PER_SECOND,
    SimulatedFleet,
)

HEADROOM_TOLERANCE = 1e-6
MAX_DURATION_RATIO = 1.6
"""Of the lower bound that a whole day's work may take."""
WHOLE_DAY_STEP_MS = 4000.0
FAULTS_COUNT = 160
FAULT_KINDS_COUNT = 14
"""Of which only the first few do something."""


def whole_day(row: ExperimentRow, seed: int, without: str, count: int = 200) -> None:
    """Maintenance of all machines is requested, ten minutes each, from the night on, under the day's load."""
    fleet = SimulatedFleet(seed, count, removed_defence=without)
    for _ in range(3):
        fleet.step(WHOLE_DAY_STEP_MS)
    fleet.request_maintenance(fleet.machines)
    began_ms = fleet.now_ms
    while fleet.state.requests and fleet.now_ms < DAY_MINUTES * MS_PER_MINUTE:
        fleet.step(WHOLE_DAY_STEP_MS)
        row.series.setdefault("day", []).append(astuple(fleet.sample(began_ms)))
    took_ms = fleet.now_ms - began_ms
    bound_ms = _day_lower_bound_ms(fleet, began_ms)
    row.figures["took_min"] = round(took_ms / MS_PER_MINUTE)
    row.figures["over_least"] = max(row.figures.get("over_least", 0.0), round(took_ms / bound_ms, 2))
    ends = {ended.final_state for ended in fleet.state.history}
    left = len(fleet.state.requests)
    row.require(ends == {RequestState.COMPLETED.value} and not left, f"ends {ends}, {left} left")
    _must_keep_headroom(row, fleet, "")
    row.require(took_ms <= MAX_DURATION_RATIO * bound_ms, f"took {took_ms / bound_ms:.2f} of the least")
    row.violations += fleet.violations[:2]
    row.figures["fixed_batches_min"] = _fixed_batches_minutes(fleet)


def _day_lower_bound_ms(fleet: SimulatedFleet, began_ms: float) -> float:
    machines = [machine.machine for machine in fleet.machines.values()]

    def constraints_at(elapsed_ms: float) -> CapacityConstraints:
        demand = fleet.load(began_ms + elapsed_ms) * fleet.total_capacity
        return CapacityConstraints(machines, DisruptionBudget(), demand)

    return duration_lower_bound_ms(constraints_at, fleet.outage_minutes * MS_PER_MINUTE, fleet.warm_up_ms)


def _fixed_batches_minutes(fleet: SimulatedFleet) -> int:
    """Returns the minutes that batches would take of the size that is safe at the day's peak."""
    machines = [machine.machine for machine in fleet.machines.values()]
    at_peak = CapacityConstraints(machines, DisruptionBudget(), fleet.peak_load * fleet.total_capacity)
    requests = {m.name: MaintenanceRequest(m.name, fleet.outage_minutes, 0.0) for m in machines}
    batch_size = len(select_next(requests, at_peak, {}, 0.0))
    batches = ceil(len(machines) / batch_size)
    return round(batches * (fleet.outage_minutes + fleet.warm_up_ms / MS_PER_MINUTE))


def _must_keep_headroom(row: ExperimentRow, fleet: SimulatedFleet, prefix: str) -> None:
    headroom = fleet.min_headroom
    row.require(headroom >= -HEADROOM_TOLERANCE, f"{prefix}capacity {-headroom:.0f} under the floor")


def random_faults(row: ExperimentRow, seed: int, without: str) -> None:
    """Twelve machines, requests and faults drawn from the seed; in the end every request has ended."""
    fleet = SimulatedFleet(seed, 12, zones=2, warm_up_ms=4000.0, removed_defence=without)
    fleet.outage_minutes = 0.2
    fleet.peak_load = 0.45
    for _ in range(FAULTS_COUNT):
        _inject_fault(fleet)
        for _ in range(fleet.rng.randint(1, 8)):
            fleet.step()
    _recover(fleet)
    row.violations += [f"seed {seed}: {text}" for text in fleet.violations[:2]]
    open_requests = {request.name: request.state.value for request in fleet.state.requests.values()}
    waiting_reason = fleet.coordinator.waiting_reason
    row.require(not open_requests, f"seed {seed}: left hanging: {open_requests}, {waiting_reason}")
    permits = [
        ended.permit_number
        for ended in fleet.state.history
        if ended.final_state == RequestState.COMPLETED.value
    ]
    row.require(len(permits) == len(set(permits)), f"seed {seed}: one permission, two holders")
    row.figures["done"] = row.figures.get("done", 0) + len(permits)


def _inject_fault(fleet: SimulatedFleet) -> None:
    rng = fleet.rng
    names = list(fleet.machines)
    name = rng.choice(names)
    machine = fleet.machines[name]
    match rng.randrange(FAULT_KINDS_COUNT):
        case 0 | 1:
            chosen = rng.sample(names, rng.randint(1, 6))
            fleet.request_maintenance(chosen, is_exclusive=rng.random() < 0.1)
        case 2 if machine.is_up:
            fleet.crash(name, rng.choice((2000.0, 20_000.0)))
        case 3:
            machine.stalled_until_ms = fleet.now_ms + rng.uniform(500.0, 9000.0)
        case 4:
            fleet.coordinator = fleet.elect_leader()
        case 5:
            machine.is_partitioned = not machine.is_partitioned
        case 6:
            fleet.peak_load = rng.choice((0.3, 0.45, 0.7))


def _recover(fleet: SimulatedFleet) -> None:
    """Ends all faults and lets the requests come to their end."""
    for machine in fleet.machines.values():
        machine.is_partitioned = False
        machine.stalled_until_ms = 0.0
    fleet.peak_load = 0.3
    for _ in range(600):
        fleet.step()
        if not fleet.state.requests:
            break


def capacity_kept(row: ExperimentRow, seed: int, without: str) -> None:
    """Without faults the capacity stays above the constraints, and nobody leaves that would go below it."""
    fleet = SimulatedFleet(seed, 20, zones=2, warm_up_ms=4000.0, removed_defence=without)
    fleet.outage_minutes = 0.3
    fleet.peak_load = 0.55
    fleet.now_ms = 12 * 60 * MS_PER_MINUTE
    for _ in range(10):
        fleet.step()
    names = list(fleet.machines)
    fleet.request_maintenance(names[:14])
    for _ in range(16):
        fleet.step()
    _must_keep_headroom(row, fleet, f"seed {seed}: ")
    for name in fleet.rng.sample(names[14:], 4):
        fleet.crash(name, 90_000.0)
    down_before = _down(fleet)
    for _ in range(100):
        fleet.step()
        newly_down = _down(fleet) - down_before
        headroom = _capacity_up(fleet) - fleet.load(fleet.now_ms) * 2000.0 * 1.1
        if newly_down and headroom < -HEADROOM_TOLERANCE:
            violation = f"{sorted(newly_down)} let go {-headroom:.0f} under the floor after a crash"
            row.violations.append(f"seed {seed}: {violation}")
            break


def _down(fleet: SimulatedFleet) -> set[str]:
    return {name for name, machine in fleet.machines.items() if not machine.is_up}


def _capacity_up(fleet: SimulatedFleet) -> float:
    return sum(MACHINE_CAPACITY_RPCS_PER_SECOND for machine in fleet.machines.values() if machine.is_up)


def late_permit(row: ExperimentRow, seed: int, without: str) -> None:
    """A permit is on its way while load rises and it is withheld: it must not be used when it comes."""
    fleet = SimulatedFleet(seed, 12, zones=2, warm_up_ms=1000.0, removed_defence=without)
    fleet.outage_minutes = 0.5
    fleet.peak_load = 0.3
    for _ in range(10):
        fleet.step()
    name = f"n{9 + seed % 3}"  # neither a voter nor one that serves critical methods
    machine = fleet.machines[name]
    machine.answer_delay_ms = 3.0 * fleet.settings.permit_valid_ms
    fleet.request_maintenance([name])
    for _ in range(20):
        if name not in fleet.state.permitted_run_ids:
            fleet.step()
    fleet.peak_load = 2.5  # more than all can serve by night
    for _ in range(60):
        fleet.step()
    has_stayed = not machine.draining_permit and machine.is_up
    row.require(has_stayed, f"seed {seed}: {name} left by {machine.draining_permit}, too late")
    row.violations += [f"seed {seed}: {text}" for text in fleet.violations[:1]]


def greedy_order(row: ExperimentRow, seed: int, _without: str) -> None:
    """How far the greedy order is from the exact one on small fleets."""
    rng = Random(f"{seed} greedy")
    names = [f"n{index}" for index in range(rng.randint(4, 7))]
    machines = [
        Machine(name, rng.choice((50.0, 100.0, 200.0)), f"z{index % 2}", rng.choice("ab"), rng.random() < 0.4)
        for index, name in enumerate(names)
    ]
    demand = rng.uniform(0.3, 0.7) * sum(machine.capacity for machine in machines)
    constraints = CapacityConstraints(machines, DisruptionBudget(0.0, 0.3, 0.3, 0.3), demand)
    exact = exact_rounds(names, constraints)
    greedy = greedy_rounds(names, constraints)
    row.require((exact < 0) == (greedy < 0), f"seed {seed}: exact {exact}, greedy {greedy}")
    if exact > 0:
        row.figures["exact"] = row.figures.get("exact", 0) + exact
        row.figures["greedy"] = row.figures.get("greedy", 0) + greedy


VIRTUAL_ROWS: dict[str, Callable[[ExperimentRow, int, str], None]] = {
    "drawn": random_faults,
    "floor_kept": capacity_kept,
    "late_word": late_permit,
    "greedy": greedy_order,
    "whole_day": whole_day,
}
"""Rows by the names that the command line knows."""


def play_virtual_row(name: str, runs: int, seed: int, without: str) -> ExperimentRow:
    """Returns a row played `runs` times from consecutive seeds; the whole day is played once."""
    row = ExperimentRow(name)
    for offset in range(1 if name == "whole_day" else runs):
        VIRTUAL_ROWS[name](row, seed + offset, without)
        row.runs += 1
    return row


def experiment(
    repeats: int, seed: int, servers: int, without: str = "", only: str | None = None
) -> Iterator[ExperimentRow]:
    """Plays all rows, or the one named `only`; those of real processes with `servers` of them."""
    for name in VIRTUAL_ROWS:
        if only in (None, name):
            yield play_virtual_row(name, repeats, seed, without)
    if servers:
        from landingshift.testbed.experiments.maintenance_real import LONG, REAL

        yield from play_real_rows(REAL, LONG, only, servers, repeats, seed)
