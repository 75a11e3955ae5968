"""The one place where configuration is read, checked and given defaults."""

from __future__ import annotations

from collections.abc import Mapping
from ipaddress import IPv4Address
from typing import Any

import orjson

from landingshift.admission.interface import DownstreamKind
from landingshift.net.routing.server_config import ServerConfig
from landingshift.net.transport.stream import Address
from landingshift.settings import BadSetting, decode

MISSING: Any = object()


class ServerConfigError(Exception):
    """The text names the key."""


class Reader:
    """Takes values out of nested JSON and says by name what is wrong with them."""

    def __init__(self, data: Any, path: str = "") -> None:
        if not isinstance(data, dict):
            raise ServerConfigError(f"{path or 'configuration'}: an object is expected")
        self.data, self.path = data, path

    def name(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def take(self, key: str, kinds: Any, expected: str, default: Any) -> Any:
        value = self.data.get(key)
        if value is None:  # null says as much as a key that is not there, here as in the settings
            value = default
        if value is MISSING:
            raise ServerConfigError(f"{self.name(key)}: missing")
        if not isinstance(value, kinds) or isinstance(value, bool):
            raise ServerConfigError(f"{self.name(key)}: {expected} is expected, not {value!r}")
        return value

    def inner(self, key: str, default: Any = MISSING) -> Reader:
        return Reader(self.take(key, dict, "an object", default), self.name(key))

    def text(self, key: str, default: Any = MISSING) -> str:
        value: str = self.take(key, str, "a text", default)
        if not value:
            raise ServerConfigError(f"{self.name(key)}: a text is expected, not {value!r}")
        return value

    def word(self, key: str, default: Any = MISSING) -> str:
        """One that stands in lines of words."""
        value = self.text(key, default)
        if not value.isprintable() or " " in value:
            raise ServerConfigError(f"{self.name(key)}: a word is expected, not {value!r}")
        return value

    def number(self, key: str, low: float, high: float, default: Any = MISSING) -> float:
        value = self.take(key, int | float, "a number", default)
        if not low <= value <= high:
            raise ServerConfigError(f"{self.name(key)}: {value} is not from {low:g} to {high:g}")
        return float(value)

    def address(self, key: str, default: Any = MISSING) -> Address:
        value = self.word(key, default)
        host, _, port = value.rpartition(":")
        try:
            # Names are not looked up: that would hold up the one loop, and there may be nobody to ask.
            address = str(IPv4Address(host)), int(port)
            if not 0 <= address[1] < 65536:
                raise ValueError(port)
            return address
        except ValueError as err:
            raise ServerConfigError(
                f"{self.name(key)}: an IPv4 address:port is expected, not {value!r}"
            ) from err

    def entries(self, key: str) -> list[Reader]:
        return [Reader(e, f"{self.name(key)}[{i}]") for i, e in enumerate(self.take(key, list, "a list", []))]

    def unique(self, key: str, names: list[str]) -> list[str]:
        for i, name in enumerate(names):
            if name in names[:i]:  # the first of them would be served as if it were the last
                raise ServerConfigError(f"{self.name(key)}[{i}].name: {name!r} stands there twice")
        return names


def seed(top: Reader) -> int:
    value = top.word("seed")
    try:
        return int(value, 16)
    except ValueError as err:
        raise ServerConfigError(f"seed: hex digits are expected, not {value!r}") from err


def decode_config(data: Any, env: Mapping[str, str]) -> ServerConfig:
    top = Reader(data)
    limits = top.inner("limits", {})
    settings = top.inner("settings")
    try:
        decoded = decode(settings.data, "settings")
    except BadSetting as err:
        raise ServerConfigError(str(err)) from err
    extra = settings.inner("extra")
    gauges = extra.take("gauges", list, "a list", [])
    methods = settings.unique("classes", [one.word("name") for one in settings.entries("classes")])
    # A tenant's name goes into no line: it may have spaces, as operators write them.
    tenants = settings.unique("orgs", [one.text("name") for one in settings.entries("orgs")])
    return ServerConfig(
        name=top.word("name", env.get("GW_NAME", MISSING)),
        listen=top.address("listen", env.get("GW_LISTEN", MISSING)),
        engine=top.address("engine"),
        database=top.address("db") if decoded.downstream is not DownstreamKind.NONE else None,
        roster=top.address("roster"),
        seed=seed(top),
        stop_ms=top.number("stop_ms", 1.0, 1e7, 3000),
        memory_mb=limits.number("memory_mb", 16.0, 1e6, 192),
        max_sockets=int(limits.number("sockets", 32.0, 1e6, 1024)),
        settings=decoded,
        methods=dict(zip(methods, decoded.methods, strict=True)),
        tenants=dict(zip(tenants, decoded.tenants, strict=True)),
        gauge_names=[str(g) for g in gauges],
        runs_deep_checks=bool(extra.data.get("deep-checks")),
    )


def load_config(env: Mapping[str, str]) -> ServerConfig:
    path = env.get("GW_CONFIG")
    if not path:
        raise ServerConfigError("GW_CONFIG: the environment does not name the configuration file")
    try:
        with open(path, "rb") as file:
            data = orjson.loads(file.read())
    except OSError as err:
        raise ServerConfigError(f"GW_CONFIG: {path}: {err.strerror}") from err
    except orjson.JSONDecodeError as err:
        raise ServerConfigError(f"GW_CONFIG: {path}: {err}") from err
    return decode_config(data, env)
