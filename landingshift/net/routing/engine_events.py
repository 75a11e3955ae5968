"""Handles the engine's messages: answers RPCs and informs the admission controller."""

from __future__ import annotations

from collections.abc import Callable

from landingshift.admission.interface import Outcome
from landingshift.net.protocol import engine as wire
from landingshift.net.routing.admission_driver import AdmissionDriver
from landingshift.net.routing.answers import AnswerWriter
from landingshift.net.routing.check_runner import CheckRunner
from landingshift.net.routing.database_pool import DatabasePool
from landingshift.net.routing.dedup import DedupTable
from landingshift.net.routing.duplicates import DuplicateResolver
from landingshift.net.routing.engine_link import EngineLink
from landingshift.net.routing.gateways import Gateways
from landingshift.net.routing.observers import RpcObservers
from landingshift.net.routing.rpc_table import RpcTable


class EngineEventHandler:
    """Implements `EngineEvents`: handles the messages that arrive on the engine link.

    Args:
        start_admission: Called with the engine's first answer; creates the admission controller.
    """

    def __init__(
        self,
        driver: AdmissionDriver,
        table: RpcTable,
        dedup: DedupTable,
        gateways: Gateways,
        database: DatabasePool,
        engine: EngineLink,
        observers: RpcObservers,
        answers: AnswerWriter,
        duplicates: DuplicateResolver,
        check_runner: CheckRunner,
        start_admission: Callable[[wire.Hello], None],
        log: Callable[..., None],
    ) -> None:
        self.driver = driver
        self.table = table
        self.dedup = dedup
        self.gateways = gateways
        self.database = database
        self.engine = engine
        self.observers = observers
        self.answers = answers
        self.duplicates = duplicates
        self.check_runner = check_runner
        self.start_admission = start_admission
        self.log = log

    def on_engine_up(self, hello: wire.Hello) -> None:
        """Starts admission when the engine answers for the first time."""
        self.start_admission(hello)

    def on_run_ended(self, notice: wire.RunEnded) -> None:
        """Answers the RPC and its duplicates with the outcome of the run, and informs the controller."""
        rpc = self.table.find(notice.rpc_id)
        if rpc is None or rpc.managed is None:
            return
        self.engine.commands.forget(rpc)
        if notice.notice_number != wire.NO_NOTICE_NUMBER:
            self.duplicates.verify_connection(rpc)
        self.database.cancel(rpc)
        entry = self.dedup.owned_by(rpc)
        if notice.outcome is Outcome.OK:
            self.answers.send_ok(rpc, notice.result, notice.elapsed_ms)
        else:
            self.answers.abort(rpc)
        self.driver.controller_for_event().on_run_finished(rpc.managed, notice.outcome, notice.elapsed_ms)
        if entry is not None:
            entry.run_time_ms = notice.elapsed_ms
            self.duplicates.complete(entry, notice.outcome, notice.result)

    def on_call_needed(self, notice: wire.CallNeeded) -> None:
        """Stores the database request of a run; the controller decides whether the database call is made."""
        rpc = self.table.find(notice.rpc_id)
        if rpc is None or rpc.managed is None:
            return
        self.engine.commands.forget(rpc)
        rpc.call_notice_number = notice.notice_number
        rpc.call_request = notice.request
        self.duplicates.verify_connection(rpc)
        self.observers.notify("on_call_needed", rpc)
        self.driver.controller_for_event().on_call_needed(rpc.managed)

    def on_command_refused(self, refusal: wire.CommandRefused) -> None:
        """Logs a refused command, and aborts the RPC if the refusal shows that the engine does not know it.

        The refusal of a run command or of a query by `EngineLink.query_known` shows this. An unverified
        connection on which such an RPC arrived is cut off.
        """
        rpc = self.table.find(refusal.rpc_id)
        self.log("engine_command_refused", command=refusal.command.decode("latin-1"), known=rpc is not None)
        if rpc is None:
            return
        if refusal.command != wire.RUN_COMMAND and not self.engine.commands.is_query(rpc):
            return
        connection = self.gateways.connections.get(rpc.connection)
        self.on_run_ended(wire.RunEnded(wire.NO_NOTICE_NUMBER, refusal.rpc_id, Outcome.NOT_SENT, 0.0, b""))
        if connection is not None and not connection.is_verified:
            connection.cut_off("unknown_rpc")  # further RPCs of an unknown client would waste capacity

    def on_gauges(self, values: list[float]) -> None:
        """Passes the gauge values, in the order of the configured gauge names, to the check runner."""
        self.check_runner.on_gauges(values)
