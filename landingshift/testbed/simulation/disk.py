"""The disk of a simulated server: what lasts when its process does not."""

from __future__ import annotations

from dataclasses import dataclass, replace

from landingshift.consensus.persistent_state import PersistentState


@dataclass(slots=True)
class SimulatedDisk:
    """What a server's processes leave to each other.

    Attributes:
        raft_state: The Raft log and vote; None on a server that can't be a voter.
        used_permit: The maintenance permit by which the last process drained; 0 for none.
        is_full: Takes no write.
        torn_write_down_ms: The process dies at its next write, before that is on disk, and is down for so
            long; 0 for a sound disk.
    """

    raft_state: PersistentState | None
    used_permit: int = 0
    is_full: bool = False
    torn_write_down_ms: float = 0.0

    def load(self) -> PersistentState | None:
        """Returns a copy of the Raft state."""
        return copy_raft_state(self.raft_state) if self.raft_state is not None else None


def copy_raft_state(state: PersistentState) -> PersistentState:
    """Copies a Raft state. Entries never change, so that a copy of their list is enough."""
    return replace(state, entries=list(state.entries))
