"""Non-blocking TCP: streams with partial writes and bounded buffers.

Guarantee: what was written before a graceful close reaches a peer that reads, or the close reason says that
it did not. A peer that stops reading costs no more than the stream's bound and the time that it may linger.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from selectors import EVENT_READ, EVENT_WRITE
from typing import Protocol

from landingshift.net.transport.loop import Loop, Timer

READ_BYTES = 16384
READS_PER_PASS = 8  # taken from one stream before the others have their turn
LINGER_MS = 1000.0  # that the other side has to close after we have, or to take some of what it is owed
MAX_LINGERS = 10  # times that it may take some and no more
MAX_DISCARDED_BYTES = 65536  # taken off a connection after our half-close, before a close over the rest
IP_BIND_ADDRESS_NO_PORT = 24  # Linux: the port is chosen once the other side is known, so that they last
ANY_ADDRESS = "0.0.0.0"
Address = tuple[str, int]


class StreamOwner(Protocol):
    """Called with what comes on a stream."""

    def on_data(self, data: bytes) -> None:
        """Bytes came."""

    def on_eof(self) -> None:
        """The other side writes no more."""

    def on_closed(self, reason: str) -> None:
        """The stream is closed; `reason` is a code for the log."""


class NoOwner:
    """The owner of a closed stream."""

    def on_data(self, data: bytes) -> None:
        """Ignores it."""

    def on_eof(self) -> None:
        """Ignores it."""

    def on_closed(self, reason: str) -> None:
        """Ignores it."""


NO_OWNER = NoOwner()


class UnsentBudget:
    """What many streams together have not got rid of.

    Args:
        max_bytes: The bound past which some of it must go.
        on_exceeded: Lets some of it go.
    """

    def __init__(self, max_bytes: int, on_exceeded: Callable[[], None]) -> None:
        self.max_bytes = max_bytes
        self.on_exceeded = on_exceeded
        self.used_bytes = 0

    def add(self, count: int) -> None:
        """Counts bytes that were queued, or with a negative count sent or given up."""
        self.used_bytes += count
        if count > 0 and self.used_bytes > self.max_bytes:
            self.on_exceeded()


class Stream:
    """A connection that is read by its owner and written at the end of each pass of the loop.

    Args:
        sock: The socket, non-blocking.
        owner: Called with what comes.
        max_unsent_bytes: The bound on queued bytes, past which the stream is closed as stalled.
        is_connecting: The connection is not made yet.
        unsent_budget: Shared with other streams.
        reads_per_pass: How often it is read before others have their turn.

    Attributes:
        is_open: Not closed yet.
        is_reading: The other side has not ended its side.
        close_reason: Set once it is to close gracefully or is closed.
        output: Queued and not sent.
        queued_bytes: Since the start.
        sent_bytes: Since the start; only what is sent may have arrived.
        last_activity_ms: The time at which bytes last went either way.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        owner: StreamOwner,
        max_unsent_bytes: int,
        is_connecting: bool = False,
        unsent_budget: UnsentBudget | None = None,
        reads_per_pass: int = READS_PER_PASS,
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.owner: StreamOwner = owner
        self.max_unsent_bytes = max_unsent_bytes
        self.unsent_budget = unsent_budget
        self.reads_per_pass = reads_per_pass
        self.is_connecting = is_connecting
        self.is_reading = True
        self.is_open = True
        self.close_reason = ""
        self.watched_mask = -1  # what the loop watches it for
        self.output = bytearray()
        self.queued_bytes = 0
        self.sent_bytes = 0
        self.discarded_bytes = 0  # after our half-close
        self.linger_count = 0
        self.sent_bytes_at_linger = 0  # when the current wait for the other side began
        self.last_activity_ms = loop.now_ms
        self.linger_timer: Timer | None = None
        self.update_watch()

    def update_watch(self) -> None:
        """Has the loop watch the socket for what the stream can do with it now."""
        mask = EVENT_READ if self.is_reading and not self.is_connecting else 0
        if self.is_connecting or self.output:
            mask |= EVENT_WRITE
        if mask != self.watched_mask:
            self.watched_mask = mask
            self.loop.watch(self.sock.fileno(), mask, self)

    def on_ready(self, mask: int) -> None:
        """The socket can be read or written, or the connection is made or failed."""
        if self.is_connecting:
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self.close(_connect_failure(code))
                return
            self.is_connecting = False
            self.flush()
        elif mask & EVENT_WRITE:
            self.flush()
        if mask & EVENT_READ and self.is_open and not self.is_connecting:
            self.read()

    # Reading

    def read(self) -> None:
        """Takes what has come, up to the stream's turn."""
        for _ in range(self.reads_per_pass):
            try:
                data = self.sock.recv(READ_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.close("reset")
                return
            if not data:
                self._on_eof()
                return
            self._on_data(data)
            if not self.is_open or len(data) < READ_BYTES:
                return

    def _on_eof(self) -> None:
        self.is_reading = False
        self.update_watch()
        if self.close_reason:
            self.close(self.close_reason)
        else:
            self.owner.on_eof()

    def _on_data(self, data: bytes) -> None:
        self.last_activity_ms = self.loop.now_ms
        if not self.close_reason:
            self.owner.on_data(data)
            return
        # After our half-close: it can't be answered any more, so it must not be acted on either.
        self.discarded_bytes += len(data)
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.close(self.close_reason)

    # Writing

    def write(self, data: bytes) -> None:
        """Queues; the loop sends at the end of its pass."""
        if not self.is_open or self.close_reason:
            return
        self.output += data
        self.queued_bytes += len(data)
        self.loop.pending_writers[self] = None
        if self.unsent_budget:
            self.unsent_budget.add(len(data))
        if len(self.output) > self.max_unsent_bytes:
            self.flush()
            if len(self.output) > self.max_unsent_bytes:  # a peer that stops reading must not fill the memory
                self.close("stalled")

    def flush(self) -> None:
        """Sends what the system takes."""
        if not self.is_open or self.is_connecting:
            return
        try:
            while self.output:
                count = self.sock.send(self.output)
                self.sent_bytes += count
                del self.output[:count]
                if self.unsent_budget:
                    self.unsent_budget.add(-count)
                self.last_activity_ms = self.loop.now_ms
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self.close("reset")
            return
        if self.close_reason and not self.output:
            self._half_close()
        if self.is_open:
            self.update_watch()

    # Closing

    def close_gracefully(self, reason: str) -> None:
        """A half-close once all is written, and a close once the other side has read it and closed too."""
        if self.is_open and not self.close_reason:
            self.close_reason = reason
            self.linger()
            self.flush()

    def linger(self) -> None:
        """Ends the wait for the other side, unless it reads slowly and is owed answers."""
        has_taken_some = self.sent_bytes != self.sent_bytes_at_linger
        may_go_on = self.output and has_taken_some and self.linger_count < MAX_LINGERS
        if self.linger_timer is None or may_go_on:
            self.linger_count += 1
            self.sent_bytes_at_linger = self.sent_bytes
            self.start_linger_timer()
        else:
            self.read()  # a close over unread bytes would reset the connection under answers it has not read
            self.close(self.close_reason)

    def start_linger_timer(self) -> None:
        """Waits for the other side before the next look at it."""
        self.linger_timer = self.loop.after(LINGER_MS, self.linger)

    def _half_close(self) -> None:
        if not self.is_reading:
            self.close(self.close_reason)
            return
        try:
            # A close with bytes unread would reset the connection and could take answers with it.
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(self.close_reason)

    def check_error(self) -> None:
        """Closes the stream if the socket shows that a peer which writes no more reads no more either."""
        if self.is_open and self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.close("reset")

    def close(self, reason: str) -> None:
        """Closes at once; what is not sent is lost."""
        if not self.is_open:
            return
        self.is_open = False
        if self.unsent_budget:
            self.unsent_budget.add(-len(self.output))
        self.loop.cancel(self.linger_timer)
        self.loop.watch(self.sock.fileno(), 0, self)
        self.sock.close()
        owner = self.owner
        self.owner = NO_OWNER  # no cycle: memory must not wait for the collector
        self.close_reason = self.close_reason or reason  # a reset after our own close is not why it ended
        owner.on_closed(self.close_reason)


def connect(
    loop: Loop, address: Address, owner: StreamOwner, max_unsent_bytes: int, source_host: str = ""
) -> Stream | str:
    """A stream on its way, or the reason why there is none.

    Args:
        loop: The stream's loop.
        address: The address to connect to.
        owner: The stream's owner.
        max_unsent_bytes: The stream's bound on queued bytes.
        source_host: The address that the connection comes from; the system's choice where it is empty.
    """
    try:
        sock = socket.socket()
    except OSError:
        return "unreachable"
    sock.setblocking(False)
    if source_host and source_host != ANY_ADDRESS:
        sock.setsockopt(socket.SOL_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        try:
            sock.bind((source_host, 0))
        except OSError:
            sock.close()
            return "unreachable"
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    code = sock.connect_ex(address)
    if code in (0, errno.EINPROGRESS):
        return Stream(loop, sock, owner, max_unsent_bytes, is_connecting=bool(code))
    sock.close()
    return _connect_failure(code)


def _connect_failure(code: int) -> str:
    return "refused" if code == errno.ECONNREFUSED else "unreachable"
