"""Checks the consistency of a ledger: its hash chain, its entries and its index. Read-only."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from itertools import islice

import msgspec

from landingshift.ledger.entries import GENESIS_HASH, HASH_BYTES, EntryRow, chain_hash, decode
from landingshift.ledger.replay import LedgerReplay
from landingshift.ledger.schema import META_LAST_NUMBER
from landingshift.ledger.store_reader import StoreReader
from landingshift.ledger.totals import ZERO_TOTALS, UsageTotals, baseline_digest, sum_by_period

MAX_FINDING_COUNT = 100
PROGRESS_INTERVAL_ENTRIES = 1000


@dataclass(frozen=True, slots=True)
class Finding:
    """An inconsistency found by an audit."""

    entry_number: int
    """Number of the inconsistent or missing entry; 0 if the finding concerns the index."""
    problem: str
    """Description for operators."""


def audit_store(reader: StoreReader, on_progress: Callable[[int], None] = lambda _: None) -> list[Finding]:
    """Checks the hash chain, the entries and the index of a store.

    Args:
        reader: Store to check.
        on_progress: Called with the entry number after every `PROGRESS_INTERVAL_ENTRIES` entries.

    Returns:
        The first `MAX_FINDING_COUNT` findings.
    """
    audit = _Audit(reader, on_progress)
    findings = list(islice(audit.check_entries(), MAX_FINDING_COUNT))
    findings += audit.check_index()
    return findings[:MAX_FINDING_COUNT]


def retained_digest(reader: StoreReader, last_number: int) -> bytes:
    """Returns a digest of the entries up to `last_number` that the store still has."""
    digest = blake2b(digest_size=HASH_BYTES)
    for row in reader.rows(1, last_number):
        digest.update(b"%d %d %d " % (row.number, row.kind, len(row.data)))
        digest.update(row.data)
        digest.update(row.hash)
    return digest.digest()


class _Audit:
    """State of one audit.

    Exhaust the iterator that `check_entries` returns before calling `check_index`, which compares the index
    with the state computed from the entries.
    """

    def __init__(self, reader: StoreReader, on_progress: Callable[[int], None]) -> None:
        self.reader = reader
        self.on_progress = on_progress
        self.replay = LedgerReplay(reader)
        self.last_hash = GENESIS_HASH
        self.next_number = 1

    def check_entries(self) -> Iterator[Finding]:
        """Checks the hash chain and the entries; yields the findings in the order of the entries."""
        yield from self._check_compacted_part()
        for row in self.reader.rows(self.next_number):
            if row.number % PROGRESS_INTERVAL_ENTRIES == 0:
                self.on_progress(row.number)
            yield from self._check_chain(row)
            try:
                problems = list(self.replay.apply(row.number, decode(row.kind, row.data)))
            except (msgspec.DecodeError, ValueError, KeyError) as err:
                problems = [f"cannot be read: {err}"]
            for problem in problems:
                yield Finding(row.number, problem)

    def check_index(self) -> Iterator[Finding]:
        """Yields a finding for each difference between the index and the entries."""
        newest_number = self.reader.meta(META_LAST_NUMBER)
        if newest_number is not None and newest_number != self.next_number - 1:
            yield Finding(self.next_number, f"missing: the newest is {newest_number}")
        yield from self._check_totals()
        yield from self._check_period_sums()
        for number in sorted(self.reader.disputed_numbers() ^ self.replay.disputed):
            yield Finding(0, f"entry {number} is disputed in the index or in the entries, not in both")

    def _check_compacted_part(self) -> Iterator[Finding]:
        compaction = self.reader.newest_compaction()
        if compaction is None:
            return
        last_number = compaction.last_number
        if retained_digest(self.reader, last_number) != compaction.retained_digest:
            yield Finding(last_number, "an entry kept from the compacted part is changed or missing")
        if baseline_digest(self.reader.baseline()) != compaction.baseline_digest:
            yield Finding(last_number, "the totals of the compacted part are changed")
        self.last_hash = compaction.last_hash
        self.next_number = last_number + 1
        self.replay.start_after(self.reader, compaction)

    def _check_chain(self, row: EntryRow) -> Iterator[Finding]:
        if row.number != self.next_number:
            is_single = row.number == self.next_number + 1
            yield Finding(
                self.next_number, "missing" if is_single else f"missing, and all before {row.number}"
            )
        elif chain_hash(self.last_hash, row.kind, row.data) != row.hash:
            yield Finding(row.number, "changed, or out of its order")
        self.last_hash = row.hash
        self.next_number = row.number + 1

    def _check_totals(self) -> Iterator[Finding]:
        stored = self.reader.all_totals()
        for key in sorted({*stored, *self.replay.totals}):
            found = stored.get(key, ZERO_TOTALS)
            expected = self.replay.totals.get(key, ZERO_TOTALS)
            if found != expected:
                tenant = self.reader.name_of(key.tenant_number)
                method = self.reader.name_of(key.method_number)
                yield Finding(
                    0,
                    f"totals of {key.period}, {tenant!r}, {method!r} are "
                    f"{_as_text(found)}, not {_as_text(expected)}",
                )

    def _check_period_sums(self) -> Iterator[Finding]:
        expected_sums = sum_by_period(self.replay.totals)
        for period, found in self.reader.period_sums().items():
            expected = expected_sums.get(period)
            if found != (expected or ZERO_TOTALS):
                text = _as_text(expected) if expected is not None else "[]"
                yield Finding(0, f"sums of {period} are {_as_text(found)}, not {text}")


def _as_text(totals: UsageTotals) -> str:
    return str(list(totals.as_row()))
