"""Usage metering in the server: measures the usage of ok answers and sends it to the store's process.

Guarantee: with `durable = "before_answer"`, an ok answer is sent once its usage is durable, at the latest
shortly before its deadline. Failure mode: if the store can't keep up, answers are sent before their usage is
durable (`stuck = "answer"`) or aborted (`stuck = "abort"`). Usage that does not fit into the queue is dropped
and counted, but never billed.
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

DEADLINE_MARGIN_MS = 15.0  # an ok answer waits for the store until this time before its deadline
MAX_DEFERRED_RESULTS_RATIO = 4  # maximum size of deferred results, as a multiple of the queue's limit
NO_DEADLINE_MS = float("inf")


@dataclass(slots=True, eq=False)
class MeteredAnswer:
    """An ok answer and its usage."""

    rpc: RoutedRpc
    result: bytes
    """Result to send; empty unless the answer is deferred."""
    due_ms: float
    """Loop time at which the answer is sent or aborted even if its usage is not durable."""
    usage: ReportedUsage
    is_released: bool = False
    """Whether the answer was sent or aborted, or was never deferred."""


class UsageMeter:
    """Meters the ok answers of a server; registered with the router as answer gate and as observer.

    Attributes:
        name: Name of the observer in the log.
    """

    name = "ledger"

    def __init__(self, host: ServiceHost, settings: Settings) -> None:
        self._router = host.router
        self._loop = host.router.loop
        self._log = host.log
        self._settings = settings
        self._queue = UsageQueue(settings.queue_kb * 1024)
        self._tracker = DeliveryTracker(self._loop, self._queue)
        self._not_durable: dict[int, MeteredAnswer] = {}  # keyed by the sequence number of the usage
        self._unanswered: dict[RoutedRpc, MeteredAnswer] = {}  # not written to a connection yet
        self._deferred_result_bytes = 0
        self._next_due_ms = NO_DEADLINE_MS  # lower bound of `due_ms` of all deferred answers
        self._flush_deadline_ms = NO_DEADLINE_MS  # latest release of answers while the server drains
        self._tick_timer: Timer | None = None
        self._is_behind = False
        self._early_answer_count = 0
        self._dropped_count = 0
        self._store_process = StoreProcess(self._loop, self._log, settings, self._queue, self)

    def wait_for_start(self) -> None:
        """Blocks until the store's process has opened the store.

        Raises:
            InvalidSettingError: The store can't be opened.
        """
        if not self._store_process.wait_until_ready():
            problem = self._store_process.error or "the process that keeps the store did not start"
            raise InvalidSettingError("folder", problem)

    def finish(self) -> None:
        """Commits the remaining usage; call it after all connections are closed.

        Answers whose delivery is still unknown are disputed.
        """
        self._tracker.queue_known_outcomes()
        self._tracker.dispute_remaining()
        if self._store_process.finish():
            self._log(
                "ledger_finished",
                owed=len(self._queue.unacknowledged),
                uses=self._queue.last_sequence,
                dropped=self._dropped_count,
            )

    # Answer gate

    def defer_answer(self, rpc: RoutedRpc, result: bytes, run_time_ms: float) -> bool:
        """Queues an ok answer's usage; with `before_answer`, defers the answer until the usage is durable.

        Returns:
            False if the caller must send the answer now. True if the answer is deferred, or if it was aborted
            because the queue is full.
        """
        assert rpc.managed is not None
        usage = self._make_usage(rpc, result, run_time_ms)
        if not self._queue.add(usage):
            return self._on_queue_full(rpc)
        is_deferred = self._settings.durability == "before_answer"
        due_ms = min(rpc.managed.deadline_at_ms - DEADLINE_MARGIN_MS, self._flush_deadline_ms)
        answer = MeteredAnswer(rpc, result if is_deferred else b"", due_ms, usage, not is_deferred)
        self._add_answer(answer)
        if is_deferred:
            self._defer(answer)
        return is_deferred

    def flush_by(self, deadline_ms: float) -> None:
        """Limits the wait of deferred answers; called when the server drains.

        Args:
            deadline_ms: Loop time by which all deferred answers are sent or aborted.
        """
        self._flush_deadline_ms = deadline_ms
        for answer in self._not_durable.values():
            answer.due_ms = min(answer.due_ms, deadline_ms)
        if self._not_durable:
            self._next_due_ms = min(self._next_due_ms, deadline_ms)

    def _add_answer(self, answer: MeteredAnswer) -> None:
        """Registers an answer until its usage is durable and the answer was written to its connection."""
        self._not_durable[answer.usage.sequence] = answer
        self._unanswered[answer.rpc] = answer
        self._tick_within(self._settings.commit_ms)

    def _defer(self, answer: MeteredAnswer) -> None:
        """Adds the size of a deferred result to the sum.

        If the sum exceeds its limit, the answer is released at the next tick, durable or not.
        """
        self._deferred_result_bytes += len(answer.result)
        if self._deferred_result_bytes > MAX_DEFERRED_RESULTS_RATIO * self._queue.limit_bytes:
            answer.due_ms = self._loop.now_ms
        self._next_due_ms = min(self._next_due_ms, answer.due_ms)

    def _make_usage(self, rpc: RoutedRpc, result: bytes, run_time_ms: float) -> ReportedUsage:
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
        """Returns the ID of the client's attempt: the configured field, else its token or key, else None.

        The cache key of a read identifies the data that is read, not the attempt. It is used only if the
        setting `identity_key` declares that each attempt has a cache key of its own.
        """
        if rpc.attempt_id or rpc.dedup_key is None:
            return rpc.attempt_id
        if rpc.has_cache_key and not self._settings.key_names_attempt:
            return None
        return rpc.dedup_key[1]

    def _on_queue_full(self, rpc: RoutedRpc) -> bool:
        """Counts dropped usage and, with `stuck = "abort"`, aborts its answer.

        Returns:
            Whether the answer was aborted. If it was not, the caller must send it; its usage is not billed.
        """
        self._dropped_count += 1
        self._set_behind(True)
        if self._settings.overdue_action == "abort":
            self._router.answers.abort_deferred(rpc)
            return True
        return False

    # Callbacks of the store's process

    def on_durable(self, batch_number: int) -> None:
        """Sends the deferred answers of all batches up to `batch_number`, whose usage is now durable."""
        for usage in self._queue.acknowledge(batch_number):
            answer = self._not_durable.pop(usage.sequence, None)
            if answer is not None and not answer.is_released:
                self._send(answer)
        is_half_empty = self._queue.queued_bytes < self._queue.limit_bytes // 2
        if self._is_behind and is_half_empty and not self._store_process.error:
            self._set_behind(False)

    def waiting_count(self) -> int:
        """Returns the number of usage records that are not durable yet."""
        return len(self._not_durable)

    # Answers

    def on_answered(self, rpc: RoutedRpc, kind: AnswerKind) -> None:
        """Starts tracking the delivery of an ok answer, which was just written to its connection."""
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
        """Reports an answer as undelivered, and so not billed, if it was not written to a connection."""
        if self._unanswered.pop(answer.rpc, None) is not None:
            self._queue.add_outcome(DeliveryOutcome.UNDELIVERED, answer.usage.sequence)

    # Periodic work

    def _tick_within(self, delay_ms: float) -> None:
        due_ms = self._loop.now_ms + delay_ms
        if self._tick_timer is None or due_ms < self._tick_timer.due_ms:
            self._loop.cancel(self._tick_timer)
            self._tick_timer = self._loop.after(delay_ms, self._tick)

    def _tick(self) -> None:
        self._tick_timer = None
        now_ms = self._loop.now_ms
        if now_ms >= self._store_process.outcomes_due_ms:
            self._tracker.queue_known_outcomes()
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
        """Sends or aborts the deferred answers that have reached their `due_ms` without durable usage."""
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
    """Starts usage metering on a server and waits until its store is open.

    Raises:
        InvalidSettingError: The store can't be opened.
    """
    meter = UsageMeter(host, settings)
    meter.wait_for_start()
    host.router.request_validator.attempt_id_field = settings.attempt_id_field
    host.router.answers.gate = meter
    host.router.observers.add(meter)
    return meter
