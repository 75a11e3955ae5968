"""The table of RPCs in flight."""

from __future__ import annotations

from collections.abc import Iterator

from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.transport.slots import Slots


class RpcTable:
    """The RPCs that were read and that the admission controller has not released, indexed by RPC id."""

    def __init__(self) -> None:
        self.slots: Slots[RoutedRpc] = Slots()
        self.slot_by_id: dict[bytes, int] = {}

    def add(self, rpc: RoutedRpc) -> None:
        """Adds an RPC; its id must not be in the table."""
        rpc.slot = self.slots.put(rpc)
        self.slot_by_id[rpc.rpc_id] = rpc.slot

    def remove(self, rpc: RoutedRpc) -> None:
        """Removes an RPC; it must be in the table."""
        del self.slot_by_id[rpc.rpc_id]
        self.slots.drop(rpc.slot)

    def find(self, rpc_id: bytes) -> RoutedRpc | None:
        """Return the RPC in flight with this id, if there is one."""
        slot = self.slot_by_id.get(rpc_id)
        return self.slots.get(slot) if slot is not None else None

    def __contains__(self, rpc_id: bytes) -> bool:
        """Return whether an RPC with this id is in flight."""
        return rpc_id in self.slot_by_id

    def __len__(self) -> int:
        """Return the number of RPCs in flight."""
        return len(self.slot_by_id)

    def __iter__(self) -> Iterator[RoutedRpc]:
        """Iterate over the RPCs in flight in slot order."""
        return iter(self.slots)
