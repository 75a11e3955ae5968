"""Work off the loop: a process of our own behind a bounded queue, one end of a socket pair on the loop.

The loop never waits for it. What the owner does while the queue is full or the process is gone is the owner's
rule; `free_bytes` tells before anything is written. Frames are four bytes of length and as many of message.
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
WORKER_FD_VARIABLE = "LANDINGSHIFT_WORKER_FD"  # where the process finds its end of the pair


class FrameError(LandingshiftError):
    """A length past the bound: the two sides disagree.

    Attributes:
        size: The length that was told, in bytes.
    """

    def __init__(self, size: int) -> None:
        super().__init__(size)
        self.size = size


class FrameDecoder:
    """Bytes to complete frames."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yields the message of each complete frame.

        Raises:
            FrameError: What follows the frames given out so far is none.
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
    """The frame of a message."""
    return len(message).to_bytes(LENGTH_BYTES, "big") + message


class WorkerOwner(Protocol):
    """Called with what the process says."""

    def on_message(self, message: bytes) -> None:
        """A message came."""

    def on_worker_lost(self, reason: str) -> None:
        """The process is gone or its end of the pair is closed."""


class Worker:
    """A process that runs `module` with this interpreter; it takes its end with `inherited_socket`.

    Args:
        module: The module to run.
        args: The arguments of its command line.
        owner: Called with what it says.
        max_queued_bytes: The bound on messages that the process has not taken.

    Raises:
        OSError: The process could not be started.
    """

    def __init__(
        self, loop: Loop, module: str, args: list[str], owner: WorkerOwner, max_queued_bytes: int
    ) -> None:
        self.owner = owner
        self.max_queued_bytes = max_queued_bytes
        ours, theirs = socket.socketpair()
        fd = theirs.fileno()
        try:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module, *args],
                env=os.environ | {WORKER_FD_VARIABLE: str(fd)},
                pass_fds=[fd],
                stdin=subprocess.DEVNULL,
            )
        except OSError:
            ours.close()
            raise
        finally:
            theirs.close()
        ours.setblocking(False)
        self.decoder = FrameDecoder()
        self.stream = Stream(loop, ours, self, max_queued_bytes)

    def free_bytes(self) -> int:
        """Bytes that may still be queued."""
        return self.max_queued_bytes - len(self.stream.output) if self.stream.is_open else 0

    def send(self, message: bytes) -> None:
        """Queues a message for the process."""
        self.stream.write(encode_frame(message))

    def on_data(self, data: bytes) -> None:
        """Bytes came from the process."""
        try:
            for message in self.decoder.feed(data):
                self.owner.on_message(message)
        except FrameError:
            self.stream.close("bad_frame")

    def on_eof(self) -> None:
        """The process has closed its end."""
        self.stream.close("closed")

    def on_closed(self, reason: str) -> None:
        """The pair is closed: the process sees EOF now, on which it finishes what it has and goes."""
        self.owner.on_worker_lost(reason)

    def has_exited(self) -> bool:
        """Whether the process has ended; takes its exit status, so that no zombie stays."""
        return self.process.poll() is not None


def inherited_socket() -> socket.socket:
    """The process's own end of the pair."""
    return socket.socket(fileno=int(os.environ.pop(WORKER_FD_VARIABLE)))
