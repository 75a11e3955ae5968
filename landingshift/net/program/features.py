"""Loads the optional packages that the TOML settings file enables.

The file has one table for each package; a package without a table is not imported. An optional package has
two modules:

- `settings` with the msgspec struct `Settings`, which forbids unknown keys, and `check(settings, folder)`,
  which raises `ValueError("key: problem")` for an invalid value; `folder` is the directory of the settings
  file. `Settings.needs`, if present, names the tables of packages that must be enabled as well.
- `service` with `attach(host, settings) -> Service`.

Packages are attached in the order of `PACKAGES`.
"""

from __future__ import annotations

import os
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from importlib import import_module
from typing import TYPE_CHECKING, Any, Protocol

from landingshift.net.program.feature_errors import (
    FeatureConfigError,
    InvalidTableError,
    MissingDependencyError,
    TableExpectedError,
    UnknownTableError,
)

if TYPE_CHECKING:
    from landingshift.net.routing.router import Router

__all__ = ["Feature", "FeatureConfigError", "Service", "ServiceHost", "decode_features", "load_features"]

# Tables of the settings file and their packages, in the order in which the packages are attached.
PACKAGES = {
    "ledger": "landingshift.ledger",
    "fleet": "landingshift.membership",
    "coldstart": "landingshift.coldstart",
    "policies": "landingshift.policies",
    "upkeep": "landingshift.maintenance",
}
SETTINGS_FILE_VARIABLE = "LANDINGSHIFT_TOML"


class Service(Protocol):
    """A service that a package has attached to the server."""

    def finish(self) -> None:
        """Finishes the service's work after the loop has ended.

        The method can block briefly, but must return before the end of the shutdown time, after which the
        process is killed.
        """


@dataclass(slots=True)
class ServiceHost:
    """The parts of the server to which a service can attach itself.

    Attributes:
        router: The server's router.
        log: Writes an event to the log.
        services: The services attached so far, keyed by the names of their tables.
    """

    router: Router
    log: Callable[..., None]
    services: dict[str, Service] = field(default_factory=dict)


@dataclass(slots=True)
class Feature:
    """An optional package that has a table in the settings file.

    Attributes:
        table: The name of the package's table.
        settings: The package's `Settings` struct.
    """

    table: str
    settings: Any

    def prepare(self, server_name: str, log: Callable[..., None]) -> bool:
        """Lets the package finish what the previous process left, before the server listens.

        Returns:
            Whether the program must be started anew, because the package changed the machine.
        """
        module = import_module(f"{PACKAGES[self.table]}.service")
        prepare = getattr(module, "prepare", None)
        return prepare is not None and bool(prepare(server_name, self.settings, log))

    def attach(self, host: ServiceHost) -> Service:
        """Starts the package's service and adds it to `host.services`.

        Raises:
            InvalidTableError: The service can't be started with these settings.
        """
        module = import_module(f"{PACKAGES[self.table]}.service")
        try:
            service: Service = module.attach(host, self.settings)
        except ValueError as err:
            raise InvalidTableError("", self.table, str(err)) from err
        host.services[self.table] = service
        return service


def decode_features(data: dict[str, Any], path: str, include_disabled: bool = False) -> list[Feature]:
    """Returns the enabled packages of a settings file, in the order in which they are attached.

    Args:
        data: The settings file as decoded from TOML.
        path: The file's path, used in error messages and to resolve relative paths in the settings.
        include_disabled: If True, packages that are not enabled are returned too.

    Raises:
        FeatureConfigError: A table is unknown or invalid, or an enabled package needs a package that is not
            enabled.
    """
    features = [_decode_table(table, values, path) for table, values in data.items()]
    features = [feature for feature in features if feature.settings.on or include_disabled]
    enabled = {feature.table for feature in features if feature.settings.on}
    for feature in features:
        for dependency in getattr(feature.settings, "needs", ()):
            if feature.settings.on and dependency not in enabled:
                raise MissingDependencyError(path, feature.table, dependency)
    order = list(PACKAGES)
    return sorted(features, key=lambda feature: order.index(feature.table))


def _decode_table(table: str, values: Any, path: str) -> Feature:
    import msgspec

    if table not in PACKAGES:
        raise UnknownTableError(path, table, PACKAGES)
    if not isinstance(values, dict):
        raise TableExpectedError(path, table)
    package_settings = import_module(f"{PACKAGES[table]}.settings")
    try:
        settings = msgspec.convert(values, package_settings.Settings)
        package_settings.check(settings, os.path.dirname(os.path.abspath(path)))
    except msgspec.ValidationError as err:
        raise InvalidTableError(path, table, _move_key_first(str(err))) from err
    except ValueError as err:
        raise InvalidTableError(path, table, str(err)) from err
    return Feature(table, settings)


def _move_key_first(text: str) -> str:
    """Moves the key to the front of an error message of msgspec.

    The message ends in " - at `$.key`", or quotes an unknown or missing key in its text.
    """
    problem, _, key = text.partition(" - at `$.")
    if key:
        return f"{key.rstrip('`')}: {problem}"
    if "unknown field" in problem or "missing required field" in problem:
        return f"{problem.split('`')[1]}: {problem}"
    return problem


def load_features(path: str | None, include_disabled: bool = False) -> list[Feature]:
    """Reads the settings file and returns the packages that it enables, in the order of attachment.

    Args:
        path: The file's path; if it is None or empty, the result is an empty list.
        include_disabled: If True, packages that are not enabled are returned too.

    Raises:
        FeatureConfigError: The file can't be read or its content is invalid.
    """
    if not path:
        return []
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except OSError as err:
        raise FeatureConfigError(path, str(err.strerror)) from err
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as err:
        raise FeatureConfigError(path, str(err)) from err
    return decode_features(data, path, include_disabled)
