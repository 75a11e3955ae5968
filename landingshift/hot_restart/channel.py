"""Transfers frames and file descriptors between the old and the new process over a Unix stream socket.

A frame header consists of the format version, the frame kind, the number of descriptors and the body length.
Descriptors are passed by SCM_RIGHTS with the first byte of their frame, at most `MAX_FRAME_DESCRIPTORS` per
frame; more descriptors need several frames.

Guarantee: a frame is delivered complete and with all its descriptors, or not at all. The channel owns
received descriptors until it returns their frame. `close` closes descriptors that were not returned, so none
leak if the peer sends invalid data.
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

FRAME_VERSION = 2
FRAME_HEADER = struct.Struct("!HHHI")  # version, kind, number of descriptors, length of the body
MAX_FRAME_DESCRIPTORS = 200  # the kernel's limit is 253 per message
MAX_BODY_BYTES = 64 << 20
RECEIVE_BYTES = 1 << 18
ANCILLARY_BYTES = socket.CMSG_SPACE(MAX_FRAME_DESCRIPTORS * array.array("i").itemsize)


@dataclass(slots=True)
class Frame:
    """A message of the channel.

    Attributes:
        kind: The type of the message; the channel does not interpret it.
        body: The payload.
        descriptors: The file descriptors sent with the frame.
    """

    kind: int
    body: bytes
    descriptors: list[int] = field(default_factory=list)


@dataclass(slots=True)
class _UnsentFrame:
    """The unsent part of a frame; `descriptors` is empty once the first byte has been sent."""

    data: memoryview
    descriptors: list[int]


class Channel:
    """One end of the connection between the old and the new process.

    Args:
        sock: A Unix stream socket, blocking or non-blocking.
        version: The format version of sent frames, and the only one accepted in received frames.
    """

    def __init__(self, sock: socket.socket, version: int = FRAME_VERSION) -> None:
        self._sock = sock
        self._version = version
        self._received = bytearray()
        self._unclaimed_descriptors: deque[int] = deque()  # received, but not yet assigned to a frame
        self._unsent: deque[_UnsentFrame] = deque()

    def send(self, frame: Frame) -> None:
        """Queues a frame, which `flush` sends.

        The caller must keep the frame's descriptors open until `flush` returns True.

        Raises:
            OversizedFrameError: If the frame has too many descriptors or its body is too long.
        """
        if len(frame.descriptors) > MAX_FRAME_DESCRIPTORS:
            raise OversizedFrameError.of_descriptors(len(frame.descriptors), MAX_FRAME_DESCRIPTORS)
        if len(frame.body) > MAX_BODY_BYTES:
            raise OversizedFrameError.of_body(len(frame.body), MAX_BODY_BYTES)
        header = FRAME_HEADER.pack(self._version, frame.kind, len(frame.descriptors), len(frame.body))
        self._unsent.append(_UnsentFrame(memoryview(header + frame.body), list(frame.descriptors)))

    def flush(self) -> bool:
        """Sends queued frames until none is left or a non-blocking socket would block.

        Returns:
            Whether all queued frames have been sent.

        Raises:
            OSError: If the connection is closed or broken.
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
        """Reads from the socket once and returns the frames that are now complete; the list can be empty.

        The caller owns the descriptors of the returned frames.

        Raises:
            EOFError: If the other process has closed its end.
            InvalidFrameError: If the received data is invalid; the caller must then close the channel.
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
        return self._decode_frames()

    def _decode_frames(self) -> list[Frame]:
        """Removes the complete frames from the receive buffer and returns them."""
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
        """Closes the socket and all received descriptors that were not returned with a frame."""
        while self._unclaimed_descriptors:
            os.close(self._unclaimed_descriptors.popleft())
        self._unsent.clear()
        self._sock.close()
