"""Checksums over the member table, by which two members find out cheaply where their tables differ."""

from __future__ import annotations

import zlib

from landingshift.membership.messages import DEPARTED_STATES, DIGEST_BUCKET_COUNT, MemberRecord, MemberState


def bucket_of(name: str) -> int:
    """The bucket into which all records of that name fall."""
    return zlib.crc32(name.encode()) % DIGEST_BUCKET_COUNT


def record_checksum(record: MemberRecord) -> int:
    """Checksum of what must be alike in all tables.

    Metadata is left out because it changes too often, and a suspicion counts as alive because it ends by
    itself.
    """
    state = record.state if record.state in DEPARTED_STATES else MemberState.ALIVE
    return zlib.crc32(f"{record.name} {record.run_id} {record.incarnation} {state}".encode())


class TableDigest:
    """One checksum a bucket, kept up to date with each change of a record.

    Attributes:
        bucket_checksums: Exclusive or of the checksums of all records in the bucket.
    """

    def __init__(self) -> None:
        self.bucket_checksums = [0] * DIGEST_BUCKET_COUNT

    def toggle(self, record: MemberRecord) -> None:
        """Adds a record that was not in, or removes one that was."""
        self.bucket_checksums[bucket_of(record.name)] ^= record_checksum(record)

    def replace(self, old: MemberRecord, new: MemberRecord) -> None:
        """The record of a name gives way to a newer one."""
        self.bucket_checksums[bucket_of(new.name)] ^= record_checksum(old) ^ record_checksum(new)

    def differing_buckets(self, other_checksums: tuple[int, ...]) -> set[int]:
        """Buckets in which another table is not like this one."""
        pairs = zip(self.bucket_checksums, other_checksums, strict=True)
        return {bucket for bucket, (own, other) in enumerate(pairs) if own != other}
