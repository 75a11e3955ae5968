"""Gateways that send RPCs to real servers at a rate, and count how they were answered."""

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
"""That an RPC's caller waits."""
LATE_ANSWER_SLACK_MS = 250.0
"""More until an answer counts as late: gateways here share their cores with all else."""
MAX_CATCH_UP_MS = 200.0
"""Of load that one tick makes up for at the most."""
MAX_OPEN_RPCS_PER_CONNECTION = 30
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
"""Outcomes that no RPC may have."""


@dataclass(slots=True)
class InjectedFaults:
    """What was done to servers, by name: RPCs at these may fail.

    Attributes:
        killed: Those that are down since they were killed.
        expected_to_die: Those whose connections may be lost at any time.
        paused_until_ms: Until when each paused one stands still, in the loop's time.
        pauses: Those that are over.
    """

    killed: set[str] = field(default_factory=set)
    expected_to_die: set[str] = field(default_factory=set)
    paused_until_ms: dict[str, float] = field(default_factory=dict)
    pauses: list[PausePeriod] = field(default_factory=list)


class GatewayLoad:
    """Sends RPCs to servers that are listed.

    Attributes:
        loop: On which it runs.
        rng: Of ids and of the servers chosen.
        faults: What was done to servers.
        rpcs_per_second: To all servers together.
        outcomes: How many RPCs ended how.
    """

    def __init__(self, loop: Loop, rng: Random, faults: InjectedFaults, rpcs_per_second: float) -> None:
        self.loop = loop
        self.rng = rng
        self.faults = faults
        self.rpcs_per_second = rpcs_per_second
        self.outcomes: Counter[str] = Counter()
        self._connections: dict[str, GatewayConnection] = {}
        self._owed_rpcs = 0.0
        self._ticked_at_ms = loop.now_ms

    def tick(self, listed: list[tuple[str, Address]]) -> None:
        """Sends what is due since the last tick to random ones of `listed`.

        What is due follows from the time that went by, not from the number of ticks: on a machine whose cores
        are busy these come late.
        """
        elapsed_ms = self.loop.now_ms - self._ticked_at_ms
        self._ticked_at_ms = self.loop.now_ms
        self._owed_rpcs += self.rpcs_per_second * min(elapsed_ms, MAX_CATCH_UP_MS) / 1000.0
        while listed and self._owed_rpcs >= 1.0:
            self._owed_rpcs -= 1.0
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
        """Returns how many RPCs wait for their answers."""
        return sum(connection.unanswered_count for connection in self._connections.values())


class GatewayConnection:
    """One connection to one server.

    Attributes:
        has_goaway: Whether the server has asked for no more RPCs.
    """

    def __init__(self, load: GatewayLoad, server: str, address: Address) -> None:
        self.has_goaway = False
        self._load = load
        self._server = server
        self._sent_at_ms: dict[int, float] = {}
        """Of RPCs without an answer, by the message's id."""
        self._last_message_id = 0
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_UNSENT_BYTES)
        stream = connect(load.loop, address, self, MAX_UNSENT_BYTES)
        self._stream = stream if isinstance(stream, Stream) else None

    @property
    def is_open(self) -> bool:
        """Whether RPCs can be sent."""
        return self._stream is not None

    @property
    def unanswered_count(self) -> int:
        """RPCs that wait for their answers."""
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
        """Reads answers."""
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
            # A paused server can't answer: such time does not count against it.
            paused_until_ms = self._load.faults.paused_until_ms.get(self._server, NEVER_MS)
            outcome = LATE if sent_at_ms > paused_until_ms else LATE_WHILE_PAUSED
        outcomes[outcome] += 1

    def on_eof(self) -> None:
        """Closes this end, too."""
        if self._stream is not None:
            self._stream.close("closed")

    def on_closed(self, _reason: str) -> None:
        """Counts RPCs that were not answered; a killed server answers nobody."""
        self._stream = None
        faults = self._load.faults
        is_killed = self._server in faults.killed or self._server in faults.expected_to_die
        outcome = WITH_KILLED_SERVER if is_killed else LOST
        self._load.outcomes[outcome] += len(self._sent_at_ms)
        self._sent_at_ms.clear()
