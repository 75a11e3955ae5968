"""Runs blocking work in a child process, connected to the loop by a socket pair with a bounded queue.

The loop never waits for the process. Before sending a message, the owner checks with `Worker.free_bytes`
whether the queue has space, and decides what to do if it is full or the process has ended. Each message is
sent as a frame: the message preceded by its length as four bytes.
"""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from collections.abc import Iterator
from typing import Protocol

from landingshift.errors import LandingshiftError
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Stream

MAX_FRAME_BYTES = 16 << 20
LENGTH_BYTES = 4
# Environment variable with the file descriptor of the worker process's end of the socket pair.
WORKER_FD_VARIABLE = "LANDINGSHIFT_WORKER_FD"


class FrameError(LandingshiftError):
    """A frame states a length above `MAX_FRAME_BYTES`, which means that the two sides disagree on the format.

    Attributes:
        size: The message length that the frame states, in bytes.
    """

    def __init__(self, size: int) -> None:
        super().__init__(size)
        self.size = size


class FrameDecoder:
    """Splits a byte stream into frames and extracts their messages."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Adds received bytes and yields the message of each complete frame.

        Raises:
            FrameError: The next frame is longer than `MAX_FRAME_BYTES`.
        """
        self.buffer += data
        start = 0
        try:
            while len(self.buffer) >= start + LENGTH_BYTES:
                message_start = start + LENGTH_BYTES
                size = int.from_bytes(self.buffer[start:message_start], "big")
                if size > MAX_FRAME_BYTES:
                    raise FrameError(size)
                end = message_start + size
                if len(self.buffer) < end:
                    return
                yield bytes(self.buffer[message_start:end])
                start = end
        finally:
            del self.buffer[:start]


def encode_frame(message: bytes) -> bytes:
    """Encodes a message as a frame."""
    return len(message).to_bytes(LENGTH_BYTES, "big") + message


class WorkerOwner(Protocol):
    """Handles the messages and the end of a worker process."""

    def on_message(self, message: bytes) -> None:
        """Handles a message from the process."""

    def on_worker_lost(self, reason: str) -> None:
        """Handles the loss of the process or of the connection to it."""


class Worker:
    """A child process that runs `module` with this interpreter; `module` must call `inherited_socket`.

    Args:
        loop: The event loop of the owner.
        module: The module to run.
        args: The command line arguments of the module.
        owner: Handles messages from the process and the end of the process.
        max_queued_bytes: The bound on the bytes that are queued and not sent to the process yet.

    Raises:
        OSError: The process can't be started.
    """

    def __init__(
        self, loop: Loop, module: str, args: list[str], owner: WorkerOwner, max_queued_bytes: int
    ) -> None:
        self.owner = owner
        self.max_queued_bytes = max_queued_bytes
        local, remote = socket.socketpair()
        fd = remote.fileno()
        try:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module, *args],
                env=os.environ | {WORKER_FD_VARIABLE: str(fd)},
                pass_fds=[fd],
                stdin=subprocess.DEVNULL,
            )
        except OSError:
            local.close()
            raise
        finally:
            remote.close()
        local.setblocking(False)
        self.decoder = FrameDecoder()
        self.stream = Stream(loop, local, self, max_queued_bytes)

    def free_bytes(self) -> int:
        """Returns the number of bytes that can still be queued; 0 after the connection is lost."""
        return self.max_queued_bytes - len(self.stream.output) if self.stream.is_open else 0

    def send(self, message: bytes) -> None:
        """Queues a message for the process; closes the connection if the queue exceeds its bound."""
        self.stream.write(encode_frame(message))

    def on_data(self, data: bytes) -> None:
        """Decodes bytes from the process and passes the messages to the owner."""
        try:
            for message in self.decoder.feed(data):
                self.owner.on_message(message)
        except FrameError:
            self.stream.close("bad_frame")

    def on_eof(self) -> None:
        """Closes the stream, because the worker process has closed its end of the socket pair."""
        self.stream.close("closed")

    def on_closed(self, reason: str) -> None:
        """Reports the loss of the connection to the owner.

        A process that is still running reads EOF, finishes the messages that it has received, and exits.
        """
        self.owner.on_worker_lost(reason)

    def has_exited(self) -> bool:
        """Returns whether the process has ended; collects its exit status, so that no zombie remains."""
        return self.process.poll() is not None


def inherited_socket() -> socket.socket:
    """Returns the worker process's own end of the socket pair."""
    return socket.socket(fileno=int(os.environ.pop(WORKER_FD_VARIABLE)))
