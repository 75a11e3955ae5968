"""What gateways send: requests are checked, and RPCs handed to the admission controller.

Guarantee: every request is answered. One that can't be taken is answered at once; a duplicate of an
RPC with an effect is never answered that it did not run.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from landingshift.admission.interface import Idempotency, Method, Tenant
from landingshift.errors import LandingshiftError
from landingshift.net.protocol import gateway as wire
from landingshift.net.routing.admission_driver import AdmissionDriver
from landingshift.net.routing.answers import AnswerWriter
from landingshift.net.routing.database_pool import DatabasePool
from landingshift.net.routing.dedup import DedupKey, DedupTable
from landingshift.net.routing.engine_link import EngineLink
from landingshift.net.routing.gateway_connection import MAX_OPEN_RPCS, GatewayConnection
from landingshift.net.routing.health import HealthReporter
from landingshift.net.routing.observers import RpcObservers
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.routing.rpc_table import RpcTable
from landingshift.net.routing.server_config import ServerConfig

MAX_AGE_MS = 120_000.0  # since an RPC arrived at the machine
MAX_CLOCK_LEAD_MS = 5_000.0  # by which the clock that stamped its arrival may be ahead
MAX_WAIT_FACTOR = 4.0  # times the deadline of its method that an RPC may wait
# RPCs in flight from which only verified connections bring more: memory must stay bounded.
MAX_RPCS_WITH_UNVERIFIED = 1024


class RunUnderWayError(LandingshiftError):
    """An RPC with the same id runs here, and its effect must not happen twice."""


@dataclass(slots=True)
class CheckedRequest:
    """A request that may be taken."""

    method: Method
    tenant: Tenant | None
    fields: wire.RequestFields
    age_ms: float  # since it arrived at the machine
    wait_ms: float  # that its caller waits in all
    remaining_ms: float | None  # that its caller still waits, where callers tell it


class RpcIntake:
    """Serves as the gateways' `GatewayEvents`.

    Args:
        release: Closes an RPC that the controller could not take.
        log: Called with a bad field on a connection that has brought good RPCs.

    Attributes:
        attempt_id_field: The field that names a client's attempt, where there is one.
    """

    def __init__(
        self,
        config: ServerConfig,
        driver: AdmissionDriver,
        table: RpcTable,
        dedup: DedupTable,
        engine: EngineLink,
        database: DatabasePool,
        answers: AnswerWriter,
        observers: RpcObservers,
        health_reporter: HealthReporter,
        release: Callable[[RoutedRpc], None],
        log: Callable[..., None],
    ) -> None:
        self.config = config
        self.driver = driver
        self.table = table
        self.dedup = dedup
        self.engine = engine
        self.database = database
        self.answers = answers
        self.observers = observers
        self.health_reporter = health_reporter
        self.release = release
        self.log = log
        self.attempt_id_field = ""

    def on_request(self, connection: GatewayConnection, request: wire.Request) -> None:
        """Checks a request and hands the RPC to the controller, or answers at once why not."""
        try:
            checked = self._check(connection, request)
        except wire.InvalidFieldError as err:
            self._answer_invalid(connection, request, err.field)
            return
        except RunUnderWayError:
            # Not as never run: whoever hears that sends it elsewhere, where it runs too.
            data = wire.encode_aborted(request.message_id, self.answers.headers)
            connection.answer(request.message_id, data)
            return
        dedup_key = _dedup_key(request.method, checked)
        is_flood = not connection.is_verified and len(self.table) >= MAX_RPCS_WITH_UNVERIFIED
        if self.driver.controller is None or is_flood:
            self._answer_not_taken(connection, request, checked.method, dedup_key)
            return
        rpc = _record(connection, request, checked, dedup_key)
        now_ms = self.driver.loop.now_ms
        original = self.dedup.find(rpc, now_ms, now_ms - checked.age_ms)
        if original is not None:
            rpc.is_duplicate = True
            self.dedup.link_duplicate(rpc, original)
        self.table.add(rpc)
        connection.rpcs[rpc.message_id] = rpc
        self.observers.notify("on_read", rpc)
        self._admit(rpc)

    def on_abandoned(self, rpc: RoutedRpc) -> None:
        """Nobody waits for the RPC any more; the controller hears of it later in the pass."""
        rpc.is_abandoned = True
        self.driver.defer(partial(self._on_caller_gone, rpc))

    def on_health_check(self, connection: GatewayConnection, request: wire.Request) -> None:
        """Answers a health check, at once or when the engine has done the work of a deep one."""

        def answer(is_healthy: bool) -> None:
            data = wire.encode_health(request.message_id, is_healthy, self.answers.headers)
            connection.stream.write(data)

        self.health_reporter.check(wire.is_deep_health_check(request.params), answer)

    def _admit(self, rpc: RoutedRpc) -> None:
        try:
            rpc.managed = self.driver.controller_for_event().on_rpc_read(rpc)
        except Exception:
            if not rpc.is_closed:
                self.release(rpc)  # a defect must not keep this one from its answer
            raise
        if rpc.is_closed:
            rpc.managed = None

    def _on_caller_gone(self, rpc: RoutedRpc) -> None:
        if rpc.is_closed or rpc.managed is None:
            return
        self.driver.controller_for_event().on_caller_gone(rpc.managed)
        self.engine.send_withheld(rpc)
        self.database.cancel(rpc)

    # Checks

    def _check(self, connection: GatewayConnection, request: wire.Request) -> CheckedRequest:
        """What is known of a request that may be taken.

        Raises:
            wire.InvalidFieldError: It can't be.
            RunUnderWayError: An RPC with its id runs and must not run twice.
        """
        method = self.config.methods.get(request.method)
        if method is None:
            raise wire.InvalidFieldError("method")
        fields = wire.decode_fields(request.params, self.attempt_id_field)
        tenant = self.config.tenants.get(fields.tenant)
        if tenant is None and self.config.tenants:
            raise wire.InvalidFieldError("tenant")
        checked = self._check_times(method, tenant, fields)
        self._check_id(method, fields.rpc_id)
        if len(connection.rpcs) >= MAX_OPEN_RPCS:
            raise wire.InvalidFieldError("open")
        return checked

    def _check_times(
        self, method: Method, tenant: Tenant | None, fields: wire.RequestFields
    ) -> CheckedRequest:
        """How old the RPC is and how long its caller waits.

        Where callers do not tell how long they wait, the deadline of the method says it.
        """
        now_unix_ms = time.time() * 1000.0
        if not now_unix_ms - MAX_AGE_MS < fields.arrived_unix_ms < now_unix_ms + MAX_CLOCK_LEAD_MS:
            raise wire.InvalidFieldError("at")
        callers_send_deadline = self.config.settings.callers_send_deadline
        if fields.wait_ms is None and callers_send_deadline:
            raise wire.InvalidFieldError("wait")
        wait_ms = method.deadline_ms if fields.wait_ms is None else fields.wait_ms
        if wait_ms > MAX_WAIT_FACTOR * method.deadline_ms:
            raise wire.InvalidFieldError("wait")
        remaining_ms = None
        if callers_send_deadline:
            remaining_ms = min(wait_ms, fields.arrived_unix_ms + wait_ms - now_unix_ms)
        age_ms = max(0.0, now_unix_ms - fields.arrived_unix_ms)
        return CheckedRequest(method, tenant, fields, age_ms, wait_ms, remaining_ms)

    def _check_id(self, method: Method, rpc_id: bytes) -> None:
        """The engine could not tell two RPCs with one id apart."""
        if rpc_id not in self.table:
            return
        known = self.table.find(rpc_id)
        has_started = known is not None and known.managed is not None and known.managed.has_started
        if has_started and method.idempotency is not Idempotency.IDEMPOTENT:
            raise RunUnderWayError
        raise wire.InvalidFieldError("id")

    # Requests that are not taken

    def _answer_invalid(self, connection: GatewayConnection, request: wire.Request, field: str) -> None:
        if connection.is_verified and not connection.invalid_count:
            # The rest leave one line each as they end.
            self.log("bad_rpc", field=field, method=request.method)
        data = wire.encode_rejected(request.message_id, self.answers.headers)
        connection.answer_invalid(request.message_id, field, data)

    def _answer_not_taken(
        self,
        connection: GatewayConnection,
        request: wire.Request,
        method: Method,
        dedup_key: DedupKey | None,
    ) -> None:
        """The engine is not up yet, or too much comes on connections that are not verified.

        In a flood, too, a duplicate of an RPC with an effect must not be answered that it never ran here.
        """
        has_run = method.idempotency is Idempotency.KEYED and dedup_key in self.dedup.entries
        encode = wire.encode_aborted if has_run else wire.encode_rejected
        connection.answer(request.message_id, encode(request.message_id, self.answers.headers))


def _dedup_key(method_name: str, checked: CheckedRequest) -> DedupKey | None:
    """The key that a request shares with its duplicates; None where it has none."""
    fields = checked.fields
    is_keyed = checked.method.idempotency is Idempotency.KEYED
    key = fields.idempotency_key if is_keyed else fields.cache_key
    return (method_name.encode(), key) if key else None


def _record(
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
        waited_ms=min(
            checked.wait_ms, checked.age_ms
        ),  # a longer age than its caller's wait would add nothing
        memory_kb=fields.memory_kb,
        caller_id=fields.caller_id,
        work_hint_ms=fields.work_hint_ms,
        has_cache_key=fields.cache_key is not None,
        is_duplicate=False,
        is_retry=fields.is_retry,
        is_write=False,
        rpc_id=fields.rpc_id,
        method_name=request.method.encode(),
        body=fields.body,
        connection=connection.slot,
        message_id=request.message_id,
        dedup_key=dedup_key,
        tenant_name=fields.tenant,
        attempt_id=fields.attempt_id,
    )
