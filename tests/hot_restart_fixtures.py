"""Fixtures for state transfer: random events for an admission controller, and a router with its peers."""

from __future__ import annotations

import contextlib
import copy
import os
import random
import select
import socket
import time
import traceback
import unittest
from dataclasses import dataclass
from typing import Any

import msgpack as message_pack

from landingshift.admission.interface import (
    DownstreamKind,
    Gauges,
    Idempotency,
    LoadAdvertisement,
    Method,
    Outcome,
    Rpc,
    Tenant,
)
from landingshift.admission.managed_rpc import ManagedRpc, RpcState
from landingshift.hot_restart.state_export import StateExporter
from landingshift.hot_restart.state_import import StateImporter
from landingshift.net.program.config import decode_config
from landingshift.net.routing.router import Router
from landingshift.net.transport.loop import Loop
from tests.helpers import CONFIG, AdmissionBench, Peer, assert_consistent

EVENT_WEIGHTS = {"read": 8, "tick": 6, "ended": 3, "wants_call": 6, "call_done": 3, "hangup": 1}
STATE_FOR_EVENT = {"wants_call": RpcState.RUNNING, "call_done": RpcState.CALLING}
STATES_WITH_RUN = (RpcState.RUNNING, RpcState.ABORTED, RpcState.ABANDONED, RpcState.CALLING)
CALL_OUTCOMES = [Outcome.OK, Outcome.OK, Outcome.NO_RESPONSE, Outcome.REJECTED]

CALLING_METHOD = Method(Idempotency.IDEMPOTENT, 1000.0, 0.0, 3000.0, 1.0, 0.0, 5000.0, True, 0.5)
TOKEN_METHOD = Method(Idempotency.KEYED, 800.0, 0.0, 2000.0, 3.0, 1.0, 1500.0, True, 0.0)
TENANT = Tenant(20.0)

PEER_TIMEOUT_SECONDS = 5.0
FAULT_EVENTS = ("fault", "engine_command_refused", "engine_notices_lost")


@dataclass(frozen=True)
class PlayedEvent:
    """An event for a controller.

    Attributes:
        name: A key of `EVENT_WEIGHTS`.
        fraction: A random number in [0, 1) that determines the RPC and all numeric values of the event.
    """

    name: str
    fraction: float


class DecisionPlayback:
    """Delivers generated events to a controller and records its actions."""

    def bench(self) -> AdmissionBench:
        """Returns a new controller with recorded actions."""
        return AdmissionBench(
            CALLING_METHOD,
            TOKEN_METHOD,
            tenants=[TENANT],
            downstream=DownstreamKind.SHARED_STORE,
            downstream_concurrency_quota=1.0,
            downstream_quota_window_ms=2000.0,
            load_advertisement=LoadAdvertisement.CREDIT,
            starts_cold=True,
            memory_kb=9000.0,
            response_cache_ttl_ms=500.0,
        )

    def events(self, rng: random.Random, count: int) -> list[PlayedEvent]:
        """Returns `count` random events."""
        names = rng.choices(list(EVENT_WEIGHTS), list(EVENT_WEIGHTS.values()), k=count)
        return [PlayedEvent(name, rng.random()) for name in names]

    def play(self, bench: AdmissionBench, rpcs: list[ManagedRpc], events: list[PlayedEvent]) -> list[Any]:
        """Delivers the events and returns the actions that each of them caused.

        Args:
            bench: The controller with its recorded actions.
            rpcs: All RPCs read so far; new ones are appended. In the returned actions, an RPC is replaced by
                its index in this list.
            events: The events to deliver.
        """
        steps: list[Any] = []
        indexes = {managed.rpc: index for index, managed in enumerate(rpcs)}
        for event in events:
            bench.actions.clear()
            self._deliver(bench, rpcs, event)
            if event.name == "read":
                indexes[rpcs[-1].rpc] = len(rpcs) - 1
            bench.controller.settle()
            assert_consistent(bench.controller)
            steps.append([(name, *_with_indexes(values, indexes)) for name, *values in bench.actions])
        return steps

    def _deliver(self, bench: AdmissionBench, rpcs: list[ManagedRpc], event: PlayedEvent) -> None:
        controller = bench.controller
        fraction = event.fraction
        wanted_state = STATE_FOR_EVENT.get(event.name)
        open_rpcs = [managed for managed in rpcs if managed.state is not None]
        candidates = [managed for managed in open_rpcs if wanted_state in (None, managed.state)]
        if event.name == "read":
            rpcs.append(self._read(bench, fraction))
        elif event.name == "tick":
            controller.now_ms += fraction * 60
            if controller.now_ms >= controller.next_check_ms - 1.0:
                controller.on_timer(Gauges(0.5 + fraction / 2, 2 + 8 * fraction, 30.0))
        elif candidates:
            managed = candidates[int(fraction * len(candidates))]
            if event.name == "ended" and managed.state in STATES_WITH_RUN:
                outcome = Outcome.OK if fraction < 0.9 else Outcome.ABORTED
                controller.on_run_finished(managed, outcome, 20 + 100 * fraction)
            elif event.name == "wants_call":
                controller.on_call_needed(managed)
            elif event.name == "call_done":
                controller.on_call_finished(managed, CALL_OUTCOMES[int(fraction * 4)], 10 + 80 * fraction)
            elif event.name == "hangup":
                controller.on_caller_gone(managed)

    def _read(self, bench: AdmissionBench, fraction: float) -> ManagedRpc:
        return bench.read(
            method=CALLING_METHOD if fraction < 0.7 else TOKEN_METHOD,
            tenant=TENANT,
            remaining_ms=200 + 2800 * fraction,
            caller_id=int(fraction * 5),
            memory_kb=5 + 90 * fraction,
            has_cache_key=fraction < 0.3,
            waited_ms=fraction * 50,
        )


class RouterHarness:
    """A router in this process, connected to an engine and a database that the test simulates.

    `move` replaces the router by one that is imported from its state; the connections to its peers stay open.

    Args:
        case: The test case; its cleanups close the router's descriptors.
        repeat_window_ms: The deduplication window of the method `token`.
    """

    def __init__(self, case: unittest.TestCase, repeat_window_ms: float = 5000.0) -> None:
        self.case = case
        self.engine_listener = socket.create_server(("127.0.0.1", 0))
        self.database_listener = socket.create_server(("127.0.0.1", 0))
        self.roster = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.roster.bind(("127.0.0.1", 0))
        for sock in (self.engine_listener, self.database_listener, self.roster):
            sock.settimeout(PEER_TIMEOUT_SECONDS)
            case.addCleanup(sock.close)
        addresses = {
            "engine": _address(self.engine_listener),
            "db": _address(self.database_listener),
            "roster": _address(self.roster),
        }
        config = copy.deepcopy(CONFIG) | addresses
        config["settings"]["classes"][1]["repeat-window"] = repeat_window_ms
        self.config = decode_config(config, {})
        self.faults: list[str] = []
        self.loop = self.new_loop()
        self.router = Router(self.loop, self.config, self.log)
        case.addCleanup(lambda: self.close_descriptors(self.router))
        self.engine = self._accept_engine_link()
        self.unpacker = message_pack.Unpacker()
        self.rpc_count = 0

    def _accept_engine_link(self) -> Peer:
        """Accepts the router's link to the engine and answers its first messages."""
        self.run_until_readable(self.engine_listener)
        engine = self.peer(self.engine_listener.accept()[0])
        self.run_until_readable(engine)
        self.case.assertEqual(engine.read_line()[0], ["ATTACH", "0"])
        engine.send(b"HELLO old 60000\r\n")
        self.run_until_readable(engine)
        self.case.assertEqual(engine.read_line()[0], ["STAT", "s1"])
        engine.send(b"STATS s1 0.2 1 0.1 3\r\n")
        self.run()
        return engine

    def log(self, event: str, **fields: Any) -> None:
        """Collects logged faults in `faults`; ignores other events."""
        if event in FAULT_EVENTS:
            self.faults.append(f"{event} {fields}")

    def new_loop(self) -> Loop:
        return Loop(lambda: self.faults.append(traceback.format_exc()))

    def peer(self, sock: socket.socket) -> Peer:
        """Returns a peer on an accepted connection."""
        peer = Peer.__new__(Peer)
        peer.sock, peer.buffer = sock, b""
        sock.settimeout(PEER_TIMEOUT_SECONDS)
        self.case.addCleanup(sock.close)
        return peer

    def run(self, duration_ms: float = 15.0) -> None:
        """Runs the router's event loop for the given time."""
        end_ms = self.loop.clock_ms() + duration_ms
        self.loop.after(duration_ms, lambda: None)
        while self.loop.clock_ms() < end_ms:
            self.loop.run_pass()

    def run_until_readable(self, source: socket.socket | Peer) -> None:
        """Runs the router until there is something to read from `source`, for 5 seconds at most."""
        sock, buffer = (source.sock, source.buffer) if isinstance(source, Peer) else (source, b"")
        for _ in range(1000):
            if b"\r\n" in buffer or select.select([sock], [], [], 0.0)[0]:
                return
            self.run(5.0)

    def connect_gateway(self) -> socket.socket:
        sock = socket.create_connection(self.router.gateways.listener.address)
        sock.settimeout(PEER_TIMEOUT_SECONDS)
        self.case.addCleanup(sock.close)
        return sock

    def accept_database_link(self) -> Peer:
        self.run_until_readable(self.database_listener)
        return self.peer(self.database_listener.accept()[0])

    def request(self, method: str, body: bytes, **fields: str) -> bytes:
        """Returns an encoded gateway request with the next message id; `fields` override header fields."""
        self.rpc_count += 1
        header = {
            "id": f"{self.rpc_count:016x}",
            "at": str(int(time.time() * 1000)),
            "from": "4",
            "tenant": "t",
            "wait": "2000",
            "kb": "10",
            **fields,
        }
        return bytes(message_pack.packb([0, self.rpc_count, method, [header, body]]))

    def next_command(self) -> tuple[list[str], bytes]:
        """Returns the next command that the engine receives; answers gauge queries received before it."""
        for _ in range(50):
            self.run(5.0)
            self.run_until_readable(self.engine)
            words, body = self.engine.read_line()
            if words[0] != "STAT":
                return words, body
            self.engine.send(f"STATS {words[1]} 0.2 1 0.1 3\r\n".encode())
        raise TimeoutError

    def answers(self, gateway: socket.socket, count: int) -> dict[int, Any]:
        """Returns the results or error codes by message id, once `count` have arrived or after a timeout.

        Fails if a request is answered twice.
        """
        answers: dict[int, Any] = {}
        gateway.settimeout(0.02)
        for _ in range(100):
            self.run(5.0)
            with contextlib.suppress(TimeoutError):
                self.unpacker.feed(gateway.recv(65536))
            for kind, message_id, error, result in self.unpacker:
                self.case.assertEqual(kind, 1)
                self.case.assertNotIn(message_id, answers, "answered twice")
                answers[message_id] = error[0] if error else result[0]
            if len(answers) >= count:
                return answers
        return answers

    def close_descriptors(self, router: Router) -> None:
        """Closes the router's descriptors without sending anything to the peers."""
        streams = [connection.stream for connection in router.gateways.connections]
        streams += [link.stream for link in router.database.links if link.stream]
        streams += [router.engine.stream] if router.engine.stream else []
        for stream in streams:
            stream.sock.close()
        router.gateways.listener.sock.close()
        router.health_reporter.roster.sock.close()
        router.loop.selector.close()

    def move(self) -> None:
        """Replaces the router by one that is imported from its exported state."""
        exported = StateExporter(self.router).export()
        copies = [os.dup(descriptor) for descriptor in exported.descriptors]
        old_router = self.router
        self.loop = self.new_loop()
        importer = StateImporter(exported.data, copies)
        self.router = importer.import_router(self.loop, self.config, self.log)
        self.close_descriptors(old_router)


def _with_indexes(values: list[Any], indexes: dict[Rpc, int]) -> list[Any]:
    """Replaces RPCs by their indexes, if they have one; leaves other values unchanged."""
    return [indexes.get(value, value) if isinstance(value, Rpc) else value for value in values]


def _address(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f"{host}:{port}"
