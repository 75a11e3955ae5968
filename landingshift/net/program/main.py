"""Wires the server together and runs it."""

from __future__ import annotations

import gc
import os
import signal
import sys
import traceback

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
EXIT_UNUSABLE_SETTINGS = 2
GC_THRESHOLDS = (20_000, 20, 50)  # collections are rarer than by default: one falls into a pass of the loop


def main(toml: str | None = None) -> int:
    """Serves until told to leave.

    Args:
        toml: Path of our own settings; else the environment names it.

    Returns:
        The exit status: 2 for settings that can't be used.
    """
    log = EventLog(sys.stdout.fileno())
    loop = Loop(lambda: log("fault", trace=traceback.format_exc(limit=-MAX_TRACE_FRAMES)))
    signals = SignalWatcher(loop)
    try:
        config = load_config(os.environ)
        switched_on = features.load_features(toml or os.environ.get(features.SETTINGS_FILE_VARIABLE))
        router = _make_router(loop, config, log)
        host = features.ServiceHost(router, log)
        services = [feature.attach(host) for feature in switched_on]
    except (ServerConfigError, features.FeatureConfigError, ListenError) as err:
        sys.stderr.write(f"landingshift: {err}\n")
        return EXIT_UNUSABLE_SETTINGS
    signals.on_signal = lambda number, received_ms: _on_signal(router, log, number, received_ms)
    _tune_collector()
    log(
        "started",
        name=config.name,
        listen=router.gateways.listener.address,
        cold=config.settings.starts_cold,
    )
    loop.run()
    for service in reversed(services):  # what one says at its end may go by another
        service.finish()
    log("stopped", connections=len(router.gateways.connections))
    signals.close()
    return EXIT_OK


def _make_router(loop: Loop, config: ServerConfig, log: EventLog) -> Router:
    try:
        return Router(loop, config, log)
    except OSError as err:
        raise ListenError(config.listen, str(err.strerror)) from err


def _on_signal(router: Router, log: EventLog, number: int, received_ms: float) -> None:
    """SIGHUP has the configuration read again; all others are the notice to leave."""
    if number == signal.SIGHUP:
        _reload(router, log)
    else:
        router.drain(received_ms)


def _reload(router: Router, log: EventLog) -> None:
    try:
        config = load_config(os.environ)
    except ServerConfigError as err:
        log("reload_failed", error=str(err))  # the old configuration stays
    else:
        router.reload(config)


def _tune_collector() -> None:
    """What is there now stays: collections need not look at it again, and are short."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
