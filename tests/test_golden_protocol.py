"""Tests that messages are encoded to the same bytes and decoded to the same values as in an earlier build."""

from __future__ import annotations

import json
import os
import tempfile
import time
import unittest
from random import Random
from typing import Any
from unittest import mock

from msgspec import msgpack

from landingshift.coldstart import endpoint_list_client
from landingshift.membership import large_messages, wire
from landingshift.membership.large_messages import LargeMessageTransport
from landingshift.membership.messages import MemberRecord, MemberState
from landingshift.membership.node import SwimNode
from landingshift.membership.timings import SwimTimings
from landingshift.net.program import features
from landingshift.net.program.config import decode_config
from landingshift.net.protocol import database, engine, gateway, roster
from landingshift.net.routing.router import Router
from landingshift.net.transport.loop import Loop
from tests.golden_files import assert_golden_json, golden_json
from tests.helpers import CONFIG

RPC_ID = b"00000000000000ab"
FIELDS = {
    "id": "00000000000000ab",
    "at": "1796287000000.25",
    "from": "4",
    "tenant": "t",
    "wait": "2000",
    "kb": "10.5",
    "key": "k",
    "once": "o",
    "cost": "3.5",
    "retry": "1",
    "try-mark": "m7",
}


def unshared_address() -> str:
    """Returns an address that no other process uses, with a port below the ephemeral range.

    The service needs the same port for TCP and UDP. A port that the system assigns for TCP may be in use by
    another process for UDP.
    """
    process = os.getpid()
    return f"127.{200 + process % 50}.{process // 50 % 250}.1:{21_000 + process % 1000}"


def shape(value: Any) -> Any:
    """Returns the names and types in `value` without its values, which differ between runs."""
    match value:
        case dict():
            return {str(key): shape(each) for key, each in value.items()}
        case list() | tuple():
            return [shape(value[0])] if value else []
        case bool() | str() | bytes() | None:
            return type(value).__name__
    return "number"  # whether it is an int or a float may differ between runs


class GatewayMessagesTest(unittest.TestCase):
    def test_encoded_messages(self) -> None:
        headers = {"x-load": "0.5"}
        assert_golden_json(
            self,
            "gateway_written.json",
            {
                "ok": gateway.encode_ok(7, b"body", headers),
                "pushed back": gateway.encode_rejected(7, headers),
                "aborted": gateway.encode_aborted(7, headers),
                "health": gateway.encode_health(7, True, headers),
                "goaway": gateway.GOAWAY,
            },
        )

    def test_decoded_messages(self) -> None:
        data = gateway.pack([0, 9, "m", [FIELDS, b"body"]]) + gateway.pack([2, "giveUp", [9]])
        messages = gateway.MessageDecoder().feed(data + gateway.pack([2, "other", []]) + b"\xc1")
        fields = gateway.decode_fields(messages[0].params, "try-mark")  # type: ignore[union-attr]
        values = [getattr(fields, name) for name in type(fields).__slots__]
        rows: list[Any] = [[getattr(m, name) for name in type(m).__slots__] for m in messages]
        assert_golden_json(
            self,
            "gateway_read.json",
            {
                "data": data,
                "messages": rows,
                "fields": values,
                "deep": [
                    gateway.is_deep_health_check([{"deep": "1"}]),
                    gateway.is_deep_health_check([{}]),
                    gateway.is_deep_health_check([]),
                ],
            },
        )


class EngineAndDatabaseMessagesTest(unittest.TestCase):
    def test_encoded_messages(self) -> None:
        assert_golden_json(
            self,
            "engine_database_roster_written.json",
            {
                "attach": engine.encode_attach(3),
                "run": engine.encode_run(RPC_ID, b"m", b"body"),
                "feed": engine.encode_call_reply(RPC_ID, b"rows"),
                "skip": engine.encode_skip_call(RPC_ID, 5),
                "halt": engine.encode_halt(RPC_ID),
                "stat": engine.encode_gauge_query(b"s1"),
                "test": engine.encode_self_test(b"t1"),
                "query": database.encode_call(RPC_ID, 120.4, b"q"),
                "empty query": database.encode_call(RPC_ID, 0.0, b""),
                "give up": database.encode_cancel(RPC_ID),
                "on": roster.encode_presence("n3", True).decode(),
                "off": roster.encode_presence("n3", False).decode(),
            },
        )

    def test_decoded_messages(self) -> None:
        notices = b"".join(
            [
                b"HELLO new 0\r\nHELLO old 60000.5\r\nDONE 1 %b good 12.5 4\r\nbody\r\nDONE 2 %b bad 1\r\n"
                % (RPC_ID, RPC_ID),
                b"DONE 3 %b cut 2\r\nDONE 4 %b gone 0\r\nNEED 5 %b 3\r\nreq\r\nNEED 6 %b 0\r\n"
                % ((RPC_ID,) * 4),
                b"NOTE 7\r\nSTATS s1 0.2 1 0.1 3\r\nTESTED t1 good\r\nTESTED t2 bad\r\nNO SKIP %b x\r\n"
                % RPC_ID,
            ]
        )
        replies = b"".join(b"%b %b\r\n" % (RPC_ID, word) for word in (b"FULL", b"FAIL", b"TIMEOUT", b"NONE"))
        replies += RPC_ID + b" ROWS 4\r\nrows\r\n" + RPC_ID + b" ROWS 0\r\n\r\n"
        rows = [
            [getattr(m, name) for name in type(m).__slots__] for m in engine.NoticeDecoder().feed(notices)
        ]
        rows = [[getattr(value, "value", value) for value in row] for row in rows]
        reply_rows = [
            [reply.rpc_id, reply.outcome.value, reply.rows] for reply in database.ReplyDecoder().feed(replies)
        ]
        assert_golden_json(self, "engine_database_read.json", {"notices": rows, "replies": reply_rows})


class MembershipMessagesTest(unittest.TestCase):
    def test_each_kind_of_datagram_is_decoded_and_encoded_unchanged(self) -> None:
        payload_types = set()
        for name, data in golden_json("membership_datagrams.json").items():
            with self.subTest(name=name):
                if len(data) <= wire.MAX_DATAGRAM_BYTES:
                    message = wire.decode("golden", data)
                    payload_types.add(type(message.payload))
                    self.assertEqual(wire.encode("golden", message), data)
        self.assertEqual(payload_types, set(wire.WIRE_NAMES))

    def test_large_message_is_split_into_calls_and_reassembled(self) -> None:
        calls_sent: list[bytes] = []
        loop = Loop(lambda: None)
        node = SwimNode(
            MemberRecord("n1", "127.0.0.1", 7101, "z", 11, 0, 0, MemberState.ALIVE, "", {}),
            [],
            SwimTimings(),
            10,
            Random(5),
            0.0,
            lambda *_, **__: None,
        )
        peer = MemberRecord("n2", "127.0.0.1", 7102, "z", 12, 0, 0, MemberState.ALIVE, "", {})
        node.member_table.merge(peer, 0.0)
        operator_rpc = mock.Mock(handlers={}, listener=mock.Mock(address=("127.0.0.1", 7101)))
        transport = LargeMessageTransport(loop, node, operator_rpc, "golden")
        body = ["text", "c1", 3, bytes(range(256)) * 60]

        class RecordedTransfer:
            def __init__(self, loop: Any, to: Any, host: Any, calls: list[bytes], done: Any) -> None:
                calls_sent.extend(calls)

        with mock.patch.object(large_messages, "LargeMessageTransfer", RecordedTransfer):
            transport.send_to_member("n2", "policies", body)
        assert_golden_json(self, "membership_large_message.json", {"calls": calls_sent})
        received: list[Any] = []
        node.message_handlers["policies"] = lambda record, body: received.append((record.name, body))
        for data in calls_sent:
            *_, params = msgpack.decode(data)
            params[1:3] = [peer.name, peer.run_id]  # as if the peer had sent the parts
            self.assertTrue(operator_rpc.handlers["letter"](params))
        self.assertEqual(received, [("n2", body)])

    def test_endpoint_list_request(self) -> None:
        with mock.patch.object(endpoint_list_client, "connect") as connect:
            connect.return_value = mock.Mock(spec=endpoint_list_client.Stream)
            results: list[Any] = []
            request = endpoint_list_client.EndpointListRequest(
                Loop(lambda: None), ("127.0.0.1", 1), "golden", lambda *a: results.append(a)
            )
            request_bytes = connect.return_value.write.call_args.args[0]
        request.on_data(msgpack.encode((1, 1, None, [["10.0.0.1", 7101]])))
        assert_golden_json(self, "list_service.json", {"question": request_bytes, "told": results})


class OperatorCallsTest(unittest.TestCase):
    """Makes every operator call on one server, the only voter; the answers keep their names and types."""

    CALLS: tuple[tuple[str, list[Any]], ...] = (
        ("members", []),
        ("status", []),
        ("nothing", []),
        ("coldstart", []),
        ("lent", []),
        ("policy_status", []),
        ("policy_text", [0]),
        ("policy_text", [99]),
        ("policy_text", ["x"]),
        (
            "policy_do",
            ["c1", "propose", msgpack.encode({"methods": {"m": {"criticality": 2.0}}}), "me", "why"],
        ),
        ("policy_do", []),
        ("policy_do", ["c2", "gone", "n9"]),
        ("policy_known", ["c1"]),
        ("policy_known", []),
        ("policy_history", []),
        ("policy_trust", [5, b""]),
        ("policy_trust", []),
        ("policy_do", ["c3", "voters", "add", "n9"]),
        ("policy_do", ["c4", "find"]),
        ("policy_do", ["c5", "withdraw", "me", "why"]),
        ("upkeep_ask", [["n3", 1.0, 1.0, 0.0, 1e15, False, "g"]]),
        ("upkeep_ask", []),
        ("upkeep_ask", [["n3"]]),
        ("upkeep_hold", ["why"]),
        ("upkeep_hold", []),
        ("upkeep_status", []),
        ("upkeep_plan", []),
        ("upkeep_cancel", ["why", "n3"]),
        ("upkeep_history", []),
        ("upkeep_here", []),
        ("letter", []),
        ("letter", ["golden", "n9", 1, "policies", 1, 0, 1, b""]),
    )

    def test_answers_keep_names_and_types(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        toml = {
            "fleet": {"fleet": "golden", "listen": unshared_address()},
            "coldstart": {"servers": 1, "lenders": ["n3"], "calls_s": 10.0, "snapshot": f"{folder}/list"},
            "policies": {"voters": ["n3"], "journal": f"{folder}/journal"},
            "upkeep": {"capacity": 10.0, "mark": f"{folder}/mark"},
        }
        loop = Loop(lambda: self.fail("a handler raised an exception"))
        server_config = decode_config(json.loads(json.dumps(CONFIG)), {})
        router = Router(loop, server_config, lambda *_, **__: None)
        host = features.ServiceHost(router, lambda *_, **__: None)
        services = [feature.attach(host) for feature in features.decode_features(toml, "golden.toml")]
        membership: Any = host.services["fleet"]

        def answer(method: str, params: list[Any]) -> Any:
            return msgpack.decode(membership.operator_rpc.answer(7, method, params))

        deadline = time.monotonic() + 20.0
        while not answer("policy_status", [])[3].get("leads") and time.monotonic() < deadline:
            loop.after(20.0, lambda: None)
            loop.run_pass()
        answers: dict[str, Any] = {}
        for method, params in self.CALLS:
            message_type, number, error, result = answer(method, params)
            for _ in range(20):
                loop.after(2.0, lambda: None)
                loop.run_pass()
            if method == "upkeep_status":
                # Whether this server's own report is late depends on the load of the machine.
                self.assertLessEqual(set(result["lost"]), {"n3"})
                result["lost"] = []
            answers[f"{method} {json.dumps(params, default=repr)}"] = [
                message_type,
                number,
                error,
                shape(result),
            ]
        while services:
            services.pop().finish()
        answers["left on disk"] = sorted(os.listdir(folder))
        assert_golden_json(self, "operators_calls.json", answers)
