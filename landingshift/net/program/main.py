"""Wires the server together and runs it."""

from __future__ import annotations

import gc
import os
import signal
import socket
import sys
import traceback
from collections.abc import Callable
from selectors import EVENT_READ

from landingshift.net.program import features
from landingshift.net.program.config import ServerConfigError, load_config
from landingshift.net.program.log import Log
from landingshift.net.routing.router import Router
from landingshift.net.transport.loop import Loop


class Signals:
    """Turns signals into events of the loop; from its making on none of them ends the program."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.heard: Callable[[int, float], None] = lambda number, at: None
        self.came: dict[int, float] = {}  # when the first of its kind came that is not told yet
        self.seen, self.wakes = socket.socketpair()
        self.seen.setblocking(False)
        self.wakes.setblocking(False)
        signal.set_wakeup_fd(self.wakes.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self.note)
        loop.watch(self.seen.fileno(), EVENT_READ, self)

    def note(self, number: int, _frame: object) -> None:
        """Called in the midst of a pass: a notice counts from now on, not from when the pass is over."""
        self.came.setdefault(number, self.loop.clock_ms())

    def on_ready(self, _mask: int) -> None:
        for number in sorted(set(self.seen.recv(64))):  # many of one kind want no more than one
            self.heard(number, self.came.pop(number, self.loop.now_ms))


def reload(router: Router, log: Log) -> None:
    try:
        site = load_config(os.environ)
    except ServerConfigError as err:
        log("reload_failed", error=str(err))  # the old configuration stays
    else:
        router.reload(site)


def main(toml: str | None = None) -> int:
    """Serves until told to leave; exit status 2 for settings that can't be used. `toml`: our own settings."""
    log = Log(sys.stdout.fileno())
    loop = Loop(lambda: log("fault", trace=traceback.format_exc(limit=-6)))
    signals = Signals(loop)
    try:
        site = load_config(os.environ)
        switched_on = features.load_features(toml or os.environ.get(features.SETTINGS_FILE_VARIABLE))
    except (ServerConfigError, features.FeatureConfigError) as err:
        sys.stderr.write(f"landingshift: {err}\n")
        return 2
    try:
        router = Router(loop, site, log)
    except OSError as err:
        sys.stderr.write(f"landingshift: listen: {site.listen[0]}:{site.listen[1]}: {err.strerror}\n")
        return 2
    try:
        host = features.ServiceHost(router, log)
        services = [feature.attach(host) for feature in switched_on]
    except features.FeatureConfigError as err:
        sys.stderr.write(f"landingshift: {err}\n")
        return 2

    def heard(number: int, at: float) -> None:
        if number == signal.SIGHUP:
            reload(router, log)
        else:
            router.drain(at)

    signals.heard = heard
    # What is there now stays: collections need not look at it again, and are short.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    log("started", name=site.name, listen=router.gateways.listener.address, cold=site.settings.starts_cold)
    loop.run()
    for service in reversed(services):  # what one says at its end may go by another
        service.finish()
    log("stopped", connections=len(router.gateways.connections))
    signals.seen.close()
    return 0
