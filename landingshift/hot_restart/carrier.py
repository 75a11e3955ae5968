"""Frames and descriptors between two builds over a Unix socket.

A frame is a version, a kind, the number of descriptors that come with it and the length of its body.
Descriptors go by SCM_RIGHTS with the first byte of the frame, at most `MOST` of them in one; what takes more
is sent in several. The carrier holds what it was given until `taken`: a frame that can't be understood closes
them, so that none is left open.
"""

from __future__ import annotations

import array
import os
import socket
import struct
from collections import deque
from dataclasses import dataclass, field

VERSION = 1
HEAD = struct.Struct("!HHHI")  # version, kind, descriptors, length
MOST = 200  # descriptors in one message; the kernel takes 253
BIGGEST = 64 << 20
SPACE = socket.CMSG_SPACE(MOST * array.array("i").itemsize)


class BadCarrier(Exception):
    """The other side is no build that this one can speak to; the text says how that showed."""


@dataclass(slots=True)
class Frame:
    kind: int
    body: bytes
    fds: list[int] = field(default_factory=list)


class Carrier:
    def __init__(self, sock: socket.socket, version: int = VERSION) -> None:
        """`sock`: a Unix stream socket, blocking or not. `version`: of the frames this side writes."""
        self.sock, self.version = sock, version
        self.buffer = bytearray()
        self.fds: deque[int] = deque()  # came, and no frame has claimed them yet
        self.out: deque[tuple[memoryview, list[int]]] = deque()

    # Out

    def send(self, frame: Frame) -> None:
        """Queues it; the caller keeps its own copies of the descriptors open until `flush` says all is
        out."""
        if len(frame.fds) > MOST:
            raise ValueError(f"{len(frame.fds)} descriptors in one frame, at most {MOST}")
        if len(frame.body) > BIGGEST:
            raise ValueError(f"a frame of {len(frame.body)} bytes, at most {BIGGEST}")
        head = HEAD.pack(self.version, frame.kind, len(frame.fds), len(frame.body))
        self.out.append((memoryview(head + frame.body), list(frame.fds)))

    def flush(self) -> bool:
        """Whether all is out. Raises OSError where the other side is gone."""
        while self.out:
            data, fds = self.out[0]
            rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", fds))] if fds else []
            try:
                count = self.sock.sendmsg([data], rights)
            except BlockingIOError:
                return False
            if count == len(data):
                self.out.popleft()
            else:
                self.out[0] = data[count:], []  # the descriptors went with the first byte
        return True

    # In

    def read(self) -> list[Frame]:
        """Whole frames that have come. Raises EOFError at the end, BadCarrier for what is no frame."""
        try:
            data, rights, flags, _ = self.sock.recvmsg(1 << 18, SPACE, socket.MSG_CMSG_CLOEXEC)
        except BlockingIOError:
            return []
        for level, kind, raw in rights:
            if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
                fds = array.array("i")
                fds.frombytes(raw[: len(raw) - len(raw) % fds.itemsize])
                self.fds.extend(fds)
        if flags & socket.MSG_CTRUNC:
            raise BadCarrier("descriptors were cut off: this process may not open so many")
        if not data:
            raise EOFError
        self.buffer += data
        return list(self.frames())

    def frames(self) -> list[Frame]:
        found = []
        while len(self.buffer) >= HEAD.size:
            version, kind, count, size = HEAD.unpack_from(self.buffer)
            if version != self.version:
                raise BadCarrier(f"frames of version {version}, this build speaks {self.version}")
            if count > MOST or size > BIGGEST:
                raise BadCarrier(f"a frame of {size} bytes with {count} descriptors")
            if len(self.buffer) < HEAD.size + size:
                break
            if len(self.fds) < count:
                raise BadCarrier(f"{count} descriptors are said to come, {len(self.fds)} did")
            body = bytes(self.buffer[HEAD.size : HEAD.size + size])
            del self.buffer[: HEAD.size + size]
            found.append(Frame(kind, body, [self.fds.popleft() for _ in range(count)]))
        return found

    def close(self) -> None:
        """With all that came and nobody took."""
        while self.fds:
            os.close(self.fds.popleft())
        self.out.clear()
        self.sock.close()
