"""Tests the calls to the database that runs ask for; the database loses, delays or corrupts replies."""

import time
import unittest

from tests.helpers import GatewayClient, ProgramUnderTest


class DatabaseCallsTest(unittest.TestCase):
    def test_database_replies_feed_the_run_and_failed_calls_are_retried(self) -> None:
        for reply, is_retried in [
            ("ROWS 3\r\na\r\n\r\n", False), ("ROWS 0\r\n\r\n", False), ("FULL\r\n", True), ("FAIL\r\n", True),
            ("TIMEOUT\r\n", True), ("NONE\r\n", True),
        ]:  # fmt: skip
            with self.subTest(reply=reply):
                # A new program for each reply: after earlier failures, calls would not be tried three times.
                program = ProgramUnderTest(self)
                gateway = GatewayClient(program)
                message_id = gateway.send_rpc()
                program.engine.expect_command("RUN", gateway.last_rpc_id)
                program.engine.send_notice("NEED", 1, gateway.last_rpc_id, body=b"q\r\n")
                # A retry uses another link, because a late reply to the first call may still arrive.
                links = [program.accept_database_link() for _ in range(3 if is_retried else 1)]
                for link in links:
                    words, body = link.read_line()
                    self.assertEqual((words[:2], body), (["Q", gateway.last_rpc_id], b"q\r\n"))
                    link.send(f"{gateway.last_rpc_id} {reply}".encode())
                    link.sock.close()
                if is_retried:
                    program.engine.expect_command("SKIP", gateway.last_rpc_id, "1")
                else:
                    self.assertEqual(
                        program.engine.expect_command("FEED", gateway.last_rpc_id),
                        reply.partition("\r\n")[2][:-2].encode(),
                    )
                program.engine.send_notice("DONE", 2, gateway.last_rpc_id, "good 5", body=b"r")
                self.assertEqual(gateway.read_answer(), (message_id, b"r"))

    def test_calls_on_a_lost_database_link_are_retried_if_idempotent(self) -> None:
        for is_refused in (False, True):
            with self.subTest(refused=is_refused):
                program = ProgramUnderTest(self)
                gateway = GatewayClient(program)
                if is_refused:
                    program.database_listener.close()
                for method in ("m", "once"):
                    message_id = gateway.send_rpc(method)
                    program.engine.expect_command("RUN", gateway.last_rpc_id)
                    program.engine.send_notice("NEED", 2 * program.rpc_count, gateway.last_rpc_id, body=b"q")
                    # A broken link does not prove that the call never ran: only idempotent calls are retried.
                    for _ in range(0 if is_refused else 3 if method == "m" else 1):
                        db = program.accept_database_link()
                        self.assertEqual(db.read_line()[0][:2], ["Q", gateway.last_rpc_id])
                        db.sock.close()
                    if method == "m":
                        program.engine.expect_command("SKIP", gateway.last_rpc_id)
                        program.engine.send_notice(
                            "DONE", 2 * program.rpc_count + 1, gateway.last_rpc_id, "good 5", body=b"r"
                        )
                    self.assertEqual(gateway.read_answer(), (message_id, b"r" if method == "m" else "Failed"))

    def test_call_without_reply_times_out(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        gateway.send_rpc("once", wait="2000")
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("NEED 1", gateway.last_rpc_id, body=b"q")
        db = program.accept_database_link()
        self.assertEqual(db.read_line()[0][:2], ["Q", gateway.last_rpc_id])
        self.assertTrue(db.is_closed_by_program())  # the server cancels the call
        self.assertEqual(gateway.read_answer()[1], "Failed")

    def test_malformed_reply_fails_only_its_own_call(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        notice_number = 0
        for reply in [
            b"%b ROWS 9\r\nok\r\n", b"%b ROWS 1\r\nok\r\n", b"%b ROWS 0\r\nok\r\n", b"%b ROWS -2\r\nok\r\n",
            b"%b ROWS 3000000000\r\n", b"%b ROWS 60000\r\nx", b"%b MAYBE\r\n", b"\x00\xff\r\n%b",
            b"%b " + b"x" * 600, b"%b ROWS", b"%b ROWS 2 2\r\nok\r\n",
        ]:  # fmt: skip
            with self.subTest(reply=reply[:20]):
                message_id, other_id = gateway.send_rpc("once"), gateway.send_rpc()
                rpc_ids = [program.engine.next_command()[0][1] for _ in range(2)]
                links = []
                for rpc_id in rpc_ids:
                    notice_number += 1
                    program.engine.send_notice("NEED", notice_number, rpc_id, body=b"q")
                    links.append(program.accept_database_link())
                    self.assertEqual(links[-1].read_line()[0][1], rpc_id)
                failed = rpc_ids.index(f"{program.rpc_count:016x}")
                start = time.monotonic()
                links[failed].send(reply.replace(b"%b", rpc_ids[failed].encode()))
                self.assertTrue(links[failed].is_closed_by_program())
                retry = program.accept_database_link()  # this method may retry the call
                self.assertEqual(retry.read_line()[0][:2], ["Q", rpc_ids[failed]])
                self.assertLess(time.monotonic() - start, 0.25)  # long before the timeout of the call
                # Replies are accepted despite an unknown reply before them and a copy after them.
                for db, rpc_id in ((links[1 - failed], rpc_ids[1 - failed]), (retry, rpc_ids[failed])):
                    unknown_reply = b"%b ROWS 1\r\n?\r\n" % (b"e" * 16)
                    db.send(unknown_reply + b"%b ROWS 2\r\nok\r\n" % rpc_id.encode() * 2)
                for _ in range(2):
                    words, body = program.engine.next_command()
                    self.assertEqual((words[0], body), ("FEED", b"ok"))
                for rpc_id in rpc_ids:
                    notice_number += 1
                    program.engine.send_notice("DONE", notice_number, rpc_id, "good 5", body=b"r")
                self.assertEqual(
                    sorted([gateway.read_answer(), gateway.read_answer()]),
                    [(message_id, b"r"), (other_id, b"r")],
                )
                links[1 - failed].sock.close()
                retry.sock.close()

    def test_late_reply_is_not_mistaken_for_that_of_the_retry(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        gateway.send_rpc()
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("NEED 1", gateway.last_rpc_id, body=b"q")
        first = program.accept_database_link()
        first.read_line()
        second = program.accept_database_link()  # the retry, on a link of its own
        self.assertEqual(second.read_line()[0][:2], ["Q", gateway.last_rpc_id])
        first.send(f"{gateway.last_rpc_id} ROWS 4\r\nlate\r\n".encode())
        second.send(f"{gateway.last_rpc_id} ROWS 3\r\nnew\r\n".encode())
        self.assertEqual(program.engine.expect_command("FEED", gateway.last_rpc_id), b"new")


if __name__ == "__main__":
    unittest.main()
