"""Tests in virtual time that cold servers stay within their limits if gateways honour advertised credits.

Twenty to thirty cold servers start at once behind as many gateways. A cold server collapses under the sum of
what all gateways send it. The users' requirement: with a budget of N, at most N + 2 * sqrt(N) + 2 RPCs may be
open, the excess over N being random variation. N is the number of RPCs that the settings allow on the cores
of a server of that age. The number of open RPCs is averaged over the window of the settings.
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

STEP_MS = 10.0  # of virtual time
CORE_COUNT = 2
MAX_RUNS_PER_CORE = 8.0
COLD_SPEED_FRACTION = 0.2
WARM_UP_MS = 9000.0
FALL_WINDOW_MS = 2000.0
WORK_MS = 120.0  # mean time on a warm core per RPC
READ_MS = 5.0  # time on a warm core to read an RPC
STORE_QUOTA = 0.9  # mean concurrent calls that each server may have at the store
STORE_WINDOW_MS = 5000.0  # window of that mean
CALL_MS = 25.0  # duration of a call while the store is not overloaded
CALLER_WAIT_MS = 2400.0
SIMULATED_METHOD = replace(
    METHOD,
    calls_downstream=True,
    degraded_value_fraction=0.5,
    latency_objective_ms=1500.0,
    deadline_ms=CALLER_WAIT_MS,
)


class WorstRollingMean:
    """The highest mean over any window of `window_ms`, as a fraction of the budget."""

    def __init__(self, window_ms: float) -> None:
        self.values, self.worst = deque([0.0] * int(window_ms / STEP_MS)), 0.0
        self.sum = 0.0

    def add(self, value: float, budget: float) -> None:
        self.values.append(value)
        self.sum += value - self.values.popleft()
        self.worst = max(self.worst, self.sum / len(self.values) / budget)


class SimulatedServer:
    """A cold server: an admission controller, its cores and its unread RPCs."""

    def __init__(self, gateway_count: int) -> None:
        self.bench = AdmissionBench(
            SIMULATED_METHOD,
            caller_count=gateway_count,
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
        self.controller = self.bench.controller
        self.unread: deque[tuple[float, int]] = deque()
        self.jobs: dict[Any, tuple[ManagedRpc, float]] = {}  # by RPC, with its remaining work in ms
        self.read_progress_ms = 0.0  # core time spent on reading the next RPC
        self.open_rpc_count = 0  # RPCs without an answer
        self.on_cores = 0  # RPCs that run or are read
        self.seen_action_count = 0
        self.open_load = WorstRollingMean(FALL_WINDOW_MS)
        self.core_load = WorstRollingMean(FALL_WINDOW_MS)

    def speed(self, now_ms: float) -> float:
        return min(1.0, COLD_SPEED_FRACTION + (1.0 - COLD_SPEED_FRACTION) * now_ms / WARM_UP_MS)

    def max_runs(self, now_ms: float) -> float:
        return (1.0 + (MAX_RUNS_PER_CORE - 1.0) * self.speed(now_ms)) * CORE_COUNT

    def work(self, now_ms: float, rng: Random) -> None:
        """Runs and reads RPCs for one step; each core reads one RPC at a time, and all share the cores."""
        running = [
            rpc for rpc, (job, _) in self.jobs.items() if job.state in (RpcState.RUNNING, RpcState.ABORTED)
        ]
        read_count = min(CORE_COUNT, len(self.unread))
        self.on_cores = len(running) + read_count
        core_time_ms = STEP_MS * self.speed(now_ms) * CORE_COUNT / max(CORE_COUNT, self.on_cores)
        for rpc in running:
            job, remaining_ms = self.jobs[rpc]
            self.jobs[rpc] = job, remaining_ms - core_time_ms
            if remaining_ms <= core_time_ms:
                self.controller.on_run_finished(job, Outcome.OK, now_ms - job.arrived_at_ms)
        self.read_progress_ms += read_count * core_time_ms
        while self.unread and self.read_progress_ms >= READ_MS:
            self.read_progress_ms -= READ_MS
            arrived_ms, gateway = self.unread.popleft()
            waited_ms = now_ms - arrived_ms
            job = self.bench.read(
                remaining_ms=CALLER_WAIT_MS - waited_ms, waited_ms=waited_ms, caller_id=gateway
            )
            self.jobs[job.rpc] = job, rng.expovariate(1.0 / WORK_MS)
        budget = self.max_runs(now_ms)
        self.core_load.add(self.on_cores, budget)
        self.open_load.add(self.open_rpc_count, budget + 2.0 * sqrt(budget) + 2.0)


class SimulatedFleet:
    """Cold servers, the gateways that send to them, and the store that the servers call."""

    def __init__(self, server_count: int, gateway_count: int, is_uneven: bool) -> None:
        self.rng = Random(1)
        self.now_ms = 0.0
        self.servers = [SimulatedServer(gateway_count) for _ in range(server_count)]
        self.weights = [8.0 if is_uneven and gateway < 3 else 1.0 for gateway in range(gateway_count)]
        self.credits: dict[tuple[int, SimulatedServer], float] = {}  # last received by each gateway
        self.in_flight: Counter[tuple[int, SimulatedServer]] = Counter()
        self.calls: list[tuple[float, SimulatedServer, ManagedRpc]] = []
        self.store_load = WorstRollingMean(STORE_WINDOW_MS)
        self.action_counts: Counter[str] = Counter()

    def send(self, rate: float) -> None:
        """Sends `rate` RPCs on average, each to one of two random servers whose credit allows it."""
        for _ in range(int(rate) + (self.rng.random() < rate % 1.0)):
            gateway = self.rng.choices(range(len(self.weights)), self.weights)[0]
            for server in self.rng.sample(self.servers, 2):
                # A gateway has no credit before its first health check. The fractional part of a credit is
                # the probability of one more RPC.
                credit = self.credits.get((gateway, server), 0.0)
                if self.in_flight[gateway, server] < int(credit) + (self.rng.random() < credit % 1.0):
                    self.in_flight[gateway, server] += 1
                    server.open_rpc_count += 1
                    server.unread.append((self.now_ms, gateway))
                    break

    def step(self, rate: float) -> None:
        """Advances the simulation by `STEP_MS`, with `rate` new RPCs on average."""
        self.now_ms += STEP_MS
        for server in self.servers:
            server.bench.set_time(self.now_ms)
            server.work(self.now_ms, self.rng)
        self.send(rate)
        self.finish_calls()
        for server in self.servers:
            if self.now_ms >= server.controller.next_check_ms:
                server.controller.on_timer(
                    Gauges(min(1.0, server.on_cores / CORE_COUNT), server.on_cores, 30.0)
                )
            server.controller.settle()
            self.apply_actions(server)
            if self.now_ms % 1000.0 < STEP_MS:  # health checks also carry the credit
                self.credits |= {
                    (gateway, server): server.controller.advertised_load
                    for gateway in range(len(self.weights))
                }

    def apply_actions(self, server: SimulatedServer) -> None:
        """Applies the server's actions recorded since the last call."""
        while server.seen_action_count < len(server.bench.actions):
            action, *values = server.bench.actions[server.seen_action_count]
            server.seen_action_count += 1
            if action not in ("start_run", "start_call", "release", "reject", "abort"):
                continue
            rpc = values[0]
            self.action_counts[action] += 1
            if action == "start_run":
                # The cache is cold, so each run needs a call.
                server.controller.on_call_needed(server.jobs[rpc][0])
                server.controller.settle()
            elif action == "start_call":
                slowdown = max(1.0, len(self.calls) / (2.0 * STORE_QUOTA * len(self.servers)))
                self.calls.append((self.now_ms + CALL_MS * slowdown, server, server.jobs[rpc][0]))
            elif action == "release":
                server.jobs.pop(rpc, None)
                server.open_rpc_count -= 1
                self.in_flight[rpc.caller_id, server] -= 1
                self.credits[rpc.caller_id, server] = server.controller.advertised_load

    def finish_calls(self) -> None:
        """Records the load on the store and ends the calls that are due."""
        self.store_load.add(len(self.calls), STORE_QUOTA * len(self.servers))
        for end, server, job in [call for call in self.calls if call[0] <= self.now_ms]:
            server.controller.on_call_finished(job, Outcome.OK, end - job.call_started_at_ms)
        self.calls = [call for call in self.calls if call[0] > self.now_ms]


class ColdFleetTest(unittest.TestCase):
    def test_cold_servers_keep_themselves_and_the_store_within_their_limits(self) -> None:
        for server_count, gateway_count, is_uneven in [(20, 20, False), (30, 30, False), (30, 30, True)]:
            with self.subTest(server_count=server_count, gateway_count=gateway_count, is_uneven=is_uneven):
                fleet = SimulatedFleet(server_count, gateway_count, is_uneven)
                step_count = int(10_000 / STEP_MS)
                warm_capacity = server_count * CORE_COUNT * STEP_MS / WORK_MS  # RPCs per step
                for _ in range(step_count):
                    # Twice the capacity of the warm fleet: ten times that of the cold one.
                    fleet.step(2.0 * warm_capacity)
                self.assertLessEqual(max(server.open_load.worst for server in fleet.servers), 1.0)
                self.assertLessEqual(max(server.core_load.worst for server in fleet.servers), 1.0)
                self.assertLessEqual(fleet.store_load.worst, 1.0)
                # The limits must not be met by idling: at least half of the capacity is used.
                completed = (
                    fleet.action_counts["release"]
                    - fleet.action_counts["reject"]
                    - fleet.action_counts["abort"]
                )
                capacity = warm_capacity * sum(fleet.servers[0].speed(i * STEP_MS) for i in range(step_count))
                self.assertGreaterEqual(completed, 0.5 * capacity)
