"""The load that this server advertises (weight, level or credit) and the Retry-After of its rejections.

Two signals, each from `MIN_SIGNAL` to 1, make the advertised load. `queue_weight` falls while the queue is
long. `read_responsiveness` falls while RPCs wait long before they are read: it shows a server whose cores are
full of reads, before any run ends to show it.

An advertisement has an effect only on callers that come back before they forget it. So the signals never
reach 0: a caller that stays away hears nothing, forgets, and sends as if nothing had been advertised.
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
"""Of the shortest latency objective: where RPCs wait unread for so long, the responsiveness would be 0."""
MIN_SIGNAL = 0.2
"""Least value of each signal, so that callers come back and hear of the load."""
# The modes are logged while their signal is below the threshold; nothing else goes by these.
READ_OVERLOAD_MODE, READ_OVERLOAD_THRESHOLD = "drowning", 0.3
SHEDDING_MODE, SHEDDING_THRESHOLD = "shedding", 0.7
ADVERTISED_DIGIT_COUNT = 3
NEVER_ADVERTISED = -1.0


class Backpressure:
    """What this server tells its callers about its load.

    Attributes:
        queue_weight: From `MIN_SIGNAL` to 1, falling while more than one RPC a core is queued.
        read_responsiveness: From `MIN_SIGNAL` to 1, lower the longer RPCs wait unread.
        unread_ms: How long RPCs waited unread, of the last half second.
        advertised_load: What was last advertised, in the form of `Settings.load_advertisement`.
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
        """Notes how long an RPC waited unread."""
        self.unread_ms.add(self._server.now_ms, waited_ms)

    def reject(self, managed: ManagedRpc) -> None:
        """Rejects the RPC, with a Retry-After that grows with the time that RPCs wait unread.

        Out of service the Retry-After is the longest, and callers may always try another server.
        """
        self._check.record_rejection(managed)
        is_final = self._retries.is_final_rejection(managed)
        is_in_service = self._draining.is_in_service
        retry_after_fraction = 1.0 - self.read_responsiveness if is_in_service else 1.0
        retry_after_ms = self._server.settings.max_retry_after_ms * retry_after_fraction
        self._actions.reject(managed.rpc, retry_after_ms, is_final and is_in_service)

    def update(self) -> None:
        """Moves the signals, and advertises the load if it has changed."""
        self._update_queue_weight()
        self._update_read_responsiveness()
        self._log_shedding()
        advertisement = self._server.settings.load_advertisement
        amount = round(self._amount(advertisement), ADVERTISED_DIGIT_COUNT)
        if amount != self.advertised_load and advertisement is not LoadAdvertisement.NONE:
            self.advertised_load = amount
            self._actions.advertise_load(amount)

    def _update_queue_weight(self) -> None:
        """Moves the weight by one a second at the most, down while more than one RPC a core is queued."""
        capacity = self._server.settings.core_count
        queued = len(self._server.queued)
        step = self._server.seconds_since_check * max(-1.0, (capacity - queued) / capacity)
        self.queue_weight = max(MIN_SIGNAL, min(1.0, self.queue_weight * (1.0 + step)))

    def _update_read_responsiveness(self) -> None:
        """Sets the responsiveness by how long RPCs waited unread."""
        unread_ms = self.unread_ms.mean(self._server.now_ms, 0.0)
        max_unread_ms = MAX_UNREAD_FRACTION * self._server.shortest_objective_ms
        self.read_responsiveness = max(MIN_SIGNAL, 1.0 - unread_ms / max_unread_ms)
        is_overloaded = self.read_responsiveness < READ_OVERLOAD_THRESHOLD
        self._modes.set(READ_OVERLOAD_MODE, is_overloaded, f"unread for {unread_ms:.0f} ms")

    def _log_shedding(self) -> None:
        queued, limit = len(self._server.queued), self._limit
        reason = f"held {queued} cap {limit.limit:.0f} use {limit.core_utilization:.2f}"
        self._modes.set(SHEDDING_MODE, self.queue_weight < SHEDDING_THRESHOLD, reason)

    def _amount(self, advertisement: LoadAdvertisement) -> float:
        is_in_service = self._draining.is_in_service
        if advertisement is LoadAdvertisement.LEVEL:
            return 1.0 - self.queue_weight * is_in_service
        if advertisement is LoadAdvertisement.CREDIT:
            return self._credit() * self.read_responsiveness * is_in_service
        return self.queue_weight * self.read_responsiveness * is_in_service

    def _credit(self) -> float:
        """RPCs that one caller may have in flight: the busiest caller's part of what this server can hold.

        It can hold what may run, is at a downstream call and may be queued. Every caller is told the same
        credit: an even split would be too little for the busiest while others do not use theirs.
        """
        server = self._server
        running = max(self._limit.limit, len(server.running))
        in_flight = running + len(server.calling)
        in_flight += len(server.awaiting_call_slot)
        return (in_flight + server.settings.core_count) * self._callers.busiest_caller_fraction()
