"""Stand-ins for the services that servers use: engines, database, roster and endpoint list.

All run on one event loop. Database and endpoint list serve a limited number of requests per second; see
`capacity_limited_service` for their behaviour under overload. They record the arrival times of requests for
later checks.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass
from enum import Enum
from functools import partial
from random import Random
from selectors import EVENT_READ
from typing import Protocol

from landingshift.net.protocol import gateway
from landingshift.net.protocol.lines import LineDecoder, encode_line
from landingshift.net.transport.listener import Listener
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Address, Stream
from landingshift.testbed.processes.capacity_limited_service import CapacityLimitedService

LOOPBACK = "127.0.0.1"
MAX_UNSENT_BYTES = 1 << 22
ENGINE_RESULT = b"r" * 100
WARM_RUNS_PER_CALL = 10
"""Number of runs per database call once the cache of an engine is filled."""
MAX_LISTED_ENDPOINTS = 16
"""Greatest number of endpoints in an answer of the endpoint list."""
SLOW_LIST_DELAY_MS = 2000.0
UNUSED_PORT = 9
"""Port at which no process listens."""
MAX_REPORT_BYTES = 256
MAX_REPORTS_PER_PASS = 256
REPORT_VALID_MS = 3000.0
"""Time for which a server counts as listed after its last report to the roster."""
NEVER_MS = -1e9
DEFAULT_RUN_MS = 4.0
DEFAULT_CORE_COUNT = 8


class EndpointListMode(Enum):
    """Behaviour of the endpoint list."""

    UP = "up"
    """Answers with the listed addresses."""
    SLOW = "slow"
    """Answers after an additional delay of `SLOW_LIST_DELAY_MS`."""
    INCOMPLETE = "half"
    """Answers with half of the addresses."""
    OUTDATED = "old"
    """Answers with addresses at which no process listens, and only a few valid ones."""


class ServerConnection:
    """Base of the connections from servers to a stand-in."""

    stream: Stream

    def on_data(self, data: bytes) -> None:
        """Processes data that the server sent."""
        raise NotImplementedError

    def on_eof(self) -> None:
        """Closes this end as well."""
        self.stream.close("closed")

    def on_closed(self, reason: str) -> None:
        """Does nothing, because a closed connection needs no cleanup."""


class ConnectionFactory(Protocol):
    """Creates the object for a new connection."""

    def __call__(self) -> ServerConnection:
        """Returns a connection whose stream the listener sets."""


class StandInListener:
    """Accepts connections for a stand-in.

    Attributes:
        address: Address of the listener, which is the same after `close` and `open`.
    """

    def __init__(self, loop: Loop, make_connection: ConnectionFactory) -> None:
        self._loop = loop
        self._make_connection = make_connection
        self._connections: list[ServerConnection] = []
        self._listener = Listener(loop, (LOOPBACK, 0), _always_room, self._on_accepted)
        self.address: Address = self._listener.address

    def _on_accepted(self, sock: socket.socket) -> None:
        connection = self._make_connection()
        connection.stream = Stream(self._loop, sock, connection, MAX_UNSENT_BYTES)
        self._connections = [other for other in self._connections if other.stream.is_open]
        self._connections.append(connection)

    def close(self) -> None:
        """Stops accepting connections and closes the open ones."""
        self._listener.close()
        for connection in self._connections:
            connection.stream.close("down")

    def open(self) -> None:
        """Accepts connections again."""
        if not self._listener.is_open:
            self._listener = Listener(self._loop, self.address, _always_room, self._on_accepted)


def _always_room(_count: int) -> bool:
    return True


class EngineConnection(ServerConnection):
    """A connection to an engine.

    A run occupies a core for a fixed time. While the cache is cold, each run needs a database call first;
    afterwards one of `WARM_RUNS_PER_CALL` runs does.
    """

    def __init__(self, stand_ins: StandIns, server: str, started_at_ms: float) -> None:
        self._stand_ins = stand_ins
        self._server = server
        self._started_at_ms = started_at_ms
        self._core_free_at_ms = [0.0] * stand_ins.core_count
        self._decoder = LineDecoder(lambda words: words[0] in (b"RUN", b"FEED"))
        self._last_number = 0
        self._run_count = 0

    def on_data(self, data: bytes) -> None:
        """Answers the requests of the server."""
        for words, _ in self._decoder.feed(data):
            match words:
                case [b"ATTACH", *_]:
                    self._on_attach()
                case [b"STAT", tag]:
                    self._on_stat(tag)
                case [b"RUN", run_id, *_]:
                    self._on_run(run_id)
                case [b"FEED", run_id, _]:
                    self._stand_ins.count_cache_fill(self._server)
                    self._execute(run_id)
                case [b"SKIP", run_id, _]:
                    self._execute(run_id)
                case [b"TEST", tag]:
                    self._send(b"TESTED", tag, b"good")

    def _on_attach(self) -> None:
        age_ms = self._stand_ins.loop.now_ms - self._started_at_ms
        temperature = b"new" if age_ms < self._stand_ins.warm_up_ms else b"old"
        self._send(b"HELLO", temperature, b"%d" % age_ms)

    def _on_stat(self, tag: bytes) -> None:
        busy = sum(free_at_ms > self._stand_ins.loop.now_ms for free_at_ms in self._core_free_at_ms)
        core_use = b"%.2f" % (busy / self._stand_ins.core_count)
        self._send(b"STATS", tag, core_use, b"%d" % busy, b"0.1", b"3")

    def _on_run(self, run_id: bytes) -> None:
        self._run_count += 1
        is_cold = not self._stand_ins.is_cache_filled(self._server)
        if is_cold or self._run_count % WARM_RUNS_PER_CALL == 0:
            self._last_number += 1
            self._send(b"NEED", b"%d" % self._last_number, run_id, body=b"q")
        else:
            self._execute(run_id)

    def _execute(self, run_id: bytes) -> None:
        """Executes a run on the core that is free first, and then sends the result."""
        loop = self._stand_ins.loop
        core = min(range(len(self._core_free_at_ms)), key=self._core_free_at_ms.__getitem__)
        done_at_ms = max(loop.now_ms, self._core_free_at_ms[core]) + self._stand_ins.run_ms
        self._core_free_at_ms[core] = done_at_ms
        loop.after(done_at_ms - loop.now_ms, partial(self._on_executed, run_id))

    def _on_executed(self, run_id: bytes) -> None:
        self._last_number += 1
        run_ms = b"%d" % self._stand_ins.run_ms
        self._send(b"DONE", b"%d" % self._last_number, run_id, b"good", run_ms, body=ENGINE_RESULT)

    def _send(self, *words: bytes, body: bytes | None = None) -> None:
        self.stream.write(encode_line(*words, body=body))


class DatabaseConnection(ServerConnection):
    """A connection to the database, which answers all queries with the same rows."""

    def __init__(self, service: CapacityLimitedService) -> None:
        self._service = service
        self._decoder = LineDecoder(lambda words: words[0] == b"Q")

    def on_data(self, data: bytes) -> None:
        """Adds the queries to the queue of the database."""
        for words, _ in self._decoder.feed(data):
            if words[0] == b"Q":
                self._service.request(partial(self._answer, words[1]))

    def _answer(self, query_id: bytes) -> None:
        if self.stream.is_open:
            self.stream.write(encode_line(query_id, b"ROWS", body=b"rows"))


class EndpointListConnection(ServerConnection):
    """A connection to the endpoint list, which answers according to `StandIns.list_mode`."""

    def __init__(self, stand_ins: StandIns) -> None:
        self._stand_ins = stand_ins
        self._decoder = gateway.MessageDecoder()

    def on_data(self, data: bytes) -> None:
        """Adds the requests to the queue of the endpoint list."""
        for message in self._decoder.feed(data):
            if isinstance(message, gateway.Request):
                self._stand_ins.endpoint_list.request(partial(self._answer, message.message_id))

    def _answer(self, message_id: int) -> None:
        stand_ins = self._stand_ins
        answer = gateway.pack([1, message_id, None, stand_ins.sample_endpoints()])
        delay_ms = SLOW_LIST_DELAY_MS if stand_ins.list_mode is EndpointListMode.SLOW else 0.0
        stand_ins.loop.after(delay_ms, lambda: self.stream.write(answer))


@dataclass(frozen=True, slots=True)
class StandInCapacity:
    """Capacity and delays of the stand-ins.

    Attributes:
        calls_per_second: Rate of calls that the database can serve.
        list_requests_per_second: Rate of requests that the endpoint list can serve.
        cache_fill_calls: Number of database calls that fill the cache of an engine.
        warm_up_ms: Time from the start of an engine until it is warm.
        run_ms: Time for which a run occupies a core.
        core_count: Number of cores of each engine.
    """

    calls_per_second: float
    list_requests_per_second: float
    cache_fill_calls: int = 20
    warm_up_ms: float = 2000.0
    run_ms: float = DEFAULT_RUN_MS
    core_count: int = DEFAULT_CORE_COUNT


class StandIns:
    """All stand-ins of one harness.

    Attributes:
        loop: Event loop on which the stand-ins run.
        warm_up_ms: Time from the start of an engine until it is warm.
        run_ms: Time for which a run occupies a core.
        core_count: Number of cores of each engine.
        database: Queue of the database.
        endpoint_list: Queue of the endpoint list.
        list_mode: Behaviour of the endpoint list.
        listed_addresses: Addresses that the endpoint list knows.
        roster_socket: Socket at which servers report to the roster.
        database_listener: Listener of the database.
        list_listener: Listener of the endpoint list.
    """

    def __init__(self, loop: Loop, seed: int, capacity: StandInCapacity) -> None:
        """Starts the stand-ins.

        Args:
            loop: Event loop on which the stand-ins run.
            seed: Seed of the random generator.
            capacity: Capacity and delays of the stand-ins.
        """
        self.loop = loop
        self.warm_up_ms = capacity.warm_up_ms
        self.run_ms = capacity.run_ms
        self.core_count = capacity.core_count
        self.database = CapacityLimitedService(loop, capacity.calls_per_second)
        self.endpoint_list = CapacityLimitedService(loop, capacity.list_requests_per_second)
        self.list_mode = EndpointListMode.UP
        self.listed_addresses: list[Address] = []
        self.roster_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.roster_socket.bind((LOOPBACK, 0))
        self.roster_socket.setblocking(False)
        loop.watch(self.roster_socket.fileno(), EVENT_READ, self)
        self.database_listener = StandInListener(loop, lambda: DatabaseConnection(self.database))
        self.list_listener = StandInListener(loop, lambda: EndpointListConnection(self))
        self._rng = Random(f"{seed} yard")
        self._cache_fill_calls = capacity.cache_fill_calls
        self._cache_fill_counts: dict[str, int] = {}
        self._first_reported_at_ms: dict[str, float] = {}
        self._last_reported_at_ms: dict[str, float] = {}
        self._engines: dict[str, StandInListener] = {}

    def start_engine(self, server: str) -> Address:
        """Replaces the engine of a server by a new one with a cold cache; returns its address."""
        self._cache_fill_counts[server] = 0
        self._first_reported_at_ms.pop(server, None)
        self._last_reported_at_ms.pop(server, None)
        started_at_ms = self.loop.now_ms
        previous = self._engines.pop(server, None)
        if previous is not None:
            previous.close()
        listener = StandInListener(self.loop, lambda: EngineConnection(self, server, started_at_ms))
        self._engines[server] = listener
        return listener.address

    def count_cache_fill(self, server: str) -> None:
        """Counts a database call that fills the cache of a server's engine."""
        self._cache_fill_counts[server] = self._cache_fill_counts.get(server, 0) + 1

    def is_cache_filled(self, server: str) -> bool:
        """Returns whether the cache of a server's engine is filled."""
        return self._cache_fill_counts.get(server, 0) >= self._cache_fill_calls

    def sample_endpoints(self) -> list[list[str | int]]:
        """Returns the host and port of random endpoints, as the endpoint list answers in `list_mode`."""
        entries: list[list[str | int]] = [list(address) for address in self.listed_addresses]
        if self.list_mode is EndpointListMode.INCOMPLETE:
            entries = entries[::2]
        if self.list_mode is EndpointListMode.OUTDATED:
            unused: list[list[str | int]] = [[LOOPBACK, UNUSED_PORT] for _ in entries]
            entries = unused + entries[:2]
        return self._rng.sample(entries, min(MAX_LISTED_ENDPOINTS, len(entries)))

    def on_ready(self, _mask: int) -> None:
        """Reads the reports of servers to the roster."""
        for _ in range(MAX_REPORTS_PER_PASS):
            try:
                words = self.roster_socket.recv(MAX_REPORT_BYTES).split()
            except OSError:
                return
            if len(words) == 3:
                self._on_report(words[1].decode(), is_on=words[2] == b"on")

    def _on_report(self, server: str, is_on: bool) -> None:
        if is_on:
            self._last_reported_at_ms[server] = self.loop.now_ms
            self._first_reported_at_ms.setdefault(server, self.loop.now_ms)
        else:
            self._last_reported_at_ms.pop(server, None)

    def is_listed(self, server: str) -> bool:
        """Returns whether a server has reported to the roster recently and has not signed off since."""
        return self.loop.now_ms - self._last_reported_at_ms.get(server, NEVER_MS) < REPORT_VALID_MS

    def is_warm(self, server: str) -> bool:
        """Returns whether a server is warm.

        It is warm if its first report to the roster is at least `warm_up_ms` old and the cache of its engine
        is filled.
        """
        reported_at_ms = self._first_reported_at_ms.get(server)
        if reported_at_ms is None or self.loop.now_ms - reported_at_ms < self.warm_up_ms:
            return False
        return self._cache_fill_counts[server] >= self._cache_fill_calls

    def close(self) -> None:
        """Closes all stand-ins."""
        self.roster_socket.close()
        for listener in (self.database_listener, self.list_listener, *self._engines.values()):
            listener.close()
