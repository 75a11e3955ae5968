"""What the leader knows of members: how far each is with a change, and whether its lease may still run.

Guarantee: a member counts as standing aside only once any lease that it may have is over by its own clock,
also one that an earlier leader granted. Failure mode: monotonic clocks that run apart by more than
`CLOCK_DRIFT_FRACTION` over a lease.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from landingshift.policies.messages import LeaseRequest
from landingshift.policies.policy_settings import PolicySettings

NEVER_MS = -inf
CLOCK_DRIFT_FRACTION = 0.02  # of a lease, by which two monotonic clocks may run apart in it
SILENT_STATE = "away"  # of a member that says nothing


@dataclass(slots=True, frozen=True)
class MemberReport:
    """A member's last lease request, and when it was last granted a lease."""

    request: LeaseRequest
    leased_at_ms: float


class MemberReports:
    """Reports of one leader's term.

    Attributes:
        by_member: The last report of each.
    """

    def __init__(self, settings: PolicySettings, term_began_at_ms: float) -> None:
        self.by_member: dict[str, MemberReport] = {}
        self._settings = settings
        self._term_began_at_ms = term_began_at_ms  # leases of earlier leaders are older

    def record(self, member: str, request: LeaseRequest, is_leased: bool, now_ms: float) -> bool:
        """Takes a lease request.

        Returns:
            Whether the member came further since its last one.
        """
        previous = self.by_member.get(member)
        leased_at_ms = previous.leased_at_ms if previous is not None else NEVER_MS
        self.by_member[member] = MemberReport(request, now_ms if is_leased else leased_at_ms)
        if previous is None:
            return True
        progress_before = (previous.request.change_id, previous.request.state)
        return progress_before != (request.change_id, request.state)

    def state_of(self, member: str, run_id: int, change_id: str) -> str:
        """How far this run is with the change; "away" where it has said nothing of it."""
        report = self.by_member.get(member)
        if report is None or report.request.run_id != run_id or report.request.change_id != change_id:
            return SILENT_STATE
        return report.request.state

    def is_on_standby(self, member: str, now_ms: float) -> bool:
        """Whether it decides nothing for certain: its last lease is over, by its own clock too."""
        if not self._settings.is_standby_when_cut_off:
            return False
        report = self.by_member.get(member)
        leased_at_ms = report.leased_at_ms if report is not None else NEVER_MS
        silent_ms = now_ms - max(self._term_began_at_ms, leased_at_ms)
        longest_lease_ms = self._settings.lease_ms * (1.0 + CLOCK_DRIFT_FRACTION)
        return silent_ms > longest_lease_ms + self._settings.clock_margin_ms

    def can_become_voter(self, member: str, run_id: int | None) -> bool:
        """Whether this run has told that it has a log file."""
        report = self.by_member.get(member)
        return report is not None and report.request.can_become_voter and report.request.run_id == run_id
