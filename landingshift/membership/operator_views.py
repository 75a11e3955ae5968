"""Results of the operator calls `members` and `status`. Only this module knows the keys of these results."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from landingshift.membership.messages import MemberRecord
from landingshift.membership.node import SwimNode


@dataclass(slots=True)
class DatagramCounts:
    """Datagram counters of one server since its start.

    Attributes:
        received: Datagrams read from the socket, valid or not.
        sent: Datagrams passed to the operating system, including those counted in `failed`.
        failed: Datagrams that the operating system did not accept.
    """

    received: int = 0
    sent: int = 0
    failed: int = 0


def member_rows(node: SwimNode, now_ms: float) -> list[dict[str, Any]]:
    """Returns one dictionary for each known member, including this one, sorted by name."""
    table = node.member_table
    rows = [_member_row(table.local_record, 0.0)]
    rows += [_member_row(member.record, now_ms - member.state_since_ms) for member in table.members.values()]
    return sorted(rows, key=lambda row: str(row["name"]))


def _member_row(record: MemberRecord, state_age_ms: float) -> dict[str, Any]:
    return {
        "name": record.name,
        "address": f"{record.host}:{record.port}",
        "zone": record.zone,
        "run": record.run_id,
        "incarnation": record.incarnation,
        "state": record.state.name.lower(),
        "for_ms": round(state_age_ms),
        **record.metadata,
    }


def membership_status(node: SwimNode, cluster_name: str, datagrams: DatagramCounts) -> dict[str, Any]:
    """Returns the counts of other members by state, the local health score and the message counters."""
    table = node.member_table
    state_counts: dict[str, int] = {}
    for member in table.members.values():
        state = member.record.state.name.lower()
        state_counts[state] = state_counts.get(state, 0) + 1
    return {
        "name": node.local_record.name,
        "fleet": cluster_name,
        "members": len(table.present_names) + 1,
        "states": state_counts,
        "doubt": node.local_health.score,
        "news": len(table.gossip),
        "heard": datagrams.received,
        "said": datagrams.sent,
        "unsent": datagrams.failed + node.outbox.dropped_message_count,
        "refused": table.rejected_record_count,
    }
