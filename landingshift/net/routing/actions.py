"""What the admission controller asks for, done to engine, database, gateways and the deduplication table."""

from __future__ import annotations

from collections.abc import Callable

from landingshift.admission.interface import LoadAdvertisement, Outcome, Rpc, Settings
from landingshift.net.protocol import engine as engine_wire
from landingshift.net.protocol import gateway as gateway_wire
from landingshift.net.routing.answers import AnswerWriter
from landingshift.net.routing.check_runner import CheckRunner
from landingshift.net.routing.database_pool import DatabasePool
from landingshift.net.routing.dedup import DedupTable
from landingshift.net.routing.duplicates import DuplicateResolver
from landingshift.net.routing.engine_link import EngineLink
from landingshift.net.routing.gateways import Gateways
from landingshift.net.routing.health import HealthReporter
from landingshift.net.routing.observers import RpcObservers
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.routing.rpc_table import RpcTable
from landingshift.net.transport.loop import Loop


class RouterActions:
    """Serves as the admission controller's `Actions`."""

    def __init__(
        self,
        loop: Loop,
        settings: Settings,
        table: RpcTable,
        dedup: DedupTable,
        gateways: Gateways,
        database: DatabasePool,
        engine: EngineLink,
        health_reporter: HealthReporter,
        observers: RpcObservers,
        answers: AnswerWriter,
        duplicates: DuplicateResolver,
        check_runner: CheckRunner,
        log: Callable[..., None],
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.table = table
        self.dedup = dedup
        self.gateways = gateways
        self.database = database
        self.engine = engine
        self.health_reporter = health_reporter
        self.observers = observers
        self.answers = answers
        self.duplicates = duplicates
        self.check_runner = check_runner
        self.report = log

    # Runs and calls

    def start_run(self, rpc: Rpc) -> None:
        """Gives the engine the RPC to run."""
        assert isinstance(rpc, RoutedRpc)
        self.observers.notify("on_started", rpc)
        command = engine_wire.encode_run(rpc.rpc_id, rpc.method_name, rpc.body)
        self.engine.send_command(rpc, command, starts_run=True)

    def cancel_run(self, rpc: Rpc) -> None:
        """Asks the engine to stop the run."""
        assert isinstance(rpc, RoutedRpc)
        self.engine.halt(rpc)

    def start_call(self, rpc: Rpc, timeout_ms: float) -> None:
        """Makes the call that the run waits for."""
        assert isinstance(rpc, RoutedRpc)
        if not self.database.call(rpc, timeout_ms):
            self.database.events.on_call_finished(rpc, Outcome.NO_CONNECTION, 0.0, b"")

    def skip_call(self, rpc: Rpc) -> None:
        """Lets the run go on without its call."""
        assert isinstance(rpc, RoutedRpc)
        command = engine_wire.encode_skip_call(rpc.rpc_id, rpc.call_notice_number)
        self.engine.send_command(rpc, command)

    # Answers

    def reject(self, rpc: Rpc, retry_after_ms: float, is_final: bool) -> None:
        """Answers that the RPC never ran here."""
        assert isinstance(rpc, RoutedRpc)
        self.answers.reject(rpc, retry_after_ms, is_final)

    def abort(self, rpc: Rpc) -> None:
        """Answers that the RPC brought no result; one that its run may still bring is dropped."""
        assert isinstance(rpc, RoutedRpc)
        self.answers.abort(rpc)
        self.engine.send_withheld(rpc)
        self.database.cancel(rpc)

    def release(self, rpc: Rpc) -> None:
        """The controller is done with the RPC: answers it if nothing else has, and forgets it."""
        assert isinstance(rpc, RoutedRpc)
        if not rpc.is_answered and not rpc.is_abandoned and not rpc.is_answer_deferred:
            self.answers.abort(rpc)  # nothing read may end without an answer
        rpc.is_closed = True
        if rpc.managed is None or not rpc.managed.has_started:
            entry = self.dedup.owned_by(rpc)
            if entry is not None and entry.outcome is None:
                # It outlived its entry unrun: no duplicate may wait for what never comes.
                self.duplicates.drop_unrun(entry)
        if rpc.is_duplicate:
            self.dedup.unlink_duplicate(rpc)
        self.engine.commands.forget(rpc)
        self.database.forget_rpc(rpc)
        rpc.managed = None  # no cycle: memory must not wait for the collector
        self.table.remove(rpc)
        self.observers.notify("on_closed", rpc)

    # Duplicates

    def retain_dedup_entry(self, rpc: Rpc, duration_ms: float) -> None:
        """Duplicates of the RPC are answered from it for so long."""
        assert isinstance(rpc, RoutedRpc)
        self.dedup.reserve(rpc, self.loop.now_ms + duration_ms)

    def drop_dedup_entry(self, rpc: Rpc) -> None:
        """The RPC never ran: a duplicate may."""
        assert isinstance(rpc, RoutedRpc)
        entry = self.dedup.owned_by(rpc)
        if entry is not None:
            self.duplicates.drop_unrun(entry)

    def await_original(self, rpc: Rpc) -> None:
        """Answers the duplicate once its original is over."""
        assert isinstance(rpc, RoutedRpc)
        self.duplicates.await_original(rpc)

    # The server's state as others see it, and the time of checks

    def set_health(self, is_healthy: bool, is_shallow: bool) -> None:
        """Sets the answer to health checks and the report to the roster."""
        self.health_reporter.set_health(is_healthy, is_shallow)

    def advertise_load(self, amount: float) -> None:
        """Sets what each answer tells callers of the load."""
        if self.settings.load_advertisement is not LoadAdvertisement.NONE:
            self.answers.headers = gateway_wire.load_headers(amount)

    def close_idle_connections(self, idle_timeout_ms: float) -> None:
        """Closes connections that are idle for so long."""
        self.gateways.set_idle_limit(idle_timeout_ms)

    def schedule_check(self, delay_ms: float) -> None:
        """Asks for a check after the delay, in place of any asked for before."""
        self.check_runner.schedule_check(delay_ms)

    def log(self, text: str) -> None:
        """Logs a change of mode."""
        self.report("mode", text=text)
