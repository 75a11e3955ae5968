"""Repeats of RPCs: answered from the deduplication table, and from nothing that was made for somebody else.

A repeat on a connection that is not verified may be a stranger's guess at a gateway's key. It gets the result
only once the engine has known an RPC of that connection; where that can't be shown in time it is aborted.
"""

from __future__ import annotations

from functools import partial

from landingshift.admission.interface import Outcome
from landingshift.net.routing.admission_driver import AdmissionDriver
from landingshift.net.routing.answers import AnswerWriter
from landingshift.net.routing.dedup import DedupEntry, DedupTable
from landingshift.net.routing.engine_link import EngineLink
from landingshift.net.routing.gateway_connection import VERIFICATION_TIME_MS, GatewayConnection
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.slots import Slots


class RepeatResolver:
    """Answers repeats once what they repeat is over, and their connection is verified."""

    def __init__(
        self,
        loop: Loop,
        driver: AdmissionDriver,
        dedup: DedupTable,
        engine: EngineLink,
        answers: AnswerWriter,
        connections: Slots[GatewayConnection],
    ) -> None:
        self.loop = loop
        self.driver = driver
        self.dedup = dedup
        self.engine = engine
        self.answers = answers
        self.connections = connections

    def await_original(self, rpc: RoutedRpc) -> None:
        """Answers the repeat once what it repeats is over."""
        entry = self.dedup.originals[rpc]
        if entry.outcome is None:
            entry.waiters[rpc] = None
        else:
            self._defer_answer(rpc, entry)

    def complete(self, entry: DedupEntry, outcome: Outcome, result: bytes) -> None:
        """The owner of the entry is over: so is what its repeats wait for."""
        for waiter in self.dedup.complete(entry, outcome, result, self.loop.now_ms):
            self._defer_answer(waiter, entry)

    def drop_unrun(self, entry: DedupEntry) -> None:
        """The owner never ran: its repeats are aborted, and later ones may run."""
        self.complete(entry, Outcome.ABORTED, b"")
        self.dedup.remove(entry)

    def verify_connection(self, rpc: RoutedRpc) -> None:
        """The engine knew the RPC: its connection is a gateway's, and its repeats can be answered."""
        connection = self.connections.get(rpc.connection)
        if connection is None or connection.is_verified:
            return
        connection.is_verified = True
        for repeat, entry in connection.unverified_repeats.items():
            self._defer_answer(repeat, entry)
        connection.unverified_repeats = {}

    def _defer_answer(self, rpc: RoutedRpc, entry: DedupEntry, is_last_chance: bool = False) -> None:
        self.driver.defer(partial(self._answer_repeat, rpc, entry, is_last_chance))

    def _answer_repeat(self, rpc: RoutedRpc, entry: DedupEntry, is_last_chance: bool) -> None:
        """Answers a repeat whose original is over.

        Args:
            rpc: The repeat.
            entry: What it repeats.
            is_last_chance: There is no more time for its connection to be verified.
        """
        if rpc.is_closed or rpc.job is None:
            return
        has_result = entry.has_result
        connection = self.connections.get(rpc.connection)
        if has_result and connection is not None and not connection.is_verified:
            if rpc.method.degraded_value_fraction > 0.0:
                self.engine.query_known(rpc, partial(self._on_known, rpc, entry))
                return
            if not is_last_chance:
                self._await_verification(connection, rpc, entry)
                return
            has_result = False
        if has_result:
            self.answers.send_ok(rpc, entry.result or b"", entry.run_time_ms)
        else:
            self.answers.abort(rpc)
        outcome = Outcome.OK if has_result else Outcome.ABORTED
        self.driver.event().on_run_finished(rpc.job, outcome, 0.0)

    def _await_verification(self, connection: GatewayConnection, rpc: RoutedRpc, entry: DedupEntry) -> None:
        """Waits until what else the connection brings verifies it.

        Where no call may be left out the engine refuses the question whether it knows the RPC, for those that
        it knows too: no gateway may be cut off for that with all that it has open.
        """
        connection.unverified_repeats = {
            repeat: original
            for repeat, original in connection.unverified_repeats.items()
            if not repeat.is_closed
        }
        connection.unverified_repeats[rpc] = entry
        self.loop.after(VERIFICATION_TIME_MS, partial(self._defer_answer, rpc, entry, is_last_chance=True))

    def _on_known(self, rpc: RoutedRpc, entry: DedupEntry) -> None:
        self.verify_connection(rpc)
        self._defer_answer(rpc, entry)
