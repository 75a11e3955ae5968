"""Calls to the shared database."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from landingshift.admission.interface import Outcome
from landingshift.net.protocol import database as wire
from landingshift.net.protocol.lines import ProtocolError
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.transport.loop import Loop, Timer
from landingshift.net.transport.stream import Address, Stream, connect

BOUND = 1 << 20
IDLE = 1000.0  # ms; an idle link may be closed or forgotten on the other side, and the next call lost with it
LINKS = 24  # links that take new calls
OLD = 16  # more that may be open until their last calls end
WHOLE = 100.0  # ms from a reply's first byte to its last


@dataclass(slots=True, eq=False)
class Call:
    rpc: RoutedRpc
    link: Link
    start: float
    end: int  # where it ends in the link's stream
    timer: Timer | None = None


class Link:
    def __init__(self, pool: Database, make: Callable[[Link], Stream | str]) -> None:
        self.pool, self.reader = pool, wire.ReplyDecoder()
        self.calls: dict[bytes, Call] = {}
        self.half: Timer | None = None  # set while a reply has begun and is not whole
        stream = make(self)
        self.stream = stream if isinstance(stream, Stream) else None
        if self.stream:
            pool.open += 1
            pool.loop.after(IDLE, self.rest)

    def rest(self) -> None:
        if self.stream is None:
            return
        idle = self.pool.loop.now_ms - self.stream.last_activity_ms
        if idle >= IDLE and not self.calls:
            self.pool.retire(self)
        if self.stream:
            self.pool.loop.after(max(IDLE / 4.0, IDLE - idle), self.rest)

    def on_data(self, data: bytes) -> None:
        try:
            for rid, outcome, reply in self.reader.feed(data):
                self.whole()
                call = self.calls.get(rid)
                if call is not None:
                    self.pool.over(call, outcome, reply)
        except ProtocolError as err:
            self.close(str(err))
        if self.reader.half and self.half is None and self.stream:
            # A length that does not fit or a line that does not end would hold up all calls on the link.
            self.half = self.pool.loop.after(WHOLE, lambda: self.close("unfinished"))

    def whole(self) -> None:
        self.pool.loop.cancel(self.half)
        self.half = None

    def close(self, reason: str) -> None:
        if self.stream:
            self.stream.close(reason)

    def on_eof(self) -> None:
        self.close("closed")

    def on_closed(self, reason: str) -> None:
        self.whole()
        self.pool.log("database_link_ended", reason=reason, calls=len(self.calls))
        self.pool.retire(self)
        sent = self.stream.sent_bytes if self.stream else 0
        self.stream = None
        self.pool.open -= 1
        for call in list(self.calls.values()):
            # Only what was not wholly sent is known not to have run.
            never = call.end > sent
            self.pool.over(call, Outcome.NO_CONNECTION if never else Outcome.CONNECTION_LOST, b"")


class Database:
    """As few calls on one link as can be: a reply that is spoilt, late or missing costs all that share it."""

    def __init__(
        self,
        loop: Loop,
        address: Address | None,
        told: Callable[[RoutedRpc, Outcome, float, bytes], None],
        log: Callable[..., None],
    ) -> None:
        self.loop, self.address, self.told, self.log = loop, address, told, log
        self.links: list[Link] = []
        self.open = 0  # links that are open, those that take no new calls included
        self.leaving: list[tuple[Link, bytes]] = []  # given up since the last flush

    def link(self, rpc: RoutedRpc) -> Link | None:
        """The one used last among those with fewest calls, so that the others grow old and go."""
        # A reply may come twice: on one link, the same id's next call could take the copy for its own.
        fit = [one for one in self.links if one not in rpc.stale]
        best = min(
            fit,
            key=lambda one: (len(one.calls), -one.stream.last_activity_ms if one.stream else 0.0),
            default=None,
        )
        if (best is None or best.calls) and len(self.links) < LINKS and self.open < LINKS + OLD:
            best = Link(self, self.connect)
            if best.stream is None:
                return None
            self.links.append(best)
        return best

    def connect(self, link: Link) -> Stream | str:
        return connect(self.loop, self.address, link, BOUND) if self.address else "unreachable"

    def call(self, rpc: RoutedRpc, allow: float) -> bool:
        """False where it is known at once that nothing ran."""
        link = self.link(rpc)
        if link is None or link.stream is None:
            return False
        link.stream.write(wire.call(rpc.rid, allow, rpc.need_body))
        rpc.stale.append(link)
        rpc.call = call = Call(rpc, link, self.loop.now_ms, link.stream.queued_bytes)
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
        """No new calls on it; it is closed once it has none."""
        if link in self.links:
            self.links.remove(link)
        if not link.calls:
            link.close("retired")

    def timeout(self, call: Call) -> None:
        stream = call.link.stream
        never = stream is None or call.end > stream.sent_bytes
        self.drop(call)
        self.retire(call.link)  # a link may hang while the database is well
        self.told(call.rpc, Outcome.NO_CONNECTION if never else Outcome.NO_RESPONSE, self.took(call), b"")

    def over(self, call: Call, outcome: Outcome, reply: bytes) -> None:
        self.forget(call)
        self.told(call.rpc, outcome, self.took(call), reply)

    def took(self, call: Call) -> float:
        return self.loop.now_ms - call.start

    def give_up(self, rpc: RoutedRpc) -> None:
        if rpc.call is not None:
            self.drop(rpc.call)

    def drop(self, call: Call) -> None:
        self.forget(call)
        self.leaving.append((call.link, call.rpc.rid))

    def forget(self, call: Call) -> None:
        self.loop.cancel(call.timer)
        call.link.calls.pop(call.rpc.rid, None)
        call.rpc.call = None
        if call.link not in self.links:
            self.retire(call.link)

    def flush(self, calling: Callable[[bytes], bool]) -> None:
        """Says which calls were given up, but for those whose next call has already said so."""
        for link, rid in self.leaving:
            if link.stream and not calling(rid):
                link.stream.write(wire.give_up(rid))
        self.leaving.clear()
