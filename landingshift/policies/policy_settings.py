"""The settings of the protocol of policy changes, alike on all servers."""

from __future__ import annotations

from dataclasses import dataclass

PREPARED_LEASE_FRACTION = 0.8  # of the overlap; the rest is margin


@dataclass(slots=True, frozen=True)
class PolicySettings:
    """Alike on all servers of a fleet.

    Attributes:
        voters: Voters until the log names others.
        is_standby_when_cut_off: Whether each decision needs a lease at all times, so that a change need not
            wait for a server that is cut off.
        overlap_ms: For how long two versions may be in use at once, at most.
        lease_ms: Length of a lease between changes, where such leases are needed.
        clock_margin_ms: Added until the leader takes a lease for expired.
        change_timeout_ms: After which a change that is not committed is withdrawn.
    """

    voters: tuple[str, ...]
    is_standby_when_cut_off: bool
    overlap_ms: float = 1000.0
    lease_ms: float = 3000.0
    clock_margin_ms: float = 300.0
    change_timeout_ms: float = 30_000.0

    @property
    def prepared_lease_ms(self) -> float:
        """Length of a lease of a prepared server: for so long it decides by the old version at most."""
        return PREPARED_LEASE_FRACTION * self.overlap_ms

    @property
    def fingerprint(self) -> str:
        """What must be alike at who asks and who answers; sent with each request."""
        when_cut_off = "stand_aside" if self.is_standby_when_cut_off else "serve"
        return f"{when_cut_off} {self.overlap_ms:g} {self.lease_ms:g}"
