"""The channel between two builds: frames and file descriptors over a Unix stream socket.

A frame is a version, a kind, the number of descriptors that come with it and the length of its body.
Descriptors are passed by SCM_RIGHTS with the first byte of the frame, at most `MAX_FRAME_DESCRIPTORS` in one;
more are sent in several frames.

Guarantee: a frame is delivered whole and with all its descriptors, or not at all. Received descriptors belong
to the channel until a frame that has them is returned; `close` closes the rest, so that a peer that can't be
understood leaves none open.
"""

from __future__ import annotations

import array
import os
import socket
import struct
from collections import deque
from dataclasses import dataclass, field

from landingshift.hot_restart.errors import (
    FrameLimitError,
    FrameVersionError,
    MissingDescriptorsError,
    OversizedFrameError,
    TruncatedDescriptorsError,
)

FRAME_VERSION = 1
FRAME_HEADER = struct.Struct("!HHHI")  # version, kind, number of descriptors, length of the body
MAX_FRAME_DESCRIPTORS = 200  # the kernel takes 253 in one message
MAX_BODY_BYTES = 64 << 20
RECEIVE_BYTES = 1 << 18
ANCILLARY_BYTES = socket.CMSG_SPACE(MAX_FRAME_DESCRIPTORS * array.array("i").itemsize)


@dataclass(slots=True)
class Frame:
    """One message.

    Attributes:
        kind: What the body is; the two sides agree on the numbers.
        body: The bytes.
        descriptors: File descriptors that come with it.
    """

    kind: int
    body: bytes
    descriptors: list[int] = field(default_factory=list)


@dataclass(slots=True)
class _UnsentFrame:
    """What is left of a frame; no descriptors any more once its first byte is out."""

    data: memoryview
    descriptors: list[int]


class Channel:
    """One side of the connection.

    Args:
        sock: A Unix stream socket, blocking or not.
        version: Version of the frames that this side writes and reads.
    """

    def __init__(self, sock: socket.socket, version: int = FRAME_VERSION) -> None:
        self._sock = sock
        self._version = version
        self._received = bytearray()
        self._unclaimed_descriptors: deque[int] = deque()  # received; no frame has claimed them yet
        self._unsent: deque[_UnsentFrame] = deque()

    def send(self, frame: Frame) -> None:
        """Queues a frame.

        The caller keeps its own copies of the descriptors open until `flush` returns True.

        Raises:
            OversizedFrameError: For more descriptors or bytes than one frame may have.
        """
        if len(frame.descriptors) > MAX_FRAME_DESCRIPTORS:
            raise OversizedFrameError.of_descriptors(len(frame.descriptors), MAX_FRAME_DESCRIPTORS)
        if len(frame.body) > MAX_BODY_BYTES:
            raise OversizedFrameError.of_body(len(frame.body), MAX_BODY_BYTES)
        header = FRAME_HEADER.pack(self._version, frame.kind, len(frame.descriptors), len(frame.body))
        self._unsent.append(_UnsentFrame(memoryview(header + frame.body), list(frame.descriptors)))

    def flush(self) -> bool:
        """Sends what the socket takes.

        Returns:
            Whether everything is sent.

        Raises:
            OSError: Where the other side is gone.
        """
        while self._unsent:
            unsent = self._unsent[0]
            ancillary = []
            if unsent.descriptors:
                rights = array.array("i", unsent.descriptors)
                ancillary.append((socket.SOL_SOCKET, socket.SCM_RIGHTS, rights))
            try:
                sent_bytes = self._sock.sendmsg([unsent.data], ancillary)
            except BlockingIOError:
                return False
            if sent_bytes == len(unsent.data):
                self._unsent.popleft()
            else:
                unsent.data = unsent.data[sent_bytes:]
                unsent.descriptors = []
        return True

    def receive(self) -> list[Frame]:
        """Returns the whole frames that have come; the caller owns their descriptors.

        Raises:
            EOFError: Where the other side has closed.
            InvalidFrameError: For what is no frame; the caller closes the channel then.
        """
        try:
            data, ancillary, flags, _ = self._sock.recvmsg(
                RECEIVE_BYTES, ANCILLARY_BYTES, socket.MSG_CMSG_CLOEXEC
            )
        except BlockingIOError:
            return []
        for level, kind, raw in ancillary:
            if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
                descriptors = array.array("i")
                descriptors.frombytes(raw[: len(raw) - len(raw) % descriptors.itemsize])
                self._unclaimed_descriptors.extend(descriptors)
        if flags & socket.MSG_CTRUNC:
            raise TruncatedDescriptorsError
        if not data:
            raise EOFError
        self._received += data
        return self._take_frames()

    def _take_frames(self) -> list[Frame]:
        """Takes the whole frames off what was received."""
        frames: list[Frame] = []
        while len(self._received) >= FRAME_HEADER.size:
            version, kind, descriptor_count, body_bytes = FRAME_HEADER.unpack_from(self._received)
            if version != self._version:
                raise FrameVersionError(version, self._version)
            if descriptor_count > MAX_FRAME_DESCRIPTORS or body_bytes > MAX_BODY_BYTES:
                raise FrameLimitError(body_bytes, descriptor_count)
            frame_bytes = FRAME_HEADER.size + body_bytes
            if len(self._received) < frame_bytes:
                break
            if len(self._unclaimed_descriptors) < descriptor_count:
                raise MissingDescriptorsError(descriptor_count, len(self._unclaimed_descriptors))
            body = bytes(self._received[FRAME_HEADER.size : frame_bytes])
            del self._received[:frame_bytes]
            descriptors = [self._unclaimed_descriptors.popleft() for _ in range(descriptor_count)]
            frames.append(Frame(kind, body, descriptors))
        return frames

    def close(self) -> None:
        """Closes the socket and all descriptors that no frame has claimed."""
        while self._unclaimed_descriptors:
            os.close(self._unclaimed_descriptors.popleft())
        self._unsent.clear()
        self._sock.close()
