"""The gateways' connections: accepted, read, answered and closed."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from landingshift.net.protocol import gateway as wire
from landingshift.net.routing.records import Routed
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.slots import Slots
from landingshift.net.transport.stream import Address, Listener, Stream, Unsent

OPEN = 32  # RPCs that a connection may have open
BOUND = OPEN * 5000  # what a gateway that keeps to that can leave unread
AWAY = 1500.0  # ms that a gateway has to close a connection after goaway
SILENT = 1.25  # times the gateways' own limit on idle connections: who is quiet for longer keeps to none
LEAVING = 250.0  # the same while draining
LOOK = 50.0  # ms between two looks at a connection, at the least
RESET = 30.0  # ms in which a gateway that has gone answers a write with a reset


class News(Protocol):
    def read(self, connection: Connection, call: wire.Call) -> None: ...
    def hangup(self, rpc: Routed) -> None: ...
    def probe(self, connection: Connection, call: wire.Call) -> None: ...


class Connection:
    def __init__(self, gateways: Gateways, sock: socket.socket) -> None:
        self.gateways, self.reader = gateways, wire.Reader()
        self.rpcs: dict[int, Routed] = {}  # open, by message number
        self.read = self.probes = self.bad = 0
        self.fault = ""  # the field that the last bad RPC had wrong
        self.away = 0.0  # after goaway: when it is closed if the gateway does not
        self.born = gateways.loop.now
        self.stream = Stream(gateways.loop, sock, self, BOUND, unsent=gateways.unsent)
        self.slot = gateways.table.put(self)
        self.timer = gateways.loop.after(gateways.idle, self.rest)

    def data(self, data: bytes) -> None:
        for message in self.reader.feed(data):
            if self.stream.reason:
                return
            if isinstance(message, wire.GiveUp):
                rpc = self.rpcs.pop(message.number, None)
                if rpc is not None:
                    self.gateways.news.hangup(rpc)
            elif isinstance(message, wire.Failed):
                self.stream.finish(message.reason)
                self.hangup()
            elif message.method == "probe":
                self.probes += 1
                self.gateways.news.probe(self, message)
            elif message.number in self.rpcs:
                self.stream.finish("number_twice")  # nobody could tell whose the answer is
                self.hangup()
            else:
                self.read += 1
                self.gateways.news.read(self, message)

    def hangup(self) -> None:
        rpcs, self.rpcs = self.rpcs, {}
        for rpc in rpcs.values():
            self.gateways.news.hangup(rpc)

    def eof(self) -> None:
        if not self.rpcs:
            self.stream.finish("closed_by_gateway")
        else:
            # It may still read. Where it does not, this makes it answer with a reset.
            self.goaway()
            self.gateways.loop.after(RESET, self.stream.check)

    def ended(self, reason: str) -> None:
        self.gateways.table.drop(self.slot)
        self.gateways.loop.cancel(self.timer)
        self.gateways.log(
            "connection",
            reason=reason,
            age=round(self.gateways.loop.now - self.born),
            rpcs=self.read,
            probes=self.probes,
            open=len(self.rpcs),
            bad=self.bad,
            fault=self.fault,
        )
        self.hangup()

    def answer(self, number: int, data: bytes) -> None:
        self.rpcs.pop(number, None)
        self.stream.write(data)
        if not self.stream.reading and not self.rpcs:
            self.stream.finish("closed_by_gateway")

    def goaway(self, within: float = AWAY) -> None:
        if not self.stream.open:
            return
        if not self.away:
            self.stream.write(wire.GOAWAY)
        self.away = self.gateways.loop.now + within
        self.arm(within)

    def arm(self, delay: float) -> None:
        self.gateways.loop.cancel(self.timer)
        self.timer = self.gateways.loop.after(delay, self.rest)

    def rest(self) -> None:
        """A quiet connection is asked to go, and closed if it does not."""
        if not self.stream.open:
            return
        now, idle = self.gateways.loop.now, self.gateways.idle
        left = (self.away or self.stream.last + idle) - now
        if self.rpcs or left > 1.0:
            self.arm(max(LOOK, left))
        elif self.away:
            self.stream.finish("goaway")
        else:
            self.goaway()


class Gateways:
    def __init__(
        self,
        loop: Loop,
        address: Address,
        most: int,
        unsent: int,
        idle: float,
        news: News,
        log: Callable[..., None],
    ) -> None:
        self.loop, self.most, self.news, self.log = loop, most, news, log
        self.callers_close, self.idle = idle, idle * SILENT
        self.table: Slots[Connection] = Slots()
        self.unsent = Unsent(unsent, self.let_go)
        self.full = False
        self.listener = Listener(loop, address, self.room, self.accept)

    def accept(self, sock: socket.socket) -> None:
        Connection(self, sock)
        if self.full:
            self.full = False
            self.log("connections_room", connections=len(self.table))

    def room(self, descriptors: bool) -> bool:
        full = not descriptors or len(self.table) >= self.most
        if full and not self.full:
            self.full = True
            self.log("connections_full", connections=len(self.table))
        if full:
            # Who has been quiet the longest makes room.
            quiet = [c for c in self.table if not c.rpcs and not c.away]
            for connection in sorted(quiet, key=lambda c: c.stream.last)[: 1 + self.most // 16]:
                connection.goaway()
        return not full

    def let_go(self) -> None:
        """Many that read slowly fill the memory as well as one: the one with most to read goes."""
        worst = max(self.table, key=lambda c: len(c.stream.out))
        worst.stream.flush()
        if worst.stream.out:
            worst.stream.close("stalled")

    def set_idle(self, idle: float) -> None:
        """The module's limit; at its longest the gateways close by themselves."""
        self.idle = idle if idle < self.callers_close else self.callers_close * SILENT
        for connection in self.table:
            connection.rest()

    def leave(self) -> None:
        self.listener.close()
        for connection in self.table:
            connection.goaway(LEAVING)
