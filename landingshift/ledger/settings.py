"""Settings of the TOML table `[ledger]`.

The server passes the settings to the store's process as JSON on its command line, with the keys of the TOML
table.
"""

from __future__ import annotations

import os
from typing import Annotated, Literal
from zoneinfo import ZoneInfo

from msgspec import Meta, Struct, field

from landingshift.ledger.errors import InvalidPricePlanError, InvalidSettingError
from landingshift.ledger.periods import PeriodUnit

Durability = Literal["before_answer", "after_answer"]
OverdueAction = Literal["answer", "abort"]
DirectoryPath = Annotated[str, Meta(min_length=1, max_length=1000)]


class Settings(Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of usage metering."""

    directory: DirectoryPath = field(name="folder")
    """Directory of the store and its lock file, used by only one server at a time."""
    instance: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    """Unique name of this server's ledger; can't change once the store exists."""
    on: bool = True
    """Whether usage is metered."""
    durability: Durability = field(default="before_answer", name="durable")
    """Whether an ok answer is sent only after its usage is durable, or without waiting."""
    overdue_action: OverdueAction = field(default="answer", name="stuck")
    """Whether an ok answer is sent or aborted if its usage is not durable shortly before the deadline."""
    commit_ms: Annotated[float, Meta(ge=0.0, le=1000.0)] = 5.0
    """Interval at which new usage is sent to the store's process."""
    settle_ms: Annotated[float, Meta(ge=0.0, le=10_000.0)] = 50.0
    """Interval at which delivery outcomes are sent while there is no new usage."""
    queue_kb: Annotated[int, Meta(ge=64, le=65536)] = 1024
    """Maximum size of the usage that is queued until it is durable, in KiB."""
    time_zone: str = field(default="UTC", name="zone")
    """Time zone of the billing periods."""
    period_unit: PeriodUnit = field(default="month", name="period")
    """Length of the billing periods."""
    dedup_window_seconds: Annotated[int, Meta(ge=1, le=86400)] = field(default=900, name="window_s")
    """Time within which only one RPC of the same identity is billed; the others are its retries."""
    max_identity_count: Annotated[int, Meta(ge=1000, le=20_000_000)] = field(default=100_000, name="recent")
    """Maximum number of identities in the deduplication window."""
    attempt_id_field: Annotated[str, Meta(max_length=32)] = field(default="", name="identity_field")
    """Field of an RPC that contains the ID of the client's attempt; empty if there is none."""
    key_names_attempt: bool = field(default=False, name="identity_key")
    """Whether the cache key of an RPC is unique to the client's attempt, so that it identifies retries."""
    lock_wait_ms: Annotated[float, Meta(ge=0.0, le=60000.0)] = 3000.0
    """How long the start waits for the previous server process to release the store's lock."""
    price_plan_path: str = field(default="", name="plan")
    """Path of the price plan file, absolute or relative to the settings file; empty if there is none."""

    @property
    def dedup_window_ms(self) -> int:
        """Length of the deduplication window."""
        return self.dedup_window_seconds * 1000


def check(settings: Settings, folder: str) -> None:
    """Checks constraints of the settings that their types can't express, and the price plan file.

    The store's directory need not exist yet and is not accessed.

    Args:
        settings: Settings to check.
        folder: Directory of the settings file.

    Raises:
        InvalidSettingError: A key has an invalid value.
    """
    try:
        ZoneInfo(settings.time_zone)
    except (KeyError, ValueError, OSError) as err:
        raise InvalidSettingError("zone", f"no such time zone: {settings.time_zone!r}") from err
    if not os.path.isabs(settings.directory):
        raise InvalidSettingError("folder", f"an absolute path is expected, not {settings.directory!r}")
    if settings.price_plan_path:
        from landingshift.ledger.price_plan import load_price_plan

        try:
            load_price_plan(os.path.join(folder, settings.price_plan_path))
        except InvalidPricePlanError as err:
            raise InvalidSettingError("plan", str(err)) from err
