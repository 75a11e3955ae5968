"""A server process with stand-ins on loopback for its engine and roster, and busy gateways."""

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
from typing import Any

import msgpack
import orjson

RESULT = b"r" * 200
METHOD, TENANT = "m", "t"


def settings() -> dict[str, Any]:
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


class Stage:
    """`toml`: our own settings. The engine answers each run at once."""

    def __init__(self, folder: str, toml: str, stop_ms: float = 400.0, module: str = "landingshift") -> None:
        self.folder, self.toml, self.stop_ms, self.module = folder, toml, stop_ms, module
        self.engine_door = socket.create_server(("127.0.0.1", 0))
        self.roster = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.roster.bind(("127.0.0.1", 0))
        self.process: subprocess.Popen[bytes] | None = None
        self.env: dict[str, str] = {}
        self.lines: list[dict[str, Any]] = []
        self.address: tuple[str, int] = ("", 0)
        self.open = True
        threading.Thread(target=self.be_engine, daemon=True).start()

    def start(self) -> None:
        """Returns once it takes RPCs. Raises RuntimeError with its words where it does not start."""
        host = "127.0.0.1:{}"
        config = {
            "name": "lab", "listen": host.format(0), "engine": host.format(self.engine_door.getsockname()[1]),
            "roster": host.format(self.roster.getsockname()[1]), "seed": "1f", "stop_ms": self.stop_ms,
            "limits": {"memory_mb": 128, "sockets": 512}, "settings": settings(),
        }  # fmt: skip
        path, toml = Path(self.folder, "config.json"), Path(self.folder, "ours.toml")
        path.write_bytes(orjson.dumps(config))
        toml.write_text(self.toml)
        self.process = subprocess.Popen(
            [sys.executable, "-m", self.module],
            env=os.environ | {"GW_CONFIG": str(path), "LANDINGSHIFT_TOML": str(toml)} | self.env,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self.address = tuple(self.until("started")["listen"])
        self.until("engine_ready")
        threading.Thread(target=self.drink, args=(self.process,), daemon=True).start()

    def until(self, event: str) -> dict[str, Any]:
        assert self.process and self.process.stdout and self.process.stderr
        for line in self.process.stdout:
            entry: dict[str, Any] = orjson.loads(line)
            self.lines.append(entry)
            if entry["event"] == event:
                return entry
        raise RuntimeError(self.process.stderr.read().decode())

    def drink(self, process: subprocess.Popen[bytes]) -> None:
        assert process.stdout
        for line in process.stdout:
            self.lines.append(orjson.loads(line))

    def leave(self, wait: float = 20.0) -> int:
        assert self.process
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(wait)

    def kill(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def children(self) -> list[int]:
        assert self.process
        pid = self.process.pid
        try:
            return [int(w) for w in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]
        except OSError:
            return []

    def close(self) -> None:
        self.open = False
        self.kill()
        for pipe in (self.process.stdout, self.process.stderr) if self.process else ():
            if pipe is not None:
                pipe.close()
        self.engine_door.close()
        self.roster.close()

    def be_engine(self) -> None:
        while self.open:
            try:
                link = self.engine_door.accept()[0]
            except OSError:
                return
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with contextlib.suppress(OSError, ValueError):
                self.work(link)
            link.close()

    def work(self, link: socket.socket) -> None:
        number, file = 0, link.makefile("rb")
        for line in file:
            words = line.split()
            match words[:1]:
                case [b"ATTACH"]:
                    link.sendall(b"HELLO old 60000\r\n")
                case [b"STAT"]:
                    link.sendall(b"STATS %b 0.2 1 0.1 3\r\n" % words[1])
                case [b"RUN"]:
                    file.read(int(words[-1]) + 2)
                    number += 1
                    link.sendall(
                        b"DONE %d %b good 3.5 %d\r\n%b\r\n" % (number, words[1], len(RESULT), RESULT)
                    )


class Gateway:
    """Keeps `window` RPCs open on one connection, each with a body of its own, until told to stop.

    With `pace` the next RPC waits until so many ms after the one before began.
    """

    def __init__(self, stage: Stage, name: str, window: int, pace: float = 0.0) -> None:
        self.pace, self.next = pace / 1000.0, time.perf_counter()
        self.name, self.window = name, window
        self.sock = socket.create_connection(stage.address)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(10.0)
        self.open: dict[int, tuple[bytes, float]] = {}
        self.ok: set[bytes] = set()
        self.others = self.sent = 0
        self.took: list[float] = []  # ms
        self.stopping = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def rpc(self) -> None:
        self.sent += 1
        body = f"{self.name} {self.sent}".encode()
        told = {
            "id": f"{abs(hash((self.name, self.sent))) & (1 << 64) - 1:016x}", "from": "1", "tenant": TENANT,
            "at": str(int(time.time() * 1000)), "wait": "3000", "kb": "10", "rank": "0.5",
        }  # fmt: skip
        self.open[self.sent] = body, time.perf_counter()
        try:
            self.sock.sendall(msgpack.packb([0, self.sent, METHOD, [told, body]]))
        except OSError:
            self.stopping = True  # what has come is read to its end all the same

    def run(self) -> None:
        unpacker = msgpack.Unpacker()
        with contextlib.suppress(OSError):
            for _ in range(self.window):
                self.rpc()
            while self.open:
                data = self.sock.recv(65536)
                if not data:
                    break
                unpacker.feed(data)
                for message in unpacker:
                    if message[0] != 1:
                        continue  # goaway
                    body, begun = self.open.pop(message[1])
                    self.took.append((time.perf_counter() - begun) * 1000.0)
                    if message[2] is None:
                        self.ok.add(body)
                    else:
                        self.others += 1
                    if self.pace:
                        self.next = max(self.next + self.pace, time.perf_counter())
                        time.sleep(max(0.0, self.next - time.perf_counter()))
                    if not self.stopping:
                        self.rpc()
        self.sock.close()
