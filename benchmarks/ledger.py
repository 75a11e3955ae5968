"""Figures of the ledger: `python -m benchmarks.ledger [--uses N] [--big N]`; prints JSON. Takes minutes.

- rate: uses a second that the store's process takes from an outbox, and how long each was not durable.
- server: the same server without and with the ledger, in turn: CPU an RPC, latency, passes of the loop.
- big: a store of millions of uses: opening, totals, bytes a use, memory.
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
from pathlib import Path
from random import Random
from statistics import median
from typing import Any

import msgspec
import orjson

from landingshift.ledger.entries import Batch, Raw, Word
from landingshift.ledger.outbox import Outbox
from landingshift.ledger.settings import Settings
from landingshift.ledger.store import Store
from landingshift.net.transport.worker import WORKER_FD_VARIABLE, FrameDecoder, encode_frame
from landingshift.testbed.processes.single_server import Gateway, Stage

TICKS = os.sysconf("SC_CLK_TCK")


def p99(values: list[float]) -> float:
    return sorted(values)[int(len(values) * 0.99)] if values else 0.0


def cpu(pid: int) -> float:
    """Seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def rss(pid: int) -> int:
    """KB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * resource.getpagesize() // 1024


def some_use(n: int, at: int, chance: Random) -> Raw:
    return Raw(n, at, b"club %d" % chance.randrange(500), b"m", 90_000, 800, 2000, chance.randbytes(16))


def rate(per_second: int, seconds: float) -> dict[str, Any]:
    """Offers so many uses a second to a real store process, as the service does, and waits for nothing."""
    with tempfile.TemporaryDirectory() as folder:
        ours, theirs = socket.socketpair()
        settings = Settings(folder=folder, instance="bench")
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "landingshift.ledger.worker",
                msgspec.json.encode(settings).decode(),
                "ab",
            ],
            env=os.environ | {WORKER_FD_VARIABLE: str(theirs.fileno())},
            pass_fds=[theirs.fileno()],
        )
        theirs.close()
        frames, encode = FrameDecoder(), msgspec.msgpack.encode
        decode = msgspec.msgpack.Decoder(Word).decode
        ours.recv(4096)  # it is open
        box, chance, began = Outbox(64 << 20), Random(1), time.perf_counter()
        born: dict[int, float] = {}
        waits: list[float] = []
        offered, done = 0, 0
        while done < per_second * seconds:
            now = time.perf_counter()
            due = min(int((now - began) * per_second), int(per_second * seconds))
            for _ in range(due - offered):
                raw = some_use(0, round(time.time() * 1000), chance)
                box.add(raw)
                born[raw.n] = now
            offered = due
            batch = box.cut(4)
            if batch is not None:
                ours.sendall(encode_frame(encode(batch)))
            if select.select([ours], [], [], 0.005)[0]:
                for message in frames.feed(ours.recv(65536)):
                    for raw in box.ack(decode(message).acked):
                        waits.append((time.perf_counter() - born.pop(raw.n)) * 1000.0)
                        box.settle(box.sent, raw.n)
                        done += 1
        took = time.perf_counter() - began
        while not box.empty:
            batch = box.cut(4)
            if batch is not None:
                ours.sendall(encode_frame(encode(batch)))
            for message in frames.feed(ours.recv(65536)):
                box.ack(decode(message).acked)
        used, memory = cpu(process.pid), rss(process.pid)
        ours.close()
        process.wait()
        size = Path(folder, "ledger.sqlite").stat().st_size
        return {
            "offered_a_second": per_second,
            "durable_a_second": round(done / took),
            "not_durable_ms": {"p50": round(median(waits), 2), "p99": round(p99(waits), 2)},
            "store_cpu_us_a_use": round(used / done * 1e6, 2),
            "store_memory_kb": memory,
            "bytes_a_use": round(size / done, 1),
        }


def load(stage: Stage, seconds: float, gateways: int, window: int, pace: float) -> dict[str, Any]:
    """Closed load for CPU and latency; paced, a given rate."""
    assert stage.process
    pid = stage.process.pid
    peers = [Gateway(stage, f"{time.time()} {i}", window, pace) for i in range(gateways)]
    time.sleep(0.5)
    before, at, had = cpu(pid), time.perf_counter(), sum(len(g.took) for g in peers)
    time.sleep(seconds)
    used, wall, count = cpu(pid) - before, time.perf_counter() - at, sum(len(g.took) for g in peers) - had
    for peer in peers:
        peer.stopping = True
    for peer in peers:
        peer.thread.join(5.0)
    took = [t for peer in peers for t in peer.took]
    return {
        "rpcs_a_second": round(count / wall),
        "cpu_us_an_rpc": round(used / max(1, count) * 1e6, 1),
        "latency_ms": {"p50": round(median(took), 2), "p99": round(p99(took), 2)},
        "memory_kb": rss(pid),
    }


def server(seconds: float, repeats: int, gateways: int, window: int, pace: float = 0.0) -> dict[str, Any]:
    """Without and with, in turn, on the same machine in one run."""
    found: dict[str, list[dict[str, Any]]] = {"off": [], "after_answer": [], "before_answer": []}
    for _ in range(repeats):
        for way, rows in found.items():
            with tempfile.TemporaryDirectory() as folder:
                toml = (
                    f'[ledger]\nfolder = "{folder}/l"\ninstance = "b"\ndurable = "{way}"\n'
                    if way != "off"
                    else ""
                )
                os.environ["BENCH_PASSES"] = folder + "/passes"
                stage = Stage(folder, toml, module="benchmarks.passes")
                stage.start()
                row = load(stage, seconds, gateways, window, pace)
                stage.leave()
                rows.append(row | {"passes": orjson.loads(Path(folder, "passes").read_bytes())})
                stage.close()
    return {
        way: {
            "rpcs_a_second": median(r["rpcs_a_second"] for r in rows),
            "cpu_us_an_rpc": median(r["cpu_us_an_rpc"] for r in rows),
            "latency_p50_ms": median(r["latency_ms"]["p50"] for r in rows),
            "latency_p99_ms": median(r["latency_ms"]["p99"] for r in rows),
            "pass_p50_ms": round(median(r["passes"]["p50"] for r in rows), 3),
            "pass_p99_ms": round(median(r["passes"]["p99"] for r in rows), 3),
            "memory_kb": median(r["memory_kb"] for r in rows),
        }
        for way, rows in found.items()
    }


def big(uses: int) -> dict[str, Any]:
    """A store of so many uses over a month; opening and reading it in this process."""
    with tempfile.TemporaryDirectory() as folder:
        store = Store(folder, "bench", "Europe/Copenhagen", "month", 900_000, 100_000)
        store.open_run(b"run", 0)
        chance, start, n = Random(1), 1_764_547_200_000, 0
        step = 30 * 86_400_000 / uses
        began, memory = time.perf_counter(), []
        for number in range(1, uses // 2000 + 1):
            batch = []
            for _ in range(2000):
                n += 1
                batch.append(some_use(n, start + int(n * step), chance))
            with store.changing() as book:
                book.take(Batch(number, batch, [raw.n for raw in batch], [], []), start)
            if number % (uses // 10_000) == 0:
                memory.append(rss(os.getpid()))
        took = time.perf_counter() - began
        store.close()
        began = time.perf_counter()
        store = Store(folder, "bench", "Europe/Copenhagen", "month", 900_000, 100_000)
        opened = time.perf_counter() - began
        began = time.perf_counter()
        rows = store.totals("2025-12")
        read = time.perf_counter() - began
        size = Path(store.path).stat().st_size
        total = store.sums("2025-12")[0]
        store.close()
        return {
            "uses": n,
            "in_the_period": total,
            "written_a_second": round(n / took),
            "open_ms": round(opened * 1000.0, 1),
            "totals_ms": round(read * 1000.0, 1),
            "rows": len(rows),
            "bytes_a_use": round(size / n, 1),
            "memory_kb_by_fifths": memory,
        }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0] if __doc__ else "")
    parser.add_argument("--rate", type=int, default=20_000)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--big", type=int, default=10_000_000)
    parser.add_argument("--only", choices=["rate", "server", "thousand", "light", "big"])
    args = parser.parse_args()
    parts = {
        "rate": lambda: rate(args.rate, args.seconds),
        "server": lambda: server(args.seconds, args.repeats, 8, 8),
        "thousand": lambda: server(args.seconds, args.repeats, 10, 1, 10.0),
        "light": lambda: server(args.seconds, args.repeats, 4, 1, 20.0),
        "big": lambda: big(args.big),
    }
    for name, part in parts.items():
        if args.only in (None, name):
            print(orjson.dumps({name: part()}).decode(), flush=True)


if __name__ == "__main__":
    main()
