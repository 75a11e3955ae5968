"""Answers duplicates of RPCs from the deduplication table.

The original of a duplicate is the earlier RPC with the same deduplication key (see `dedup`).

Guarantee: results are sent only to gateways, never to unknown clients that guessed a deduplication key. A
connection is verified as a gateway's once the engine has recognized an RPC that arrived on it. A duplicate on
an unverified connection waits for the verification. If the connection is not verified within
`VERIFICATION_TIME_MS`, the duplicate is aborted.
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
    """Answers a duplicate once its original has ended.

    Results are sent only on verified connections: those on which the engine has recognized an RPC.
    """

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
        """Answers the duplicate `rpc` now if its original has ended, otherwise once the original ends."""
        entry = self.dedup.originals[rpc]
        if entry.waiters is not None:
            entry.waiters[rpc] = None
        else:
            self._defer_answer(rpc, entry)

    def complete(self, entry: DedupEntry, outcome: Outcome, result: bytes) -> None:
        """Stores outcome and result of the entry's owner, and answers duplicates that wait for the owner.

        The owner is the original of these duplicates.
        """
        for waiter in self.dedup.complete(entry, outcome, result, self.loop.now_ms):
            self._defer_answer(waiter, entry)

    def drop_unrun(self, entry: DedupEntry) -> None:
        """Removes an entry whose owner never ran, so that a later duplicate can run.

        Duplicates that wait for the owner are aborted.
        """
        self.complete(entry, Outcome.ABORTED, b"")
        self.dedup.remove(entry)

    def verify_connection(self, rpc: RoutedRpc) -> None:
        """Marks the connection on which `rpc` arrived as verified.

        Call this once the engine has recognized `rpc`. Duplicates that wait for verification are answered.
        """
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

        If there is a result but the connection is unverified, the duplicate is not answered yet. If the
        method's database call can be skipped, the engine is asked whether it knows the duplicate. Otherwise
        the duplicate waits until another RPC verifies the connection.

        Args:
            rpc: The duplicate.
            entry: The deduplication entry of the original.
            is_last_chance: If True, the duplicate is aborted instead of waiting for another RPC.
        """
        if rpc.is_closed or rpc.managed is None:
            return
        has_result = entry.has_result
        connection = self.connections.get(rpc.connection)
        if has_result and connection is not None and not connection.is_verified:
            if rpc.method.can_skip_call:
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
        """Answers the duplicate once the connection is verified; aborts it after `VERIFICATION_TIME_MS`.

        Used for methods whose database call must not be skipped. For other methods, `EngineLink.query_known`
        asks the engine whether it knows the duplicate. That query is a skip-call command, which makes
        a run continue without its database call. If the method's call must not be skipped, the engine refuses
        the command even for an RPC that it knows. The connection would then be cut off by mistake.
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
