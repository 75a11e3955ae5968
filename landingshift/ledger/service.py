"""The ledger at the server: ok answers pass here, uses go to the store's process, what became of them
follows.

A use is *sent* once the gateway's machine has acknowledged the whole answer, *void* where the answer never
left whole, and *disputed* where the connection broke in between.
"""

from __future__ import annotations

import os
import select
import time
from collections import deque
from dataclasses import dataclass
from fcntl import ioctl
from termios import TIOCOUTQ
from typing import TYPE_CHECKING

import msgspec

from landingshift import failpoints
from landingshift.ledger.entries import Raw, Word, identity
from landingshift.ledger.outbox import Outbox
from landingshift.ledger.settings import Settings
from landingshift.net.routing.observers import AnswerKind
from landingshift.net.transport.loop import Timer
from landingshift.net.transport.stream import Stream
from landingshift.net.transport.worker import Worker

if TYPE_CHECKING:
    from landingshift.net.program.features import ServiceHost
    from landingshift.net.routing.rpc_record import RoutedRpc

AHEAD = 4  # batches on their way: more would only wait in the socket
START = 10_000.0  # ms that the store's process has to open the store, besides the wait for its lock
EARLY = 15.0  # ms before its deadline that an ok answer goes out whatever the store does
FINISH = 400.0  # ms that the end of the server waits for the last commit
PAUSES = (50.0, 200.0, 1000.0, 5000.0)  # ms between two starts of the store's process
RESULTS = 4  # times the queue that results may take which wait for their commit
STEADY = 60_000.0  # ms after which a store's process that ends counts as the first to do so
SENDS = 60_000.0  # ms that an answer may be on its way before nobody knows
GOOD_ENDS = ("closed_by_gateway", "goaway")  # the gateway read all before the connection ended


@dataclass(slots=True, eq=False)
class Held:
    """An ok answer and its use."""

    rpc: RoutedRpc
    result: bytes
    due: float
    raw: Raw
    passed: bool = False
    stream: Stream | None = None  # once it is answered
    end: int = 0  # where the answer ends in the stream
    gone: float = 0.0  # when it was given to the stream


class Ledger:
    name = "ledger"

    def __init__(self, host: ServiceHost, settings: Settings) -> None:
        self.router, self.loop, self.log = host.router, host.router.loop, host.log
        self.settings = settings
        self.before = settings.durable == "before_answer"
        self.run = os.urandom(8)
        self.outbox = Outbox(settings.queue_kb * 1024)
        self.held: dict[int, Held] = {}  # by use, not durable yet or not passed yet
        self.by_rpc: dict[RoutedRpc, Held] = {}  # until answered
        self.leaving: deque[Held] = deque()  # answered, not known to have arrived
        self.soonest = float("inf")  # no held answer is due before this
        self.tick_timer: Timer | None = None
        self.decode = msgspec.msgpack.Decoder(Word).decode
        self.encode = msgspec.msgpack.Encoder().encode
        self.starts = self.early = self.dropped = self.shortened = 0
        self.started_at = self.loop.now_ms
        self.settle_at = self.loop.now_ms  # when what became of uses is told without a new one
        self.results = 0  # bytes of those that are held
        self.by = float("inf")  # when all that is held must go, once the server drains
        self.ready = self.finishing = False
        self.stuck = False
        self.fault = ""
        self.worker: Worker | None = None
        self.start()

    # The store's process

    def start(self) -> None:
        settings = self.settings
        words = [msgspec.json.encode(settings).decode(), self.run.hex()]
        self.starts = self.starts + 1 if self.loop.now_ms - self.started_at < STEADY else 1
        self.started_at = self.loop.now_ms
        try:
            self.worker = Worker(
                self.loop, "landingshift.ledger.worker", words, self, settings.queue_kb * 2048
            )
        except OSError as err:
            self.on_worker_lost(str(err))

    def wait_for_start(self) -> None:
        """Before the first RPC is read: a store that can't be used must keep the server from starting."""
        end = time.monotonic() + (START + self.settings.lock_wait_ms) / 1000.0
        while not self.ready and not self.fault and time.monotonic() < end:
            if self.worker is None or not self.worker.stream.is_open:
                break
            if select.select([self.worker.stream.sock], [], [], 0.1)[0]:
                self.worker.stream.read()
        if not self.ready:
            raise ValueError(f"folder: {self.fault or 'the process that keeps the store did not start'}")

    def on_message(self, message: bytes) -> None:
        word = self.decode(message)
        if word.fault:
            if word.fault != self.fault:
                self.log("ledger_fault", error=word.fault, waiting=len(self.held), starts=self.starts)
            self.fault = word.fault
            return
        if word.shortened > self.shortened:
            self.log("mode", text=f"ledger forgets: more identities than `recent` within the window, "
                     f"{word.shortened} times")  # fmt: skip
            self.shortened = max(word.shortened, 2 * self.shortened)
        if self.fault:
            self.log("ledger_well", after=self.fault, waiting=len(self.held))
            self.fault = ""
        first = not self.ready
        self.ready = True
        self.durable(word.acked)
        if first and self.worker is not None:
            for batch in self.outbox.again():
                self.worker.send(self.encode(batch))
        self.push()

    def on_worker_lost(self, reason: str) -> None:
        self.ready = False
        if self.finishing:
            return
        pause = PAUSES[min(self.starts, len(PAUSES)) - 1]
        self.log("ledger_store_gone", reason=reason, waiting=len(self.held), starts=self.starts, pause=pause)
        self.loop.after(pause, self.restart)

    def restart(self) -> None:
        if self.worker is not None and not self.worker.has_exited():
            self.loop.after(PAUSES[0], self.restart)  # it finishes what it has read and holds the lock
        else:
            self.start()

    # Ok answers

    def defer_answer(self, rpc: RoutedRpc, result: bytes, work: float) -> bool:
        assert rpc.job is not None
        raw = self.use(rpc, result, work)
        if not self.outbox.add(raw):
            return self.without(rpc, result)
        held = Held(rpc, result if self.before else b"", min(rpc.job.deadline_at_ms - EARLY, self.by), raw)
        self.held[raw.n] = self.by_rpc[rpc] = held
        self.arm(self.settings.commit_ms)
        if not self.before:
            held.passed = True
            return False
        self.results += len(result)
        if self.results > RESULTS * self.outbox.bound:
            held.due = self.loop.now_ms  # memory is bounded: it goes at the next tick, durable or not
        self.soonest = min(self.soonest, held.due)
        return True

    def flush_by(self, by: float) -> None:
        self.by = by
        for held in self.held.values():
            held.due = min(held.due, by)
        self.soonest = min(self.soonest, by) if self.held else self.soonest

    def use(self, rpc: RoutedRpc, result: bytes, work: float) -> Raw:
        s = self.settings
        tenant = rpc.tenant_name.encode(errors="surrogatepass")
        mark = rpc.attempt_id
        if not mark and rpc.dedup_key is not None and (s.identity_key or not rpc.has_cache_key):
            mark = rpc.dedup_key[1]  # a token; a read's key says what it is about, not which try it is
        what = mark.encode(errors="surrogatepass") if mark else rpc.body
        known = identity(tenant, rpc.method_name, bool(mark), what)
        at = round(time.time() * 1000.0)
        return Raw(0, at, tenant, rpc.method_name, round(work * 1000.0), len(rpc.body), len(result), known)

    def without(self, rpc: RoutedRpc, result: bytes) -> bool:
        """No room for its use: as the installation chose, it goes unbilled and counted, or is aborted."""
        self.dropped += 1
        self.mode(True)
        if self.settings.stuck == "abort":
            self.router.answers.abort_deferred(rpc)
            return True
        return False

    def durable(self, number: int) -> None:
        for raw in self.outbox.ack(number):
            held = self.held.pop(raw.n, None)
            if held is not None and not held.passed:
                self.let_go(held)
        if self.stuck and self.outbox.bytes < self.outbox.bound // 2 and not self.fault:
            self.mode(False)

    def let_go(self, held: Held) -> None:
        result = self.take_out(held)
        failpoints.reach("ledger.answering")
        self.router.answers.send_deferred(held.rpc, result)
        self.unless_answered(held)

    def take_out(self, held: Held) -> bytes:
        result, held.result, held.passed = held.result, b"", True
        self.results -= len(result)
        return result

    def unless_answered(self, held: Held) -> None:
        if self.by_rpc.pop(held.rpc, None) is not None:  # nobody waited any more: no use
            self.outbox.settle(self.outbox.void, held.raw.n)

    def on_answered(self, rpc: RoutedRpc, kind: AnswerKind) -> None:
        held = self.by_rpc.pop(rpc, None) if kind is AnswerKind.OK else None
        if held is None:
            return
        connection = self.router.gateways.connections.get(rpc.connection)
        assert connection is not None
        held.stream, held.end, held.gone = connection.stream, connection.stream.queued_bytes, self.loop.now_ms
        self.leaving.append(held)
        self.arm(self.settings.settle_ms)

    # Every few ms while there is anything to do

    def arm(self, delay: float) -> None:
        at = self.loop.now_ms + delay
        if self.tick_timer is None or at < self.tick_timer.due_ms:
            self.loop.cancel(self.tick_timer)
            self.tick_timer = self.loop.after(delay, self.tick)

    def tick(self) -> None:
        self.tick_timer = None
        s, now = self.settings, self.loop.now_ms
        if now >= self.settle_at:
            self.follow()
        if not self.before:
            for held in [h for h in self.by_rpc.values() if h.passed]:
                self.unless_answered(held)
        if self.loop.now_ms >= self.soonest:
            self.answer_late_ones()
        self.push()
        if self.held or self.by_rpc:
            self.arm(s.commit_ms)
        elif self.leaving or not self.outbox.empty:
            self.arm(max(1.0, self.settle_at - now))

    def push(self) -> None:
        """New uses at once; what became of earlier ones goes with them, or by itself from time to time."""
        worker = self.worker
        while self.ready and worker is not None and worker.free_bytes() > 0:
            batch = self.outbox.cut(AHEAD, self.finishing or self.loop.now_ms >= self.settle_at)
            if batch is None:
                break
            failpoints.reach("ledger.push")
            worker.send(self.encode(batch))
        if self.loop.now_ms >= self.settle_at:
            self.settle_at = self.loop.now_ms + self.settings.settle_ms

    def answer_late_ones(self) -> None:
        """No RPC lost: the deadline does not wait for a disk."""
        now, left = self.loop.now_ms, float("inf")
        for held in [h for h in self.held.values() if not h.passed]:
            if now < held.due:
                left = min(left, held.due)
                continue
            self.early += 1
            self.mode(True)
            if self.settings.stuck == "abort":
                self.take_out(held)
                self.router.answers.abort_deferred(held.rpc)
                self.unless_answered(held)
            else:
                self.let_go(held)
        self.soonest = left

    def follow(self) -> None:
        """Finds out what became of answers that were given to their connections."""
        waits: deque[Held] = deque()
        unsent: dict[Stream, int] = {}
        for held in self.leaving:
            stream = held.stream
            assert stream is not None
            out = self.outbox
            if not stream.is_open:
                whole = stream.sent_bytes >= held.end
                to = out.void if not whole else out.sent if stream.close_reason in GOOD_ENDS else out.disputed
            elif stream.sent_bytes < held.end:
                waits.append(held)
                continue
            else:
                if stream not in unsent:
                    unsent[stream] = int.from_bytes(ioctl(stream.sock, TIOCOUTQ, bytes(4)), "little")
                # Acknowledged up to here: what the kernel still has is the end of what was sent.
                if stream.sent_bytes - unsent[stream] < held.end:
                    if self.loop.now_ms - held.gone < SENDS:
                        waits.append(held)
                        continue
                    to = out.disputed
                else:
                    to = out.sent
            out.settle(to, held.raw.n)
        self.leaving = waits

    def mode(self, on: bool) -> None:
        if self.stuck != on:
            self.stuck = on
            self.log(
                "mode",
                text=f"ledger {'behind' if on else 'level'}: {self.outbox.bytes // 1024} KB wait, "
                f"{self.early} answered before durable, {self.dropped} dropped",
            )

    def finish(self) -> None:
        """The last commit: all connections are gone, so what became of each answer is known."""
        self.finishing = True
        self.follow()
        for held in self.leaving:
            self.outbox.settle(self.outbox.disputed, held.raw.n)
        self.leaving.clear()
        end = time.monotonic() + FINISH / 1000.0
        worker = self.worker
        if worker is None:
            return
        while not self.outbox.empty and worker.stream.is_open and time.monotonic() < end:
            self.push()
            worker.stream.flush()
            if select.select([worker.stream.sock], [], [], 0.02)[0]:
                worker.stream.read()
        if worker.stream.is_open:
            worker.stream.close("finished")
        self.log("ledger_finished", owed=len(self.outbox.unacked), uses=self.outbox.n, dropped=self.dropped)


def attach(host: ServiceHost, settings: Settings) -> Ledger:
    """Raises ValueError("folder: ...") where the store can't be used."""
    ledger = Ledger(host, settings)
    ledger.wait_for_start()
    host.router.intake.attempt_id_field = settings.identity_field
    host.router.answers.gate = ledger
    host.router.observers.add(ledger)
    return ledger
