"""A stand-in for gateways that sends RPCs to real servers at a given rate and counts their outcomes."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgpack

from landingshift.net.protocol import gateway
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Address, Stream, connect
from landingshift.testbed.processes.history import PausePeriod
from landingshift.testbed.processes.single_server import METHOD, TENANT

RPC_WAIT_MS = 3000.0
"""Time that the caller of an RPC waits for the answer."""
LATE_ANSWER_SLACK_MS = 250.0
"""Extra time before an answer counts as late, because the gateway shares its cores with all servers."""
MAX_CATCH_UP_MS = 200.0
"""Longest time since the last tick for which a tick sends RPCs; the load of a longer gap is skipped."""
MAX_OPEN_RPCS_PER_CONNECTION = 30
"""Number of unanswered RPCs on a connection at which further RPCs for it are dropped."""
MAX_UNSENT_BYTES = 1 << 20
RPC_ID_BITS = 64
NEVER_MS = -1e9

REQUEST_MESSAGE_TYPE = 0
ANSWER_MESSAGE_TYPE = 1
GOAWAY_MESSAGE_TYPE = 2

OK = "ok"
LOST = "lost"
LATE = "late"
ANSWERED_TWICE = "twice"
LATE_WHILE_PAUSED = "late at a stopped one"
WITH_KILLED_SERVER = "with a killed one"
FAILED_OUTCOMES = (LOST, LATE, ANSWERED_TWICE)
"""Outcomes that count as failures of the servers, whatever faults are injected."""


@dataclass(slots=True)
class InjectedFaults:
    """Faults that were injected into servers, by server name, to tell which RPC failures are expected.

    Attributes:
        killed: Servers that were killed and not restarted.
        expected_to_die: Servers that were killed or can exit at any time; RPCs on their connections can be
            lost.
        paused_until_ms: Time at which the latest pause of each server ends, in the loop's time.
        pauses: Pauses that are over.
    """

    killed: set[str] = field(default_factory=set)
    expected_to_die: set[str] = field(default_factory=set)
    paused_until_ms: dict[str, float] = field(default_factory=dict)
    pauses: list[PausePeriod] = field(default_factory=list)


class GatewayLoad:
    """Sends RPCs to random listed servers and counts the outcomes.

    Attributes:
        loop: Event loop on which the load runs.
        rng: Random generator for RPC IDs and the choice of servers.
        faults: Faults that were injected into servers.
        rpcs_per_second: Rate of RPCs to all servers together.
        outcomes: Number of RPCs for each outcome: `OK`, an error code of the answer, or one of the constants
            of this module.
    """

    def __init__(self, loop: Loop, rng: Random, faults: InjectedFaults, rpcs_per_second: float) -> None:
        self.loop = loop
        self.rng = rng
        self.faults = faults
        self.rpcs_per_second = rpcs_per_second
        self.outcomes: Counter[str] = Counter()
        self._connections: dict[str, GatewayConnection] = {}
        self._due_rpcs = 0.0
        self._last_tick_ms = loop.now_ms

    def tick(self, listed: list[tuple[str, Address]]) -> None:
        """Sends the RPCs that are due since the last tick to random servers.

        The number of RPCs depends on the time since the last tick, because ticks are late on a busy machine.

        Args:
            listed: Name and address of each server that can be chosen.
        """
        elapsed_ms = self.loop.now_ms - self._last_tick_ms
        self._last_tick_ms = self.loop.now_ms
        self._due_rpcs += self.rpcs_per_second * min(elapsed_ms, MAX_CATCH_UP_MS) / 1000.0
        while listed and self._due_rpcs >= 1.0:
            self._due_rpcs -= 1.0
            self._send(*self.rng.choice(listed))

    def _send(self, server: str, address: Address) -> None:
        connection = self._connections.get(server)
        if connection is None or not connection.is_open:
            connection = GatewayConnection(self, server, address)
            self._connections[server] = connection
        if connection.has_goaway:
            return
        if connection.unanswered_count < MAX_OPEN_RPCS_PER_CONNECTION:
            connection.send_rpc()

    def unanswered_count(self) -> int:
        """Returns the number of RPCs without an answer on all connections."""
        return sum(connection.unanswered_count for connection in self._connections.values())


class GatewayConnection:
    """A connection of a gateway to a server.

    Attributes:
        has_goaway: Whether the server has sent a goaway message and must not be sent further RPCs.
    """

    def __init__(self, load: GatewayLoad, server: str, address: Address) -> None:
        self.has_goaway = False
        self._load = load
        self._server = server
        self._sent_at_ms: dict[int, float] = {}
        """Time at which each unanswered RPC was sent, keyed by message ID."""
        self._last_message_id = 0
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_UNSENT_BYTES)
        stream = connect(load.loop, address, self, MAX_UNSENT_BYTES)
        self._stream = stream if isinstance(stream, Stream) else None

    @property
    def is_open(self) -> bool:
        """Whether the connection is open, so that RPCs can be sent."""
        return self._stream is not None

    @property
    def unanswered_count(self) -> int:
        """Number of RPCs without an answer."""
        return len(self._sent_at_ms)

    def send_rpc(self) -> None:
        """Sends one RPC."""
        self._last_message_id += 1
        header = {
            "id": f"{self._load.rng.getrandbits(RPC_ID_BITS):016x}", "from": "1", "tenant": TENANT,
            "kb": "10", "rank": "0.5", "at": str(int(time.time() * 1000)), "wait": str(int(RPC_WAIT_MS)),
        }  # fmt: skip
        if self._stream is not None:
            self._sent_at_ms[self._last_message_id] = self._load.loop.now_ms
            message = [REQUEST_MESSAGE_TYPE, self._last_message_id, METHOD, [header, b"work"]]
            self._stream.write(gateway.pack(message))

    def on_data(self, data: bytes) -> None:
        """Processes answers and goaway messages."""
        self._unpacker.feed(data)
        for message in self._unpacker:
            if message[0] == GOAWAY_MESSAGE_TYPE:
                self.has_goaway = True
            elif message[0] == ANSWER_MESSAGE_TYPE:
                self._on_answer(message)

    def _on_answer(self, message: list[Any]) -> None:
        outcomes = self._load.outcomes
        sent_at_ms = self._sent_at_ms.pop(message[1], None)
        if sent_at_ms is None:
            outcomes[ANSWERED_TWICE] += 1
            return
        outcome = message[2][0] if message[2] else OK
        if self._load.loop.now_ms - sent_at_ms > RPC_WAIT_MS + LATE_ANSWER_SLACK_MS:
            # A paused server cannot answer, so an RPC sent before the end of its pause is not its failure.
            paused_until_ms = self._load.faults.paused_until_ms.get(self._server, NEVER_MS)
            outcome = LATE if sent_at_ms > paused_until_ms else LATE_WHILE_PAUSED
        outcomes[outcome] += 1

    def on_eof(self) -> None:
        """Closes this end as well."""
        if self._stream is not None:
            self._stream.close("closed")

    def on_closed(self, _reason: str) -> None:
        """Counts the unanswered RPCs as lost, or as expected failures if the server was killed."""
        self._stream = None
        faults = self._load.faults
        is_killed = self._server in faults.killed or self._server in faults.expected_to_die
        outcome = WITH_KILLED_SERVER if is_killed else LOST
        self._load.outcomes[outcome] += len(self._sent_at_ms)
        self._sent_at_ms.clear()
