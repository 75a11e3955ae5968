"""Members' reports to the leader: the state of each in a change, and whether its lease may still be valid.

Guarantee: a member counts as being on standby only once any lease that it may hold has expired by its own
clock, including a lease granted by an earlier leader. Failure mode: the guarantee is lost if two monotonic
clocks drift apart by more than `CLOCK_DRIFT_FRACTION` of a lease.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from landingshift.policies.messages import LeaseRequest
from landingshift.policies.policy_settings import PolicySettings

NEVER_MS = -inf
CLOCK_DRIFT_FRACTION = 0.02  # tolerated drift between two monotonic clocks during a lease, relative to it
SILENT_STATE = "away"  # reported for a member that has sent no report on the change


@dataclass(slots=True, frozen=True)
class MemberReport:
    """Last lease request of a member, and the time when it was last granted a lease."""

    request: LeaseRequest
    leased_at_ms: float


class MemberReports:
    """Reports received during one term of the leader.

    Attributes:
        by_member: Last report of each member, by name.
    """

    def __init__(self, settings: PolicySettings, term_began_at_ms: float) -> None:
        self.by_member: dict[str, MemberReport] = {}
        self._settings = settings
        self._term_began_at_ms = term_began_at_ms  # any lease of an earlier leader was granted before

    def record(self, member: str, request: LeaseRequest, is_leased: bool, now_ms: float) -> bool:
        """Stores a lease request.

        Returns:
            Whether the member's change or state differs from its previous request, or there was none.
        """
        previous = self.by_member.get(member)
        leased_at_ms = previous.leased_at_ms if previous is not None else NEVER_MS
        self.by_member[member] = MemberReport(request, now_ms if is_leased else leased_at_ms)
        if previous is None:
            return True
        progress_before = (previous.request.change_id, previous.request.state)
        return progress_before != (request.change_id, request.state)

    def state_of(self, member: str, run_id: int, change_id: str) -> str:
        """Returns the state of this run in the change; "away" if it has not reported on the change."""
        report = self.by_member.get(member)
        if report is None or report.request.run_id != run_id or report.request.change_id != change_id:
            return SILENT_STATE
        return report.request.state

    def is_on_standby(self, member: str, now_ms: float) -> bool:
        """Returns whether a member is certainly on standby, its last lease expired by its own clock, too."""
        if not self._settings.is_standby_when_cut_off:
            return False
        report = self.by_member.get(member)
        leased_at_ms = report.leased_at_ms if report is not None else NEVER_MS
        silent_ms = now_ms - max(self._term_began_at_ms, leased_at_ms)
        longest_lease_ms = self._settings.lease_ms * (1.0 + CLOCK_DRIFT_FRACTION)
        return silent_ms > longest_lease_ms + self._settings.clock_margin_ms

    def can_become_voter(self, member: str, run_id: int | None) -> bool:
        """Returns whether this run has reported that it has a log file."""
        report = self.by_member.get(member)
        return report is not None and report.request.can_become_voter and report.request.run_id == run_id
