"""Tests of the number of requests that one connection may have open."""

import time
import unittest

from landingshift.net.routing.gateway_connection import MAX_OPEN_RPCS, MAX_UNANSWERED_RPCS
from tests.helpers import GatewayClient, ProgramUnderTest

SHORT_WAIT_MS = 400


class OpenRequestsTest(unittest.TestCase):
    # Guards against a connection that is cut off since a request that the gateway has dropped counts as open.

    def setUp(self) -> None:
        self.program = ProgramUnderTest(self)
        self.gateway = GatewayClient(self.program)

    def send_open_rpcs(self, short_count: int) -> list[int]:
        """Sends as many requests as may be open, the first ones with little time; returns their ids."""
        with self.program.paused():
            for i in range(MAX_OPEN_RPCS):
                self.gateway.send_rpc(wait=str(SHORT_WAIT_MS if i < short_count else 3000))
            self.gateway.send_health_check()
        while self.gateway.read_message()[1] != self.gateway.last_message_id:
            pass  # all requests before the health check have been read
        return list(range(short_count + 1, MAX_OPEN_RPCS + 1))

    def send_more_once_the_short_ones_are_over(self, count: int) -> None:
        """Sends further requests; the program reads them before it answers those whose time is over."""
        with self.program.paused():
            time.sleep(SHORT_WAIT_MS / 1000.0)
            for _ in range(count):
                self.gateway.send_rpc()

    def final_answers(self, message_ids: list[int]) -> set[int]:
        """Returns the ids that are answered until the connection ends or each has its answer."""
        answered: set[int] = set()
        try:
            while not answered >= set(message_ids):
                answered.add(self.gateway.read_final_answer()[0])
        except (EOFError, ConnectionError, AssertionError):
            pass
        return answered

    def test_request_after_one_whose_time_is_over_is_accepted(self) -> None:
        for short_count in (1, MAX_OPEN_RPCS):
            with self.subTest(short_count=short_count):
                self.setUp()
                open_ids = self.send_open_rpcs(short_count)
                self.send_more_once_the_short_ones_are_over(short_count)
                expected = [*open_ids, *range(MAX_OPEN_RPCS + 2, MAX_OPEN_RPCS + 2 + short_count)]
                self.assertLessEqual(set(expected), self.final_answers(expected))

    def test_requests_past_the_open_ones_cut_an_unverified_connection_off(self) -> None:
        for short_count, more_count in [(0, 1), (1, 2), (MAX_OPEN_RPCS, MAX_OPEN_RPCS + 1)]:
            with self.subTest(short_count=short_count):
                self.setUp()
                self.send_open_rpcs(short_count)
                self.send_more_once_the_short_ones_are_over(more_count)
                event = self.program.wait_for_log("connection")
                self.assertEqual((event["reason"], event["fault"]), ("bad_rpc", "open"))
                self.assertLessEqual(event["rpcs"], MAX_UNANSWERED_RPCS + 1)


if __name__ == "__main__":
    unittest.main()
