"""Interface through which the coordinator uses the server on which it runs."""

from __future__ import annotations

from typing import Protocol

from landingshift.maintenance.commands import Command


class CoordinatorEnvironment(Protocol):
    """Access to the consensus group, membership and the wall clock."""

    def propose(self, command: Command) -> bool:
        """Proposes a command to the consensus group; returns whether it was accepted."""
        ...

    def is_leader(self, now_ms: float) -> bool:
        """Returns whether this server is certain to lead the consensus group at monotonic time `now_ms`."""
        ...

    def has_left(self, name: str) -> bool:
        """Returns whether a machine has left the membership or is unknown to it."""
        ...

    def known_machines(self) -> set[str]:
        """Returns the names of all machines that membership knows."""
        ...

    def wall_clock_ms(self) -> float:
        """Returns the current Unix time in ms."""
        ...
