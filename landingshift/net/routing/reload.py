"""Decides which parts of a new configuration take effect while the server runs."""

from __future__ import annotations

from dataclasses import replace

from landingshift.net.routing.server_config import ServerConfig

# Configuration keys that take effect only at the next start, mapped to their attributes in `ServerConfig`. A
# reload logs which of these keys have changed. `settings` also takes effect only at the next start. It is not
# listed, because policies change the settings while the server runs: a difference between the new and the
# current settings does not show that an operator has changed the configuration.
FIXED_KEYS = {
    "name": "name",
    "listen": "listen",
    "memory_mb": "memory_mb",
    "sockets": "max_sockets",
    "gauges": "gauge_names",
    "deep_checks": "runs_deep_checks",
}


def reloaded_config(current: ServerConfig, new: ServerConfig) -> ServerConfig:
    """Return a copy of `current` with those values of `new` that can take effect while the server runs.

    Changes of `settings` are not applied.
    """
    return replace(current, engine=new.engine, database=new.database, roster=new.roster, stop_ms=new.stop_ms)


def keys_requiring_restart(current: ServerConfig, new: ServerConfig) -> list[str]:
    """Return the names of the changed configuration keys that take effect only at the next start.

    `settings` is never among them.
    """
    return [
        key for key, attribute in FIXED_KEYS.items() if getattr(new, attribute) != getattr(current, attribute)
    ]
