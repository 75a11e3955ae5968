"""Decisions about RPCs: the same events give the same actions; state of an earlier build is taken over."""

from __future__ import annotations

import hashlib
import random
import unittest
from typing import Any

from msgspec import msgpack

from landingshift.admission.managed_rpc import ManagedRpc
from tests.golden_files import assert_golden_bytes, assert_golden_json, golden_bytes
from tests.hot_restart_fixtures import DecisionPlayback

SEEDS = range(12)
# Names of actions as the golden files have them.
RECORDED_NAMES = {
    "start_run": "run", "cancel_run": "stop", "reject": "push_back", "abort": "abort", "start_call": "call",
    "skip_call": "skip", "retain_dedup_entry": "keep", "drop_dedup_entry": "forget", "await_original": "join",
    "release": "closed", "set_health": "health", "advertise_load": "advertise",
    "close_idle_connections": "reap", "schedule_check": "wake", "log": "log",
}  # fmt: skip


def plain(value: Any) -> Any:
    """Enum members by their values: their names may change."""
    if isinstance(value, list | tuple):
        return [plain(each) for each in value]
    return getattr(value, "value", value)


def recorded(steps: list[Any]) -> list[Any]:
    """Actions of each step under the names that the golden files have."""
    return [[(RECORDED_NAMES[name], *values) for name, *values in step] for step in steps]


class Decisions(unittest.TestCase):
    def setUp(self) -> None:
        self.playback = DecisionPlayback()

    def played(self, seed: int, count: int = 600) -> tuple[Any, list[ManagedRpc], list[Any], random.Random]:
        chance = random.Random(seed)
        bench, jobs = self.playback.bench(), list[ManagedRpc]()
        done = self.playback.play(bench, jobs, self.playback.events(chance, count))
        if seed % 4 == 3:
            bench.controller.start_draining(1000.0)
        return bench, jobs, done, chance

    def test_the_same_events_give_the_same_actions(self) -> None:
        found = {}
        for seed in SEEDS:
            done = recorded(self.played(seed)[2])
            names = [action[0] for step in done for action in step]
            digest = hashlib.sha256(msgpack.encode(plain(done))).hexdigest()
            found[f"seed {seed}"] = [len(names), {n: names.count(n) for n in sorted(set(names))}, digest]
        assert_golden_json(self, "decisions.json", found)

    def test_state_of_an_earlier_build_is_written_alike_and_taken_over(self) -> None:
        for seed in (2, 3):
            bench, jobs, _, chance = self.played(seed, 300)
            given, order = bench.controller.export_state()
            assert_golden_bytes(self, f"admission_state_{seed}.msgpack", msgpack.encode(given))
            new = self.playback.bench()
            new.controller.now_ms = bench.controller.now_ms
            earlier = msgpack.decode(golden_bytes(f"admission_state_{seed}.msgpack"))
            taken = dict(
                zip(order, new.controller.import_state(earlier, [job.rpc for job in order]), strict=True)
            )
            self.assertEqual(msgpack.encode(new.controller.export_state()[0]), msgpack.encode(given))
            heirs = [taken.get(job, job) for job in jobs]
            events = self.playback.events(chance, 300)
            old = self.playback.play(bench, jobs, events)
            self.assertEqual(self.playback.play(new, heirs, events), old)
            assert_golden_json(
                self,
                f"admission_afterwards_{seed}.json",
                {"digest": hashlib.sha256(msgpack.encode(plain(recorded(old)))).hexdigest()},
            )
