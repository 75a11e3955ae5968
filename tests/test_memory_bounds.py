"""Tests that the memory of the process stays bounded, whatever clients send."""

import unittest
from collections import Counter

from tests.helpers import GatewayClient, ProgramUnderTest
from tests.load_fixtures import RunningEngine, anonymous_mb

MEMORY_MB = 32
RESULT_MEMORY_FRACTION = 0.25  # of the memory limit, for cached results, as README.md states
KEYED_RPC_COUNT = 6000
BATCH_COUNT = 25


class DedupMemoryTest(unittest.TestCase):
    def send_keyed_rpcs(self, gateway: GatewayClient, tokens: range) -> Counter[str]:
        """Sends an RPC with a body of 2 KiB for each token; returns the number of answers of each kind."""
        answers: Counter[str] = Counter()
        for first in range(tokens.start, tokens.stop, BATCH_COUNT):
            batch = range(first, min(first + BATCH_COUNT, tokens.stop))
            for token in batch:
                gateway.send_rpc("token", bytes(2048), once=f"{token:016x}")
            answers.update(str(gateway.read_final_answer()[1]) for _ in batch)
        return answers

    def test_memory_of_deduplication_entries_stays_within_its_fraction_of_the_limit(self) -> None:
        # Guards against entries that keep the bodies of their RPCs, which their size did not include: a
        # process was killed over its limit of 96 MB (review/3).
        program = ProgramUnderTest(
            self, limits={"memory_mb": MEMORY_MB}, settings__classes__1__repeat_window=60000.0
        )
        gateway = GatewayClient(program)
        with RunningEngine(program) as engine:
            self.send_keyed_rpcs(gateway, range(BATCH_COUNT))
            before_mb = anonymous_mb(program)
            answers = self.send_keyed_rpcs(gateway, range(BATCH_COUNT, KEYED_RPC_COUNT))
            growth_mb = anonymous_mb(program) - before_mb
            runs = engine.run_counts.total()
            # Duplicates of RPCs that ran are recognized, and no RPC runs whose duplicates would not be.
            self.send_keyed_rpcs(gateway, range(KEYED_RPC_COUNT))
            self.assertEqual(engine.run_counts.total(), runs)
        self.assertLess(growth_mb, MEMORY_MB * RESULT_MEMORY_FRACTION, answers)
        self.assertEqual(runs - BATCH_COUNT, answers["b'r'"])
        self.assertEqual(answers.total(), KEYED_RPC_COUNT - BATCH_COUNT)


if __name__ == "__main__":
    unittest.main()
