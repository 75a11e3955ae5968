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
        policies: Settings of policy changes, including the voters.
        raft_timeouts: Raft timeouts of the voters.
        cold_start: Total call rate and number of start permits that are leased to servers, and the names of
            the servers that grant these leases.
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
    """The methods and properties of the cluster that its servers use. `index` is the number of a server."""

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
        """Returns addresses of other servers, from the server's own settings or the endpoint list."""

    def wall_clock_ms(self, index: int) -> float:
        """Returns the time on a server's wall clock, in Unix ms."""

    def record(self, kind: str, *values: Any) -> None:
        """Appends an event to the history."""

    def permit_in_force(self, name: str) -> int:
        """Returns the number of a server's maintenance permit; 0 if there is no permit or no leader."""

    def maintenance_duration_ms(self, name: str) -> float:
        """Returns the duration in the last maintenance request for a server; 0 if there was no request."""

    def kill(self, index: int, down_ms: float) -> None:
        """Kills the process of a server and starts a new process `down_ms` later."""

    def on_server_ended(self, index: int, down_ms: float) -> None:
        """Called when a drained process has ended; starts a new process `down_ms` later."""
