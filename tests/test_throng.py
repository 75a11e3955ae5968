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

STEP = 10.0  # ms of virtual time
CORES, CROWD, FROM, COLD, FALL = 2, 8.0, 0.2, 9000.0, 2000.0
WORK, READ = 120.0, 5.0  # ms of a warm core: of an RPC, and of reading one
OUT, OVER = 0.9, 5000.0  # a server's part of what the store may hold in the mean, and over how long
BASE = 25.0  # ms of a call while the store is well
WAIT = 2400.0  # ms that a caller waits
RPCS = replace(
    METHOD, calls_downstream=True, degraded_value_fraction=0.5, latency_objective_ms=1500.0, deadline_ms=WAIT
)


class Means:
    """The most that the mean over `width` ms was, as a share of what it may be."""

    def __init__(self, width: float) -> None:
        self.values, self.worst = deque([0.0] * int(width / STEP)), 0.0
        self.sum = 0.0

    def add(self, value: float, budget: float) -> None:
        self.values.append(value)
        self.sum += value - self.values.popleft()
        self.worst = max(self.worst, self.sum / len(self.values) / budget)


class Machine:
    """A cold server: the module, its cores, what still waits to be read."""

    def __init__(self, gateways: int) -> None:
        self.bench = AdmissionBench(
            RPCS,
            caller_count=gateways,
            core_count=CORES,
            max_runs_per_core=CROWD,
            starts_cold=True,
            cold_speed_fraction=FROM,
            warm_up_ms=COLD,
            load_advertisement=LoadAdvertisement.CREDIT,
            downstream=DownstreamKind.SHARED_STORE,
            downstream_concurrency_quota=OUT,
            downstream_quota_window_ms=OVER,
            lost_call_linger_ms=100.0,
        )
        self.server = self.bench.controller
        self.unread: deque[tuple[float, int]] = deque()
        self.jobs: dict[Any, tuple[ManagedRpc, float]] = {}  # by RPC, with what is left of its work
        self.read = 0.0  # ms of a core that went into the next RPC to be read
        self.there = self.on_cores = self.told = 0  # RPCs without an answer, of those on cores; actions seen
        self.sent, self.ran = Means(FALL), Means(FALL)

    def speed(self, now: float) -> float:
        return min(1.0, FROM + (1.0 - FROM) * now / COLD)

    def survives(self, now: float) -> float:
        return (1.0 + (CROWD - 1.0) * self.speed(now)) * CORES

    def work(self, now: float, chance: Random) -> None:
        """Each core reads one RPC at a time beside what runs, and all of that shares the cores."""
        running = [
            rpc for rpc, (job, _) in self.jobs.items() if job.state in (RpcState.RUNNING, RpcState.ABORTED)
        ]
        reads = min(CORES, len(self.unread))
        self.on_cores = len(running) + reads
        each = STEP * self.speed(now) * CORES / max(CORES, self.on_cores)
        for rpc in running:
            job, left = self.jobs[rpc]
            self.jobs[rpc] = job, left - each
            if left <= each:
                self.server.on_run_finished(job, Outcome.OK, now - job.arrived_at_ms)
        self.read += reads * each
        while self.unread and self.read >= READ:
            self.read -= READ
            came, gateway = self.unread.popleft()
            job = self.bench.read(remaining_ms=WAIT - (now - came), waited_ms=now - came, caller_id=gateway)
            self.jobs[job.rpc] = job, chance.expovariate(1.0 / WORK)
        budget = self.survives(now)
        self.ran.add(self.on_cores, budget)
        self.sent.add(self.there, budget + 2.0 * sqrt(budget) + 2.0)


class ServerThrong:
    def __init__(self, servers: int, gateways: int, uneven: bool) -> None:
        self.chance, self.now = Random(1), 0.0
        self.machines = [Machine(gateways) for _ in range(servers)]
        self.weights = [8.0 if uneven and g < 3 else 1.0 for g in range(gateways)]
        self.heard: dict[tuple[int, Machine], float] = {}  # the credit that a gateway was told last
        self.out: Counter[tuple[int, Machine]] = Counter()
        self.calls: list[tuple[float, Machine, ManagedRpc]] = []
        self.held = Means(OVER)
        self.ends: Counter[str] = Counter()

    def send(self, rate: float) -> None:
        for _ in range(int(rate) + (self.chance.random() < rate % 1.0)):
            gateway = self.chance.choices(range(len(self.weights)), self.weights)[0]
            for machine in self.chance.sample(self.machines, 2):
                # It is on no gateway's list before a check was answered; a part of a credit counts by chance.
                credit = self.heard.get((gateway, machine), 0.0)
                if self.out[gateway, machine] < int(credit) + (self.chance.random() < credit % 1.0):
                    self.out[gateway, machine] += 1
                    machine.there += 1
                    machine.unread.append((self.now, gateway))
                    break

    def step(self, rate: float) -> None:
        self.now += STEP
        for machine in self.machines:
            machine.bench.set_time(self.now)
            machine.work(self.now, self.chance)
        self.send(rate)
        self.store()
        for machine in self.machines:
            if self.now >= machine.server.next_check_ms:
                machine.server.on_timer(Gauges(min(1.0, machine.on_cores / CORES), machine.on_cores, 30.0))
            machine.server.settle()
            self.carry_out(machine)
            if self.now % 1000.0 < STEP:  # checks of all gateways, which tell them the credit too
                self.heard |= {(g, machine): machine.server.advertised_load for g in range(len(self.weights))}

    def carry_out(self, machine: Machine) -> None:
        while machine.told < len(machine.bench.actions):
            what, *values = machine.bench.actions[machine.told]
            machine.told += 1
            if what not in ("start_run", "start_call", "release", "reject", "abort"):
                continue
            rpc = values[0]
            self.ends[what] += 1
            if what == "start_run":
                machine.server.on_call_needed(machine.jobs[rpc][0])  # its cache is cold
                machine.server.settle()
            elif what == "start_call":
                crowded = max(1.0, len(self.calls) / (2.0 * OUT * len(self.machines)))
                self.calls.append((self.now + BASE * crowded, machine, machine.jobs[rpc][0]))
            elif what == "release":
                machine.jobs.pop(rpc, None)
                machine.there -= 1
                self.out[rpc.caller_id, machine] -= 1
                self.heard[rpc.caller_id, machine] = machine.server.advertised_load

    def store(self) -> None:
        self.held.add(len(self.calls), OUT * len(self.machines))
        for end, machine, job in [call for call in self.calls if call[0] <= self.now]:
            machine.server.on_call_finished(job, Outcome.OK, end - job.call_started_at_ms)
        self.calls = [call for call in self.calls if call[0] > self.now]


class ThrongTest(unittest.TestCase):
    def test_cold_servers_keep_themselves_and_the_store_within_their_limits(self) -> None:
        for servers, gateways, uneven in [(20, 20, False), (30, 30, False), (30, 30, True)]:
            with self.subTest(server_count=servers, gateways=gateways, uneven=uneven):
                world, steps = ServerThrong(servers, gateways, uneven), int(10_000 / STEP)
                warm = servers * CORES * STEP / WORK  # RPCs in a step
                for _ in range(steps):
                    # Twice what all of them do once they are warm: ten times what they do at first.
                    world.step(2.0 * warm)
                self.assertLessEqual(max(m.sent.worst for m in world.machines), 1.0)
                self.assertLessEqual(max(m.ran.worst for m in world.machines), 1.0)
                self.assertLessEqual(world.held.worst, 1.0)
                # They are not spared by being left idle: half of all that cold cores can do is done.
                done = world.ends["release"] - world.ends["reject"] - world.ends["abort"]
                could = warm * sum(world.machines[0].speed(t * STEP) for t in range(steps))
                self.assertGreaterEqual(done, 0.5 * could)
