"""Random faults among real server processes with all packages enabled.

A supervisor restarts processes that have exited. The requirements are checked on the history that the
processes write and on the answers that gateways received. Memory and file descriptors are recorded as well.
"""

from __future__ import annotations

import resource
import signal
import tempfile
import time
from collections.abc import Callable, Iterator
from functools import partial
from random import Random

from landingshift.membership.operator_rpc import OperatorRpcError
from landingshift.testbed import MEMORY
from landingshift.testbed.experiments.maintenance_harness import COLD_START_SETTINGS, MaintenanceHarness
from landingshift.testbed.experiments.policies_harness import OVERLAP_MS
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.experiments.scenarios import (
    FAULT_KINDS,
    LINK_FAULT_KINDS,
    Fault,
    blocks_link,
    draw_fault,
    fault_order,
)
from landingshift.testbed.experiments.service_samples import (
    AnswerSample,
    ProcessSample,
    quarter_figures,
    recovery_figures,
    sample_processes,
)
from landingshift.testbed.processes.gateway_load import OK, WITH_KILLED_SERVER
from landingshift.testbed.verification.lease_invariants import max_leased_calls
from landingshift.testbed.verification.maintenance_invariants import check_permits

REAL_FAULT_KINDS = (
    "kill", "crash_loop", "zone", "notice", "stop", "cut_off", "halves", "mute", "deaf", "flaps", "loss",
    "twice", "delay", "full", "store_falls", "load", "change", "wish",
)  # fmt: skip
"""Kinds of faults that can be injected into real processes."""
MEAN_FAULT_INTERVAL_SECONDS = 3.0
MIN_FAULT_COUNT = 3
FAULT_FREE_END_SECONDS = 3.0
LOAD_RATIO = 0.5
MAX_FULLY_LOADED_COUNT = 20
CROWDED_LOAD_RATIO = 3.0 * 0.04
"""Three RPCs per second and server, used when more servers share the cores of one machine."""
MAX_LOAD_FACTOR = 1.6
HEADROOM_RATIO = 0.1
CALLS_PER_SECOND_EACH = 1000.0
"""Capacity of the database, for each server."""
GRANTED_TOLERANCE_RATIO = 1.0001
ANSWER_SAMPLE_SECONDS = 0.5
PROCESS_SAMPLE_SECONDS = 5.0
STEP_SECONDS = 0.01
RECOVERY_TIMEOUT_SECONDS = 60.0
AGREEMENT_TIMEOUT_SECONDS = 20.0
FULL_DISK_SPARE_BYTES = 7
"""Free space on a full disk, less than the size of a log entry."""
FLOOD_QUEUE_FRACTION = 0.5


def draw_faults(seed: int, server_count: int, seconds: float) -> list[Fault]:
    """Draws the faults of a run of `seconds`, in order of `fault_order`."""
    rng = Random(f"{seed} real day")
    weights = [FAULT_KINDS[name].weight for name in REAL_FAULT_KINDS]
    faults = []
    for _ in range(max(MIN_FAULT_COUNT, int(seconds / MEAN_FAULT_INTERVAL_SECONDS))):
        start_ms = round(rng.uniform(0.0, max(1.0, seconds - FAULT_FREE_END_SECONDS)) * 1000.0)
        kind = rng.choices(REAL_FAULT_KINDS, weights)[0]
        faults.append(draw_fault(rng, kind, start_ms, server_count, seconds * 1000.0))
    return sorted(faults, key=fault_order)


class FaultInjector:
    """Begins and ends faults among the servers of a harness.

    Attributes:
        change_count: Number of policy changes proposed.
        request_count: Number of maintenance requests, one for each server.
    """

    def __init__(self, harness: MaintenanceHarness, faults: list[Fault]) -> None:
        self.change_count = 0
        self.request_count = 0
        self._harness = harness
        self._servers = harness.servers
        self._faults = faults
        self._base_rpcs_per_second = harness.servers.load.rpcs_per_second
        self._active: dict[int, Fault] = {}
        """Active faults by their index in the list of all faults."""
        self._file_size_limits: dict[int, tuple[int, int]] = {}
        """Original limits of the servers whose disk is full, by server index."""
        self._began_seconds = 0.0

    def timeline(self) -> list[tuple[float, Callable[[], None]]]:
        """Returns the actions that inject the faults, in order of time, and starts the clock of the run.

        Each entry has the seconds from now at which the caller has to call the action, and the action.
        """
        self._began_seconds = time.monotonic()
        events: list[tuple[float, Callable[[], None]]] = []
        for fault_index, fault in enumerate(self._faults):
            start_seconds = fault.start_ms / 1000.0
            events.append((start_seconds, partial(self._begin, fault_index, fault)))
            if fault.duration_ms:
                end_seconds = (fault.start_ms + fault.duration_ms) / 1000.0
                events.append((end_seconds, partial(self._end, fault_index, fault)))
            if fault.kind == "crash_loop":
                for step in range(1, int(fault.duration_ms / fault.amount)):
                    crash_ms = fault.start_ms + step * fault.amount
                    events.append((crash_ms / 1000.0, partial(self._crash, fault)))
        return sorted(events, key=lambda event: event[0])

    def _begin(self, fault_index: int, fault: Fault) -> None:
        if fault.duration_ms:
            self._active[fault_index] = fault
        for index in fault.servers:
            self._begin_at(index, fault)
        if fault.kind == "store_falls":
            database = self._servers.stand_ins.database
            count = int(fault.amount * database.overload_queue_length * FLOOD_QUEUE_FRACTION)
            self._servers.run_on_loop(lambda: database.flood(count))
        if fault.kind == "wish":
            self._request_maintenance(fault)
        self._update_links()

    def _begin_at(self, index: int, fault: Fault) -> None:
        harness = self._harness
        is_running = index in harness.running()
        match fault.kind:
            case "kill" | "zone":
                harness.not_restarted.add(index)
                if is_running:
                    self._servers.kill(index)
            case "crash_loop":
                self._crash(fault)
            case "notice" if is_running:
                self._servers.processes[index].send_signal(signal.SIGTERM)
            case "stop" if is_running:
                self._servers.pause(index, fault.duration_ms / 1000.0)
            case "full" if is_running and index <= len(harness.voters):
                self._fill_disk(index)
            case "change" if is_running:
                harness.propose(index, self.change_count, f"c{self.change_count}")
                self.change_count += 1

    def _end(self, fault_index: int, fault: Fault) -> None:
        del self._active[fault_index]
        for index in fault.servers:
            if fault.kind in ("kill", "zone"):
                self._harness.not_restarted.discard(index)
            if fault.kind == "full" and index in self._file_size_limits:
                self._free_disk(index)
        self._update_links()

    def _crash(self, fault: Fault) -> None:
        for index in fault.servers:
            if index in self._harness.running():
                self._servers.kill(index)

    def _fill_disk(self, index: int) -> None:
        """Limits the file size of a process so that its log has no room for another entry."""
        process_id = self._servers.processes[index].pid
        try:
            size = self._harness.journal_path(index).stat().st_size
            limits = resource.prlimit(process_id, resource.RLIMIT_FSIZE)
            self._file_size_limits[index] = limits
            full = (size + FULL_DISK_SPARE_BYTES, limits[1])
            resource.prlimit(process_id, resource.RLIMIT_FSIZE, full)
        except OSError:  # the process has exited; the limit does not apply to the one that replaces it
            self._file_size_limits.pop(index, None)

    def _free_disk(self, index: int) -> None:
        limits = self._file_size_limits.pop(index)
        try:
            resource.prlimit(self._servers.processes[index].pid, resource.RLIMIT_FSIZE, limits)
        except OSError:  # the process has exited; the limit does not apply to the one that replaces it
            return

    def _request_maintenance(self, fault: Fault) -> None:
        names = [self._servers.name(index) for index in fault.servers]
        try:
            self._harness.request_maintenance(names, minutes=fault.amount)
        except (RuntimeError, OperatorRpcError):
            return  # without a leader the request is not made, and is not counted
        self.request_count += len(names)

    def _update_links(self) -> None:
        """Updates the network proxy and the load to the active faults.

        A link is cut if any active fault cuts it. Of several faults that lose, duplicate or delay messages,
        the strongest applies. Load factors are multiplied.
        """
        active = list(self._active.values())
        cuts = [
            (fault, {self._servers.name(index) for index in fault.servers})
            for fault in active
            if fault.kind in LINK_FAULT_KINDS and fault.servers
        ]

        def is_cut(sender: str, receiver: str) -> bool:
            elapsed_ms = (time.monotonic() - self._began_seconds) * 1000.0
            return any(
                blocks_link(fault, names, sender, receiver, elapsed_ms - fault.start_ms)
                for fault, names in cuts
            )

        def max_amount(kind: str) -> float:
            return max((fault.amount for fault in active if fault.kind == kind), default=0.0)

        load_factor = 1.0
        for fault in active:
            load_factor *= min(MAX_LOAD_FACTOR, fault.amount) if fault.kind == "load" else 1.0

        def update() -> None:
            proxy = self._servers.proxy
            proxy.is_cut = is_cut
            proxy.loss_fraction = max_amount("loss")
            proxy.duplicate_fraction = max_amount("twice")
            proxy.delay_ms = max_amount("delay")
            self._servers.load.rpcs_per_second = self._base_rpcs_per_second * load_factor

        self._servers.run_on_loop(update)


class RealScenarioRun:
    """A run of real servers with random faults.

    Attributes:
        harness: Harness of the servers.
    """

    def __init__(self, folder: str, server_count: int, seed: int, seconds: float) -> None:
        """Starts the stand-ins, but no server.

        Args:
            folder: Folder for the files of the run.
            server_count: Number of servers.
            seed: Seed of all random draws.
            seconds: Duration of the time in which faults are injected.
        """
        load = LOAD_RATIO if server_count <= MAX_FULLY_LOADED_COUNT else CROWDED_LOAD_RATIO
        self._calls_per_second = CALLS_PER_SECOND_EACH * server_count
        settings = COLD_START_SETTINGS.format(count=server_count, calls=self._calls_per_second)
        self.harness = MaintenanceHarness(folder, server_count, seed, load, HEADROOM_RATIO, settings)
        self._faults = draw_faults(seed, server_count, seconds)
        self._injector = FaultInjector(self.harness, self._faults)
        self._seconds = seconds
        self._answers: list[AnswerSample] = []
        self._processes: list[ProcessSample] = []

    def run(self, row: ExperimentRow) -> None:
        """Starts all servers, injects all faults, and requires that the fleet recovers."""
        self.harness.start_all()
        began = time.monotonic()
        events = self._injector.timeline()
        answers_sampled_at = 0.0
        processes_sampled_at = 0.0
        while (elapsed := time.monotonic() - began) < self._seconds + FAULT_FREE_END_SECONDS:
            while events and events[0][0] <= elapsed:
                _, inject = events.pop(0)
                inject()
            if elapsed - answers_sampled_at >= ANSWER_SAMPLE_SECONDS:
                answers_sampled_at = elapsed
                self._sample_answers(elapsed)
            if elapsed - processes_sampled_at >= PROCESS_SAMPLE_SECONDS:
                processes_sampled_at = elapsed
                self._sample_processes(elapsed)
            time.sleep(STEP_SECONDS)
        for _, inject in events:
            inject()
        self.harness.not_restarted.clear()
        self._require_recovery(row)

    def _sample_answers(self, elapsed: float) -> None:
        outcomes = self.harness.servers.load.outcomes
        answered = sum(outcomes.values()) - outcomes[WITH_KILLED_SERVER]
        self._answers.append(AnswerSample(elapsed, outcomes[OK], answered))

    def _sample_processes(self, elapsed: float) -> None:
        processes = self.harness.servers.processes
        process_ids = [processes[index].pid for index in self.harness.running()]
        sample = sample_processes(process_ids, elapsed)
        if sample is not None:
            self._processes.append(sample)

    def _require_recovery(self, row: ExperimentRow) -> None:
        """Requires that all servers run again and decide by one policy, and that no maintenance is open."""
        harness = self.harness

        def has_all_servers() -> bool:
            return len(harness.running()) == harness.server_count and harness.all_decide()

        began = time.monotonic()
        has_recovered = harness.servers.wait_until(RECOVERY_TIMEOUT_SECONDS, has_all_servers)
        row.require(has_recovered, f"not all servers decide RPCs again: {harness.statuses()}")
        row.figures["rest_s"] = round(time.monotonic() - began, 1)
        has_ended = harness.wait_until_ended(harness.names, RECOVERY_TIMEOUT_SECONDS)
        row.require(has_ended, f"maintenance has not ended after {RECOVERY_TIMEOUT_SECONDS:g} s")
        harness.require_agreement(row, AGREEMENT_TIMEOUT_SECONDS)
        harness.forget_unknown_changes()

    def check(self, row: ExperimentRow) -> None:
        """Stops all servers, and checks the requirements that hold under any faults.

        They are those of `MaintenanceHarness.check`, and those on leased call quotas and maintenance permits.
        Also records statistics of the run.
        """
        self.harness.check(row)
        history = self.harness.servers.history()
        granted = max_leased_calls(history)
        limit = self._calls_per_second
        is_bounded = granted <= limit * GRANTED_TOLERANCE_RATIO
        row.require(is_bounded, f"leased quotas add up to {granted:.0f} of {limit:.0f} calls per second")
        violations = check_permits([(*entry, 0) for entry in history], OVERLAP_MS)
        row.violations += [f"permissions: {text}" for text in violations[:2]]
        row.figures |= {
            "acts": len(self._faults),
            "changes": self._injector.change_count,
            "wishes": self._injector.request_count,
        }
        row.figures |= quarter_figures(self._processes)
        row.figures |= recovery_figures(self._answers, self._faults)
        row.series["answers"] = [tuple(sample) for sample in self._answers]
        row.series["sizes"] = [tuple(sample) for sample in self._processes]

    def close(self) -> None:
        """Stops all processes."""
        self.harness.close()


def play_real_scenarios(
    server_count: int, seed: int, minutes: float, repeats: int
) -> Iterator[ExperimentRow]:
    """Runs real servers under random faults for `minutes`, once for each of `repeats` consecutive seeds.

    Yields a row for each run.
    """
    for run_seed in range(seed, seed + repeats):
        row = ExperimentRow(f"real {run_seed}")
        with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
            run = RealScenarioRun(folder, server_count, run_seed, minutes * 60.0)
            try:
                run.run(row)
                run.check(row)
            except (RuntimeError, OperatorRpcError) as err:
                row.require(False, str(err))
            finally:
                run.close()
        row.runs = 1
        yield row
