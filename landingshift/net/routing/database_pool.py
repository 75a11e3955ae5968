"""Makes calls to the shared database over a pool of links.

Calls are spread so that each link carries as few calls as possible, since a malformed or incomplete reply
fails all calls on its link.

Guarantee: a call that cannot have reached the database ends as `NO_CONNECTION`. A call that might have
reached the database but got no reply ends as `NO_RESPONSE` after its timeout, or as `CONNECTION_LOST` if its
link is lost.
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

MAX_UNSENT_BYTES = 1 << 20  # maximum unsent output of one link
# An idle link is closed after this time. The database might otherwise drop the link without notice, and the
# next call on the link would be lost.
MAX_IDLE_MS = 1000.0
MAX_LINKS = 24  # maximum number of links that are used for new calls
MAX_RETIRED_LINKS = 16  # maximum number of further links, each open only until its last call ends
MAX_REPLY_MS = 100.0  # maximum time from a reply's first byte to its last


class DatabaseEvents(Protocol):
    """Receives the outcomes of database calls."""

    def on_call_finished(self, rpc: RoutedRpc, outcome: Outcome, elapsed_ms: float, reply: bytes) -> None:
        """Handles the end of a database call of `rpc`, `elapsed_ms` after the start of the call."""


@dataclass(slots=True, eq=False)
class DatabaseCall:
    """A database call in flight."""

    rpc: RoutedRpc
    link: DatabaseLink
    started_ms: float
    stream_end: int  # offset in the link's output stream at which the request ends
    timer: Timer | None = None  # ends the call at its timeout


class DatabaseLink:
    """One connection to the database.

    Args:
        pool: The pool that the link belongs to.
        open_stream: Opens the link's stream and returns it, or returns the reason for a failure.
    """

    def __init__(self, pool: DatabasePool, open_stream: Callable[[DatabaseLink], Stream | str]) -> None:
        self.pool = pool
        self.decoder = wire.ReplyDecoder()
        self.calls: dict[bytes, DatabaseCall] = {}  # calls in flight on this link, keyed by RPC id
        self.partial_reply_timer: Timer | None = None  # set while a reply has been received only in part
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
        """Decodes received bytes and finishes the calls whose replies are complete."""
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
        """Closes the link if the partly received reply is not complete within `MAX_REPLY_MS`.

        A reply with a wrong length or an endless line would otherwise block all calls on the link.
        """
        self.partial_reply_timer = self.pool.loop.after(MAX_REPLY_MS, lambda: self.close("unfinished"))

    def _stop_partial_reply_timer(self) -> None:
        self.pool.loop.cancel(self.partial_reply_timer)
        self.partial_reply_timer = None

    def close(self, reason: str) -> None:
        """Closes the link immediately."""
        if self.stream is not None:
            self.stream.close(reason)

    def on_eof(self) -> None:
        """Closes the link when the database has closed its side."""
        self.close("closed")

    def on_closed(self, reason: str) -> None:
        """Removes the closed link from the pool and fails its calls."""
        self._stop_partial_reply_timer()
        self.pool.log("database_link_ended", reason=reason, calls=len(self.calls))
        self.pool.retire(self)
        sent_bytes = self.stream.sent_bytes if self.stream is not None else 0
        self.stream = None
        self.pool.open_count -= 1
        for call in list(self.calls.values()):
            # A request that was not sent completely cannot have run. Any other request might have run.
            never_ran = call.stream_end > sent_bytes
            self.pool.finish(call, Outcome.NO_CONNECTION if never_ran else Outcome.CONNECTION_LOST, b"")


class DatabasePool:
    """The links to the database and the calls on them.

    Args:
        address: The database's address; None if there is no database.
        log: Receives an event for each link that ends.

    Attributes:
        links: Links that are used for new calls.
        open_count: The number of open links, including retired links, which take no new calls.
        calls: The calls in flight, keyed by RPC; an RPC has at most one call in flight.
        used_links: For each open RPC, the links that its calls have used; late replies can arrive on them.
        cancelled: Links and RPC ids of the calls that were cancelled since the last flush.
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
        """Sets the receiver of call outcomes; must be called before the first database call."""
        self.events = events

    def call(self, rpc: RoutedRpc, timeout_ms: float) -> bool:
        """Starts the call that the RPC's run asks for; returns False if there is no link to send it on."""
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
        """Return a link for the RPC's next call; None if there is none.

        An idle link is preferred, then a new link if the limits allow one, then the link with the
        fewest calls. Among links with equally many calls, the most recently used link is chosen, so that
        surplus links become idle and close.

        Links that earlier calls of the RPC have used are skipped, because the reply to an earlier call might
        arrive twice. On the same link, the copy would be taken for the reply to the next call.
        """
        used = self.used_links.get(rpc, ())
        candidates = [link for link in self.links if link not in used]
        best = min(candidates, key=_preference, default=None)
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
        """Sends new calls to another address; calls in flight finish on their present links."""
        if address != self.address:
            self.address = address
            for link in list(self.links):
                self.retire(link)

    def retire(self, link: DatabaseLink) -> None:
        """Stops using the link for new calls; it is closed once its last call has ended."""
        if link in self.links:
            self.links.remove(link)
        if not link.calls:
            link.close("retired")

    def on_timeout(self, call: DatabaseCall) -> None:
        """Ends a call that has reached its timeout, and retires its link."""
        stream = call.link.stream
        never_ran = stream is None or call.stream_end > stream.sent_bytes
        self._cancel(call)
        self.retire(call.link)  # the link might hang although the database works
        outcome = Outcome.NO_CONNECTION if never_ran else Outcome.NO_RESPONSE
        self.events.on_call_finished(call.rpc, outcome, self._elapsed_ms(call), b"")

    def finish(self, call: DatabaseCall, outcome: Outcome, reply: bytes) -> None:
        """Ends a call that got its reply or lost its link, and reports its outcome."""
        self._forget(call)
        self.events.on_call_finished(call.rpc, outcome, self._elapsed_ms(call), reply)

    def cancel(self, rpc: RoutedRpc) -> None:
        """Cancels the RPC's call, if it has one."""
        call = self.calls.get(rpc)
        if call is not None:
            self._cancel(call)

    def forget_rpc(self, rpc: RoutedRpc) -> None:
        """Drops the record of the links that a closed RPC has used."""
        self.used_links.pop(rpc, None)

    def flush(self, is_calling: Callable[[bytes], bool]) -> None:
        """Sends the pending cancellations to the database.

        No cancellation is sent for an RPC that has a new call in flight, because the new call replaces the
        cancelled one.

        Args:
            is_calling: Returns whether the RPC with the given id has a call in flight.
        """
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
    """Return the sort key of a link: fewest calls first, then most recently used."""
    last_activity_ms = link.stream.last_activity_ms if link.stream is not None else 0.0
    return len(link.calls), -last_activity_ms
