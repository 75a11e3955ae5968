"""Members' reports to the leader: each member's state in a change, and whether its lease might be valid.

Guarantee: a member counts as being on standby only once every lease that it could hold has expired by its
own clock, including a lease granted by an earlier leader. Failure mode: the guarantee is lost if the
monotonic clocks of the member and the leader drift apart by more than `CLOCK_DRIFT_FRACTION` of a lease.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from landingshift.policies.messages import LeaseRequest
from landingshift.policies.policy_settings import PolicySettings

NEVER_MS = -inf
CLOCK_DRIFT_FRACTION = 0.02  # tolerated drift between two monotonic clocks, as a fraction of the lease
SILENT_STATE = "away"  # shown for a member that has sent no report on the change


@dataclass(slots=True, frozen=True)
class MemberReport:
    """Last lease request of a member, and the time when this leader last granted the member a lease."""

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
        self._term_began_at_ms = term_began_at_ms  # earlier leaders granted no lease after this time

    def record(self, member: str, request: LeaseRequest, is_leased: bool, now_ms: float) -> bool:
        """Stores a member's lease request; if `is_leased`, also `now_ms` as the time of the member's lease.

        Returns:
            True if this is the member's first request in this term, or if the change or the state in the
                request differs from the previous request.
        """
        previous = self.by_member.get(member)
        leased_at_ms = previous.leased_at_ms if previous is not None else NEVER_MS
        self.by_member[member] = MemberReport(request, now_ms if is_leased else leased_at_ms)
        if previous is None:
            return True
        progress_before = (previous.request.change_id, previous.request.state)
        return progress_before != (request.change_id, request.state)

    def state_of(self, member: str, run_id: int, change_id: str) -> str:
        """Returns the state in the change `change_id` that the process `run_id` of a member reported last.

        Returns "away" if the member has sent no report, or if its last report concerns another process or
        another change.
        """
        report = self.by_member.get(member)
        if report is None or report.request.run_id != run_id or report.request.change_id != change_id:
            return SILENT_STATE
        return report.request.state

    def is_on_standby(self, member: str, now_ms: float) -> bool:
        """Returns whether a member is certainly on standby because all its leases have expired by its clock.

        This leader knows when it last granted the member a lease. It assumes that an earlier leader also
        granted the member a lease, and did so at the latest possible time: the start of this term.

        If `is_standby_when_cut_off` is False, the result is False. With that setting, members need leases
        only while they are prepared for a change, so the expiry of a lease does not imply standby.
        """
        if not self._settings.is_standby_when_cut_off:
            return False
        report = self.by_member.get(member)
        leased_at_ms = report.leased_at_ms if report is not None else NEVER_MS
        silent_ms = now_ms - max(self._term_began_at_ms, leased_at_ms)
        longest_lease_ms = self._settings.lease_ms * (1.0 + CLOCK_DRIFT_FRACTION)
        return silent_ms > longest_lease_ms + self._settings.clock_margin_ms

    def can_become_voter(self, member: str, run_id: int | None) -> bool:
        """Returns whether the process `run_id` of a member has reported that it has a log file."""
        report = self.by_member.get(member)
        return report is not None and report.request.can_become_voter and report.request.run_id == run_id
