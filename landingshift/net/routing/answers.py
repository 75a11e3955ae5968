"""The answers to RPCs.

Guarantee: one final answer an RPC, whatever is said later; none where nobody waits for it any more.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable

from landingshift.net.protocol import gateway as wire
from landingshift.net.routing.gateway_connection import GatewayConnection
from landingshift.net.routing.observers import MAX_TRACE_FRAMES, AnswerGate, AnswerKind, RpcObservers
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.transport.slots import Slots


class AnswerWriter:
    """Writes answers to the connections on which the RPCs came.

    Args:
        connections: The gateways' connections.
        observers: Called with each answer that was written.
        log: Called with a gate that was cut off.

    Attributes:
        headers: The headers of each answer, which tell callers of the server's load.
        gate: The gate that ok answers pass before they go out, if there is one.
    """

    def __init__(
        self, connections: Slots[GatewayConnection], observers: RpcObservers, log: Callable[..., None]
    ) -> None:
        self.connections = connections
        self.observers = observers
        self.log = log
        self.headers: dict[str, str] = {}
        self.gate: AnswerGate | None = None

    def send_ok(self, rpc: RoutedRpc, result: bytes, run_time_ms: float) -> None:
        """Answers with a result; the gate, where there is one, may let it go later."""
        if self.gate is not None and not rpc.is_answered and not rpc.is_abandoned:
            try:
                rpc.is_answer_deferred = self.gate.defer_answer(rpc, result, run_time_ms)
            except Exception:  # a gate that breaks must not keep answers
                self.log("gate_cut_off", trace=traceback.format_exc(limit=-MAX_TRACE_FRAMES))
                self.gate = None
                rpc.is_answer_deferred = False
        if not rpc.is_answer_deferred:
            self.send_deferred(rpc, result)

    def send_deferred(self, rpc: RoutedRpc, result: bytes) -> None:
        """An ok answer passed the gate."""
        rpc.is_answer_deferred = False
        self._answer(rpc, wire.encode_ok(rpc.message_id, result, self.headers), AnswerKind.OK)

    def abort_deferred(self, rpc: RoutedRpc) -> None:
        """The gate decided that an ok answer may not go: aborts the RPC instead."""
        rpc.is_answer_deferred = False
        self.abort(rpc)

    def abort(self, rpc: RoutedRpc) -> None:
        """Answers that the RPC brought no result and may have run."""
        self._answer(rpc, wire.encode_aborted(rpc.message_id, self.headers), AnswerKind.ABORTED)

    def reject(self, rpc: RoutedRpc, retry_after_ms: float, is_final: bool) -> None:
        """Answers that the RPC never ran here; `is_final`: its caller should not try elsewhere either."""
        headers = wire.rejection_headers(self.headers, retry_after_ms, is_final)
        self._answer(rpc, wire.encode_rejected(rpc.message_id, headers), AnswerKind.REJECTED)

    def _answer(self, rpc: RoutedRpc, data: bytes, kind: AnswerKind) -> None:
        connection = self.connections.get(rpc.connection)
        if not rpc.is_answered and not rpc.is_abandoned and connection is not None:
            connection.answer(rpc.message_id, data)
            self.observers.notify("on_answered", rpc, kind)
        rpc.is_answered = True
