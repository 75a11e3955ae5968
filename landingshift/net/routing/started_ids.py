"""Remembers the ids of RPCs whose run was started, so that a request with the same id does not run again.

Gateways use a new id for every try. A request with an id that has already run is therefore a copy of a
request, for example one that is sent again on a new connection after the first was lost.

Guarantee: an id is remembered for at least the given time after the start of its run, unless more than
`MAX_IDS_PER_GENERATION` runs are started in that time; memory is bounded by two generations of ids.
"""

from __future__ import annotations

MAX_IDS_PER_GENERATION = 16384


class StartedIds:
    """The ids of the RPCs that were started recently, in two generations.

    Args:
        min_age_ms: The time for which an id is remembered at least.
    """

    def __init__(self, min_age_ms: float) -> None:
        self.min_age_ms = min_age_ms
        self.current: set[bytes] = set()
        self.previous: set[bytes] = set()
        self.rotated_at_ms = 0.0

    def add(self, rpc_id: bytes, now_ms: float) -> None:
        """Remembers the id of an RPC whose run is started."""
        is_old = now_ms - self.rotated_at_ms > self.min_age_ms
        if is_old or len(self.current) >= MAX_IDS_PER_GENERATION:
            self.previous = self.current
            self.current = set()
            self.rotated_at_ms = now_ms
        self.current.add(rpc_id)

    def __contains__(self, rpc_id: bytes) -> bool:
        """Return whether a run with this id is known to have been started."""
        return rpc_id in self.current or rpc_id in self.previous
