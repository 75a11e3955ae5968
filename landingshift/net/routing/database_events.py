"""Passes replies from the database to the engine, and outcomes of calls to the admission controller."""

from __future__ import annotations

from functools import partial

from landingshift.admission.interface import Outcome
from landingshift.net.routing.admission_driver import AdmissionDriver
from landingshift.net.routing.engine_commands import feed_reply_command
from landingshift.net.routing.engine_link import EngineLink
from landingshift.net.routing.observers import RpcObservers
from landingshift.net.routing.rpc_record import RoutedRpc


class DatabaseEventHandler:
    """Implements `DatabaseEvents`: handles the end of each database call."""

    def __init__(self, driver: AdmissionDriver, engine: EngineLink, observers: RpcObservers) -> None:
        self.driver = driver
        self.engine = engine
        self.observers = observers

    def on_call_finished(self, rpc: RoutedRpc, outcome: Outcome, elapsed_ms: float, reply: bytes) -> None:
        """Reports the finished call later in the loop pass.

        The report is deferred because the controller might be settling now, that is, requesting actions.
        """
        self.driver.defer(partial(self._notify_controller, rpc, outcome, elapsed_ms, reply))

    def _notify_controller(self, rpc: RoutedRpc, outcome: Outcome, elapsed_ms: float, reply: bytes) -> None:
        self.observers.notify("on_call_finished", rpc, outcome, elapsed_ms)
        if rpc.is_closed or rpc.managed is None or rpc.is_answered or rpc.is_abandoned:
            return
        if outcome is Outcome.OK:
            self.engine.send_command(feed_reply_command(rpc, reply))
        self.driver.controller_for_event().on_call_finished(rpc.managed, outcome, elapsed_ms)
