"""The table `[policies]`; needs `[fleet]`."""

from __future__ import annotations

import os
from typing import Annotated, ClassVar, Literal

from msgspec import Meta, Struct

from landingshift.membership.messages import MemberName
from landingshift.policies.participant import PolicySettings


class Settings(Struct, forbid_unknown_fields=True, frozen=True):
    """Alike on all servers of a fleet but for `journal`. RaftTimeouts in ms."""

    needs: ClassVar[tuple[str, ...]] = ("fleet",)

    voters: Annotated[
        list[MemberName], Meta(min_length=1, max_length=7)
    ]  # those that agree at first: 1, 3, 5 or 7
    journal: str = ""  # of a voter, or one that may become one: on a disk that lasts; one server a file
    on: bool = True
    when_cut_off: Literal["serve", "stand_aside"] = "serve"
    overlap_ms: Annotated[float, Meta(ge=200.0, le=60_000.0)] = 1_000.0  # two versions at once, at most
    lease_ms: Annotated[float, Meta(ge=500.0, le=600_000.0)] = 3_000.0  # of "stand_aside"
    spare_ms: Annotated[float, Meta(ge=0.0, le=60_000.0)] = 300.0  # more until a lease counts as over
    wait_ms: Annotated[float, Meta(ge=1_000.0, le=86_400_000.0)] = 30_000.0  # for all, then it is withdrawn
    most: Annotated[int, Meta(ge=2, le=10_000)] = 2_000  # servers that are counted


def check(settings: Settings, _folder: str) -> None:
    """Raises ValueError("key: what is wrong"); looks at nothing that starting would create."""
    if len(settings.voters) % 2 == 0:
        raise ValueError(
            f"voters: 1, 3, 5 or 7 are expected, not {len(settings.voters)}: one more adds nothing"
        )
    if len(set(settings.voters)) != len(settings.voters):
        raise ValueError("voters: a name stands there twice")
    if settings.journal and not os.path.isabs(settings.journal):
        raise ValueError(f"journal: an absolute path is expected, not {settings.journal!r}")


def plan(settings: Settings) -> PolicySettings:
    return PolicySettings(
        tuple(settings.voters), settings.when_cut_off == "stand_aside", settings.overlap_ms,
        settings.lease_ms, settings.spare_ms, settings.wait_ms,
    )  # fmt: skip
