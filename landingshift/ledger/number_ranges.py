"""Encodes a set of entry numbers as ranges, in a flat list `[first, count, first, count, ...]`."""

from __future__ import annotations

from collections.abc import Iterable, Iterator


def encode_ranges(numbers: Iterable[int]) -> list[int]:
    """Encodes distinct numbers, given in any order, as ranges."""
    ranges: list[int] = []
    for number in sorted(numbers):
        if ranges and ranges[-2] + ranges[-1] == number:
            ranges[-1] += 1
        else:
            ranges += (number, 1)
    return ranges


def iterate_ranges(ranges: list[int]) -> Iterator[tuple[int, int]]:
    """Yields the first number and the length of each range.

    Raises:
        ValueError: The list has an odd length.
    """
    return zip(ranges[::2], ranges[1::2], strict=True)


def decode_ranges(ranges: list[int]) -> list[int]:
    """Returns all numbers of the ranges, in the order of the ranges.

    Raises:
        ValueError: The list has an odd length.
    """
    return [number for first, count in iterate_ranges(ranges) for number in range(first, first + count)]


def ranges_contain(ranges: list[int], number: int) -> bool:
    """Returns whether one of the ranges contains the number.

    Raises:
        ValueError: The list has an odd length.
    """
    return any(first <= number < first + count for first, count in iterate_ranges(ranges))
