"""The disk of a simulated server: state that survives the end of its process."""

from __future__ import annotations

from dataclasses import dataclass, replace

from landingshift.consensus.persistent_state import PersistentState


@dataclass(slots=True)
class SimulatedDisk:
    """State that the processes of one server store for their successors.

    Attributes:
        raft_state: Raft log and vote; None on a server that can't be a voter.
        used_permit: Number of the maintenance permit that the server used last to drain; 0 for none.
        is_full: Whether the Raft state can't be written.
        torn_write_down_ms: If not 0, the next write of the Raft state is lost and kills the process, which
            is restarted after this time.
    """

    raft_state: PersistentState | None
    used_permit: int = 0
    is_full: bool = False
    torn_write_down_ms: float = 0.0

    def load(self) -> PersistentState | None:
        """Returns a copy of the Raft state; None on a server that can't be a voter."""
        return copy_raft_state(self.raft_state) if self.raft_state is not None else None


def copy_raft_state(state: PersistentState) -> PersistentState:
    """Returns a copy of a Raft state. Log entries are immutable, so the copy shares them."""
    return replace(state, entries=list(state.entries))
