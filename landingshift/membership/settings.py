"""The table `[fleet]`."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Annotated

from msgspec import Meta, Struct

from landingshift.membership.messages import Address, ZoneName

Place = Annotated[str, Meta(min_length=1, max_length=21)]  # IPv4 address:port


class Settings(Struct, forbid_unknown_fields=True, frozen=True, rename={"cluster_name": "fleet"}):
    """Times in ms. Peers say to each other what they know; whoever reaches `listen` is believed."""

    cluster_name: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]  # others' datagrams are turned away
    listen: Place  # UDP for peers, TCP for `landingshift fleet`
    on: bool = True
    advertise: Place = ""  # where peers reach it, if not at `listen`
    zone: ZoneName = ""
    peers: Annotated[list[Place], Meta(max_length=64)] = []  # some that are likely to be there
    most: Annotated[int, Meta(ge=2, le=10_000)] = 2_000  # members that are kept, 1 KB each
    period_ms: Annotated[float, Meta(ge=50.0, le=10_000.0)] = 400.0  # between two probes
    probe_ms: Annotated[float, Meta(ge=20.0, le=5_000.0)] = 150.0  # until others are asked to probe
    suspect_ms: Annotated[float, Meta(ge=100.0, le=60_000.0)] = 1_200.0  # shortest suspicion among ten


def parse_address(key: str, text: str, zero: bool = False) -> Address:
    """Raises ValueError("key: ..."). `zero`: whether port 0 will do."""
    host, _, port = text.rpartition(":")
    try:
        found = str(IPv4Address(host)), int(port)
        if not (0 if zero else 1) <= found[1] < 65536:
            raise ValueError(port)
    except ValueError as err:
        raise ValueError(f"{key}: an IPv4 address:port is expected, not {text!r}") from err
    return found


def check(settings: Settings, _folder: str) -> None:
    """Raises ValueError("key: what is wrong")."""
    listen = parse_address("listen", settings.listen, zero=True)
    if settings.advertise:
        parse_address("advertise", settings.advertise)
    elif listen[0] == "0.0.0.0":
        raise ValueError("advertise: is needed where listen is 0.0.0.0: peers must be told where it is")
    for i, peer in enumerate(settings.peers):
        parse_address(f"peers[{i}]", peer)
    if settings.probe_ms > settings.period_ms / 2.0:
        raise ValueError(f"probe_ms: {settings.probe_ms:g} is more than half of period_ms")
