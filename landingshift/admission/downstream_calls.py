"""Decides which downstream calls start, and sets their timeouts.

A run that needs a call waits for a call slot, which is the permission to make the call. Slots are assigned
first to the runs that gain the most value from their calls. Three limits determine whether a slot is free:
the rate of calls (`call_rate`), the total time for which this server's calls occupy the shared store
(`downstream_time_budget`), and the number of calls in flight, limited by Little's law. Without the last
limit, calls would accumulate in a slow service until all of them time out.

If no slot is free, a run that has too little time left skips the call, or fails if the call is required. A
run that can skip the call also skips it if the run has waited, or would wait, too long. A free slot is
assigned regardless of the time left.
"""

from __future__ import annotations

from collections.abc import Callable

from landingshift.admission.call_rate import CallRate
from landingshift.admission.downstream_time_budget import DownstreamTimeBudget
from landingshift.admission.interface import Outcome
from landingshift.admission.managed_rpc import ManagedRpc, RpcEvent
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import ServerState

LATENCY_BUCKET_COUNT, LATENCY_BUCKET_MS = 10, 3000.0
MAX_TIMEOUT_FRACTION = 0.8
"""Maximum timeout as a fraction of the time until the RPC's `check_deadline_ms`, so that time is left to
retry a lost call or to finish without it."""
MIN_TIMEOUT_CAP_MS, TIMEOUT_LATENCY_RATIO = 300.0, 6.0
"""The timeout is at most the larger of the first value and the second value times the mean latency."""
DEFAULT_LATENCY_MS = 100.0
MIN_CALLS_IN_FLIGHT_COUNT, DEFAULT_CALLS_IN_FLIGHT_COUNT = 2.0, 6.0
IN_FLIGHT_LATENCY_RATIO = 6.0
"""Latency that the limit on calls in flight accepts, as a multiple of the recent mean latency. It equals
`TIMEOUT_LATENCY_RATIO`, so that the limit leaves room for calls that last until their timeout."""
MAX_SLOT_WAIT_FRACTION = 0.1
"""Maximum wait for the slot of a call that can be skipped, as a fraction of the RPC's time budget."""
MIN_TIMEOUT_LATENCY_RATIO = 2.0
"""A run stops waiting for a slot once its call timeout would be below this multiple of the mean latency."""


class DownstreamCalls:
    """Assigns call slots and timeouts to the downstream calls of this server.

    Attributes:
        rate: Limit on calls per second.
        time_budget: Limit on the time that calls occupy the shared store.
        latency_ms: Latencies of the calls that succeeded in the last 30 s.
    """

    def __init__(self, server: ServerState, rate: CallRate, time_budget: DownstreamTimeBudget) -> None:
        self._server = server
        self.rate = rate
        self.time_budget = time_budget
        self.latency_ms = RollingWindow(LATENCY_BUCKET_COUNT, LATENCY_BUCKET_MS)

    def mean_latency_ms(self) -> float:
        """Returns the mean latency of the calls that succeeded in the last 30 s; 0 if there are none."""
        return self.latency_ms.mean(self._server.now_ms, 0.0)

    def timeout_ms(self, managed: ManagedRpc) -> float:
        """Returns the timeout of a call of this RPC that starts now."""
        latency_ms = self.latency_ms.mean(self._server.now_ms, DEFAULT_LATENCY_MS)
        time_left_ms = managed.check_deadline_ms - self._server.now_ms
        max_timeout_ms = max(MIN_TIMEOUT_CAP_MS, TIMEOUT_LATENCY_RATIO * latency_ms)
        return min(MAX_TIMEOUT_FRACTION * time_left_ms, max_timeout_ms)

    def on_started(self, managed: ManagedRpc) -> float:
        """Records the start of the RPC's call and returns the timeout of the call in ms."""
        now_ms = self._server.now_ms
        timeout_ms = self.timeout_ms(managed)
        managed.call_started_at_ms = now_ms
        managed.call_expires_at_ms = now_ms + timeout_ms + self._server.settings.lost_call_linger_ms
        return timeout_ms

    def on_cancelled(self, managed: ManagedRpc) -> None:
        """Records that the RPC's call was given up; the downstream service may still be processing it."""
        self.time_budget.record(managed, is_lost=True)

    def on_finished(self, managed: ManagedRpc, outcome: Outcome, latency_ms: float) -> None:
        """Records the outcome of a call.

        Args:
            managed: The RPC that made the call.
            outcome: How the call ended.
            latency_ms: Duration of the call.
        """
        managed.total_call_ms += latency_ms
        if outcome is Outcome.OK:
            self.latency_ms.add(self._server.now_ms, latency_ms)
        self.rate.record(outcome, latency_ms)
        self.time_budget.record(managed, is_lost=outcome in (Outcome.NO_RESPONSE, Outcome.CONNECTION_LOST))

    def update(self) -> None:
        """Adapts the call rate to the recent calls."""
        self.rate.update(self.latency_ms.lowest_bucket_mean(self._server.now_ms, 0.0))

    def assign_slots(self, resume: Callable[[ManagedRpc, RpcEvent], None]) -> None:
        """Permits waiting calls while slots are free, and denies calls that cannot wait any longer.

        A call for which a slot is free is permitted even if little time is left for it.

        Args:
            resume: Function that resumes the lifecycle of an RPC with the decision.
        """
        mean_ms = self.mean_latency_ms()
        waiting = sorted(self._server.awaiting_call_slot, key=lambda managed: -managed.call_gain)
        for position, managed in enumerate(waiting, 1):
            waits_too_long = self._waits_too_long(managed, position)
            if self._has_slot(managed):
                self.rate.take_token()
                resume(managed, RpcEvent.CALL_PERMITTED)
            elif waits_too_long or self.timeout_ms(managed) < MIN_TIMEOUT_LATENCY_RATIO * mean_ms:
                resume(managed, RpcEvent.CALL_DENIED)

    def _waits_too_long(self, managed: ManagedRpc, position: int) -> bool:
        """Returns whether an RPC that can skip its call has waited, or is about to wait, too long for a slot.

        Args:
            managed: The RPC that waits for a call slot.
            position: Its position in the order in which slots are assigned, from 1.
        """
        if not managed.rpc.method.can_skip_call:
            return False
        waited_ms = self._server.now_ms - managed.call_started_at_ms
        wait_ms = max(waited_ms, position * 1000.0 / self.rate.calls_per_second)
        return wait_ms > MAX_SLOT_WAIT_FRACTION * managed.time_budget_ms

    def _has_slot(self, managed: ManagedRpc) -> bool:
        """Returns whether rate, calls in flight and time budget allow a call of the RPC now."""
        if not self.rate.has_token() or len(self._server.calling) >= self._max_in_flight():
            return False
        return self.time_budget.fits(self.timeout_ms(managed))

    def _max_in_flight(self) -> float:
        """Returns the limit on calls in flight by Little's law: completion rate times acceptable latency.

        Further calls would only wait downstream until they time out. The limit has a minimum. A small
        concurrency quota lowers this minimum, because the store would be overloaded if every server had
        several times its quota in flight.
        """
        quota = self._server.settings.downstream_concurrency_quota or DEFAULT_CALLS_IN_FLIGHT_COUNT
        minimum = max(MIN_CALLS_IN_FLIGHT_COUNT, min(DEFAULT_CALLS_IN_FLIGHT_COUNT, quota))
        acceptable_ms = min(
            self.rate.tolerated_latency_ms, IN_FLIGHT_LATENCY_RATIO * self.rate.recent_mean_ms
        )
        return max(minimum, self.rate.recent_count() * acceptable_ms / 1000.0)
