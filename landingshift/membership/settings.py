"""Settings of the package, from the table `[fleet]` of the TOML file."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Annotated

from msgspec import Meta, Struct

from landingshift.membership.errors import InvalidAddressError, InvalidSettingError
from landingshift.membership.messages import Address, ZoneName
from landingshift.membership.timings import SwimTimings

AddressText = Annotated[str, Meta(min_length=1, max_length=21)]
"""IPv4 address and port, written `host:port`."""

UNSPECIFIED_HOST = "0.0.0.0"
MAX_ACK_TIMEOUT_FRACTION = 0.5  # of the probe interval; leaves at least the other half for ping-reqs

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
    """Membership settings of one server.

    The protocol is unauthenticated: any sender that can reach the listen address is trusted.

    Attributes:
        cluster_name: Name of the cluster; datagrams from other clusters are rejected.
        listen_address: Address to bind: UDP for protocol messages, TCP for operator calls and large messages.
        on: Whether membership is enabled.
        advertise_address: Address at which other members reach this server; if empty, the bound address.
        zone: Failure domain of this server; may be empty.
        seed_addresses: Addresses of members that are contacted in order to join the cluster.
        max_members: Maximum number of other members in the member table; each takes about 1 KB of memory.
        probe_interval_ms: Interval between two probes while the local health score is 0.
        ack_timeout_ms: Time to wait for an ack to a direct ping before sending ping-reqs.
        min_suspicion_ms: Shortest time after which a suspect is declared dead, in a cluster of up to ten
            members.
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
        """Returns the intervals and time-outs of the protocol."""
        return SwimTimings(self.probe_interval_ms, self.ack_timeout_ms, self.min_suspicion_ms)


def parse_address(key: str, text: str, allow_port_zero: bool = False) -> Address:
    """Parses `host:port` into an IPv4 address and a port number.

    Args:
        key: Name of the setting, for the error message.
        text: Value of the setting.
        allow_port_zero: Whether port 0, which lets the operating system choose a port, is valid.

    Raises:
        InvalidAddressError: The text is not an IPv4 address with a port, or the port is out of range.
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
    """Checks the constraints that the types of the settings can't express.

    Raises:
        InvalidSettingError: A value violates a constraint.
    """
    listen_host, _ = parse_address("listen", settings.listen_address, allow_port_zero=True)
    if settings.advertise_address:
        parse_address("advertise", settings.advertise_address)
    elif listen_host == UNSPECIFIED_HOST:
        raise InvalidSettingError(
            "advertise", f"required when listen is {UNSPECIFIED_HOST}: peers need an address they can reach"
        )
    for index, address in enumerate(settings.seed_addresses):
        parse_address(f"peers[{index}]", address)
    if settings.ack_timeout_ms > settings.probe_interval_ms * MAX_ACK_TIMEOUT_FRACTION:
        raise InvalidSettingError("probe_ms", f"{settings.ack_timeout_ms:g} exceeds half of period_ms")
