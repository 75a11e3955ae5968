"""A receiver of the ledger's exports; it needs the project's extra `ledger`."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import Any

from ledger_2 import INSTANCE
from peers_2 import Case, free_port

from landingshift.ledger.export_pb2 import Ack, Batch


@dataclass
class Receiver:
    """A receiver as docs/ledger-export.md describes it: cursor, hash and records change together."""

    case: Case
    cursor: int = 0
    hash: bytes = bytes(16)
    records: dict[int, str] = field(default_factory=dict)
    """Period of each use, by the id of its record."""

    def __post_init__(self) -> None:
        """Answers requests in a thread of its own."""
        port = free_port()
        self.url = f"http://127.0.0.1:{port}/ledger"
        server = HTTPServer(("127.0.0.1", port), _handler_of(self))
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def copy(self) -> tuple[int, bytes, dict[int, str]]:
        """Returns a copy of what is stored."""
        return self.cursor, self.hash, dict(self.records)

    def restore(self, copy: tuple[int, bytes, dict[int, str]]) -> None:
        """Replaces what is stored by a copy."""
        self.cursor, self.hash, self.records = copy[0], copy[1], dict(copy[2])

    def apply(self, batch: Any) -> bool:
        """Applies a batch if it begins at the cursor; returns whether it was applied."""
        is_next = getattr(batch, "from") == self.cursor and batch.from_hash == self.hash
        if is_next:
            self.cursor, self.hash = batch.to, batch.to_hash
            self.records |= {
                record.id: record.period for record in batch.records if record.kind == record.USE
            }
        self.case.record.write(
            f"receiver gets a batch from {getattr(batch, 'from')} to {batch.to} with {len(batch.records)} "
            f"records; applied: {is_next}"
        )
        return is_next


def _handler_of(receiver: Receiver) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        """Answers the requests of an exporter."""

        def answer(self, is_applied: bool, status: int) -> None:
            """Sends an `Ack` with the stored values."""
            ack = Ack(instance=INSTANCE, cursor=receiver.cursor, hash=receiver.hash, applied=is_applied)
            data = ack.SerializeToString()
            self.send_response(status)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def do_GET(self) -> None:
            """Answers a request for the cursor."""
            receiver.case.record.write("receiver is asked for its cursor:", receiver.cursor)
            self.answer(False, 200)

        def do_POST(self) -> None:
            """Answers a batch."""
            batch = Batch.FromString(self.rfile.read(int(self.headers["Content-Length"])))
            is_applied = receiver.apply(batch)
            self.answer(is_applied, 200 if is_applied else 409)

        def log_message(self, *_words: object) -> None:
            """Writes no log."""

    return Handler
