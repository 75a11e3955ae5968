"""Maintenance in a simulated cluster: the coordinator's environment, and an agent with a defence removed."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from landingshift.maintenance.agent import MaintenanceAgent
from landingshift.maintenance.commands import Command
from landingshift.maintenance.storage import encode_command

if TYPE_CHECKING:
    from landingshift.testbed.simulation.server import SimulatedServer


class AgentWithoutExpiry(MaintenanceAgent):
    """Leaves by a permit whenever it gets to it: the invariants must then be found violated."""

    def begin_draining(self, now_ms: float) -> bool:
        """Uses the permit, expired or not."""
        self.permit.expires_at_ms = inf
        return super().begin_draining(now_ms)


class SimulatedEnvironment:
    """Answers what the coordinator asks by one simulated server's parts."""

    def __init__(self, server: SimulatedServer) -> None:
        self._server = server

    def propose(self, command: Command) -> bool:
        """Puts a command to the simulated consensus group; False where this server does not lead it."""
        return self._server.propose(encode_command(command))

    def is_leader(self, now_ms: float) -> bool:
        """Returns whether this server surely leads."""
        return self._server.leads(now_ms)

    def has_left(self, name: str) -> bool:
        """Returns whether membership sees a machine no more."""
        return self._server.gone(name)

    def known_machines(self) -> set[str]:
        """Returns the names of all machines that membership has heard of."""
        return self._server.node.member_table.known_names()

    def wall_clock_ms(self) -> float:
        """Returns Unix ms of the server's wall clock."""
        return self._server.wall()
