"""The table `[coldstart]`; needs `[fleet]`."""

from __future__ import annotations

import os
from typing import Annotated, ClassVar

from msgspec import Meta, Struct

from landingshift.coldstart.coordinator import ColdStartPlan
from landingshift.membership.messages import MemberName
from landingshift.membership.settings import parse_address

WORTH = 3.0  # calls a second with which a start gets on
BLIND = 32.0  # places at the beginning where no shares bound what starts call
Many = Annotated[float, Meta(gt=0.0, le=1e6)]


class Settings(Struct, forbid_unknown_fields=True, frozen=True):
    """Alike on all servers of a fleet but for `snapshot`. Times in ms."""

    needs: ClassVar[tuple[str, ...]] = ("fleet",)

    servers: Annotated[int, Meta(ge=1, le=10_000)]  # the most that there will be
    on: bool = True
    lenders: Annotated[list[MemberName], Meta(max_length=64)] = []  # servers that lend places and shares
    calls_s: Annotated[float, Meta(ge=0.0, le=1e6)] = 0.0  # calls a second that the store bears; 0: no shares
    floor: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.1  # share of them divided evenly and never lent
    lease_ms: Annotated[float, Meta(ge=200.0, le=60_000.0)] = 1_500.0
    spare_ms: Annotated[float, Meta(ge=0.0, le=60_000.0)] = 300.0  # a lapsed share is not lent on before
    # Servers between start and warm, at the beginning and at most; 0: by calls_s, and all
    places_first: Annotated[float, Meta(ge=0.0, le=1e6)] = 0.0
    places_most: Annotated[float, Meta(ge=0.0, le=1e6)] = 0.0
    patience_ms: Annotated[float, Meta(ge=500.0, le=600_000.0)] = 8_000.0  # for a lender, then it goes alone
    alone_s: Many = 2.0  # starts a second, in the whole fleet, of those who go alone
    list_service: str = ""  # address:port of the list service, asked over MessagePack-RPC
    list_asks_s: Many = 20.0  # asks a second that it bears
    snapshot: str = ""  # the last list, a file on a disk that lasts


def check(settings: Settings, _folder: str) -> None:
    """Raises ValueError("key: what is wrong"); looks at nothing that starting would create."""
    if settings.list_service:
        parse_address("list_service", settings.list_service)
    if settings.snapshot and not os.path.isabs(settings.snapshot):
        raise ValueError(f"snapshot: an absolute path is expected, not {settings.snapshot!r}")
    if len(set(settings.lenders)) != len(settings.lenders):
        raise ValueError("lenders: a name stands there twice")
    first, most = places(settings)
    if first > most:
        raise ValueError(f"places_first: {first:g} is more than places_most, {most:g}")
    if settings.lenders and most < len(settings.lenders):
        # Each lends its part by itself, and a part of a place is none.
        raise ValueError(f"places_most: {most:g} is less than one for each of lenders")
    if settings.floor > 0.5 and settings.lenders:
        raise ValueError(f"floor: {settings.floor:g} leaves less than half to be lent")


def places(settings: Settings) -> tuple[float, float]:
    """At the beginning, and at most. Shares bound what all call whoever has a place: places begin where each
    that starts still has a share worth having, and keep the rest back for those."""
    most = settings.places_most or max(float(settings.servers), float(len(settings.lenders)))
    first = settings.calls_s / WORTH if settings.calls_s else BLIND
    return settings.places_first or min(most, max(first, float(len(settings.lenders)))), most


def cold_start_plan(settings: Settings) -> ColdStartPlan:
    return ColdStartPlan(
        tuple(settings.lenders), settings.calls_s, settings.servers, settings.floor, settings.lease_ms,
        settings.spare_ms, *places(settings), settings.patience_ms, settings.alone_s,
    )  # fmt: skip
