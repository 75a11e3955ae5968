"""Twenty to thirty cold servers at once behind as many gateways that heed what they hear, in virtual time.

From a page of the users: a cold server falls under the sum of what all send it, and beyond a budget of N only
2 x root of N + 2 are chance. N is here what the settings let a server of that age have on its cores, and the
time is the one over which they average that.
"""

from __future__ import annotations

import unittest
from collections import Counter, deque
from dataclasses import replace
from math import sqrt
from random import Random
from typing import Any

from landingshift.admission.interface import DownstreamKind, Gauges, LoadAdvertisement, Outcome
from landingshift.admission.managed_rpc import ManagedRpc, RpcState
from tests.helpers import METHOD, AdmissionBench

STEP_MS = 10.0  # ms of virtual time
CORE_COUNT = 2
MAX_RUNS_PER_CORE = 8.0
COLD_SPEED_FRACTION = 0.2
WARM_UP_MS = 9000.0
FALL_WINDOW_MS = 2000.0
WORK_MS = 120.0  # of a warm core, for an RPC
READ_MS = 5.0  # of a warm core, for reading one
STORE_QUOTA = 0.9  # a server's part of what the store may hold in the mean
STORE_WINDOW_MS = 5000.0  # over which that mean is taken
CALL_MS = 25.0  # ms of a call while the store is well
CALLER_WAIT_MS = 2400.0  # ms that a caller waits
RPCS = replace(
    METHOD,
    calls_downstream=True,
    degraded_value_fraction=0.5,
    latency_objective_ms=1500.0,
    deadline_ms=CALLER_WAIT_MS,
)


class WorstRollingMean:
    """The most that the mean over `width` ms was, as a share of what it may be."""

    def __init__(self, width: float) -> None:
        self.values, self.worst = deque([0.0] * int(width / STEP_MS)), 0.0
        self.sum = 0.0

    def add(self, value: float, budget: float) -> None:
        self.values.append(value)
        self.sum += value - self.values.popleft()
        self.worst = max(self.worst, self.sum / len(self.values) / budget)


class SimulatedServer:
    """A cold server: the module, its cores, what still waits to be read."""

    def __init__(self, gateways: int) -> None:
        self.bench = AdmissionBench(
            RPCS,
            caller_count=gateways,
            core_count=CORE_COUNT,
            max_runs_per_core=MAX_RUNS_PER_CORE,
            starts_cold=True,
            cold_speed_fraction=COLD_SPEED_FRACTION,
            warm_up_ms=WARM_UP_MS,
            load_advertisement=LoadAdvertisement.CREDIT,
            downstream=DownstreamKind.SHARED_STORE,
            downstream_concurrency_quota=STORE_QUOTA,
            downstream_quota_window_ms=STORE_WINDOW_MS,
            lost_call_linger_ms=100.0,
        )
        self.server = self.bench.controller
        self.unread: deque[tuple[float, int]] = deque()
        self.jobs: dict[Any, tuple[ManagedRpc, float]] = {}  # by RPC, with what is left of its work
        self.read = 0.0  # ms of a core that went into the next RPC to be read
        self.open_rpc_count = 0  # without an answer
        self.on_cores = 0  # RPCs that run or are read
        self.seen_action_count = 0
        self.open_load = WorstRollingMean(FALL_WINDOW_MS)
        self.core_load = WorstRollingMean(FALL_WINDOW_MS)

    def speed(self, now_ms: float) -> float:
        return min(1.0, COLD_SPEED_FRACTION + (1.0 - COLD_SPEED_FRACTION) * now_ms / WARM_UP_MS)

    def max_runs(self, now_ms: float) -> float:
        return (1.0 + (MAX_RUNS_PER_CORE - 1.0) * self.speed(now_ms)) * CORE_COUNT

    def work(self, now_ms: float, rng: Random) -> None:
        """Each core reads one RPC at a time beside what runs, and all of that shares the cores."""
        running = [
            rpc for rpc, (job, _) in self.jobs.items() if job.state in (RpcState.RUNNING, RpcState.ABORTED)
        ]
        reads = min(CORE_COUNT, len(self.unread))
        self.on_cores = len(running) + reads
        each = STEP_MS * self.speed(now_ms) * CORE_COUNT / max(CORE_COUNT, self.on_cores)
        for rpc in running:
            job, left = self.jobs[rpc]
            self.jobs[rpc] = job, left - each
            if left <= each:
                self.server.on_run_finished(job, Outcome.OK, now_ms - job.arrived_at_ms)
        self.read += reads * each
        while self.unread and self.read >= READ_MS:
            self.read -= READ_MS
            came, gateway = self.unread.popleft()
            job = self.bench.read(
                remaining_ms=CALLER_WAIT_MS - (now_ms - came), waited_ms=now_ms - came, caller_id=gateway
            )
            self.jobs[job.rpc] = job, rng.expovariate(1.0 / WORK_MS)
        budget = self.max_runs(now_ms)
        self.core_load.add(self.on_cores, budget)
        self.open_load.add(self.open_rpc_count, budget + 2.0 * sqrt(budget) + 2.0)


class ServerThrong:
    def __init__(self, servers: int, gateways: int, uneven: bool) -> None:
        self.rng = Random(1)
        self.now_ms = 0.0
        self.machines = [SimulatedServer(gateways) for _ in range(servers)]
        self.weights = [8.0 if uneven and gateway < 3 else 1.0 for gateway in range(gateways)]
        self.credits: dict[tuple[int, SimulatedServer], float] = {}  # the credit that a gateway was told last
        self.in_flight: Counter[tuple[int, SimulatedServer]] = Counter()
        self.calls: list[tuple[float, SimulatedServer, ManagedRpc]] = []
        self.store_load = WorstRollingMean(STORE_WINDOW_MS)
        self.action_counts: Counter[str] = Counter()

    def send(self, rate: float) -> None:
        for _ in range(int(rate) + (self.rng.random() < rate % 1.0)):
            gateway = self.rng.choices(range(len(self.weights)), self.weights)[0]
            for machine in self.rng.sample(self.machines, 2):
                # It is on no gateway's list before a check was answered; a part of a credit counts by chance.
                credit = self.credits.get((gateway, machine), 0.0)
                if self.in_flight[gateway, machine] < int(credit) + (self.rng.random() < credit % 1.0):
                    self.in_flight[gateway, machine] += 1
                    machine.open_rpc_count += 1
                    machine.unread.append((self.now_ms, gateway))
                    break

    def step(self, rate: float) -> None:
        self.now_ms += STEP_MS
        for machine in self.machines:
            machine.bench.set_time(self.now_ms)
            machine.work(self.now_ms, self.rng)
        self.send(rate)
        self.store()
        for machine in self.machines:
            if self.now_ms >= machine.server.next_check_ms:
                machine.server.on_timer(
                    Gauges(min(1.0, machine.on_cores / CORE_COUNT), machine.on_cores, 30.0)
                )
            machine.server.settle()
            self.carry_out(machine)
            if self.now_ms % 1000.0 < STEP_MS:  # checks of all gateways, which tell them the credit too
                self.credits |= {
                    (gateway, machine): machine.server.advertised_load for gateway in range(len(self.weights))
                }

    def carry_out(self, machine: SimulatedServer) -> None:
        while machine.seen_action_count < len(machine.bench.actions):
            what, *values = machine.bench.actions[machine.seen_action_count]
            machine.seen_action_count += 1
            if what not in ("start_run", "start_call", "release", "reject", "abort"):
                continue
            rpc = values[0]
            self.action_counts[what] += 1
            if what == "start_run":
                machine.server.on_call_needed(machine.jobs[rpc][0])  # its cache is cold
                machine.server.settle()
            elif what == "start_call":
                crowded = max(1.0, len(self.calls) / (2.0 * STORE_QUOTA * len(self.machines)))
                self.calls.append((self.now_ms + CALL_MS * crowded, machine, machine.jobs[rpc][0]))
            elif what == "release":
                machine.jobs.pop(rpc, None)
                machine.open_rpc_count -= 1
                self.in_flight[rpc.caller_id, machine] -= 1
                self.credits[rpc.caller_id, machine] = machine.server.advertised_load

    def store(self) -> None:
        self.store_load.add(len(self.calls), STORE_QUOTA * len(self.machines))
        for end, machine, job in [call for call in self.calls if call[0] <= self.now_ms]:
            machine.server.on_call_finished(job, Outcome.OK, end - job.call_started_at_ms)
        self.calls = [call for call in self.calls if call[0] > self.now_ms]


class ThrongTest(unittest.TestCase):
    def test_cold_servers_keep_themselves_and_the_store_within_their_limits(self) -> None:
        for servers, gateways, uneven in [(20, 20, False), (30, 30, False), (30, 30, True)]:
            with self.subTest(server_count=servers, gateways=gateways, uneven=uneven):
                throng, steps = ServerThrong(servers, gateways, uneven), int(10_000 / STEP_MS)
                warm = servers * CORE_COUNT * STEP_MS / WORK_MS  # RPCs in a step
                for _ in range(steps):
                    # Twice what all of them do once they are warm: ten times what they do at first.
                    throng.step(2.0 * warm)
                self.assertLessEqual(max(machine.open_load.worst for machine in throng.machines), 1.0)
                self.assertLessEqual(max(machine.core_load.worst for machine in throng.machines), 1.0)
                self.assertLessEqual(throng.store_load.worst, 1.0)
                # They are not spared by being left idle: half of all that cold cores can do is done.
                done = (
                    throng.action_counts["release"]
                    - throng.action_counts["reject"]
                    - throng.action_counts["abort"]
                )
                could = warm * sum(throng.machines[0].speed(t * STEP_MS) for t in range(steps))
                self.assertGreaterEqual(done, 0.5 * could)
