"""Capacity of simulated servers, and the RPCs, methods and timeouts of their load."""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.admission.interface import (
    DownstreamKind,
    Idempotency,
    LoadAdvertisement,
    Method,
    Rpc,
    RunCancellation,
    Settings,
    Tenant,
)
from landingshift.testbed.verification.rpc_invariants import DRAIN_GRACE_MS

CORE_COUNT = 2
CORE_TIME_MS = 250.0
"""Core time that one RPC needs."""
SERVER_CAPACITY_RPCS_PER_SECOND = CORE_COUNT * 1000.0 / CORE_TIME_MS
CACHE_FILL_CALLS = 8
"""Number of downstream calls that fill a server's cache. Later, one run in this many still needs a call."""
WARM_UP_MS = 2000.0
CALLER_TIMEOUT_MS = 3000.0
MAX_CALL_WAIT_MS = 300.0
"""Maximum time that the engine waits for a downstream call."""
GATEWAY_DELAY_MS = 1.0
"""Time that an RPC takes from a gateway to the socket of a server."""
CRITICAL_METHOD_FRACTION = 0.2


def _method(criticality: float, calls_downstream: bool) -> Method:
    return Method(
        Idempotency.IDEMPOTENT,
        1500.0,
        0.0,
        CALLER_TIMEOUT_MS,
        criticality,
        0.5,
        5000.0,
        calls_downstream,
        0.5,
    )


ORDINARY_METHOD = _method(1.0, True)
CRITICAL_METHOD = _method(5.0, False)


@dataclass(slots=True, eq=False)
class SimulatedRpc(Rpc):
    """A simulated RPC.

    Attributes:
        number: Number of the RPC, unique in the whole simulation.
    """

    number: int = 0


def new_rpc(method: Method, tenant: Tenant, number: int) -> SimulatedRpc:
    """Returns a new RPC with the field values that a gateway sends."""
    return SimulatedRpc(
        method, tenant, CALLER_TIMEOUT_MS, 1.0, 10.0, 0, None, False, False, False, False, number
    )


def admission_settings(server_count: int, tenant: Tenant) -> Settings:
    """Returns the admission settings of each server."""
    return Settings(
        methods=[ORDINARY_METHOD, CRITICAL_METHOD],
        tenants=[tenant],
        over_quota_value_fraction=0.1,
        criticality_is_per_work=False,
        server_count=server_count,
        caller_count=0,
        core_count=CORE_COUNT,
        starts_cold=True,
        cold_speed_fraction=0.3,
        warm_up_ms=WARM_UP_MS,
        memory_kb=100_000.0,
        running_memory_factor=4.0,
        dedup_entry_kb=1.0,
        response_cache_ttl_ms=0.0,
        run_cancellation=RunCancellation.NONE,
        downstream=DownstreamKind.SHARED_STORE,
        downstream_concurrency_quota=50.0,
        downstream_quota_window_ms=5000.0,
        lost_call_linger_ms=100.0,
        load_advertisement=LoadAdvertisement.NONE,
        callers_send_deadline=True,
        callers_mark_retries=True,
        max_retry_after_ms=1000.0,
        connection_idle_timeout_ms=30_000.0,
        drain_grace_ms=DRAIN_GRACE_MS,
        max_runs_per_core=8.0,
    )
