"""Decisions about RPCs: the same events give the same actions; state of an earlier build is taken over."""

from __future__ import annotations

import hashlib
import random
import unittest
from typing import Any

from msgspec import msgpack

from landingshift.admission.controller import Job
from tests import test_hot_restart
from tests.golden_files import assert_golden_bytes, assert_golden_json, golden_bytes

SEEDS = range(12)


def plain(value: Any) -> Any:
    """Enum members by their values: their names may change."""
    if isinstance(value, list | tuple):
        return [plain(each) for each in value]
    return getattr(value, "value", value)


class Decisions(unittest.TestCase):
    def setUp(self) -> None:
        self.deciding = test_hot_restart.Deciding()

    def played(self, seed: int, count: int = 600) -> tuple[Any, list[Job], list[Any], random.Random]:
        chance = random.Random(seed)
        bench, jobs = self.deciding.bench(), list[Job]()
        done = self.deciding.play(bench, jobs, self.deciding.events(chance, count))
        if seed % 4 == 3:
            bench.server.quiesce(1000.0)
        return bench, jobs, done, chance

    def test_the_same_events_give_the_same_actions(self) -> None:
        found = {}
        for seed in SEEDS:
            _, _, done, _ = self.played(seed)
            names = [action[0] for step in done for action in step]
            digest = hashlib.sha256(msgpack.encode(plain(done))).hexdigest()
            found[f"seed {seed}"] = [len(names), {n: names.count(n) for n in sorted(set(names))}, digest]
        assert_golden_json(self, "decisions.json", found)

    def test_state_of_an_earlier_build_is_written_alike_and_taken_over(self) -> None:
        for seed in (2, 3):
            bench, jobs, _, chance = self.played(seed, 300)
            given, order = bench.server.give()
            assert_golden_bytes(self, f"admission_state_{seed}.msgpack", msgpack.encode(given))
            new = self.deciding.bench()
            new.server.now = bench.server.now
            earlier = msgpack.decode(golden_bytes(f"admission_state_{seed}.msgpack"))
            taken = dict(zip(order, new.server.take(earlier, [job.rpc for job in order]), strict=True))
            self.assertEqual(msgpack.encode(new.server.give()[0]), msgpack.encode(given))
            heirs = [taken.get(job, job) for job in jobs]
            events = self.deciding.events(chance, 300)
            old = self.deciding.play(bench, jobs, events)
            self.assertEqual(self.deciding.play(new, heirs, events), old)
            assert_golden_json(
                self,
                f"admission_afterwards_{seed}.json",
                {"digest": hashlib.sha256(msgpack.encode(plain(old))).hexdigest()},
            )
