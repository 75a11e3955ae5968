"""A simulated cluster that runs a scenario: faults, commands of operators and RPCs from gateways.

All events are recorded in one history, which the invariants check afterwards. The same scenario always gives
exactly the same history.
"""

from __future__ import annotations

from functools import partial
from random import Random

from landingshift.coldstart.plan import ColdStartPlan
from landingshift.consensus.timeouts import RaftTimeouts
from landingshift.maintenance.coordinator_settings import CoordinatorSettings
from landingshift.policies.policy_settings import PolicySettings
from landingshift.testbed.experiments.scenarios import Coverage, Scenario
from landingshift.testbed.simulation.cluster_context import ClusterConfig, server_name
from landingshift.testbed.simulation.cluster_state import ClusterState
from landingshift.testbed.simulation.downstream_store import SimulatedStore
from landingshift.testbed.simulation.faults import FaultInjector
from landingshift.testbed.simulation.gateways import SimulatedGateways
from landingshift.testbed.simulation.operators import SimulatedOperators
from landingshift.testbed.simulation.quiescence import reasons_not_quiescent
from landingshift.testbed.simulation.removed_defences import disruption_budget
from landingshift.testbed.simulation.server import SimulatedServer
from landingshift.testbed.simulation.virtual_time import SimulatedNetwork
from landingshift.testbed.simulation.workload import SERVER_CAPACITY_RPCS_PER_SECOND
from landingshift.testbed.verification.history import (
    CapacitySampled,
    FaultsEnded,
    History,
    LeaseLimits,
    NotQuiescent,
    ServerCapacity,
    SettlingEnded,
    TableSampled,
)

OVERLAP_MS = 1000.0
"""Maximum time during which some servers may use the old policy version while others use the new one."""
POLICY_LEASE_MS = 900.0
CLOCK_MARGIN_MS = 100.0
STORE_CALLS_PER_SECOND_AND_SERVER = 3.0
SAMPLE_INTERVAL_MS = 250.0
TABLE_SAMPLE_INTERVAL_MS = 2000.0
START_SPREAD_MS = 500.0
"""Time from the beginning of a scenario within which all servers are started."""
FIRST_FAULT_MS = 4000.0
"""Virtual time before which no fault begins, so that most servers have completed their cold start."""
MAX_SETTLING_MS = 180_000.0
"""Maximum time that the cluster has to become quiescent (see `quiescence`) after the scenario has ended."""
SETTLING_CHECK_INTERVAL_MS = 500.0
SETTLING_LOAD_RATIO = 0.3
"""Maximum load after the scenario has ended, as a fraction of the cluster's capacity."""


def cluster_config(scenario: Scenario, removed_defence: str) -> ClusterConfig:
    """Returns the configuration of all servers in a scenario, without the defence named `removed_defence`."""
    server_count = scenario.server_count
    names = [server_name(index) for index in range(server_count)]
    store_calls_per_second = STORE_CALLS_PER_SECOND_AND_SERVER * server_count
    grantor_names = tuple(names[: max(2, server_count // 3)])
    return ClusterConfig(
        server_count=server_count,
        policies=PolicySettings(
            tuple(names[: scenario.voter_count]),
            scenario.stands_aside,
            overlap_ms=OVERLAP_MS,
            lease_ms=POLICY_LEASE_MS,
            clock_margin_ms=CLOCK_MARGIN_MS,
            change_timeout_ms=6000.0,
        ),
        raft_timeouts=RaftTimeouts(heartbeat_interval_ms=100.0, election_timeout_ms=500.0),
        cold_start=ColdStartPlan(
            grantor_names, store_calls_per_second, server_count, 0.1, 1500.0, 300.0,
            max(2.0, server_count / 3.0), float(server_count), 4000.0, 2.0,
        ),
        maintenance=CoordinatorSettings(
            disruption_budget(removed_defence),
            permit_valid_ms=2000.0,
            permit_grace_ms=300.0,
            warm_up_minutes=0.05,
            is_staged=False,
            peak_decay_ms=10_000.0,
        ),
        removed_defence=removed_defence,
    )  # fmt: skip


class SimulatedCluster:
    """A simulated cluster and the scenario that runs on it.

    Attributes:
        scenario: Faults, load and size of the cluster.
        state: Servers, network, store and history.
        operators: Operators, who give commands.
        gateways: Gateways, which send RPCs.
        faults: Begins and ends the faults of the scenario.
    """

    def __init__(
        self, scenario: Scenario, removed_defence: str = "", coverage: Coverage | None = None
    ) -> None:
        """Creates a cluster whose servers are not started yet.

        Args:
            scenario: Faults, load and size of the cluster.
            removed_defence: Defence that all servers lack (a name from `removed_defences`); "" for none.
            coverage: Counts overlapping faults, and the stages of operations at which faults began; None if
                nothing needs to be counted.
        """
        self.scenario = scenario
        config = cluster_config(scenario, removed_defence)
        store = SimulatedStore(STORE_CALLS_PER_SECOND_AND_SERVER * scenario.server_count)
        self.state = ClusterState(scenario.seed, config, store)
        self._rng = Random(f"{scenario.seed} town")
        self.operators = SimulatedOperators(self.state)
        rpcs_per_second = scenario.load_ratio * scenario.server_count * SERVER_CAPACITY_RPCS_PER_SECOND
        self.gateways = SimulatedGateways(self.state, self._rng, rpcs_per_second)
        self.faults = FaultInjector(
            self.state, self.operators, self.gateways, scenario.faults, coverage or Coverage()
        )

    @property
    def network(self) -> SimulatedNetwork:
        """The network and the virtual time."""
        return self.state.network

    @property
    def servers(self) -> dict[int, SimulatedServer]:
        """The latest process of each server, by server number."""
        return self.state.servers

    def play(self) -> History:
        """Runs the scenario, waits until the cluster is quiescent and returns the history of all events."""
        network, state = self.network, self.state
        for index in range(self.scenario.server_count):
            network.schedule_at(self._rng.uniform(0.0, START_SPREAD_MS), partial(state.start, index))
        self.gateways.start()
        network.schedule_after(SAMPLE_INTERVAL_MS, self._sample)
        network.schedule_after(TABLE_SAMPLE_INTERVAL_MS, self._sample_tables)
        cold_start = state.config.cold_start
        state.record(LeaseLimits.KIND, cold_start.downstream_calls_per_second, cold_start.max_permits)
        state.record(ServerCapacity.KIND, SERVER_CAPACITY_RPCS_PER_SECOND)
        for fault_index, fault in enumerate(self.scenario.faults):
            begin = partial(self.faults.begin, fault_index, fault)
            network.schedule_at(FIRST_FAULT_MS + fault.start_ms, begin)
        network.run_until(FIRST_FAULT_MS + self.scenario.duration_ms)
        self._settle()
        return state.history

    def _sample(self) -> None:
        """Records warm capacity, demand and the outcomes of policy changes; schedules the next sample."""
        self.network.schedule_after(SAMPLE_INTERVAL_MS, self._sample)
        self.state.store.sample(self.network.now_ms)
        serving = [server for server in self.state.running_servers() if not server.is_draining]
        warm_capacity = sum(SERVER_CAPACITY_RPCS_PER_SECOND * server.warm_fraction() for server in serving)
        names = [server.name for server in serving]
        self.state.record(CapacitySampled.KIND, warm_capacity, self.gateways.demand, names)
        self.operators.record_outcomes()

    def _sample_tables(self) -> None:
        self.network.schedule_after(TABLE_SAMPLE_INTERVAL_MS, self._sample_tables)
        for server in self.state.running_servers():
            for table, size in server.table_sizes().items():
                self.state.record(TableSampled.KIND, server.name, table, size)

    def _settle(self) -> None:
        """Reduces the load, waits until the cluster is quiescent and records all outcomes of policy changes.

        If the cluster is still not quiescent after MAX_SETTLING_MS, the reasons are recorded too.
        """
        self.state.record(FaultsEnded.KIND)
        settling_rpcs_per_second = (
            SETTLING_LOAD_RATIO * self.scenario.server_count * SERVER_CAPACITY_RPCS_PER_SECOND
        )
        self.gateways.rpcs_per_second = min(self.gateways.rpcs_per_second, settling_rpcs_per_second)
        end_ms = self.network.now_ms + MAX_SETTLING_MS
        while self.network.now_ms < end_ms and reasons_not_quiescent(self.state, self.operators):
            self.network.run_until(self.network.now_ms + SETTLING_CHECK_INTERVAL_MS)
            if self.network.now_ms > end_ms - MAX_SETTLING_MS / 2.0:
                self.operators.ask_for_outcomes()
        for reason in reasons_not_quiescent(self.state, self.operators):
            self.state.record(NotQuiescent.KIND, reason)
        self.operators.record_outcomes(include_recorded=True)
        self.state.record(SettlingEnded.KIND, end_ms - MAX_SETTLING_MS)
