"""Our own settings: one TOML file, one table a subsystem; what it does not name stays off and unloaded.

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

if TYPE_CHECKING:
    from landingshift.net.routing.router import Router

PACKAGES = {  # table of the file, package
    "ledger": "landingshift.ledger",
    "fleet": "landingshift.membership",
    "coldstart": "landingshift.coldstart",
    "policies": "landingshift.policies",
    "upkeep": "landingshift.maintenance",
}
SETTINGS_FILE_VARIABLE = "LANDINGSHIFT_TOML"


class FeatureConfigError(Exception):
    """The text names file, table and key."""


class Service(Protocol):
    def finish(self) -> None:
        """Called once the loop has ended; may block for a moment, no longer than the process has left."""


@dataclass(slots=True)
class ServiceHost:
    """What a service is given to wire itself to the loop."""

    router: Router
    log: Callable[..., None]
    services: dict[str, Service] = field(default_factory=dict)  # those attached so far, by their tables


@dataclass(slots=True)
class Feature:
    table: str
    settings: Any

    def attach(self, host: ServiceHost) -> Service:
        try:
            service: Service = import_module(f"{PACKAGES[self.table]}.service").attach(host, self.settings)
        except ValueError as err:
            raise FeatureConfigError(f"[{self.table}] {err}") from err
        host.services[self.table] = service
        return service


def decode_features(data: dict[str, Any], path: str, every: bool = False) -> list[Feature]:
    """Those that are on; `every`: all that the file names."""
    import msgspec

    features = []
    for table, values in data.items():
        if table not in PACKAGES:
            raise FeatureConfigError(f"{path}: [{table}]: no such table; there is {', '.join(PACKAGES)}")
        if not isinstance(values, dict):
            raise FeatureConfigError(f"{path}: {table}: a table is expected")
        part = import_module(f"{PACKAGES[table]}.settings")
        try:
            settings = msgspec.convert(values, part.Settings)
            part.check(settings, os.path.dirname(os.path.abspath(path)))
        except msgspec.ValidationError as err:
            raise FeatureConfigError(f"{path}: [{table}] {told(str(err))}") from err
        except ValueError as err:
            raise FeatureConfigError(f"{path}: [{table}] {err}") from err
        if settings.on or every:
            features.append(Feature(table, settings))
    on = {f.table for f in features if f.settings.on}
    for feature in features:
        for need in getattr(feature.settings, "needs", ()):
            if feature.settings.on and need not in on:
                raise FeatureConfigError(f"{path}: [{feature.table}] needs the table [{need}], switched on")
    return sorted(features, key=lambda f: list(PACKAGES).index(f.table))


def told(text: str) -> str:
    """msgspec says `what - at `$.key``, or names an unknown key in the text: the key comes first here."""
    what, _, where = text.partition(" - at `$.")
    if where:
        return f"{where.rstrip('`')}: {what}"
    if "unknown field" in what or "missing required field" in what:
        return f"{what.split('`')[1]}: {what}"
    return what


def load_features(path: str | None, every: bool = False) -> list[Feature]:
    if not path:
        return []
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except OSError as err:
        raise FeatureConfigError(f"{path}: {err.strerror}") from err
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as err:
        raise FeatureConfigError(f"{path}: {err}") from err
    return decode_features(data, path, every)
