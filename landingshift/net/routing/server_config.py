"""What a server is told at its start."""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.admission.interface import Method, Settings, Tenant
from landingshift.net.transport.stream import Address


@dataclass(frozen=True, slots=True)
class ServerConfig:
    """The configuration as one value; a reload makes a new one.

    Attributes:
        listen: Where gateways connect.
        database: None where the settings name nothing that RPCs call.
        roster: Where the server says that it is present.
        seed: Of all that is random.
        stop_ms: From the notice to leave until the process is killed.
        memory_mb: That the process may take.
        max_sockets: That it may have open.
        settings: Of the admission controller; a policy may change figures in it in place.
        methods: By their names on the wire.
        tenants: By their names on the wire; empty where RPCs name none.
        gauge_names: Of the engine's gauges, in the order in which it tells them.
        runs_deep_checks: A deep health check has the engine do a piece of work.
    """

    name: str
    listen: Address
    engine: Address
    database: Address | None
    roster: Address
    seed: int
    stop_ms: float
    memory_mb: float
    max_sockets: int
    settings: Settings
    methods: dict[str, Method]
    tenants: dict[str, Tenant]
    gauge_names: list[str]
    runs_deep_checks: bool
