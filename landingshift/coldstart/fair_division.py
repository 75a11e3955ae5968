"""Max-min fair division of a capacity."""

from __future__ import annotations


def max_min_fair_shares(wanted_amounts: dict[str, float], capacity: float) -> dict[str, float]:
    """Divide a capacity so that no share can grow except at the cost of a smaller or equal share.

    If the sum of the wanted amounts is at most the capacity, each share is the wanted amount. Otherwise the
    names with small wanted amounts get these in full, and the other names get equal parts of the rest.

    Args:
        wanted_amounts: Wanted amounts by name.
        capacity: Amount to divide.

    Returns:
        Shares by name.
    """
    shares: dict[str, float] = {}
    remaining = capacity
    remaining_count = len(wanted_amounts)
    for name in sorted(wanted_amounts, key=lambda name: (wanted_amounts[name], name)):
        shares[name] = max(0.0, min(wanted_amounts[name], remaining / remaining_count))
        remaining -= shares[name]
        remaining_count -= 1
    return shares
