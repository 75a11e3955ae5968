"""Calls to the shared database, over a pool of links.

As few calls on one link as can be: a reply that is malformed, late or missing costs all calls that share the
link. Guarantee: a call that is not known to have reached the database ends as `NO_CONNECTION`; one whose fate
is unknown ends as `NO_RESPONSE` or `CONNECTION_LOST`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from landingshift.admission.interface import Outcome
from landingshift.net.protocol import database as wire
from landingshift.net.protocol.lines import ProtocolError
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.transport.loop import Loop, Timer
from landingshift.net.transport.stream import Address, Stream, connect

MAX_UNSENT_BYTES = 1 << 20
# An idle link may be closed or forgotten on the other side, and the next call be lost with it.
MAX_IDLE_MS = 1000.0
MAX_LINKS = 24  # that take new calls
MAX_RETIRED_LINKS = 16  # that may be open besides until their last calls end
MAX_REPLY_MS = 100.0  # from a reply's first byte to its last


class DatabaseEvents(Protocol):
    """What becomes of calls."""

    def on_call_finished(self, rpc: RoutedRpc, outcome: Outcome, elapsed_ms: float, reply: bytes) -> None:
        """The RPC's call is over."""


@dataclass(slots=True, eq=False)
class DatabaseCall:
    """A call under way."""

    rpc: RoutedRpc
    link: DatabaseLink
    started_ms: float
    stream_end: int  # where it ends in the link's stream
    timer: Timer | None = None


class DatabaseLink:
    """One connection to the database.

    Args:
        pool: The pool that the link belongs to.
        open_stream: Makes the link's stream; returns the reason where there is none.
    """

    def __init__(self, pool: DatabasePool, open_stream: Callable[[DatabaseLink], Stream | str]) -> None:
        self.pool = pool
        self.decoder = wire.ReplyDecoder()
        self.calls: dict[bytes, DatabaseCall] = {}  # under way, by the RPC's id
        self.partial_reply_timer: Timer | None = None  # set while a reply has begun and is not complete
        stream = open_stream(self)
        self.stream = stream if isinstance(stream, Stream) else None
        if self.stream is not None:
            pool.open_count += 1
            pool.loop.after(MAX_IDLE_MS, self._check_idle)

    def _check_idle(self) -> None:
        if self.stream is None:
            return
        idle_ms = self.pool.loop.now_ms - self.stream.last_activity_ms
        if idle_ms >= MAX_IDLE_MS and not self.calls:
            self.pool.retire(self)
        if self.stream is not None:
            self.pool.loop.after(max(MAX_IDLE_MS / 4.0, MAX_IDLE_MS - idle_ms), self._check_idle)

    def on_data(self, data: bytes) -> None:
        """Bytes came on the link."""
        try:
            for reply in self.decoder.feed(data):
                self._stop_partial_reply_timer()
                call = self.calls.get(reply.rpc_id)
                if call is not None:
                    self.pool.finish(call, reply.outcome, reply.rows)
        except ProtocolError as err:
            self.close(err.reason)
        if self.decoder.has_partial_reply and self.partial_reply_timer is None and self.stream is not None:
            self.start_partial_reply_timer()

    def start_partial_reply_timer(self) -> None:
        """Bounds the time of a reply: a wrong length or an endless line would hold up all calls on it."""
        self.partial_reply_timer = self.pool.loop.after(MAX_REPLY_MS, lambda: self.close("unfinished"))

    def _stop_partial_reply_timer(self) -> None:
        self.pool.loop.cancel(self.partial_reply_timer)
        self.partial_reply_timer = None

    def close(self, reason: str) -> None:
        """Closes the link at once."""
        if self.stream is not None:
            self.stream.close(reason)

    def on_eof(self) -> None:
        """The database writes no more on the link."""
        self.close("closed")

    def on_closed(self, reason: str) -> None:
        """The link ended: its calls are over."""
        self._stop_partial_reply_timer()
        self.pool.log("database_link_ended", reason=reason, calls=len(self.calls))
        self.pool.retire(self)
        sent_bytes = self.stream.sent_bytes if self.stream is not None else 0
        self.stream = None
        self.pool.open_count -= 1
        for call in list(self.calls.values()):
            # Only what was not completely sent is known not to have run.
            never_ran = call.stream_end > sent_bytes
            self.pool.finish(call, Outcome.NO_CONNECTION if never_ran else Outcome.CONNECTION_LOST, b"")


class DatabasePool:
    """The links to the database and the calls on them.

    Args:
        address: The database's address; None where there is no database.
        log: Called with links that ended.

    Attributes:
        links: Links that take new calls.
        open_count: Links that are open, those that take no new calls included.
        calls: The call under way of each RPC that has one.
        used_links: Links on which a late reply to an open RPC may still come.
        cancelled: Calls given up since the last flush: their links and RPC ids.
    """

    def __init__(self, loop: Loop, address: Address | None, log: Callable[..., None]) -> None:
        self.loop = loop
        self.address = address
        self.log = log
        self.events: DatabaseEvents
        self.links: list[DatabaseLink] = []
        self.open_count = 0
        self.calls: dict[RoutedRpc, DatabaseCall] = {}
        self.used_links: dict[RoutedRpc, list[DatabaseLink]] = {}
        self.cancelled: list[tuple[DatabaseLink, bytes]] = []

    def start(self, events: DatabaseEvents) -> None:
        """Sets the receiver of the ends of calls; called before the first call."""
        self.events = events

    def call(self, rpc: RoutedRpc, timeout_ms: float) -> bool:
        """Makes the call that the RPC's run asks for; False where it is known at once that nothing ran."""
        link = self._choose_link(rpc)
        if link is None or link.stream is None:
            return False
        link.stream.write(wire.encode_call(rpc.rpc_id, timeout_ms, rpc.call_request))
        self.used_links.setdefault(rpc, []).append(link)
        call = DatabaseCall(rpc, link, self.loop.now_ms, link.stream.queued_bytes)
        self.calls[rpc] = call
        link.calls[rpc.rpc_id] = call
        call.timer = self.loop.after(timeout_ms, lambda: self.on_timeout(call))
        return True

    def _choose_link(self, rpc: RoutedRpc) -> DatabaseLink | None:
        """The link used last among those with fewest calls, so that the others grow old and go.

        A reply may come twice: on one link, the next call of the same RPC could take the copy for its own.
        """
        used = self.used_links.get(rpc, ())
        fit = [link for link in self.links if link not in used]
        best = min(fit, key=_preference, default=None)
        has_capacity = len(self.links) < MAX_LINKS and self.open_count < MAX_LINKS + MAX_RETIRED_LINKS
        if (best is None or best.calls) and has_capacity:
            best = DatabaseLink(self, self._connect)
            if best.stream is None:
                return None
            self.links.append(best)
        return best

    def _connect(self, link: DatabaseLink) -> Stream | str:
        if self.address is None:
            return "unreachable"
        return connect(self.loop, self.address, link, MAX_UNSENT_BYTES)

    def change_address(self, address: Address | None) -> None:
        """New calls go to another address; those under way end where they are."""
        if address != self.address:
            self.address = address
            for link in list(self.links):
                self.retire(link)

    def retire(self, link: DatabaseLink) -> None:
        """Puts no new calls on the link; it is closed once it has none."""
        if link in self.links:
            self.links.remove(link)
        if not link.calls:
            link.close("retired")

    def on_timeout(self, call: DatabaseCall) -> None:
        """The call has taken all the time that it had."""
        stream = call.link.stream
        never_ran = stream is None or call.stream_end > stream.sent_bytes
        self._cancel(call)
        self.retire(call.link)  # a link may hang while the database is well
        outcome = Outcome.NO_CONNECTION if never_ran else Outcome.NO_RESPONSE
        self.events.on_call_finished(call.rpc, outcome, self._elapsed_ms(call), b"")

    def finish(self, call: DatabaseCall, outcome: Outcome, reply: bytes) -> None:
        """The call is over by a reply or by the end of its link."""
        self._forget(call)
        self.events.on_call_finished(call.rpc, outcome, self._elapsed_ms(call), reply)

    def cancel(self, rpc: RoutedRpc) -> None:
        """Nobody waits for the RPC's call any more, if it has one."""
        call = self.calls.get(rpc)
        if call is not None:
            self._cancel(call)

    def forget_rpc(self, rpc: RoutedRpc) -> None:
        """The RPC is closed: it makes no more calls."""
        self.used_links.pop(rpc, None)

    def flush(self, is_calling: Callable[[bytes], bool]) -> None:
        """Cancels the calls that were given up, but for RPCs whose next call replaces them."""
        for link, rpc_id in self.cancelled:
            if link.stream is not None and not is_calling(rpc_id):
                link.stream.write(wire.encode_cancel(rpc_id))
        self.cancelled.clear()

    def _elapsed_ms(self, call: DatabaseCall) -> float:
        return self.loop.now_ms - call.started_ms

    def _cancel(self, call: DatabaseCall) -> None:
        self._forget(call)
        self.cancelled.append((call.link, call.rpc.rpc_id))

    def _forget(self, call: DatabaseCall) -> None:
        self.loop.cancel(call.timer)
        call.link.calls.pop(call.rpc.rpc_id, None)
        self.calls.pop(call.rpc, None)
        if call.link not in self.links:
            self.retire(call.link)


def _preference(link: DatabaseLink) -> tuple[int, float]:
    """Sorts links: fewest calls first, then the one used last."""
    last_activity_ms = link.stream.last_activity_ms if link.stream is not None else 0.0
    return len(link.calls), -last_activity_ms
