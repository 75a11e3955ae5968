"""Stand-ins for what servers talk to, all on one loop of the transport's own: engines, store, roster, list.

Store and list bear so much a second; crowded past that they fall to a third and come back only once the crowd
is gone. What came, when, is kept as the history that is checked afterwards.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from functools import partial
from random import Random
from selectors import EVENT_READ
from typing import Any

from landingshift.net.protocol import gateway
from landingshift.net.protocol.lines import LineDecoder, encode_line
from landingshift.net.transport.listener import Listener
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Address, Stream

HERE = "127.0.0.1"
BOUND = 1 << 22
RESULT = b"r" * 100


class Door:
    """Takes connections and hands each to `make(stream owner)`; `up` False refuses them."""

    def __init__(self, loop: Loop, make: Callable[[], Any]) -> None:
        self.loop, self.make = loop, make
        self.links: list[Any] = []
        self.listener = Listener(loop, (HERE, 0), lambda _: True, self.take)
        self.address: Address = self.listener.address

    def take(self, sock: socket.socket) -> None:
        owner = self.make()
        owner.stream = Stream(self.loop, sock, owner, BOUND)
        self.links = [one for one in self.links if one.stream.is_open]
        self.links.append(owner)

    def close(self) -> None:
        self.listener.close()
        for one in self.links:
            one.stream.close("down")

    def open(self) -> None:
        if not self.listener.is_open:
            self.listener = Listener(self.loop, self.address, lambda _: True, self.take)


class Link:
    """What an end of a stand-in's connection has in common."""

    stream: Stream

    def on_eof(self) -> None:
        self.stream.close("closed")

    def on_closed(self, reason: str) -> None: ...


class Engine(Link):
    """Work takes `work` ms of a core; while its cache is cold each run needs a call, later one in ten."""

    def __init__(self, yard: Yard, name: str, born: float) -> None:
        self.yard, self.name, self.born = yard, name, born
        self.free = [0.0] * yard.cores  # when each core is
        self.lines = LineDecoder(lambda words: words[0] in (b"RUN", b"FEED"))
        self.number = self.runs = 0
        self.bodies: dict[bytes, bytes] = {}

    def on_data(self, data: bytes) -> None:
        yard = self.yard
        for words, _ in self.lines.feed(data):
            match words:
                case [b"ATTACH", *_]:
                    age = yard.loop.now_ms - self.born
                    self.say(b"HELLO", b"new" if age < yard.cold_ms else b"old", b"%d" % age)
                case [b"STAT", tag]:
                    busy = sum(at > yard.loop.now_ms for at in self.free)
                    self.say(b"STATS", tag, b"%.2f" % (busy / yard.cores), b"%d" % busy, b"0.1", b"3")
                case [b"RUN", rid, *_]:
                    self.runs += 1
                    filled = yard.filled.get(self.name, 0)
                    if filled < yard.fill or self.runs % 10 == 0:
                        self.number += 1
                        self.say(b"NEED", b"%d" % self.number, rid, body=b"q")
                    else:
                        self.end(rid)
                case [b"FEED", rid, _]:
                    yard.filled[self.name] = yard.filled.get(self.name, 0) + 1
                    self.end(rid)
                case [b"SKIP", rid, _]:
                    self.end(rid)
                case [b"TEST", tag]:
                    self.say(b"TESTED", tag, b"good")

    def end(self, rid: bytes) -> None:
        def done() -> None:
            self.number += 1
            self.say(b"DONE", b"%d" % self.number, rid, b"good", b"%d" % self.yard.work, body=RESULT)

        now = self.yard.loop.now_ms
        core = min(range(len(self.free)), key=self.free.__getitem__)
        self.free[core] = max(now, self.free[core]) + self.yard.work
        self.yard.loop.after(self.free[core] - now, done)

    def say(self, *words: bytes, body: bytes | None = None) -> None:
        self.stream.write(encode_line(*words, body=body))


class Crowd:
    """So many a second; what waits is worked off in turn, at a third of the rate once `crowd` wait."""

    def __init__(self, loop: Loop, bears: float, base: float, crowd: float) -> None:
        self.loop, self.bears, self.base, self.crowd = loop, bears, base, crowd
        self.free = loop.now_ms  # when the last one that waits is done
        self.waiting = 0
        self.fell = False
        self.falls = 0
        self.times: list[float] = []

    def flood(self, count: int) -> None:
        """A crowd from elsewhere, which is none of the servers' doing."""
        for _ in range(count):
            self.enter(lambda: None)

    def come(self, done: Callable[[], None]) -> None:
        self.times.append(self.loop.now_ms)
        self.enter(done)

    def enter(self, done: Callable[[], None]) -> None:
        self.waiting += 1
        if self.waiting > self.crowd and not self.fell:
            self.fell, self.falls = True, self.falls + 1
        each = 1000.0 / self.bears * (3.0 if self.fell else 1.0)
        self.free = max(self.free, self.loop.now_ms) + each
        self.loop.after(self.free - self.loop.now_ms + self.base, lambda: self.gone(done))

    def gone(self, done: Callable[[], None]) -> None:
        self.waiting -= 1
        if self.waiting < 0.1 * self.crowd:
            self.fell = False
        done()

    def peak(self, width: float = 1000.0) -> int:
        """Most that came within `width` ms."""
        most = first = 0
        for last, time in enumerate(self.times):
            while self.times[first] <= time - width:
                first += 1
            most = max(most, last - first + 1)
        return most


class Store(Link):
    def __init__(self, yard: Yard) -> None:
        self.yard = yard
        self.lines = LineDecoder(lambda words: words[0] == b"Q")

    def on_data(self, data: bytes) -> None:
        for words, _ in self.lines.feed(data):
            if words[0] == b"Q":
                self.yard.store.come(partial(self.answer, words[1]))

    def answer(self, rid: bytes) -> None:
        if self.stream.is_open:
            self.stream.write(encode_line(rid, b"ROWS", body=b"rows"))


class Members(Link):
    """The list service, as `mode` says: up, slow, half, old (addresses where nobody is any more)."""

    def __init__(self, yard: Yard) -> None:
        self.yard, self.reader = yard, gateway.MessageDecoder()

    def on_data(self, data: bytes) -> None:
        for message in self.reader.feed(data):
            if isinstance(message, gateway.Request):
                self.yard.list.come(partial(self.answer, message.message_id))

    def answer(self, number: int) -> None:
        yard, chance = self.yard, self.yard.chance
        entries = [list(a) for a in yard.listed]
        if yard.mode == "half":
            entries = entries[::2]
        if yard.mode == "old":
            entries = [[HERE, 9] for _ in entries] + entries[:2]
        chosen = chance.sample(entries, min(16, len(entries)))
        delay = 2000.0 if yard.mode == "slow" else 0.0
        self.yard.loop.after(delay, lambda: self.stream.write(gateway.pack([1, number, None, chosen])))


class Yard:
    """All stand-ins of one rig. `bears` calls a second, `asks` at the list; `cold_ms` of an engine."""

    def __init__(
        self,
        loop: Loop,
        seed: int,
        bears: float,
        asks: float,
        fill: int,
        cold_ms: float,
        work: float = 4.0,
        cores: int = 8,
    ) -> None:
        self.loop, self.chance = loop, Random(f"{seed} yard")
        self.fill, self.cold_ms, self.work, self.cores = fill, cold_ms, work, cores
        self.store = Crowd(loop, bears, 5.0, 2.0 * bears)
        self.list = Crowd(loop, asks, 5.0, 2.0 * asks)
        self.filled: dict[str, int] = {}  # calls that filled a server's cache
        self.mode = "up"
        self.listed: list[Address] = []
        self.heard: dict[str, float] = {}  # when each server last reported itself, by name
        self.first: dict[str, float] = {}  # and when first, since its start
        self.reports: list[float] = []
        self.roster = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.roster.bind((HERE, 0))
        self.roster.setblocking(False)
        loop.watch(self.roster.fileno(), EVENT_READ, self)
        self.store_door = Door(loop, lambda: Store(self))
        self.list_door = Door(loop, lambda: Members(self))
        self.engines: dict[str, Door] = {}

    def engine(self, name: str) -> Address:
        """A new engine, cold, for a server that starts."""
        self.filled[name] = 0
        self.first.pop(name, None)
        self.heard.pop(name, None)
        born = self.loop.now_ms
        had = self.engines.pop(name, None)
        if had is not None:
            had.close()
        door = self.engines[name] = Door(self.loop, lambda: Engine(self, name, born))
        return door.address

    def on_ready(self, _mask: int) -> None:
        for _ in range(256):
            try:
                words = self.roster.recv(256).split()
            except OSError:
                return
            self.reports.append(self.loop.now_ms)
            if len(words) == 3 and words[2] == b"on":
                name = words[1].decode()
                self.heard[name] = self.loop.now_ms
                self.first.setdefault(name, self.loop.now_ms)
            elif len(words) == 3:
                self.heard.pop(words[1].decode(), None)  # it says that it is not to be counted on

    def on(self, name: str) -> bool:
        return self.loop.now_ms - self.heard.get(name, -1e9) < 3000.0

    def warm(self, name: str) -> bool:
        """Listed, its cores warm and its cache filled."""
        first = self.first.get(name)
        return (
            first is not None and self.loop.now_ms - first >= self.cold_ms and self.filled[name] >= self.fill
        )

    def close(self) -> None:
        self.roster.close()
        for door in (self.store_door, self.list_door, *self.engines.values()):
            door.close()
