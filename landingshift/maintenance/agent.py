"""Maintenance agent of a server: reports to the leader, and decides whether a permit allows the drain.

Guarantee: reports are numbered, and the validity of a permit counts from the time at which the report that
it answers was sent. Even if messages are delayed, duplicated or lost, the server does not start to drain
after the expiry that the leader assumes.
"""

from __future__ import annotations

from landingshift.maintenance.messages import LoadReport, ReportAnswer, ServerStatus
from landingshift.maintenance.permit import DrainPermit

MAX_UNANSWERED_COUNT = 16
"""Maximum number of unanswered reports whose send times are kept."""


class MaintenanceAgent:
    """Agent of one server process.

    Attributes:
        permit: Latest permit offered to this process.
        used_permit: Permit under which the previous process drained, read from disk; 0 if none is recorded.
        draining_permit: Permit under which this process drains; 0 if it does not.
        request_state: Stored value of the state of this server's request in the leader's latest answer; empty
            without a request.
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
        """Number of reports whose answers are still accepted; at most `MAX_UNANSWERED_COUNT`."""
        return len(self._sent_at_ms)

    def next_report(self, now_ms: float, status: ServerStatus) -> LoadReport:
        """Returns the next report; `now_ms` is the monotonic time of this server."""
        self._last_sequence += 1
        self._sent_at_ms[self._last_sequence] = now_ms
        self._sent_at_ms.pop(self._last_sequence - MAX_UNANSWERED_COUNT, None)
        return LoadReport(self._last_sequence, status, self.draining_permit, self.used_permit)

    def on_answer(self, answer: ReportAnswer) -> bool:
        """Handles the leader's answer; returns whether the caller should try `begin_draining`.

        An answer to an unknown report and a second answer to the same report are ignored.
        """
        reported_at_ms = self._sent_at_ms.pop(answer.sequence, None)
        if reported_at_ms is None:
            return False
        self.request_state = answer.request_state
        if answer.valid_ms <= 0.0 or self.draining_permit:
            return False
        return self.permit.offer(answer.permit_number, reported_at_ms, answer.valid_ms)

    def begin_draining(self, now_ms: float) -> bool:
        """Consumes the permit immediately before the drain; returns whether it was still valid."""
        if not self.permit.is_valid(now_ms):
            return False
        self.draining_permit = self.permit.number
        self.permit.consume()
        return True
