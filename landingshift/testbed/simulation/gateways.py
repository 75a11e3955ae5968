"""Gateways in front of a simulated cluster, which send RPCs to the servers in the endpoint list."""

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
"""Delay until gateways know that a server has been added to or removed from the endpoint list."""


class SimulatedGateways:
    """Sends RPCs at a constant rate, each to a random server that is in the endpoint list.

    The gateways know changes of the endpoint list only after LIST_DELAY_MS.

    Attributes:
        rpcs_per_second: Rate of RPCs from callers, not multiplied by `load_factor`.
        load_factor: Factor by which active faults multiply the rate of RPCs.
    """

    def __init__(self, state: ClusterState, rng: Random, rpcs_per_second: float) -> None:
        self._state = state
        self._rng = rng
        self.rpcs_per_second = rpcs_per_second
        self.load_factor = 1.0
        self._listings: dict[int, tuple[float, bool]] = {}
        """Time of the last change of `is_listed` and its present value for each server, by server number."""
        self._known_listings: dict[int, bool] = {}
        """Value of `is_listed` that the gateways know for each server, by server number."""
        self._rpc_credit = 0.0
        self._sent_count = 0

    @property
    def demand(self) -> float:
        """Rate of RPCs from callers, per second, including the effect of `load_factor`."""
        return self.rpcs_per_second * self.load_factor

    def start(self) -> None:
        """Schedules the first RPCs."""
        self._state.network.schedule_after(SEND_INTERVAL_MS, self._step)

    def _step(self) -> None:
        self._state.network.schedule_after(SEND_INTERVAL_MS, self._step)
        self._update_listings()
        listed = [index for index, is_listed in self._known_listings.items() if is_listed]
        self._rpc_credit += self.rpcs_per_second * self.load_factor * SEND_INTERVAL_MS / 1000.0
        while self._rpc_credit >= 1.0:
            self._rpc_credit -= 1.0
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
            # A refused connection proves that the RPC did not run. The caller can safely try another server.
            self._state.record(RpcRefused.KIND, server.name)
            return
        self._sent_count += 1
        is_critical = self._rng.random() < CRITICAL_METHOD_FRACTION
        method = CRITICAL_METHOD if is_critical else ORDINARY_METHOD
        rpc = new_rpc(method, server.tenant, self._sent_count)
        # The RPC waits in the socket of a paused process. This time counts towards the RPC's deadline.
        queued_ms = max(0.0, server.host.paused_until_ms - self._state.network.now_ms)
        arrive = partial(server.host.receive, RpcArrival(rpc, queued_ms))
        self._state.network.schedule_after(GATEWAY_DELAY_MS, arrive)
