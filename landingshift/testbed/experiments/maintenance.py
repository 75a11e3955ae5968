"""Maintenance experiment in virtual time: a day of a large fleet, random faults, and the greedy planner.

Each case can run with one defence disabled. The cases that depend on the defence must then find a violation.
Cases with real processes are in `maintenance_real`.
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
"""Maximum duration of the maintenance of a whole fleet, as a multiple of its lower bound."""
WHOLE_DAY_STEP_MS = 4000.0
FAULT_COUNT = 160
FAULT_CHOICE_COUNT = 14
"""Number of equally likely choices in `_inject_fault`. Only the first seven can have an effect."""


def whole_day(row: ExperimentRow, seed: int, removed_defence: str, count: int = 200) -> None:
    """Maintenance of all machines, ten minutes each, is requested at night and completes within the day.

    Capacity stays above its floor under the changing load, and the duration stays close to its lower bound.
    """
    fleet = SimulatedFleet(seed, count, removed_defence=removed_defence)
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
    final_states = {ended.final_state for ended in fleet.state.history}
    open_count = len(fleet.state.requests)
    are_completed = final_states == {RequestState.COMPLETED.value} and not open_count
    row.require(are_completed, f"final states {final_states}, {open_count} requests open")
    _require_headroom(row, fleet, "")
    duration_ratio = took_ms / bound_ms
    is_in_time = took_ms <= MAX_DURATION_RATIO * bound_ms
    row.require(is_in_time, f"maintenance took {duration_ratio:.2f} times the lower bound")
    row.violations += fleet.violations[:2]
    row.figures["fixed_batches_min"] = _fixed_batches_minutes(fleet)


def _day_lower_bound_ms(fleet: SimulatedFleet, began_ms: float) -> float:
    machines = [machine.machine for machine in fleet.machines.values()]

    def constraints_at(elapsed_ms: float) -> CapacityConstraints:
        demand = fleet.load(began_ms + elapsed_ms) * fleet.total_capacity
        return CapacityConstraints(machines, DisruptionBudget(), demand)

    return duration_lower_bound_ms(constraints_at, fleet.outage_minutes * MS_PER_MINUTE, fleet.warm_up_ms)


def _fixed_batches_minutes(fleet: SimulatedFleet) -> int:
    """Returns the minutes that maintenance takes in batches of a fixed size that is safe at the peak load."""
    machines = [machine.machine for machine in fleet.machines.values()]
    at_peak = CapacityConstraints(machines, DisruptionBudget(), fleet.peak_load * fleet.total_capacity)
    requests = {m.name: MaintenanceRequest(m.name, fleet.outage_minutes, 0.0) for m in machines}
    batch_size = len(select_next(requests, at_peak, {}, 0.0))
    batch_count = ceil(len(machines) / batch_size)
    return round(batch_count * (fleet.outage_minutes + fleet.warm_up_ms / MS_PER_MINUTE))


def _require_headroom(row: ExperimentRow, fleet: SimulatedFleet, prefix: str) -> None:
    """Requires that capacity never fell below its floor; a violation begins with `prefix`."""
    headroom = fleet.min_headroom
    is_kept = headroom >= -HEADROOM_TOLERANCE
    row.require(is_kept, f"{prefix}capacity was {-headroom:.0f} RPCs per second below its floor")


def random_faults(row: ExperimentRow, seed: int, removed_defence: str) -> None:
    """Twelve machines with random requests and faults: all requests end, and each permit is used once."""
    fleet = SimulatedFleet(seed, 12, zones=2, warm_up_ms=4000.0, removed_defence=removed_defence)
    fleet.outage_minutes = 0.2
    fleet.peak_load = 0.45
    for _ in range(FAULT_COUNT):
        _inject_fault(fleet)
        for _ in range(fleet.rng.randint(1, 8)):
            fleet.step()
    _recover(fleet)
    row.violations += [f"seed {seed}: {text}" for text in fleet.violations[:2]]
    open_requests = {request.name: request.state.value for request in fleet.state.requests.values()}
    waiting_reason = fleet.coordinator.waiting_reason
    row.require(not open_requests, f"seed {seed}: requests still open: {open_requests}, {waiting_reason}")
    permits = [
        ended.permit_number
        for ended in fleet.state.history
        if ended.final_state == RequestState.COMPLETED.value
    ]
    row.require(len(permits) == len(set(permits)), f"seed {seed}: two machines used the same permit")
    row.figures["done"] = row.figures.get("done", 0) + len(permits)


def _inject_fault(fleet: SimulatedFleet) -> None:
    rng = fleet.rng
    names = list(fleet.machines)
    name = rng.choice(names)
    machine = fleet.machines[name]
    match rng.randrange(FAULT_CHOICE_COUNT):
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
    """Heals partitions, ends stalls, lowers the load, and runs at most 600 steps until no request is open."""
    for machine in fleet.machines.values():
        machine.is_partitioned = False
        machine.stalled_until_ms = 0.0
    fleet.peak_load = 0.3
    for _ in range(600):
        fleet.step()
        if not fleet.state.requests:
            break


def capacity_kept(row: ExperimentRow, seed: int, removed_defence: str) -> None:
    """Capacity stays above its floor without faults; after crashes no machine drains below the floor."""
    fleet = SimulatedFleet(seed, 20, zones=2, warm_up_ms=4000.0, removed_defence=removed_defence)
    fleet.outage_minutes = 0.3
    fleet.peak_load = 0.55
    fleet.now_ms = 12 * 60 * MS_PER_MINUTE
    for _ in range(10):
        fleet.step()
    names = list(fleet.machines)
    fleet.request_maintenance(names[:14])
    for _ in range(16):
        fleet.step()
    _require_headroom(row, fleet, f"seed {seed}: ")
    for name in fleet.rng.sample(names[14:], 4):
        fleet.crash(name, 90_000.0)
    down_before = _down_machines(fleet)
    for _ in range(100):
        fleet.step()
        newly_down = _down_machines(fleet) - down_before
        headroom = _running_capacity(fleet) - fleet.load(fleet.now_ms) * 2000.0 * 1.1
        if newly_down and headroom < -HEADROOM_TOLERANCE:
            violation = f"{sorted(newly_down)} drained with capacity {-headroom:.0f} below its floor"
            row.violations.append(f"seed {seed}: {violation}")
            break


def _down_machines(fleet: SimulatedFleet) -> set[str]:
    return {name for name, machine in fleet.machines.items() if not machine.is_up}


def _running_capacity(fleet: SimulatedFleet) -> float:
    return sum(MACHINE_CAPACITY_RPCS_PER_SECOND for machine in fleet.machines.values() if machine.is_up)


def late_permit(row: ExperimentRow, seed: int, removed_defence: str) -> None:
    """A machine receives a permit only after the permit has expired, and must not drain."""
    fleet = SimulatedFleet(seed, 12, zones=2, warm_up_ms=1000.0, removed_defence=removed_defence)
    fleet.outage_minutes = 0.5
    fleet.peak_load = 0.3
    for _ in range(10):
        fleet.step()
    name = f"n{9 + seed % 3}"  # neither a voter nor a server of critical methods
    machine = fleet.machines[name]
    machine.answer_delay_ms = 3.0 * fleet.settings.permit_valid_ms
    fleet.request_maintenance([name])
    for _ in range(20):
        if name not in fleet.state.permitted_run_ids:
            fleet.step()
    fleet.peak_load = 2.5  # at night 0.34 of this, plus headroom, exceeds the capacity of eleven machines
    for _ in range(60):
        fleet.step()
    has_stayed = not machine.draining_permit and machine.is_up
    row.require(has_stayed, f"seed {seed}: {name} drained on the expired permit {machine.draining_permit}")
    row.violations += [f"seed {seed}: {text}" for text in fleet.violations[:1]]


def greedy_order(row: ExperimentRow, seed: int, _removed_defence: str) -> None:
    """On a random small fleet, greedy planning and an exact search agree on whether all machines can drain.

    The maintenance rounds of both are counted.
    """
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
    row.require((exact < 0) == (greedy < 0), f"seed {seed}: {exact} exact rounds, {greedy} greedy ones")
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
"""Cases by their names on the command line."""


def play_virtual_row(name: str, runs: int, seed: int, removed_defence: str) -> ExperimentRow:
    """Runs a case in virtual time for `runs` consecutive seeds; "whole_day" runs only once.

    Args:
        name: Key of `VIRTUAL_ROWS`.
        runs: Number of runs.
        seed: Seed of the first run.
        removed_defence: Name of the defence that is disabled; "" for none.
    """
    row = ExperimentRow(name)
    for offset in range(1 if name == "whole_day" else runs):
        VIRTUAL_ROWS[name](row, seed + offset, removed_defence)
        row.runs += 1
    return row


def experiment(
    repeats: int, seed: int, servers: int, removed_defence: str = "", only: str | None = None
) -> Iterator[ExperimentRow]:
    """Runs all cases, or a single one, and yields the row of each when it is done.

    Args:
        repeats: Number of runs of each case.
        seed: Seed of the first run of each case.
        servers: Number of servers of the cases with real processes; 0 skips these cases.
        removed_defence: Name of the defence that is disabled in virtual time; "" for none.
        only: Name of the single case to run; None for all.
    """
    for name in VIRTUAL_ROWS:
        if only in (None, name):
            yield play_virtual_row(name, repeats, seed, removed_defence)
    if servers:
        from landingshift.testbed.experiments.maintenance_real import LONG, REAL

        yield from play_real_rows(REAL, LONG, only, servers, repeats, seed)
