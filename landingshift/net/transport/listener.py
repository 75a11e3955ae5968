"""Non-blocking TCP: the listening socket."""

from __future__ import annotations

import socket
from collections.abc import Callable
from selectors import EVENT_READ

from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Address

BACKLOG_COUNT = 1024  # connections that may wait to be accepted
ACCEPTS_PER_PASS = 64
ACCEPT_PAUSE_MS = 20.0  # without accepting after the descriptors ran out


class Listener:
    """Accepts connections while there is room.

    Args:
        address: The address to listen at.
        has_capacity: Whether one more may come; where not, it makes some. Its argument is whether descriptors
            are left.
        on_accept: Gets each connection that came.
        sock: A socket that listens already, with its backlog.

    Raises:
        OSError: It can't listen there.

    Attributes:
        address: The address at which it listens, with the port that the system chose.
        is_draining: It takes what waits to be accepted and nothing after that.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        has_capacity: Callable[[bool], bool],
        on_accept: Callable[[socket.socket], None],
        sock: socket.socket | None = None,
    ) -> None:
        self.loop = loop
        self.has_capacity = has_capacity
        self.on_accept = on_accept
        self.is_open = True
        self.is_draining = False
        self.sock = sock if sock is not None else _listening_socket(address)
        self.sock.setblocking(False)
        self.address: Address = self.sock.getsockname()
        loop.watch(self.sock.fileno(), EVENT_READ, self)

    def on_ready(self, _mask: int) -> None:
        """Connections wait to be accepted."""
        for _ in range(ACCEPTS_PER_PASS):
            if not self.has_capacity(True):
                self._pause()
                return
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError, InterruptedError):
                return
            except OSError:  # out of descriptors: the loop would spin on a socket that stays readable
                if self.has_capacity(False):
                    continue
                self._pause()
                return
            self._accept(sock)

    def drain(self) -> bool:
        """Takes all that waits to be accepted; False where more may wait and there are no descriptors."""
        self.is_draining = True
        self.loop.watch(self.sock.fileno(), 0, self)
        for _ in range(2 * BACKLOG_COUNT):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return True
            except (ConnectionAbortedError, InterruptedError):
                continue
            except OSError:  # out of descriptors
                if not self.has_capacity(False):
                    return False
                continue
            self._accept(sock)
        return False

    def close(self) -> None:
        """Stops listening; what waits to be accepted is reset."""
        if self.is_open:
            self.is_open = False
            self.loop.watch(self.sock.fileno(), 0, self)
            self.sock.close()

    def _accept(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.on_accept(sock)

    def _pause(self) -> None:
        self.loop.watch(self.sock.fileno(), 0, self)
        self.loop.after(ACCEPT_PAUSE_MS, self._resume)

    def _resume(self) -> None:
        if self.is_open and not self.is_draining:
            self.loop.watch(self.sock.fileno(), EVENT_READ, self)


def _listening_socket(address: Address) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
        sock.listen(BACKLOG_COUNT)
    except OSError:
        sock.close()
        raise
    return sock
