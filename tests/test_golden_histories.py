"""Simulations from fixed seeds give the histories that they gave before, to the last bit.

Every datagram of a simulated fleet is encoded and decoded on its way, so that the bytes of all packages that
talk through it are part of the digest and are read back. A difference is a change of a decision
or of the wire.
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
from landingshift.testbed.simulation import policy_change as assent
from landingshift.testbed.simulation.cluster import SimulatedCluster
from landingshift.testbed.simulation.cold_start import ColdStartCase, ColdStartSimulation
from landingshift.testbed.simulation.virtual_time import SimulatedNetwork
from tests.golden_files import assert_golden_json

FLEET = "golden"


class Recorder:
    """Stands in for `SimulatedNetwork.transmit`: digests each message and passes on what its bytes say."""

    def __init__(self) -> None:
        self.digest, self.count = hashlib.sha256(), 0
        self.samples: dict[str, bytes] = {}
        self.carry = SimulatedNetwork.transmit

    def __call__(self, world: SimulatedNetwork, sender: Any, to: Any, message: Any) -> None:
        if isinstance(message, Message):
            data = wire.encode(FLEET, message)
            _, kind, (_, _, _, body, _) = msgpack.decode(data)
            words = [str(word) for word in body[:2] if isinstance(word, str)]
            self.samples.setdefault(" ".join([kind, *words])[:40], data)
            if len(data) <= wire.MAX_DATAGRAM_BYTES:
                message = wire.decode(FLEET, data)
        else:
            data = msgpack.encode(message)
            message = tuple(msgpack.decode(data))
        self.count += 1
        self.digest.update(f"{world.now_ms!r} {sender!r} {to!r} ".encode() + data)
        self.carry(world, sender, to, message)

    def recorded(self) -> Any:
        recorder = self
        return mock.patch.object(SimulatedNetwork, "transmit", lambda *args: recorder(*args))

    @property
    def found(self) -> list[Any]:
        return [self.count, self.digest.hexdigest()]


def digest(value: Any) -> str:
    return hashlib.sha256(value if isinstance(value, bytes) else repr(value).encode()).hexdigest()


class Histories(unittest.TestCase):
    def test_whole_fleet(self) -> None:
        found: dict[str, Any] = {}
        samples: dict[str, bytes] = {}
        for seed in (3, 11, 12):
            recorder = Recorder()
            with recorder.recorded():
                town = SimulatedCluster(draw_scenario(seed))
                history = town.play()
            samples = recorder.samples | samples
            found[f"day {seed}"] = {
                "datagrams": recorder.found,
                "history": [len(history), digest(history)],
                "snapshots": [
                    digest(home.policy_node.state_machines.snapshot()) for home in town.servers.values()
                ],
            }
        assert_golden_json(self, "whole_fleet.json", found)
        assert_golden_json(self, "membership_datagrams.json", dict(sorted(samples.items())))

    def test_policies(self) -> None:
        found = {}
        for seed in range(1, 7):
            recorder = Recorder()
            with recorder.recorded():
                hall = assent.run_random_history(seed, stands_aside=bool(seed % 2))
            found[f"history {seed}"] = {
                "messages": recorder.found,
                "history": [len(hall.history), digest(hall.history)],
                "snapshots": [
                    digest(mind.policy_node.state_machines.snapshot()) for mind in hall.servers.values()
                ],
            }
        assert_golden_json(self, "policies_histories.json", found)

    def test_cold_start(self) -> None:
        found = {}
        cases = {
            "list": ColdStartCase(40),
            "snapshot": ColdStartCase(40, discovery="snapshot"),
            "power": ColdStartCase(30, is_after_power_cut=True),
        }
        for name, case in cases.items():
            recorder = Recorder()
            with recorder.recorded():
                rise = ColdStartSimulation(case, 7)
                rise.start_all()
                rise.run(25_000.0)
            found[name] = {
                "datagrams": recorder.found,
                "asks": [len(rise.list_poll_times_ms), digest(rise.list_poll_times_ms)],
                "warm": digest(rise.warm_fractions),
                "at": rise.warm_at_ms,
                "broken": rise.violations,
                "lines": digest([line[:2] for line in rise.log_lines]),
            }
        assert_golden_json(self, "cold_start.json", found)

    def test_work_on_machines(self) -> None:
        found = {}
        apply = MaintenanceState.apply
        for name, play in {
            "drawn": maintenance.random_faults,
            "day": lambda *a: maintenance.whole_day(*a, count=60),
        }.items():
            entries = hashlib.sha256()
            dumps: dict[int, MaintenanceState] = {}

            def applied(
                book: MaintenanceState, data: bytes, entries: Any = entries, dumps: Any = dumps
            ) -> None:
                entries.update(data)
                dumps[id(book)] = book
                apply(book, data)

            with mock.patch.object(MaintenanceState, "apply", applied):
                row = ExperimentRow(name)
                play(row, 5, "")
            found[name] = {
                "entries": entries.hexdigest(),
                "figures": row.figures,
                "broken": row.violations,
                "snapshots": [digest(book.snapshot()) for book in dumps.values()],
            }
        assert_golden_json(self, "work_on_machines.json", found)
