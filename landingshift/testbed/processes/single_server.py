"""Runs one server process with stand-ins for its engine and roster, and gateways that send it RPCs."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path
from types import TracebackType
from typing import Any

import msgpack
import orjson

from landingshift.testbed.errors import ServerNotStartedError

ENGINE_RESULT = b"r" * 200
METHOD = "m"
TENANT = "t"
DEFAULT_STOP_MS = 400.0
EXIT_TIMEOUT_SECONDS = 20.0
ANSWER_TIMEOUT_SECONDS = 10.0
RPC_WAIT_MS = 3000
RECEIVE_BYTES = 65536
ANSWER_MESSAGE_TYPE = 1
REQUEST_MESSAGE_TYPE = 0
MAX_RPC_ID = (1 << 64) - 1


def users_settings() -> dict[str, Any]:
    """Returns the content of `settings` in the `GW_CONFIG` file of a server in the testbed."""
    return {
        "classes": [
            {"name": METHOD, "effect": "retryable", "give-up": 3000.0, "slo": 2000.0, "value": 1.0}
        ],
        "extra": {
            "n-cores": 8, "memory-kb": 90000.0, "run-factor": 2.0, "caller-idle": 30000.0,
            "depends-on": "silent", "halt": "silent",
            "gauges": ["core_use", "on_cores", "heap_share", "links"], "passes-deadline": True,
            "say": "silent",
        },
        "orgs": [{"allowance-per-s": 100000.0, "name": TENANT}],
        "rules": {"cold": 9000.0, "cold-from": 0.2, "drain-grace": 100.0, "tip-multiple": 8.0},
    }  # fmt: skip


class SingleServer:
    """A server process whose engine completes each run immediately.

    Attributes:
        process: The latest process; None before the first start.
        environment: Additional environment variables of the process.
        log_entries: Log of all processes so far.
        address: Address at which the server accepts RPCs.
    """

    def __init__(
        self, folder: str, toml: str, stop_ms: float = DEFAULT_STOP_MS, module: str = "landingshift"
    ) -> None:
        """Starts the stand-ins; the server process is started with `start`.

        Args:
            folder: Folder for the settings files.
            toml: TOML settings of the optional packages.
            stop_ms: Greatest duration of a graceful shutdown.
            module: Python module that the process runs.
        """
        self.process: subprocess.Popen[bytes] | None = None
        self.environment: dict[str, str] = {}
        self.log_entries: list[dict[str, Any]] = []
        self.address: tuple[str, int] = ("", 0)
        self._folder = folder
        self._toml = toml
        self._stop_ms = stop_ms
        self._module = module
        self._engine_listener = socket.create_server(("127.0.0.1", 0))
        self._roster = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._roster.bind(("127.0.0.1", 0))
        self._is_open = True
        threading.Thread(target=self._run_engine, daemon=True).start()

    def __enter__(self) -> SingleServer:
        """Returns the object without starting the process."""
        return self

    def __exit__(
        self, _type: type[BaseException] | None, _error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        """Kills the process and stops the stand-ins."""
        self.close()

    def start(self) -> None:
        """Starts the process and waits until it can run RPCs.

        Raises:
            ServerNotStartedError: The process ended while it was starting.
        """
        config_path = Path(self._folder, "config.json")
        toml_path = Path(self._folder, "ours.toml")
        config_path.write_bytes(orjson.dumps(self._config()))
        toml_path.write_text(self._toml)
        settings = {"GW_CONFIG": str(config_path), "LANDINGSHIFT_TOML": str(toml_path)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", self._module],
            env=os.environ | settings | self.environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self.address = tuple(self._wait_for_event("started")["listen"])
        self._wait_for_event("engine_ready")
        threading.Thread(target=self._read_log, args=(self.process,), daemon=True).start()

    def _config(self) -> dict[str, Any]:
        engine_port = self._engine_listener.getsockname()[1]
        roster_port = self._roster.getsockname()[1]
        return {
            "name": "lab",
            "listen": "127.0.0.1:0",
            "engine": f"127.0.0.1:{engine_port}",
            "roster": f"127.0.0.1:{roster_port}",
            "seed": "1f",
            "stop_ms": self._stop_ms,
            "limits": {"memory_mb": 128, "sockets": 512},
            "settings": users_settings(),
        }

    def _wait_for_event(self, event: str) -> dict[str, Any]:
        assert self.process
        assert self.process.stdout
        assert self.process.stderr
        for line in self.process.stdout:
            entry: dict[str, Any] = orjson.loads(line)
            self.log_entries.append(entry)
            if entry["event"] == event:
                return entry
        raise ServerNotStartedError(self.process.stderr.read().decode())

    def _read_log(self, process: subprocess.Popen[bytes]) -> None:
        assert process.stdout
        for line in process.stdout:
            self.log_entries.append(orjson.loads(line))

    def shut_down(self, timeout_seconds: float = EXIT_TIMEOUT_SECONDS) -> int:
        """Shuts the process down gracefully; returns its exit status."""
        assert self.process
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(timeout_seconds)

    def kill(self) -> None:
        """Kills the process if it is running."""
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def child_process_ids(self) -> list[int]:
        """Returns the process IDs of the child processes of the server."""
        assert self.process
        process_id = self.process.pid
        try:
            words = Path(f"/proc/{process_id}/task/{process_id}/children").read_text().split()
        except OSError:
            return []
        return [int(word) for word in words]

    def close(self) -> None:
        """Kills the process and stops the stand-ins."""
        self._is_open = False
        self.kill()
        for pipe in (self.process.stdout, self.process.stderr) if self.process else ():
            if pipe is not None:
                pipe.close()
        self._engine_listener.close()
        self._roster.close()

    def _run_engine(self) -> None:
        while self._is_open:
            try:
                connection = self._engine_listener.accept()[0]
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with contextlib.suppress(OSError, ValueError):
                _serve_engine(connection)
            connection.close()


def _serve_engine(connection: socket.socket) -> None:
    """Answers the requests of a server to its engine until the connection ends."""
    last_number = 0
    lines = connection.makefile("rb")
    for line in lines:
        words = line.split()
        match words[:1]:
            case [b"ATTACH"]:
                connection.sendall(b"HELLO old 60000\r\n")
            case [b"STAT"]:
                connection.sendall(b"STATS %b 0.2 1 0.1 3\r\n" % words[1])
            case [b"RUN"]:
                lines.read(int(words[-1]) + 2)
                last_number += 1
                header = b"DONE %d %b good 3.5 %d\r\n" % (last_number, words[1], len(ENGINE_RESULT))
                connection.sendall(header + ENGINE_RESULT + b"\r\n")


class ClosedLoopGateway:
    """Keeps a fixed number of RPCs open on one connection, each with a unique body, until it is stopped.

    Attributes:
        is_stopping: Whether to send no further RPCs; answers are still read. Set it to stop the gateway.
        answered_bodies: Bodies of the RPCs that succeeded.
        failed_count: Number of RPCs that were answered with an error.
        latencies_ms: Time from sending to the answer, for each answered RPC.
        thread: Thread of the gateway; ends when all RPCs are answered or the connection fails.
    """

    def __init__(self, server: SingleServer, name: str, open_rpcs: int, rpc_interval_ms: float = 0.0) -> None:
        """Connects and starts sending.

        Args:
            server: The server to send RPCs to.
            name: Text at the start of each body, which must be unique among gateways.
            open_rpcs: Number of RPCs that are open at a time.
            rpc_interval_ms: Shortest time from one RPC to the next.
        """
        self.is_stopping = False
        self.answered_bodies: set[bytes] = set()
        self.failed_count = 0
        self.latencies_ms: list[float] = []
        self._name = name
        self._open_rpcs = open_rpcs
        self._rpc_interval_seconds = rpc_interval_ms / 1000.0
        self._next_rpc_at_seconds = time.perf_counter()
        self._sent_count = 0
        self._unanswered: dict[int, tuple[bytes, float]] = {}
        """Body and time of sending of each unanswered RPC, keyed by message ID."""
        self._socket = socket.create_connection(server.address)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket.settimeout(ANSWER_TIMEOUT_SECONDS)
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _send_rpc(self) -> None:
        self._sent_count += 1
        body = f"{self._name} {self._sent_count}".encode()
        rpc_id = abs(hash((self._name, self._sent_count))) & MAX_RPC_ID
        header = {
            "id": f"{rpc_id:016x}", "from": "1", "tenant": TENANT, "at": str(int(time.time() * 1000)),
            "wait": str(RPC_WAIT_MS), "kb": "10", "rank": "0.5",
        }  # fmt: skip
        message = [REQUEST_MESSAGE_TYPE, self._sent_count, METHOD, [header, body]]
        self._unanswered[self._sent_count] = body, time.perf_counter()
        try:
            self._socket.sendall(msgpack.packb(message))
        except OSError:
            self.is_stopping = True  # answers that have already arrived are still read

    def _run(self) -> None:
        unpacker = msgpack.Unpacker()
        with contextlib.suppress(OSError):
            for _ in range(self._open_rpcs):
                self._send_rpc()
            while self._unanswered:
                data = self._socket.recv(RECEIVE_BYTES)
                if not data:
                    break
                unpacker.feed(data)
                for message in unpacker:
                    if message[0] == ANSWER_MESSAGE_TYPE:
                        self._on_answer(message[1], is_ok=message[2] is None)
        self._socket.close()

    def _on_answer(self, message_id: int, is_ok: bool) -> None:
        body, sent_at_seconds = self._unanswered.pop(message_id)
        self.latencies_ms.append((time.perf_counter() - sent_at_seconds) * 1000.0)
        if is_ok:
            self.answered_bodies.add(body)
        else:
            self.failed_count += 1
        if self._rpc_interval_seconds:
            next_at_seconds = self._next_rpc_at_seconds + self._rpc_interval_seconds
            self._next_rpc_at_seconds = max(next_at_seconds, time.perf_counter())
            time.sleep(max(0.0, self._next_rpc_at_seconds - time.perf_counter()))
        if not self.is_stopping:
            self._send_rpc()
