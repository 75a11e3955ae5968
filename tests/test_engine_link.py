"""Tests the link to the engine: breaks, silence, and commands whose arrival is unknown after a break."""

from __future__ import annotations

import unittest
from dataclasses import replace
from itertools import product

from landingshift.admission.interface import Idempotency
from landingshift.net.routing.engine_commands import (
    EngineCommand,
    UnconfirmedCommands,
    feed_reply_command,
    skip_call_command,
    start_run_command,
)
from landingshift.net.routing.rpc_record import RoutedRpc
from tests.helpers import BLANK, METHOD, EngineStandIn, GatewayClient, ProgramUnderTest

RPC_ID = b"%016x" % 1
NOTICE_NUMBER = 7
SENT_BYTES = 100  # sent on the lost link
SKIP_DATA = b"SKIP %b %d\r\n" % (RPC_ID, NOTICE_NUMBER)
FEED_DATA = b"FEED %b 5\r\nreply\r\n" % RPC_ID


def routed_rpc(
    can_skip_call: bool = True, idempotency: Idempotency = Idempotency.IDEMPOTENT, is_answered: bool = False
) -> RoutedRpc:
    method = replace(METHOD, idempotency=idempotency, degraded_value_fraction=0.5 if can_skip_call else 0.0)
    return RoutedRpc(
        **{**BLANK, "method": method},
        rpc_id=RPC_ID,
        method_name=b"m",
        body=b"work",
        connection=0,
        message_id=1,
        dedup_key=None,
        is_answered=is_answered,
        call_notice_number=NOTICE_NUMBER,
    )


class EngineLinkTest(unittest.TestCase):
    def test_rpcs_are_rejected_until_the_engine_is_ready(self) -> None:
        program = ProgramUnderTest(self, engine=False)
        link = EngineStandIn(program, hello="")
        self.assertEqual(link.attach_command, ["ATTACH", "0"])
        gateway = GatewayClient(program)
        self.assertEqual(gateway.check_health()[0], True)
        self.assertEqual(gateway.check_health(deep="1")[0], False)  # the engine can't do work yet
        message_id = gateway.send_rpc()
        self.assertEqual(gateway.read_answer(), (message_id, "Busy"))
        link.send_notice("HELLO new 10")
        self.assertEqual(program.wait_for_log("engine_link")["cold"], True)
        message_id = gateway.send_rpc()
        link.expect_command("RUN", gateway.last_rpc_id)
        self.assertEqual(program.roster.recv(100), b"HERE n3 on")
        self.assertEqual(gateway.check_health(deep="1")[0], True)

    def test_runs_continue_after_the_engine_link_is_reconnected(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        message_ids = []
        for _ in range(3):
            message_ids.append(gateway.send_rpc())
            program.engine.expect_command("RUN", gateway.last_rpc_id)
        ended_id, calling_id, resent_id = message_ids
        program.engine.send_notice("NEED 1", f"{2:016x}", body=b"q")
        db = program.accept_database_link()
        self.assertEqual(db.read_line()[1], b"q")
        program.engine.sock.close()
        program.wait_for_log("engine_link_lost")
        during_outage = [gateway.send_rpc("once"), gateway.send_rpc("token", once="1"), gateway.send_rpc()]
        db.send(b"%016x ROWS 2\r\nok\r\n" % 2)
        self.assertEqual(gateway.check_health()[0], True)
        link = EngineStandIn(program)
        self.assertEqual(link.attach_command, ["ATTACH", "1"])
        link.send_notice("NEED 1", f"{2:016x}", body=b"q")  # repeated: must not cause a second call
        link.send_notice("DONE 2", f"{1:016x}", "good 7", body=b"while away")
        link.send_notice("NOTE 3 anything at all")
        link.send_notice("DONE 2", f"{1:016x}", "good 7", body=b"again")
        commands = [link.next_command() for _ in range(5)]
        # Commands for RPCs that may run again are resent; those that were issued during the outage follow.
        self.assertEqual(
            sorted((words[0], int(words[1], 16)) for words, _ in commands),
            [("FEED", 2), ("RUN", 3), ("RUN", 4), ("RUN", 5), ("RUN", 6)],
        )
        for notice_number, i in enumerate((2, 3, 4, 5, 6), 4):
            link.send_notice("DONE", notice_number, f"{i:016x}", "good 7", body=b"r")
        answers = [gateway.read_answer() for _ in range(6)]
        self.assertEqual(answers[0], (ended_id, b"while away"))
        self.assertEqual(sorted(answers[1:]), [(n, b"r") for n in (calling_id, resent_id, *during_outage)])

    def test_non_idempotent_run_that_may_have_happened_is_not_retried(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc("once", wait="900")
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.sock.close()
        link = EngineStandIn(program)
        # Sent only after the RPC is answered, to learn how the run ended.
        link.expect_command("RUN", gateway.last_rpc_id)
        self.assertEqual(gateway.read_answer(), (message_id, "Failed"))
        link.send_notice("DONE 1", gateway.last_rpc_id, "gone 0 0")
        other_id = gateway.send_rpc("once")
        link.expect_command("RUN", gateway.last_rpc_id)
        link.send_notice("DONE 2", gateway.last_rpc_id, "good 3", body=b"r")
        self.assertEqual(gateway.read_answer(), (other_id, b"r"))

    def test_silent_engine_link_is_closed_and_reconnected(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc(wait="9000")
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        self.assertEqual(program.wait_for_log("engine_link_lost")["reason"], "silent")
        link = EngineStandIn(program)
        link.send_notice("DONE 1", gateway.last_rpc_id, "good 3", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))

    def test_malformed_notice_closes_the_engine_link(self) -> None:
        program = ProgramUnderTest(self)
        for i, data in enumerate(
            [b"DONE x y\r\n", b"?" * 600, b"NEED 1 aa 99999999\r\n", b"DONE 1 a good x 0\r\n"]
        ):
            with self.subTest(data=data[:20]):
                program.engine.send(data)
                self.assertTrue(program.engine.is_closed_by_program())
                program.engine = EngineStandIn(program)
                self.assertEqual(program.engine.attach_command, ["ATTACH", "0"], i)


class UnconfirmedCommandsTest(unittest.TestCase):
    def resent_after_link_loss(self, command: EngineCommand, stream_end: int) -> list[bytes]:
        """Returns what is sent on a new link if the command ended at `stream_end` on the lost one."""
        self.commands = UnconfirmedCommands()
        command.stream_end = stream_end
        self.commands.add(command)
        self.commands.on_link_lost(SENT_BYTES)
        self.counts = self.commands.prepare_resend()
        return [command.data for command in self.commands.queue]

    def test_reply_in_doubt_is_not_resent(self) -> None:
        # Guards against a run that takes the reply to one call for the reply to its next call.
        for can_skip_call, idempotency, is_answered in product((True, False), Idempotency, (True, False)):
            with self.subTest(can_skip_call=can_skip_call, idempotency=idempotency, is_answered=is_answered):
                command = feed_reply_command(routed_rpc(can_skip_call, idempotency, is_answered), b"reply")
                resent = self.resent_after_link_loss(command, SENT_BYTES)
                self.assertEqual(resent, [SKIP_DATA] if can_skip_call else [])
                self.assertEqual((self.counts.open, self.counts.replies_in_doubt), (1, 1))

    def test_reply_that_cannot_have_arrived_is_resent(self) -> None:
        for stream_end in (-1, SENT_BYTES + 1):  # not written, written but not sent completely
            for can_skip_call in (True, False):
                with self.subTest(stream_end=stream_end, can_skip_call=can_skip_call):
                    command = feed_reply_command(routed_rpc(can_skip_call), b"reply")
                    self.assertEqual(self.resent_after_link_loss(command, stream_end), [FEED_DATA])
                    self.assertEqual(self.counts.replies_in_doubt, 0)

    def test_skip_that_replaced_a_reply_is_resent_after_a_second_link_loss(self) -> None:
        self.resent_after_link_loss(feed_reply_command(routed_rpc(), b"reply"), SENT_BYTES)
        for command in self.commands.queue:
            command.stream_end = SENT_BYTES
        self.commands.on_link_lost(SENT_BYTES)
        self.commands.prepare_resend()
        self.assertEqual([command.data for command in self.commands.queue], [SKIP_DATA])

    def test_skip_in_doubt_is_resent(self) -> None:
        resent = self.resent_after_link_loss(skip_call_command(routed_rpc()), SENT_BYTES)
        self.assertEqual(resent, [SKIP_DATA])

    def test_run_in_doubt_is_withheld_if_its_effect_must_not_happen_twice(self) -> None:
        for idempotency, is_answered in product(Idempotency, (True, False)):
            with self.subTest(idempotency=idempotency, is_answered=is_answered):
                command = start_run_command(routed_rpc(idempotency=idempotency, is_answered=is_answered))
                resent = self.resent_after_link_loss(command, SENT_BYTES)
                is_safe = is_answered or idempotency is Idempotency.IDEMPOTENT
                self.assertEqual(resent, [command.data] if is_safe else [])
                self.assertEqual(command.is_withheld, not is_safe)


class ReplyInDoubtTest(unittest.TestCase):
    """The engine link breaks after a reply to a database call was passed to a run."""

    def start(self, method: str, wait: str = "3000") -> None:
        """Starts an RPC whose run gets the reply to its first call, and then breaks the engine link."""
        self.program = ProgramUnderTest(self)
        self.gateway = GatewayClient(self.program)
        self.message_id = self.gateway.send_rpc(method, wait=wait, once=method if method == "token" else None)
        self.rpc_id = self.gateway.last_rpc_id
        self.program.engine.expect_command("RUN", self.rpc_id)
        self.assertEqual(self.make_call(self.program.engine, 1), b"reply 1")
        self.program.engine.sock.close()
        self.program.wait_for_log("engine_link_lost")

    def make_call(self, engine: EngineStandIn, number: int) -> bytes:
        """Has the run ask for a call, answers the call, and returns the reply that the engine receives."""
        engine.send_notice("NEED", number, self.rpc_id, body=b"call %d" % number)
        database = self.program.accept_database_link()
        self.assertEqual(database.read_line()[1], b"call %d" % number)
        database.send(b"%b ROWS 7\r\nreply %d\r\n" % (self.rpc_id.encode(), number))
        return engine.expect_command("FEED", self.rpc_id)

    def relink(self, *first_command: str) -> EngineStandIn:
        """Accepts the new link, on which no notice is missing, and checks the first command on it."""
        engine = EngineStandIn(self.program)
        self.assertEqual(engine.attach_command, ["ATTACH", "1"])
        engine.expect_command(*first_command)
        return engine

    def finish(self, engine: EngineStandIn, notice_number: int) -> None:
        engine.send_notice("DONE", notice_number, self.rpc_id, "good 5", body=b"result")
        self.assertEqual(self.gateway.read_answer(), (self.message_id, b"result"))

    def test_reply_is_not_taken_for_the_reply_to_the_next_call(self) -> None:
        # Guards against a run that takes the reply to one call for the reply to its next call: the engine has
        # received the reply, and the run asks for its next call after the engine has answered the first STAT.
        self.start("m")
        engine = self.relink("SKIP", self.rpc_id, "1")  # names the first call: no effect on the next one
        self.assertEqual(self.make_call(engine, 2), b"reply 2")
        self.finish(engine, 3)

    def test_reply_to_a_required_call_is_not_taken_for_the_reply_to_the_next_call(self) -> None:
        # The same for methods whose calls the engine does not allow to be skipped.
        for method in ("token", "once"):
            with self.subTest(method=method):
                self.start(method)
                other_gateway = GatewayClient(self.program)
                other_gateway.send_rpc()
                engine = self.relink("RUN", other_gateway.last_rpc_id)
                self.assertEqual(self.make_call(engine, 2), b"reply 2")
                self.finish(engine, 3)

    def test_run_continues_without_the_call_if_the_reply_was_lost(self) -> None:
        self.start("m")
        engine = self.relink("SKIP", self.rpc_id, "1")
        self.finish(engine, 2)

    def test_rpc_is_aborted_at_its_deadline_if_the_reply_to_a_required_call_was_lost(self) -> None:
        self.start("once", wait="900")
        other_gateway = GatewayClient(self.program)
        other_gateway.send_rpc()
        engine = self.relink("RUN", other_gateway.last_rpc_id)
        self.assertEqual(self.gateway.read_answer(), (self.message_id, "Failed"))
        engine.send_notice("DONE", 2, self.rpc_id, "cut 900 0")
        self.message_id = self.gateway.send_rpc("once")
        self.rpc_id = self.gateway.last_rpc_id
        engine.expect_command("RUN", self.rpc_id)  # nothing was sent for the first RPC after its answer
        self.finish(engine, 3)


if __name__ == "__main__":
    unittest.main()
