"""State shared by all admission rules of a server: clock, settings, current RPCs and their memory."""

from __future__ import annotations

from landingshift.admission.interface import Settings
from landingshift.admission.managed_rpc import ManagedRpc, RpcState

SAFE_FRACTION = 0.85
"""Safety factor: the rules use this fraction of the limits at which a server or the shared store fails."""


class ServerState:
    """State that the admission rules read. Only `RpcLifecycle` moves RPCs between states.

    The current RPCs are those that have been read and not yet released.

    Attributes:
        settings: The server's settings; a policy may change their fields in place.
        now_ms: Current time for all rules.
        started_at_ms: Time at which the server started.
        last_check_ms: Time of the last periodic check.
        rpcs_by_state: For each state, the current RPCs in this state, in the order in which they entered it.
        queued: The RPCs in `RpcState.QUEUED`. This attribute and the next three are dicts in `rpcs_by_state`.
        running: The RPCs in `RUNNING`.
        awaiting_call_slot: The RPCs in `AWAITING_CALL_SLOT`.
        calling: The RPCs in `CALLING`.
        max_memory_kb: Maximum of `memory_in_use_kb`.
        memory_in_use_kb: Memory of the current RPCs and the deduplication entries.
        shortest_objective_ms: Shortest latency objective of all methods.
    """

    def __init__(self, settings: Settings, now_ms: float) -> None:
        self.settings = settings
        self.now_ms = now_ms
        self.started_at_ms = now_ms
        self.last_check_ms = now_ms
        self.rpcs_by_state: dict[RpcState, dict[ManagedRpc, None]] = {state: {} for state in RpcState}
        self.queued = self.rpcs_by_state[RpcState.QUEUED]
        self.running = self.rpcs_by_state[RpcState.RUNNING]
        self.awaiting_call_slot = self.rpcs_by_state[RpcState.AWAITING_CALL_SLOT]
        self.calling = self.rpcs_by_state[RpcState.CALLING]
        self._aborted = self.rpcs_by_state[RpcState.ABORTED]
        self._abandoned = self.rpcs_by_state[RpcState.ABANDONED]
        self.max_memory_kb = settings.memory_kb * SAFE_FRACTION
        self.memory_in_use_kb = 0.0
        self.shortest_objective_ms = 0.0
        self.refresh_objectives()

    def refresh_objectives(self) -> None:
        """Recomputes `shortest_objective_ms` after latency objectives have changed in the settings."""
        self.shortest_objective_ms = min(method.latency_objective_ms for method in self.settings.methods)

    @property
    def seconds_since_check(self) -> float:
        """Seconds since the last periodic check. Rates change in proportion to this time."""
        return (self.now_ms - self.last_check_ms) / 1000.0

    def all_rpcs(self) -> list[ManagedRpc]:
        """Returns all current RPCs, ordered by state."""
        return [managed for rpcs in self.rpcs_by_state.values() for managed in rpcs]

    def running_count(self) -> int:
        """Returns the number of runs on the cores, including those of aborted and abandoned RPCs."""
        return len(self.running) + len(self._aborted) + len(self._abandoned)

    def calling_count(self) -> int:
        """Returns the number of runs that use no core because they make or wait for a downstream call."""
        return len(self.calling) + len(self.awaiting_call_slot)

    def add(self, managed: ManagedRpc) -> None:
        """Adds an RPC to its current state and counts its memory."""
        assert managed.state is not None
        self.rpcs_by_state[managed.state][managed] = None
        self.memory_in_use_kb += self._memory_kb(managed)

    def remove(self, managed: ManagedRpc) -> None:
        """Removes an RPC from its current state and frees its memory."""
        assert managed.state is not None
        del self.rpcs_by_state[managed.state][managed]
        self.memory_in_use_kb -= self._memory_kb(managed)

    def _memory_kb(self, managed: ManagedRpc) -> float:
        is_waiting = managed.state in (RpcState.QUEUED, RpcState.AWAITING_ORIGINAL)
        return managed.rpc.memory_kb * (1.0 if is_waiting else self.settings.running_memory_factor)
