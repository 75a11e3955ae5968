"""The table `[ledger]`. The names of its keys are the users'; the fields have the names of this package.

The store's process gets the same struct as JSON on its command line, with the users' names too.
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
    """How usage is metered on this server."""

    directory: DirectoryPath = field(name="folder")
    """Holds the store and its lock; one server a directory."""
    instance: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    """Names this store among others; never changes."""
    on: bool = True
    durability: Durability = field(default="before_answer", name="durable")
    """Whether an ok answer waits until its usage is durable."""
    overdue_action: OverdueAction = field(default="answer", name="stuck")
    """What becomes of an ok answer whose usage is not durable by its deadline."""
    commit_ms: Annotated[float, Meta(ge=0.0, le=1000.0)] = 5.0
    """How often new usage is sent to the store."""
    settle_ms: Annotated[float, Meta(ge=0.0, le=10_000.0)] = 50.0
    """How often outcomes of answers are sent where there is no new usage."""
    queue_kb: Annotated[int, Meta(ge=64, le=65536)] = 1024
    """Bound of the usage that waits for the store."""
    time_zone: str = field(default="UTC", name="zone")
    period_unit: PeriodUnit = field(default="month", name="period")
    dedup_window_seconds: Annotated[int, Meta(ge=1, le=86400)] = field(default=900, name="window_s")
    """Within which a like RPC is a retry."""
    max_identity_count: Annotated[int, Meta(ge=1000, le=20_000_000)] = field(default=100_000, name="recent")
    """Identities that are remembered for the window."""
    attempt_id_field: Annotated[str, Meta(max_length=32)] = field(default="", name="identity_field")
    """An RPC's field that names the client's attempt."""
    key_names_attempt: bool = field(default=False, name="identity_key")
    """Whether a read's key names the client's attempt too, not only what the read is about."""
    lock_wait_ms: Annotated[float, Meta(ge=0.0, le=60000.0)] = 3000.0
    """How long a start waits for a predecessor's lock."""
    price_plan_path: str = field(default="", name="plan")
    """The prices; beside the file of settings, or absolute."""

    @property
    def dedup_window_ms(self) -> int:
        """The deduplication window."""
        return self.dedup_window_seconds * 1000


def check(settings: Settings, folder: str) -> None:
    """Checks what the types can't say; looks at nothing that starting would create.

    Args:
        settings: What the file says.
        folder: Folder of the file.

    Raises:
        InvalidSettingError: A key has a value that can't be used.
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
