"""The table `[coldstart]` of the TOML file, which needs `[fleet]`: its keys in, our names out."""

from __future__ import annotations

import os
from typing import Annotated, ClassVar

from msgspec import Meta, Struct

from landingshift.coldstart.plan import ColdStartPlan
from landingshift.membership.errors import InvalidSettingError
from landingshift.membership.messages import MemberName
from landingshift.membership.settings import parse_address

USEFUL_QUOTA_CALLS_PER_SECOND = 3.0  # with which a server gets on with its start
INITIAL_PERMIT_COUNT_WITHOUT_QUOTAS = 32.0  # where no quotas bound what starting servers call
MAX_FLOOR_FRACTION = 0.5
PositiveRate = Annotated[float, Meta(gt=0.0, le=1e6)]
RateOrZero = Annotated[float, Meta(ge=0.0, le=1e6)]

TOML_KEYS = {
    "max_servers": "servers",
    "grantor_names": "lenders",
    "downstream_calls_per_second": "calls_s",
    "floor_fraction": "floor",
    "expiry_margin_ms": "spare_ms",
    "initial_permits": "places_first",
    "max_permits": "places_most",
    "grantor_timeout_ms": "patience_ms",
    "ungranted_starts_per_second": "alone_s",
    "list_service_address": "list_service",
    "list_service_polls_per_second": "list_asks_s",
    "endpoint_cache_path": "snapshot",
}


class Settings(Struct, forbid_unknown_fields=True, frozen=True, rename=TOML_KEYS):
    """The settings of one server; alike on all servers of a cluster but for `endpoint_cache_path`.

    Attributes:
        needs: Other tables without which this one can't be on.
        max_servers: The most servers that there will be.
        on: Whether the package runs.
        grantor_names: Servers that grant leases on calls and start permits.
        downstream_calls_per_second: Calls that the downstream bears, 0 for no quotas.
        floor_fraction: Part of them that is divided evenly and never leased.
        lease_ms: How long a holder may use what it was granted.
        expiry_margin_ms: How much longer the grantor counts it as granted.
        initial_permits: Servers that may warm up at once in the beginning, 0 for what the calls allow.
        max_permits: The same at the most, 0 for all servers.
        grantor_timeout_ms: Without a grantor's answer for that long a server starts by itself.
        ungranted_starts_per_second: Rate of such starts in the whole cluster.
        list_service_address: Where endpoints are polled, empty for nowhere.
        list_service_polls_per_second: Polls that the list service bears.
        endpoint_cache_path: Absolute path of the endpoint cache, on a disk that lasts; empty for none.
    """

    needs: ClassVar[tuple[str, ...]] = ("fleet",)

    max_servers: Annotated[int, Meta(ge=1, le=10_000)]
    on: bool = True
    grantor_names: Annotated[list[MemberName], Meta(max_length=64)] = []
    downstream_calls_per_second: RateOrZero = 0.0
    floor_fraction: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.1
    lease_ms: Annotated[float, Meta(ge=200.0, le=60_000.0)] = 1_500.0
    expiry_margin_ms: Annotated[float, Meta(ge=0.0, le=60_000.0)] = 300.0
    initial_permits: RateOrZero = 0.0
    max_permits: RateOrZero = 0.0
    grantor_timeout_ms: Annotated[float, Meta(ge=500.0, le=600_000.0)] = 8_000.0
    ungranted_starts_per_second: PositiveRate = 2.0
    list_service_address: str = ""
    list_service_polls_per_second: PositiveRate = 20.0
    endpoint_cache_path: str = ""


def check(settings: Settings, _folder: str) -> None:
    """Checks what the types of the settings can't express; looks at nothing that starting would create.

    Raises:
        InvalidSettingError: A value can't be used.
    """
    if settings.list_service_address:
        parse_address("list_service", settings.list_service_address)
    cache_path = settings.endpoint_cache_path
    if cache_path and not os.path.isabs(cache_path):
        raise InvalidSettingError("snapshot", f"an absolute path is expected, not {cache_path!r}")
    if len(set(settings.grantor_names)) != len(settings.grantor_names):
        raise InvalidSettingError("lenders", "a name stands there twice")
    _check_permits(settings)
    if settings.grantor_names and settings.floor_fraction > MAX_FLOOR_FRACTION:
        raise InvalidSettingError("floor", f"{settings.floor_fraction:g} leaves less than half to be lent")


def _check_permits(settings: Settings) -> None:
    initial_permits, max_permits = permit_bounds(settings)
    if initial_permits > max_permits:
        problem = f"{initial_permits:g} is more than places_most, {max_permits:g}"
        raise InvalidSettingError("places_first", problem)
    if settings.grantor_names and max_permits < len(settings.grantor_names):
        # Each grants its part by itself, and a fraction of a permit is none.
        problem = f"{max_permits:g} is less than one for each of lenders"
        raise InvalidSettingError("places_most", problem)


def permit_bounds(settings: Settings) -> tuple[float, float]:
    """Start permits in the beginning, and at the most.

    Quotas bound what all servers call, whoever holds a permit: there are as many permits in the beginning as
    leave each starting server a useful quota, and at least one for each grantor.
    """
    grantor_count = float(len(settings.grantor_names))
    max_permits = settings.max_permits or max(float(settings.max_servers), grantor_count)
    initial_permits = INITIAL_PERMIT_COUNT_WITHOUT_QUOTAS
    if settings.downstream_calls_per_second:
        initial_permits = settings.downstream_calls_per_second / USEFUL_QUOTA_CALLS_PER_SECOND
    return settings.initial_permits or min(max_permits, max(initial_permits, grantor_count)), max_permits


def cold_start_plan(settings: Settings) -> ColdStartPlan:
    """What the settings say of the whole cluster."""
    initial_permits, max_permits = permit_bounds(settings)
    return ColdStartPlan(
        grantor_names=tuple(settings.grantor_names),
        downstream_calls_per_second=settings.downstream_calls_per_second,
        max_servers=settings.max_servers,
        floor_fraction=settings.floor_fraction,
        lease_ms=settings.lease_ms,
        expiry_margin_ms=settings.expiry_margin_ms,
        initial_permits=initial_permits,
        max_permits=max_permits,
        grantor_timeout_ms=settings.grantor_timeout_ms,
        ungranted_starts_per_second=settings.ungranted_starts_per_second,
    )
