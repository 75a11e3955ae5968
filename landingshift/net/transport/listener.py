"""Accepts non-blocking TCP connections."""

from __future__ import annotations

import socket
from collections.abc import Callable
from selectors import EVENT_READ

from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Address

BACKLOG_COUNT = 1024  # maximum number of connections waiting to be accepted
ACCEPTS_PER_PASS = 16
ACCEPT_PAUSE_MS = 20.0  # wait before accepting again after capacity or descriptors ran out


class Listener:
    """Accepts connections while there is capacity for them.

    Args:
        loop: The event loop that watches the listening socket.
        address: The address to listen on.
        has_capacity: Returns whether one more connection can be accepted; is allowed to close other
            connections to make room. Called with False if the process has run out of file descriptors, else
            with True.
        on_accept: Called with the socket of each accepted connection.
        sock: A socket that is already listening; if given, it is used instead of `address`.

    Raises:
        OSError: Listening on `address` failed.

    Attributes:
        address: The local address, with the port that the system chose if port 0 was given.
        is_draining: Whether `drain` has been called.
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
        """Accepts connections from the backlog."""
        for _ in range(ACCEPTS_PER_PASS):
            if not self.has_capacity(True):
                self._pause()
                return
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError, InterruptedError):
                return
            except OSError:  # out of descriptors; without a pause the loop would spin
                if self.has_capacity(False):
                    continue
                self._pause()
                return
            self._accept(sock)

    def drain(self) -> bool:
        """Accepts the connections that are in the backlog, and stops watching for new connections.

        Returns:
            True if the backlog was emptied; False if connections might be left in the backlog.
        """
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
        """Stops listening; connections in the backlog are reset."""
        if self.is_open:
            self.is_open = False
            self.loop.watch(self.sock.fileno(), 0, self)
            self.sock.close()

    def _accept(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.loop.update_now()
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
