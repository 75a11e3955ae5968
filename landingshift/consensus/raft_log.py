"""A voter's promises, log and snapshot on disk: frames with a chained checksum, one for each save.

Opening is recovery: a last frame that is not whole was never synced, so that nothing rests on it, and is cut
off; damage before it is an error that names the place. Beside the journal lies a seal that names the last
frame that was synced: a disk that lost that frame afterwards is noticed, for a voter that forgot a promise
must not come back under its name.
"""

from __future__ import annotations

import os
import zlib
from enum import IntEnum
from typing import Any

import msgspec

from landingshift import failpoints
from landingshift.consensus.raft import LogEntry, PersistentState

HEAD = b"landingshift-agreement 1 "
LARGEST = 8 << 20  # bytes of a journal before it is written anew
FRAME = 16 << 20  # bytes of a frame, at most


class Kind(IntEnum):
    PROMISE = 0  # term, vote
    APPEND = 1  # index, term, data
    CUT = 2  # the last index that stays
    SNAPSHOT = 3  # base, its term, state


class RaftLogError(Exception):
    """The text names the file and what is wrong with it."""


class RaftLogFile:
    """`fleet` and `name` tell whose it is. Raises RaftLogError or OSError."""

    def __init__(self, path: str, fleet: str, name: str) -> None:
        self.path, self.head = path, HEAD + f"{fleet} {name}\n".encode()
        self.fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            self.persistent_state, self.end, self.chain, self.frames = self.read()
            self.check_seal()
            os.ftruncate(self.fd, self.end)
            if self.end == 0:
                self.begin()
        except BaseException:
            os.close(self.fd)
            raise
        self.had = self.picture(self.persistent_state)

    # Opening

    def read(self) -> tuple[PersistentState, int, int, int]:
        """What is there, where the good frames end, their chain, and how many they are."""
        data = self.whole()
        stored = PersistentState()
        if not data.startswith(self.head):
            if len(data) < len(self.head) and self.head.startswith(data):
                return stored, 0, 0, 0  # killed in its first moment
            raise RaftLogError(
                f"{self.path}: {data[:80]!r} is not the journal of {self.head.decode().strip()}"
            )
        at, chain, frames = len(self.head), 0, 0
        while at < len(data):
            size = int.from_bytes(data[at : at + 4], "big")
            body = data[at + 8 : at + 8 + size]
            reaches = at + 8 + size
            good = len(data) >= at + 8 and len(body) == size
            good = good and zlib.crc32(body, chain) == int.from_bytes(data[at + 4 : at + 8], "big")
            if not good:
                if reaches < len(data) and size <= FRAME:
                    raise RaftLogError(f"{self.path}: damaged at byte {at}, frame {frames}")
                break  # the last one, not whole
            for record in msgspec.msgpack.decode(body):
                apply(stored, record)
            at, chain, frames = reaches, zlib.crc32(body, chain), frames + 1
        return stored, at, chain, frames

    def whole(self) -> bytes:
        parts = []
        os.lseek(self.fd, 0, os.SEEK_SET)
        while part := os.read(self.fd, 1 << 20):
            parts.append(part)
        return b"".join(parts)

    def check_seal(self) -> None:
        try:
            with open(self.path + ".seal", "rb") as file:
                frames, chain, run = msgspec.msgpack.decode(file.read(), type=tuple[int, int, bytes])
        except (OSError, msgspec.DecodeError):
            return  # a kill between frame and seal, or an older copy without one
        if run == self.head and (frames > self.frames or (frames == self.frames and chain != self.chain)):
            raise RaftLogError(
                f"{self.path}: frame {frames} was synced and is gone: this voter may have forgotten a "
                f"promise and must be replaced, not restarted"
            )

    def begin(self) -> None:
        os.lseek(self.fd, 0, os.SEEK_SET)
        os.write(self.fd, self.head)
        os.fsync(self.fd)
        self.end, self.chain, self.frames = len(self.head), 0, 0

    # Saving

    @staticmethod
    def picture(s: PersistentState) -> tuple[int, str, int, list[LogEntry]]:
        """Of what is on disk: entries never change, so that a list of them will do."""
        return s.term, s.vote, s.base, list(s.entries)

    def save(self, s: PersistentState) -> None:
        """Writes what differs and syncs it. After OSError the journal is as it was and may be tried again."""
        records = self.differs(s)
        if not records:
            return
        body = msgspec.msgpack.encode(records)
        frame = len(body).to_bytes(4, "big") + zlib.crc32(body, self.chain).to_bytes(4, "big") + body
        if self.end + len(frame) > LARGEST:
            self.rewrite(s)
            return
        try:
            os.lseek(self.fd, self.end, os.SEEK_SET)
            left = memoryview(frame)
            while left:
                left = left[os.write(self.fd, left) :]
            failpoints.reach("policies.written")
            os.fsync(self.fd)
        except OSError:
            os.ftruncate(self.fd, self.end)  # a part of a frame must not stand before the next one
            raise
        failpoints.reach("policies.synced")
        self.end, self.chain, self.frames = (
            self.end + len(frame),
            zlib.crc32(body, self.chain),
            self.frames + 1,
        )
        self.had = self.picture(s)
        self.seal()

    def differs(self, s: PersistentState) -> list[list[Any]]:
        term, vote, base, had = self.had
        records: list[list[Any]] = []
        if (s.term, s.vote) != (term, vote):
            records.append([Kind.PROMISE, s.term, s.vote])
        if s.base != base:
            records.append([Kind.SNAPSHOT, s.base, s.base_term, s.state, list(s.voters)])
            had = had[s.base - base :] if s.base > base else []
        same = 0
        while same < min(len(had), len(s.entries)) and had[same] == s.entries[same]:
            same += 1
        if same < len(had):
            records.append([Kind.CUT, s.base + same])
        for i, entry in enumerate(s.entries[same:], s.base + same + 1):
            records.append([Kind.APPEND, i, entry.term, entry.data])
        return records

    def seal(self) -> None:
        """Not synced: it is for a disk that loses what it had acknowledged, and a kill leaves it right."""
        beside = self.path + ".seal.new"
        with open(beside, "wb") as file:
            file.write(msgspec.msgpack.encode((self.frames, self.chain, self.head)))
        os.replace(beside, self.path + ".seal")

    def rewrite(self, s: PersistentState) -> None:
        """One frame with all that still counts, beside the old journal and then in its place."""
        beside = self.path + ".new"
        records: list[list[Any]] = [
            [Kind.PROMISE, s.term, s.vote],
            [Kind.SNAPSHOT, s.base, s.base_term, s.state, list(s.voters)],
        ]
        records += [[Kind.APPEND, i, e.term, e.data] for i, e in enumerate(s.entries, s.base + 1)]
        body = msgspec.msgpack.encode(records)
        fd = os.open(beside, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            frame = len(body).to_bytes(4, "big") + zlib.crc32(body).to_bytes(4, "big") + body
            left = memoryview(self.head + frame)
            while left:
                left = left[os.write(fd, left) :]
            os.fsync(fd)
            failpoints.reach("policies.rewritten")
            with_seal = self.path + ".seal"
            if os.path.exists(with_seal):
                os.unlink(with_seal)  # it speaks of the old file's frames
            os.replace(beside, self.path)
        except OSError:
            os.close(fd)
            raise
        os.close(self.fd)
        self.fd, self.end = fd, len(self.head) + len(frame)
        self.chain, self.frames, self.had = zlib.crc32(body), 1, self.picture(s)
        self.seal()

    def close(self) -> None:
        os.close(self.fd)


def apply(stored: PersistentState, record: list[Any]) -> None:
    match record:
        case [Kind.PROMISE, term, vote]:
            stored.term, stored.vote = term, vote
        case [Kind.APPEND, index, term, data]:
            if index != stored.base + len(stored.entries) + 1:
                raise RaftLogError(f"entry {index} stands after {stored.base + len(stored.entries)}")
            stored.entries.append(LogEntry(term, data))
        case [Kind.CUT, index]:
            del stored.entries[max(0, index - stored.base) :]
        case [Kind.SNAPSHOT, base, base_term, state, *voters]:
            stored.voters = tuple(voters[0]) if voters else ()
            stored.entries = stored.entries[base - stored.base :] if base > stored.base else []
            stored.base, stored.base_term, stored.state = base, base_term, state
        case _:
            raise RaftLogError(f"no such record: {record[:1]!r}")
