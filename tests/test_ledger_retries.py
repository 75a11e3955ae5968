"""Tests that a retry is billed once, whatever operators and restarts did since its first attempt."""

import tempfile
import unittest

from landingshift.ledger.audit import audit_store
from landingshift.ledger.recovery import FIRST_TAIL_ENTRIES
from landingshift.ledger.store import UsageStore
from landingshift.ledger.store_messages import ReportedUsage, UsageBatch
from landingshift.testbed import MEMORY
from tests.ledger_fixtures import usage

WINDOW_MS = 1000
HOUR_MS = 3_600_000
DAY = "1970-01-01"


class RetriesTest(unittest.TestCase):
    """A server's store, and commands that open the store again as a process of their own does."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory(dir=MEMORY)
        self.addCleanup(directory.cleanup)
        self.directory = directory.name
        self.server = self.open_store()
        self.server.start_run(b"1", 0)
        self.batch_number = 0

    def open_store(self) -> UsageStore:
        store = UsageStore(self.directory, "n1", "UTC", "day", WINDOW_MS, 100_000)
        self.addCleanup(store.close)
        return store

    def restart_server(self, at_ms: int) -> None:
        """Kills the server, which disputes its unsettled usage, and starts it again."""
        self.server.close()
        self.server = self.open_store()
        self.server.start_run(b"run at %d" % at_ms, at_ms)
        self.batch_number = 0

    def report(self, usages: list[ReportedUsage], delivered: list[int]) -> None:
        self.batch_number += 1
        with self.server.ledger_transaction() as ledger:
            ledger.apply_batch(UsageBatch(self.batch_number, usages, delivered, [], []), 0)

    def resolve(self, *billed: int, waived: tuple[int, ...] = ()) -> int:
        """Resolves disputed usage and returns how many uses are billed by it."""
        with self.open_store() as store, store.ledger_transaction() as ledger:
            disputed = dict(store.disputed())
            to_bill = {number: disputed[number] for number in billed}
            nearby = store.counted_near(to_bill.values())
            return ledger.resolve_disputes(to_bill, list(waived), nearby, "in the log", "operator", 0)

    def disputed_numbers(self) -> list[int]:
        return sorted(self.server.disputed_numbers())

    def require_uses(self, count: int) -> None:
        self.assertEqual(self.server.period_sum(DAY).uses, count)
        self.assertEqual(audit_store(self.server), [])

    # Guards against this fault: the ledger forgot usage that an operator billed.

    def test_retry_of_a_disputed_use_that_was_billed_is_a_duplicate(self) -> None:
        for restarts_after in (False, True):
            with self.subTest(restarts_after=restarts_after):
                self.setUp()
                self.report([usage(1, 100)], [])
                self.restart_server(200)
                self.assertEqual(self.resolve(*self.disputed_numbers()), 1)
                if restarts_after:
                    self.restart_server(300)
                self.report([usage(1, 400)], [1])
                self.require_uses(1)

    def test_retry_that_was_under_way_while_its_disputed_use_was_billed_is_a_duplicate(self) -> None:
        self.report([usage(1, 100)], [])
        self.restart_server(200)
        self.report([usage(1, 300)], [])
        self.resolve(*self.disputed_numbers())
        self.report([], [1])
        self.require_uses(1)

    def test_disputed_uses_of_one_attempt_that_two_commands_bill_count_once(self) -> None:
        for at_ms in (100, 300):
            self.report([usage(1, at_ms)], [])
            self.restart_server(at_ms + 100)
        first, second = self.disputed_numbers()
        self.report([usage(number, 20_000 + number, b"%016d" % number) for number in (1, 2)], [1, 2])
        self.assertEqual((self.resolve(first), self.resolve(second)), (1, 0))
        self.require_uses(3)

    def test_retry_of_a_waived_use_and_a_like_use_after_the_window_are_billed(self) -> None:
        self.report([usage(1, 100, b"a" * 16), usage(2, 100, b"b" * 16)], [])
        self.restart_server(200)
        first, second = self.disputed_numbers()
        self.resolve(first, waived=(second,))
        self.report([usage(1, 300, b"b" * 16), usage(2, 100 + WINDOW_MS, b"a" * 16)], [1, 2])
        self.require_uses(3)

    # Guards against this fault: the window that was read again reached back from the newest use alone.

    def test_retry_that_is_settled_late_is_a_duplicate_after_a_command_of_an_operator(self) -> None:
        later = [usage(number + 3, 2000, b"%016d" % number) for number in range(20)]
        later += [usage(number + 23, 5000, b"%016d" % number) for number in range(FIRST_TAIL_ENTRIES - 10)]
        self.report([usage(1, 100)], [1])
        self.report([usage(2, 900)], [])
        self.report(later, [reported.sequence for reported in later])
        self.resolve()
        self.report([], [2])
        self.require_uses(1 + len(later))

    # Guards against this fault: the window kept the last four times of an identity alone.

    def test_disputed_uses_of_a_frequent_attempt_are_duplicates_of_each_of_its_counted_uses(self) -> None:
        counted_times = range(0, 20 * WINDOW_MS, 2 * WINDOW_MS)
        for number, at_ms in enumerate(counted_times, 1):
            self.report([usage(2 * number, at_ms), usage(2 * number + 1, at_ms + 100)], [2 * number])
        self.restart_server(20 * WINDOW_MS)
        self.assertEqual(self.resolve(*self.disputed_numbers()), 0)
        self.require_uses(len(counted_times))

    def test_window_knows_each_time_of_a_frequent_attempt(self) -> None:
        counted_times = range(0, 20 * WINDOW_MS, 2 * WINDOW_MS)
        for number, at_ms in enumerate(counted_times, 1):
            self.report([usage(number, at_ms)], [number])
        self.report([usage(100, 100)], [100])  # the clock stepped back
        self.require_uses(len(counted_times))

    # Guards against this fault: `resolve` searched up to the first use with a much later time.

    def test_disputed_use_is_a_duplicate_of_a_retry_counted_around_a_step_of_the_clock(self) -> None:
        for step_ms in (HOUR_MS, -HOUR_MS):
            with self.subTest(step_ms=step_ms):
                self.setUp()
                self.report([usage(1, 2 * HOUR_MS)], [])
                self.restart_server(2 * HOUR_MS)
                self.report([usage(1, 2 * HOUR_MS + step_ms, b"x" * 16)], [1])
                self.report([usage(2, 2 * HOUR_MS + 10)], [2])
                self.report([usage(3, 2 * HOUR_MS + step_ms, b"y" * 16)], [3])
                self.assertEqual(self.resolve(*self.disputed_numbers()), 0)
                self.require_uses(3)


if __name__ == "__main__":
    unittest.main()
