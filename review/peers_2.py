"""Stand-ins and helpers for the scripts of the second review: engine, roster, gateway, server, record.

All addresses are loopback addresses on free ports. The stand-ins follow the users' protocol page.
"""

from __future__ import annotations

import json
import os
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path
from typing import Any, NoReturn

import msgpack

from landingshift.membership.operator_rpc import OperatorRpcError, call_operator_rpc

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit statuses of a script."""
LOOPBACK = "127.0.0.1"
METHOD = "checkout"
TENANT = "rundtur"
DRAIN_GRACE_MS = 1000.0
SEED = 62
"""From it, the name and the number of its start comes the seed of each server."""
PORTS = range(20_000, 30_000)
"""Below the range of ephemeral ports, so that a port stays free while its server is restarted."""


class CaseNotRunError(Exception):
    """The case could not run, for example because a server did not start."""


def give_up(reason: str) -> NoReturn:
    """Ends a case that could not run.

    Raises:
        CaseNotRunError: Always.
    """
    raise CaseNotRunError(reason)


class Record:
    """Writes what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def write(self, *words: object) -> None:
        """Writes one line, with the seconds since the start of the case."""
        line = f"{time.monotonic() - self._began:8.3f} " + " ".join(map(str, words))
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()


_next_port = PORTS.start + os.getpid() * 37 % 9_000


def free_port() -> int:
    """Returns a port that is free for TCP and UDP."""
    global _next_port
    while True:
        _next_port = PORTS.start + (_next_port + 1 - PORTS.start) % len(PORTS)
        try:
            with socket.create_server((LOOPBACK, _next_port)):
                datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                datagrams.bind((LOOPBACK, _next_port))
                datagrams.close()
                return _next_port
        except OSError:
            continue


class Engine:
    """An engine that runs each request for `run_ms` and answers with a result made from its body."""

    def __init__(self, name: str, record: Record, run_ms: float = 20.0) -> None:
        self.name, self.run_ms, self._record = name, run_ms, record
        self.run_count = 0
        self._lock = threading.Lock()
        self._notices: list[bytes] = []
        self._link: socket.socket | None = None
        self._started = time.monotonic()
        self._listener = socket.create_server((LOOPBACK, 0))
        self.address = f"{LOOPBACK}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def restart(self) -> None:
        """Forgets all runs and notices, as an engine that is killed with its server."""
        with self._lock:
            self._notices = []
            if self._link is not None:
                self._link.close()
            self._link = None

    def _accept(self) -> None:
        while True:
            try:
                link = self._listener.accept()[0]
            except OSError:
                return
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link: socket.socket) -> None:
        lines = link.makefile("rb")
        try:
            for line in lines:
                words = line.split()
                if words[0] in (b"RUN", b"FEED"):
                    body = lines.read(int(words[-1]) + 2)[:-2]
                if words[0] == b"ATTACH":
                    self._attach(link, int(words[1]))
                elif words[0] == b"STAT":
                    self._say(link, b"STATS %b 0.1 1 0.1 3\r\n" % words[1])
                elif words[0] == b"TEST":
                    self._say(link, b"TESTED %b good\r\n" % words[1])
                elif words[0] == b"RUN":
                    self._run(words[1], body)
        except (OSError, ValueError):
            pass

    def _attach(self, link: socket.socket, last: int) -> None:
        with self._lock:
            self._link = link
            age_ms = 60_000 + int((time.monotonic() - self._started) * 1000)
            link.sendall(b"HELLO old %d\r\n" % age_ms + b"".join(self._notices[last:]))

    def _say(self, link: socket.socket, data: bytes) -> None:
        with self._lock:
            link.sendall(data)

    def _run(self, rpc_id: bytes, body: bytes) -> None:
        self.run_count += 1
        self._record.write(self.name, "engine runs", rpc_id.decode(), body[:24])
        threading.Timer(self.run_ms / 1000.0, self._finish, (rpc_id, body, self._notices)).start()

    def _finish(self, rpc_id: bytes, body: bytes, notices: list[bytes]) -> None:
        result = b"result of " + body
        with self._lock:
            if notices is not self._notices:
                return
            words = (len(notices) + 1, rpc_id, int(self.run_ms), len(result), result)
            notices.append(b"DONE %d %b good %d %d\r\n%b\r\n" % words)
            try:
                if self._link is not None:
                    self._link.sendall(notices[-1])
            except OSError:
                self._link = None


class Server:
    """One server process, started with the `run` command of the deploy file."""

    def __init__(self, case: Case, name: str, make_toml: Callable[[Server], str], stop_ms: int) -> None:
        self.case, self.name, self._make_toml, self.stop_ms = case, name, make_toml, stop_ms
        self.engine = Engine(name, case.record)
        self.listen = (LOOPBACK, free_port())
        self.fleet = (LOOPBACK, free_port())
        self.log_path = case.folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.start_count = 0

    def start(self) -> None:
        """Starts the process; does not wait until it is ready."""
        case = self.case
        config_path, toml_path = case.folder / f"{self.name}.json", case.folder / f"{self.name}.toml"
        self.start_count += 1
        config_path.write_text(json.dumps(self._config()))
        toml_path.write_text(self._make_toml(self))
        variables = {"GW_CONFIG": str(config_path), "LANDINGSHIFT_TOML": str(toml_path)}
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=os.environ | variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        case.record.write(self.name, "started")

    def _config(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.listen[1]}",
            "engine": self.engine.address,
            "roster": self.case.roster_address,
            "seed": blake2b(f"{SEED} {self.name} {self.start_count}".encode(), digest_size=8).hexdigest(),
            "stop_ms": self.stop_ms,
            "limits": {"memory_mb": 192, "sockets": 512},
            "settings": {
                "classes": [
                    {"name": METHOD, "effect": "retryable", "slo": 2000.0, "give-up": 4000.0, "value": 1.0}
                ],
                "orgs": [{"name": TENANT, "allowance-per-s": 1000.0}],
                "extra": {
                    "n-cores": 4,
                    "memory-kb": 90000.0,
                    "run-factor": 8.0,
                    "passes-deadline": True,
                    "gauges": ["core_use", "on_cores", "heap_share", "links"],
                },
                "rules": {
                    "cold-from": 0.2,
                    "cold": 3000.0,
                    "drain-grace": DRAIN_GRACE_MS,
                    "tip-multiple": 8.0,
                },
            },
        }

    def kill(self) -> None:
        """Kills the process outright, along with its engine."""
        assert self.process is not None
        self.process.kill()
        self.process.wait()
        self.engine.restart()
        self.case.record.write(self.name, "killed (SIGKILL)")

    def terminate(self) -> None:
        """Tells the process to drain; does not wait for its end."""
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        self.case.record.write(self.name, "told to drain (SIGTERM)")

    def wait_for_exit(self, seconds: float) -> int:
        """Waits for the end of the process; kills it after `seconds`, as the platform does."""
        assert self.process is not None
        try:
            status = self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.process.kill()
            status = self.process.wait()
        self.engine.restart()
        self.case.record.write(self.name, "ended with status", status)
        return status

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def events(self, event: str) -> list[dict[str, Any]]:
        """Returns the log lines of an event, of all processes of this server so far."""
        entries = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            if entry.get("event") == event:
                entries.append(entry)
        return entries

    def call(self, name: str, *params: Any) -> Any:
        """Makes an operator call, as the `landingshift` command does."""
        return call_operator_rpc(self.fleet, name, list(params), 1500.0)

    def try_call(self, name: str, *params: Any) -> Any:
        """Makes an operator call; returns None if the server does not answer or refuses it."""
        try:
            return self.call(name, *params)
        except OperatorRpcError:
            return None


class Gateway:
    """A connection of a gateway to a server."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._sock = socket.create_connection(server.listen, 5.0)
        self._unpacker = msgpack.Unpacker()
        self._last_number = 0
        self._bodies: dict[int, bytes] = {}

    def send(self, body: bytes, wait_ms: int = 3000) -> None:
        """Sends one request with a new id."""
        self._last_number += 1
        self._bodies[self._last_number] = body
        rpc_id = os.urandom(8).hex()
        fields = {"id": rpc_id, "at": str(int(time.time() * 1000)), "from": "1", "tenant": TENANT}
        fields |= {"wait": str(wait_ms), "kb": "10", "rank": "0.5"}
        self._sock.sendall(msgpack.packb([0, self._last_number, METHOD, [fields, body]]))
        self._server.case.record.write("gateway sends", body, "to", self._server.name, "as", rpc_id)

    def read_answers(self, count: int, seconds: float = 5.0) -> dict[bytes, str]:
        """Reads up to `count` answers; returns `ok` or the error of each, keyed by the request's body."""
        answers: dict[bytes, str] = {}
        deadline = time.monotonic() + seconds
        while len(answers) < count and time.monotonic() < deadline:
            self._sock.settimeout(max(0.01, deadline - time.monotonic()))
            try:
                data = self._sock.recv(65536)
            except OSError:
                break
            if not data:
                break
            self._unpacker.feed(data)
            for message in self._unpacker:
                if message[0] == 1:
                    body = self._bodies.pop(message[1])
                    answers[body] = message[2][0] if message[2] else "ok"
                    self._server.case.record.write("gateway gets", answers[body], "for", body)
        return answers

    def wait_for_answer(self, seconds: float = 5.0) -> bool:
        """Waits until bytes of an answer have arrived, and reads none; returns whether they have."""
        return bool(select.select([self._sock], [], [], seconds)[0])

    def close(self) -> None:
        """Closes the connection; unread answers are lost."""
        self._sock.close()


class Case:
    """The processes and files of one run of a case."""

    def __init__(self, script: str) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(Path(script).resolve().parent)
        self.record.write("TROUBLE", int(self.has_trouble))
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.servers: dict[str, Server] = {}
        self._roster = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._roster.bind((LOOPBACK, 0))
        self.roster_address = f"{LOOPBACK}:{self._roster.getsockname()[1]}"
        threading.Thread(target=self._read_reports, daemon=True).start()

    def _read_reports(self) -> None:
        while True:
            try:
                self._roster.recv(256)
            except OSError:
                return

    def add_server(self, name: str, make_toml: Callable[[Server], str], stop_ms: int = 3000) -> Server:
        """Adds a server, which is not started yet."""
        self.servers[name] = Server(self, name, make_toml, stop_ms)
        return self.servers[name]

    def wait_until(self, what: str, seconds: float, holds: Callable[[], Any]) -> Any:
        """Waits until `holds` returns a true value, and returns it.

        Raises:
            CaseNotRunError: That takes longer than `seconds`.
        """
        value = self.watch(seconds, holds)
        if not value:
            give_up(f"not within {seconds:g} s: {what}")
        return value

    @staticmethod
    def watch(seconds: float, holds: Callable[[], Any]) -> Any:
        """Waits until `holds` returns a true value or the time is over; returns its last value."""
        deadline = time.monotonic() + seconds
        while not (value := holds()) and time.monotonic() < deadline:
            time.sleep(0.05)
        return value

    def verdict(self, is_held: bool, text: str) -> int:
        """Records and prints the result; returns the exit status."""
        self.record.write("HELD:" if is_held else "BROKEN:", text)
        print("held:" if is_held else "broken:", text)
        return HELD if is_held else BROKEN

    def close(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for server in self.servers.values():
            if server.is_running and server.process is not None:
                server.process.send_signal(signal.SIGCONT)
                server.process.kill()
                server.process.wait()
        self._roster.close()
        time.sleep(0.3)  # the processes that keep ledgers end once their servers have
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(script: str, run: Callable[[Case], int]) -> None:
    """Runs a case and ends the program with its exit status."""
    case = Case(script)
    signal.signal(signal.SIGTERM, lambda _number, _frame: give_up("stopped after its time"))
    try:
        status = run(case)
    except Exception as error:
        case.record.write("NOT RUN:", repr(error))
        print("not run:", repr(error))
        status = NOT_RUN
    finally:
        case.close()
    sys.stdout.flush()
    os._exit(status)
