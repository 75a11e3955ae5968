"""Settings of the leader's decisions."""

from __future__ import annotations

from dataclasses import dataclass, field

from landingshift.maintenance.capacity_constraints import DisruptionBudget


@dataclass(slots=True, frozen=True)
class CoordinatorSettings:
    """Settings of the leader, alike on all servers."""

    budget: DisruptionBudget = field(default_factory=DisruptionBudget)
    permit_valid_ms: float = 3000.0
    """For how long a permit that was offered may be used."""
    permit_grace_ms: float = 500.0
    """How long after that a permit is taken back."""
    warm_up_minutes: float = 1.0
    """About how long a machine takes from its start until it is warm."""
    is_staged: bool = True
    """Whether work begins with one machine, then a few."""
    peak_decay_ms: float = 400_000.0
    """Time in which the largest demand fades to 1/e."""
