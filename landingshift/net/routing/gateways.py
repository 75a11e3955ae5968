"""The gateways' connections: accepted, read, answered and closed."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from landingshift.net.protocol import gateway as wire
from landingshift.net.routing.dedup import Entry
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.slots import Slots
from landingshift.net.transport.stream import PAUSE, Address, Listener, Stream, Unsent

OPEN = 32  # RPCs that a connection may have open
BOUND = OPEN * 5000  # what a gateway that keeps to that can leave unread
AWAY = 1500.0  # ms that a gateway has to close a connection after goaway
SILENT = 1.25  # times the gateways' own limit on idle connections: who is quiet for longer keeps to none
LEAVING = 250.0  # the same while draining
QUIET = 1000.0  # ms that a connection may last which has brought nothing that the engine knew
WHOLE = 2000.0  # ms from a message's first byte to its last
LOOK = 50.0  # ms between two looks at a connection, at the least
RESET = 30.0  # ms in which a gateway that has gone answers a write with a reset


class News(Protocol):
    def read(self, connection: Connection, call: wire.Request) -> None: ...
    def hangup(self, rpc: RoutedRpc) -> None: ...
    def probe(self, connection: Connection, call: wire.Request) -> None: ...


class Connection:
    def __init__(self, gateways: Gateways, stream: Callable[[Connection], Stream]) -> None:
        """`stream` makes the connection's own."""
        self.gateways, self.reader = gateways, wire.MessageDecoder()
        self.rpcs: dict[int, RoutedRpc] = {}  # open, by message number
        self.read = self.probes = self.bad = self.cut_off = 0
        self.fault = ""  # the field that the last bad RPC had wrong
        self.away = 0.0  # after goaway: when it is closed if the gateway does not
        self.proven = False  # once the engine has known an RPC of it
        self.doubted: dict[RoutedRpc, Entry] = {}  # repeats that are answered once it is proven
        self.born = self.heard = (
            gateways.loop.now_ms
        )  # since when it is here, and its last whole message or answer
        self.half = 0.0  # when the message that is not whole yet began
        self.stream = stream(self)
        self.slot = gateways.connections.put(self)
        self.turn = gateways.loop.passes_read
        self.timer = gateways.loop.after(QUIET, self.rest)

    def on_data(self, data: bytes) -> None:
        messages = self.reader.feed(data)
        if messages:
            self.heard, self.half = self.gateways.loop.now_ms, 0.0
        for message in messages:
            if self.stream.close_reason or not self.stream.is_open:
                return
            if isinstance(message, wire.CancelNotification):
                rpc = self.rpcs.pop(message.number, None)
                if rpc is not None:
                    self.gateways.news.hangup(rpc)
            elif isinstance(message, wire.ProtocolFailure):
                self.cut(message.reason)
            elif message.method == "probe":
                self.probes += 1
                self.gateways.news.probe(self, message)
            elif message.number in self.rpcs:
                self.cut("number_twice")  # nobody could tell whose the answer is
            else:
                self.read += 1
                self.gateways.news.read(self, message)
        if self.reader.rest and not self.half and self.stream.is_open:
            self.half = self.gateways.loop.now_ms
            self.arm(WHOLE)

    def cut(self, reason: str) -> None:
        """Whoever breaks the rules is owed no more than what is written, but that has to reach it.

        Bytes of it that are not read yet make a close a reset, which would take those answers along.
        """
        self.cut_off += len(self.rpcs)
        self.hangup()
        self.stream.close_gracefully(reason)

    def drop(self, reason: str) -> None:
        """Closes at once one that nobody needs and nothing is owed to."""
        self.stream.flush()
        self.stream.close(reason)

    def crowd_out(self) -> bool:
        """Whether one that proved nothing could be closed: not if it has brought an RPC since it was read."""
        self.read_on()
        if self.stream.close_reason or not self.rpcs:
            self.drop("crowded")
        return not self.stream.is_open

    def read_on(self) -> None:
        """What waits in the socket is taken in before a close: the close would reset it away unread."""
        if self.stream.is_open and self.stream.is_reading:
            self.stream.read()

    def turn_down(self, number: int, fault: str, data: bytes) -> None:
        """An RPC that never was one: no gateway sends it, so it ends a connection that proved nothing."""
        self.bad, self.fault = self.bad + 1, fault
        self.answer(number, data)
        if not self.proven:
            self.cut("bad_rpc")

    def hangup(self) -> None:
        rpcs, self.rpcs = self.rpcs, {}
        for rpc in rpcs.values():
            self.gateways.news.hangup(rpc)

    def on_eof(self) -> None:
        if not self.rpcs:
            self.stream.close_gracefully("closed_by_gateway")
        else:
            # It may still read. Where it does not, this makes it answer with a reset.
            self.goaway()
            self.gateways.loop.after(RESET, self.stream.check)

    def on_closed(self, reason: str) -> None:
        self.gateways.connections.drop(self.slot)
        self.gateways.loop.cancel(self.timer)
        self.gateways.log(
            "connection",
            reason=reason,
            age=round(self.gateways.loop.now_ms - self.born),
            rpcs=self.read,
            probes=self.probes,
            open=len(self.rpcs) + self.cut_off,
            bad=self.bad,
            fault=self.fault,
        )
        self.hangup()

    def answer(self, number: int, data: bytes) -> None:
        self.rpcs.pop(number, None)
        self.heard = self.gateways.loop.now_ms
        self.stream.write(data)
        if not self.stream.is_reading and not self.rpcs:
            self.stream.close_gracefully("closed_by_gateway")
        elif self.gateways.leaving and not self.rpcs:
            # The last answers go out shortly before the stop: their connections' close can't wait for a look.
            self.arm(0.0)

    def goaway(self, within: float = AWAY) -> None:
        if not self.stream.is_open:
            return
        if not self.away:
            self.stream.write(wire.GOAWAY)
        self.away = self.gateways.loop.now_ms + within
        self.arm(within)

    def arm(self, delay: float) -> None:
        self.gateways.loop.cancel(self.timer)
        self.timer = self.gateways.loop.after(delay, self.rest)

    def rest(self) -> None:
        """A quiet connection is asked to go, and closed if it does not; one that proved nothing is closed."""
        if self.stream.close_reason or not self.stream.is_open:
            return
        if self.left() <= 1.0:
            self.stream.flush()
            self.read_on()  # may bring an RPC, or its end
            if self.stream.close_reason or not self.stream.is_open:
                return
        now, left = self.gateways.loop.now_ms, self.left()
        if left > 1.0:
            self.arm(max(LOOK, left))
        elif self.half and self.half + WHOLE - now <= 1.0:
            self.cut("unfinished")
        elif self.away and self.stream.output and now < self.away + AWAY:
            self.arm(LOOK)  # it has not been told yet that it is to go, and what it sends until then counts
        elif self.away:
            self.stream.close_gracefully("goaway")
        elif self.proven or (self.read and not self.bad):
            self.goaway()
        else:
            self.drop("quiet")

    def left(self) -> float:
        """ms until it is looked at again; not over 1 where it may be closed."""
        now, idle = self.gateways.loop.now_ms, self.gateways.idle
        left = (
            self.away or (self.stream.last_activity_ms + idle if self.proven else self.heard + QUIET)
        ) - now
        whole = self.half + WHOLE - now if self.half else WHOLE
        # However long half a message has stood: closing would lose the answers that are owed.
        return max(LOOK, min(left, whole)) if self.rpcs else min(left, whole)


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
        sock: socket.socket | None = None,
    ) -> None:
        self.loop, self.most, self.news, self.log = loop, most, news, log
        self.callers_close, self.idle = idle, idle * SILENT
        self.connections: Slots[Connection] = Slots()
        self.unsent = Unsent(unsent, self.let_go)
        self.full = self.leaving = False
        self.listener = Listener(loop, address, self.room, self.accept, sock)

    def accept(self, sock: socket.socket) -> None:
        connection = Connection(
            self, lambda c: Stream(self.loop, sock, c, BOUND, unsent=self.unsent, reads=1)
        )
        if self.leaving:
            connection.goaway(LEAVING)
        elif len(self.connections) > self.most:
            self.make_room()
        if self.full:
            self.full = False
            self.log("connections_room", connections=len(self.connections))

    def room(self, descriptors: bool) -> bool:
        """Whether one more may come: those that have proved nothing make room for it, others only in time."""
        if descriptors and len(self.connections) < self.most:
            return True
        if descriptors and any(not c.proven for c in self.quiet()):
            return True  # it makes room once it is here
        if self.make_room():
            return True
        if not self.full:
            self.full = True
            self.log("connections_full", connections=len(self.connections))
        return False

    def quiet(self) -> list[Connection]:
        # One that has just come may have brought an RPC that is not read yet: it would be lost.
        read = self.loop.passes_read - 2
        return [c for c in self.connections if not c.rpcs and not c.away and c.turn <= read]

    def make_room(self) -> bool:
        """Who is quiet and has proved nothing goes at once; where all have, some are asked to."""
        quiet = sorted(self.quiet(), key=lambda c: (c.proven, c.heard))[: 1 + self.most // 16]
        gone = [c.crowd_out() for c in quiet if not c.proven]
        if not any(gone) and all(c.proven or c.rpcs for c in self.connections):
            for connection in quiet:
                connection.goaway()
        return any(gone)

    def let_go(self) -> None:
        """Many that read slowly fill the memory as well as one: the one with most to read goes."""
        worst = max(self.connections, key=lambda c: len(c.stream.output))
        worst.stream.flush()
        if worst.stream.output:
            worst.stream.close("stalled")

    def set_idle(self, idle: float) -> None:
        """The module's limit; at its longest the gateways close by themselves."""
        self.idle = idle if idle < self.callers_close else self.callers_close * SILENT
        for connection in self.connections:
            connection.rest()

    def leave(self) -> None:
        """All are asked to go; no more come once those that wait to be accepted are here."""
        self.leaving = True
        # Closed before anyone hears it: they come again at once, and a refusal proves that nothing ran.
        self.close()
        for connection in self.connections:
            connection.goaway(LEAVING)

    def close(self) -> None:
        # What waits there counts as received: a close over it would lose it, however full the table is.
        if self.listener.drain():
            self.listener.close()
        else:
            self.loop.after(PAUSE, self.close)

    def gone(self) -> bool:
        return not self.listener.is_open and len(self.connections) == 0
