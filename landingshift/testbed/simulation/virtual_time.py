"""A deterministic discrete-event simulation of processes on a network, in virtual time.

The same seed always gives the same history. Events run in the order of their times; events with equal times
run in the order in which they were scheduled. All random values of the network come from one generator. A
host can run any object that implements `SimulatedProcess`, such as `membership.node.SwimNode`.
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
"""Maximum rounding error when a virtual time is converted to the time on a clock or back."""
MAX_QUEUED_MESSAGES = 400
"""Maximum number of messages in the socket buffer of a process. Further messages are dropped."""
NO_EVENT_LIMIT = 1 << 62


class EventStormError(LandingshiftError, RuntimeError):
    """A simulation scheduled more events than `SimulatedNetwork.max_event_count` allows.

    Attributes:
        event_count: Number of events scheduled since the beginning of the simulation.
        now_ms: Virtual time at which the limit was exceeded.
    """

    def __init__(self, event_count: int, now_ms: float) -> None:
        super().__init__(f"event storm: {event_count} events were scheduled by {now_ms:.0f} ms")
        self.event_count = event_count
        self.now_ms = now_ms


class SimulatedProcess(Protocol):
    """A process that is driven by messages and one timer. All times are those of its host's clock."""

    def on_message(self, message: Any, now_ms: float) -> None:
        """Handles a received message."""

    def on_timer(self, now_ms: float) -> None:
        """Runs all work that is due at `now_ms`."""

    def next_deadline_ms(self) -> float:
        """Returns the time at which `on_timer` must be called next."""

    def take_outgoing(self) -> list[tuple[Address, Any]]:
        """Returns the outgoing messages with their receivers, and removes these messages from the queue."""


class SimulatedHost:
    """A machine with one address and its own clock, which runs one process.

    Attributes:
        network: Network that the host is attached to.
        address: Address of the host.
        process: The process on the host; unset before `start`.
        clock_offset_ms: Time on the clock at virtual time 0.
        clock_rate: Speed of the clock relative to virtual time: 1.01 for a clock that is 1 % fast.
        is_up: False once the process has been killed or has ended.
        paused_until_ms: Virtual time until which the process is paused. Messages are queued during this time.
        mean_delay_ms: Mean delay before the process handles a message or its timer, as on an overloaded
            core. Delays are exponentially distributed; 0 for no delays.
        queued_messages: Messages that the host has received and the process has not read.
        timer_at_ms: Virtual time of the earliest scheduled timer; infinite for none.
        received_count: Number of messages received.
        sent_count: Number of messages sent.
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
        self.timer_at_ms = inf
        self.received_count = 0
        self.sent_count = 0

    def start(self, process: SimulatedProcess) -> None:
        """Starts the process, which replaces any earlier process at the address of this host."""
        self.process = process
        self.network.hosts[self.address] = self
        self.run_once()

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused at present."""
        return self.network.now_ms < self.paused_until_ms

    def clock_ms(self) -> float:
        """Returns the time on the host's clock."""
        return self.network.now_ms * self.clock_rate + self.clock_offset_ms

    def network_time_ms(self, clock_ms: float) -> float:
        """Converts a time on the host's clock to virtual time."""
        return (clock_ms - self.clock_offset_ms) / self.clock_rate

    def pause(self, duration_ms: float) -> None:
        """Pauses the process for `duration_ms` of virtual time, as SIGSTOP does."""
        self.paused_until_ms = self.network.now_ms + duration_ms
        self.network.schedule_at(self.paused_until_ms, self.resume)

    def resume(self) -> None:
        """Lets the process handle the queued messages, and then its timer if that is due.

        Does nothing if the process is down or paused. Messages come before the timer because a real event
        loop also polls its sockets first.
        """
        if not self.is_up or self.is_paused:
            return
        messages = self.queued_messages
        self.queued_messages = []
        for message in messages:
            self.process.on_message(message, self.clock_ms())
        self.run_once()

    def receive(self, message: Any) -> None:
        """Delivers a message to the process, or queues it while the process is paused or delayed."""
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
        """Runs the timer if it is due, sends the outgoing messages and schedules the next timer."""
        if not self.is_up or self.is_paused:
            return
        deadline_ms = self.process.next_deadline_ms()
        if with_timers and deadline_ms <= self.clock_ms() + TIMER_TOLERANCE_MS:
            # Because of rounding, the time on the clock can be slightly before the deadline.
            self.process.on_timer(max(deadline_ms, self.clock_ms()))
        for receiver, message in self.process.take_outgoing():
            self.sent_count += 1
            self.network.transmit(self.address, receiver, message)
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        due_ms = max(self.network_time_ms(self.process.next_deadline_ms()), self.network.now_ms)
        is_timer_pending = self.network.now_ms < self.timer_at_ms <= due_ms
        if is_timer_pending:
            return
        self.timer_at_ms = due_ms
        delay_ms = self._draw_delay_ms() if self.mean_delay_ms else 0.0
        self.network.schedule_at(due_ms + delay_ms, self._on_timer_due)

    def _on_timer_due(self) -> None:
        if self.network.now_ms >= self.timer_at_ms:
            self.timer_at_ms = inf
            self.run_once()

    def _draw_delay_ms(self) -> float:
        return self.network.rng.expovariate(1.0 / self.mean_delay_ms)


class SimulatedNetwork:
    """Hosts, the messages between them, and the queue of all events in virtual time.

    Attributes:
        rng: Generator of all random values of the network.
        now_ms: Virtual time, which begins at 0.
        event_count: Number of events scheduled so far.
        max_event_count: Limit of `event_count`. `run_until` raises EventStormError above this limit.
        latency_ms: Minimum and maximum latency of a message.
        loss_probability: Probability that a message is lost.
        duplicate_probability: Probability that a message is sent twice.
        extra_delay_ms: Delay added to the latency of each message.
        hosts: Host of the latest process at each address.
        is_cut: Function that returns whether messages from the first address to the second address are lost
            at present.
        message_count: Number of messages sent so far, including lost messages but not duplicates.
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
        """Schedules a call of `action` at virtual time `time_ms`, or immediately if that time has passed."""
        self.event_count += 1
        heapq.heappush(self._events, (max(time_ms, self.now_ms), self.event_count, action))

    def schedule_after(self, delay_ms: float, action: Callable[[], object]) -> None:
        """Schedules a call of `action` after `delay_ms` of virtual time."""
        self.schedule_at(self.now_ms + delay_ms, action)

    def start_host(
        self,
        address: Address,
        process: SimulatedProcess,
        clock_offset_ms: float = 0.0,
        clock_rate: float = 1.0,
    ) -> SimulatedHost:
        """Starts a process on a new host, which replaces any earlier host at the address."""
        host = SimulatedHost(self, address, clock_offset_ms, clock_rate)
        host.start(process)
        return host

    def kill(self, address: Address) -> None:
        """Kills the process at an address; messages that the process has not sent are lost."""
        self.hosts[address].is_up = False

    def transmit(self, sender: Address, receiver: Address, message: Any) -> None:
        """Sends a datagram, which can be lost, delayed, reordered or duplicated."""
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
        """Delivers a message to the host that has the address at the time of arrival, if any."""
        host = self.hosts.get(receiver)
        if host is not None:
            host.receive(message)

    def run_until(self, end_ms: float) -> None:
        """Runs all events up to virtual time `end_ms`.

        Raises:
            EventStormError: More than `max_event_count` events have been scheduled.
        """
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
            if self.event_count > self.max_event_count:
                raise EventStormError(self.event_count, self.now_ms)
        self.now_ms = end_ms
