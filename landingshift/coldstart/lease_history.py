"""Notes for checkers of a run: what this server holds, and until when."""

from __future__ import annotations

from landingshift import decision_history
from landingshift.coldstart.participant import ColdStartParticipant

HISTORY_EVENT = "loan"


class LeaseHistory:
    """Writes each change of a held lease to the history, if there is one; their sum must keep the bound."""

    def __init__(self) -> None:
        self._noted: dict[str, tuple[float, ...]] = {}

    def update(self, participant: ColdStartParticipant) -> None:
        """Notes what has changed."""
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
            if self._noted.get(grantor_name) != held:
                self._noted[grantor_name] = held
                decision_history.record(HISTORY_EVENT, holder_name, grantor_name, *held)
