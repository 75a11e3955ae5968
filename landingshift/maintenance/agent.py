"""One machine's own side of its work: what it reports, and whether it goes by what it is told. Pure.

Reports are numbered, and a permission counts from when the report was sent that it answers: whatever is late,
doubled or lost, nobody leaves past the end that the leader reckons with.
"""

from __future__ import annotations

from typing import Any

from landingshift.maintenance.capacity_constraints import Machine
from landingshift.maintenance.coordinator import MaintenanceCoordinator
from landingshift.maintenance.requests import LeavePermit
from landingshift.membership.messages import MemberRecord

OUT = 16  # reports whose times are kept
MODEL = 16  # letters


class MaintenanceAgent:
    """`did`: the permission by which its earlier run left, as its disk says; 0 where nothing says so."""

    def __init__(self, did: int) -> None:
        self.leave, self.did = LeavePermit(), did
        self.going, self.stage = 0, ""  # the permission by which it leaves; its wish's stage, as told
        self.number = 0
        self.sent: dict[int, float] = {}

    def report(self, now: float, *facts: Any) -> list[Any]:
        """`facts`: capacity, model, best, warmth, load, ok and all, as `answer_report` reads them."""
        self.number += 1
        self.sent[self.number] = now
        self.sent.pop(self.number - OUT, None)
        capacity, model, best, warmth, load, ok, all = facts
        return ["at", self.number, capacity, model, best, warmth, load, self.going, self.did, ok, all]

    def told(self, number: int, stage: str, permission: int, lasts: float) -> bool:
        """The leader's answer; True where it is allowed to go, which `goes` settles."""
        asked = self.sent.pop(number, None)
        if asked is None:
            return False
        self.stage = stage
        return lasts > 0.0 and not self.going and self.leave.granted(permission, asked, lasts)

    def goes(self, now: float) -> bool:
        """Looked at once, just before the drain: False where the permission has run out meanwhile."""
        if not self.leave.may_go(now):
            return False
        self.going = self.leave.number
        self.leave.used()
        return True


def answer_report(
    coordinator: MaintenanceCoordinator | None,
    sender: MemberRecord,
    voters: list[str],
    body: list[Any],
    now: float,
) -> list[Any] | None:
    """The leader's answer to a report; None where there is none."""
    match body:
        case ["at", int(number), float(capacity), str(model), bool(best), *rest]:
            if coordinator is None or not 0.0 < capacity < 1e9 or len(model) > MODEL:
                return None
            coordinator.voters = voters
            machine = Machine(sender.name, capacity, sender.zone, model, best, sender.name in voters)
            answer = coordinator.hear(machine, sender.run_id, rest, now)
            return None if answer is None else ["told", number, *answer]
    return None
