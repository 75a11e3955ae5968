"""Rules of partitions: whether what a sender sends to a receiver is cut, in real and simulated networks."""

from __future__ import annotations

from collections.abc import Container


def no_cut(_sender: object, _receiver: object) -> bool:
    """The rule of a network without partitions."""
    return False


def crosses_partition(side: Container[object], sender: object, receiver: object) -> bool:
    """Whether a message goes from one side to the other."""
    return (sender in side) != (receiver in side)


def is_from(muted: object, sender: object, _receiver: object) -> bool:
    """Whether a message comes from the one that nobody hears."""
    return sender == muted


def is_to_or_from(cut_off: object, sender: object, receiver: object) -> bool:
    """Whether a message goes to or comes from the one that is cut off."""
    return cut_off in (sender, receiver)
