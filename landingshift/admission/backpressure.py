"""Computes the load that this server advertises to callers and the Retry-After of its rejections.

The advertised load depends on two signals between `MIN_SIGNAL` and 1. `queue_weight` falls while the queue is
long. `read_responsiveness` is low while RPCs wait long before they are read. It detects cores that are busy
reading RPCs, even before any run has ended.

The signals never reach 0. At 0, a caller would send nothing and therefore receive no update. Since callers
discard an advertisement after some time, the caller would then return at full rate.
"""

from __future__ import annotations

from landingshift.admission.concurrency_limit import ConcurrencyLimit
from landingshift.admission.deadline_check import DeadlineCheck
from landingshift.admission.draining import Draining
from landingshift.admission.interface import Actions, LoadAdvertisement
from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.admission.mode_log import ModeLog
from landingshift.admission.recent_callers import RecentCallers
from landingshift.admission.retry_policy import RetryPolicy
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import ServerState

UNREAD_BUCKET_COUNT, UNREAD_BUCKET_MS = 2, 250.0
MAX_UNREAD_FRACTION = 0.5
"""Mean time that RPCs wait to be read, as a fraction of the shortest latency objective, at which
`read_responsiveness` would be 0 if it had no minimum."""
MIN_SIGNAL = 0.2
"""Minimum of each signal, so that callers keep returning and receive load updates."""
# A mode (see `ModeLog`) is on while its signal is below the threshold. Thresholds affect only the log.
READ_OVERLOAD_MODE, READ_OVERLOAD_THRESHOLD = "drowning", 0.3
SHEDDING_MODE, SHEDDING_THRESHOLD = "shedding", 0.7
ADVERTISED_DIGIT_COUNT = 3
NEVER_ADVERTISED = -1.0


class Backpressure:
    """Advertises the load of this server to its callers and rejects RPCs.

    Attributes:
        queue_weight: Signal from `MIN_SIGNAL` to 1 that falls while more than one RPC per core is queued.
        read_responsiveness: Signal from `MIN_SIGNAL` to 1 that falls with the mean time that RPCs wait to be
            read.
        unread_ms: Time for which each RPC waited before it was read, for the RPCs that were read in the last
            0.5 s.
        advertised_load: Load that was last advertised, in the form of `Settings.load_advertisement`;
            `NEVER_ADVERTISED` before the first advertisement.
    """

    def __init__(
        self,
        server: ServerState,
        actions: Actions,
        modes: ModeLog,
        callers: RecentCallers,
        draining: Draining,
        check: DeadlineCheck,
        limit: ConcurrencyLimit,
        retries: RetryPolicy,
    ) -> None:
        self._server = server
        self._actions = actions
        self._modes = modes
        self._callers = callers
        self._draining = draining
        self._check = check
        self._limit = limit
        self._retries = retries
        self.queue_weight = 1.0
        self.read_responsiveness = 1.0
        self.unread_ms = RollingWindow(UNREAD_BUCKET_COUNT, UNREAD_BUCKET_MS)
        self.advertised_load = NEVER_ADVERTISED

    def record_read(self, waited_ms: float) -> None:
        """Records how long an RPC waited before it was read."""
        self.unread_ms.add(self._server.now_ms, waited_ms)

    def reject(self, managed: ManagedRpc) -> None:
        """Rejects the RPC with a Retry-After that grows with the mean time that RPCs wait to be read.

        While the server is draining or on standby, the Retry-After is the maximum, and callers are always
        allowed to try another server.
        """
        self._check.record_rejection(managed)
        is_final = self._retries.is_final_rejection(managed)
        is_in_service = self._draining.is_in_service
        retry_after_fraction = 1.0 - self.read_responsiveness if is_in_service else 1.0
        retry_after_ms = self._server.settings.max_retry_after_ms * retry_after_fraction
        self._actions.reject(managed.rpc, retry_after_ms, is_final and is_in_service)

    def update(self) -> None:
        """Updates the signals and advertises the load if it has changed."""
        self._update_queue_weight()
        self._update_read_responsiveness()
        self._log_shedding()
        advertisement = self._server.settings.load_advertisement
        load = round(self._load(advertisement), ADVERTISED_DIGIT_COUNT)
        if load != self.advertised_load and advertisement is not LoadAdvertisement.NONE:
            self.advertised_load = load
            self._actions.advertise_load(load)

    def _update_queue_weight(self) -> None:
        """Lowers the weight while more than one RPC per core is queued, and raises it while fewer are.

        The weight changes by at most 100 % per second.
        """
        capacity = self._server.settings.core_count
        queued = len(self._server.queued)
        step = self._server.seconds_since_check * max(-1.0, (capacity - queued) / capacity)
        self.queue_weight = max(MIN_SIGNAL, min(1.0, self.queue_weight * (1.0 + step)))

    def _update_read_responsiveness(self) -> None:
        """Computes the responsiveness from the time that RPCs waited to be read."""
        unread_ms = self.unread_ms.mean(self._server.now_ms, 0.0)
        max_unread_ms = MAX_UNREAD_FRACTION * self._server.shortest_objective_ms
        self.read_responsiveness = max(MIN_SIGNAL, 1.0 - unread_ms / max_unread_ms)
        is_overloaded = self.read_responsiveness < READ_OVERLOAD_THRESHOLD
        self._modes.set(READ_OVERLOAD_MODE, is_overloaded, f"unread for {unread_ms:.0f} ms")

    def _log_shedding(self) -> None:
        queued, limit = len(self._server.queued), self._limit
        reason = f"held {queued} cap {limit.limit:.0f} use {limit.core_utilization:.2f}"
        self._modes.set(SHEDDING_MODE, self.queue_weight < SHEDDING_THRESHOLD, reason)

    def _load(self, advertisement: LoadAdvertisement) -> float:
        is_in_service = self._draining.is_in_service
        if advertisement is LoadAdvertisement.LEVEL:
            return 1.0 - self.queue_weight * is_in_service
        if advertisement is LoadAdvertisement.CREDIT:
            return self._credit() * self.read_responsiveness * is_in_service
        return self.queue_weight * self.read_responsiveness * is_in_service

    def _credit(self) -> float:
        """Returns how many RPCs one caller is allowed to have in flight.

        This is the server's capacity times the busiest caller's fraction of the recent RPCs. The capacity is
        the number of RPCs that can run, plus the RPCs that make or wait for a downstream call, plus one
        queued RPC per core. All callers get this credit instead of an even split of the capacity. An even
        split would give the busiest caller too little, while the other callers leave part of their shares
        unused.
        """
        server = self._server
        running = max(self._limit.limit, len(server.running))
        in_flight = running + len(server.calling)
        in_flight += len(server.awaiting_call_slot)
        return (in_flight + server.settings.core_count) * self._callers.busiest_caller_fraction()
