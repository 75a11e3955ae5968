"""The table `[ledger]`."""

from __future__ import annotations

import os
from typing import Annotated, Literal
from zoneinfo import ZoneInfo

from msgspec import Meta, Struct

Durable = Literal["before_answer", "after_answer"]
Unit = Literal["day", "week", "month"]
Path = Annotated[str, Meta(min_length=1, max_length=1000)]


class Settings(Struct, forbid_unknown_fields=True, frozen=True):
    """Times in ms. `folder` holds the store and its lock; `instance` names this store among others."""

    folder: Path
    instance: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    on: bool = True
    durable: Durable = "before_answer"
    stuck: Literal["answer", "abort"] = "answer"  # an ok answer whose use is not durable by its deadline
    commit_ms: Annotated[float, Meta(ge=0.0, le=1000.0)] = 5.0
    settle_ms: Annotated[float, Meta(ge=0.0, le=10_000.0)] = 50.0  # what became of uses is told this often
    queue_kb: Annotated[int, Meta(ge=64, le=65536)] = 1024  # uses that wait for the store
    zone: str = "UTC"
    period: Unit = "month"
    window_s: Annotated[int, Meta(ge=1, le=86400)] = 900  # within which a like RPC is a repeated attempt
    recent: Annotated[int, Meta(ge=1000, le=20_000_000)] = 100_000  # identities remembered for that
    identity_field: Annotated[str, Meta(max_length=32)] = ""  # an RPC's field that names the client's try
    identity_key: bool = False  # a read's key names the client's try too, not only what the read is about
    lock_wait_ms: Annotated[float, Meta(ge=0.0, le=60000.0)] = 3000.0
    plan: str = ""  # the prices, beside the file of settings or absolute


def check(settings: Settings, folder: str) -> None:
    """Raises ValueError("key: what is wrong"); looks at nothing that starting would create."""
    try:
        ZoneInfo(settings.zone)
    except (KeyError, ValueError, OSError) as err:
        raise ValueError(f"zone: no such time zone: {settings.zone!r}") from err
    if not os.path.isabs(settings.folder):
        raise ValueError(f"folder: an absolute path is expected, not {settings.folder!r}")
    if settings.plan:
        from landingshift.ledger.prices import BadPlan, load

        try:
            load(os.path.join(folder, settings.plan))
        except BadPlan as err:
            raise ValueError(f"plan: {err}") from err
