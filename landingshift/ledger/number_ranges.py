"""Sorted numbers as ranges: first, count, first, count, ..., as entries store them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator


def encode_ranges(numbers: Iterable[int]) -> list[int]:
    """Packs numbers, in any order, into ranges."""
    ranges: list[int] = []
    for number in sorted(numbers):
        if ranges and ranges[-2] + ranges[-1] == number:
            ranges[-1] += 1
        else:
            ranges += (number, 1)
    return ranges


def iterate_ranges(ranges: list[int]) -> Iterator[tuple[int, int]]:
    """The first number and the count of each range.

    Raises:
        ValueError: A count is missing.
    """
    return zip(ranges[::2], ranges[1::2], strict=True)


def decode_ranges(ranges: list[int]) -> list[int]:
    """All numbers of the ranges, in their order.

    Raises:
        ValueError: A count is missing.
    """
    return [number for first, count in iterate_ranges(ranges) for number in range(first, first + count)]


def ranges_contain(ranges: list[int], number: int) -> bool:
    """Whether one of the ranges has the number."""
    return any(first <= number < first + count for first, count in iterate_ranges(ranges))
