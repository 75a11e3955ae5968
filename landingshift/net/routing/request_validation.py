"""Which requests may be taken as RPCs.

Guarantee: what is taken has a known method and tenant, fields in their ranges, and an id that no other RPC in
flight has. The order of the checks is part of the log: the first field that fails is the one that is named.
"""

from __future__ import annotations

import time
from dataclasses import dataclass

from landingshift.admission.interface import Idempotency, Method, Tenant
from landingshift.errors import LandingshiftError
from landingshift.net.protocol import gateway as wire
from landingshift.net.routing.gateway_connection import MAX_OPEN_RPCS, GatewayConnection
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.routing.rpc_table import RpcTable
from landingshift.net.routing.server_config import ServerConfig

MAX_AGE_MS = 120_000.0  # since an RPC arrived at the machine
MAX_CLOCK_LEAD_MS = 5_000.0  # by which the clock that stamped its arrival may be ahead
MAX_WAIT_FACTOR = 4.0  # times the deadline of its method that an RPC may wait


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


class RequestValidator:
    """Checks requests against the configuration and the RPCs in flight.

    Attributes:
        attempt_id_field: The field that names a client's attempt, where there is one.
    """

    def __init__(self, config: ServerConfig, table: RpcTable) -> None:
        self.config = config
        self.table = table
        self.attempt_id_field = ""

    def check(self, connection: GatewayConnection, request: wire.Request) -> CheckedRequest:
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
        rpc_with_id = self.table.find(fields.rpc_id)
        if rpc_with_id is not None:
            raise _id_in_use_error(method, rpc_with_id)
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


def _id_in_use_error(method: Method, known: RoutedRpc) -> LandingshiftError:
    """Why an RPC with the id of `known` is not taken: the engine could not tell the two apart."""
    has_started = known.managed is not None and known.managed.has_started
    if has_started and method.idempotency is not Idempotency.IDEMPOTENT:
        return RunUnderWayError()
    return wire.InvalidFieldError("id")
