"""Settings of the policy change protocol, the same on all servers."""

from __future__ import annotations

from dataclasses import dataclass

PREPARED_LEASE_FRACTION = 0.8  # of `overlap_ms`; the rest is a safety margin


@dataclass(slots=True, frozen=True)
class PolicySettings:
    """Settings of the policy change protocol.

    Attributes:
        voters: Initial voters, used until the replicated log names others.
        is_standby_when_cut_off: Whether decisions need a lease also between changes. A server that is cut off
            then goes on standby, and a change need not wait for it.
        overlap_ms: Maximum time during which two versions can be in use at once.
        lease_ms: Duration of a lease between changes, if `is_standby_when_cut_off`.
        clock_margin_ms: Extra time after the end of a lease before the leader considers it expired.
        change_timeout_ms: Time after which a change that is not committed is withdrawn.
    """

    voters: tuple[str, ...]
    is_standby_when_cut_off: bool
    overlap_ms: float = 1000.0
    lease_ms: float = 3000.0
    clock_margin_ms: float = 300.0
    change_timeout_ms: float = 30_000.0

    @property
    def prepared_lease_ms(self) -> float:
        """Duration of a lease of a prepared server, which can use the old version until its lease expires."""
        return PREPARED_LEASE_FRACTION * self.overlap_ms

    @property
    def fingerprint(self) -> str:
        """Settings that must be equal on a member and its leader, as text; sent with each lease request."""
        when_cut_off = "stand_aside" if self.is_standby_when_cut_off else "serve"
        return f"{when_cut_off} {self.overlap_ms:g} {self.lease_ms:g}"
