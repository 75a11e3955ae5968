"""Selects the RPCs that get an entry in the host program's deduplication table.

The program stores the table and uses it to recognise and answer duplicates. The memory of the entries is
included in the server's memory in use.

An RPC with an idempotency key gets an entry as soon as it is queued. Otherwise, a duplicate that arrives
while the RPC is queued would not be recognised and would also run. If there is not enough memory for the
entry, the RPC is rejected. A cacheable read that gets no entry for lack of memory is still run. The entry of
an RPC that never ran is dropped, so that a later attempt can run.
"""

from __future__ import annotations

from landingshift.admission.interface import Actions, Idempotency, Rpc
from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.admission.server_state import ServerState

WINDOW_MARGIN_MS = 1.0


class DedupEntries:
    """Adds and drops the entries of this server's RPCs in the deduplication table.

    Attributes:
        expires_at_ms: Expiry times of the live entries, keyed by their RPCs.
    """

    def __init__(self, server: ServerState, actions: Actions) -> None:
        self._server = server
        self._actions = actions
        self.expires_at_ms: dict[ManagedRpc, float] = {}

    def answers_duplicate(self, rpc: Rpc) -> bool:
        """Returns whether the RPC is a duplicate that is answered from the entry of an earlier RPC."""
        is_keyed = rpc.method.idempotency is Idempotency.KEYED
        return rpc.is_duplicate and (is_keyed or self._server.settings.response_cache_ttl_ms > 0)

    def retain(self, managed: ManagedRpc) -> bool:
        """Adds an entry for a queued RPC if it is keyed or cacheable.

        Returns:
            False if the RPC is keyed but there is not enough memory for its entry, so that the RPC must not
            run; else True.
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
        """Drops the entry of an RPC that is released without having run."""
        if not managed.has_started and self.expires_at_ms.pop(managed, 0.0):
            self._actions.drop_dedup_entry(managed.rpc)
            self._server.memory_in_use_kb -= self._server.settings.dedup_entry_kb

    def expire(self) -> None:
        """Frees the accounted memory of expired entries; the program removes the entries itself."""
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
