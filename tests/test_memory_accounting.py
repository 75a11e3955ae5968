"""Tests that the memory which the admission controller accounts for is returned."""

import unittest
from unittest import mock

from tests.hot_restart_fixtures import RouterHarness


class MemoryAccountingTest(unittest.TestCase):
    def test_request_that_is_closed_after_a_fault_returns_its_accounted_memory(self) -> None:
        # Guards against memory that is accounted for ever, since a closed RPC drops its size.
        harness = RouterHarness(self)
        controller = harness.router.admission
        assert controller is not None
        before_kb = controller.state.memory_in_use_kb
        gateway = harness.connect_gateway()
        with mock.patch.object(controller.timer, "schedule_before_deadline", side_effect=RuntimeError):
            gateway.sendall(harness.request("m", b"body", wait="200", kb="50"))
            harness.run(100.0)
        self.assertEqual(len(harness.faults), 1)
        harness.run(600.0)
        self.assertEqual(controller.state.memory_in_use_kb, before_kb)


if __name__ == "__main__":
    unittest.main()
