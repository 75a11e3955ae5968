"""The table of RPCs in flight."""

from __future__ import annotations

from collections.abc import Iterator

from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.transport.slots import Slots


class RpcTable:
    """RPCs from their read until the admission controller releases them, by their ids."""

    def __init__(self) -> None:
        self.slots: Slots[RoutedRpc] = Slots()
        self.slot_by_id: dict[bytes, int] = {}

    def add(self, rpc: RoutedRpc) -> None:
        """Takes in an RPC whose id is not in the table."""
        rpc.slot = self.slots.put(rpc)
        self.slot_by_id[rpc.rpc_id] = rpc.slot

    def remove(self, rpc: RoutedRpc) -> None:
        """Drops an RPC that is in the table."""
        del self.slot_by_id[rpc.rpc_id]
        self.slots.drop(rpc.slot)

    def find(self, rpc_id: bytes) -> RoutedRpc | None:
        """The RPC in flight with this id."""
        slot = self.slot_by_id.get(rpc_id)
        return self.slots.get(slot) if slot is not None else None

    def __contains__(self, rpc_id: bytes) -> bool:
        """Whether an RPC with this id is in flight."""
        return rpc_id in self.slot_by_id

    def __len__(self) -> int:
        """RPCs in flight."""
        return len(self.slot_by_id)

    def __iter__(self) -> Iterator[RoutedRpc]:
        """The RPCs in flight, in the order of their slots."""
        return iter(self.slots)
