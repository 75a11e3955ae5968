"""The table `[upkeep]`; it needs `[fleet]` and `[policies]`, whose voters keep the replicated state.

The names of its keys are the users'; the fields have the names of this package.
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
    """The same on all servers of a cluster, except for the keys that are marked as this server's own."""

    needs: ClassVar[tuple[str, ...]] = ("fleet", "policies")
    """Tables without which this one can't be on."""

    capacity_rpcs_per_second: Annotated[float, Meta(gt=0.0, le=1e9)] = field(name="capacity")
    """This server's own: RPCs a second that it serves when warm."""
    model: ZoneName = ""
    """This server's own: the model of its machine."""
    serves_critical_methods: bool = field(default=False, name="best")
    """This server's own: whether it serves the methods of the highest criticality."""
    command: Annotated[list[str], Meta(max_length=32)] = field(default=[], name="work")
    """This server's own: command that is run once it has drained; begins with an absolute path."""
    permit_file_path: str = field(default="", name="mark")
    """This server's own: file that keeps the permit by which it left; without it work may be done twice."""
    on: bool = True
    command_timeout_seconds: Annotated[float, Meta(gt=0.0, le=86_400.0)] = field(default=600.0, name="work_s")
    """How long the command may run before it is ended."""
    headroom_ratio: Annotated[float, Meta(ge=0.0, le=10.0)] = field(default=0.1, name="spare")
    """Part of the demand by which capacity must exceed it."""
    min_zone_fraction: Fraction = field(default=0.5, name="zone_share")
    """Fraction of each zone's capacity that stays in service."""
    min_model_fraction: Fraction = field(default=0.5, name="model_share")
    """The same of each machine model."""
    min_critical_fraction: Fraction = field(default=0.7, name="best_share")
    """The same of the machines that serve critical methods."""
    permit_valid_ms: Annotated[float, Meta(ge=500.0, le=600_000.0)] = field(default=3_000.0, name="lasts_ms")
    """For how long a permit may be used."""
    permit_grace_ms: Annotated[float, Meta(ge=0.0, le=60_000.0)] = field(default=500.0, name="spare_ms")
    """How long after that an unused permit is taken back."""
    warm_up_minutes: Annotated[float, Meta(ge=0.0, le=1_440.0)] = field(default=1.0, name="back_minutes")
    """About how long a machine takes from its start until it is warm."""
    is_staged: bool = field(default=True, name="rings")
    """Whether work begins with one machine, then a few, each stage watched."""


def check(settings: Settings, _folder: str) -> None:
    """Checks what the types can't say.

    Raises:
        InvalidSettingError: A key has a value that can't be used.
    """
    permit_file_path = settings.permit_file_path
    if permit_file_path and not os.path.isabs(permit_file_path):
        raise InvalidSettingError("mark", f"an absolute path is expected, not {permit_file_path!r}")
    command = settings.command
    if command and not os.path.isabs(command[0]):
        raise InvalidSettingError("work", f"an absolute path is expected first, not {command[0]!r}")


def coordinator_settings(settings: Settings) -> CoordinatorSettings:
    """Returns the settings of the leader's decisions."""
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
