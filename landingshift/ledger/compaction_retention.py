"""Which settled usage a compaction keeps, because a later decision about a retry needs it. No I/O.

Usage is a duplicate if usage of the same identity was counted less than one deduplication window before or
after it. Guarantee: counted usage is kept while it can make a duplicate of usage that is pending or disputed
now, or of usage that is reported later. Failure mode: if the server's clock steps back by more than a window
after a compaction, a retry of usage from before the step might be counted again.
"""

from __future__ import annotations

from collections.abc import Iterable

from landingshift.ledger.entries import Entry, Settlement, UsageRecord, counted_ranges, settled_ranges
from landingshift.ledger.number_ranges import decode_ranges


class NeededUsage:
    """Tells whether counted usage can still make a duplicate of other usage."""

    def __init__(self, dedup_window_ms: int, undecided: Iterable[UsageRecord], next_usage_ms: int) -> None:
        """Creates the rule.

        Args:
            dedup_window_ms: Time within which only one RPC of the same identity is billed.
            undecided: All usage that is pending or disputed.
            next_usage_ms: Earliest time of usage that is reported later, Unix ms.
        """
        self._window_ms = dedup_window_ms
        self._next_usage_ms = next_usage_ms
        self._undecided_times: dict[bytes, list[int]] = {}
        for record in undecided:
            self._undecided_times.setdefault(record.identity, []).append(record.at_ms)

    def contains(self, counted: UsageRecord) -> bool:
        """Returns whether this counted usage must be kept."""
        if self._next_usage_ms - counted.at_ms < self._window_ms:
            return True
        times = self._undecided_times.get(counted.identity, ())
        return any(abs(counted.at_ms - time_ms) < self._window_ms for time_ms in times)


class CompactionRetention:
    """Collects the usage and settlements to keep of the entries that it is given, in their order."""

    def __init__(self, needed: NeededUsage) -> None:
        self._needed = needed
        self._undecided: dict[int, UsageRecord] = {}
        self._disputing_number: dict[int, int] = {}  # entry that disputed usage, by the number of that usage
        self._counting_number: dict[int, int] = {}  # entry that counted needed usage, likewise

    def apply(self, number: int, entry: Entry) -> None:
        """Applies the next entry."""
        if isinstance(entry, UsageRecord):
            self._undecided[number] = entry
            return
        for counted_number in decode_ranges(counted_ranges(entry)):
            record = self._undecided.get(counted_number)
            if record is not None and self._needed.contains(record):
                self._counting_number[counted_number] = number
        for settled_number in decode_ranges(settled_ranges(entry)):
            self._undecided.pop(settled_number, None)
            self._disputing_number.pop(settled_number, None)
        if isinstance(entry, Settlement):
            for disputed_number in decode_ranges(entry.disputed):
                self._disputing_number[disputed_number] = number

    def usage_count(self) -> int:
        """Returns the number of usage entries to keep."""
        return len(self._undecided) + len(self._counting_number)

    def retained_numbers(self) -> set[int]:
        """Returns the numbers of the usage entries to keep and of the entries that dispute or count them."""
        return {
            *self._undecided,
            *self._disputing_number.values(),
            *self._counting_number,
            *self._counting_number.values(),
        }
