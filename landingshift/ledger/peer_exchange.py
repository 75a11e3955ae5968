"""gRPC service and client that let other instances read a ledger; runs in a process beside the server.

The client sends the number of the last entry it has, and the service returns the entries that follow it.
Entries are merged only if they continue their hash chain, so that lost, repeated or reordered replies leave
no gap.
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from types import TracebackType
from typing import Any

import grpc

from landingshift.ledger.entries import EntryRow
from landingshift.ledger.export_pb2 import Known, Part
from landingshift.ledger.store import UsageStore

MAX_REPLY_ENTRIES = 5000
SERVER_THREAD_COUNT = 4
SERVICE_NAME = "landingshift.ledger.Reconcile"
HEADS_METHOD = "Heads"
PULL_METHOD = "Pull"

OpenStore = Callable[[], UsageStore]


class ReconcileService:
    """Serves the ledger of one instance.

    Each call opens the store anew, because a SQLite connection can only be used in the thread that opened it.
    """

    def __init__(self, open_store: OpenStore) -> None:
        self._open_store = open_store

    def heads(self, _request: Known, _context: Any) -> Known:
        """Returns number and hash of this instance's newest entry."""
        with self._open_store() as store:
            ledger = store.ledger
            head = Known.Head(instance=store.instance, number=ledger.last_number, hash=ledger.last_hash)
            return Known(heads=[head])

    def pull(self, request: Known, _context: Any) -> Part:
        """Returns at most `MAX_REPLY_ENTRIES` entries after the number that the request names."""
        with self._open_store() as store:
            after = next((head.number for head in request.heads if head.instance == store.instance), 0)
            part = Part(zone=store.time_zone, unit=store.period_unit)
            for row in store.rows(after + 1, after + MAX_REPLY_ENTRIES):
                part.entries.add(
                    instance=store.instance, number=row.number, kind=row.kind, data=row.data, hash=row.hash
                )
            part.more = bool(part.entries) and part.entries[-1].number < store.ledger.last_number
            return part


def serve(open_store: OpenStore, address: str) -> tuple[Any, int]:
    """Starts a gRPC server.

    Args:
        open_store: Function that opens the store to serve.
        address: Address to listen on, like 127.0.0.1:0; port 0 selects a free port.

    Returns:
        The running server and its port.

    Raises:
        OSError: The server can't listen on the address.
    """
    service = ReconcileService(open_store)
    handlers = {
        name: grpc.unary_unary_rpc_method_handler(
            handler, request_deserializer=Known.FromString, response_serializer=_serialize
        )
        for name, handler in ((HEADS_METHOD, service.heads), (PULL_METHOD, service.pull))
    }
    server = grpc.server(
        ThreadPoolExecutor(max_workers=SERVER_THREAD_COUNT), options=[("grpc.so_reuseport", 0)]
    )
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(SERVICE_NAME, handlers),))
    try:
        port = server.add_insecure_port(address)
    except RuntimeError as err:
        raise OSError(str(err)) from err
    server.start()
    return server, port


def _serialize(message: Any) -> bytes:
    data: bytes = message.SerializeToString()
    return data


@dataclass(frozen=True, slots=True)
class PeerHead:
    """Number and hash of the newest entry of a peer's ledger."""

    instance: str
    number: int
    hash: bytes


@dataclass(frozen=True, slots=True)
class PulledEntries:
    """Entries of a peer's ledger, in the order of their numbers."""

    rows: list[EntryRow]
    has_more: bool
    """Whether the peer has further entries after `rows`."""


class PeerClient:
    """Reads another instance's ledger. Calls raise `grpc.RpcError`."""

    def __init__(self, address: str, timeout_ms: float) -> None:
        """Creates a client, which connects at the first call.

        Args:
            address: Address of the peer, like 127.0.0.1:9400.
            timeout_ms: Timeout of each call.
        """
        self._channel = grpc.insecure_channel(address)
        self._timeout_seconds = timeout_ms / 1000.0

    def __enter__(self) -> PeerClient:
        """Returns this client."""
        return self

    def __exit__(
        self, _type: type[BaseException] | None, _error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        """Closes the connection."""
        self.close()

    def close(self) -> None:
        """Closes the connection."""
        self._channel.close()

    def head(self) -> PeerHead:
        """Returns instance, number and hash of the peer's newest entry."""
        head = self._call(HEADS_METHOD, Known(), Known).heads[0]
        return PeerHead(head.instance, head.number, head.hash)

    def pull(self, instance: str, after: int) -> PulledEntries:
        """Returns the next entries of the peer's ledger after entry `after`.

        Args:
            instance: Name of the peer's instance.
            after: Number of the last entry that the caller has; 0 if it has none.
        """
        request = Known(heads=[Known.Head(instance=instance, number=after)])
        part = self._call(PULL_METHOD, request, Part)
        rows = [EntryRow(entry.number, entry.kind, entry.data, entry.hash) for entry in part.entries]
        return PulledEntries(rows, part.more)

    def _call(self, method: str, request: Known, reply_type: type[Any]) -> Any:
        call = self._channel.unary_unary(
            f"/{SERVICE_NAME}/{method}",
            request_serializer=_serialize,
            response_deserializer=reply_type.FromString,
        )
        return call(request, timeout=self._timeout_seconds)
