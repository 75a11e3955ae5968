"""Which part of a new configuration counts while RPCs are under way."""

from __future__ import annotations

from dataclasses import replace

from landingshift.net.routing.server_config import ServerConfig

# Keys of the configuration that count from the next start only and are named in the log when they change,
# with the attributes that hold them. `settings` count from the next start, too, and are not named: a policy
# changes them while the server runs.
FIXED_KEYS = {
    "name": "name",
    "listen": "listen",
    "memory_mb": "memory_mb",
    "sockets": "max_sockets",
    "gauges": "gauge_names",
    "deep_checks": "runs_deep_checks",
}


def reloaded_config(current: ServerConfig, new: ServerConfig) -> ServerConfig:
    """The current configuration with what may change while RPCs are under way.

    Changed `settings` are not taken over.
    """
    return replace(current, engine=new.engine, database=new.database, roster=new.roster, stop_ms=new.stop_ms)


def keys_requiring_restart(current: ServerConfig, new: ServerConfig) -> list[str]:
    """The keys that differ and count from the next start only, without the path of their object.

    A change of `settings` is not among them.
    """
    return [
        key for key, attribute in FIXED_KEYS.items() if getattr(new, attribute) != getattr(current, attribute)
    ]
