"""Reads the server's JSON configuration file, checks its values and fills in defaults."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import orjson

from landingshift.admission.interface import DownstreamKind, Settings
from landingshift.net.program.config_errors import (
    CONFIG_FILE_VARIABLE,
    ConfigFileError,
    ConfigPathMissingError,
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
    """Converts decoded JSON to a configuration.

    Args:
        data: The decoded JSON.
        env: Environment variables. They supply the server's name and listen address if the JSON lacks them.

    Raises:
        ServerConfigError: A value is missing or invalid.
    """
    root = ConfigReader(data)
    limits = root.nested("limits", {})
    settings = root.nested("settings")
    server_settings = _decode_settings(settings)
    extra = settings.nested("extra")
    gauges = extra.value("gauges", list, "a list", [])
    methods = settings.check_unique("classes", [one.token("name") for one in settings.entries("classes")])
    # Tenant names are never sent to the engine or the database, so they can contain spaces.
    tenants = settings.check_unique("orgs", [one.text("name") for one in settings.entries("orgs")])
    return ServerConfig(
        name=root.token("name", env.get(NAME_VARIABLE, REQUIRED)),
        listen=root.address("listen", env.get(LISTEN_VARIABLE, REQUIRED)),
        engine=root.address("engine"),
        database=root.address("db") if server_settings.downstream is not DownstreamKind.NONE else None,
        roster=root.address("roster"),
        seed=root.hex_number("seed"),
        stop_ms=root.number("stop_ms", 1.0, 1e7, DEFAULT_STOP_MS),
        memory_mb=limits.number("memory_mb", 16.0, 1e6, DEFAULT_MEMORY_MB),
        max_sockets=int(limits.number("sockets", 32.0, 1e6, DEFAULT_SOCKET_COUNT)),
        settings=server_settings,
        methods=dict(zip(methods, server_settings.methods, strict=True)),
        tenants=dict(zip(tenants, server_settings.tenants, strict=True)),
        gauge_names=[str(name) for name in gauges],
        runs_deep_checks=bool(extra.data.get("deep-checks")),
    )


def load_config(env: Mapping[str, str]) -> ServerConfig:
    """Loads the configuration from the file whose path is in the environment variable `GW_CONFIG`.

    Args:
        env: Environment variables.

    Raises:
        ServerConfigError: The file can't be read, or a value is missing or invalid.
    """
    path = env.get(CONFIG_FILE_VARIABLE)
    if not path:
        raise ConfigPathMissingError
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
