"""Our own settings: one TOML file, one table a package; what it does not name stays off and unloaded.

A package that can be switched on has a module `settings` with the struct `Settings` (msgspec, unknown keys
refused) and `check(settings, folder)`, which raises `ValueError("key: what is wrong")`, and a module
`service` with `attach(host, settings) -> Service`. `Settings.needs`, where it is there, names the tables
without which the package can't be on. Packages are attached in the order of `PACKAGES`.
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
    NeededTableError,
    TableExpectedError,
    UnknownTableError,
)

if TYPE_CHECKING:
    from landingshift.net.routing.router import Router

__all__ = ["Feature", "FeatureConfigError", "Service", "ServiceHost", "decode_features", "load_features"]

# Table of the file and the package that it is for, in the order in which packages are attached.
PACKAGES = {
    "ledger": "landingshift.ledger",
    "fleet": "landingshift.membership",
    "coldstart": "landingshift.coldstart",
    "policies": "landingshift.policies",
    "upkeep": "landingshift.maintenance",
}
SETTINGS_FILE_VARIABLE = "LANDINGSHIFT_TOML"


class Service(Protocol):
    """What a package has attached to the server."""

    def finish(self) -> None:
        """Called once the loop has ended; may block for a moment, no longer than the process has left."""


@dataclass(slots=True)
class ServiceHost:
    """What a service is given to wire itself to the loop.

    Attributes:
        services: Those attached so far, by their tables.
    """

    router: Router
    log: Callable[..., None]
    services: dict[str, Service] = field(default_factory=dict)


@dataclass(slots=True)
class Feature:
    """A package that the file names.

    Attributes:
        table: The package's table in the file.
        settings: The package's own struct.
    """

    table: str
    settings: Any

    def attach(self, host: ServiceHost) -> Service:
        """Starts the package's service.

        Raises:
            InvalidTableError: What the settings name can't be used.
        """
        module = import_module(f"{PACKAGES[self.table]}.service")
        try:
            service: Service = module.attach(host, self.settings)
        except ValueError as err:
            raise InvalidTableError("", self.table, str(err)) from err
        host.services[self.table] = service
        return service


def decode_features(data: dict[str, Any], path: str, include_disabled: bool = False) -> list[Feature]:
    """The packages of decoded TOML, in the order in which they are attached.

    Args:
        data: The decoded file.
        path: The file's path, for errors and paths relative to it.
        include_disabled: Not only those that are switched on.

    Raises:
        FeatureConfigError: A table can't be used.
    """
    features = [_decode_table(table, values, path) for table, values in data.items()]
    features = [feature for feature in features if feature.settings.on or include_disabled]
    on = {feature.table for feature in features if feature.settings.on}
    for feature in features:
        for needed in getattr(feature.settings, "needs", ()):
            if feature.settings.on and needed not in on:
                raise NeededTableError(path, feature.table, needed)
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
        raise InvalidTableError(path, table, _key_first(str(err))) from err
    except ValueError as err:
        raise InvalidTableError(path, table, str(err)) from err
    return Feature(table, settings)


def _key_first(text: str) -> str:
    """An error of msgspec with the key in front.

    It says `what - at `$.key``, or names an unknown key in the text.
    """
    what, _, where = text.partition(" - at `$.")
    if where:
        return f"{where.rstrip('`')}: {what}"
    if "unknown field" in what or "missing required field" in what:
        return f"{what.split('`')[1]}: {what}"
    return what


def load_features(path: str | None, include_disabled: bool = False) -> list[Feature]:
    """The packages that the file of our own settings names; none where there is no file.

    Args:
        path: The file's path.
        include_disabled: Not only those that are switched on.

    Raises:
        FeatureConfigError: The file or a table of it can't be used.
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
