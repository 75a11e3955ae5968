"""Provides non-blocking TCP streams with partial writes and bounded buffers.

Guarantee: data written before a graceful close reaches a peer that keeps reading; otherwise the close reason
shows that the data did not arrive. The output queued for a peer that stops reading uses no more memory than
the stream's bound, and the peer can delay the close only up to the limits on lingering.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from enum import Enum
from selectors import EVENT_READ, EVENT_WRITE
from typing import Protocol

from landingshift.net.transport.loop import Loop, Timer

READ_BYTES = 16384
READS_PER_PASS = 8  # maximum number of reads from one stream before other streams are read
LINGER_MS = 1000.0  # time for which a closing stream waits for its peer to close or to read more output
MAX_LINGERS = 10  # maximum number of waits of `LINGER_MS`, even if the peer is still reading
MAX_DISCARDED_BYTES = 65536  # maximum input discarded during a graceful close, before the stream is closed
# Linux socket option: the kernel chooses the local port at connect instead of bind. Connections to different
# peers can then share a local port, so that ports do not run out.
IP_BIND_ADDRESS_NO_PORT = 24
ANY_ADDRESS = "0.0.0.0"
# States of a TCP connection on Linux.
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8
Address = tuple[str, int]


class PeerState(Enum):
    """What is known about the peer's end of a connection, also while input is unread."""

    OPEN = 1
    HALF_CLOSED = 2
    """The peer has ended its output. It is not known whether it still reads: a peer that has closed its
    socket resets the connection only when it is sent something."""
    GONE = 3
    """The peer has reset the connection; nothing can be sent to it."""


class StreamOwner(Protocol):
    """Handles the events of a stream."""

    def on_data(self, data: bytes) -> None:
        """Handles received bytes."""

    def on_eof(self) -> None:
        """Handles the end of the peer's output."""

    def on_closed(self, reason: str) -> None:
        """Handles the end of the stream; `reason` is a code for the log."""


class NullOwner:
    """Ignores all events; the owner of a closed stream."""

    def on_data(self, data: bytes) -> None:
        """Does nothing."""

    def on_eof(self) -> None:
        """Does nothing."""

    def on_closed(self, reason: str) -> None:
        """Does nothing."""


NULL_OWNER = NullOwner()


class ByteBudget:
    """A shared bound on bytes that several streams hold, for example on their unsent output.

    Args:
        max_bytes: The bound on the total of the bytes.
        on_exceeded: Called when the bound is exceeded; reduces the total, for example by closing streams.
    """

    def __init__(self, max_bytes: int, on_exceeded: Callable[[], None]) -> None:
        self.max_bytes = max_bytes
        self.on_exceeded = on_exceeded
        self.used_bytes = 0

    def add(self, count: int) -> None:
        """Adds `count` bytes; a negative count subtracts bytes that are not held any more."""
        self.used_bytes += count
        if count > 0 and self.used_bytes > self.max_bytes:
            self.on_exceeded()


class Stream:
    """A connection that passes input to its owner and writes output at the end of each pass of the loop.

    Args:
        loop: The event loop that watches the socket.
        sock: The socket; must be non-blocking.
        owner: Handles the stream's events.
        max_unsent_bytes: The bound on unsent output; if it is exceeded, the stream is closed as stalled.
        is_connecting: Whether the connection is not established yet.
        unsent_budget: A bound on unsent output that is shared with other streams; None if there is none.
        reads_per_pass: The maximum number of reads from this stream before other streams are read.

    Attributes:
        is_open: Whether the stream has not been closed.
        is_reading: Whether the peer can still send; False once the peer has ended its output.
        is_paused: Whether the loop does not watch for input, so that the peer is slowed down by TCP. The end
            of the input and a reset are not noticed meanwhile.
        close_reason: The reason code of the close; empty until a close, graceful or not, begins.
        output: The bytes that are queued and not sent yet.
        queued_bytes: The number of bytes queued since the connection was opened.
        sent_bytes: The number of bytes sent since the connection was opened; the peer can't have received
            more.
        last_activity_ms: The time at which bytes were last sent or received.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        owner: StreamOwner,
        max_unsent_bytes: int,
        is_connecting: bool = False,
        unsent_budget: ByteBudget | None = None,
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
        self.is_paused = False
        self.is_open = True
        self.close_reason = ""
        self.watched_mask = -1  # the events that the loop watches; -1 before the first `update_watch`
        self.output = bytearray()
        self.queued_bytes = 0
        self.sent_bytes = 0
        self.discarded_bytes = 0  # received after the close began
        self.linger_count = 0
        self.sent_bytes_at_linger = 0  # `sent_bytes` when the current wait for the peer began
        self.last_activity_ms = loop.now_ms
        self.linger_timer: Timer | None = None
        self.update_watch()

    def update_watch(self) -> None:
        """Updates the events that the loop watches to match the state of the stream."""
        mask = EVENT_READ if self.is_reading and not self.is_paused and not self.is_connecting else 0
        if self.is_connecting or self.output:
            mask |= EVENT_WRITE
        if mask != self.watched_mask:
            self.watched_mask = mask
            self.loop.watch(self.sock.fileno(), mask, self)

    def on_ready(self, mask: int) -> None:
        """Handles a socket that is readable or writable, or whose connection attempt has ended."""
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
        """Reads available input, in at most `reads_per_pass` reads."""
        for _ in range(self.reads_per_pass):
            try:
                data = self.sock.recv(READ_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.close("reset")
                return
            self.loop.update_now()
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
        # The close has begun: requests can't be answered any more, so they must not be processed either.
        self.discarded_bytes += len(data)
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.close(self.close_reason)

    def pause_reading(self) -> None:
        """Stops reading until `resume_reading` is called or a close begins."""
        if self.is_open and not self.close_reason and not self.is_paused:
            self.is_paused = True
            self.update_watch()

    def resume_reading(self) -> None:
        """Reads again."""
        if self.is_paused:
            self.is_paused = False
            if self.is_open:
                self.update_watch()

    # Writing

    def write(self, data: bytes) -> None:
        """Queues data to be sent at the end of the pass; does nothing once a close has begun."""
        if not self.is_open or self.close_reason:
            return
        self.output += data
        self.queued_bytes += len(data)
        self.loop.pending_writers[self] = None
        if self.unsent_budget:
            self.unsent_budget.add(len(data))
        if len(self.output) > self.max_unsent_bytes:
            self.flush()
            if len(self.output) > self.max_unsent_bytes:  # bounds memory if the peer stops reading
                self.close("stalled")

    def flush(self) -> None:
        """Sends as much output as possible without blocking."""
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
        """Closes the sending side once all output is sent, and the stream once the peer has closed its side.

        If the peer does not close its side, the stream is closed when the limits on lingering are reached.
        """
        if self.is_open and not self.close_reason:
            self.close_reason = reason
            self.resume_reading()  # input is discarded, and the peer's close must be noticed
            self.linger()
            self.flush()

    def linger(self) -> None:
        """Starts a wait for the peer to close its side, or closes the stream after a wait has ended.

        The first call starts a wait. Each later call starts another wait if output is left, some output was
        sent during the last wait, and there were fewer than `MAX_LINGERS` waits; otherwise it closes the
        stream.
        """
        has_progress = self.sent_bytes != self.sent_bytes_at_linger
        may_wait_again = self.output and has_progress and self.linger_count < MAX_LINGERS
        if self.linger_timer is None or may_wait_again:
            self.linger_count += 1
            self.sent_bytes_at_linger = self.sent_bytes
            self.start_linger_timer()
        else:
            self.read()  # closing with unread input would reset the connection and could destroy sent answers
            self.close(self.close_reason)

    def start_linger_timer(self) -> None:
        """Starts a wait for the peer: `linger` is called after `LINGER_MS`."""
        self.linger_timer = self.loop.after(LINGER_MS, self.linger)

    def _half_close(self) -> None:
        if not self.is_reading:
            self.close(self.close_reason)
            return
        try:
            # A full close with unread input would reset the connection and could destroy sent answers.
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(self.close_reason)

    def peer_state(self) -> PeerState:
        """Returns the state of the peer's end; the stream must be an open TCP connection."""
        state = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        if state == TCP_CLOSE:
            return PeerState.GONE
        return PeerState.HALF_CLOSED if state == TCP_CLOSE_WAIT else PeerState.OPEN

    def check_error(self) -> None:
        """Closes the stream if its socket has an error.

        Call this some time after the end of the peer's output, to detect that the peer has closed the
        connection completely.
        """
        if self.is_open and self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.close("reset")

    def close(self, reason: str) -> None:
        """Closes the stream immediately and discards unsent output."""
        if not self.is_open:
            return
        self.is_open = False
        if self.unsent_budget:
            self.unsent_budget.add(-len(self.output))
        self.loop.cancel(self.linger_timer)
        self.loop.watch(self.sock.fileno(), 0, self)
        self.sock.close()
        owner = self.owner
        self.owner = NULL_OWNER  # breaks the reference cycle, so that memory is freed immediately
        # A reset does not replace the reason of a graceful close.
        self.close_reason = self.close_reason or reason
        owner.on_closed(self.close_reason)


def connect(
    loop: Loop, address: Address, owner: StreamOwner, max_unsent_bytes: int, source_host: str = ""
) -> Stream | str:
    """Starts connecting to `address`; returns the stream, or a reason code if connecting failed immediately.

    Args:
        loop: The stream's loop.
        address: The address to connect to.
        owner: The stream's owner.
        max_unsent_bytes: The stream's bound on unsent output.
        source_host: The local address of the connection; if empty, the system chooses one.
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
