"""Tables of all invariants of histories (see `history.History`), and the function that checks them.

An invariant is a function of a history alone, independent of the code under test, and returns one text for
each violation. Its key in the tables names it in violations and reports. Reports also show the docstring of
the function as the description of the invariant, so the docstrings are part of the output of the testbed.
"""

from __future__ import annotations

from collections.abc import Callable

from landingshift.testbed.verification.history import History, NotQuiescent, TableSampled, events_of
from landingshift.testbed.verification.lease_invariants import check_lease_totals
from landingshift.testbed.verification.maintenance_invariants import check_permits, check_remaining_capacity
from landingshift.testbed.verification.membership_invariants import (
    check_death_declarations,
    check_death_detection,
)
from landingshift.testbed.verification.policy_invariants import (
    check_change_outcomes,
    check_version_overlap,
    check_version_regressions,
    check_version_texts,
)
from landingshift.testbed.verification.rpc_invariants import check_answers, check_drains

Invariant = Callable[[History, float], list[str]]
"""Checks a history and returns the violations as texts.

The second argument is the longest time for which two versions of a policy are allowed to be in use, ms.
"""
MAX_SHOWN_VIOLATIONS = 2
"""Greatest number of violations that `find_violations` returns for each invariant."""
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
"""Greatest allowed size of each table, keyed by the table name in `TableSampled` events."""


def check_table_sizes(history: History, _overlap_ms: float) -> list[str]:
    """Every table stays within its bound."""
    violation_by_table = {}
    for event in events_of(history, TableSampled):
        assert isinstance(event, TableSampled)
        max_size = MAX_TABLE_SIZES[event.table]
        if event.size > max_size:
            violation_by_table[event.table] = f"{event.server}: {event.table} has {event.size}, of {max_size}"
    return list(violation_by_table.values())


def check_quiescence(history: History, _overlap_ms: float) -> list[str]:
    """Once nothing is done to it any more, all are there, warm, use one version, and nothing hangs."""
    # "It" is the cluster, and "nothing is done" means that all faults have ended. The simulation decides
    # whether the cluster has recovered, and records a `NotQuiescent` event for each reason why it has not.
    return [
        str(event.reason) for event in events_of(history, NotQuiescent) if isinstance(event, NotQuiescent)
    ]


POLICY_INVARIANTS: dict[str, Invariant] = {
    "one_order": check_version_texts,
    "all_or_none": check_version_overlap,
    "no_way_back": check_version_regressions,
    "one_answer": check_change_outcomes,
}
CLUSTER_INVARIANTS: dict[str, Invariant] = POLICY_INVARIANTS | {
    "answered": check_answers,
    "drains": check_drains,
    "shares": check_lease_totals,
    "permissions": check_permits,
    "floor": check_remaining_capacity,
    "members": check_death_declarations,
    "deaths": check_death_detection,
    "bounded": check_table_sizes,
    "rests": check_quiescence,
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
"""The page of the documentation that promises each invariant."""


def find_violations(
    history: History, overlap_ms: float, invariants: dict[str, Invariant] | None = None
) -> list[str]:
    """Returns the first violations of each invariant, each as `name: violation`.

    Args:
        history: The history to check.
        overlap_ms: Longest time for which two versions of a policy are allowed to be in use.
        invariants: Invariants to check, keyed by name; `POLICY_INVARIANTS` if None.
    """
    checked = POLICY_INVARIANTS if invariants is None else invariants
    return [
        f"{name}: {violation}"
        for name, invariant in checked.items()
        for violation in invariant(history, overlap_ms)[:MAX_SHOWN_VIOLATIONS]
    ]
