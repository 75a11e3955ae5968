"""Settings of the policy change protocol, the same on all servers."""

from __future__ import annotations

from dataclasses import dataclass

PREPARED_LEASE_FRACTION = 0.8  # lease of a prepared server, as a fraction of `overlap_ms`; the rest is margin


@dataclass(slots=True, frozen=True)
class PolicySettings:
    """Settings of the policy change protocol.

    Attributes:
        voters: Names of the initial voters, used until the replicated log names the voters.
        is_standby_when_cut_off: If True, a server always needs a lease to decide on RPCs; if False, only
            while it is prepared for a change. If True, a server that is cut off from the leader goes on
            standby, and changes need not wait for that server.
        overlap_ms: Maximum time during which some servers use the old version and others the new one.
        lease_ms: Duration of a lease between changes, if `is_standby_when_cut_off` is True.
        clock_margin_ms: Extra time for which the leader waits after the end of a lease before it considers
            the lease expired.
        change_timeout_ms: Time after which the leader withdraws a change that has not been committed.
    """

    voters: tuple[str, ...]
    is_standby_when_cut_off: bool
    overlap_ms: float = 1000.0
    lease_ms: float = 3000.0
    clock_margin_ms: float = 300.0
    change_timeout_ms: float = 30_000.0

    @property
    def prepared_lease_ms(self) -> float:
        """Duration of the leases under which a prepared server can still decide by the old version."""
        return PREPARED_LEASE_FRACTION * self.overlap_ms

    @property
    def fingerprint(self) -> str:
        """Text of the settings that must be equal on a member and the leader; sent in each lease request."""
        when_cut_off = "stand_aside" if self.is_standby_when_cut_off else "serve"
        return f"{when_cut_off} {self.overlap_ms:g} {self.lease_ms:g}"
