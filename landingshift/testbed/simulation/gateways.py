"""Gateways before a simulated cluster: they learn late which servers are listed, and send RPCs to them."""

from __future__ import annotations

from functools import partial
from random import Random

from landingshift.testbed.simulation.cluster_state import ClusterState
from landingshift.testbed.simulation.server import RpcArrival
from landingshift.testbed.simulation.workload import (
    CRITICAL_METHOD,
    CRITICAL_METHOD_FRACTION,
    GATEWAY_DELAY_MS,
    ORDINARY_METHOD,
    new_rpc,
)
from landingshift.testbed.verification.history import RpcRefused

SEND_INTERVAL_MS = 50.0
LIST_DELAY_MS = 1000.0
"""By which gateways hear of a change of the list."""


class SimulatedGateways:
    """Sends RPCs at a rate, each to a listed server drawn at random.

    Attributes:
        rpcs_per_second: What callers ask for, before `load_factor`.
        load_factor: Of faults that change the load.
    """

    def __init__(self, state: ClusterState, rng: Random, rpcs_per_second: float) -> None:
        self._state = state
        self._rng = rng
        self.rpcs_per_second = rpcs_per_second
        self.load_factor = 1.0
        self._listings: dict[int, tuple[float, bool]] = {}
        """Since when each server is listed or not."""
        self._known_listings: dict[int, bool] = {}
        """What the gateways go by."""
        self._owed_rpcs = 0.0
        self._sent_count = 0

    @property
    def demand(self) -> float:
        """RPCs a second that callers ask for."""
        return self.rpcs_per_second * self.load_factor

    def start(self) -> None:
        """Begins to send."""
        self._state.network.schedule_after(SEND_INTERVAL_MS, self._step)

    def _step(self) -> None:
        self._state.network.schedule_after(SEND_INTERVAL_MS, self._step)
        self._update_listings()
        listed = [index for index, is_listed in self._known_listings.items() if is_listed]
        self._owed_rpcs += self.rpcs_per_second * self.load_factor * SEND_INTERVAL_MS / 1000.0
        while self._owed_rpcs >= 1.0:
            self._owed_rpcs -= 1.0
            if listed:
                self._send(self._rng.choice(listed))

    def _update_listings(self) -> None:
        now_ms = self._state.network.now_ms
        for index, server in self._state.servers.items():
            is_listed = server.host.is_up and server.is_listed
            changed_at_ms, was_listed = self._listings.get(index, (0.0, False))
            if was_listed != is_listed:
                changed_at_ms = now_ms
                self._listings[index] = (now_ms, is_listed)
            if now_ms - changed_at_ms >= LIST_DELAY_MS:
                self._known_listings[index] = is_listed

    def _send(self, index: int) -> None:
        server = self._state.servers[index]
        if not server.host.is_up:
            # Proves that nothing ran: the caller goes elsewhere.
            self._state.record(RpcRefused.KIND, server.name)
            return
        self._sent_count += 1
        is_critical = self._rng.random() < CRITICAL_METHOD_FRACTION
        method = CRITICAL_METHOD if is_critical else ORDINARY_METHOD
        rpc = new_rpc(method, server.tenant, self._sent_count)
        # A paused process can't answer for what it has not read: the time in its socket is told to it.
        queued_ms = max(0.0, server.host.paused_until_ms - self._state.network.now_ms)
        arrive = partial(server.host.receive, RpcArrival(rpc, queued_ms))
        self._state.network.schedule_after(GATEWAY_DELAY_MS, arrive)
