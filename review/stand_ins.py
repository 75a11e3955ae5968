"""Stand-ins for the platform: engine, database, roster and gateways, written from the protocol page.

They share one asyncio loop in one process, so nothing is written to a server while that process sleeps. Every
message about an RPC is appended to the record of the case. The stand-ins do only what the page allows them.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import msgpack

HELD, BROKEN, NOT_RUN = 0, 1, 2
ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
READY_SECONDS = 20.0
MAX_SECONDS = 112.0
KEPT_NOTICES = 4000
GAUGES = ["core_use", "on_cores", "heap_share", "links"]


def unix_ms() -> float:
    """Returns the system's Unix time in milliseconds."""
    return time.time() * 1000.0


def free_address() -> tuple[str, int]:
    """Returns a loopback address whose port is free now."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()


class Record:
    """The record of a run of the case: one line for each message that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_ms = unix_ms()
        self.counts: Counter[str] = Counter()

    def add(self, what: str, *words: object) -> None:
        """Appends a line: the time since the start in ms, what happened, and its details."""
        if self.file.closed:
            return
        self.counts[what] += 1
        details = " ".join(str(word) for word in words)
        self.file.write(f"{unix_ms() - self.started_ms:9.1f} {what} {details}\n")

    def close(self) -> None:
        """Writes how often each thing happened, and closes the file; later lines are dropped."""
        for what, count in sorted(self.counts.items()):
            self.file.write(f"count {what} {count}\n")
        self.file.close()


@dataclass(slots=True)
class Try:
    """One try of a request, as a gateway sends it."""

    rpc_id: str
    method: str
    body: bytes
    at_ms: float
    wait_ms: float
    once: str = ""
    is_over: bool = False
    answer: str = ""
    answered_ms: float = 0.0
    result: bytes = b""
    run_count: int = 0


@dataclass(slots=True)
class Run:
    """A run in the engine: the work before each call and after the last one, in milliseconds."""

    request: Try
    work_ms: list[float]
    started_ms: float
    calls_done: int = 0
    waits_for: int = 0
    replies: list[bytes] = field(default_factory=list)
    is_ended: bool = False


class Platform:
    """What all stand-ins of a case share: the record, the random numbers and the tries that were sent.

    Attributes:
        has_trouble: Whether the case plays its disruption; False with TROUBLE=0.
    """

    def __init__(self, folder: Path, seed: int) -> None:
        self.record = Record(folder / "record.txt")
        self.rng = Random(seed)
        self.tries: dict[str, Try] = {}
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"

    def new_try(self, method: str, body: bytes, wait_ms: float, once: str = "") -> Try:
        """Returns a new try with an id of its own; the time at which it is sent is set later."""
        rpc_id = f"{self.rng.getrandbits(64):016x}"
        request = Try(rpc_id, method, body, 0.0, wait_ms, once)
        self.tries[rpc_id] = request
        return request


def _line(*words: object, body: bytes | None = None) -> bytes:
    data = " ".join(str(word) for word in words).encode()
    return data + b"\r\n" if body is None else b"%b %d\r\n%b\r\n" % (data, len(body), body)


class _LineProtocol(asyncio.Protocol):
    """Splits the input into lines; the lines with the given first words are followed by a body."""

    with_body: tuple[str, ...] = ()

    def __init__(self) -> None:
        self.buffer = b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        """Keeps the transport and turns off the delay of small writes."""
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Handles each complete line."""
        self.buffer += data
        while True:
            end = self.buffer.find(b"\r\n")
            if end < 0:
                return
            words = self.buffer[:end].decode().split(" ")
            rest = end + 2
            body = b""
            if words[0] in self.with_body:
                length = int(words[-1])
                if len(self.buffer) < rest + length + 2:
                    return
                body = self.buffer[rest : rest + length]
                rest += length + 2
            self.buffer = self.buffer[rest:]
            self.on_line(words, body)

    def on_line(self, words: list[str], body: bytes) -> None:
        """Handles one line and its body."""
        raise NotImplementedError

    def send(self, *words: object, body: bytes | None = None) -> None:
        """Writes one line."""
        if not self.transport.is_closing():
            self.transport.write(_line(*words, body=body))


class _EngineLink(_LineProtocol):
    with_body = ("RUN", "FEED")

    def __init__(self, engine: Engine) -> None:
        super().__init__()
        self.engine = engine

    def on_line(self, words: list[str], body: bytes) -> None:
        """Passes a command to the engine."""
        self.engine.on_command(self, words, body)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Forgets the link."""
        if self.engine.link is self:
            self.engine.link = None


class Engine:
    """The engine of one server: runs requests, asks for calls, numbers its notices and repeats them.

    Args:
        platform: What the stand-ins share.
        plan: Returns the work of a run in ms: before each call, and after the last one.
        cores: The number of cores, for the gauges only; work is not slowed by other work.

    Attributes:
        link: The present link of the server.
        executed: For each token, the tries that were run.
        on_feed: Called after a reply was taken, with the run.
    """

    def __init__(self, platform: Platform, plan: Callable[[Try], list[float]], cores: int) -> None:
        self.platform = platform
        self.plan = plan
        self.cores = cores
        self.link: _EngineLink | None = None
        self.runs: dict[str, Run] = {}
        self.notices: list[tuple[int, tuple[object, ...], bytes]] = []
        self.notice_count = 0
        self.started_ms = unix_ms()
        self.executed: dict[str, list[Try]] = {}
        self.on_feed: Callable[[Run], None] = lambda _run: None
        self.on_relinked: Callable[[], None] = lambda: None
        self.is_relinking = False
        self.servers: list[asyncio.Server] = []

    async def listen(self) -> tuple[str, int]:
        """Listens at a free port; returns the address."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: _EngineLink(self), LOOPBACK, 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()

    def break_link(self) -> None:
        """Breaks the link; what was written on it and not sent is lost."""
        if self.link is not None:
            self.platform.record.add("link_broken")
            self.link.transport.abort()
            self.link = None

    def on_command(self, link: _EngineLink, words: list[str], body: bytes) -> None:
        """Carries out one command."""
        match words:
            case ["ATTACH", number]:
                self._on_attach(link, int(number))
            case ["RUN", rpc_id, method, _]:
                self._on_run(link, rpc_id, method, body)
            case ["FEED", rpc_id, _]:
                self._on_feed(rpc_id, body)
            case ["SKIP", rpc_id, number]:
                self._on_skip(link, rpc_id, int(number))
            case ["STAT", tag]:
                if self.is_relinking:
                    self.is_relinking = False
                    self.on_relinked()
                busy = sum(not run.waits_for for run in self.runs.values())
                use = min(1.0, busy / self.cores)
                link.send("STATS", tag, f"{use:.2f}", busy, "0.2", "8")
            case ["TEST", tag]:
                link.send("TESTED", tag, "good")
            case _:
                self.platform.record.add("not_a_command", *words)
                link.transport.close()

    def _on_attach(self, link: _EngineLink, number: int) -> None:
        if self.link is not None and self.link is not link:
            self.link.transport.abort()
        self.link = link
        self.platform.record.add("attach", number)
        self.is_relinking = number > 0
        link.send("HELLO", "old", int(unix_ms() - self.started_ms + 60000))
        for notice_number, words, body in self.notices:
            if notice_number > number:
                link.send(*words, body=body)

    def _notice(self, word: str, *words: object, body: bytes) -> int:
        self.notice_count += 1
        line = (word, self.notice_count, *words)
        self.notices.append((self.notice_count, line, body))
        del self.notices[:-KEPT_NOTICES]
        if self.link is not None:
            self.link.send(*line, body=body)
        return self.notice_count

    def _on_run(self, link: _EngineLink, rpc_id: str, method: str, body: bytes) -> None:
        request = self.platform.tries.get(rpc_id)
        if request is None or request.method != method or request.body != body:
            self.platform.record.add("run_unknown", rpc_id, method)
            link.send("NO", "RUN", rpc_id)
            return
        if rpc_id in self.runs:
            return
        if request.is_over or request.run_count:
            self.platform.record.add("run_gone", rpc_id)
            self._notice("DONE", rpc_id, "gone", 0, body=b"")
            return
        request.run_count += 1
        self.platform.record.add("run", rpc_id, method, request.once)
        if request.once:
            self.executed.setdefault(request.once, []).append(request)
        run = Run(request, self.plan(request), unix_ms())
        self.runs[rpc_id] = run
        self._work(run)

    def _work(self, run: Run) -> None:
        delay_s = run.work_ms[run.calls_done] / 1000.0
        asyncio.get_running_loop().call_later(delay_s, self._on_worked, run)

    def _on_worked(self, run: Run) -> None:
        rpc_id = run.request.rpc_id
        elapsed = f"{unix_ms() - run.started_ms:.1f}"
        if run.calls_done < len(run.work_ms) - 1:
            if run.request.is_over:
                self._end(run)
                self._notice("DONE", rpc_id, "cut", elapsed, body=b"")
                return
            body = call_body(rpc_id, run.calls_done + 1)
            run.waits_for = self._notice("NEED", rpc_id, body=body)
            self.platform.record.add("need", rpc_id, run.calls_done + 1)
            return
        self._end(run)
        result = result_of(run)
        self.platform.record.add("done", rpc_id)
        self._notice("DONE", rpc_id, "good", elapsed, body=result)

    def _end(self, run: Run) -> None:
        run.is_ended = True
        self.runs.pop(run.request.rpc_id, None)

    def _on_feed(self, rpc_id: str, body: bytes) -> None:
        run = self.runs.get(rpc_id)
        if run is None or not run.waits_for:
            self.platform.record.add("feed_unwanted", rpc_id)
            return
        self.platform.record.add("feed", rpc_id, run.calls_done + 1, body.decode())
        run.waits_for = 0
        run.calls_done += 1
        run.replies.append(body)
        self.on_feed(run)
        self._work(run)

    def _on_skip(self, link: _EngineLink, rpc_id: str, number: int) -> None:
        run = self.runs.get(rpc_id)
        if rpc_id not in self.platform.tries:
            link.send("NO", "SKIP", rpc_id)
        elif run is not None and run.waits_for == number > 0:
            self.platform.record.add("skip", rpc_id, run.calls_done + 1)
            run.waits_for = 0
            run.calls_done += 1
            run.replies.append(b"")
            self._work(run)


def call_body(rpc_id: str, number: int) -> bytes:
    """Returns the body of a run's call with this number."""
    return f"rows-for {rpc_id} call {number}".encode()


def reply_body(request: bytes) -> bytes:
    """Returns the database's reply to a call."""
    return b"reply-to " + request


def result_of(run: Run) -> bytes:
    """Returns the result that the engine makes for a run, from the replies to its calls."""
    return b"result of " + run.request.rpc_id.encode() + b" from " + b", ".join(run.replies)


class _DatabaseLink(_LineProtocol):
    with_body = ("Q",)

    def __init__(self, database: Database) -> None:
        super().__init__()
        self.database = database

    def on_line(self, words: list[str], body: bytes) -> None:
        """Handles a call or the end of one."""
        if words[0] == "Q":
            self.database.on_call(self, words[1], body)
        elif words[0] == "X":
            self.database.calls.pop(words[1], None)


class Database:
    """The database: answers each call after its latency, in milliseconds."""

    def __init__(self, platform: Platform, engine: Engine, latency_ms: Callable[[], float]) -> None:
        self.platform = platform
        self.engine = engine
        self.latency_ms = latency_ms
        self.calls: dict[str, object] = {}

    async def listen(self) -> tuple[str, int]:
        """Listens at a free port; returns the address."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: _DatabaseLink(self), LOOPBACK, 0)
        return self.server.sockets[0].getsockname()

    def on_call(self, link: _DatabaseLink, rpc_id: str, body: bytes) -> None:
        """Starts a call; a second call for one request gives up the first."""
        run = self.engine.runs.get(rpc_id)
        if run is None or not run.waits_for:
            self.platform.record.add("call_none", rpc_id, body.decode())
            link.send(rpc_id, "NONE")
            return
        self.platform.record.add("call", rpc_id, body.decode())
        call = object()
        self.calls[rpc_id] = call
        delay_s = self.latency_ms() / 1000.0
        asyncio.get_running_loop().call_later(delay_s, self._reply, link, rpc_id, body, call)

    def _reply(self, link: _DatabaseLink, rpc_id: str, body: bytes, call: object) -> None:
        if self.calls.get(rpc_id) is call:
            del self.calls[rpc_id]
            link.send(rpc_id, "ROWS", body=reply_body(body))


class Roster(asyncio.DatagramProtocol):
    """The roster: records the reports of the servers."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform

    @classmethod
    async def listen(cls, platform: Platform) -> tuple[str, int]:
        """Listens at a free port; returns the address."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: cls(platform), local_addr=(LOOPBACK, 0))
        return transport.get_extra_info("sockname")

    def datagram_received(self, data: bytes, _address: Any) -> None:
        """Records a report."""
        self.platform.record.add("report", data.decode(errors="replace"))


class Gateway(asyncio.Protocol):
    """One connection of a gateway to a server."""

    def __init__(self, platform: Platform, number: int, tenant: str) -> None:
        self.platform = platform
        self.number = number
        self.tenant = tenant
        self.unpacker = msgpack.Unpacker()
        self.message_count = 0
        self.open: dict[int, Try] = {}
        self.done: dict[int, asyncio.Future[str]] = {}
        self.is_closed = False
        self.has_goaway = False
        self.resets_on_answer = False
        self.transport: asyncio.Transport

    @classmethod
    async def connect(
        cls, platform: Platform, address: tuple[str, int], number: int, tenant: str = "acme"
    ) -> Gateway:
        """Opens a connection to the server."""
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_connection(lambda: cls(platform, number, tenant), *address)
        return protocol

    def connection_made(self, transport: Any) -> None:
        """Keeps the transport."""
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Ends all requests that are still open."""
        self.is_closed = True
        for message_id, request in list(self.open.items()):
            self._end(message_id, request, "closed")

    def send(self, *requests: Try) -> list[asyncio.Future[str]]:
        """Writes some tries at once; the results are how they ended: ok, busy, failed or closed."""
        data, futures = self.prepare(*requests)
        self.transport.write(data)
        return futures

    def prepare(self, *requests: Try) -> tuple[bytes, list[asyncio.Future[str]]]:
        """Returns the bytes of some tries, which are to be written at once, and their results."""
        data = b""
        futures = []
        for request in requests:
            self.message_count += 1
            request.at_ms = unix_ms()
            fields = {
                "id": request.rpc_id,
                "at": str(int(request.at_ms)),
                "from": str(self.number),
                "tenant": self.tenant,
                "wait": str(int(request.wait_ms)),
                "kb": "24.5",
                "rank": "0.5",
            }
            if request.once:
                fields["once"] = request.once
            future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
            self.open[self.message_count] = request
            self.done[self.message_count] = future
            futures.append(future)
            data += msgpack.packb([0, self.message_count, request.method, [fields, request.body]])
            self.platform.record.add(
                "sent", request.rpc_id, request.method, request.once, f"on={self.number}"
            )
        return data, futures

    def data_received(self, data: bytes) -> None:
        """Handles the answers."""
        if self.resets_on_answer:
            self.platform.record.add("gateway_reset", f"on={self.number}", f"open={len(self.open)}")
            self.reset()
            return
        self.unpacker.feed(data)
        for message in self.unpacker:
            self._on_message(message)

    def reset(self) -> None:
        """Resets the connection, as the network does."""
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        self.transport.abort()

    def _on_message(self, message: list[Any]) -> None:
        if message[0] == 2:
            self.has_goaway = True
            if not self.open:
                self.transport.close()
            return
        _, message_id, error, result = message
        request = self.open.get(message_id)
        if request is None:
            return
        if error is None:
            request.result = result[0]
            self._end(message_id, request, "ok")
        else:
            self._end(message_id, request, "busy" if error[0] == "Busy" else "failed")
        if self.has_goaway and not self.open:
            self.transport.close()

    def _end(self, message_id: int, request: Try, answer: str) -> None:
        del self.open[message_id]
        request.is_over = True
        request.answer = answer
        request.answered_ms = unix_ms()
        self.platform.record.add("answer", request.rpc_id, answer, f"on={self.number}")
        future = self.done.pop(message_id)
        if not future.done():
            future.set_result(answer)


class Server:
    """The project's server, started with the command of the deploy file.

    Args:
        config: The configuration.
        environment: Further environment variables; none by default.
    """

    def __init__(self, config: dict[str, Any], environment: dict[str, str] | None = None) -> None:
        self.config = config
        self.environment = environment or {}
        host, port = config["listen"].rsplit(":", 1)
        self.address = (host, int(port))
        self.folder = tempfile.TemporaryDirectory()
        self.config_path = Path(self.folder.name, "config.json")
        self.log_path = Path(self.folder.name, "log")
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Writes the configuration and starts the process."""
        self.config_path.write_text(json.dumps(self.config))
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        environment = os.environ | {
            "GW_CONFIG": str(self.config_path),
            "GW_NAME": self.config["name"],
            "GW_LISTEN": self.config["listen"],
            "TMPDIR": self.folder.name,
        }
        environment.pop("LANDINGSHIFT_TOML", None)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=environment | self.environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self) -> bool:
        """Waits until the server has reached its engine; returns whether it has."""
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            if self.process is None or self.process.poll() is not None:
                return False
            if b'"engine_ready"' in self.log_path.read_bytes():
                return True
            await asyncio.sleep(0.05)
        return False

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def own_memory_mb(self) -> float:
        """Returns the memory of the process without the files that it maps; 0 if it has ended."""
        if self.process is None or self.process.poll() is not None:
            return 0.0
        with contextlib.suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            return sum(int(kb) for kb in re.findall(r"Rss(?:Anon|Shmem):\s+(\d+)", status)) / 1024.0
        return 0.0

    def close(self) -> None:
        """Kills the process and removes its folder."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.folder.cleanup()


def small_deployment(
    platform: Platform,
    engine: tuple[str, int],
    database: tuple[str, int] | None,
    roster: tuple[str, int],
    classes: list[dict[str, Any]],
) -> dict[str, Any]:
    """Returns the configuration of one server of a small deployment.

    Args:
        platform: What the stand-ins share.
        engine: The engine's address.
        database: The database's address; None if requests make no calls.
        roster: The roster's address.
        classes: The classes; the keys `calls` and `skip_worth` say whether their requests make calls, and
            what an answer without them is worth.
    """
    host, port = free_address()
    config: dict[str, Any] = {
        "name": "n1",
        "listen": f"{host}:{port}",
        "engine": "{}:{}".format(*engine),
        "roster": "{}:{}".format(*roster),
        "seed": f"{platform.rng.getrandbits(64):016x}",
        "stop_ms": 3200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": {
            "classes": [
                {key: value for key, value in one.items() if key not in ("calls", "skip_worth")}
                for one in classes
            ],
            "clients": {"marks-retry": False},
            "extra": {
                "caller-idle": 30000.0,
                "callers": 3,
                "calls-out": 40.0,
                "calls-over": 5000.0,
                "class-calls": [one["calls"] for one in classes],
                "class-skip-worth": [one["skip_worth"] for one in classes],
                "cold": False,
                "deep-checks": True,
                "depends-on": "shared" if database else "silent",
                "gauges": GAUGES,
                "halt": "silent",
                "hangup-seen": True,
                "heeded": 1000.0,
                "key-kb": 8.0,
                "linger": 200.0,
                "memory-kb": 90000.0,
                "n-cores": 6,
                "passes-deadline": True,
                "readiness": True,
                "run-factor": 8.0,
                "say": "credit",
                "share-for": 0.0,
            },
            "orgs": [{"allowance-per-s": 400.0, "name": "acme", "share": 1.0}],
            "over-share-worth": 0.05,
            "peers-total": 3,
            "permissions": {"max-retry-after": 1000.0, "retry-after": True},
            "rules": {
                "answer-slack": 80.0,
                "cold": 9000.0,
                "cold-from": 0.2,
                "drain-grace": 2000.0,
                "fall": 2000.0,
                "tip-multiple": 8.0,
            },
            "worth-by": "request",
        },
    }
    if database:
        config["db"] = "{}:{}".format(*database)
    return config


def play(folder: Path, seed: int, case: Callable[[Platform], Awaitable[int]]) -> int:
    """Plays a case and closes its record; returns the status with which its script ends.

    Args:
        folder: The folder of the case.
        seed: The seed of all random numbers of the stand-ins.
        case: Plays the case and returns `HELD`, `BROKEN` or `NOT_RUN`.
    """
    platform = Platform(folder, seed)
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(NOT_RUN))

    async def play_in_time() -> int:
        return await asyncio.wait_for(case(platform), MAX_SECONDS)

    try:
        status = asyncio.run(play_in_time())
    except Exception:
        traceback.print_exc()
        status = NOT_RUN
    platform.record.add("status", status)
    platform.record.close()
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[status])
    return status
