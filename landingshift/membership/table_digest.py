"""Digest of a member table: two members compare digests to find where their tables differ.

Each member name belongs to one bucket; the digest has one checksum for each bucket.
"""

from __future__ import annotations

import zlib

from landingshift.membership.messages import DEPARTED_STATES, DIGEST_BUCKET_COUNT, MemberRecord, MemberState


def bucket_of(name: str) -> int:
    """Returns the index of the bucket to which a member name belongs."""
    return zlib.crc32(name.encode()) % DIGEST_BUCKET_COUNT


def record_checksum(record: MemberRecord) -> int:
    """Returns a checksum of the fields that must agree in all tables.

    Metadata is left out because it changes too often. A suspect counts as alive, because every suspicion is
    soon refuted or followed by the state DEAD.
    """
    state = record.state if record.state in DEPARTED_STATES else MemberState.ALIVE
    return zlib.crc32(f"{record.name} {record.run_id} {record.incarnation} {state}".encode())


class TableDigest:
    """Digest of one member table; the table updates it with each change of a record.

    Attributes:
        bucket_checksums: XOR of the checksums of all records in each bucket.
    """

    def __init__(self) -> None:
        self.bucket_checksums = [0] * DIGEST_BUCKET_COUNT

    def toggle(self, record: MemberRecord) -> None:
        """Adds a record to the digest, or removes it if the digest already includes it."""
        self.bucket_checksums[bucket_of(record.name)] ^= record_checksum(record)

    def replace(self, old: MemberRecord, new: MemberRecord) -> None:
        """Replaces a member's record with a newer one."""
        self.bucket_checksums[bucket_of(new.name)] ^= record_checksum(old) ^ record_checksum(new)

    def differing_buckets(self, other_checksums: tuple[int, ...]) -> set[int]:
        """Returns the indexes of the buckets whose checksums differ from those of another table."""
        pairs = zip(self.bucket_checksums, other_checksums, strict=True)
        return {bucket for bucket, (own, other) in enumerate(pairs) if own != other}
