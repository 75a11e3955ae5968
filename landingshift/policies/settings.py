"""Settings from the table `[policies]`, which requires the table `[fleet]`."""

from __future__ import annotations

import os
from typing import Annotated, ClassVar, Literal

from msgspec import Meta, Struct

from landingshift.membership.messages import MemberName
from landingshift.policies.errors import InvalidSettingError
from landingshift.policies.policy_settings import PolicySettings


class Settings(Struct, forbid_unknown_fields=True, frozen=True):
    """Keys of the table. All except `journal` must be the same on all servers of a fleet.

    Attributes:
        needs: Names of the other settings tables that must be enabled.
        voters: Names of the initial voters; 1, 3, 5 or 7 names are allowed.
        journal: Path of the log file of a voter, or of a server that can become one, on persistent storage.
        on: Whether the package is enabled.
        when_cut_off: Behaviour of a server that can't reach a leader between changes. With "serve", the
            server continues to decide on RPCs. With "stand_aside", the server goes on standby when its lease
            expires.
        overlap_ms: Maximum time during which some servers use the old version and others the new one.
        lease_ms: Duration of a lease between changes, if `when_cut_off` is "stand_aside".
        spare_ms: Extra time for which the leader waits after the end of a lease before it considers the lease
            expired.
        wait_ms: Time after which the leader withdraws a change that has not been committed.
        most: Maximum number of members.
    """

    needs: ClassVar[tuple[str, ...]] = ("fleet",)

    voters: Annotated[list[MemberName], Meta(min_length=1, max_length=7)]
    journal: str = ""
    on: bool = True
    when_cut_off: Literal["serve", "stand_aside"] = "serve"
    overlap_ms: Annotated[float, Meta(ge=200.0, le=60_000.0)] = 1_000.0
    lease_ms: Annotated[float, Meta(ge=500.0, le=600_000.0)] = 3_000.0
    spare_ms: Annotated[float, Meta(ge=0.0, le=60_000.0)] = 300.0
    wait_ms: Annotated[float, Meta(ge=1_000.0, le=86_400_000.0)] = 30_000.0
    most: Annotated[int, Meta(ge=2, le=10_000)] = 2_000


def check(settings: Settings, _folder: str) -> None:
    """Checks `voters` and `journal`.

    The number of voters must be odd, and no voter can be listed twice. `journal` must be empty or an absolute
    path. The log file need not exist, because the server can create it at startup.

    Raises:
        InvalidSettingError: A value is invalid; the message begins with its key.
    """
    voter_count = len(settings.voters)
    if voter_count % 2 == 0:
        reason = f"1, 3, 5 or 7 are expected, not {voter_count}; one voter fewer tolerates as many failures"
        raise InvalidSettingError("voters", reason)
    if len(set(settings.voters)) != voter_count:
        raise InvalidSettingError("voters", "a name is listed twice")
    if settings.journal and not os.path.isabs(settings.journal):
        raise InvalidSettingError("journal", f"an absolute path is expected, not {settings.journal!r}")


def to_policy_settings(settings: Settings) -> PolicySettings:
    """Converts the settings table to the settings of the policy change protocol."""
    return PolicySettings(
        voters=tuple(settings.voters),
        is_standby_when_cut_off=settings.when_cut_off == "stand_aside",
        overlap_ms=settings.overlap_ms,
        lease_ms=settings.lease_ms,
        clock_margin_ms=settings.spare_ms,
        change_timeout_ms=settings.wait_ms,
    )
