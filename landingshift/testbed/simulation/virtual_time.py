"""A deterministic simulation of processes on a network, in virtual time.

One seed gives one history: events run in the order of their times (and of their scheduling, where times are
equal), and all that is left to chance is drawn from one generator. The module decides nothing of its own;
whatever implements `SimulatedProcess`, as `membership.node.SwimNode` does, can run on a host.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from math import inf
from random import Random
from typing import Any, Protocol

from landingshift.errors import LandingshiftError

Address = tuple[str, int]
TIMER_TOLERANCE_MS = 1e-6
"""Sums of a time and a clock's offset are rounded by less than this."""
MAX_QUEUED_MESSAGES = 400
"""Datagrams that the socket of a paused process holds; more are dropped."""
NO_EVENT_LIMIT = 1 << 62


class EventStormError(LandingshiftError, RuntimeError):
    """More events were scheduled than a sound simulation has.

    Attributes:
        event_count: Events scheduled since the beginning.
        now_ms: The virtual time at which the limit was passed.
    """

    def __init__(self, event_count: int, now_ms: float) -> None:
        super().__init__(f"{event_count} events by {now_ms:.0f} ms: a storm")
        self.event_count = event_count
        self.now_ms = now_ms


class SimulatedProcess(Protocol):
    """A process that is driven by messages and one timer. Times are those of its host's clock."""

    def on_message(self, message: Any, now_ms: float) -> None:
        """Handles a message that came in."""

    def on_timer(self, now_ms: float) -> None:
        """Does what is due by `now_ms`."""

    def next_deadline_ms(self) -> float:
        """Returns when `on_timer` is to be called next."""

    def take_outgoing(self) -> list[tuple[Address, Any]]:
        """Returns the messages to send, with their receivers, and forgets them."""


class SimulatedHost:
    """A machine that runs one process behind an address, by a clock of its own.

    Attributes:
        network: Where it stands.
        address: Its address.
        process: What runs on it; unset before `start`.
        clock_offset_ms: What its clock shows at virtual time 0.
        clock_rate: How far its clock goes in one virtual ms: 1.01 is a clock that drifts by 1 %.
        is_up: False once it was killed.
        paused_until_ms: Virtual time until which the process is stopped; its socket still receives.
        mean_delay_ms: By how much a starved core is late on average (exponentially distributed); 0 for never.
        queued_messages: Received, and not read by the process yet.
        alarm_at_ms: Virtual time of the earliest timer that is scheduled; infinite for none.
        received_count: Messages that arrived.
        sent_count: Messages that the process sent.
    """

    process: SimulatedProcess

    def __init__(
        self,
        network: SimulatedNetwork,
        address: Address,
        clock_offset_ms: float = 0.0,
        clock_rate: float = 1.0,
    ) -> None:
        self.network = network
        self.address = address
        self.clock_offset_ms = clock_offset_ms
        self.clock_rate = clock_rate
        self.is_up = True
        self.paused_until_ms = 0.0
        self.mean_delay_ms = 0.0
        self.queued_messages: list[Any] = []
        self.alarm_at_ms = inf
        self.received_count = 0
        self.sent_count = 0

    def start(self, process: SimulatedProcess) -> None:
        """Starts the process, which takes the address from whatever had it."""
        self.process = process
        self.network.hosts[self.address] = self
        self.run_once()

    @property
    def is_paused(self) -> bool:
        """Whether the process is stopped just now."""
        return self.network.now_ms < self.paused_until_ms

    def clock_ms(self) -> float:
        """Returns what the host's clock shows."""
        return self.network.now_ms * self.clock_rate + self.clock_offset_ms

    def network_time_ms(self, clock_ms: float) -> float:
        """Returns the virtual time at which the host's clock shows `clock_ms`."""
        return (clock_ms - self.clock_offset_ms) / self.clock_rate

    def pause(self, duration_ms: float) -> None:
        """Stops the process, as SIGSTOP does, for a span of virtual time."""
        self.paused_until_ms = self.network.now_ms + duration_ms
        self.network.schedule_at(self.paused_until_ms, self.resume)

    def resume(self) -> None:
        """Lets the process read what has queued up, and then do what is due: sockets come before timers."""
        if not self.is_up or self.is_paused:
            return
        messages = self.queued_messages
        self.queued_messages = []
        for message in messages:
            self.process.on_message(message, self.clock_ms())
        self.run_once()

    def receive(self, message: Any) -> None:
        """Hands a message to the process, or queues it while the process is paused or late."""
        if not self.is_up:
            return
        self.received_count += 1
        if not self.is_paused and not self.mean_delay_ms:
            self.process.on_message(message, self.clock_ms())
            self.run_once(with_timers=False)
            return
        if len(self.queued_messages) < MAX_QUEUED_MESSAGES:
            self.queued_messages.append(message)
        if not self.is_paused:
            self.network.schedule_after(self._draw_delay_ms(), self.resume)

    def run_once(self, with_timers: bool = True) -> None:
        """Runs the due timer, sends what the process has to say and schedules the next timer."""
        if not self.is_up or self.is_paused:
            return
        deadline_ms = self.process.next_deadline_ms()
        if with_timers and deadline_ms <= self.clock_ms() + TIMER_TOLERANCE_MS:
            # The clock may show less than the deadline by a rounding error.
            self.process.on_timer(max(deadline_ms, self.clock_ms()))
        for receiver, message in self.process.take_outgoing():
            self.sent_count += 1
            self.network.transmit(self.address, receiver, message)
        self._schedule_alarm()

    def _schedule_alarm(self) -> None:
        due_ms = max(self.network_time_ms(self.process.next_deadline_ms()), self.network.now_ms)
        is_alarm_pending = self.network.now_ms < self.alarm_at_ms <= due_ms
        if is_alarm_pending:
            return
        self.alarm_at_ms = due_ms
        delay_ms = self._draw_delay_ms() if self.mean_delay_ms else 0.0
        self.network.schedule_at(due_ms + delay_ms, self._on_alarm)

    def _on_alarm(self) -> None:
        if self.network.now_ms >= self.alarm_at_ms:
            self.alarm_at_ms = inf
            self.run_once()

    def _draw_delay_ms(self) -> float:
        return self.network.rng.expovariate(1.0 / self.mean_delay_ms)


class SimulatedNetwork:
    """Hosts, the messages between them, and the events of all in virtual time.

    Attributes:
        rng: Draws all that is left to chance on the network.
        now_ms: Virtual time, from 0.
        event_count: Events scheduled so far.
        max_event_count: Past it `run_until` raises EventStormError.
        latency_ms: The least and the most that a message is under way.
        loss_probability: Of one message.
        duplicate_probability: That a message arrives twice.
        extra_delay_ms: Added to each message's latency.
        hosts: By address.
        is_cut: Whether what the first address sends to the second is lost just now.
        message_count: Messages sent so far, lost ones too.
    """

    def __init__(
        self, seed: int, latency_ms: tuple[float, float] = (0.2, 2.0), loss_probability: float = 0.0
    ) -> None:
        self.rng = Random(seed)
        self.now_ms = 0.0
        self.event_count = 0
        self.max_event_count = NO_EVENT_LIMIT
        self.latency_ms = latency_ms
        self.loss_probability = loss_probability
        self.duplicate_probability = 0.0
        self.extra_delay_ms = 0.0
        self.hosts: dict[Address, SimulatedHost] = {}
        self.is_cut: Callable[[Address, Address], bool] = lambda _sender, _receiver: False
        self.message_count = 0
        self._events: list[tuple[float, int, Callable[[], object]]] = []

    def schedule_at(self, time_ms: float, action: Callable[[], object]) -> None:
        """Has `action` called at a virtual time; at once where that has passed."""
        self.event_count += 1
        heapq.heappush(self._events, (max(time_ms, self.now_ms), self.event_count, action))

    def schedule_after(self, delay_ms: float, action: Callable[[], object]) -> None:
        """Has `action` called `delay_ms` of virtual time from now."""
        self.schedule_at(self.now_ms + delay_ms, action)

    def start_host(
        self,
        address: Address,
        process: SimulatedProcess,
        clock_offset_ms: float = 0.0,
        clock_rate: float = 1.0,
    ) -> SimulatedHost:
        """Starts a process behind an address, in place of whatever had that address."""
        host = SimulatedHost(self, address, clock_offset_ms, clock_rate)
        host.start(process)
        return host

    def kill(self, address: Address) -> None:
        """Ends the process behind an address; what it has not sent is lost."""
        self.hosts[address].is_up = False

    def transmit(self, sender: Address, receiver: Address, message: Any) -> None:
        """Sends a datagram, which may be lost, delayed, reordered or duplicated."""
        self.message_count += 1
        if self.is_cut(sender, receiver):
            return
        is_duplicated = self.duplicate_probability and self.rng.random() < self.duplicate_probability
        for _ in range(2 if is_duplicated else 1):
            if self.loss_probability and self.rng.random() < self.loss_probability:
                continue
            delay_ms = self.rng.uniform(*self.latency_ms) + self.extra_delay_ms
            self.schedule_after(delay_ms, lambda: self._deliver(receiver, message))

    def _deliver(self, receiver: Address, message: Any) -> None:
        """Hands a message to whoever has the address when it arrives."""
        host = self.hosts.get(receiver)
        if host is not None:
            host.receive(message)

    def run_until(self, end_ms: float) -> None:
        """Runs all events up to a virtual time.

        Raises:
            EventStormError: More than `max_event_count` events were scheduled.
        """
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
            if self.event_count > self.max_event_count:
                raise EventStormError(self.event_count, self.now_ms)
        self.now_ms = end_ms
