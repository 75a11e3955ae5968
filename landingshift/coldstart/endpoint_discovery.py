"""Finds members of the cluster: first from the endpoint cache, then by polling the list service."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from landingshift import system_clock
from landingshift.coldstart import endpoint_cache
from landingshift.coldstart.endpoint_cache import CachedEndpoints
from landingshift.coldstart.endpoint_list_client import EndpointListRequest
from landingshift.coldstart.errors import EndpointCacheError
from landingshift.coldstart.service_discovery import ServiceDiscoveryPoller
from landingshift.coldstart.settings import Settings
from landingshift.membership.messages import Address
from landingshift.membership.service import MembershipService
from landingshift.membership.settings import parse_address
from landingshift.net.transport.loop import Loop

SAVE_INTERVAL_MS = 60_000.0
FIRST_SAVE_MS = 5_000.0  # delay of the first save after the start
KNOWN_ADDRESSES_GRACE_MS = 3_000.0  # known addresses are tried this long before the list service is polled


class EndpointDiscovery:
    """Supplies the membership service with contact addresses and maintains the endpoint cache."""

    def __init__(
        self,
        loop: Loop,
        membership: MembershipService,
        settings: Settings,
        rng: Random,
        log: Callable[..., None],
    ) -> None:
        self._loop, self._membership, self._settings, self._log = loop, membership, settings, log
        self._request: EndpointListRequest | None = None
        self._saved_endpoints: list[Address] = []
        self._next_save_ms = loop.now_ms + FIRST_SAVE_MS
        has_cached_addresses = self._load_cache()
        self._poller = ServiceDiscoveryPoller(
            settings.max_servers,
            settings.list_service_polls_per_second,
            has_cached_addresses or bool(membership.settings.seed_addresses),
            KNOWN_ADDRESSES_GRACE_MS,
            rng,
            loop.now_ms,
        )

    @property
    def poll_count(self) -> int:
        """Number of polls of the list service since the start."""
        return self._poller.poll_count

    def on_timer(self) -> None:
        """Poll the list service if a poll is due, and save the cache if a save is due."""
        now_ms = self._loop.now_ms
        has_joined = self._membership.node.has_joined
        if self._settings.list_service_address and self._poller.start_poll_if_due(now_ms, has_joined):
            self._poll()
        if now_ms >= self._next_save_ms:
            self._next_save_ms = now_ms + SAVE_INTERVAL_MS
            self._save_cache()

    def finish(self) -> None:
        """Cancel the poll in progress, if there is one, and save the cache."""
        if self._request is not None:
            self._request.cancel()
        self._save_cache()

    def _poll(self) -> None:
        address = parse_address("list_service", self._settings.list_service_address)
        if self._request is not None:
            self._request.cancel()
        cluster_name = self._membership.settings.cluster_name
        self._request = EndpointListRequest(self._loop, address, cluster_name, self._on_endpoints)

    def _on_endpoints(self, endpoints: list[Address], reason: str) -> None:
        self._request = None
        self._poller.on_poll_finished(self._loop.now_ms, is_successful=not reason)
        self._log("coldstart_endpoint_list_polled", entries=len(endpoints), why=reason)
        self._membership.node.add_contact_addresses(endpoints)

    def _load_cache(self) -> bool:
        """Add the cached endpoints to the node's contact addresses; return whether the cache had any."""
        path = self._settings.endpoint_cache_path
        if not path:
            return False
        cached = CachedEndpoints([], 0.0)
        reason = ""
        try:
            cached = endpoint_cache.load(
                path, self._membership.settings.cluster_name, system_clock.wall_clock_ms()
            )
        except EndpointCacheError as error:
            reason = error.reason
        age_seconds = round(cached.age_ms / 1000.0)
        entries = len(cached.endpoints)
        self._log("coldstart_endpoint_cache_loaded", entries=entries, age_s=age_seconds, why=reason)
        self._membership.node.add_contact_addresses(cached.endpoints)
        return bool(cached.endpoints)

    def _save_cache(self) -> None:
        """Save the addresses of all present members if the addresses have changed since the last save."""
        path = self._settings.endpoint_cache_path
        endpoints = sorted(record.address for record in self._membership.node.member_table.present_records())
        if not path or not endpoints or endpoints == self._saved_endpoints:
            return
        try:
            endpoint_cache.save(
                path, self._membership.settings.cluster_name, endpoints, system_clock.wall_clock_ms()
            )
            self._saved_endpoints = endpoints
        except OSError as error:
            # The old file is kept. Outdated endpoints only make the next start slower.
            self._log("coldstart_endpoint_cache_not_saved", error=str(error))
