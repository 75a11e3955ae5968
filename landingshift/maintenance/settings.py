"""The table `[upkeep]`; needs `[fleet]` and `[policies]`, whose voters keep its book."""

from __future__ import annotations

import os
from typing import Annotated, ClassVar

from msgspec import Meta, Struct

from landingshift.maintenance.capacity_constraints import DisruptionBudget
from landingshift.maintenance.coordinator import CoordinatorSettings
from landingshift.membership.messages import ZoneName

Share = Annotated[float, Meta(ge=0.0, le=1.0)]


class Settings(Struct, forbid_unknown_fields=True, frozen=True):
    """Alike on all servers but for the first five keys. Times in ms where not named."""

    needs: ClassVar[tuple[str, ...]] = ("fleet", "policies")

    capacity: Annotated[float, Meta(gt=0.0, le=1e9)]  # RPCs a second that this server does when warm
    model: ZoneName = ""  # of the machine
    best: bool = False  # it carries the methods of most criticality
    work: Annotated[list[str], Meta(max_length=32)] = []  # command run once it has drained; an absolute path
    mark: str = ""  # a file on a disk that lasts: by which permission it left; else work may be done twice
    on: bool = True
    work_s: Annotated[float, Meta(gt=0.0, le=86_400.0)] = 600.0  # then the command is ended
    spare: Annotated[float, Meta(ge=0.0, le=10.0)] = 0.1  # share by which capacity must pass the demand
    zone_share: Share = 0.5  # of each zone's capacity that stays in
    model_share: Share = 0.5
    best_share: Share = 0.7
    lasts_ms: Annotated[float, Meta(ge=500.0, le=600_000.0)] = 3_000.0  # a permission that is not used
    spare_ms: Annotated[float, Meta(ge=0.0, le=60_000.0)] = 500.0  # until it is given on
    back_minutes: Annotated[float, Meta(ge=0.0, le=1_440.0)] = 1.0  # from a start until warm, about
    rings: bool = True  # one, then five, then more, each watched


def check(settings: Settings, _folder: str) -> None:
    """Raises ValueError("key: what is wrong")."""
    if settings.mark and not os.path.isabs(settings.mark):
        raise ValueError(f"mark: an absolute path is expected, not {settings.mark!r}")
    if settings.work and not os.path.isabs(settings.work[0]):
        raise ValueError(f"work: an absolute path is expected first, not {settings.work[0]!r}")


def plan(settings: Settings) -> CoordinatorSettings:
    needs = DisruptionBudget(settings.spare, settings.zone_share, settings.model_share, settings.best_share)
    return CoordinatorSettings(
        needs, settings.lasts_ms, settings.spare_ms, settings.back_minutes, settings.rings
    )
