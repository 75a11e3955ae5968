"""Wires the server together and runs it."""

from __future__ import annotations

import gc
import os
import signal
import socket
import sys
import traceback
from selectors import EVENT_READ

from landingshift.net.program.config import BadConfig, load
from landingshift.net.program.log import Log
from landingshift.net.routing.router import Router
from landingshift.net.transport.loop import Loop


class Signals:
    """Turns SIGTERM and SIGINT into an event of the loop."""

    def __init__(self, loop: Loop, router: Router) -> None:
        self.router = router
        self.seen, wakes = socket.socketpair()
        self.seen.setblocking(False)
        wakes.setblocking(False)
        self.wakes = wakes
        signal.set_wakeup_fd(wakes.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: None)
        loop.watch(self.seen.fileno(), EVENT_READ, self)

    def ready(self, _mask: int) -> None:
        if self.seen.recv(64):
            self.router.drain()


def main() -> int:
    try:
        site = load(os.environ)
    except BadConfig as err:
        sys.stderr.write(f"landingshift: {err}\n")
        return 2
    log = Log(sys.stdout.fileno())
    loop = Loop(lambda: log("fault", trace=traceback.format_exc(limit=-6)))
    try:
        router = Router(loop, site, log)
    except OSError as err:
        sys.stderr.write(f"landingshift: listen: {site.listen[0]}:{site.listen[1]}: {err.strerror}\n")
        return 2
    signals = Signals(loop, router)
    # What is there now stays: collections need not look at it again, and are short.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    log("started", name=site.name, listen=router.gateways.listener.address, cold=site.settings.cold)
    loop.run()
    log("stopped", connections=len(router.gateways.table))
    signals.seen.close()
    return 0
