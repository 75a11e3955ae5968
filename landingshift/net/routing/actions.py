"""Carries out the actions that the admission controller requests."""

from __future__ import annotations

from collections.abc import Callable

from landingshift.admission.interface import LoadAdvertisement, Outcome, Rpc, Settings
from landingshift.net.protocol import gateway as gateway_wire
from landingshift.net.routing.answers import AnswerWriter
from landingshift.net.routing.check_runner import CheckRunner
from landingshift.net.routing.database_pool import DatabasePool
from landingshift.net.routing.dedup import DedupTable
from landingshift.net.routing.duplicates import DuplicateResolver
from landingshift.net.routing.engine_commands import skip_call_command, start_run_command
from landingshift.net.routing.engine_link import EngineLink
from landingshift.net.routing.gateways import Gateways
from landingshift.net.routing.health import HealthReporter
from landingshift.net.routing.observers import RpcObservers
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.routing.rpc_table import RpcTable
from landingshift.net.routing.started_ids import StartedIds
from landingshift.net.transport.loop import Loop


class RouterActions:
    """Implements the admission controller's `Actions` interface.

    The actions concern the engine, the database, the gateways and the deduplication table.
    """

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
        started_ids: StartedIds,
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
        self.started_ids = started_ids
        self.report = log

    # Runs and calls

    def start_run(self, rpc: Rpc) -> None:
        """Sends the engine the command to run the RPC."""
        assert isinstance(rpc, RoutedRpc)
        self.observers.notify("on_started", rpc)
        self.started_ids.add(rpc.rpc_id, self.loop.now_ms)
        self.engine.send_command(start_run_command(rpc))

    def cancel_run(self, rpc: Rpc) -> None:
        """Asks the engine to cancel the RPC's run."""
        assert isinstance(rpc, RoutedRpc)
        self.engine.halt(rpc)

    def start_call(self, rpc: Rpc, timeout_ms: float) -> None:
        """Starts the database call that the RPC's run waits for.

        If there is no link to the database, the call ends as `NO_CONNECTION`.
        """
        assert isinstance(rpc, RoutedRpc)
        if not self.database.call(rpc, timeout_ms):
            self.database.events.on_call_finished(rpc, Outcome.NO_CONNECTION, 0.0, b"")

    def skip_call(self, rpc: Rpc) -> None:
        """Tells the engine to continue the RPC's run without the database call that the run asked for."""
        assert isinstance(rpc, RoutedRpc)
        self.engine.send_command(skip_call_command(rpc))

    # Answers

    def reject(self, rpc: Rpc, retry_after_ms: float, is_final: bool) -> None:
        """Answers the RPC as rejected, which tells the caller that the RPC never ran on this server."""
        assert isinstance(rpc, RoutedRpc)
        self.answers.reject(rpc, retry_after_ms, is_final)

    def abort(self, rpc: Rpc) -> None:
        """Answers the RPC as aborted and cancels its database call.

        If the RPC's run yields a result later, that result is not sent.
        """
        assert isinstance(rpc, RoutedRpc)
        self.answers.abort(rpc)
        self.engine.send_withheld(rpc)
        self.database.cancel(rpc)

    def release(self, rpc: Rpc) -> None:
        """Closes an RPC for which the controller will request no more actions.

        An RPC without an answer is aborted, unless the caller has abandoned it or the answer gate (see
        `AnswerGate`) delays the answer.
        """
        assert isinstance(rpc, RoutedRpc)
        if not rpc.is_answered and not rpc.is_abandoned and not rpc.is_answer_deferred:
            self.answers.abort(rpc)  # every RPC that was read must get an answer
        rpc.is_closed = True
        if rpc.managed is None or not rpc.managed.has_started:
            entry = self.dedup.owned_by(rpc)
            if entry is not None and entry.outcome is None:
                # The RPC never ran, so it will have no outcome. Without this call, the duplicates that
                # wait for the outcome would never be answered.
                self.duplicates.drop_unrun(entry)
        self.dedup.release_owner(rpc)
        if rpc.is_duplicate:
            self.dedup.unlink_duplicate(rpc)
        self.engine.commands.forget(rpc)
        self.database.forget_rpc(rpc)
        rpc.managed = None  # breaks a reference cycle, so that memory is freed immediately
        _drop_contents(rpc)
        self.table.remove(rpc)
        self.observers.notify("on_closed", rpc)

    # Duplicates

    def retain_dedup_entry(self, rpc: Rpc, duration_ms: float) -> None:
        """Creates or extends the RPC's deduplication entry, from which duplicates of the RPC are answered.

        The entry expires after `duration_ms`.
        """
        assert isinstance(rpc, RoutedRpc)
        self.dedup.reserve(rpc, self.loop.now_ms + duration_ms)

    def drop_dedup_entry(self, rpc: Rpc) -> None:
        """Removes the deduplication entry of an RPC that never ran, so that a later duplicate can run."""
        assert isinstance(rpc, RoutedRpc)
        entry = self.dedup.owned_by(rpc)
        if entry is not None:
            self.duplicates.drop_unrun(entry)

    def await_original(self, rpc: Rpc) -> None:
        """Answers the duplicate `rpc` once the earlier RPC with the same deduplication key has ended."""
        assert isinstance(rpc, RoutedRpc)
        self.duplicates.await_original(rpc)

    # Health, advertised load and check times

    def set_health(self, is_healthy: bool, is_shallow: bool) -> None:
        """Sets the health that is reported to health checks and to the roster.

        Args:
            is_healthy: Whether gateways should send RPCs to this server.
            is_shallow: If True, deep health checks do not run the engine's self-test.
        """
        self.health_reporter.set_health(is_healthy, is_shallow)

    def advertise_load(self, amount: float) -> None:
        """Sets the load that is advertised to callers in the headers of answers.

        Has no effect if `settings.load_advertisement` is `NONE`.
        """
        if self.settings.load_advertisement is not LoadAdvertisement.NONE:
            self.answers.headers = gateway_wire.load_headers(amount)

    def close_idle_connections(self, idle_timeout_ms: float) -> None:
        """Sets the time after which idle connections from gateways are closed."""
        self.gateways.set_idle_limit(idle_timeout_ms)

    def schedule_check(self, delay_ms: float) -> None:
        """Schedules the controller's next check in `delay_ms`, in place of any check scheduled earlier."""
        self.check_runner.schedule_check(delay_ms)

    def log(self, text: str) -> None:
        """Logs a change of the admission controller's mode, described by `text`."""
        self.report("mode", text=text)


def _drop_contents(rpc: RoutedRpc) -> None:
    """Frees what a closed RPC does not need, since it is kept until its deduplication window ends."""
    rpc.body = b""
    rpc.call_request = b""
    rpc.memory_kb = 0.0
    rpc.waited_ms = 0.0
    rpc.remaining_ms = None
    rpc.work_hint_ms = None
