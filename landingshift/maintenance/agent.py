"""The agent on each server: reports to the leader, and leaves by its permit.

Guarantee: reports are numbered and a permit counts from when the report was sent that it answers. Whatever is
late, duplicated or lost, the server does not leave past the expiry that the leader reckons with.
"""

from __future__ import annotations

from landingshift.maintenance.messages import LoadReport, ReportAnswer, ServerStatus
from landingshift.maintenance.permit import DrainPermit

MAX_UNANSWERED_COUNT = 16
"""Reports whose times are kept for their answers."""


class MaintenanceAgent:
    """One process of a server.

    Attributes:
        permit: The latest permit that it was offered.
        used_permit: The permit by which its earlier process left; 0 where its disk has none.
        draining_permit: The permit by which it leaves; 0 where it stays.
        request_state: Stored value of the state of its request, as the leader last said; empty without one.
    """

    def __init__(self, used_permit: int) -> None:
        self.permit = DrainPermit()
        self.used_permit = used_permit
        self.draining_permit = 0
        self.request_state = ""
        self._last_sequence = 0
        self._sent_at_ms: dict[int, float] = {}

    @property
    def unanswered_count(self) -> int:
        """Reports whose answers may still come; at most `MAX_UNANSWERED_COUNT`."""
        return len(self._sent_at_ms)

    def next_report(self, now_ms: float, status: ServerStatus) -> LoadReport:
        """Returns the next report. `now_ms`: the server's monotonic clock."""
        self._last_sequence += 1
        self._sent_at_ms[self._last_sequence] = now_ms
        self._sent_at_ms.pop(self._last_sequence - MAX_UNANSWERED_COUNT, None)
        return LoadReport(self._last_sequence, status, self.draining_permit, self.used_permit)

    def on_answer(self, answer: ReportAnswer) -> bool:
        """Takes the leader's answer; returns whether `begin_draining` is to be tried.

        An answer to no report, or a second answer to one, is ignored.
        """
        reported_at_ms = self._sent_at_ms.pop(answer.sequence, None)
        if reported_at_ms is None:
            return False
        self.request_state = answer.request_state
        if answer.valid_ms <= 0.0 or self.draining_permit:
            return False
        return self.permit.offer(answer.permit_number, reported_at_ms, answer.valid_ms)

    def begin_draining(self, now_ms: float) -> bool:
        """Uses the permit, just before the drain; returns whether it was still valid."""
        if not self.permit.is_valid(now_ms):
            return False
        self.draining_permit = self.permit.number
        self.permit.consume()
        return True
