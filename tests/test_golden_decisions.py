"""Tests against golden files: the same events cause the same actions, and exported state keeps its format."""

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
# Names of the actions in the golden files.
GOLDEN_ACTION_NAMES = {
    "start_run": "run", "cancel_run": "stop", "reject": "push_back", "abort": "abort", "start_call": "call",
    "skip_call": "skip", "retain_dedup_entry": "keep", "drop_dedup_entry": "forget", "await_original": "join",
    "release": "closed", "set_health": "health", "advertise_load": "advertise",
    "close_idle_connections": "reap", "schedule_check": "wake", "log": "log",
}  # fmt: skip


def with_enum_values(value: Any) -> Any:
    """Replaces enum members by their values, because the names of the members may change."""
    if isinstance(value, list | tuple):
        return [with_enum_values(element) for element in value]
    return getattr(value, "value", value)


def with_golden_names(steps: list[Any]) -> list[Any]:
    """Returns the actions of each step under their names in the golden files."""
    return [[(GOLDEN_ACTION_NAMES[name], *values) for name, *values in step] for step in steps]


def digest_of(steps: list[Any]) -> str:
    """Returns a digest of the actions of all steps."""
    return hashlib.sha256(msgpack.encode(with_enum_values(steps))).hexdigest()


class Decisions(unittest.TestCase):
    def setUp(self) -> None:
        self.playback = DecisionPlayback()

    def play(self, seed: int, count: int = 600) -> tuple[Any, list[ManagedRpc], list[Any], random.Random]:
        """Plays random events and returns the bench, its RPCs, the actions by event and the generator."""
        rng = random.Random(seed)
        bench, rpcs = self.playback.bench(), list[ManagedRpc]()
        steps = self.playback.play(bench, rpcs, self.playback.events(rng, count))
        if seed % 4 == 3:
            bench.controller.start_draining(1000.0)
        return bench, rpcs, steps, rng

    def test_the_same_events_cause_the_same_actions_as_in_earlier_builds(self) -> None:
        results = {}
        for seed in SEEDS:
            steps = with_golden_names(self.play(seed)[2])
            names = [action[0] for step in steps for action in step]
            counts = {name: names.count(name) for name in sorted(set(names))}
            results[f"seed {seed}"] = [len(names), counts, digest_of(steps)]
        assert_golden_json(self, "decisions.json", results)

    def test_exported_state_equals_that_of_an_earlier_build_and_can_be_imported(self) -> None:
        for seed in (2, 3):
            old, old_rpcs, _, rng = self.play(seed, 300)
            exported, exported_rpcs = old.controller.export_state()
            assert_golden_bytes(self, f"admission_state_{seed}.msgpack", msgpack.encode(exported))
            new = self.playback.bench()
            new.controller.now_ms = old.controller.now_ms
            golden_state = msgpack.decode(golden_bytes(f"admission_state_{seed}.msgpack"))
            imported_rpcs = new.controller.import_state(
                golden_state, [managed.rpc for managed in exported_rpcs]
            )
            counterparts = dict(zip(exported_rpcs, imported_rpcs, strict=True))
            self.assertEqual(msgpack.encode(new.controller.export_state()[0]), msgpack.encode(exported))
            new_rpcs = [counterparts.get(managed, managed) for managed in old_rpcs]
            events = self.playback.events(rng, 300)
            old_steps = self.playback.play(old, old_rpcs, events)
            self.assertEqual(self.playback.play(new, new_rpcs, events), old_steps)
            assert_golden_json(
                self,
                f"admission_afterwards_{seed}.json",
                {"digest": digest_of(with_golden_names(old_steps))},
            )
