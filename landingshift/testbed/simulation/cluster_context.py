"""The interface through which a simulated server uses the cluster around it."""

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
    """Returns the address of the server with number `index`."""
    return f"10.0.{index // 250}.{index % 250 + 1}", SERVER_PORT


def server_name(index: int) -> str:
    """Returns the name of the server with number `index`."""
    return f"n{index}"


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """Configuration shared by all servers of a cluster.

    Attributes:
        server_count: Number of servers in the cluster.
        policies: Voters and leases of policy changes.
        raft_timeouts: Raft timeouts of the voters.
        cold_start: Limits that are leased during a cold start, and the servers that grant the leases.
        maintenance: Settings of the maintenance coordinator.
        removed_defence: Defence that all servers lack (a name from `removed_defences`); "" for none.
    """

    server_count: int
    policies: PolicySettings
    raft_timeouts: RaftTimeouts
    cold_start: ColdStartPlan
    maintenance: CoordinatorSettings
    removed_defence: str


class ClusterContext(Protocol):
    """The parts of the cluster that its servers use. Servers are identified by their number, `index`."""

    @property
    def config(self) -> ClusterConfig:
        """The configuration shared by all servers."""

    @property
    def network(self) -> SimulatedNetwork:
        """The network and the virtual time."""

    @property
    def store(self) -> SimulatedStore:
        """The downstream store that all servers call."""

    @property
    def is_endpoint_list_up(self) -> bool:
        """Whether the endpoint list service answers."""

    def disk(self, index: int) -> SimulatedDisk:
        """Returns the disk of a server."""

    def server_rng(self, index: int, run_number: int) -> Random:
        """Returns the random generator of the `run_number`th process of a server."""

    def contact_addresses(self, index: int) -> list[Address]:
        """Returns the addresses of other servers in the settings of a server or from the endpoint list."""

    def wall_clock_ms(self, index: int) -> float:
        """Returns the time on a server's wall clock, in Unix ms."""

    def record(self, kind: str, *values: Any) -> None:
        """Appends an event to the history."""

    def permit_in_force(self, name: str) -> int:
        """Returns the number of the maintenance permit granted to a server; 0 if none is known."""

    def maintenance_duration_ms(self, name: str) -> float:
        """Returns the duration of the maintenance requested last for a server; 0 if none was requested."""

    def kill(self, index: int, down_ms: float) -> None:
        """Kills the process of a server and starts a new process `down_ms` later."""

    def on_server_ended(self, index: int, down_ms: float) -> None:
        """Called when a drained process has ended. Its successor should start `down_ms` later."""
