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
PAUSE = 20.0  # ms without accepting after the descriptors ran out
Address = tuple[str, int]


class Owner(Protocol):
    def data(self, data: bytes) -> None: ...
    def eof(self) -> None: ...  # the other side writes no more
    def ended(self, reason: str) -> None: ...  # the stream is closed


class Nobody:
    """The owner of a closed stream."""

    def data(self, data: bytes) -> None: ...
    def eof(self) -> None: ...
    def ended(self, reason: str) -> None: ...


NOBODY = Nobody()


class Unsent:
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
        unsent: Unsent | None = None,
        reads: int = READS,
    ) -> None:
        self.loop, self.sock, self.bound, self.unsent = loop, sock, bound, unsent
        self.owner: Owner = owner
        self.reads = reads
        self.connecting, self.reading, self.open, self.reason = connecting, True, True, ""
        self.mask = -1  # what the loop watches it for
        self.out = bytearray()
        self.queued = self.sent = 0  # bytes since the start; what is not sent has proved nothing
        self.discarded = self.lingers = 0  # after our half-close: bytes, and spells of waiting
        self.lingered = 0  # sent before this spell
        self.last = loop.now  # when bytes last went either way
        self.timer: Timer | None = None
        self.watch()

    def watch(self) -> None:
        mask = EVENT_READ if self.reading and not self.connecting else 0
        if self.connecting or self.out:
            mask |= EVENT_WRITE
        if mask != self.mask:
            self.mask = mask
            self.loop.watch(self.sock.fileno(), mask, self)

    def ready(self, mask: int) -> None:
        if self.connecting:
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self.close("refused" if code == errno.ECONNREFUSED else "unreachable")
                return
            self.connecting = False
            self.flush()
        elif mask & EVENT_WRITE:
            self.flush()
        if mask & EVENT_READ and self.open and not self.connecting:
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
                self.reading = False
                self.watch()
                if self.reason:
                    self.close(self.reason)
                else:
                    self.owner.eof()
                return
            self.last = self.loop.now
            if not self.reason:
                self.owner.data(data)
            else:  # after our half-close: it can't be answered any more, so it must not be acted on either
                self.discarded += len(data)
                if self.discarded > DISCARD:
                    self.close(self.reason)
            if not self.open or len(data) < CHUNK:
                return

    def write(self, data: bytes) -> None:
        """Queues; the loop sends at the end of its pass."""
        if not self.open or self.reason:
            return
        self.out += data
        self.queued += len(data)
        self.loop.dirty[self] = None
        if self.unsent:
            self.unsent.add(len(data))
        if len(self.out) > self.bound:
            self.flush()
            if len(self.out) > self.bound:  # a peer that stops reading must not fill the memory
                self.close("stalled")

    def flush(self) -> None:
        if not self.open or self.connecting:
            return
        try:
            while self.out:
                count = self.sock.send(self.out)
                self.sent += count
                del self.out[:count]
                if self.unsent:
                    self.unsent.add(-count)
                self.last = self.loop.now
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self.close("reset")
            return
        if self.reason and not self.out:
            self.shut()
        if self.open:
            self.watch()

    def finish(self, reason: str) -> None:
        """A half-close once all is written, and a close once the other side has read it and closed too."""
        if self.open and not self.reason:
            self.reason = reason
            self.linger()
            self.flush()

    def linger(self) -> None:
        """Ends the wait for the other side, unless it reads slowly and is owed answers."""
        taking = self.out and self.sent != self.lingered and self.lingers < LINGERS
        if self.timer is None or taking:
            self.lingers, self.lingered = self.lingers + 1, self.sent
            self.timer = self.loop.after(LINGER, self.linger)
        else:
            self.read()  # a close over unread bytes would reset the connection under answers it has not read
            self.close(self.reason)

    def shut(self) -> None:
        if not self.reading:
            self.close(self.reason)
            return
        try:
            # A close with bytes unread would reset the connection and could take answers with it.
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(self.reason)

    def check(self) -> None:
        """Where the other side writes no more, this finds out whether it still reads."""
        if self.open and self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.close("reset")

    def close(self, reason: str) -> None:
        if self.open:
            self.open = False
            if self.unsent:
                self.unsent.add(-len(self.out))
            self.loop.cancel(self.timer)
            self.loop.watch(self.sock.fileno(), 0, self)
            self.sock.close()
            owner, self.owner = self.owner, NOBODY  # no cycle: memory must not wait for the collector
            self.reason = self.reason or reason
            owner.ended(self.reason)  # a reset after our own close is not why it ended


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
        self.loop, self.room, self.take, self.open, self.draining = loop, room, take, True, False
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

    def ready(self, _mask: int) -> None:
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
        self.loop.after(PAUSE, self.resume)

    def resume(self) -> None:
        if self.open and not self.draining:
            self.loop.watch(self.sock.fileno(), EVENT_READ, self)

    def close(self) -> None:
        if self.open:
            self.open = False
            self.loop.watch(self.sock.fileno(), 0, self)
            self.sock.close()
