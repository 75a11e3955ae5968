"""What all rules of a server share: clock, settings, the RPCs in hand, and the memory that they take."""

from __future__ import annotations

from landingshift.admission.interface import Settings
from landingshift.admission.managed_rpc import ManagedRpc, RpcState

SAFE_FRACTION = 0.85
"""Of each limit beyond which a server or the shared store dies."""


class ServerState:
    """The state that the rules read; only `RpcLifecycle` moves RPCs in it.

    Attributes:
        settings: The server's settings; a policy may change figures in them.
        now_ms: The time that all rules go by.
        started_at_ms: When the server started; its caches are cold then.
        last_check_ms: When `on_timer` last ran.
        rpcs_by_state: All RPCs in hand. Each inner dict has the order in which RPCs came to the state.
        queued: The RPCs of `RpcState.QUEUED`, the same dict; so do the next three.
        running: Those of `RUNNING`.
        awaiting_call_slot: Those of `AWAITING_CALL_SLOT`.
        calling: Those of `CALLING`.
        max_memory_kb: Memory that may be in use.
        memory_in_use_kb: What RPCs in hand and deduplication entries take.
        shortest_objective_ms: The least latency objective of a method.
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
        """Takes over latency objectives that have changed in the settings."""
        self.shortest_objective_ms = min(method.latency_objective_ms for method in self.settings.methods)

    @property
    def seconds_since_check(self) -> float:
        """Time since the last run of `on_timer`, by which rates move."""
        return (self.now_ms - self.last_check_ms) / 1000.0

    def all_rpcs(self) -> list[ManagedRpc]:
        """All RPCs in hand, by state."""
        return [managed for rpcs in self.rpcs_by_state.values() for managed in rpcs]

    def running_count(self) -> int:
        """Runs on the cores. Those that nobody waits for any more are there too."""
        return len(self.running) + len(self._aborted) + len(self._abandoned)

    def calling_count(self) -> int:
        """Runs off the cores, at a downstream call or waiting for one."""
        return len(self.calling) + len(self.awaiting_call_slot)

    def add(self, managed: ManagedRpc) -> None:
        """Enters an RPC under its state."""
        assert managed.state is not None
        self.rpcs_by_state[managed.state][managed] = None
        self.memory_in_use_kb += self._memory_kb(managed)

    def remove(self, managed: ManagedRpc) -> None:
        """Takes an RPC from its state."""
        assert managed.state is not None
        del self.rpcs_by_state[managed.state][managed]
        self.memory_in_use_kb -= self._memory_kb(managed)

    def _memory_kb(self, managed: ManagedRpc) -> float:
        is_waiting = managed.state in (RpcState.QUEUED, RpcState.AWAITING_ORIGINAL)
        return managed.rpc.memory_kb * (1.0 if is_waiting else self.settings.running_memory_factor)
