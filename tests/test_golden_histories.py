"""Simulations with fixed seeds give exactly the histories in the golden files.

Every message of a simulation is encoded and decoded in transit, so the digests cover the wire format of all
packages. A difference means that a decision or the wire format has changed.
"""

from __future__ import annotations

import hashlib
import unittest
from typing import Any
from unittest import mock

from msgspec import msgpack

from landingshift.maintenance.replicated_state import MaintenanceState
from landingshift.membership import wire
from landingshift.membership.messages import Message
from landingshift.testbed.experiments import maintenance
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.experiments.scenarios import draw_scenario
from landingshift.testbed.simulation.cluster import SimulatedCluster
from landingshift.testbed.simulation.cold_start import ColdStartCase, ColdStartSimulation
from landingshift.testbed.simulation.policy_change import run_random_history
from landingshift.testbed.simulation.virtual_time import SimulatedNetwork
from tests.golden_files import assert_golden_json

FLEET = "golden"


class MessageRecorder:
    """Replaces `SimulatedNetwork.transmit`: digests the bytes of each message and sends their decoded form.

    Attributes:
        samples: The first datagram of each kind of message, by that kind.
    """

    def __init__(self) -> None:
        self._digest, self._count = hashlib.sha256(), 0
        self.samples: dict[str, bytes] = {}
        self._transmit = SimulatedNetwork.transmit

    def __call__(self, network: SimulatedNetwork, sender: Any, receiver: Any, message: Any) -> None:
        if isinstance(message, Message):
            data = wire.encode(FLEET, message)
            _, kind, (_, _, _, body, _) = msgpack.decode(data)
            body_kinds = [str(field) for field in body[:2] if isinstance(field, str)]
            self.samples.setdefault(" ".join([kind, *body_kinds])[:40], data)
            if len(data) <= wire.MAX_DATAGRAM_BYTES:
                message = wire.decode(FLEET, data)
        else:
            data = msgpack.encode(message)
            message = tuple(msgpack.decode(data))
        self._count += 1
        self._digest.update(f"{network.now_ms!r} {sender!r} {receiver!r} ".encode() + data)
        self._transmit(network, sender, receiver, message)

    def installed(self) -> Any:
        """Returns a context manager during which all simulated networks use this recorder."""
        recorder = self
        return mock.patch.object(SimulatedNetwork, "transmit", lambda *args: recorder(*args))

    @property
    def result(self) -> list[Any]:
        """The number of messages and the digest of all messages."""
        return [self._count, self._digest.hexdigest()]


def sha256_hex(value: Any) -> str:
    """Returns the SHA-256 of bytes, or of the `repr` of any other value."""
    return hashlib.sha256(value if isinstance(value, bytes) else repr(value).encode()).hexdigest()


class GoldenHistoryTest(unittest.TestCase):
    def test_cluster_with_random_faults_gives_the_golden_history(self) -> None:
        results: dict[str, Any] = {}
        samples: dict[str, bytes] = {}
        for seed in (3, 11, 12):
            recorder = MessageRecorder()
            with recorder.installed():
                cluster = SimulatedCluster(draw_scenario(seed))
                history = cluster.play()
            samples = recorder.samples | samples
            results[f"day {seed}"] = {
                "datagrams": recorder.result,
                "history": [len(history), sha256_hex(history)],
                "snapshots": [
                    sha256_hex(server.policy_node.state_machines.snapshot())
                    for server in cluster.servers.values()
                ],
            }
        assert_golden_json(self, "whole_fleet.json", results)
        assert_golden_json(self, "membership_datagrams.json", dict(sorted(samples.items())))

    def test_policy_changes_with_random_faults_give_the_golden_history(self) -> None:
        results = {}
        for seed in range(1, 7):
            recorder = MessageRecorder()
            with recorder.installed():
                simulation = run_random_history(seed, stands_aside=bool(seed % 2))
            results[f"history {seed}"] = {
                "messages": recorder.result,
                "history": [len(simulation.history), sha256_hex(simulation.history)],
                "snapshots": [
                    sha256_hex(server.policy_node.state_machines.snapshot())
                    for server in simulation.servers.values()
                ],
            }
        assert_golden_json(self, "policies_histories.json", results)

    def test_cold_start_gives_the_golden_history(self) -> None:
        results = {}
        cases = {
            "list": ColdStartCase(40),
            "snapshot": ColdStartCase(40, discovery="snapshot"),
            "power": ColdStartCase(30, is_after_power_cut=True),
        }
        for name, case in cases.items():
            recorder = MessageRecorder()
            with recorder.installed():
                simulation = ColdStartSimulation(case, 7)
                simulation.start_all()
                simulation.run(25_000.0)
            results[name] = {
                "datagrams": recorder.result,
                "asks": [len(simulation.list_poll_times_ms), sha256_hex(simulation.list_poll_times_ms)],
                "warm": sha256_hex(simulation.warm_fractions),
                "at": simulation.warm_at_ms,
                "broken": simulation.violations,
                "lines": sha256_hex([line[:2] for line in simulation.log_lines]),
            }
        assert_golden_json(self, "cold_start.json", results)

    def test_maintenance_gives_the_golden_commands_and_states(self) -> None:
        results = {}
        apply = MaintenanceState.apply
        for name, run_experiment in {
            "drawn": maintenance.random_faults,
            "day": lambda *a: maintenance.whole_day(*a, count=60),
        }.items():
            command_digest = hashlib.sha256()
            states: dict[int, MaintenanceState] = {}

            def record_and_apply(
                state: MaintenanceState,
                data: bytes,
                command_digest: Any = command_digest,
                states: Any = states,
            ) -> None:
                command_digest.update(data)
                states[id(state)] = state
                apply(state, data)

            with mock.patch.object(MaintenanceState, "apply", record_and_apply):
                row = ExperimentRow(name)
                run_experiment(row, 5, "")
            results[name] = {
                "entries": command_digest.hexdigest(),
                "figures": row.figures,
                "broken": row.violations,
                "snapshots": [sha256_hex(state.snapshot()) for state in states.values()],
            }
        assert_golden_json(self, "work_on_machines.json", results)
