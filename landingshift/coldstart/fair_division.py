"""Max-min fairness: dividing what there is among those who want it. Pure."""

from __future__ import annotations


def max_min_fair_shares(wanted_amounts: dict[str, float], capacity: float) -> dict[str, float]:
    """Divides so that no share can grow but at the cost of a smaller one.

    All get what they want where that fits; else those who want little get it whole, and the others equal
    parts of the rest.

    Args:
        wanted_amounts: By name.
        capacity: What there is.
    """
    shares: dict[str, float] = {}
    remaining = capacity
    remaining_count = len(wanted_amounts)
    for name in sorted(wanted_amounts, key=lambda name: (wanted_amounts[name], name)):
        shares[name] = max(0.0, min(wanted_amounts[name], remaining / remaining_count))
        remaining -= shares[name]
        remaining_count -= 1
    return shares
