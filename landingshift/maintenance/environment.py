"""What the leader's decisions need of the server that they run on."""

from __future__ import annotations

from typing import Protocol

from landingshift.maintenance.commands import Command


class CoordinatorEnvironment(Protocol):
    """The consensus group, membership and the wall clock, as the coordinator sees them."""

    def propose(self, command: Command) -> bool:
        """Proposes a command to the consensus group; returns whether it was accepted."""
        ...

    def is_leader(self, now_ms: float) -> bool:
        """Returns whether this server surely leads the consensus group. `now_ms`: its monotonic clock."""
        ...

    def has_left(self, name: str) -> bool:
        """Returns whether membership sees a machine no more."""
        ...

    def known_machines(self) -> set[str]:
        """Returns the names of all machines that membership knows."""
        ...

    def wall_clock_ms(self) -> float:
        """Returns Unix ms."""
        ...
