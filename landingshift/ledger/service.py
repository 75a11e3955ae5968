"""Usage metering at the server: ok answers pass here, their usage goes to the store's process.

Guarantee: with `before_answer`, an ok answer goes once its usage is durable, or shortly before its
deadline. Failure mode: where the store can't keep up, answers go early (`stuck = "answer"`) or are aborted
(`stuck = "abort"`); usage for which the queue has no room is dropped and counted, never billed.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from landingshift import failpoints
from landingshift.ledger.delivery_tracker import DeliveryTracker
from landingshift.ledger.entries import attempt_identity
from landingshift.ledger.errors import InvalidSettingError
from landingshift.ledger.settings import Settings
from landingshift.ledger.store_messages import ReportedUsage
from landingshift.ledger.store_process import StoreProcess
from landingshift.ledger.usage_queue import DeliveryOutcome, UsageQueue
from landingshift.net.routing.observers import AnswerKind
from landingshift.net.transport.loop import Timer

if TYPE_CHECKING:
    from landingshift.net.program.features import ServiceHost
    from landingshift.net.routing.rpc_record import RoutedRpc

DEADLINE_MARGIN_MS = 15.0  # before its deadline an ok answer goes out whatever the store does
MAX_RESULTS_RATIO = 4  # of the queue's bound, that results may take which wait for their commit
NO_DEADLINE_MS = float("inf")


@dataclass(slots=True, eq=False)
class MeteredAnswer:
    """An ok answer and its usage."""

    rpc: RoutedRpc
    result: bytes
    """Empty once the answer has gone."""
    due_ms: float
    """When the answer goes whatever the store does; loop time."""
    usage: ReportedUsage
    is_released: bool = False
    """Whether the answer is no longer deferred."""


class UsageMeter:
    """The answer gate and the observer of answers.

    Attributes:
        name: Name of the observer, in the log.
    """

    name = "ledger"

    def __init__(self, host: ServiceHost, settings: Settings) -> None:
        self._router = host.router
        self._loop = host.router.loop
        self._log = host.log
        self._settings = settings
        self._queue = UsageQueue(settings.queue_kb * 1024)
        self._tracker = DeliveryTracker(self._loop, self._queue)
        self._not_durable: dict[int, MeteredAnswer] = {}  # by sequence of the usage
        self._unanswered: dict[RoutedRpc, MeteredAnswer] = {}
        self._deferred_result_bytes = 0
        self._next_due_ms = NO_DEADLINE_MS  # no deferred answer is due before this
        self._flush_deadline_ms = NO_DEADLINE_MS  # when all answers must go, once the server drains
        self._tick_timer: Timer | None = None
        self._is_behind = False
        self._early_answer_count = 0
        self._dropped_count = 0
        self._store_process = StoreProcess(self._loop, self._log, settings, self._queue, self)

    def wait_for_start(self) -> None:
        """Blocks until the store is open.

        Raises:
            InvalidSettingError: The store can't be used.
        """
        if not self._store_process.wait_until_ready():
            problem = self._store_process.error or "the process that keeps the store did not start"
            raise InvalidSettingError("folder", problem)

    def finish(self) -> None:
        """The last commit: all connections are gone, so what became of each answer is known."""
        self._tracker.settle_known()
        self._tracker.dispute_rest()
        if self._store_process.finish():
            self._log(
                "ledger_finished",
                owed=len(self._queue.unacknowledged),
                uses=self._queue.last_sequence,
                dropped=self._dropped_count,
            )

    # The answer gate

    def defer_answer(self, rpc: RoutedRpc, result: bytes, run_time_ms: float) -> bool:
        """Queues the usage of an ok answer, and defers the answer where durability comes first.

        Returns:
            True where the answer is deferred here, or was aborted for want of room in the queue; False where
            the caller is to send it now.
        """
        assert rpc.managed is not None
        usage = self._measure(rpc, result, run_time_ms)
        if not self._queue.add(usage):
            return self._abort_unmetered(rpc)
        is_deferred = self._settings.durability == "before_answer"
        due_ms = min(rpc.managed.deadline_at_ms - DEADLINE_MARGIN_MS, self._flush_deadline_ms)
        answer = MeteredAnswer(rpc, result if is_deferred else b"", due_ms, usage, not is_deferred)
        self._remember(answer)
        if is_deferred:
            self._defer(answer)
        return is_deferred

    def flush_by(self, deadline_ms: float) -> None:
        """The server drains: deferred answers are sent by that time; loop time."""
        self._flush_deadline_ms = deadline_ms
        for answer in self._not_durable.values():
            answer.due_ms = min(answer.due_ms, deadline_ms)
        if self._not_durable:
            self._next_due_ms = min(self._next_due_ms, deadline_ms)

    def _remember(self, answer: MeteredAnswer) -> None:
        """Keeps an answer until its usage is durable and the answer was written."""
        self._not_durable[answer.usage.sequence] = answer
        self._unanswered[answer.rpc] = answer
        self._tick_within(self._settings.commit_ms)

    def _defer(self, answer: MeteredAnswer) -> None:
        """Counts a deferred result; past the bound of memory it goes at the next tick, durable or not."""
        self._deferred_result_bytes += len(answer.result)
        if self._deferred_result_bytes > MAX_RESULTS_RATIO * self._queue.limit_bytes:
            answer.due_ms = self._loop.now_ms
        self._next_due_ms = min(self._next_due_ms, answer.due_ms)

    def _measure(self, rpc: RoutedRpc, result: bytes, run_time_ms: float) -> ReportedUsage:
        tenant = rpc.tenant_name.encode(errors="surrogatepass")
        attempt_id = self._attempt_id(rpc)
        content = attempt_id.encode(errors="surrogatepass") if attempt_id else rpc.body
        return ReportedUsage(
            sequence=0,
            at_ms=round(time.time() * 1000.0),
            tenant=tenant,
            method=rpc.method_name,
            work_us=round(run_time_ms * 1000.0),
            bytes_in=len(rpc.body),
            bytes_out=len(result),
            identity=attempt_identity(tenant, rpc.method_name, bool(attempt_id), content),
        )

    def _attempt_id(self, rpc: RoutedRpc) -> str | None:
        """What names the client's attempt: the installation's field, else the token, else nothing.

        A read's key says what the read is about, not which attempt it is, unless the installation says so.
        """
        if rpc.attempt_id or rpc.dedup_key is None:
            return rpc.attempt_id
        if rpc.has_cache_key and not self._settings.key_names_attempt:
            return None
        return rpc.dedup_key[1]

    def _abort_unmetered(self, rpc: RoutedRpc) -> bool:
        """No room for its usage: as the settings say, the answer is aborted, or goes unbilled and counted.

        Returns:
            Whether the answer was aborted.
        """
        self._dropped_count += 1
        self._set_behind(True)
        if self._settings.overdue_action == "abort":
            self._router.answers.abort_deferred(rpc)
            return True
        return False

    # The store's process

    def on_durable(self, batch_number: int) -> None:
        """All batches up to this one are committed: their answers go."""
        for usage in self._queue.acknowledge(batch_number):
            answer = self._not_durable.pop(usage.sequence, None)
            if answer is not None and not answer.is_released:
                self._send(answer)
        is_half_empty = self._queue.queued_bytes < self._queue.limit_bytes // 2
        if self._is_behind and is_half_empty and not self._store_process.error:
            self._set_behind(False)

    def waiting_count(self) -> int:
        """Returns the number of usage records that no commit has made durable yet."""
        return len(self._not_durable)

    # Answers

    def on_answered(self, rpc: RoutedRpc, kind: AnswerKind) -> None:
        """An answer was written to its connection."""
        answer = self._unanswered.pop(rpc, None) if kind is AnswerKind.OK else None
        if answer is None:
            return
        connection = self._router.gateways.connections.get(rpc.connection)
        assert connection is not None
        self._tracker.track(answer.usage.sequence, connection.stream)
        self._tick_within(self._settings.settle_ms)

    def _send(self, answer: MeteredAnswer) -> None:
        result = self._release(answer)
        failpoints.reach("ledger.answering")
        self._router.answers.send_deferred(answer.rpc, result)
        self._settle_unless_answered(answer)

    def _abort(self, answer: MeteredAnswer) -> None:
        self._release(answer)
        self._router.answers.abort_deferred(answer.rpc)
        self._settle_unless_answered(answer)

    def _release(self, answer: MeteredAnswer) -> bytes:
        result = answer.result
        answer.result = b""
        answer.is_released = True
        self._deferred_result_bytes -= len(result)
        return result

    def _settle_unless_answered(self, answer: MeteredAnswer) -> None:
        """Where nobody waited for the answer any more, there is no usage."""
        if self._unanswered.pop(answer.rpc, None) is not None:
            self._queue.add_outcome(DeliveryOutcome.UNDELIVERED, answer.usage.sequence)

    # Every few ms while there is anything to do

    def _tick_within(self, delay_ms: float) -> None:
        due_ms = self._loop.now_ms + delay_ms
        if self._tick_timer is None or due_ms < self._tick_timer.due_ms:
            self._loop.cancel(self._tick_timer)
            self._tick_timer = self._loop.after(delay_ms, self._tick)

    def _tick(self) -> None:
        self._tick_timer = None
        now_ms = self._loop.now_ms
        if now_ms >= self._store_process.outcomes_due_ms:
            self._tracker.settle_known()
        if self._settings.durability == "after_answer":
            for answer in list(self._unanswered.values()):
                if answer.is_released:
                    self._settle_unless_answered(answer)
        if now_ms >= self._next_due_ms:
            self._release_due()
        self._store_process.push()
        if self._not_durable or self._unanswered:
            self._tick_within(self._settings.commit_ms)
        elif not self._tracker.is_empty or not self._queue.is_empty:
            self._tick_within(max(1.0, self._store_process.outcomes_due_ms - now_ms))

    def _release_due(self) -> None:
        """Sends or aborts answers that are due: the deadline does not wait for a disk."""
        now_ms = self._loop.now_ms
        next_due_ms = NO_DEADLINE_MS
        for answer in [answer for answer in self._not_durable.values() if not answer.is_released]:
            if now_ms < answer.due_ms:
                next_due_ms = min(next_due_ms, answer.due_ms)
                continue
            self._early_answer_count += 1
            self._set_behind(True)
            if self._settings.overdue_action == "abort":
                self._abort(answer)
            else:
                self._send(answer)
        self._next_due_ms = next_due_ms

    def _set_behind(self, is_behind: bool) -> None:
        if self._is_behind == is_behind:
            return
        self._is_behind = is_behind
        self._log(
            "mode",
            text=f"ledger {'behind' if is_behind else 'level'}: {self._queue.queued_bytes // 1024} KB wait, "
            f"{self._early_answer_count} answered before durable, {self._dropped_count} dropped",
        )


def attach(host: ServiceHost, settings: Settings) -> UsageMeter:
    """Switches usage metering on.

    Raises:
        InvalidSettingError: The store can't be used.
    """
    meter = UsageMeter(host, settings)
    meter.wait_for_start()
    host.router.request_validator.attempt_id_field = settings.attempt_id_field
    host.router.answers.gate = meter
    host.router.observers.add(meter)
    return meter
