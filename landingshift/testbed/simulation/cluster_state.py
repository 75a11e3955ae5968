"""The servers of a simulated cluster: their processes, disks and clocks, what they share, and the history."""

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
"""What monotonic clocks show at the beginning; never below 0, as on real machines."""
CLOCK_RATES = (0.99, 1.01)
START_WALL_CLOCK_UNIX_MS = 1.8e12
MIN_RESTART_DELAY_MS = 300.0
"""A supervisor takes so long to start a process that has ended by itself."""
CONTACT_COUNT = 4
"""Addresses of other servers that a server knows."""
MAX_EVENT_COUNT = 1_000_000
"""More is a storm of messages, and no scenario."""


class ClusterState:
    """All servers and what is around them; implements `ClusterContext`.

    Attributes:
        seed: Of all that is drawn.
        config: What all servers are configured with.
        network: The network and the virtual time.
        store: The store below all servers.
        history: What has happened.
        servers: The latest process of each server that was ever started, by its number.
        disks: By number.
        wall_clock_offsets_ms: By number; what a wall clock shows at virtual time 0.
        is_endpoint_list_up: Whether the endpoint list answers.
        maintenance_minutes: Duration of the latest maintenance asked for, by the server's name.
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
        # One more than there are voters has a Raft log and could be one.
        voter_count = len(config.policies.voters)
        self.disks = [
            SimulatedDisk(PersistentState() if index <= voter_count else None)
            for index in range(config.server_count)
        ]

    # What servers ask for

    def disk(self, index: int) -> SimulatedDisk:
        """Returns the disk of a server."""
        return self.disks[index]

    def server_rng(self, index: int, run_number: int) -> Random:
        """Returns the generator of one process of a server."""
        return Random(f"{self.seed} {index} {run_number}")

    def contact_addresses(self, index: int) -> list[Address]:
        """Returns the servers that a server knows from its settings or the endpoint list."""
        others = [server_address(other) for other in range(self.config.server_count) if other != index]
        return others[:CONTACT_COUNT]

    def wall_clock_ms(self, index: int) -> float:
        """Returns Unix ms of a server's wall clock."""
        return self.network.now_ms + self.wall_clock_offsets_ms[index]

    def record(self, kind: str, *values: Any) -> None:
        """Appends an event to the history."""
        self.history.append((self.network.now_ms, kind, *values))

    def permit_in_force(self, name: str) -> int:
        """Returns the permit that the leader has granted to a server; 0 where none is known."""
        leader = self.leader()
        if leader is None:
            return 0
        request = leader.maintenance.state.requests.get(name)
        return request.permit_number if request is not None else 0

    def maintenance_duration_ms(self, name: str) -> float:
        """Returns how long the maintenance of a server takes."""
        return self.maintenance_minutes.get(name, 0.0) * MS_PER_MINUTE

    # Processes

    def leader(self) -> SimulatedServer | None:
        """Returns the server that surely leads the voters."""
        for server in self.servers.values():
            if server.host.is_up and server.maintenance.environment.is_leader():
                return server
        return None

    def running_servers(self) -> list[SimulatedServer]:
        """Returns the servers whose process runs."""
        return [server for server in self.servers.values() if server.host.is_up]

    def running_server(self, index: int) -> SimulatedServer | None:
        """Returns a server whose process runs."""
        server = self.servers.get(index)
        return server if server is not None and server.host.is_up else None

    def start(self, index: int) -> None:
        """Starts a new process of a server that has none."""
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
        """Kills a server's process, and starts another one `down_ms` later."""
        if self.running_server(index) is not None:
            self.network.kill(server_address(index))
            self.record(ServerKilled.KIND, server_name(index))
        self.network.schedule_after(down_ms, partial(self.start, index))

    def on_server_ended(self, index: int, down_ms: float) -> None:
        """Starts another process once its supervisor gets to it."""
        self.network.schedule_after(max(MIN_RESTART_DELAY_MS, down_ms), partial(self.start, index))
