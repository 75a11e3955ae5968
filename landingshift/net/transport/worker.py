"""Work off the loop: a process of our own behind a bounded queue, one end of a socket pair on the loop.

The loop never waits for it. What the owner does while the queue is full or the process is gone is the owner's
rule; `room` tells before anything is written. FrameDecoder are four bytes of length and as many of message.
"""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from collections.abc import Iterator
from typing import Protocol

from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Stream

BIGGEST = 16 << 20  # bytes of one frame
WORKER_FD_VARIABLE = "LANDINGSHIFT_WORKER_FD"  # where the process finds its end of the pair


class FrameError(Exception):
    """A length past the bound: the two sides disagree."""


class FrameDecoder:
    """Bytes to whole frames."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        self.buffer += data
        at = 0
        try:
            while len(self.buffer) >= at + 4:
                size = int.from_bytes(self.buffer[at : at + 4], "big")
                if size > BIGGEST:
                    raise FrameError(size)
                if len(self.buffer) < at + 4 + size:
                    return
                yield bytes(self.buffer[at + 4 : at + 4 + size])
                at += 4 + size
        finally:
            del self.buffer[:at]


def encode_frame(message: bytes) -> bytes:
    return len(message).to_bytes(4, "big") + message


class Owner(Protocol):
    def on_message(self, message: bytes) -> None: ...
    def on_worker_lost(self, reason: str) -> None: ...  # the process is gone or its end of the pair is closed


class Worker:
    """`module` is run by this interpreter; it takes its end with `inherited_socket()`."""

    def __init__(self, loop: Loop, module: str, args: list[str], owner: Owner, bound: int) -> None:
        self.owner, self.bound = owner, bound
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
        self.frames = FrameDecoder()
        self.stream = Stream(loop, ours, self, bound)

    def free_bytes(self) -> int:
        """Bytes that may still be queued."""
        return self.bound - len(self.stream.output) if self.stream.is_open else 0

    def send(self, message: bytes) -> None:
        self.stream.write(encode_frame(message))

    def on_data(self, data: bytes) -> None:
        try:
            for message in self.frames.feed(data):
                self.owner.on_message(message)
        except FrameError:
            self.stream.close("bad_frame")

    def on_eof(self) -> None:
        self.stream.close("closed")

    def on_closed(self, reason: str) -> None:
        # Its end of the pair shows EOF now, on which it finishes what it has and goes.
        self.owner.on_worker_lost(reason)

    def has_exited(self) -> bool:
        """Whether the process has ended; takes its exit status, so that no zombie stays."""
        return self.process.poll() is not None


def inherited_socket() -> socket.socket:
    """The process's own end of the pair."""
    return socket.socket(fileno=int(os.environ.pop(WORKER_FD_VARIABLE)))
