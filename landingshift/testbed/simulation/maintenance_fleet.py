"""Simulates planned maintenance of a fleet of machines in virtual time, with the real coordinator.

There is no Raft group: a command that the coordinator proposes is applied immediately. One of two
defences can be removed from a simulation. Without "floor" there are no capacity constraints; without "end"
permits never expire. In both cases the checks must find a violation.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import cos, pi
from random import Random

from landingshift.maintenance.capacity_constraints import DisruptionBudget, Machine
from landingshift.maintenance.commands import AddRequests, Command
from landingshift.maintenance.coordinator import MaintenanceCoordinator
from landingshift.maintenance.coordinator_settings import CoordinatorSettings
from landingshift.maintenance.messages import LoadReport, ReportAnswer, ServerStatus
from landingshift.maintenance.permit import DrainPermit
from landingshift.maintenance.planner import MS_PER_MINUTE
from landingshift.maintenance.replicated_state import MaintenanceState
from landingshift.maintenance.requests import MaintenanceRequest
from landingshift.maintenance.storage import encode_command
from landingshift.testbed.verification.maintenance_state import state_violations

WITHOUT_CONSTRAINTS = "floor"
WITHOUT_EXPIRY = "end"
STEP_MS = 500.0
DAY_MINUTES = 24 * 60
MACHINE_CAPACITY_RPCS_PER_SECOND = 100.0
MODELS = ("a", "b", "c")
VOTER_COUNT = 5
CRITICAL_MACHINE_INTERVAL = 4
"""Every 4th machine serves critical methods."""
LATE_ANSWER_PROBABILITY = 0.1
"""Probability that the answer to a report reaches the reporting machine only in the next step."""
STALL_PROBABILITY = 0.05
"""Probability that a machine stalls after accepting a permit and before using it."""
MIN_STALL_MS = 100.0
LONG_AGO_MS = -1e12
"""Start time of machines that are warm from the beginning."""


@dataclass(slots=True)
class DelayedAnswer:
    """An answer to a machine's report that the machine has not processed yet. All times are virtual."""

    due_ms: float
    """Time at which the machine processes the answer."""
    reported_at_ms: float
    """Time at which the machine sent the report."""
    answer: ReportAnswer
    is_accepted: bool = False
    """Whether the machine has already accepted the permit and stalled before using it."""


@dataclass(slots=True, eq=False)
class SimulatedMachine:
    """A machine of the fleet and its latest process. All times are virtual.

    Attributes:
        machine: Name, capacity and placement of the machine.
        run_id: Number of the latest process, from 1.
        is_up: Whether the process runs.
        permit: The maintenance permit that the process has accepted.
        draining_permit: Number of the permit that the process used to shut down; 0 for none.
        used_permit: Number of the last permit used by an earlier process, stored on disk; 0 for none.
        restart_at_ms: Time at which a machine that is down starts again.
        started_at_ms: Start time of the process.
        stalled_until_ms: Time until which the process does nothing.
        delayed_answers: Answers that the process has not processed yet.
        is_partitioned: Whether the machine can't report to the coordinator.
        answer_delay_ms: Time from a report until the machine processes the answer; 0 for no delay.
    """

    machine: Machine
    run_id: int = 1
    is_up: bool = True
    permit: DrainPermit = field(default_factory=DrainPermit)
    draining_permit: int = 0
    used_permit: int = 0
    restart_at_ms: float = 0.0
    started_at_ms: float = LONG_AGO_MS
    stalled_until_ms: float = 0.0
    delayed_answers: list[DelayedAnswer] = field(default_factory=list)
    is_partitioned: bool = False
    answer_delay_ms: float = 0.0

    def warm_fraction(self, now_ms: float, warm_up_ms: float) -> float:
        """Returns the capacity that the machine has reached, as a fraction (0 to 1) of its full capacity."""
        if not self.is_up or not warm_up_ms:
            return float(self.is_up)
        return min(1.0, (now_ms - self.started_at_ms) / warm_up_ms)

    def restart(self, now_ms: float) -> None:
        """Starts a new process. Only `used_permit`, which is stored on disk, outlives the old process."""
        self.is_up = True
        self.run_id += 1
        self.started_at_ms = now_ms
        self.permit = DrainPermit()
        self.used_permit = self.draining_permit or self.used_permit
        self.draining_permit = 0
        self.delayed_answers = []

    def take_due_answers(self, now_ms: float) -> list[DelayedAnswer]:
        """Removes the due answers from `delayed_answers` and returns them."""
        due = [delayed for delayed in self.delayed_answers if delayed.due_ms <= now_ms]
        self.delayed_answers = [delayed for delayed in self.delayed_answers if delayed.due_ms > now_ms]
        return due


class SimulatedFleetEnvironment:
    """The interface through which the coordinator of one term uses the fleet."""

    def __init__(self, fleet: SimulatedFleet, term: int) -> None:
        self._fleet = fleet
        self._term = term

    def propose(self, command: Command) -> bool:
        """Applies a command immediately to the replicated state; always returns True."""
        self._fleet.state.apply(encode_command(command))
        return True

    def is_leader(self, _now_ms: float) -> bool:
        """Returns whether the term of this coordinator is the current term."""
        return self._term == self._fleet.term

    def has_left(self, name: str) -> bool:
        """Returns whether a machine is down."""
        return not self._fleet.machines[name].is_up

    def known_machines(self) -> set[str]:
        """Returns the names of all machines."""
        return set(self._fleet.machines)

    def wall_clock_ms(self) -> float:
        """Returns the virtual time."""
        return self._fleet.now_ms


@dataclass(frozen=True, slots=True)
class FleetSample:
    """A sample of a simulated day. Capacities and the demand are in RPCs per second."""

    minutes: float
    """Time since maintenance was requested."""
    warm_capacity: float
    """Present capacity of all machines: 0 for machines that are down, reduced for those not yet warm."""
    demand: float
    min_capacity: float
    """Minimum capacity of the whole fleet that the coordinator's constraints allow."""
    down_count: int
    """Number of machines that are down."""


class SimulatedFleet:
    """Machines under a load that follows the time of day, and the coordinator that currently leads.

    Attributes:
        rng: Generator of all random decisions.
        removed_defence: Defence that the fleet lacks, WITHOUT_CONSTRAINTS or WITHOUT_EXPIRY; "" for none.
        warm_up_ms: Time from the start of a machine until it is warm.
        now_ms: Virtual time, which all monotonic clocks and wall clocks show.
        machines: All machines, by name.
        settings: Settings of the coordinator.
        peak_load: Largest demand of the day, as a fraction of the fleet's capacity.
        outage_minutes: Time that a machine is down for maintenance.
        state: Replicated state of maintenance.
        term: Number of the current leader's term.
        coordinator: Coordinator of the current leader.
        violations: Descriptions of the violations that the checks have found.
        min_headroom: Minimum, over all steps, of the warm capacity minus the capacity that the default
            constraints require, in RPCs per second. Negative if the fleet once had too little capacity.
        never_restarted: Names of machines that stay down.
    """

    def __init__(
        self,
        seed: int | str,
        count: int,
        zones: int = 4,
        warm_up_ms: float = 60_000.0,
        removed_defence: str = "",
    ) -> None:
        """Creates a fleet whose machines are all up and warm.

        Args:
            seed: Seed of the random generator.
            count: Number of machines.
            zones: Number of zones, over which the machines are distributed in turn.
            warm_up_ms: Time from the start of a machine until it is warm.
            removed_defence: Defence that the fleet lacks, WITHOUT_CONSTRAINTS or WITHOUT_EXPIRY; "" for none.
        """
        self.rng = Random(f"{seed} day")
        self.removed_defence = removed_defence
        self.warm_up_ms = warm_up_ms
        self.now_ms = 0.0
        self.machines = {machine.name: SimulatedMachine(machine) for machine in _machines(count, zones)}
        has_constraints = removed_defence != WITHOUT_CONSTRAINTS
        self.settings = CoordinatorSettings(
            budget=DisruptionBudget() if has_constraints else DisruptionBudget(-1.0, 0.0, 0.0, 0.0),
            warm_up_minutes=warm_up_ms / MS_PER_MINUTE,
            is_staged=False,
        )
        self.peak_load = 0.75
        self.outage_minutes = 10.0
        self.state = MaintenanceState()
        self.term = 0
        self.coordinator = self.elect_leader()
        self.violations: list[str] = []
        self.min_headroom = 1e12
        self.never_restarted: set[str] = set()
        self._used_permits: set[int] = set()

    @property
    def total_capacity(self) -> float:
        """Capacity of all machines when warm, in RPCs per second."""
        return sum(machine.machine.capacity for machine in self.machines.values())

    def load(self, now_ms: float) -> float:
        """Returns the demand as a fraction of the fleet's capacity; at night about 1/3 of `peak_load`."""
        return self.peak_load * (0.67 - 0.33 * cos(2.0 * pi * now_ms / (DAY_MINUTES * MS_PER_MINUTE)))

    def elect_leader(self) -> MaintenanceCoordinator:
        """Begins a new term and returns its coordinator. The coordinator knows only the replicated state."""
        self.term += 1
        environment = SimulatedFleetEnvironment(self, self.term)
        return MaintenanceCoordinator(self.state, self.settings, environment)

    def request_maintenance(self, names: Iterable[str], is_exclusive: bool = False) -> None:
        """Adds maintenance requests for some machines to the replicated state."""
        requests = tuple(
            MaintenanceRequest(name, self.outage_minutes, self.now_ms, is_exclusive=is_exclusive)
            for name in names
        )
        self.state.apply(encode_command(AddRequests(requests)))

    def crash(self, name: str, outage_ms: float) -> None:
        """Ends the process of a machine, which starts again after `outage_ms`."""
        machine = self.machines[name]
        machine.is_up = False
        machine.restart_at_ms = self.now_ms + outage_ms

    def step(self, step_ms: float = STEP_MS) -> None:
        """Advances virtual time, lets machines restart and report, and lets the coordinator decide."""
        self.now_ms += step_ms
        demand = self.load(self.now_ms) * self.total_capacity
        serving = [m for m in self.machines.values() if m.is_up and m.stalled_until_ms <= self.now_ms]
        self._restart_machines()
        demand_each = demand / max(1, len(serving))
        for machine in serving:
            self._run_machine(machine, demand_each)
        self.coordinator.step(self.now_ms)
        self.violations += state_violations(self.state)
        self._record_headroom(demand)

    def sample(self, began_ms: float) -> FleetSample:
        """Returns a sample of the capacities and the demand at the present virtual time.

        Args:
            began_ms: Virtual time at which maintenance was requested, from which the sample counts minutes.
        """
        machines = self.machines.values()
        return FleetSample(
            minutes=(self.now_ms - began_ms) / MS_PER_MINUTE,
            warm_capacity=sum(
                m.machine.capacity * m.warm_fraction(self.now_ms, self.warm_up_ms) for m in machines
            ),
            demand=self.load(self.now_ms) * self.total_capacity,
            min_capacity=self.coordinator.constraints().fleet_limit.min_capacity,
            down_count=sum(not m.is_up for m in machines),
        )

    def _restart_machines(self) -> None:
        for name, machine in self.machines.items():
            is_due = not machine.is_up and machine.restart_at_ms <= self.now_ms
            if is_due and name not in self.never_restarted:
                machine.restart(self.now_ms)

    def _run_machine(self, machine: SimulatedMachine, rpcs_per_second: float) -> None:
        for delayed in machine.take_due_answers(self.now_ms):
            self._on_answer(machine, delayed)
        if not machine.is_up or machine.is_partitioned:
            return
        status = ServerStatus(
            capacity=machine.machine.capacity,
            model=machine.machine.model,
            serves_critical_methods=machine.machine.serves_critical_methods,
            warm_fraction=machine.warm_fraction(self.now_ms, self.warm_up_ms),
            rpcs_per_second=rpcs_per_second,
            ok_count=0.0,
            answered_count=0.0,
        )
        report = LoadReport(0, status, machine.draining_permit, machine.used_permit)
        answer = self.coordinator.on_report(machine.machine, machine.run_id, report, self.now_ms)
        if answer is None:
            return
        delayed = DelayedAnswer(self.now_ms + machine.answer_delay_ms, self.now_ms, answer)
        if machine.answer_delay_ms or self.rng.random() < LATE_ANSWER_PROBABILITY:
            machine.delayed_answers.append(delayed)
        else:
            self._on_answer(machine, delayed)

    def _on_answer(self, machine: SimulatedMachine, delayed: DelayedAnswer) -> None:
        answer = delayed.answer
        if not delayed.is_accepted:
            if answer.valid_ms <= 0.0 or machine.draining_permit:
                return
            if not machine.permit.offer(answer.permit_number, delayed.reported_at_ms, answer.valid_ms):
                return
            if self._stall_randomly(machine, delayed):
                return
        is_current = answer.permit_number == machine.permit.number
        if machine.permit.is_valid(self.now_ms) or (self.removed_defence == WITHOUT_EXPIRY and is_current):
            self._shut_down(machine, answer.permit_number)

    def _stall_randomly(self, machine: SimulatedMachine, delayed: DelayedAnswer) -> bool:
        """With STALL_PROBABILITY, stalls a machine that has accepted a permit and not used the permit yet.

        Returns:
            Whether the machine stalls.
        """
        if self.rng.random() >= STALL_PROBABILITY or self.removed_defence not in (WITHOUT_EXPIRY, ""):
            return False
        stall_ms = self.rng.uniform(MIN_STALL_MS, 3.0 * delayed.answer.valid_ms)
        machine.stalled_until_ms = self.now_ms + stall_ms
        accepted = DelayedAnswer(
            machine.stalled_until_ms, delayed.reported_at_ms, delayed.answer, is_accepted=True
        )
        machine.delayed_answers.append(accepted)
        return True

    def _shut_down(self, machine: SimulatedMachine, permit_number: int) -> None:
        """Shuts a machine down for maintenance.

        Records a violation if the permit has already been used or is not the permit granted to this machine.
        """
        name = machine.machine.name
        machine.draining_permit = permit_number
        if permit_number in self._used_permits:
            self.violations.append(f"{self.now_ms:.0f} ms: permit {permit_number} was used twice")
        request = self.state.requests.get(name)
        if request is None or request.permit_number != permit_number:
            self.violations.append(
                f"{self.now_ms:.0f} ms: {name} shut down by permit {permit_number}, which is not in force"
            )
        self._used_permits.add(permit_number)
        machine.permit.consume()
        machine.is_up = False
        machine.restart_at_ms = self.now_ms + self.outage_minutes * MS_PER_MINUTE

    def _record_headroom(self, demand: float) -> None:
        missing_capacity = sum(
            machine.machine.capacity * (1.0 - machine.warm_fraction(self.now_ms, self.warm_up_ms))
            for machine in self.machines.values()
        )
        headroom = self.total_capacity - missing_capacity - demand * (1.0 + DisruptionBudget().headroom_ratio)
        self.min_headroom = min(self.min_headroom, headroom)


def _machines(count: int, zones: int) -> list[Machine]:
    return [
        Machine(
            name=f"n{index}",
            capacity=MACHINE_CAPACITY_RPCS_PER_SECOND,
            zone=f"z{index % zones}",
            model=MODELS[index % len(MODELS)],
            serves_critical_methods=index % CRITICAL_MACHINE_INTERVAL == 0,
            is_voter=index < VOTER_COUNT,
        )
        for index in range(count)
    ]
