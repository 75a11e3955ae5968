"""Decides which requests are accepted as RPCs.

Guarantee: an accepted request has a known method and tenant, fields within their ranges, and an id that no
RPC in flight has. The log names the first invalid field, so the order of the checks is visible to operators.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass

from landingshift.admission.interface import Idempotency, Method, Tenant
from landingshift.errors import LandingshiftError
from landingshift.net.protocol import gateway as wire
from landingshift.net.routing.gateway_connection import GatewayConnection
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.routing.rpc_table import RpcTable
from landingshift.net.routing.server_config import ServerConfig
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.unix_time import unix_offset_ms

MAX_AGE_MS = 120_000.0  # maximum time since the request arrived at the machine
MAX_CLOCK_LEAD_MS = 5_000.0  # maximum time by which the stated arrival can be ahead of this server's clock
MAX_WAIT_FACTOR = 4.0  # maximum wait of a caller, as a multiple of the method's deadline


class RpcAlreadyRunningError(LandingshiftError):
    """Raised for a request whose id belongs to an RPC that has started and must not run twice."""


@dataclass(slots=True)
class CheckedRequest:
    """A valid request with its decoded fields and its times, by the loop's clock."""

    method: Method
    method_name: bytes  # one object for all requests of the method, since many records contain it
    tenant: Tenant | None
    fields: wire.RequestFields
    read_ms: float  # time at which the request was read
    arrived_ms: float  # time at which the request arrived at the machine; at most `read_ms`
    wait_ms: float  # total time for which the caller waits, from the arrival
    # Time for which the caller still waits when the request is read; None if callers do not send it.
    remaining_ms: float | None

    @property
    def age_ms(self) -> float:
        """Return the time from the request's arrival until it was read."""
        return self.read_ms - self.arrived_ms


class RequestValidator:
    """Checks requests against the configuration and the RPCs in flight.

    Attributes:
        attempt_id_field: The name of the request field that contains the id of the client's attempt; empty if
            no such field is configured.
    """

    def __init__(self, loop: Loop, config: ServerConfig, table: RpcTable) -> None:
        self.loop = loop
        self.config = config
        self.table = table
        self.attempt_id_field = ""
        self._method_names = {name: name.encode() for name in config.methods}

    def check(self, connection: GatewayConnection, request: wire.Request) -> CheckedRequest:
        """Return the checked contents of a valid request.

        Raises:
            wire.InvalidFieldError: A field is invalid.
            RpcAlreadyRunningError: An RPC with the request's id has started and must not run twice.
        """
        method = self.config.methods.get(request.method)
        if method is None:
            raise wire.InvalidFieldError("method")
        fields = wire.decode_fields(request.params, self.attempt_id_field)
        tenant = self.config.tenants.get(fields.tenant)
        if tenant is None and self.config.tenants:
            raise wire.InvalidFieldError("tenant")
        if tenant is not None:
            fields.tenant = sys.intern(fields.tenant)  # many records contain it
        checked = self._check_times(method, self._method_names[request.method], tenant, fields)
        rpc_with_id = self.table.find(fields.rpc_id)
        if rpc_with_id is not None:
            raise _id_in_use_error(method, rpc_with_id)
        if not connection.has_room_for_rpc():
            raise wire.InvalidFieldError("open")
        return checked

    def _check_times(
        self, method: Method, method_name: bytes, tenant: Tenant | None, fields: wire.RequestFields
    ) -> CheckedRequest:
        """Check the age of the request and the wait of its caller; return the checked request.

        If the request does not state how long its caller waits, the method's deadline is used instead. The
        times are independent of the moment of this check, since the process can be paused before it.
        """
        read_ms = self.loop.now_ms
        arrived_ms = fields.arrived_unix_ms - unix_offset_ms()
        if not read_ms - MAX_AGE_MS < arrived_ms < read_ms + MAX_CLOCK_LEAD_MS:
            raise wire.InvalidFieldError("at")
        arrived_ms = min(arrived_ms, read_ms)
        callers_send_deadline = self.config.settings.callers_send_deadline
        if fields.wait_ms is None and callers_send_deadline:
            raise wire.InvalidFieldError("wait")
        wait_ms = method.deadline_ms if fields.wait_ms is None else fields.wait_ms
        if wait_ms > MAX_WAIT_FACTOR * method.deadline_ms:
            raise wire.InvalidFieldError("wait")
        remaining_ms = arrived_ms + wait_ms - read_ms if callers_send_deadline else None
        return CheckedRequest(method, method_name, tenant, fields, read_ms, arrived_ms, wait_ms, remaining_ms)


def _id_in_use_error(method: Method, rpc_with_id: RoutedRpc) -> LandingshiftError:
    """Return the error for a request that has the id of an RPC in flight.

    Such a request is never accepted, because the engine could not tell the two RPCs apart.
    """
    has_started = rpc_with_id.managed is not None and rpc_with_id.managed.has_started
    if has_started and method.idempotency is not Idempotency.IDEMPOTENT:
        return RpcAlreadyRunningError()
    return wire.InvalidFieldError("id")
