"""Handles requests from gateways: passes RPCs to the admission controller and answers health checks.

A request is accepted if its RPC is passed to the admission controller. Guarantee: every request is answered;
a request that is not accepted is answered immediately. A rejection tells the caller that the RPC never ran.
A valid request that is not accepted is therefore aborted, not rejected, if it is a duplicate of an RPC that
might have run and must not run twice. Duplicates are requests with the same deduplication key (see `dedup`).
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from landingshift.admission.interface import Idempotency, Method
from landingshift.net.protocol import gateway as wire
from landingshift.net.routing.admission_driver import AdmissionDriver
from landingshift.net.routing.answers import AnswerWriter
from landingshift.net.routing.database_pool import DatabasePool
from landingshift.net.routing.dedup import DedupKey, DedupTable
from landingshift.net.routing.engine_link import EngineLink
from landingshift.net.routing.gateway_connection import GatewayConnection
from landingshift.net.routing.health import HealthReporter
from landingshift.net.routing.observers import RpcObservers
from landingshift.net.routing.request_validation import (
    CheckedRequest,
    RequestValidator,
    RpcAlreadyRunningError,
)
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.routing.rpc_table import RpcTable
from landingshift.net.routing.started_ids import StartedIds

# Once this many RPCs are in flight, requests on unverified connections are not accepted, to bound memory. A
# connection is unverified until the engine has recognized an RPC that arrived on it.
MAX_RPCS_WITH_UNVERIFIED = 1024


class RpcIntake:
    """Implements `GatewayEvents`: handles the requests and cancellations of gateways.

    Args:
        max_rpcs: The number of RPCs in flight from which on no request is accepted, to bound memory.
        release: Closes an RPC for which the controller raised an exception.
        log: Receives an event for the first invalid request on each verified connection.
    """

    def __init__(
        self,
        validator: RequestValidator,
        driver: AdmissionDriver,
        table: RpcTable,
        dedup: DedupTable,
        engine: EngineLink,
        database: DatabasePool,
        answers: AnswerWriter,
        observers: RpcObservers,
        health_reporter: HealthReporter,
        started_ids: StartedIds,
        max_rpcs: int,
        release: Callable[[RoutedRpc], None],
        log: Callable[..., None],
    ) -> None:
        self.validator = validator
        self.driver = driver
        self.table = table
        self.dedup = dedup
        self.engine = engine
        self.database = database
        self.answers = answers
        self.observers = observers
        self.health_reporter = health_reporter
        self.started_ids = started_ids
        self.max_rpcs = max_rpcs
        self.release = release
        self.log = log

    def on_request(self, connection: GatewayConnection, request: wire.Request) -> None:
        """Validates a request and passes its RPC to the admission controller.

        A request that is not accepted is answered immediately.
        """
        try:
            checked = self.validator.check(connection, request)
        except wire.InvalidFieldError as err:
            self._answer_invalid(connection, request, err.field)
            return
        except RpcAlreadyRunningError:
            self._abort_unaccepted(connection, request)
            return
        dedup_key = _dedup_key(checked)
        lacks_room = dedup_key is not None and not self._has_dedup_room(dedup_key, checked.read_ms)
        if self._must_refuse(connection, checked.method, lacks_room):
            self._answer_not_accepted(connection, request, checked, dedup_key)
            return
        rpc = _make_rpc(connection, request, checked, dedup_key)
        rpc.is_excess = connection.is_behind
        if lacks_room:
            rpc.dedup_key = None
            rpc.has_cache_key = False
        original = self.dedup.find(rpc, checked.read_ms, checked.arrived_ms)
        if original is None and rpc.rpc_id in self.started_ids:
            self._abort_unaccepted(connection, request)
            return
        if original is not None:
            rpc.is_duplicate = True
            self.dedup.link_duplicate(rpc, original)
        self.table.add(rpc)
        connection.rpcs[rpc.message_id] = rpc
        self.observers.notify("on_read", rpc)
        self._admit(rpc)

    def on_abandoned(self, rpc: RoutedRpc) -> None:
        """Marks the RPC as abandoned by its caller and informs the controller later in the loop pass."""
        rpc.is_abandoned = True
        self.driver.defer(partial(self._on_caller_gone, rpc))

    def on_health_check(self, connection: GatewayConnection, request: wire.Request) -> None:
        """Answers a health check; a deep check can first wait for the engine's self-test."""

        def answer(is_healthy: bool) -> None:
            data = wire.encode_health(request.message_id, is_healthy, self.answers.headers)
            connection.stream.write(data)

        self.health_reporter.check(wire.is_deep_health_check(request.params), answer)

    def _admit(self, rpc: RoutedRpc) -> None:
        try:
            rpc.managed = self.driver.controller_for_event().on_rpc_read(rpc)
        except Exception:
            if not rpc.is_closed:
                self.release(rpc)  # the RPC must get an answer even after an exception
            raise
        if rpc.is_closed:
            rpc.managed = None

    def _on_caller_gone(self, rpc: RoutedRpc) -> None:
        if rpc.is_closed or rpc.managed is None:
            return
        self.driver.controller_for_event().on_caller_gone(rpc.managed)
        self.engine.send_withheld(rpc)
        self.database.cancel(rpc)

    # Requests that are not accepted

    def _must_refuse(self, connection: GatewayConnection, method: Method, lacks_dedup_room: bool) -> bool:
        """Return whether a valid request cannot be accepted.

        A request whose duplicates must be recognized is not accepted if there is no room for its entry. Any
        other request is accepted without a deduplication key then.
        """
        max_rpcs = self.max_rpcs if connection.is_verified else min(self.max_rpcs, MAX_RPCS_WITH_UNVERIFIED)
        is_flood = len(self.table) >= max_rpcs
        is_unprotected = lacks_dedup_room and method.idempotency is Idempotency.KEYED
        return self.driver.controller is None or is_flood or is_unprotected

    def _has_dedup_room(self, dedup_key: DedupKey, now_ms: float) -> bool:
        controller = self.driver.controller
        rpc_record_count = controller.dedup_entry_count if controller is not None else 0
        return self.dedup.has_room(dedup_key, now_ms, rpc_record_count)

    def _abort_unaccepted(self, connection: GatewayConnection, request: wire.Request) -> None:
        """Aborts a request whose id belongs to an RPC that was started.

        It is not rejected: after a rejection the gateway would retry the RPC on another server, where it
        would run a second time.
        """
        connection.answer(request.message_id, wire.encode_aborted(request.message_id, self.answers.headers))

    def _answer_invalid(self, connection: GatewayConnection, request: wire.Request, field: str) -> None:
        if connection.is_verified and not connection.invalid_count:
            # Only the first invalid request is logged. The number of invalid requests is logged when the
            # connection is closed.
            self.log("bad_rpc", field=field, method=request.method)
        data = wire.encode_rejected(request.message_id, self.answers.headers)
        connection.answer_invalid(request.message_id, field, data)

    def _answer_not_accepted(
        self,
        connection: GatewayConnection,
        request: wire.Request,
        checked: CheckedRequest,
        dedup_key: DedupKey | None,
    ) -> None:
        """Rejects a valid request that is not accepted.

        No engine is up, too many RPCs are open, or the deduplication table is full.

        A duplicate of an RPC that might have run and must not run twice is aborted instead.
        """
        is_duplicate = checked.method.idempotency is Idempotency.KEYED and dedup_key in self.dedup.entries
        may_have_run = is_duplicate or checked.fields.rpc_id in self.started_ids
        encode = wire.encode_aborted if may_have_run else wire.encode_rejected
        connection.answer(request.message_id, encode(request.message_id, self.answers.headers))


def _dedup_key(checked: CheckedRequest) -> DedupKey | None:
    """Return the deduplication key, which duplicates share; None if the request has none."""
    fields = checked.fields
    is_keyed = checked.method.idempotency is Idempotency.KEYED
    key = fields.idempotency_key if is_keyed else fields.cache_key
    return (checked.method_name, key) if key else None


def _make_rpc(
    connection: GatewayConnection,
    request: wire.Request,
    checked: CheckedRequest,
    dedup_key: DedupKey | None,
) -> RoutedRpc:
    fields = checked.fields
    return RoutedRpc(
        method=checked.method,
        tenant=checked.tenant,
        remaining_ms=checked.remaining_ms,
        # Limited to the total wait: once the caller no longer waits, the exact age does not matter.
        waited_ms=min(checked.wait_ms, checked.age_ms),
        memory_kb=fields.memory_kb,
        caller_id=fields.caller_id,
        work_hint_ms=fields.work_hint_ms,
        has_cache_key=fields.cache_key is not None,
        is_duplicate=False,
        is_retry=fields.is_retry,
        is_write=False,
        rpc_id=fields.rpc_id,
        method_name=checked.method_name,
        body=fields.body,
        connection=connection.slot,
        message_id=request.message_id,
        dedup_key=dedup_key,
        tenant_name=fields.tenant,
        attempt_id=fields.attempt_id,
    )
