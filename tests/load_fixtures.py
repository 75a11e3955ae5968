"""Fixtures for tests under load: an engine that runs all RPCs, and what others see."""

from __future__ import annotations

import random
import select
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from multiprocessing import get_context
from pathlib import Path
from types import TracebackType
from typing import Any

import msgpack

from tests.helpers import READ_TIMEOUT_SECONDS, GatewayClient, ProgramUnderTest

ENGINE_READ_TIMEOUT_SECONDS = 0.02
PROBE_INTERVAL_SECONDS = 0.02
FLOOD_START_SECONDS = 1.0


def anonymous_mb(program: ProgramUnderTest) -> float:
    """Return the memory of the process without the files that it maps."""
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["RssAnon"].split()[0]) / 1024.0


class RunningEngine:
    """Serves the program's engine link in a background thread while the context is open.

    Each run ends at once. Gauge queries and self-tests are answered.

    Attributes:
        run_counts: How often each RPC was run, keyed by RPC id.
    """

    def __init__(self, program: ProgramUnderTest, last_notice_number: int = 0) -> None:
        self.engine = program.engine
        self.run_counts: Counter[str] = Counter()
        self._notice_number = last_notice_number
        self._is_done = threading.Event()
        self._thread = threading.Thread(target=self._serve)

    def __enter__(self) -> RunningEngine:
        self.engine.sock.settimeout(ENGINE_READ_TIMEOUT_SECONDS)
        self._thread.start()
        return self

    def __exit__(
        self,
        _type: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        self._is_done.set()
        self._thread.join()
        self.engine.sock.settimeout(READ_TIMEOUT_SECONDS)

    def _serve(self) -> None:
        while not self._is_done.is_set():
            with suppress(TimeoutError, OSError, EOFError):
                self._answer(self.engine.read_line()[0])

    def _answer(self, words: list[str]) -> None:
        if words[0] == "STAT":
            self.engine.send_notice("STATS", words[1], 0.2, 1, 0.1, 3)
        elif words[0] == "TEST":
            self.engine.send_notice("TESTED", words[1], "good")
        elif words[0] == "RUN":
            self.run_counts[words[1]] += 1
            self._notice_number += 1
            self.engine.send_notice("DONE", self._notice_number, words[1], "good 1", body=b"r")


class OtherClient:
    """A client that sends one RPC after another and records how long each answer takes.

    Attributes:
        latencies_ms: The time to each answer, in the order of the RPCs.
        answers: The number of answers of each kind.
    """

    def __init__(self, program: ProgramUnderTest) -> None:
        self.gateway = GatewayClient(program)
        self.latencies_ms: list[float] = []
        self.answers: Counter[str] = Counter()

    def send_for(self, duration_seconds: float) -> None:
        """Sends RPCs for the given time, one at a time."""
        end = time.monotonic() + duration_seconds
        while time.monotonic() < end:
            self.send_one()
            time.sleep(PROBE_INTERVAL_SECONDS)

    def send_one(self) -> None:
        sent = time.monotonic()
        self.gateway.send_rpc()
        outcome = self.gateway.read_final_answer()[1]
        self.latencies_ms.append((time.monotonic() - sent) * 1000.0)
        self.answers["ok" if outcome == b"r" else str(outcome)] += 1

    def median_ms(self) -> float:
        return sorted(self.latencies_ms)[len(self.latencies_ms) // 2]


def request(number: int, method: str = "m", **fields: Any) -> bytes:
    """Return an encoded request with an RPC id of its own; `fields` override its fields."""
    header = {
        "id": f"{random.getrandbits(63):016x}",
        "at": str(int(time.time() * 1000)),
        "from": "9",
        "tenant": "t",
        "wait": "3000",
        "kb": "10",
        **fields,
    }
    return bytes(msgpack.packb([0, number, method, [header, b"work"]]))


def flood(address: tuple[str, int], kind: str, duration_seconds: float) -> None:
    """Sends messages of a kind at full speed on one verified connection, and reads the answers."""
    sock = socket.create_connection(address)
    sock.sendall(request(1))
    sock.recv(65536)
    sock.setblocking(False)
    number, unsent = 1, b""
    end = time.monotonic() + duration_seconds
    while time.monotonic() < end:
        while len(unsent) < 65536:
            number += 1
            unsent += flood_message(kind, number)
        readable, writable, _ = select.select([sock], [sock], [], 0.05)
        if readable:
            sock.recv(1 << 18)
        if writable:
            unsent = unsent[sock.send(unsent) :]


def flood_message(kind: str, number: int) -> bytes:
    """Return one message of a flood."""
    name = f"{random.getrandbits(60):x}"
    match kind:
        case "invalid":
            return bytes(msgpack.packb([0, number, "m", [{"id": "x"}, b""]]))
        case "unknown method":
            return request(number, method=name)
        case "health check":
            return bytes(msgpack.packb([0, number, "probe", [{}]]))
        case "too many open":
            return request(number, **{"from": str(random.getrandbits(29))})
        case "new keys":
            return request(number, "token", once=name + 900 * "k")
        case "withdrawn":
            return request(number) + bytes(msgpack.packb([2, "giveUp", [number]]))
    raise ValueError(kind)


@contextmanager
def flooded(program: ProgramUnderTest, kind: str, duration_seconds: float) -> Iterator[None]:
    """Floods the program from a process of its own, which has begun when the context opens."""
    process = get_context("spawn").Process(
        target=flood, args=(program.address, kind, duration_seconds + FLOOD_START_SECONDS)
    )
    process.start()
    time.sleep(FLOOD_START_SECONDS)
    try:
        yield
    finally:
        process.join()
