"""Writes the leases of a server to the decision history, which invariant checkers read."""

from __future__ import annotations

from landingshift import decision_history
from landingshift.coldstart.participant import ColdStartParticipant

HISTORY_EVENT = "loan"


class LeaseHistory:
    """Writes each change of a server's leases to the decision history.

    Checkers compare the sum of all servers' leases with the capacity.
    """

    def __init__(self) -> None:
        self._recorded: dict[str, tuple[float, ...]] = {}

    def update(self, participant: ColdStartParticipant) -> None:
        """Write the leases that have changed since the previous call, if a history is being recorded."""
        if not decision_history.is_recording():
            return
        holder_name = participant.node.local_record.name
        for grantor_name, leases in participant.held_leases.items():
            held = (
                leases.call_quota.held_amount,
                leases.call_quota.expires_at_ms,
                leases.start_permit.held_amount,
                leases.start_permit.expires_at_ms,
            )
            if self._recorded.get(grantor_name) != held:
                self._recorded[grantor_name] = held
                decision_history.record(HISTORY_EVENT, holder_name, grantor_name, *held)
