"""A simulated fleet under maintenance: the coordinator with hundreds of machines, in virtual time.

The consensus group is left out: what the coordinator proposes is applied at once. A fleet may run without one
defence, so that a violation must be found: "floor" (no capacity constraints) or "end" (permits never expire).
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
"""RPCs a second."""
MODELS = ("a", "b", "c")
VOTERS_COUNT = 5
CRITICAL_EVERY_COUNT = 4
"""One in so many machines serves critical methods."""
LATE_ANSWER_PROBABILITY = 0.1
STALL_PROBABILITY = 0.05
"""Of a machine that has just accepted a permit."""
MIN_STALL_MS = 100.0
LONG_AGO_MS = -1e12


@dataclass(slots=True)
class DelayedAnswer:
    """An answer that its machine has not seen yet."""

    due_ms: float
    reported_at_ms: float
    answer: ReportAnswer
    is_accepted: bool = False
    """The machine accepted it already and stalled just before it used the permit."""


@dataclass(slots=True, eq=False)
class SimulatedMachine:
    """A machine in virtual time."""

    machine: Machine
    run_id: int = 1
    """Number of its process."""
    is_up: bool = True
    permit: DrainPermit = field(default_factory=DrainPermit)
    draining_permit: int = 0
    used_permit: int = 0
    """What its disk keeps."""
    restart_at_ms: float = 0.0
    started_at_ms: float = LONG_AGO_MS
    stalled_until_ms: float = 0.0
    delayed_answers: list[DelayedAnswer] = field(default_factory=list)
    is_partitioned: bool = False
    answer_delay_ms: float = 0.0

    def warm_fraction(self, now_ms: float, warm_up_ms: float) -> float:
        """Returns the share of its capacity that serves."""
        if not self.is_up or not warm_up_ms:
            return float(self.is_up)
        return min(1.0, (now_ms - self.started_at_ms) / warm_up_ms)

    def restart(self, now_ms: float) -> None:
        """Starts a new process, which knows only what the disk keeps."""
        self.is_up = True
        self.run_id += 1
        self.started_at_ms = now_ms
        self.permit = DrainPermit()
        self.used_permit = self.draining_permit or self.used_permit
        self.draining_permit = 0
        self.delayed_answers = []

    def take_due_answers(self, now_ms: float) -> list[DelayedAnswer]:
        """Returns the answers that have come by now, and keeps the others."""
        due = [delayed for delayed in self.delayed_answers if delayed.due_ms <= now_ms]
        self.delayed_answers = [delayed for delayed in self.delayed_answers if delayed.due_ms > now_ms]
        return due


class SimulatedFleetEnvironment:
    """The environment of one coordinator of the fleet, which leads for one term."""

    def __init__(self, fleet: SimulatedFleet, term: int) -> None:
        self._fleet = fleet
        self._term = term

    def propose(self, command: Command) -> bool:
        """Applies a command at once."""
        self._fleet.state.apply(encode_command(command))
        return True

    def is_leader(self, _now_ms: float) -> bool:
        """Returns whether no later term has begun."""
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
    """One moment of a simulated day. Capacities are RPCs a second."""

    minutes: float
    """Since the requests were made."""
    warm_capacity: float
    demand: float
    min_capacity: float
    """What the constraints let the fleet have at the least."""
    down_count: int


class SimulatedFleet:
    """Machines under a load that follows the time of day, and the coordinator that leads just now.

    Attributes:
        rng: Draws all that is left to chance.
        now_ms: Virtual time, the monotonic and the wall clock of all.
        machines: By name.
        outage_minutes: How long a machine is away for work.
        peak_load: The day's largest demand as a share of all capacity.
        never_restarted: Machines that stay down.
        violations: What must not have happened.
        min_headroom: The least capacity above the default constraint of the whole fleet, RPCs a second.
    """

    def __init__(
        self, seed: int | str, count: int, zones: int = 4, warm_up_ms: float = 60_000.0, without: str = ""
    ) -> None:
        """Builds a fleet of which all machines are up and warm.

        Args:
            seed: Of all chance.
            count: Machines.
            zones: Over which they are spread in turn.
            warm_up_ms: From a start until a machine is warm.
            without: The defence that is removed, empty for none.
        """
        self.rng = Random(f"{seed} day")
        self.without = without
        self.warm_up_ms = warm_up_ms
        self.now_ms = 0.0
        self.machines = {machine.name: SimulatedMachine(machine) for machine in _machines(count, zones)}
        has_constraints = without != WITHOUT_CONSTRAINTS
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
        """RPCs a second of all machines when warm."""
        return sum(machine.machine.capacity for machine in self.machines.values())

    def load(self, now_ms: float) -> float:
        """Returns the demand as a share of all capacity; at night it is a third of the day's peak."""
        return self.peak_load * (0.67 - 0.33 * cos(2.0 * pi * now_ms / (DAY_MINUTES * MS_PER_MINUTE)))

    def elect_leader(self) -> MaintenanceCoordinator:
        """Returns a new leader, which knows the replicated state alone."""
        self.term += 1
        environment = SimulatedFleetEnvironment(self, self.term)
        return MaintenanceCoordinator(self.state, self.settings, environment)

    def request_maintenance(self, names: Iterable[str], is_exclusive: bool = False) -> None:
        """Requests maintenance of machines, now."""
        requests = tuple(
            MaintenanceRequest(name, self.outage_minutes, self.now_ms, is_exclusive=is_exclusive)
            for name in names
        )
        self.state.apply(encode_command(AddRequests(requests)))

    def crash(self, name: str, outage_ms: float) -> None:
        """Ends a machine's process; it is started again after `outage_ms`."""
        machine = self.machines[name]
        machine.is_up = False
        machine.restart_at_ms = self.now_ms + outage_ms

    def step(self, step_ms: float = STEP_MS) -> None:
        """Lets time pass, machines report and the coordinator evaluate."""
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
        """Returns the fleet's present capacities. `began_ms`: when the requests were made."""
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
            if self._stalls(machine, delayed):
                return
        is_current = answer.permit_number == machine.permit.number
        if machine.permit.is_valid(self.now_ms) or (self.without == WITHOUT_EXPIRY and is_current):
            self._leave(machine, answer.permit_number)

    def _stalls(self, machine: SimulatedMachine, delayed: DelayedAnswer) -> bool:
        """Lets a machine stall between accepting a permit and using it, now and then."""
        if self.rng.random() >= STALL_PROBABILITY or self.without not in (WITHOUT_EXPIRY, ""):
            return False
        stall_ms = self.rng.uniform(MIN_STALL_MS, 3.0 * delayed.answer.valid_ms)
        machine.stalled_until_ms = self.now_ms + stall_ms
        accepted = DelayedAnswer(
            machine.stalled_until_ms, delayed.reported_at_ms, delayed.answer, is_accepted=True
        )
        machine.delayed_answers.append(accepted)
        return True

    def _leave(self, machine: SimulatedMachine, permit_number: int) -> None:
        name = machine.machine.name
        machine.draining_permit = permit_number
        if permit_number in self._used_permits:
            self.violations.append(f"{self.now_ms:.0f}: permission {permit_number} was used twice")
        request = self.state.requests.get(name)
        if request is None or request.permit_number != permit_number:
            self.violations.append(f"{self.now_ms:.0f}: {name} left on one that is not in force")
        self._used_permits.add(permit_number)
        machine.permit.consume()
        machine.is_up = False
        machine.restart_at_ms = self.now_ms + self.outage_minutes * MS_PER_MINUTE

    def _record_headroom(self, demand: float) -> None:
        cold = sum(
            machine.machine.capacity * (1.0 - machine.warm_fraction(self.now_ms, self.warm_up_ms))
            for machine in self.machines.values()
        )
        headroom = self.total_capacity - cold - demand * (1.0 + DisruptionBudget().headroom_ratio)
        self.min_headroom = min(self.min_headroom, headroom)


def _machines(count: int, zones: int) -> list[Machine]:
    return [
        Machine(
            name=f"n{index}",
            capacity=MACHINE_CAPACITY_RPCS_PER_SECOND,
            zone=f"z{index % zones}",
            model=MODELS[index % len(MODELS)],
            serves_critical_methods=index % CRITICAL_EVERY_COUNT == 0,
            is_voter=index < VOTERS_COUNT,
        )
        for index in range(count)
    ]
