"""Runs a fleet of real server processes with stand-ins for their services, a fault proxy and load.

Stand-ins, proxy and gateways run on an event loop in a separate thread. Code in other threads must change
them with `ProcessHarness.run_on_loop`.
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
"""Below the range of ephemeral ports, so that no socket of another process occupies the port by chance."""
MEMBERSHIP_PORT = 20101
SERVERS_PER_SUBNET = 250
SUBNETS = range(16, 250)
MAX_SUBNET_ATTEMPTS = 200
WARM_FRACTION = 0.95
"""Fraction of the servers that must be warm for the fleet to count as warm."""
WARM_SERIES_INTERVAL_MS = 500.0
EXIT_TIMEOUT_SECONDS = 20
LOOP_TIMEOUT_SECONDS = 20.0
THREAD_TIMEOUT_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 0.05
LAST_ANSWERS_SECONDS = 8.0
"""Time to wait for the answers of open RPCs after the load has ended."""
SERVER_SEED_BITS = 48
NOT_YET_MS = -1.0


@dataclass(frozen=True, slots=True)
class WarmSample:
    """A sample of the progress of a fleet that starts.

    Attributes:
        elapsed_ms: Time since the measurement started.
        warm_count: Number of warm servers.
        call_count: Number of database calls so far.
    """

    elapsed_ms: float
    warm_count: int
    call_count: int


class ProcessHarness:
    """Starts, pauses and kills real servers, which are numbered from 0.

    Attributes:
        folder: Folder for settings, logs and histories.
        server_count: Greatest number of servers.
        loop: Event loop of stand-ins, proxy and load.
        stand_ins: Stand-ins for the services that servers use.
        proxy: Proxy for the traffic between servers.
        faults: Faults that were injected into servers.
        load: Gateways that send RPCs.
        processes: Latest process of each server, keyed by server number.
        rpc_addresses: Address at which each server accepts RPCs, keyed by server number.
        membership_addresses: Address for the traffic between servers, keyed by server number.
        environment: Additional environment variables of each server, keyed by server number.
        warm_after_ms: Time from the start of the measurement until the fleet was warm; negative if it is not.
        warm_series: Samples of the number of warm servers over time.
        started_at_ms: Start of the measurement, in the loop's time.
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
        """Starts stand-ins, proxy and gateways; servers are started with `start`.

        Args:
            folder: Folder for settings, logs and histories.
            server_count: Greatest number of servers.
            seed: Seed of all random generators.
            make_toml: Returns the TOML settings of the optional packages for a server number; "" for a server
                without optional packages.
            rpcs_per_second: Rate of RPCs to all servers together.
            capacity: Capacity and delays of the stand-ins.
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
        self._subnet_reservation = self._assign_addresses()
        self.loop.after(TICK_INTERVAL_MS, self._tick)
        self._thread = threading.Thread(target=self.loop.run, daemon=True)
        self._thread.start()

    def _assign_addresses(self) -> socket.socket:
        """Assigns addresses to all servers; returns the socket that reserves their subnet."""
        subnet, reservation = reserve_subnet()
        for index in range(self.server_count):
            host = f"127.{subnet}.{index // SERVERS_PER_SUBNET}.{index % SERVERS_PER_SUBNET + 1}"
            self.rpc_addresses[index] = (host, RPC_PORT)
            self.membership_addresses[index] = (host, MEMBERSHIP_PORT)
            self.proxy.add_server(self.name(index), self.membership_addresses[index])
        return reservation

    @staticmethod
    def name(index: int) -> str:
        """Returns the name of the server with a number."""
        return f"n{index}"

    def _on_unhandled_error(self) -> None:
        self._unhandled_error_count += 1

    def start(self, index: int, **variables: str) -> None:
        """Starts a server process with a new engine, whose cache is cold.

        Args:
            index: Number of the server.
            **variables: Environment variables for this process only.
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
        """Returns the content of the file that the environment variable `GW_CONFIG` names."""
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
        """Kills a server and waits until its process has ended."""
        name = self.name(index)
        self.faults.killed.add(name)
        # A gateway might notice the lost connection only after the server has been restarted.
        self.faults.expected_to_die.add(name)
        self.processes[index].kill()
        self.processes[index].wait()

    def pause(self, index: int, seconds: float) -> None:
        """Pauses a server with SIGSTOP and resumes it with SIGCONT after `seconds`, without waiting."""
        process = self.processes[index]
        name = self.name(index)
        self.faults.paused_until_ms[name] = self.loop.clock_ms() + seconds * 1000.0
        process.send_signal(signal.SIGSTOP)
        start_ms = self.loop.clock_ms()  # after the signal, so later than all events before the pause

        def resume() -> None:
            self.faults.pauses.append(PausePeriod(name, start_ms, self.loop.clock_ms()))
            process.send_signal(signal.SIGCONT)

        timer = threading.Timer(seconds, resume)
        timer.daemon = True
        timer.start()

    def shut_down_all(self) -> list[int]:
        """Shuts all running servers down gracefully; returns the exit status of each process."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        return [process.wait(EXIT_TIMEOUT_SECONDS) for process in self.processes.values()]

    def close(self) -> None:
        """Kills all servers, and stops stand-ins, proxy and load."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.loop.stop()
        self._thread.join(THREAD_TIMEOUT_SECONDS)
        self.proxy.close()
        self.stand_ins.close()
        self._subnet_reservation.close()

    def run_on_loop(self, action: Callable[[], Any]) -> Any:
        """Runs an action in the thread of the loop; waits for its result and returns it.

        Raises:
            HarnessUnresponsiveError: The thread did not run the action within `LOOP_TIMEOUT_SECONDS`.
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
        """Starts a new measurement of the time until the fleet is warm."""
        self.warm_after_ms = NOT_YET_MS
        self.started_at_ms = self.loop.now_ms

    def end_load(self, timeout_seconds: float = LAST_ANSWERS_SECONDS) -> int:
        """Stops sending RPCs and waits for open ones; returns the number that are still without an answer."""
        self.load.rpcs_per_second = 0.0
        self.wait_until(timeout_seconds, lambda: not self._unanswered_count())
        return self._unanswered_count()

    def _unanswered_count(self) -> int:
        return int(self.run_on_loop(self.load.unanswered_count))

    def wait_until(self, timeout_seconds: float, holds: Callable[[], bool]) -> bool:
        """Waits until a condition holds or the timeout expires; returns whether the condition holds."""
        deadline = time.monotonic() + timeout_seconds
        while not holds():
            if time.monotonic() > deadline:
                return False
            time.sleep(POLL_INTERVAL_SECONDS)
        return True

    def history(self) -> list[HistoryEntry]:
        """Returns the entries of the histories of all processes, sorted by time."""
        return read_history(self.folder, self.faults.pauses)

    def log_entries(self, index: int) -> list[dict[str, Any]]:
        """Returns the log of a server; leaves out lines that are not JSON."""
        entries = []
        for line in self._log_path(index).read_bytes().splitlines():
            try:
                entries.append(orjson.loads(line))
            except orjson.JSONDecodeError:
                continue
        return entries

    def last_output(self, index: int) -> str:
        """Returns the last line that a server wrote to its output."""
        return self._log_path(index).read_bytes().splitlines()[-1].decode()

    def _log_path(self, index: int) -> Path:
        return Path(self.folder, f"{self.name(index)}.log")


def format_address(address: Address) -> str:
    """Returns an address as `host:port`, the format of settings."""
    host, port = address
    return f"{host}:{port}"


def reserve_subnet() -> tuple[int, socket.socket]:
    """Reserves a loopback subnet 127.x.0.0/16 that no other harness uses.

    Two harnesses must never share a subnet, because their servers would join one fleet.

    Returns:
        The second number of the subnet's addresses, and the socket that reserves the subnet until it is
        closed.

    Raises:
        NoFreeAddressError: No free subnet was found.
    """
    for subnet in Random(os.urandom(8)).sample(SUBNETS, MAX_SUBNET_ATTEMPTS):
        try:
            return subnet, socket.create_server((f"127.{subnet}.255.254", RPC_PORT))
        except OSError:
            continue
    raise NoFreeAddressError("addresses")
