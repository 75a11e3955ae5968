"""A fleet of real processes with stand-ins, gateways and faults between them, and the history of a run."""

from __future__ import annotations

import ast
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import Counter, deque
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import msgpack
import orjson

from landingshift.net.protocol import gateway
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Address, Stream, connect
from landingshift.testbed.processes.fault_proxy import Switch
from landingshift.testbed.processes.single_server import METHOD, TENANT, settings
from landingshift.testbed.processes.stand_ins import Yard

SEND = 20.0  # ms between two looks of the gateways
STILL = 200.0  # ms of load at most that one look makes up for
WAIT = 3000.0  # ms that an RPC's caller waits
# Below the ports that the system gives to sockets which nobody bound: one of those, of any process, must not
# stand in the way of a server that starts.
LISTEN, TALK = 20100, 20101
SLACK = 250.0  # ms more until an answer counts as late: gateways here share their cores with all else


Stop = tuple[str, float, float]  # who was stopped, from when to when


def in_time(line: tuple[Any, ...], stops: list[Stop]) -> tuple[Any, ...]:
    """A decision as the promises read it. It is noted as it is acted on, and names when its server looked
    whether it may decide; where that was stopped in between, the time that it stood still is taken off. No
    server can look once more and act in one step, so that such a pass ends late by as much (policies.md)."""
    if line[1] != "decided":
        return line
    at, what, who, version, text, looked = line
    for name, since, until in stops:
        if name == who and looked <= since and until <= at:
            at -= until - since
    return at, what, who, version, text


class Caller:
    """One connection to one server: RPCs out, answers back."""

    def __init__(self, rig: Rig, name: str, address: Address) -> None:
        self.rig, self.name = rig, name
        self.open: dict[int, float] = {}
        self.number = 0
        self.leaving = False  # it was asked to send no more
        self.reader = gateway.MessageDecoder()
        self.unread = b""
        stream = connect(rig.loop, address, self, 1 << 20)
        self.stream = stream if isinstance(stream, Stream) else None
        self.unpacker = msgpack.Unpacker(max_buffer_size=1 << 20)

    def rpc(self) -> None:
        rig = self.rig
        self.number += 1
        told = {
            "id": f"{rig.chance.getrandbits(64):016x}", "from": "1", "tenant": TENANT, "kb": "10",
            "rank": "0.5", "at": str(int(time.time() * 1000)), "wait": str(int(WAIT)),
        }  # fmt: skip
        if self.stream is not None:
            self.open[self.number] = rig.loop.now_ms
            self.stream.write(gateway.pack([0, self.number, METHOD, [told, b"work"]]))

    def on_data(self, data: bytes) -> None:
        self.unpacker.feed(data)
        for message in self.unpacker:
            self.leaving |= message[0] == 2
            if message[0] == 1:
                begun = self.open.pop(message[1], None)
                if begun is None:
                    self.rig.ends["twice"] += 1
                    continue
                end = message[2][0] if message[2] else "ok"
                if self.rig.loop.now_ms - begun > WAIT + SLACK:
                    # Who stands still can't answer: such time does not count against it.
                    end = "late" if begun > self.rig.still.get(self.name, -1e9) else "late at a stopped one"
                self.rig.ends[end] += 1

    def on_eof(self) -> None:
        if self.stream is not None:
            self.stream.close("closed")

    def on_closed(self, _reason: str) -> None:
        self.stream = None
        # A killed server answers nobody, and one that was stopped may be left by its callers.
        dead = self.name in self.rig.killed | self.rig.doomed
        self.rig.ends["with a killed one" if dead else "lost"] += len(self.open)
        self.open.clear()


class Rig:
    """`toml(i, rig)`: the settings of server i, "" for the plain program. `rate`: RPCs a second in all."""

    def __init__(
        self,
        folder: str,
        count: int,
        seed: int,
        toml: Callable[[int, Rig], str],
        rate: float,
        bears: float,
        asks: float,
        fill: int = 20,
        cold_ms: float = 2000.0,
        work: float = 4.0,
        cores: int = 8,
    ) -> None:
        self.folder, self.count, self.seed, self.toml, self.rate = folder, count, seed, toml, rate
        self.chance = Random(f"{seed} rig")
        self.net, self.claim = unused_net()
        self.loop = Loop(self.fault)
        self.faults = 0
        self.yard = Yard(self.loop, seed, bears, asks, fill, cold_ms, work, cores)
        self.switch = Switch(self.loop, seed)
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.listens: dict[int, Address] = {}
        self.talks: dict[int, Address] = {}
        self.callers: dict[str, Caller] = {}
        self.killed: set[str] = set()
        self.doomed: set[str] = set()  # those that will die by themselves
        self.still: dict[str, float] = {}  # until when each stopped one stands still, loop time in ms
        self.stops: list[Stop] = []
        self.ends: Counter[str] = Counter()
        self.runs: Counter[int] = Counter()
        self.owed, self.looked_at = 0.0, self.loop.now_ms
        self.warm_at = -1.0
        self.warm: list[tuple[float, int, int]] = []  # ms, how many are warm, calls so far
        self.begun = self.loop.now_ms
        self.env: dict[int, dict[str, str]] = {}
        for i in range(count):
            host = f"127.{self.net}.{i // 250}.{i % 250 + 1}"
            self.listens[i], self.talks[i] = (host, LISTEN), (host, TALK)
            self.switch.port(self.name(i), self.talks[i])
        self.orders: deque[tuple[Callable[[], Any], threading.Event]] = deque()
        self.loop.after(SEND, self.look)
        self.thread = threading.Thread(target=self.loop.run, daemon=True)
        self.thread.start()

    @staticmethod
    def name(i: int) -> str:
        return f"n{i}"

    def fault(self) -> None:
        self.faults += 1

    # Processes

    def start(self, i: int, **env: str) -> None:
        self.runs[i] += 1
        name = self.name(i)
        self.killed.discard(name)
        engine = self.do(lambda: self.yard.engine(name))
        place = "{}:{}"
        mine = settings() | {"peers-total": self.count}
        mine["classes"][0] |= {"late-share": 1.0, "repeat-window": 5000.0}
        mine["extra"] |= {
            "depends-on": "shared", "class-calls": [True], "class-skip-worth": [0.5], "calls-out": 50.0,
            "calls-over": 5000.0, "linger": 100.0, "n-cores": self.yard.cores,
        }  # fmt: skip
        mine["rules"] |= {"cold": self.yard.cold_ms}
        config = {
            "name": name, "listen": place.format(*self.listens[i]), "engine": place.format(*engine),
            "db": place.format(*self.yard.store_door.address),
            "roster": place.format(*self.yard.roster.getsockname()),
            "seed": f"{self.chance.getrandbits(48):x}", "stop_ms": 1000,
            "limits": {"memory_mb": 64, "sockets": 256}, "settings": mine,
        }  # fmt: skip
        path = Path(self.folder, f"{name}.json")
        path.write_bytes(orjson.dumps(config))
        more = {"GW_CONFIG": str(path), "LANDINGSHIFT_HISTORY": str(Path(self.folder, f"{name}.history"))}
        text = self.toml(i, self)
        if text:
            ours = Path(self.folder, f"{name}.toml")
            ours.write_text(text)
            more["LANDINGSHIFT_TOML"] = str(ours)
        with open(Path(self.folder, f"{name}.log"), "ab") as log:
            self.processes[i] = subprocess.Popen(
                [sys.executable, "-m", "landingshift"],
                env=os.environ | more | self.env.get(i, {}) | env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self, i: int) -> None:
        self.killed.add(self.name(i))
        self.doomed.add(self.name(i))  # its callers may find out only once it is back
        self.processes[i].kill()
        self.processes[i].wait()

    def stop(self, i: int, seconds: float) -> None:
        """SIGSTOP now, SIGCONT so much later."""
        process, name = self.processes[i], self.name(i)
        self.still[name] = self.loop.clock_ms() + seconds * 1000.0
        process.send_signal(signal.SIGSTOP)
        since = self.loop.clock_ms()  # a look that it made before it stood still is no later

        def go_on() -> None:
            self.stops.append((name, since, self.loop.clock_ms()))
            process.send_signal(signal.SIGCONT)

        timer = threading.Timer(seconds, go_on)
        timer.daemon = True
        timer.start()

    def drain_all(self) -> list[int]:
        """Exit status of each; those that still run are told to leave."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        return [process.wait(20) for process in self.processes.values()]

    def close(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.loop.stop()
        self.thread.join(5.0)
        self.switch.close()
        self.yard.close()
        self.claim.close()

    # On the loop

    def do(self, action: Callable[[], Any]) -> Any:
        """Has the loop's thread do it, and waits."""
        result: list[Any] = []
        done = threading.Event()
        self.orders.append((lambda: result.append(action()), done))
        if not done.wait(20.0):
            raise RuntimeError("the rig's loop hangs")
        return result[0] if result else None

    def look(self) -> None:
        self.loop.after(SEND, self.look)
        while self.orders:
            action, done = self.orders.popleft()
            try:
                action()
            finally:
                done.set()
        yard = self.yard
        up = [i for i in self.processes if yard.on(self.name(i)) and self.name(i) not in self.killed]
        # By the time that went by, not by the number of looks: on a machine whose cores are full these come
        # late, and a load paid by the look was half of what the row says that its servers have to bear.
        went, self.looked_at = self.loop.now_ms - self.looked_at, self.loop.now_ms
        self.owed += self.rate * min(went, STILL) / 1000.0
        while up and self.owed >= 1.0:
            self.owed -= 1.0
            self.send(self.chance.choice(up))
        warm = sum(yard.warm(self.name(i)) for i in up)
        if self.warm_at < 0.0 and warm >= 0.95 * self.count:
            self.warm_at = self.loop.now_ms - self.begun
        if not self.warm or self.loop.now_ms - self.begun - self.warm[-1][0] >= 500.0:
            self.warm.append((self.loop.now_ms - self.begun, warm, len(yard.store.times)))

    def send(self, i: int) -> None:
        name = self.name(i)
        caller = self.callers.get(name)
        if caller is None or caller.stream is None:
            caller = self.callers[name] = Caller(self, name, self.listens[i])
        if caller.leaving:
            return
        if len(caller.open) < 30:
            caller.rpc()

    def quiet(self, wait: float = 8.0) -> int:
        """Sends no more and waits for what is out; how many RPCs never got an answer."""
        self.rate = 0.0
        end = time.monotonic() + wait
        while time.monotonic() < end and self.do(lambda: any(c.open for c in self.callers.values())):
            time.sleep(0.05)
        return int(self.do(lambda: sum(len(c.open) for c in self.callers.values())))

    def until(self, seconds: float, holds: Callable[[], bool]) -> bool:
        end = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > end:
                return False
            time.sleep(0.05)
        return True

    # The history

    def history(self) -> list[tuple[Any, ...]]:
        """All that all processes noted, in order of time."""
        lines: list[tuple[Any, ...]] = []
        for path in Path(self.folder).glob("*.history"):
            for text in path.read_text().splitlines():
                try:
                    lines.append(ast.literal_eval(text))
                except (SyntaxError, ValueError):
                    continue  # the last line of a killed one
        return sorted((in_time(line, self.stops) for line in lines), key=lambda entry: entry[0])

    def logged(self, i: int) -> list[dict[str, Any]]:
        lines = []
        for text in Path(self.folder, f"{self.name(i)}.log").read_bytes().splitlines():
            try:
                lines.append(orjson.loads(text))
            except orjson.JSONDecodeError:
                continue
        return lines


def unused_net() -> tuple[int, socket.socket]:
    """Second part of addresses that no rig beside this one uses, and what keeps it so until it is closed.

    Two that begin in the same moment must not have the same: their servers would take each other for theirs.
    """
    for net in Random(os.urandom(8)).sample(range(16, 250), 200):
        try:
            return net, socket.create_server((f"127.{net}.255.254", LISTEN))
        except OSError:
            continue
    raise RuntimeError("no free addresses")


def believed(history: list[tuple[Any, ...]], at: int) -> float:
    """The most that all holders together believed in at one instant; `at`: 0 for shares, 2 for places.

    Each holds from each lender what it noted last, until the end that it noted; who is killed believes on in
    what he had, which only makes the figure larger.
    """
    held: dict[tuple[str, str], tuple[float, float]] = {}
    most = 0.0
    for entry in history:
        if entry[1] != "loan":
            continue
        now, _, name, lender, *values = entry
        held[name, lender] = values[at], values[at + 1]
        most = max(most, sum(amount for amount, end in held.values() if end > now))
    return most
