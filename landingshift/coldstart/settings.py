"""Settings of the package: the table `[coldstart]` of the TOML file. It requires the table `[fleet]`."""

from __future__ import annotations

import os
from typing import Annotated, ClassVar

from msgspec import Meta, Struct

from landingshift.coldstart.plan import ColdStartPlan
from landingshift.membership.errors import InvalidSettingError
from landingshift.membership.messages import MemberName
from landingshift.membership.settings import parse_address

USEFUL_QUOTA_CALLS_PER_SECOND = 3.0  # smallest call quota with which a server makes progress in its start
INITIAL_PERMIT_COUNT_WITHOUT_QUOTAS = 32.0  # default number of initial permits if there are no call quotas
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
    """Settings of one server; all but `endpoint_cache_path` must be the same on all servers of a cluster.

    Attributes:
        needs: Names of other settings tables that must be enabled as well.
        max_servers: Largest number of servers in the cluster.
        on: Whether the cold start service runs.
        grantor_names: Names of the servers that grant call quotas and start permits.
        downstream_calls_per_second: Call rate that the downstream can serve, all servers together; 0 for no
            quotas.
        floor_fraction: Fraction of the downstream's call rate that is never leased but divided evenly among
            servers.
        lease_ms: Time for which a holder is allowed to use a granted amount, counted from the sending of its
            request.
        expiry_margin_ms: Time for which a grantor keeps a granted amount reserved beyond the lease duration.
        initial_permits: Number of servers that are allowed to warm up simultaneously when the grantors start;
            0 to derive it from the call rate.
        max_permits: Upper bound of the number of servers that warm up simultaneously; 0 for the number of
            servers.
        grantor_timeout_ms: Longest wait for a grantor's answer; then a server schedules a start without a
            permit, with a random delay.
        ungranted_starts_per_second: Mean rate of starts without a permit, all servers together.
        list_service_address: Address of the service that is polled for endpoints, empty for none.
        list_service_polls_per_second: Rate of polls that the list service can serve, all servers together.
        endpoint_cache_path: Absolute path of the endpoint cache on a persistent disk, empty for none.
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
    """Check the constraints that the types can't express, without accessing any file.

    Raises:
        InvalidSettingError: A value is invalid.
    """
    if settings.list_service_address:
        parse_address("list_service", settings.list_service_address)
    cache_path = settings.endpoint_cache_path
    if cache_path and not os.path.isabs(cache_path):
        raise InvalidSettingError("snapshot", f"an absolute path is expected, not {cache_path!r}")
    if len(set(settings.grantor_names)) != len(settings.grantor_names):
        raise InvalidSettingError("lenders", "a name is listed twice")
    _check_permits(settings)
    if settings.grantor_names and settings.floor_fraction > MAX_FLOOR_FRACTION:
        problem = f"{settings.floor_fraction:g} leaves less than half of calls_s to be lent"
        raise InvalidSettingError("floor", problem)


def _check_permits(settings: Settings) -> None:
    initial_permits, max_permits = permit_bounds(settings)
    if initial_permits > max_permits:
        problem = f"{initial_permits:g} is more than places_most, which is {max_permits:g}"
        raise InvalidSettingError("places_first", problem)
    if settings.grantor_names and max_permits < len(settings.grantor_names):
        # Each grantor has an equal part of the permits and grants only whole permits. A part below 1 could
        # never be granted.
        problem = f"{max_permits:g} is less than one for each server in lenders"
        raise InvalidSettingError("places_most", problem)


def permit_bounds(settings: Settings) -> tuple[float, float]:
    """Return the initial and the maximum number of start permits.

    By default, the initial number is the downstream's call rate divided by the smallest useful call quota, or
    a constant if there are no call quotas. This default is at least one per grantor and at most the maximum
    number. By default, the maximum number is the number of servers, but at least one per grantor.
    """
    grantor_count = float(len(settings.grantor_names))
    max_permits = settings.max_permits or max(float(settings.max_servers), grantor_count)
    initial_permits = INITIAL_PERMIT_COUNT_WITHOUT_QUOTAS
    if settings.downstream_calls_per_second:
        initial_permits = settings.downstream_calls_per_second / USEFUL_QUOTA_CALLS_PER_SECOND
    return settings.initial_permits or min(max_permits, max(initial_permits, grantor_count)), max_permits


def cold_start_plan(settings: Settings) -> ColdStartPlan:
    """Build the cluster-wide cold start parameters from the settings."""
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
