"""Tests that the memory of the process stays bounded, whatever clients send."""

import unittest
from collections import Counter

from tests.helpers import GatewayClient, ProgramUnderTest
from tests.load_fixtures import RunningEngine, anonymous_mb

MEMORY_MB = 32
RESULT_MEMORY_FRACTION = 0.25  # of the memory limit, for cached results, as README.md states
OPEN_RPC_MEMORY_FRACTION = 0.25  # of the memory limit, for RPCs in flight, as README.md states
CLIENT_COUNT = 150
OPEN_RPC_COUNT = 32
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


class OpenRpcMemoryTest(unittest.TestCase):
    def test_memory_of_open_rpcs_stays_within_its_fraction_of_the_limit(self) -> None:
        # Guards against hundreds of clients with 32 open RPCs each, whose bodies fill the memory.
        program = ProgramUnderTest(self, limits={"memory_mb": MEMORY_MB, "sockets": 400})
        gateways = [GatewayClient(program) for _ in range(CLIENT_COUNT)]
        with RunningEngine(program):
            for gateway in gateways:
                gateway.send_rpc()
                self.assertEqual(gateway.read_final_answer()[1], b"r")
        before_mb = anonymous_mb(program)
        for gateway in gateways:
            for _ in range(OPEN_RPC_COUNT):
                gateway.send_rpc(body=bytes(2048), wait="9000", kb="0.001")
            gateway.send_health_check()
        busy_count = 0
        for gateway in gateways:  # the health check is answered after the RPCs before it have been read
            while (message := gateway.read_message())[1] != gateway.last_message_id:
                busy_count += message[2] is not None and message[2][0] == "Busy"
        growth_mb = anonymous_mb(program) - before_mb
        self.assertLess(growth_mb, MEMORY_MB * OPEN_RPC_MEMORY_FRACTION)
        self.assertGreater(busy_count, 0)
        self.assertLess(busy_count, CLIENT_COUNT * OPEN_RPC_COUNT * 0.9)


if __name__ == "__main__":
    unittest.main()
