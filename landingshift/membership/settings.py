"""The table `[fleet]` of the TOML file: its keys in, our names out."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Annotated

from msgspec import Meta, Struct

from landingshift.membership.errors import InvalidAddressError, InvalidSettingError
from landingshift.membership.messages import Address, ZoneName
from landingshift.membership.timings import SwimTimings

AddressText = Annotated[str, Meta(min_length=1, max_length=21)]
"""IPv4 address:port."""

UNSPECIFIED_HOST = "0.0.0.0"
MAX_ACK_TIMEOUT_FRACTION = 0.5  # of the probe interval, so that helpers have as long

TOML_KEYS = {
    "cluster_name": "fleet",
    "listen_address": "listen",
    "advertise_address": "advertise",
    "seed_addresses": "peers",
    "max_members": "most",
    "probe_interval_ms": "period_ms",
    "ack_timeout_ms": "probe_ms",
    "min_suspicion_ms": "suspect_ms",
}


class Settings(Struct, forbid_unknown_fields=True, frozen=True, rename=TOML_KEYS):
    """The settings of one server.

    The protocol is unauthenticated: any sender that reaches the address is trusted.

    Attributes:
        cluster_name: Datagrams of other clusters are rejected.
        listen_address: UDP for members, TCP for operators' calls and large messages.
        on: Whether the package runs.
        advertise_address: Where members reach this one, if not at `listen_address`.
        zone: Failure domain.
        seed_addresses: Members that are likely to be there.
        max_members: Bound of the member table; a member takes about 1 KB.
        probe_interval_ms: Between two probes.
        ack_timeout_ms: For an answer to a ping, before others are asked to probe.
        min_suspicion_ms: Shortest suspicion in a cluster of ten.
    """

    cluster_name: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    listen_address: AddressText
    on: bool = True
    advertise_address: AddressText = ""
    zone: ZoneName = ""
    seed_addresses: Annotated[list[AddressText], Meta(max_length=64)] = []
    max_members: Annotated[int, Meta(ge=2, le=10_000)] = 2_000
    probe_interval_ms: Annotated[float, Meta(ge=50.0, le=10_000.0)] = 400.0
    ack_timeout_ms: Annotated[float, Meta(ge=20.0, le=5_000.0)] = 150.0
    min_suspicion_ms: Annotated[float, Meta(ge=100.0, le=60_000.0)] = 1_200.0

    def timings(self) -> SwimTimings:
        """The durations of the protocol."""
        return SwimTimings(self.probe_interval_ms, self.ack_timeout_ms, self.min_suspicion_ms)


def parse_address(key: str, text: str, allow_port_zero: bool = False) -> Address:
    """Reads an IPv4 address with its port.

    Args:
        key: The setting, for the error.
        text: Its value.
        allow_port_zero: Whether the operating system may choose the port.

    Raises:
        InvalidAddressError: The text is no address, or its port is out of range.
    """
    host, _, port_text = text.rpartition(":")
    try:
        address = str(IPv4Address(host)), int(port_text)
    except ValueError as error:
        raise InvalidAddressError(key, text) from error
    lowest_port = 0 if allow_port_zero else 1
    if not lowest_port <= address[1] < 65536:
        raise InvalidAddressError(key, text)
    return address


def check(settings: Settings, _folder: str) -> None:
    """Checks what the types of the settings can't express.

    Raises:
        InvalidSettingError: A value can't be used.
    """
    listen_host, _ = parse_address("listen", settings.listen_address, allow_port_zero=True)
    if settings.advertise_address:
        parse_address("advertise", settings.advertise_address)
    elif listen_host == UNSPECIFIED_HOST:
        raise InvalidSettingError(
            "advertise", "is needed where listen is 0.0.0.0: peers must be told where it is"
        )
    for index, address in enumerate(settings.seed_addresses):
        parse_address(f"peers[{index}]", address)
    if settings.ack_timeout_ms > settings.probe_interval_ms * MAX_ACK_TIMEOUT_FRACTION:
        raise InvalidSettingError("probe_ms", f"{settings.ack_timeout_ms:g} is more than half of period_ms")
