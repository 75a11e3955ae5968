"""Which RPCs enter the program's deduplication table, and until when their entries take memory.

The table is the program's; this module decides. An RPC with an idempotency key is entered from its first
moment: a duplicate of one that is queued and not entered would not be recognised, and would run too. Where
there is no memory for its entry it is rejected. A cacheable read is entered where memory allows. An entry
of an RPC that never ran is dropped: a later attempt may run.
"""

from __future__ import annotations

from landingshift.admission.interface import Actions, Idempotency, Rpc
from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.admission.server_state import ServerState

WINDOW_MARGIN_MS = 1.0


class DedupEntries:
    """The entries that RPCs of this server have in the table.

    Attributes:
        expires_at_ms: Live entries by their RPC.
    """

    def __init__(self, server: ServerState, actions: Actions) -> None:
        self._server = server
        self._actions = actions
        self.expires_at_ms: dict[ManagedRpc, float] = {}

    def answers_duplicate(self, rpc: Rpc) -> bool:
        """Whether the RPC is a duplicate that is answered from the entry of its first attempt."""
        is_keyed = rpc.method.idempotency is Idempotency.KEYED
        return rpc.is_duplicate and (is_keyed or self._server.settings.response_cache_ttl_ms > 0)

    def retain(self, managed: ManagedRpc) -> bool:
        """Enters an RPC that was queued, if it needs an entry.

        Returns:
            False where it needs one and there is no memory for it: it must not run.
        """
        server, settings, rpc = self._server, self._server.settings, managed.rpc
        is_cacheable = self._is_cacheable(rpc)
        if not is_cacheable and rpc.method.idempotency is not Idempotency.KEYED:
            return True
        if server.memory_in_use_kb + settings.dedup_entry_kb > server.max_memory_kb:
            return is_cacheable
        if is_cacheable:
            duration_ms = settings.response_cache_ttl_ms + rpc.method.deadline_ms
        else:
            duration_ms = rpc.method.dedup_window_ms - rpc.waited_ms + WINDOW_MARGIN_MS
        self._actions.retain_dedup_entry(rpc, duration_ms)
        self.expires_at_ms[managed] = server.now_ms + duration_ms
        server.memory_in_use_kb += settings.dedup_entry_kb
        return True

    def drop_unless_started(self, managed: ManagedRpc) -> None:
        """Drops the entry of an RPC that leaves without having run."""
        if not managed.has_started and self.expires_at_ms.pop(managed, 0.0):
            self._actions.drop_dedup_entry(managed.rpc)
            self._server.memory_in_use_kb -= self._server.settings.dedup_entry_kb

    def expire(self) -> None:
        """Gives back the memory of entries that have ended; the program drops them by itself."""
        expired = [
            managed
            for managed, expires_at_ms in self.expires_at_ms.items()
            if expires_at_ms <= self._server.now_ms
        ]
        for managed in expired:
            del self.expires_at_ms[managed]
            self._server.memory_in_use_kb -= self._server.settings.dedup_entry_kb

    def _is_cacheable(self, rpc: Rpc) -> bool:
        return (
            rpc.method.idempotency is Idempotency.IDEMPOTENT
            and self._server.settings.response_cache_ttl_ms > 0
            and rpc.has_cache_key
            and not rpc.is_write
        )
