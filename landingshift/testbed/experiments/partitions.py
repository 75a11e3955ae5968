"""Partition rules: whether a network, real or simulated, drops messages from a sender to a receiver."""

from __future__ import annotations

from collections.abc import Container


def no_cut(_sender: object, _receiver: object) -> bool:
    """Drops no message: the rule of a network without partitions."""
    return False


def crosses_partition(side: Container[object], sender: object, receiver: object) -> bool:
    """Drops messages between `side` and the rest of the network, in both directions."""
    return (sender in side) != (receiver in side)


def is_from(muted: object, sender: object, _receiver: object) -> bool:
    """Drops all messages that `muted` sends."""
    return sender == muted


def is_to_or_from(cut_off: object, sender: object, receiver: object) -> bool:
    """Drops all messages that `cut_off` sends or receives."""
    return cut_off in (sender, receiver)
