"""A fleet of real server processes with stand-ins, load and injected faults between them.

Stand-ins, proxy and gateways run on one loop in a thread of its own; whoever changes them from outside does
so by `run_on_loop`.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import orjson

from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Address
from landingshift.testbed.errors import HarnessUnresponsiveError, NoFreeAddressError
from landingshift.testbed.processes.fault_proxy import FaultProxy
from landingshift.testbed.processes.gateway_load import GatewayLoad, InjectedFaults
from landingshift.testbed.processes.history import HistoryEntry, PausePeriod, read_history
from landingshift.testbed.processes.single_server import users_settings
from landingshift.testbed.processes.stand_ins import StandInCapacity, StandIns

TICK_INTERVAL_MS = 20.0
RPC_PORT = 20100
"""Below the ports that the system gives to sockets which nobody bound: one of those, of any process, must not
stand in the way of a server that starts."""
MEMBERSHIP_PORT = 20101
SERVERS_PER_SUBNET = 250
SUBNETS = range(16, 250)
MAX_SUBNET_ATTEMPTS = 200
WARM_FRACTION = 0.95
"""Of all servers: as soon as so many are warm the fleet is."""
WARM_SERIES_INTERVAL_MS = 500.0
EXIT_TIMEOUT_SECONDS = 20
LOOP_TIMEOUT_SECONDS = 20.0
THREAD_TIMEOUT_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 0.05
LAST_ANSWERS_SECONDS = 8.0
"""That RPCs still have to be answered once no more are sent."""
SERVER_SEED_BITS = 48
NOT_YET_MS = -1.0


@dataclass(frozen=True, slots=True)
class WarmSample:
    """How far the fleet has come with its start.

    Attributes:
        elapsed_ms: Since the harness started.
        warm_count: Servers that are warm.
        call_count: Database calls so far.
    """

    elapsed_ms: float
    warm_count: int
    call_count: int


class ProcessHarness:
    """Starts, pauses and kills real servers.

    Attributes:
        folder: Of settings, logs and histories.
        server_count: How many servers there are at the most.
        loop: Of stand-ins, proxy and load.
        stand_ins: What servers talk to.
        proxy: Between servers.
        faults: What was done to servers.
        load: The gateways.
        processes: By the server's number.
        rpc_addresses: Where servers take RPCs, by number.
        membership_addresses: Where they talk to each other, by number.
        environment: Further variables of a server's process, by number.
        warm_after_ms: From the start until the fleet was warm; negative before that.
        warm_series: How many servers were warm over time.
        started_at_ms: When the start began, in the loop's time.
    """

    def __init__(
        self,
        folder: str,
        server_count: int,
        seed: int,
        make_toml: Callable[[int], str],
        rpcs_per_second: float,
        capacity: StandInCapacity,
    ) -> None:
        """Starts stand-ins, proxy and gateways, and no server yet.

        Args:
            folder: For files.
            server_count: How many servers there are at the most.
            seed: Of all that is drawn.
            make_toml: Returns our own settings of a server; "" for a server without packages.
            rpcs_per_second: To all servers together.
            capacity: Of the stand-ins.
        """
        self.folder = folder
        self.server_count = server_count
        self.loop = Loop(self._on_unhandled_error)
        self.stand_ins = StandIns(self.loop, seed, capacity)
        self.proxy = FaultProxy(self.loop, seed)
        self.faults = InjectedFaults()
        self._rng = Random(f"{seed} rig")
        self.load = GatewayLoad(self.loop, self._rng, self.faults, rpcs_per_second)
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.rpc_addresses: dict[int, Address] = {}
        self.membership_addresses: dict[int, Address] = {}
        self.environment: dict[int, dict[str, str]] = {}
        self.warm_after_ms = NOT_YET_MS
        self.warm_series: list[WarmSample] = []
        self.started_at_ms = self.loop.now_ms
        self._make_toml = make_toml
        self._unhandled_error_count = 0
        self._start_counts: Counter[int] = Counter()
        self._actions: deque[tuple[Callable[[], Any], threading.Event]] = deque()
        self._subnet_claim = self._assign_addresses()
        self.loop.after(TICK_INTERVAL_MS, self._tick)
        self._thread = threading.Thread(target=self.loop.run, daemon=True)
        self._thread.start()

    def _assign_addresses(self) -> socket.socket:
        """Gives each server addresses; returns the socket that keeps others from taking them."""
        subnet, claim = reserve_subnet()
        for index in range(self.server_count):
            host = f"127.{subnet}.{index // SERVERS_PER_SUBNET}.{index % SERVERS_PER_SUBNET + 1}"
            self.rpc_addresses[index] = (host, RPC_PORT)
            self.membership_addresses[index] = (host, MEMBERSHIP_PORT)
            self.proxy.add_server(self.name(index), self.membership_addresses[index])
        return claim

    @staticmethod
    def name(index: int) -> str:
        """Returns the name of a server."""
        return f"n{index}"

    def _on_unhandled_error(self) -> None:
        self._unhandled_error_count += 1

    # Processes

    def start(self, index: int, **variables: str) -> None:
        """Starts a server with a new engine, whose cache is cold.

        Args:
            index: The server's number.
            **variables: Of its environment.
        """
        self._start_counts[index] += 1
        name = self.name(index)
        self.faults.killed.discard(name)
        engine_address = self.run_on_loop(lambda: self.stand_ins.start_engine(name))
        config_path = Path(self.folder, f"{name}.json")
        config_path.write_bytes(orjson.dumps(self._config(index, engine_address)))
        history_path = Path(self.folder, f"{name}.history")
        settings = {"GW_CONFIG": str(config_path), "LANDINGSHIFT_HISTORY": str(history_path)}
        toml = self._make_toml(index)
        if toml:
            toml_path = Path(self.folder, f"{name}.toml")
            toml_path.write_text(toml)
            settings["LANDINGSHIFT_TOML"] = str(toml_path)
        with self._log_path(index).open("ab") as log:
            self.processes[index] = subprocess.Popen(
                [sys.executable, "-m", "landingshift"],
                env=os.environ | settings | self.environment.get(index, {}) | variables,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _config(self, index: int, engine_address: Address) -> dict[str, Any]:
        """Returns what `GW_CONFIG` names, with the users' settings."""
        stand_ins = self.stand_ins
        settings = users_settings() | {"peers-total": self.server_count}
        settings["classes"][0] |= {"late-share": 1.0, "repeat-window": 5000.0}
        settings["extra"] |= {
            "depends-on": "shared", "class-calls": [True], "class-skip-worth": [0.5], "calls-out": 50.0,
            "calls-over": 5000.0, "linger": 100.0, "n-cores": stand_ins.core_count,
        }  # fmt: skip
        settings["rules"] |= {"cold": stand_ins.warm_up_ms}
        return {
            "name": self.name(index),
            "listen": format_address(self.rpc_addresses[index]),
            "engine": format_address(engine_address),
            "db": format_address(stand_ins.database_listener.address),
            "roster": format_address(stand_ins.roster_socket.getsockname()),
            "seed": f"{self._rng.getrandbits(SERVER_SEED_BITS):x}",
            "stop_ms": 1000,
            "limits": {"memory_mb": 64, "sockets": 256},
            "settings": settings,
        }

    def kill(self, index: int) -> None:
        """Kills a server and waits until it is no more."""
        name = self.name(index)
        self.faults.killed.add(name)
        self.faults.expected_to_die.add(name)  # its callers may find out only once it is back
        self.processes[index].kill()
        self.processes[index].wait()

    def pause(self, index: int, seconds: float) -> None:
        """Stops a server by SIGSTOP, and resumes it by SIGCONT so much later."""
        process = self.processes[index]
        name = self.name(index)
        self.faults.paused_until_ms[name] = self.loop.clock_ms() + seconds * 1000.0
        process.send_signal(signal.SIGSTOP)
        start_ms = self.loop.clock_ms()  # a check that it made before it stood still is no later

        def resume() -> None:
            self.faults.pauses.append(PausePeriod(name, start_ms, self.loop.clock_ms()))
            process.send_signal(signal.SIGCONT)

        timer = threading.Timer(seconds, resume)
        timer.daemon = True
        timer.start()

    def shut_down_all(self) -> list[int]:
        """Has all servers that run shut down gracefully; returns the exit status of each."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        return [process.wait(EXIT_TIMEOUT_SECONDS) for process in self.processes.values()]

    def close(self) -> None:
        """Kills all servers and closes all sockets."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.loop.stop()
        self._thread.join(THREAD_TIMEOUT_SECONDS)
        self.proxy.close()
        self.stand_ins.close()
        self._subnet_claim.close()

    # Load and stand-ins

    def run_on_loop(self, action: Callable[[], Any]) -> Any:
        """Has the loop's thread do something; returns its result.

        Raises:
            HarnessUnresponsiveError: The thread does not get to it.
        """
        result: list[Any] = []
        is_done = threading.Event()
        self._actions.append((lambda: result.append(action()), is_done))
        if not is_done.wait(LOOP_TIMEOUT_SECONDS):
            raise HarnessUnresponsiveError
        return result[0] if result else None

    def _tick(self) -> None:
        self.loop.after(TICK_INTERVAL_MS, self._tick)
        self._run_actions()
        listed = [index for index in self.processes if self._is_available(self.name(index))]
        self.load.tick([(self.name(index), self.rpc_addresses[index]) for index in listed])
        self._sample_warm(sum(self.stand_ins.is_warm(self.name(index)) for index in listed))

    def _run_actions(self) -> None:
        while self._actions:
            action, is_done = self._actions.popleft()
            try:
                action()
            finally:
                is_done.set()

    def _is_available(self, name: str) -> bool:
        return self.stand_ins.is_listed(name) and name not in self.faults.killed

    def _sample_warm(self, warm_count: int) -> None:
        elapsed_ms = self.loop.now_ms - self.started_at_ms
        if self.warm_after_ms < 0.0 and warm_count >= WARM_FRACTION * self.server_count:
            self.warm_after_ms = elapsed_ms
        if not self.warm_series or elapsed_ms - self.warm_series[-1].elapsed_ms >= WARM_SERIES_INTERVAL_MS:
            call_count = len(self.stand_ins.database.arrival_times_ms)
            self.warm_series.append(WarmSample(elapsed_ms, warm_count, call_count))

    def restart_warm_measurement(self) -> None:
        """Measures the time until the fleet is warm from now on."""
        self.warm_after_ms = NOT_YET_MS
        self.started_at_ms = self.loop.now_ms

    def end_load(self, timeout_seconds: float = LAST_ANSWERS_SECONDS) -> int:
        """Sends no more and waits for answers; returns how many RPCs never got one."""
        self.load.rpcs_per_second = 0.0
        self.wait_until(timeout_seconds, lambda: not self._unanswered_count())
        return self._unanswered_count()

    def _unanswered_count(self) -> int:
        return int(self.run_on_loop(self.load.unanswered_count))

    def wait_until(self, timeout_seconds: float, holds: Callable[[], bool]) -> bool:
        """Waits until a condition holds; returns whether it did in time."""
        deadline = time.monotonic() + timeout_seconds
        while not holds():
            if time.monotonic() > deadline:
                return False
            time.sleep(POLL_INTERVAL_SECONDS)
        return True

    # What processes wrote

    def history(self) -> list[HistoryEntry]:
        """Returns all that all processes noted, by time."""
        return read_history(self.folder, self.faults.pauses)

    def log_entries(self, index: int) -> list[dict[str, Any]]:
        """Returns what a server has logged."""
        entries = []
        for line in self._log_path(index).read_bytes().splitlines():
            try:
                entries.append(orjson.loads(line))
            except orjson.JSONDecodeError:
                continue
        return entries

    def last_output(self, index: int) -> str:
        """Returns the last line that a server wrote."""
        return self._log_path(index).read_bytes().splitlines()[-1].decode()

    def _log_path(self, index: int) -> Path:
        return Path(self.folder, f"{self.name(index)}.log")


def format_address(address: Address) -> str:
    """Returns an address as settings have it."""
    host, port = address
    return f"{host}:{port}"


def reserve_subnet() -> tuple[int, socket.socket]:
    """Returns the second part of addresses that no other harness uses, and the socket that keeps it so.

    Two harnesses that start at the same moment must not have the same: their servers would take each other
    for members of one fleet.

    Raises:
        NoFreeAddressError: All are taken.
    """
    for subnet in Random(os.urandom(8)).sample(SUBNETS, MAX_SUBNET_ATTEMPTS):
        try:
            return subnet, socket.create_server((f"127.{subnet}.255.254", RPC_PORT))
        except OSError:
            continue
    raise NoFreeAddressError("addresses")
