"""All invariants, as predicates over a history (`history.History`); they know nothing of the code they judge.

An invariant returns a text for each violation. Its name stands in front of the texts, in reports, and in the
names of scenarios that violate it; `PAGE_BY_INVARIANT` has the page that promises it.
"""

from __future__ import annotations

from collections.abc import Callable

from landingshift.testbed.verification.history import History, NotQuiescent, TableSampled, events_of
from landingshift.testbed.verification.lease_invariants import shares
from landingshift.testbed.verification.maintenance_invariants import floor, permissions
from landingshift.testbed.verification.membership_invariants import deaths, members
from landingshift.testbed.verification.policy_invariants import (
    all_or_none,
    no_way_back,
    one_answer,
    one_order,
)
from landingshift.testbed.verification.rpc_invariants import answered, drains

Invariant = Callable[[History, float], list[str]]
"""Takes a history and for how long two versions of a policy may overlap, ms; returns the violations."""
MAX_SHOWN_VIOLATIONS = 2
"""Of each invariant."""
MAX_TABLE_SIZES = {
    "out": 4096,
    "errands": 64,
    "book": 1024,
    "table": 1000,
    "words": 32,
    "answers": 256,
    "sent": 17,
    "reports": 17,
    "jobs": 2000,
    "log": 10_000,
    "votes": 1024,
}
"""By the names that `TableSampled` events have."""


def bounded(history: History, _overlap_ms: float) -> list[str]:
    """Every table stays within its bound."""
    violation_by_table = {}
    for event in events_of(history, TableSampled):
        assert isinstance(event, TableSampled)
        max_size = MAX_TABLE_SIZES[event.table]
        if event.size > max_size:
            violation_by_table[event.table] = f"{event.server}: {event.table} has {event.size}, of {max_size}"
    return list(violation_by_table.values())


def rests(history: History, _overlap_ms: float) -> list[str]:
    """Once nothing is done to it any more, all are there, warm, use one version, and nothing hangs."""
    return [
        str(event.reason) for event in events_of(history, NotQuiescent) if isinstance(event, NotQuiescent)
    ]


POLICY_INVARIANTS: dict[str, Invariant] = {
    "one_order": one_order,
    "all_or_none": all_or_none,
    "no_way_back": no_way_back,
    "one_answer": one_answer,
}
CLUSTER_INVARIANTS: dict[str, Invariant] = POLICY_INVARIANTS | {
    "answered": answered,
    "drains": drains,
    "shares": shares,
    "permissions": permissions,
    "floor": floor,
    "members": members,
    "deaths": deaths,
    "bounded": bounded,
    "rests": rests,
}
PAGE_BY_INVARIANT = {
    "one_order": "docs/policies.md",
    "all_or_none": "docs/policies.md",
    "no_way_back": "docs/policies.md",
    "one_answer": "docs/policies.md",
    "answered": "docs/design.md",
    "drains": "docs/design.md",
    "shares": "docs/coldstart.md",
    "permissions": "docs/upkeep.md",
    "floor": "docs/upkeep.md",
    "members": "docs/fleet.md",
    "deaths": "docs/fleet.md",
    "bounded": "docs/fleet.md",
    "rests": "docs/chance.md",
}


def find_violations(
    history: History, overlap_ms: float, invariants: dict[str, Invariant] | None = None
) -> list[str]:
    """Returns the first violations of each invariant, with its name in front.

    Args:
        history: What happened.
        overlap_ms: For how long two versions of a policy may overlap.
        invariants: Those to check; by default those of policy changes.
    """
    checked = POLICY_INVARIANTS if invariants is None else invariants
    return [
        f"{name}: {violation}"
        for name, invariant in checked.items()
        for violation in invariant(history, overlap_ms)[:MAX_SHOWN_VIOLATIONS]
    ]
