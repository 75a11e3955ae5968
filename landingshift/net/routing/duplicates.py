"""Answers duplicates of RPCs from the deduplication table.

Guarantee: a result goes only to a gateway. A duplicate on an unverified connection may come from an unknown
client that guessed a gateway's key, so it gets the result only once the engine has recognized an RPC from
that connection. If this does not happen within `VERIFICATION_TIME_MS`, the duplicate is aborted.
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


class DuplicateResolver:
    """Answers duplicates once their original has ended and their connection is verified."""

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
        """Answers the duplicate once its original has ended."""
        entry = self.dedup.originals[rpc]
        if entry.outcome is None:
            entry.waiters[rpc] = None
        else:
            self._defer_answer(rpc, entry)

    def complete(self, entry: DedupEntry, outcome: Outcome, result: bytes) -> None:
        """Stores the outcome of the entry's owner and answers the duplicates that wait for it."""
        for waiter in self.dedup.complete(entry, outcome, result, self.loop.now_ms):
            self._defer_answer(waiter, entry)

    def drop_unrun(self, entry: DedupEntry) -> None:
        """Removes the entry of an owner that never ran: aborts its duplicates, and later ones may run."""
        self.complete(entry, Outcome.ABORTED, b"")
        self.dedup.remove(entry)

    def verify_connection(self, rpc: RoutedRpc) -> None:
        """Verifies the connection of an RPC that the engine recognized; answers its waiting duplicates."""
        connection = self.connections.get(rpc.connection)
        if connection is None or connection.is_verified:
            return
        connection.is_verified = True
        for duplicate, entry in connection.unverified_duplicates.items():
            self._defer_answer(duplicate, entry)
        connection.unverified_duplicates = {}

    def _defer_answer(self, rpc: RoutedRpc, entry: DedupEntry, is_last_chance: bool = False) -> None:
        self.driver.defer(partial(self._answer_duplicate, rpc, entry, is_last_chance))

    def _answer_duplicate(self, rpc: RoutedRpc, entry: DedupEntry, is_last_chance: bool) -> None:
        """Answers a duplicate whose original has ended.

        Args:
            rpc: The duplicate.
            entry: The entry of its original.
            is_last_chance: Whether the time for verifying its connection is over.
        """
        if rpc.is_closed or rpc.managed is None:
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
        self.driver.controller_for_event().on_run_finished(rpc.managed, outcome, 0.0)

    def _await_verification(self, connection: GatewayConnection, rpc: RoutedRpc, entry: DedupEntry) -> None:
        """Answers the duplicate once another RPC has verified the connection, or aborts it on timeout.

        `EngineLink.query_known` uses a command to skip a call, which the engine refuses for every RPC whose
        method allows no call to be skipped. A refusal closes an unverified connection together with its open
        RPCs, so the engine is not queried for such methods.
        """
        connection.unverified_duplicates = {
            duplicate: original
            for duplicate, original in connection.unverified_duplicates.items()
            if not duplicate.is_closed
        }
        connection.unverified_duplicates[rpc] = entry
        self.loop.after(VERIFICATION_TIME_MS, partial(self._defer_answer, rpc, entry, is_last_chance=True))

    def _on_known(self, rpc: RoutedRpc, entry: DedupEntry) -> None:
        self.verify_connection(rpc)
        self._defer_answer(rpc, entry)
