"""What a simulated server knows of the cluster around it: the seam between `server` and `cluster`."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from landingshift.coldstart.plan import ColdStartPlan
from landingshift.consensus.timeouts import RaftTimeouts
from landingshift.maintenance.coordinator_settings import CoordinatorSettings
from landingshift.policies.policy_settings import PolicySettings
from landingshift.testbed.simulation.disk import SimulatedDisk
from landingshift.testbed.simulation.downstream_store import SimulatedStore
from landingshift.testbed.simulation.virtual_time import Address, SimulatedNetwork

SERVER_PORT = 7101


def server_address(index: int) -> Address:
    """Returns the address of a server."""
    return f"10.0.{index // 250}.{index % 250 + 1}", SERVER_PORT


def server_name(index: int) -> str:
    """Returns the name of a server."""
    return f"n{index}"


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """What all servers of a cluster are configured with.

    Attributes:
        server_count: Servers of the cluster.
        policies: Voters and leases of policy changes.
        raft_timeouts: Of the voters.
        cold_start: What is leased at a cold start, and by whom.
        maintenance: Of the coordinator of maintenance.
        removed_defence: The one defence that all servers lack (`removed_defences`); "" for none.
    """

    server_count: int
    policies: PolicySettings
    raft_timeouts: RaftTimeouts
    cold_start: ColdStartPlan
    maintenance: CoordinatorSettings
    removed_defence: str


class ClusterContext(Protocol):
    """The cluster, as its servers see it."""

    @property
    def config(self) -> ClusterConfig:
        """What all servers are configured with."""

    @property
    def network(self) -> SimulatedNetwork:
        """The network and the virtual time."""

    @property
    def store(self) -> SimulatedStore:
        """The store that all servers call."""

    @property
    def is_endpoint_list_up(self) -> bool:
        """Whether the service answers that lists the servers."""

    def disk(self, index: int) -> SimulatedDisk:
        """Returns the disk of a server."""

    def server_rng(self, index: int, run_number: int) -> Random:
        """Returns the generator of one process of a server."""

    def contact_addresses(self, index: int) -> list[Address]:
        """Returns the servers that a server knows from its settings or the endpoint list."""

    def wall_clock_ms(self, index: int) -> float:
        """Returns Unix ms of a server's wall clock."""

    def record(self, kind: str, *values: Any) -> None:
        """Appends an event to the history."""

    def permit_in_force(self, name: str) -> int:
        """Returns the permit that the leader has granted to a server; 0 where none is known."""

    def maintenance_duration_ms(self, name: str) -> float:
        """Returns how long the maintenance of a server takes."""

    def kill(self, index: int, down_ms: float) -> None:
        """Kills a server's process, and starts another one `down_ms` later."""

    def on_server_ended(self, index: int, down_ms: float) -> None:
        """Called when a drained process has ended; another one is to start `down_ms` later."""
