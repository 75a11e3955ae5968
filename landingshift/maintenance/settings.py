"""Settings table `[upkeep]`; it requires `[fleet]` and `[policies]`, whose voters keep the replicated state.

The names of the keys are fixed by existing configurations and differ from the names of the fields.
"""

from __future__ import annotations

import os
from typing import Annotated, ClassVar

from msgspec import Meta, Struct, field

from landingshift.maintenance.capacity_constraints import DisruptionBudget
from landingshift.maintenance.coordinator_settings import CoordinatorSettings
from landingshift.maintenance.errors import InvalidSettingError
from landingshift.membership.messages import ZoneName

Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]


class Settings(Struct, forbid_unknown_fields=True, frozen=True):
    """Maintenance settings, the same on all servers of a cluster except for the keys marked "per server"."""

    needs: ClassVar[tuple[str, ...]] = ("fleet", "policies")
    """Tables that this one requires."""

    capacity_rpcs_per_second: Annotated[float, Meta(gt=0.0, le=1e9)] = field(name="capacity")
    """Per server: capacity when warm, in RPCs per second."""
    model: ZoneName = ""
    """Per server: hardware model of the machine."""
    serves_critical_methods: bool = field(default=False, name="best")
    """Per server: whether it serves the methods of the highest criticality."""
    command: Annotated[list[str], Meta(max_length=32)] = field(default=[], name="work")
    """Per server: command to run after the drain; its first word is an absolute path."""
    permit_file_path: str = field(default="", name="mark")
    """Per server: file that records the permit under which the server drained.

    Without it, the work may be done twice.
    """
    on: bool = True
    command_timeout_seconds: Annotated[float, Meta(gt=0.0, le=86_400.0)] = field(default=600.0, name="work_s")
    """Time after which the command is killed."""
    headroom_ratio: Annotated[float, Meta(ge=0.0, le=10.0)] = field(default=0.1, name="spare")
    """Required excess of the fleet's capacity over the demand, as a fraction of the demand."""
    min_zone_fraction: Fraction = field(default=0.5, name="zone_share")
    """Minimum fraction of each zone's capacity that stays in service."""
    min_model_fraction: Fraction = field(default=0.5, name="model_share")
    """Minimum fraction of each machine model's capacity that stays in service."""
    min_critical_fraction: Fraction = field(default=0.7, name="best_share")
    """Minimum fraction of the capacity serving critical methods that stays in service."""
    permit_valid_ms: Annotated[float, Meta(ge=500.0, le=600_000.0)] = field(default=3_000.0, name="lasts_ms")
    """Time after an offer within which a permit may be used."""
    permit_grace_ms: Annotated[float, Meta(ge=0.0, le=60_000.0)] = field(default=500.0, name="spare_ms")
    """Further time after which an unused permit is revoked."""
    warm_up_minutes: Annotated[float, Meta(ge=0.0, le=1_440.0)] = field(default=1.0, name="back_minutes")
    """Approximate time from the start of a machine until it is warm."""
    is_staged: bool = field(default=True, name="rings")
    """Whether a rollout proceeds in stages, and pauses if the machines that came back answer worse."""


def check(settings: Settings, _folder: str) -> None:
    """Checks constraints that the field types do not express.

    Raises:
        InvalidSettingError: A key has an invalid value.
    """
    permit_file_path = settings.permit_file_path
    if permit_file_path and not os.path.isabs(permit_file_path):
        raise InvalidSettingError("mark", f"an absolute path is expected, not {permit_file_path!r}")
    command = settings.command
    if command and not os.path.isabs(command[0]):
        raise InvalidSettingError("work", f"an absolute path is expected first, not {command[0]!r}")


def coordinator_settings(settings: Settings) -> CoordinatorSettings:
    """Returns the settings of the coordinator."""
    return CoordinatorSettings(
        budget=DisruptionBudget(
            headroom_ratio=settings.headroom_ratio,
            min_zone_fraction=settings.min_zone_fraction,
            min_model_fraction=settings.min_model_fraction,
            min_critical_fraction=settings.min_critical_fraction,
        ),
        permit_valid_ms=settings.permit_valid_ms,
        permit_grace_ms=settings.permit_grace_ms,
        warm_up_minutes=settings.warm_up_minutes,
        is_staged=settings.is_staged,
    )
