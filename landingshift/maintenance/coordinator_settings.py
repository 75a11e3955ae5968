"""Settings of the leader's decisions."""

from __future__ import annotations

from dataclasses import dataclass, field

from landingshift.maintenance.capacity_constraints import DisruptionBudget


@dataclass(slots=True, frozen=True)
class CoordinatorSettings:
    """Settings of the leader, the same on all servers."""

    budget: DisruptionBudget = field(default_factory=DisruptionBudget)
    permit_valid_ms: float = 3000.0
    """Time after an offer within which a permit may be used."""
    permit_grace_ms: float = 500.0
    """Further time after which an unused permit is revoked."""
    warm_up_minutes: float = 1.0
    """Approximate time from the start of a machine until it is warm."""
    is_staged: bool = True
    """Whether a rollout proceeds in stages: one machine, then a few, then many."""
    peak_decay_ms: float = 400_000.0
    """Time in which the recorded peak demand decays to 1/e."""
