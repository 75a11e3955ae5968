"""What a server is told at its start."""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.admission.interface import Method, Settings, Tenant
from landingshift.net.transport.stream import Address


@dataclass(frozen=True, slots=True)
class ServerConfig:
    """The configuration as one value; a reload makes a new one.

    Attributes:
        listen: The address at which gateways connect.
        database: None where the settings name nothing that RPCs call.
        roster: The address of the roster that the server reports to.
        seed: The seed of all random decisions.
        stop_ms: The time from the notice to leave until the process is killed.
        memory_mb: The memory that the process may take.
        max_sockets: The number of sockets that it may have open.
        settings: The admission controller's settings; a policy may change figures in it in place.
        methods: The methods, by their names on the wire.
        tenants: The tenants, by their names on the wire; empty where RPCs name none.
        gauge_names: The names of the engine's gauges, in the order in which it reports them.
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
