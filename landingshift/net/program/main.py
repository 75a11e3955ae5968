"""Creates the server from its configuration and runs it."""

from __future__ import annotations

import gc
import os
import signal
import sys
import traceback
from typing import NoReturn

from landingshift.net.program import features
from landingshift.net.program.config import ServerConfigError, load_config
from landingshift.net.program.config_errors import ListenError
from landingshift.net.program.log import EventLog
from landingshift.net.program.signals import SignalWatcher
from landingshift.net.routing.observers import MAX_TRACE_FRAMES
from landingshift.net.routing.router import Router
from landingshift.net.routing.server_config import ServerConfig
from landingshift.net.transport.loop import Loop

EXIT_OK = 0
EXIT_INVALID_CONFIG = 2
# Garbage collections are rarer than by default, because each collection delays a pass of the loop.
GC_THRESHOLDS = (20_000, 20, 50)


def main(toml: str | None = None) -> int:
    """Runs the server until its graceful shutdown is complete.

    Args:
        toml: The path of the settings file of the optional packages; if None or empty, the environment
            variable `LANDINGSHIFT_TOML` supplies it.

    Returns:
        The exit status: 0 after a shutdown, 2 if the configuration or the settings are invalid or the server
            can't listen on its address.
    """
    log = EventLog(sys.stdout.fileno())
    loop = Loop(lambda: log("fault", trace=traceback.format_exc(limit=-MAX_TRACE_FRAMES)))
    loop.on_slow_pass = lambda duration_ms: log("slow_pass", ms=round(duration_ms))
    signals = SignalWatcher(loop)
    try:
        config = load_config(os.environ)
        enabled = features.load_features(toml or os.environ.get(features.SETTINGS_FILE_VARIABLE))
        if any(feature.prepare(config.name, log) for feature in enabled):
            if signals.is_shutdown_received:
                return EXIT_OK
            _start_anew()
        router = _make_router(loop, config, log)
        host = features.ServiceHost(router, log)
        services = [feature.attach(host) for feature in enabled]
    except (ServerConfigError, features.FeatureConfigError, ListenError) as err:
        sys.stderr.write(f"landingshift: {err}\n")
        return EXIT_INVALID_CONFIG
    signals.on_signal = lambda number, received_ms: _on_signal(router, log, number, received_ms)
    _tune_collector()
    log(
        "started",
        name=config.name,
        listen=router.gateways.listener.address,
        cold=config.settings.starts_cold,
    )
    loop.run()
    # Services finish in reverse order, because a service might send its last messages through a service that
    # was attached earlier.
    for service in reversed(services):
        service.finish()
    log("stopped", connections=len(router.gateways.connections))
    signals.close()
    return EXIT_OK


def _start_anew() -> NoReturn:
    """Replaces the process by a new one with the same command line; descriptors are not inherited."""
    os.execv(sys.executable, [sys.executable, *sys.orig_argv[1:]])


def _make_router(loop: Loop, config: ServerConfig, log: EventLog) -> Router:
    try:
        return Router(loop, config, log)
    except OSError as err:
        raise ListenError(config.listen, str(err.strerror)) from err


def _on_signal(router: Router, log: EventLog, number: int, received_ms: float) -> None:
    """Reloads the configuration on SIGHUP and starts the graceful shutdown on any other signal."""
    if number == signal.SIGHUP:
        _reload(router, log)
    else:
        router.drain(received_ms)


def _reload(router: Router, log: EventLog) -> None:
    try:
        config = load_config(os.environ)
    except ServerConfigError as err:
        log("reload_failed", error=str(err))  # the old configuration stays in use
    else:
        router.reload(config)


def _tune_collector() -> None:
    """Makes garbage collections rarer, and excludes all objects created so far to make them shorter."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
