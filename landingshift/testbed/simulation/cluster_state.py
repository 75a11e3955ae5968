"""The state of a simulated cluster: processes, disks and clocks of its servers, shared services, history."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import Any

from landingshift.consensus.persistent_state import PersistentState
from landingshift.maintenance.planner import MS_PER_MINUTE
from landingshift.testbed.simulation.cluster_context import ClusterConfig, server_address, server_name
from landingshift.testbed.simulation.disk import SimulatedDisk
from landingshift.testbed.simulation.downstream_store import SimulatedStore
from landingshift.testbed.simulation.server import SimulatedServer
from landingshift.testbed.simulation.virtual_time import Address, SimulatedHost, SimulatedNetwork
from landingshift.testbed.verification.history import History, ServerKilled, ServerStarted

CLOCK_OFFSETS_MS = (1e6, 3e6)
"""Range of the times on monotonic clocks at virtual time 0. Clocks are positive, as on real machines."""
CLOCK_RATES = (0.99, 1.01)
"""Range of the speeds of monotonic clocks relative to virtual time."""
START_WALL_CLOCK_UNIX_MS = 1.8e12
MIN_RESTART_DELAY_MS = 300.0
"""Minimum time from the end of a drained process to the start of the next process by its supervisor."""
CONTACT_COUNT = 4
"""Number of other servers' addresses that a server gets from its settings or the endpoint list."""
MAX_EVENT_COUNT = 1_000_000
"""Maximum number of events in a scenario. Only a message storm exceeds this number."""


class ClusterState:
    """All servers and the services that they share; implements `ClusterContext`.

    Attributes:
        seed: Seed of all random generators.
        config: Configuration shared by all servers.
        network: The network and the virtual time.
        store: Downstream store of all servers.
        history: All events so far.
        servers: The latest process of each server that has been started, by server number.
        disks: Disk of each server, by server number.
        wall_clock_offsets_ms: Unix ms on the wall clock at virtual time 0, by server number.
        is_endpoint_list_up: Whether the endpoint list service answers.
        maintenance_minutes: Duration in the last maintenance request for each server, by server name.
    """

    def __init__(self, seed: int, config: ClusterConfig, store: SimulatedStore) -> None:
        self.seed = seed
        self.config = config
        self.network = SimulatedNetwork(seed)
        self.network.max_event_count = MAX_EVENT_COUNT
        self.store = store
        self.history: History = []
        self.servers: dict[int, SimulatedServer] = {}
        self.wall_clock_offsets_ms = [START_WALL_CLOCK_UNIX_MS] * config.server_count
        self.is_endpoint_list_up = True
        self.maintenance_minutes: dict[str, float] = {}
        self._run_numbers = [0] * config.server_count
        # In addition to the voters, one server has a Raft log. This server can be added as a voter.
        voter_count = len(config.policies.voters)
        self.disks = [
            SimulatedDisk(PersistentState() if index <= voter_count else None)
            for index in range(config.server_count)
        ]

    # ClusterContext

    def disk(self, index: int) -> SimulatedDisk:
        """Returns the disk of a server."""
        return self.disks[index]

    def server_rng(self, index: int, run_number: int) -> Random:
        """Returns the random generator of the `run_number`th process of a server."""
        return Random(f"{self.seed} {index} {run_number}")

    def contact_addresses(self, index: int) -> list[Address]:
        """Returns addresses of other servers, from the server's own settings or the endpoint list."""
        others = [server_address(other) for other in range(self.config.server_count) if other != index]
        return others[:CONTACT_COUNT]

    def wall_clock_ms(self, index: int) -> float:
        """Returns the time on a server's wall clock, in Unix ms."""
        return self.network.now_ms + self.wall_clock_offsets_ms[index]

    def record(self, kind: str, *values: Any) -> None:
        """Appends an event to the history."""
        self.history.append((self.network.now_ms, kind, *values))

    def permit_in_force(self, name: str) -> int:
        """Returns the number of a server's maintenance permit; 0 if there is no permit or no leader."""
        leader = self.leader()
        if leader is None:
            return 0
        request = leader.maintenance.state.requests.get(name)
        return request.permit_number if request is not None else 0

    def maintenance_duration_ms(self, name: str) -> float:
        """Returns the duration in the last maintenance request for a server; 0 if there was no request."""
        return self.maintenance_minutes.get(name, 0.0) * MS_PER_MINUTE

    # Processes

    def leader(self) -> SimulatedServer | None:
        """Returns the running server that holds the leader lease of the voters; None if there is none."""
        for server in self.servers.values():
            if server.host.is_up and server.maintenance.environment.is_leader():
                return server
        return None

    def running_servers(self) -> list[SimulatedServer]:
        """Returns the running process of each server, without servers that are down."""
        return [server for server in self.servers.values() if server.host.is_up]

    def running_server(self, index: int) -> SimulatedServer | None:
        """Returns the process of a server; None if the server is down."""
        server = self.servers.get(index)
        return server if server is not None and server.host.is_up else None

    def start(self, index: int) -> None:
        """Starts a new process of a server; does nothing if one is running."""
        if self.running_server(index) is not None:
            return
        self._run_numbers[index] += 1
        run_number = self._run_numbers[index]
        rng = Random(f"{self.seed} {index} clock {run_number}")
        clock_offset_ms = rng.uniform(*CLOCK_OFFSETS_MS)
        host = SimulatedHost(self.network, server_address(index), clock_offset_ms, rng.uniform(*CLOCK_RATES))
        self.disks[index].torn_write_down_ms = 0.0
        self.record(ServerStarted.KIND, server_name(index))
        self.servers[index] = SimulatedServer(self, index, run_number, host)
        host.start(self.servers[index])

    def kill(self, index: int, down_ms: float) -> None:
        """Kills the process of a server, if it runs, and starts a new process `down_ms` later."""
        if self.running_server(index) is not None:
            self.network.kill(server_address(index))
            self.record(ServerKilled.KIND, server_name(index))
        self.network.schedule_after(down_ms, partial(self.start, index))

    def on_server_ended(self, index: int, down_ms: float) -> None:
        """Starts a new process of a server after the longer of `down_ms` and MIN_RESTART_DELAY_MS."""
        self.network.schedule_after(max(MIN_RESTART_DELAY_MS, down_ms), partial(self.start, index))
