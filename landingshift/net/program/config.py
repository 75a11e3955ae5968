"""The one place where the platform's configuration is read, checked and given defaults."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import orjson

from landingshift.admission.interface import DownstreamKind, Settings
from landingshift.net.program.config_errors import (
    CONFIG_FILE_VARIABLE,
    ConfigFileError,
    ConfigNotNamedError,
    ServerConfigError,
)
from landingshift.net.program.config_reader import REQUIRED, ConfigReader
from landingshift.net.routing.server_config import ServerConfig
from landingshift.settings import SettingsError, decode_settings

__all__ = ["ServerConfigError", "decode_config", "load_config"]

NAME_VARIABLE = "GW_NAME"
LISTEN_VARIABLE = "GW_LISTEN"
DEFAULT_STOP_MS = 3000
DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKET_COUNT = 1024


def decode_config(data: Any, env: Mapping[str, str]) -> ServerConfig:
    """The configuration of decoded JSON.

    Args:
        data: The JSON's value.
        env: Names the server and where it listens, if the JSON does not.

    Raises:
        ServerConfigError: It can't be used.
    """
    top = ConfigReader(data)
    limits = top.inner("limits", {})
    settings = top.inner("settings")
    decoded = _decode_settings(settings)
    extra = settings.inner("extra")
    gauges = extra.value("gauges", list, "a list", [])
    methods = settings.check_unique("classes", [one.token("name") for one in settings.entries("classes")])
    # A tenant's name goes into no line: it may have spaces, as operators write them.
    tenants = settings.check_unique("orgs", [one.text("name") for one in settings.entries("orgs")])
    return ServerConfig(
        name=top.token("name", env.get(NAME_VARIABLE, REQUIRED)),
        listen=top.address("listen", env.get(LISTEN_VARIABLE, REQUIRED)),
        engine=top.address("engine"),
        database=top.address("db") if decoded.downstream is not DownstreamKind.NONE else None,
        roster=top.address("roster"),
        seed=top.hex_number("seed"),
        stop_ms=top.number("stop_ms", 1.0, 1e7, DEFAULT_STOP_MS),
        memory_mb=limits.number("memory_mb", 16.0, 1e6, DEFAULT_MEMORY_MB),
        max_sockets=int(limits.number("sockets", 32.0, 1e6, DEFAULT_SOCKET_COUNT)),
        settings=decoded,
        methods=dict(zip(methods, decoded.methods, strict=True)),
        tenants=dict(zip(tenants, decoded.tenants, strict=True)),
        gauge_names=[str(name) for name in gauges],
        runs_deep_checks=bool(extra.data.get("deep-checks")),
    )


def load_config(env: Mapping[str, str]) -> ServerConfig:
    """The configuration of the file that the environment names.

    Raises:
        ServerConfigError: The file or what stands in it can't be used.
    """
    path = env.get(CONFIG_FILE_VARIABLE)
    if not path:
        raise ConfigNotNamedError
    try:
        with open(path, "rb") as file:
            data = orjson.loads(file.read())
    except OSError as err:
        raise ConfigFileError(path, str(err.strerror)) from err
    except orjson.JSONDecodeError as err:
        raise ConfigFileError(path, str(err)) from err
    return decode_config(data, env)


def _decode_settings(settings: ConfigReader) -> Settings:
    try:
        return decode_settings(settings.data, settings.path)
    except SettingsError as err:
        key, _, problem = str(err).partition(": ")
        raise ServerConfigError(key, problem) from err
