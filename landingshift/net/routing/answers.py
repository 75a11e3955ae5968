"""Writes the answers to RPCs.

Guarantee: an RPC gets at most one answer; further answers are dropped. An RPC that its caller has abandoned
gets none.
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
    """Writes answers to the connections on which the RPCs arrived.

    Args:
        connections: The open connections from gateways.
        observers: Notified of each answer that was written.
        log: Receives an event when the answer gate fails and is removed.

    Attributes:
        headers: The headers that are sent with each answer; they advertise the server's load to callers.
        gate: The answer gate, a component that can delay ok answers; None if there is none.
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
        """Answers the RPC with its result, now or when the answer gate releases the answer."""
        if self.gate is not None and not rpc.is_answered and not rpc.is_abandoned:
            try:
                rpc.is_answer_deferred = self.gate.defer_answer(rpc, result, run_time_ms)
            except Exception:  # a failing gate must not hold back answers
                self.log("answer_gate_removed", trace=traceback.format_exc(limit=-MAX_TRACE_FRAMES))
                self.gate = None
                rpc.is_answer_deferred = False
        if not rpc.is_answer_deferred:
            self.send_deferred(rpc, result)

    def send_deferred(self, rpc: RoutedRpc, result: bytes) -> None:
        """Sends an ok answer without asking the answer gate.

        The gate calls this to release an answer that it has delayed.
        """
        rpc.is_answer_deferred = False
        self._answer(rpc, wire.encode_ok(rpc.message_id, result, self.headers), AnswerKind.OK)

    def abort_deferred(self, rpc: RoutedRpc) -> None:
        """Answers the RPC as aborted.

        The answer gate calls this if the ok answer that it has delayed must not be sent.
        """
        rpc.is_answer_deferred = False
        self.abort(rpc)

    def abort(self, rpc: RoutedRpc) -> None:
        """Answers the RPC as aborted, which tells the caller that the RPC failed and might have run."""
        self._answer(rpc, wire.encode_aborted(rpc.message_id, self.headers), AnswerKind.ABORTED)

    def reject(self, rpc: RoutedRpc, retry_after_ms: float, is_final: bool) -> None:
        """Answers the RPC as rejected, which tells the caller that the RPC never ran on this server.

        Args:
            rpc: The RPC to answer.
            retry_after_ms: The time for which the caller should not retry on this server; 0 for no advice.
            is_final: If True, the caller is told not to retry on another server either.
        """
        headers = wire.rejection_headers(self.headers, retry_after_ms, is_final)
        self._answer(rpc, wire.encode_rejected(rpc.message_id, headers), AnswerKind.REJECTED)

    def _answer(self, rpc: RoutedRpc, data: bytes, kind: AnswerKind) -> None:
        connection = self.connections.get(rpc.connection)
        if not rpc.is_answered and not rpc.is_abandoned and connection is not None:
            connection.answer(rpc.message_id, data)
            self.observers.notify("on_answered", rpc, kind)
        rpc.is_answered = True
