"""Ledgers ask each other for what they lack, over gRPC, in a process of its own beside the server's.

Whoever asks says the newest entry that it has of the other's line; the other gives what comes after. Entries
are taken only where they follow, so that any order, repetition or cut of a connection leaves a whole line.
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import grpc

from landingshift.ledger.export_pb2 import Entry, Known, Part
from landingshift.ledger.merge import Brought
from landingshift.ledger.merged import Merged
from landingshift.ledger.store import Store

PART = 5000  # entries in one reply
SERVICE = "landingshift.ledger.Reconcile"


class Giver:
    """Serves one instance's ledger; each question opens the store, as SQLite wants one thread each."""

    def __init__(self, store: Callable[[], Store]) -> None:
        self.store = store

    def heads(self, _request: Known, _context: Any) -> Known:
        store = self.store()
        try:
            newest = store.book.last
            return Known(heads=[Known.Head(instance=store.instance, number=newest, hash=store.book.hash)])
        finally:
            store.close()

    def pull(self, request: Known, context: Any) -> Part:
        store = self.store()
        try:
            after = next((h.number for h in request.heads if h.instance == store.instance), 0)
            part = Part(zone=store.zone, unit=store.unit)
            for number, kind, data, hash_ in store.rows(after + 1, after + PART):
                part.entries.add(instance=store.instance, number=number, kind=kind, data=data, hash=hash_)
            part.more = bool(part.entries) and part.entries[-1].number < store.book.last
            return part
        finally:
            store.close()


def serve(store: Callable[[], Store], address: str) -> tuple[Any, int]:
    """A running server and its port; `address` like 127.0.0.1:0. Raises OSError where it can't listen."""
    giver = Giver(store)
    handlers = {
        name: grpc.unary_unary_rpc_method_handler(
            call, request_deserializer=Known.FromString, response_serializer=lambda m: m.SerializeToString()
        )
        for name, call in (("Heads", giver.heads), ("Pull", giver.pull))
    }
    server = grpc.server(ThreadPoolExecutor(max_workers=4), options=[("grpc.so_reuseport", 0)])
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(SERVICE, handlers),))
    try:
        port = server.add_insecure_port(address)
    except RuntimeError as err:
        raise OSError(str(err)) from err
    server.start()
    return server, port


class Peer:
    """Another instance's ledger. Calls raise grpc.RpcError."""

    def __init__(self, address: str, timeout: float) -> None:
        """`timeout` in ms for each question."""
        self.channel = grpc.insecure_channel(address)
        self.timeout = timeout / 1000.0

    def ask(self, name: str, known: Known, reply: type[Any]) -> Any:
        call = self.channel.unary_unary(
            f"/{SERVICE}/{name}",
            request_serializer=lambda m: m.SerializeToString(),
            response_deserializer=reply.FromString,
        )
        return call(known, timeout=self.timeout)

    def head(self) -> tuple[str, int, bytes]:
        """Instance, newest entry and its hash."""
        one = self.ask("Heads", Known(), Known).heads[0]
        return one.instance, one.number, one.hash

    def pull(self, instance: str, after: int) -> tuple[list[Entry], bool]:
        """Entries after this one, and whether there are more."""
        part = self.ask("Pull", Known(heads=[Known.Head(instance=instance, number=after)]), Part)
        return list(part.entries), part.more

    def close(self) -> None:
        self.channel.close()


def bring(merged: Merged, peer: Peer) -> Brought:
    """All that a peer has and `merged` lacks."""
    instance, newest, hash_ = peer.head()
    line = merged.current(instance)
    after = merged.heads().get(line, (0, b""))[0]
    if newest < after or merged.hash_at(line, newest) not in (None, hash_):
        after, line = (
            0,
            instance,
        )  # an old copy, perhaps gone on: looked at anew, what is known changes nothing
    total = 0
    while True:
        entries, more = peer.pull(instance, after)
        if not entries:
            break
        rows = [(e.number, e.kind, e.data, e.hash) for e in entries]
        if after and entries[0].number == after + 1 and not merged.follows(line, *rows[0]):
            after, line = 0, instance  # it parted from this line before its end
            continue
        new, line = merged.take(instance, rows, line)
        total, after = total + new, entries[-1].number
        if not more:
            break
    return Brought(instance, total, line, max(0, merged.head(line) - newest))
