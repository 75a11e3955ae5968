"""A stand-in for the billing system that receives ledger exports (`docs/ledger-export.md`), with faults."""

from __future__ import annotations

import http.server
import threading
from dataclasses import dataclass
from enum import Enum
from random import Random
from types import TracebackType
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from landingshift.ledger.entries import GENESIS_HASH
from landingshift.ledger.errors import ReceiverUnavailableError
from landingshift.ledger.export_pb2 import Ack, Batch, Record

MIN_LOST_RECORD_COUNT = 100
"""Records that a receiver loses, at least, when it is restored from a backup."""
OUTAGE_REQUEST_COUNTS = (3, 30, 1000)
"""Lengths of an outage that can be drawn, as the number of requests without an answer."""
MID_BODY_LOSS_FRACTION = 0.5
"""Fraction of `MID_BODY` faults that break the request, which is then not applied; others break the reply."""
SERVER_POLL_SECONDS = 0.05
HTTP_OK = 200
HTTP_CONFLICT = 409


class Fault(Enum):
    """Kinds of faults of a request; the values name experiment cases and results."""

    BEFORE_REQUEST = "before"
    """The request is lost and not applied."""
    AFTER_REQUEST = "after"
    """The request is applied, but its reply is lost."""
    MID_BODY = "mid_body"
    """The connection breaks during the request or during the reply."""
    DUPLICATED_REQUEST = "twice"
    """The request is applied twice."""
    STALE_REPLY = "old"
    """The reply has a random earlier state of the receiver."""
    LOST_RECORDS = "loses"
    """The receiver is restored from a backup that lacks the latest records."""
    OUTAGE = "away"
    """The receiver does not answer this request and a number of following ones."""


class InjectedFaultError(ReceiverUnavailableError):
    """Raised for a request that fails because of an injected fault."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.value)
        self.fault = fault


class RecordKey(NamedTuple):
    """Key by which the records of a receiver are summed."""

    period: str
    service_period: str
    """Period in which the service was used, if it differs from `period`; else empty."""
    tenant: bytes
    method: bytes


class BilledTotals(NamedTuple):
    """Totals of the records with the same key."""

    uses: int
    work_us: int


@dataclass(frozen=True, slots=True)
class AppliedBatch:
    """The state of a receiver after it applied a batch."""

    cursor: int
    hash: bytes
    record_count: int


class ReceiverState:
    """The state of a receiver: its cursor and its records, which it changes atomically.

    Attributes:
        instance: Name of the exporting instance.
        history: State before the first batch and after each batch that was applied.
        records: Records of all batches that were applied.
    """

    def __init__(self, checks_cursor: bool = True) -> None:
        """Creates an empty state.

        Args:
            checks_cursor: Whether to reject a batch that does not begin at the current cursor.
        """
        self._checks_cursor = checks_cursor
        self.instance = ""
        self.history = [AppliedBatch(0, GENESIS_HASH, 0)]
        self.records: list[Record] = []

    def ack(self, is_applied: bool = False, history_index: int = -1) -> Ack:
        """Returns the reply for an entry of `history`, by default for the latest one."""
        state = self.history[history_index]
        return Ack(instance=self.instance or "-", cursor=state.cursor, hash=state.hash, applied=is_applied)

    def apply(self, batch: Batch) -> tuple[int, Ack]:
        """Applies a batch, or rejects it if it does not begin at the current cursor and cursors are checked.

        Returns the HTTP status and the reply.
        """
        self.instance = batch.instance
        newest = self.history[-1]
        is_next = getattr(batch, "from") == newest.cursor and batch.from_hash == newest.hash
        if self._checks_cursor and not is_next:
            return HTTP_CONFLICT, self.ack()
        self.records += batch.records
        self.history.append(AppliedBatch(batch.to, batch.to_hash, len(self.records)))
        return HTTP_OK, self.ack(is_applied=True)

    def lose_records(self) -> None:
        """Removes the latest batches, until at least `MIN_LOST_RECORD_COUNT` records or all are gone."""
        remaining_count = max(0, len(self.records) - MIN_LOST_RECORD_COUNT)
        while len(self.history) > 1 and self.history[-1].record_count > remaining_count:
            self.history.pop()
        del self.records[self.history[-1].record_count :]

    def totals(self) -> dict[RecordKey, BilledTotals]:
        """Returns the totals of all records except those that close a period."""
        totals: dict[RecordKey, BilledTotals] = {}
        for record in self.records:
            if record.kind == Record.CLOSE:
                continue
            service_period = record.belongs if record.belongs != record.period else ""
            key = RecordKey(record.period, service_period, record.tenant, record.method)
            before = totals.get(key, BilledTotals(0, 0))
            totals[key] = BilledTotals(before.uses + record.uses, before.work_us + record.work_us)
        return totals


class FaultyReceiver:
    """A receiver that is called directly, without sockets, and injects random faults.

    Attributes:
        state: State of the receiver.
        fault_probability: Probability that a request fails.
        outage_request_count: Number of following requests that are not answered because of an outage.
        fault_counts: How often each fault was drawn.
    """

    def __init__(
        self,
        state: ReceiverState,
        rng: Random,
        fault_probability: float,
        faults: tuple[Fault, ...] = tuple(Fault),
    ) -> None:
        self.state = state
        self.fault_probability = fault_probability
        self.outage_request_count = 0
        self.fault_counts: dict[Fault, int] = {}
        self._rng = rng
        self._faults = faults

    def request(self, method: str, _path: str, body: bytes | None = None) -> Ack:
        """Handles a request of the exporter; returns the reply.

        Raises:
            InjectedFaultError: The exporter gets no reply because of an injected fault.
        """
        if self.outage_request_count:
            self.outage_request_count -= 1
            raise InjectedFaultError(Fault.OUTAGE)
        fault = self._draw_fault()
        if fault is Fault.BEFORE_REQUEST:
            raise InjectedFaultError(fault)
        if fault is Fault.OUTAGE:
            self.outage_request_count = self._rng.choice(OUTAGE_REQUEST_COUNTS)
            raise InjectedFaultError(fault)
        if fault is Fault.LOST_RECORDS:
            self.state.lose_records()
        reply = self.state.ack() if method == "GET" else self._apply(body or b"", fault)
        if fault in (Fault.AFTER_REQUEST, Fault.MID_BODY):
            raise InjectedFaultError(fault)
        if fault is Fault.STALE_REPLY:
            return self.state.ack(history_index=self._rng.randrange(len(self.state.history)))
        return reply

    def _draw_fault(self) -> Fault | None:
        if self._rng.random() >= self.fault_probability:
            return None
        fault = self._rng.choice(self._faults)
        self.fault_counts[fault] = self.fault_counts.get(fault, 0) + 1
        return fault

    def _apply(self, body: bytes, fault: Fault | None) -> Ack:
        batch = Batch.FromString(body)
        if fault is Fault.MID_BODY and self._rng.random() < MID_BODY_LOSS_FRACTION:
            raise InjectedFaultError(fault)  # the batch is incomplete and must not be applied
        _, reply = self.state.apply(batch)
        if fault is Fault.DUPLICATED_REQUEST:
            _, reply = self.state.apply(batch)
        return reply


class HttpReceiverServer:
    """Serves a `FaultyReceiver` over HTTP on loopback, in a thread, from its creation until `close`.

    Attributes:
        url: URL at which the exporter reaches the receiver.
    """

    def __init__(self, receiver: FaultyReceiver) -> None:
        self._server = http.server.HTTPServer(("127.0.0.1", 0), _handler_type(receiver))
        self.url = f"http://127.0.0.1:{self._server.server_port}/ledger"
        threading.Thread(target=self._server.serve_forever, args=(SERVER_POLL_SECONDS,), daemon=True).start()

    def __enter__(self) -> HttpReceiverServer:
        """Returns the server, which is already listening."""
        return self

    def __exit__(
        self, _type: type[BaseException] | None, _error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        """Stops the server."""
        self.close()

    def close(self) -> None:
        """Stops the server."""
        self._server.shutdown()
        self._server.server_close()


def _handler_type(receiver: FaultyReceiver) -> type[http.server.BaseHTTPRequestHandler]:
    class Handler(http.server.BaseHTTPRequestHandler):
        def answer(self, body: bytes | None) -> None:
            path = urlsplit(self.path)
            instance = parse_qs(path.query).get("instance", [receiver.state.instance])[0]
            receiver.state.instance = instance
            try:
                reply = receiver.request(self.command, path.path, body).SerializeToString()
            except ReceiverUnavailableError:
                self.connection.close()
                self.close_connection = True
                return
            self.send_response(HTTP_OK)
            self.send_header("Content-Length", str(len(reply)))
            self.end_headers()
            self.wfile.write(reply)

        def do_GET(self) -> None:
            self.answer(None)

        def do_POST(self) -> None:
            self.answer(self.rfile.read(int(self.headers["Content-Length"])))

        def log_message(self, *_: object) -> None: ...

    return Handler
