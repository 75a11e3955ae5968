"""A stand-in for what invoices are made from (`docs/ledger-export.md`), with failures from a seed."""

from __future__ import annotations

import http.server
import threading
from random import Random
from urllib.parse import parse_qs, urlsplit

from landingshift.ledger.entries import START
from landingshift.ledger.export_pb2 import Ack, Batch, Record
from landingshift.ledger.exporter import NoReply

FAULTS = ("before", "after", "mid_body", "twice", "old", "loses", "away")
LOST = 100  # records that `loses` takes, at the least


class Books:
    """Cursor and records change together; `checks` False takes a batch whatever its cursor."""

    def __init__(self, checks: bool = True) -> None:
        self.checks = checks
        self.instance = ""
        self.past: list[tuple[int, bytes, int]] = [(0, START, 0)]  # cursor, hash, records, after each batch
        self.records: list[Record] = []

    @property
    def cursor(self) -> int:
        return self.past[-1][0]

    def ack(self, applied: bool = False, at: int = -1) -> Ack:
        cursor, hash_, _ = self.past[at]
        return Ack(instance=self.instance or "-", cursor=cursor, hash=hash_, applied=applied)

    def apply(self, batch: Batch) -> tuple[int, Ack]:
        """HTTP status and reply."""
        self.instance = batch.instance
        if self.checks and (getattr(batch, "from") != self.cursor or batch.from_hash != self.past[-1][1]):
            return 409, self.ack()
        self.records += batch.records
        self.past.append((batch.to, batch.to_hash, len(self.records)))
        return 200, self.ack(True)

    def lose(self) -> None:
        """Comes back from a copy that lacks its last hundred records."""
        most = len(self.records) - LOST
        while len(self.past) > 1 and self.past[-1][2] > max(0, most):
            self.past.pop()
        del self.records[self.past[-1][2] :]

    def totals(self) -> dict[tuple[str, str, bytes, bytes], tuple[int, int]]:
        """Uses and work in us by period, the one it belongs to, tenant and method."""
        found: dict[tuple[str, str, bytes, bytes], tuple[int, int]] = {}
        for r in self.records:
            if r.kind != Record.CLOSE:
                belongs = r.belongs if r.belongs != r.period else ""
                place = (r.period, belongs, r.tenant, r.method)
                uses, work = found.get(place, (0, 0))
                found[place] = uses + r.uses, work + r.work_us
        return found


class Failing:
    """Asked like the exporter's `Receiver`, without sockets; fails as the seed says."""

    def __init__(self, books: Books, chance: Random, share: float, faults: tuple[str, ...] = FAULTS) -> None:
        self.books, self.chance, self.share, self.faults = books, chance, share, faults
        self.away = 0  # questions that nobody answers
        self.seen: dict[str, int] = {}

    def ask(self, method: str, path: str, body: bytes | None = None) -> Ack:
        books = self.books
        if self.away:
            self.away -= 1
            raise NoReply("away")
        fault = self.chance.choice(self.faults) if self.chance.random() < self.share else ""
        if fault:
            self.seen[fault] = self.seen.get(fault, 0) + 1
        if fault == "before":
            raise NoReply(fault)
        if fault == "away":
            self.away = self.chance.choice((3, 30, 1000))
            raise NoReply(fault)
        if fault == "loses":
            books.lose()
        if method == "GET":
            reply = books.ack()
        else:
            batch = Batch.FromString(body or b"")
            if fault == "mid_body" and self.chance.random() < 0.5:
                raise NoReply(fault)  # what came was no whole batch: nothing is taken
            _, reply = books.apply(batch)
            if fault == "twice":
                _, reply = books.apply(batch)
        if fault in ("after", "mid_body"):
            raise NoReply(fault)
        if fault == "old":
            reply = books.ack(at=self.chance.randrange(len(books.past)))
        return reply


class Server:
    """The same over HTTP on loopback, in a thread."""

    def __init__(self, receiver: Failing) -> None:
        class Handler(http.server.BaseHTTPRequestHandler):
            def answer(self, body: bytes | None) -> None:
                path = urlsplit(self.path)
                receiver.books.instance = parse_qs(path.query).get("instance", [receiver.books.instance])[0]
                try:
                    reply = receiver.ask(self.command, path.path, body).SerializeToString()
                except NoReply:
                    self.connection.close()
                    self.close_connection = True
                    return
                self.send_response(200)
                self.send_header("Content-Length", str(len(reply)))
                self.end_headers()
                self.wfile.write(reply)

            def do_GET(self) -> None:
                self.answer(None)

            def do_POST(self) -> None:
                self.answer(self.rfile.read(int(self.headers["Content-Length"])))

            def log_message(self, *_: object) -> None: ...

        self.server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
        self.url = f"http://127.0.0.1:{self.server.server_port}/ledger"
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()
