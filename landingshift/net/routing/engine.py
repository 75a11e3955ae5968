"""The link to the engine: kept open, attached again after a loss, nothing run twice for it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from landingshift.admission.interface import Idempotency
from landingshift.net.protocol import engine as wire
from landingshift.net.protocol.lines import ProtocolError
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.transport.loop import Loop, Timer
from landingshift.net.transport.stream import Address, Stream, connect

BOUND = 8 << 20  # more than all RPCs that fit into a server's memory can ask for
RETRY = 50.0  # ms between two tries to reach it
MOVE = 100.0  # ms that a link which is to be left has to prove what it was given
BREAK = 1500.0  # ms without a link before work counts as not getting done
SILENT = 2500.0  # ms without the answer that is due after which the link is given up
TESTS = 64  # deep checks that may be out


class News(Protocol):
    def engine_up(self, hello: wire.Hello) -> None: ...
    def done(self, done: wire.Done) -> None: ...
    def need(self, need: wire.Need) -> None: ...
    def refused(self, no: wire.No) -> None: ...
    def stats(self, values: list[float]) -> None: ...


@dataclass(slots=True, eq=False)
class Command:
    rpc: RoutedRpc
    data: bytes
    runs: bool  # starts work, which must not happen twice
    end: int = -1  # where it ends in the link's stream; -1 before it is written
    doubt: bool = False  # given to a link that broke: it may have arrived
    held_back: bool = False
    known: Callable[[], None] | None = None  # told once it has arrived and the engine knew the RPC


class Engine:
    def __init__(
        self, loop: Loop, address: Address, news: News, log: Callable[..., None], attach: bool = True
    ) -> None:
        """`attach` False: the link comes from another build."""
        self.loop, self.address, self.news, self.log = loop, address, news, log
        self.last = 0  # number of the last notice read
        self.links = self.tags = 0
        self.ready = self.met = self.greeted = self.moving = False
        self.stream: Stream | None = None
        self.next: Timer | None = None  # to the next try to reach it
        self.linked = self.lost = loop.now_ms  # when the link was made, and when the last one ended
        self.reader = wire.NoticeDecoder()
        self.unsure: deque[Command] = deque()  # in the order they were asked for
        self.stats: tuple[bytes, int] | None = None  # the tag that is out and what was written before it
        self.tests: dict[bytes, Callable[[bool], None]] = {}
        self.heard = loop.now_ms  # when all that was asked had last been answered
        if attach:
            self.attach()
        loop.after(SILENT / 2.0, self.listen)

    # The link

    def attach(self) -> None:
        self.next = None
        self.reader = wire.NoticeDecoder()
        self.linked = self.loop.now_ms
        stream = connect(self.loop, self.address, self, BOUND)
        if isinstance(stream, str):
            self.next = self.loop.after(RETRY, self.attach)
            return
        self.stream, self.heard = stream, self.loop.now_ms
        self.links += 1
        stream.write(wire.attach(self.last))

    def move(self, address: Address) -> None:
        """To another address, where runs and numbers of notices go on."""
        if address == self.address:
            return
        self.address = address
        if self.stream is None:
            self.loop.cancel(self.next)
            self.attach()
        elif self.moving:
            pass  # the link is being left already, for whatever address is told last
        elif not self.ready:
            self.stream.close("moved")
        else:
            # Left only once all that was said is known to have arrived: what is in doubt may not run again.
            stream, self.ready, self.moving = self.stream, False, True
            self.ask()
            self.loop.after(MOVE, lambda: stream.close("moved"))

    @property
    def working(self) -> bool:
        """A link that breaks and comes back is routine and says nothing of the work."""
        return self.ready or (self.met and self.loop.now_ms - self.lost < BREAK)

    def listen(self) -> None:
        """A link may hang without an end. Before the engine is up it owes nothing."""
        self.loop.after(SILENT / 2.0, self.listen)
        if self.stream and self.met and (self.stats or not self.greeted):
            if self.loop.now_ms - self.heard > SILENT:
                self.stream.close("silent")
        else:
            self.heard = self.loop.now_ms

    def on_data(self, data: bytes) -> None:
        try:
            for message in self.reader.feed(data):
                self.take(message)
        except ProtocolError as err:
            if self.stream:
                self.stream.close(str(err))

    def on_eof(self) -> None:
        if self.stream:
            self.stream.close("closed")

    def on_closed(self, reason: str) -> None:
        sent = self.stream.sent_bytes if self.stream else 0
        if reason not in ("refused", "unreachable"):
            self.log("engine_link_lost", reason=reason, notice=self.last, unsure=len(self.unsure))
        at_once = self.greeted and self.loop.now_ms - self.linked > RETRY
        if self.greeted:
            self.lost = self.loop.now_ms
        self.stream, self.ready, self.greeted, self.stats, self.moving = None, False, False, None, False
        for command in self.unsure:
            command.doubt = command.doubt or 0 <= command.end <= sent
            command.end = -1
        self.give_up_tests()
        self.next = self.loop.after(0.0 if at_once else RETRY, self.attach)

    def give_up_tests(self) -> None:
        tests, self.tests = self.tests, {}
        for told in tests.values():
            told(self.working)

    # What it tells

    def take(self, message: wire.Message) -> None:
        match message:
            case wire.Done(number=number) | wire.Need(number=number) | wire.Note(number=number):
                if number <= self.last:
                    return  # told again by a new link: it must not count twice
                if number > self.last + 1:
                    self.log("notices_missing", after=self.last, before=number)
                self.last = number
                if isinstance(message, wire.Done):
                    self.news.done(message)
                elif isinstance(message, wire.Need):
                    self.news.need(message)
            case wire.Hello():
                self.log("engine_link", link=self.links, cold=message.cold, age=message.age, notice=self.last)
                self.greeted = True
                if not self.met:
                    self.met = True
                    self.news.engine_up(message)
                # What ended while there was no link comes before the answer to this: only then is it known
                # which commands are still to be said.
                self.ask()
            case wire.Stats():
                if self.stats is None or self.stats[0] != message.tag:
                    return
                before, self.stats = self.stats[1], None
                self.heard = self.loop.now_ms
                while self.unsure and 0 <= self.unsure[0].end <= before:
                    self.settle(self.unsure.popleft())
                self.news.stats(message.values)
                if self.moving and self.stream:
                    if any(c.end >= 0 for c in self.unsure):
                        self.ask()
                    else:
                        self.stream.close("moved")
                elif not self.ready:
                    self.resend()
                if any(c.known for c in self.unsure):
                    self.ask()  # a caller waits for it
            case wire.Tested():
                told = self.tests.pop(message.tag, None)
                if told:
                    told(message.good)
            case wire.No():
                self.news.refused(message)

    # What it is told

    def ask(self) -> None:
        """Asks for the gauges; its answer also shows that all said before has arrived."""
        if self.stream and self.greeted and self.stats is None:
            self.tags += 1
            self.heard = self.loop.now_ms
            tag = b"s%d" % self.tags
            self.stats = tag, self.stream.queued_bytes
            self.stream.write(wire.stat(tag))

    def test(self, told: Callable[[bool], None]) -> None:
        if not self.ready or not self.stream or len(self.tests) >= TESTS:
            told(self.working and len(self.tests) < TESTS)
            return
        self.tags += 1
        tag = b"t%d" % self.tags
        self.tests[tag] = told
        self.stream.write(wire.test(tag))

    def say(self, rpc: RoutedRpc, data: bytes, runs: bool = False) -> None:
        rpc.command = Command(rpc, data, runs)
        self.unsure.append(rpc.command)
        if self.ready:
            self.write(rpc.command)

    def halt(self, rpc: RoutedRpc) -> None:
        if self.ready and self.stream:  # the module says it again while it has no effect
            self.stream.write(wire.halt(rpc.rid))

    def write(self, command: Command) -> None:
        if self.stream:
            self.stream.write(command.data)
            command.end = self.stream.queued_bytes

    def know(self, rpc: RoutedRpc, known: Callable[[], None]) -> None:
        """Asks whether the RPC came to this machine; one that did not is answered with NO.

        No notice has the number 0, so that an RPC that the engine knows is not changed by this.
        """
        self.say(rpc, wire.skip(rpc.rid, 0))
        assert rpc.command is not None
        rpc.command.known = known
        self.ask()

    def settle(self, command: Command) -> None:
        if command.rpc.command is command:
            command.rpc.command = None
            if command.known is not None and not command.rpc.closed:
                command.known()

    def resend(self) -> None:
        self.ready = True
        live = [c for c in self.unsure if c.rpc.command is c and not c.rpc.closed]
        for command in live:
            # One that runs and was given to a lost link may have run to its end since: no effect twice.
            again = command.rpc.method.idempotency is Idempotency.IDEMPOTENT or command.rpc.answered
            command.held_back = command.runs and command.doubt and not again
        self.unsure = deque(c for c in live if not c.held_back)
        for command in self.unsure:
            self.write(command)
        self.log("engine_ready", link=self.links, said_again=len(self.unsure), of=len(live))

    def answered(self, rpc: RoutedRpc) -> None:
        """An RPC that is over can't be run any more: what was held back is said, to hear how it ended."""
        if rpc.command and rpc.command.held_back:
            self.say(rpc, rpc.command.data, True)
