"""Benchmarks of usage metering: `python -m benchmarks.ledger [--rate N] [--big N]`. Prints JSON.

- rate: the rate at which the store process commits usage records, and the time until each is durable.
- server: CPU time per RPC, latency and event loop passes of the same server without and with metering.
- thousand, light: the same as server with a limited rate of RPCs.
- big: time to open and read a store of millions of usage records, its size on disk, and the memory used while
  it is filled.
"""

from __future__ import annotations

import argparse
import os
import resource
import select
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from statistics import median
from typing import Any

import msgspec
import orjson

from landingshift.ledger.settings import Settings
from landingshift.ledger.store import STORE_FILE, UsageStore
from landingshift.ledger.store_messages import ReportedUsage, StoreStatus, UsageBatch
from landingshift.ledger.store_process import MAX_IN_FLIGHT_BATCH_COUNT, WORKER_MODULE
from landingshift.ledger.usage_queue import DeliveryOutcome, UsageQueue
from landingshift.net.transport.worker import WORKER_FD_VARIABLE, FrameDecoder, encode_frame
from landingshift.testbed.processes.single_server import ClosedLoopGateway, SingleServer

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
QUEUE_LIMIT_BYTES = 64 << 20
READ_BYTES = 65536
POLL_SECONDS = 0.005
WARM_UP_SECONDS = 0.5
GATEWAY_END_TIMEOUT_SECONDS = 5.0
TENANT_COUNT = 500
BIG_BATCH_USAGE_COUNT = 2000
BIG_MEMORY_SAMPLE_COUNT = 5
BIG_START_MS = 1_764_547_200_000  # December 2025
BIG_PERIOD = "2025-12"
BIG_SPAN_MS = 30 * 86_400_000


def p99(values: list[float]) -> float:
    """Returns the 99th percentile, or 0 for an empty list."""
    return sorted(values)[int(len(values) * 0.99)] if values else 0.0


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time that a process has used since its start."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_kb(pid: int) -> int:
    """Returns the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * resource.getpagesize() // 1024


def random_usage(sequence: int, at_ms: int, rng: Random) -> ReportedUsage:
    """Returns the usage record of an RPC of a random tenant."""
    tenant = b"club %d" % rng.randrange(TENANT_COUNT)
    return ReportedUsage(sequence, at_ms, tenant, b"m", 90_000, 800, 2000, rng.randbytes(16))


class StoreLoad:
    """A store process, and the queue through which the ledger's service would send usage to it.

    Attributes:
        link: The connection to the store process.
        process: The store process.
        queue: The usage that is not durable yet.
        not_durable_ms: The time from queueing to durability of each usage record, in order of durability.
    """

    def __init__(self, directory: str) -> None:
        self.link, child_socket = socket.socketpair()
        settings = Settings(directory=directory, instance="bench")
        self.process = subprocess.Popen(
            [sys.executable, "-m", WORKER_MODULE, msgspec.json.encode(settings).decode(), "ab"],
            env=os.environ | {WORKER_FD_VARIABLE: str(child_socket.fileno())},
            pass_fds=[child_socket.fileno()],
        )
        child_socket.close()
        self.link.recv(READ_BYTES)  # sent once the store is open
        self.queue = UsageQueue(QUEUE_LIMIT_BYTES)
        self.not_durable_ms: list[float] = []
        self._frames = FrameDecoder()
        self._encode = msgspec.msgpack.encode
        self._decode = msgspec.msgpack.Decoder(StoreStatus).decode
        self._offered_at: dict[int, float] = {}
        self._rng = Random(1)

    def offer(self, count: int) -> None:
        """Queues `count` usage records."""
        offered_at = time.perf_counter()
        for _ in range(count):
            usage = random_usage(0, round(time.time() * 1000), self._rng)
            self.queue.add(usage)
            self._offered_at[usage.sequence] = offered_at

    def send(self) -> None:
        """Sends the next batch to the store process, if there is one."""
        batch = self.queue.next_batch(MAX_IN_FLIGHT_BATCH_COUNT)
        if batch is not None:
            self.link.sendall(encode_frame(self._encode(batch)))

    def receive(self) -> None:
        """Receives status messages, and queues the outcome of each usage record that has become durable."""
        for message in self._frames.feed(self.link.recv(READ_BYTES)):
            for usage in self.queue.acknowledge(self._decode(message).committed_batch):
                waited_seconds = time.perf_counter() - self._offered_at.pop(usage.sequence)
                self.not_durable_ms.append(waited_seconds * 1000.0)
                self.queue.add_outcome(DeliveryOutcome.DELIVERED, usage.sequence)

    def close(self) -> None:
        """Closes the connection and waits for the store process to exit."""
        self.link.close()
        self.process.wait()


def measure_rate(uses_per_second: int, seconds: float) -> dict[str, Any]:
    """Measures a store process that receives `uses_per_second` usage records per second.

    The load is open: records are queued at that rate even if earlier ones are not durable yet.
    """
    with tempfile.TemporaryDirectory() as directory:
        load = StoreLoad(directory)
        started_at = time.perf_counter()
        total_count = int(uses_per_second * seconds)
        offered_count = 0
        while len(load.not_durable_ms) < total_count:
            due_count = min(int((time.perf_counter() - started_at) * uses_per_second), total_count)
            load.offer(due_count - offered_count)
            offered_count = due_count
            load.send()
            if select.select([load.link], [], [], POLL_SECONDS)[0]:
                load.receive()
        elapsed_seconds = time.perf_counter() - started_at
        while not load.queue.is_empty:
            load.send()
            load.receive()
        used_seconds = cpu_seconds(load.process.pid)
        store_memory_kb = memory_kb(load.process.pid)
        load.close()
        size_bytes = Path(directory, STORE_FILE).stat().st_size
        return {
            "offered_a_second": uses_per_second,
            "durable_a_second": round(total_count / elapsed_seconds),
            "not_durable_ms": {
                "p50": round(median(load.not_durable_ms), 2),
                "p99": round(p99(load.not_durable_ms), 2),
            },
            "store_cpu_us_a_use": round(used_seconds / total_count * 1e6, 2),
            "store_memory_kb": store_memory_kb,
            "bytes_a_use": round(size_bytes / total_count, 1),
        }


def measure_load(
    server: SingleServer, seconds: float, gateway_count: int, window: int, pace_ms: float
) -> dict[str, Any]:
    """Measures CPU time per RPC, latency and memory of a running server under load.

    Args:
        server: The running server.
        seconds: The duration of the measurement, after a warm-up.
        gateway_count: The number of gateways, each with one connection.
        window: The number of RPCs that each gateway keeps open.
        pace_ms: The minimum interval between the RPCs of a gateway; 0 for a closed loop.
    """
    assert server.process
    pid = server.process.pid
    gateways = [
        ClosedLoopGateway(server, f"{time.time()} {i}", window, pace_ms) for i in range(gateway_count)
    ]
    time.sleep(WARM_UP_SECONDS)
    cpu_before = cpu_seconds(pid)
    started_at = time.perf_counter()
    answered_before = sum(len(gateway.latencies_ms) for gateway in gateways)
    time.sleep(seconds)
    used_seconds = cpu_seconds(pid) - cpu_before
    wall_seconds = time.perf_counter() - started_at
    answered_count = sum(len(gateway.latencies_ms) for gateway in gateways) - answered_before
    for gateway in gateways:
        gateway.is_stopping = True
    for gateway in gateways:
        gateway.thread.join(GATEWAY_END_TIMEOUT_SECONDS)
    latencies_ms = [latency_ms for gateway in gateways for latency_ms in gateway.latencies_ms]
    return {
        "rpcs_a_second": round(answered_count / wall_seconds),
        "cpu_us_an_rpc": round(used_seconds / max(1, answered_count) * 1e6, 1),
        "latency_ms": {"p50": round(median(latencies_ms), 2), "p99": round(p99(latencies_ms), 2)},
        "memory_kb": memory_kb(pid),
    }


def measure_server(
    seconds: float, repeats: int, gateway_count: int, window: int, pace_ms: float = 0.0
) -> dict[str, Any]:
    """Measures servers without metering and with both durability modes.

    Each round measures all three in turn, so that a change in the speed of the machine affects all of them.
    The results are medians of `repeats` rounds. The other arguments are those of `measure_load`.
    """
    results_by_mode: dict[str, list[dict[str, Any]]] = {"off": [], "after_answer": [], "before_answer": []}
    for _ in range(repeats):
        for durability, results in results_by_mode.items():
            results.append(_measure_one_server(durability, seconds, gateway_count, window, pace_ms))
    return {durability: _medians(results) for durability, results in results_by_mode.items()}


def _measure_one_server(
    durability: str, seconds: float, gateway_count: int, window: int, pace_ms: float
) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as directory:
        toml = f'[ledger]\nfolder = "{directory}/l"\ninstance = "b"\ndurable = "{durability}"\n'
        os.environ["BENCH_PASSES"] = directory + "/passes"
        server = SingleServer(directory, "" if durability == "off" else toml, module="benchmarks.passes")
        server.start()
        result = measure_load(server, seconds, gateway_count, window, pace_ms)
        server.shut_down()
        result["passes"] = orjson.loads(Path(directory, "passes").read_bytes())
        server.close()
        return result


def _medians(results: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        "rpcs_a_second": median(result["rpcs_a_second"] for result in results),
        "cpu_us_an_rpc": median(result["cpu_us_an_rpc"] for result in results),
        "latency_p50_ms": median(result["latency_ms"]["p50"] for result in results),
        "latency_p99_ms": median(result["latency_ms"]["p99"] for result in results),
        "pass_p50_ms": round(median(result["passes"]["p50"] for result in results), 3),
        "pass_p99_ms": round(median(result["passes"]["p99"] for result in results), 3),
        "memory_kb": median(result["memory_kb"] for result in results),
    }


def measure_big_store(usage_count: int) -> dict[str, Any]:
    """Fills a store with `usage_count` usage records over a month, and measures opening and reading it."""
    with tempfile.TemporaryDirectory() as directory:
        started_at = time.perf_counter()
        memory_samples_kb = _fill_store(directory, usage_count)
        fill_seconds = time.perf_counter() - started_at
        started_at = time.perf_counter()
        store = _open_big_store(directory)
        open_seconds = time.perf_counter() - started_at
        started_at = time.perf_counter()
        totals = store.tenant_totals(BIG_PERIOD)
        read_seconds = time.perf_counter() - started_at
        size_bytes = Path(store.path).stat().st_size
        uses_in_period = store.period_sum(BIG_PERIOD).uses
        store.close()
        written_count = usage_count // BIG_BATCH_USAGE_COUNT * BIG_BATCH_USAGE_COUNT
        return {
            "uses": written_count,
            "in_the_period": uses_in_period,
            "written_a_second": round(written_count / fill_seconds),
            "open_ms": round(open_seconds * 1000.0, 1),
            "totals_ms": round(read_seconds * 1000.0, 1),
            "rows": len(totals),
            "bytes_a_use": round(size_bytes / written_count, 1),
            "memory_kb_by_fifths": memory_samples_kb,
        }


def _open_big_store(directory: str) -> UsageStore:
    return UsageStore(directory, "bench", "Europe/Copenhagen", "month", 900_000, 100_000)


def _fill_store(directory: str, usage_count: int) -> list[int]:
    """Fills a store; returns the resident memory of this process in KB after each fifth of the records."""
    rng = Random(1)
    interval_ms = BIG_SPAN_MS / usage_count
    batch_count = usage_count // BIG_BATCH_USAGE_COUNT
    memory_samples_kb = []
    sequence = 0
    with _open_big_store(directory) as store:
        store.start_run(b"run", 0)
        for number in range(1, batch_count + 1):
            usages = []
            for _ in range(BIG_BATCH_USAGE_COUNT):
                sequence += 1
                usages.append(random_usage(sequence, BIG_START_MS + int(sequence * interval_ms), rng))
            delivered = [usage.sequence for usage in usages]
            with store.ledger_transaction() as ledger:
                ledger.apply_batch(UsageBatch(number, usages, delivered, [], []), BIG_START_MS)
            if number % max(1, batch_count // BIG_MEMORY_SAMPLE_COUNT) == 0:
                memory_samples_kb.append(memory_kb(os.getpid()))
    return memory_samples_kb


def main() -> None:
    """Runs the benchmarks selected by the arguments and prints the result of each as a line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0] if __doc__ else "")
    parser.add_argument("--rate", type=int, default=20_000)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--big", type=int, default=10_000_000)
    parser.add_argument("--only", choices=["rate", "server", "thousand", "light", "big"])
    args = parser.parse_args()
    parts: dict[str, Callable[[], dict[str, Any]]] = {
        "rate": lambda: measure_rate(args.rate, args.seconds),
        "server": lambda: measure_server(args.seconds, args.repeats, 8, 8),
        "thousand": lambda: measure_server(args.seconds, args.repeats, 10, 1, 10.0),
        "light": lambda: measure_server(args.seconds, args.repeats, 4, 1, 20.0),
        "big": lambda: measure_big_store(args.big),
    }
    for name, measure in parts.items():
        if args.only in (None, name):
            print(orjson.dumps({name: measure()}).decode(), flush=True)


if __name__ == "__main__":
    main()
