"""Non-blocking TCP: streams with partial writes and bounded buffers, and the listener."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from selectors import EVENT_READ, EVENT_WRITE
from typing import Protocol

from landingshift.net.transport.loop import Loop, Timer

CHUNK = 16384
READS = 8  # chunks taken from one stream before the others have their turn
BACKLOG = 1024  # connections that may wait to be accepted
ACCEPTS = 64  # accepted in a row
LINGER = 1000.0  # ms that the other side has to close after we have, or to take some of what it is owed
LINGERS = 10  # times that it may take some and no more
DISCARD = 65536  # bytes that are taken off a connection after our half-close, before a close over the rest
IP_BIND_ADDRESS_NO_PORT = 24  # Linux: the port is chosen once the other side is known, so that they last
ACCEPT_PAUSE_MS = 20.0  # without accepting after the descriptors ran out
Address = tuple[str, int]


class Owner(Protocol):
    def on_data(self, data: bytes) -> None: ...
    def on_eof(self) -> None: ...  # the other side writes no more
    def on_closed(self, reason: str) -> None: ...  # the stream is closed


class Nobody:
    """The owner of a closed stream."""

    def on_data(self, data: bytes) -> None: ...
    def on_eof(self) -> None: ...
    def on_closed(self, reason: str) -> None: ...


NOBODY = Nobody()


class UnsentBudget:
    """What many streams together have not got rid of; past the bound `full` must let some of it go."""

    def __init__(self, bound: int, full: Callable[[], None]) -> None:
        self.bound, self.full, self.bytes = bound, full, 0

    def add(self, count: int) -> None:
        self.bytes += count
        if count > 0 and self.bytes > self.bound:
            self.full()


class Stream:
    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        owner: Owner,
        bound: int,
        connecting: bool = False,
        unsent: UnsentBudget | None = None,
        reads: int = READS,
    ) -> None:
        self.loop, self.sock, self.bound, self.unsent_budget = loop, sock, bound, unsent
        self.owner: Owner = owner
        self.reads = reads
        self.is_connecting, self.is_reading, self.is_open, self.close_reason = connecting, True, True, ""
        self.mask = -1  # what the loop watches it for
        self.output = bytearray()
        self.queued_bytes = self.sent_bytes = 0  # bytes since the start; what is not sent has proved nothing
        self.discarded = self.lingers = 0  # after our half-close: bytes, and spells of waiting
        self.lingered = 0  # sent before this spell
        self.last_activity_ms = loop.now_ms  # when bytes last went either way
        self.timer: Timer | None = None
        self.watch()

    def watch(self) -> None:
        mask = EVENT_READ if self.is_reading and not self.is_connecting else 0
        if self.is_connecting or self.output:
            mask |= EVENT_WRITE
        if mask != self.mask:
            self.mask = mask
            self.loop.watch(self.sock.fileno(), mask, self)

    def on_ready(self, mask: int) -> None:
        if self.is_connecting:
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self.close("refused" if code == errno.ECONNREFUSED else "unreachable")
                return
            self.is_connecting = False
            self.flush()
        elif mask & EVENT_WRITE:
            self.flush()
        if mask & EVENT_READ and self.is_open and not self.is_connecting:
            self.read()

    def read(self) -> None:
        for _ in range(self.reads):
            try:
                data = self.sock.recv(CHUNK)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.close("reset")
                return
            if not data:
                self.is_reading = False
                self.watch()
                if self.close_reason:
                    self.close(self.close_reason)
                else:
                    self.owner.on_eof()
                return
            self.last_activity_ms = self.loop.now_ms
            if not self.close_reason:
                self.owner.on_data(data)
            else:  # after our half-close: it can't be answered any more, so it must not be acted on either
                self.discarded += len(data)
                if self.discarded > DISCARD:
                    self.close(self.close_reason)
            if not self.is_open or len(data) < CHUNK:
                return

    def write(self, data: bytes) -> None:
        """Queues; the loop sends at the end of its pass."""
        if not self.is_open or self.close_reason:
            return
        self.output += data
        self.queued_bytes += len(data)
        self.loop.pending_writers[self] = None
        if self.unsent_budget:
            self.unsent_budget.add(len(data))
        if len(self.output) > self.bound:
            self.flush()
            if len(self.output) > self.bound:  # a peer that stops reading must not fill the memory
                self.close("stalled")

    def flush(self) -> None:
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
            self.shut()
        if self.is_open:
            self.watch()

    def close_gracefully(self, reason: str) -> None:
        """A half-close once all is written, and a close once the other side has read it and closed too."""
        if self.is_open and not self.close_reason:
            self.close_reason = reason
            self.linger()
            self.flush()

    def linger(self) -> None:
        """Ends the wait for the other side, unless it reads slowly and is owed answers."""
        taking = self.output and self.sent_bytes != self.lingered and self.lingers < LINGERS
        if self.timer is None or taking:
            self.lingers, self.lingered = self.lingers + 1, self.sent_bytes
            self.timer = self.loop.after(LINGER, self.linger)
        else:
            self.read()  # a close over unread bytes would reset the connection under answers it has not read
            self.close(self.close_reason)

    def shut(self) -> None:
        if not self.is_reading:
            self.close(self.close_reason)
            return
        try:
            # A close with bytes unread would reset the connection and could take answers with it.
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(self.close_reason)

    def check(self) -> None:
        """Where the other side writes no more, this finds out whether it still reads."""
        if self.is_open and self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.close("reset")

    def close(self, reason: str) -> None:
        if self.is_open:
            self.is_open = False
            if self.unsent_budget:
                self.unsent_budget.add(-len(self.output))
            self.loop.cancel(self.timer)
            self.loop.watch(self.sock.fileno(), 0, self)
            self.sock.close()
            owner, self.owner = self.owner, NOBODY  # no cycle: memory must not wait for the collector
            self.close_reason = self.close_reason or reason
            owner.on_closed(self.close_reason)  # a reset after our own close is not why it ended


def connect(loop: Loop, address: Address, owner: Owner, bound: int, host: str = "") -> Stream | str:
    """A stream on its way, or the reason why there is none. `host`: the address that it comes from."""
    try:
        sock = socket.socket()
    except OSError:
        return "unreachable"
    sock.setblocking(False)
    if host and host != "0.0.0.0":
        sock.setsockopt(socket.SOL_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        try:
            sock.bind((host, 0))
        except OSError:
            sock.close()
            return "unreachable"
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    code = sock.connect_ex(address)
    if code in (0, errno.EINPROGRESS):
        return Stream(loop, sock, owner, bound, bool(code))
    sock.close()
    return "refused" if code == errno.ECONNREFUSED else "unreachable"


class Listener:
    """`room` says whether one more may come, and where not makes some; `take` gets each that came."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        room: Callable[[bool], bool],
        take: Callable[[socket.socket], None],
        sock: socket.socket | None = None,
    ) -> None:
        """`sock`: one that listens already, with its backlog."""
        self.loop, self.room, self.take, self.is_open, self.draining = loop, room, take, True, False
        if sock is None:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(address)
                sock.listen(BACKLOG)
            except OSError:
                sock.close()
                raise
        self.sock = sock
        self.sock.setblocking(False)
        self.address: Address = self.sock.getsockname()
        loop.watch(self.sock.fileno(), EVENT_READ, self)

    def on_ready(self, _mask: int) -> None:
        for _ in range(ACCEPTS):
            if not self.room(True):
                self.rest()
                return
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError, InterruptedError):
                return
            except OSError:  # out of descriptors: the loop would spin on a socket that stays readable
                if self.room(False):
                    continue
                self.rest()
                return
            self.begin(sock)

    def drain(self) -> bool:
        """Takes all that waits to be accepted; False where more may wait and there are no descriptors."""
        self.draining = True
        self.loop.watch(self.sock.fileno(), 0, self)
        for _ in range(2 * BACKLOG):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return True
            except (ConnectionAbortedError, InterruptedError):
                continue
            except OSError:  # out of descriptors
                if not self.room(False):
                    return False
                continue
            self.begin(sock)
        return False

    def begin(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.take(sock)

    def rest(self) -> None:
        self.loop.watch(self.sock.fileno(), 0, self)
        self.loop.after(ACCEPT_PAUSE_MS, self.resume)

    def resume(self) -> None:
        if self.is_open and not self.draining:
            self.loop.watch(self.sock.fileno(), EVENT_READ, self)

    def close(self) -> None:
        if self.is_open:
            self.is_open = False
            self.loop.watch(self.sock.fileno(), 0, self)
            self.sock.close()
