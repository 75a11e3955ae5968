"""Calls to the shared database."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from landingshift.interface import Outcome
from landingshift.net.protocol import database as wire
from landingshift.net.protocol.lines import Broken
from landingshift.net.routing.records import Routed
from landingshift.net.transport.loop import Loop, Timer
from landingshift.net.transport.stream import Address, Stream, connect

BOUND = 1 << 20
IDLE = 7000.0  # ms; the database closes at 10 s, and a call that crosses that close would be lost
LINKS = 4
SILENT = 8  # calls in a row without an answer after which another link is tried


@dataclass(slots=True, eq=False)
class Call:
    rpc: Routed
    link: Link
    start: float
    end: int  # where it ends in the link's stream
    timer: Timer | None = None


class Link:
    def __init__(self, pool: Database) -> None:
        self.pool, self.reader = pool, wire.Reader()
        self.calls: dict[bytes, Call] = {}
        self.silent = 0
        stream = connect(pool.loop, pool.address, self, BOUND) if pool.address else "unreachable"
        self.stream = stream if isinstance(stream, Stream) else None
        if self.stream:
            pool.loop.after(IDLE, self.rest)

    def rest(self) -> None:
        if self.stream is None:
            return
        idle = self.pool.loop.now - self.stream.last
        if idle >= IDLE and not self.calls:
            self.pool.retire(self)
            self.stream.finish("idle")
        else:
            self.pool.loop.after(max(IDLE / 4.0, IDLE - idle), self.rest)

    def data(self, data: bytes) -> None:
        self.silent = 0
        try:
            for rid, outcome, reply in self.reader.feed(data):
                call = self.calls.get(rid)
                if call is not None:
                    self.pool.over(call, outcome, reply)
        except Broken as err:
            if self.stream:
                self.stream.close(str(err))

    def eof(self) -> None:
        if self.stream:
            self.stream.close("closed")

    def ended(self, reason: str) -> None:
        if reason != "idle":
            self.pool.log("database_link_ended", reason=reason, calls=len(self.calls))
        self.pool.retire(self)
        sent = self.stream.sent if self.stream else 0
        self.stream = None
        for call in list(self.calls.values()):
            # Only what was not wholly sent is known not to have run.
            never = call.end > sent
            self.pool.over(call, Outcome.NO_CONNECTION if never else Outcome.CONNECTION_LOST, b"")


class Database:
    def __init__(
        self,
        loop: Loop,
        address: Address | None,
        told: Callable[[Routed, Outcome, float, bytes], None],
        log: Callable[..., None],
    ) -> None:
        self.loop, self.address, self.told, self.log = loop, address, told, log
        self.links: list[Link] = []
        self.leaving: list[tuple[Link, bytes]] = []  # given up since the last flush

    def call(self, rpc: Routed, allow: float) -> bool:
        """False where it is known at once that nothing ran."""
        # The same id on the same link could take the late reply of the call before for its own.
        link = next((one for one in self.links if one not in rpc.stale), None)
        if link is None:
            if len(self.links) >= LINKS:
                self.retire(self.links[0])
            link = Link(self)
            if link.stream is None:
                return False
            self.links.append(link)
        assert link.stream is not None
        link.stream.write(wire.call(rpc.rid, allow, rpc.need_body))
        rpc.call = call = Call(rpc, link, self.loop.now, link.stream.queued)
        link.calls[rpc.rid] = call
        call.timer = self.loop.after(allow, lambda: self.timeout(call))
        return True

    def move(self, address: Address | None) -> None:
        """New calls go to another address; those under way end where they are."""
        if address != self.address:
            self.address = address
            for link in list(self.links):
                self.retire(link)

    def retire(self, link: Link) -> None:
        """No new calls on it; it is closed once it has none and has been idle."""
        if link in self.links:
            self.links.remove(link)

    def timeout(self, call: Call) -> None:
        stream = call.link.stream
        never = stream is None or call.end > stream.sent
        call.link.silent += 1
        if call.link.silent >= SILENT or (stream and stream.connecting):
            self.retire(call.link)  # a link may hang while the database is well
        self.drop(call)
        self.told(call.rpc, Outcome.NO_CONNECTION if never else Outcome.NO_ANSWER, self.took(call), b"")

    def over(self, call: Call, outcome: Outcome, reply: bytes) -> None:
        self.forget(call)
        self.told(call.rpc, outcome, self.took(call), reply)

    def took(self, call: Call) -> float:
        return self.loop.now - call.start

    def give_up(self, rpc: Routed) -> None:
        if rpc.call is not None:
            self.drop(rpc.call)

    def drop(self, call: Call) -> None:
        self.forget(call)
        call.rpc.stale.append(call.link)
        self.leaving.append((call.link, call.rpc.rid))

    def forget(self, call: Call) -> None:
        self.loop.cancel(call.timer)
        call.link.calls.pop(call.rpc.rid, None)
        call.rpc.call = None

    def flush(self, calling: Callable[[bytes], bool]) -> None:
        """Says which calls were given up, but for those whose next call has already said so."""
        for link, rid in self.leaving:
            if link.stream and not calling(rid):
                link.stream.write(wire.give_up(rid))
        self.leaving.clear()
