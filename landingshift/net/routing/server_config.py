"""The configuration of a server."""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.admission.interface import Method, Settings, Tenant
from landingshift.net.transport.stream import Address


@dataclass(frozen=True, slots=True)
class ServerConfig:
    """An immutable configuration; a reload creates a new one.

    Attributes:
        name: The server's name in the roster.
        listen: The address at which gateways connect.
        engine: The address at which the engine listens.
        database: The address of the database; None if RPCs make no database calls.
        roster: The address of the roster to which the server reports.
        seed: The seed of all random decisions.
        stop_ms: The time from the shutdown signal until the process is killed.
        memory_mb: The memory limit of the process.
        max_sockets: The maximum number of open sockets.
        settings: The admission controller's settings; a policy can change their fields in place.
        methods: The methods, keyed by their names on the wire.
        tenants: The tenants, keyed by their names on the wire; empty if requests contain no tenant name.
        gauge_names: The names of the engine's gauges, in the order in which the engine reports them.
        runs_deep_checks: Whether a deep health check runs the engine's self-test.
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
