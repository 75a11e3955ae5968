"""Tests the member table, the encoding of datagrams and the reassembly of large messages."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from landingshift.membership import wire
from landingshift.membership.errors import InvalidDatagramError
from landingshift.membership.large_message_assembly import FragmentAssembler
from landingshift.membership.large_message_wire import MAX_FRAGMENT_BYTES, MessageFragment
from landingshift.membership.local_health import suspicion_timeout_ms
from landingshift.membership.member_table import MemberTable
from landingshift.membership.messages import (
    DIGEST_BUCKET_COUNT,
    MAX_GOSSIP_RECORDS,
    MAX_METADATA_COUNT,
    Ack,
    ApplicationPayload,
    MemberRecord,
    MemberState,
    Message,
    Payload,
    Ping,
    PingRequest,
    TableDigestMessage,
)
from landingshift.testbed.simulation.virtual_time import Address

CLUSTER = "f"
ETHERNET_PAYLOAD_BYTES = 1400


def address(index: int) -> Address:
    return f"10.0.{index // 250}.{index % 250 + 1}", 7101


def record(index: int, **changes: Any) -> MemberRecord:
    host, port = address(index)
    fields: dict[str, Any] = {
        "name": f"n{index}",
        "host": host,
        "port": port,
        "zone": f"z{index % 3}",
        "run_id": 7,
        "incarnation": 0,
        "metadata_version": 0,
        "state": MemberState.ALIVE,
        "reported_by": "",
        "metadata": {},
    }
    return MemberRecord(**fields | changes)


def message(payload: Payload, sequence_number: int = 9) -> Message:
    return Message(payload, record(1), sequence_number, [])


def empty_table(max_members: int = 100) -> MemberTable:
    return MemberTable(record(99), max_members, lambda *_: None)


class MemberTableTest(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 3),
                st.integers(0, 2),
                st.integers(0, 2),
                st.sampled_from(MemberState),
                st.integers(0, 2),
            ),
            min_size=1,
            max_size=12,
        ),
        st.randoms(),
    )
    def test_records_in_any_order_give_the_same_table(
        self, drawn: list[tuple[int, ...]], rng: Random
    ) -> None:
        records = [
            record(
                index, run_id=run, incarnation=incarnation, state=MemberState(state), metadata_version=version
            )
            for index, run, incarnation, state, version in drawn
        ]
        tables = []
        for _ in range(2):
            table = empty_table()
            for one in records:
                table.merge(one, 0.0)
            tables.append(table)
            records = list(records)
            rng.shuffle(records)
        first, second = (
            {name: member.record.precedence for name, member in table.members.items()} for table in tables
        )
        self.assertEqual(first, second)
        # Members whose tables are alike must not send each other pages for ever.
        self.assertEqual(tables[0].digest.bucket_checksums, tables[1].digest.bucket_checksums)
        self.assertEqual(set(tables[0].present_names), set(tables[1].present_names))

    def test_digest_is_empty_again_after_all_members_were_removed(self) -> None:
        table = empty_table()
        empty_checksums = list(table.digest.bucket_checksums)
        for index in range(20):
            table.merge(record(index), 0.0)
            table.merge(record(index, state=MemberState.DEAD), 10.0)
        table.forget_departed(100.0, 50.0)
        self.assertEqual(table.digest.bucket_checksums, empty_checksums)
        self.assertFalse(table.present_names or table.members or table.gossip.transmission_counts)

    def test_full_table_evicts_departed_members_and_then_rejects_new_ones(self) -> None:
        table = empty_table(max_members=3)
        for index in range(3):
            table.merge(record(index), float(index))
        table.merge(record(1, state=MemberState.DEAD), 5.0)
        self.assertTrue(table.merge(record(7), 6.0))
        self.assertNotIn("n1", table.members)
        self.assertFalse(table.merge(record(8), 7.0))
        self.assertEqual(table.rejected_record_count, 1)

    def test_each_confirmation_shortens_the_suspicion_timeout(self) -> None:
        timeouts = [suspicion_timeout_ms(1000.0, 100, confirmations) for confirmations in range(6)]
        self.assertEqual(timeouts, sorted(timeouts, reverse=True))
        self.assertEqual((timeouts[0], timeouts[3], timeouts[5]), (8000.0, 2000.0, 2000.0))
        # The local health multiplier lengthens the time-out only up to a limit.
        self.assertEqual(suspicion_timeout_ms(1000.0, 10, 5, 9.0), 2000.0)


class WireTest(unittest.TestCase):
    def test_decoding_restores_the_encoded_message(self) -> None:
        payloads: tuple[Payload, ...] = (
            Ping("n2"),
            Ack(),
            PingRequest("10.0.0.1", 5, "n2"),
            TableDigestMessage(tuple(range(DIGEST_BUCKET_COUNT)), True),
            ApplicationPayload("cold", [1, 2.5]),
        )
        for payload in payloads:
            sent = Message(payload, record(1, metadata={"warm": 0.5}), 9, [record(2, state=MemberState.DEAD)])
            self.assertEqual(wire.decode(CLUSTER, wire.encode(CLUSTER, sent)), sent)

    def test_largest_ping_fits_into_an_ethernet_frame(self) -> None:
        largest = record(
            1,
            name="n" * 32,
            zone="z" * 16,
            run_id=2**53,
            incarnation=2**53,
            metadata_version=2**53,
            reported_by="n" * 32,
            metadata={f"fact{index:04}": 0.1 for index in range(3)},
        )
        sent = Message(Ping("n" * 32), largest, 2**53, [largest] * MAX_GOSSIP_RECORDS)
        self.assertLess(len(wire.encode("f" * 64, sent)), ETHERNET_PAYLOAD_BYTES)

    def test_invalid_datagrams_are_rejected_with_a_reason(self) -> None:
        valid = wire.encode(CLUSTER, message(Ack()))

        def with_sender(**changes: Any) -> bytes:
            fields = {name: getattr(record(1), name) for name in record(1).__struct_fields__} | changes
            return msgspec.msgpack.encode([2, "ack", [CLUSTER, 9, list(fields.values()), [], []]])

        def with_body(kind: str, body: list[Any]) -> bytes:
            return msgspec.msgpack.encode([2, kind, [CLUSTER, 9, record(1), body, []]])

        too_many_entries = {f"f{index}": 1.0 for index in range(MAX_METADATA_COUNT + 1)}
        for data, reason in [
            (b"", "garbage"),
            (valid[:-1], "garbage"),
            (valid + b"\0", "garbage"),
            (b"\xc1" * 50, "garbage"),
            (b"\x91" * 4000, "garbage"),
            (valid + bytes(5000), "oversized"),
            (valid.replace(b"ack", b"act"), "bad_message"),
            (with_sender(name="a b"), "garbage"),
            (with_sender(port=0), "garbage"),
            (with_sender(host="example.org"), "garbage"),
            (with_sender(state=MemberState.DEAD), "bad_record"),
            (with_sender(metadata={"a": float("nan")}), "bad_record"),
            (with_sender(metadata=too_many_entries), "garbage"),
            (wire.encode("g", message(Ack())), "other_fleet"),
            (with_body("ping", [5]), "bad_body"),
            (with_body("ask", ["10.0.0.1", 0, "n2"]), "bad_body"),
            (with_body("sums", [1]), "bad_body"),
            (with_body("ack", [1]), "bad_body"),
            (with_body("package", [1]), "bad_body"),
        ]:
            with (
                self.subTest(reason=reason, data=data[:40]),
                self.assertRaises(InvalidDatagramError) as caught,
            ):
                wire.decode(CLUSTER, data)
            self.assertEqual(str(caught.exception), reason)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.binary(max_size=300))
    def test_any_bytes_raise_nothing_else(self, data: bytes) -> None:
        with self.assertRaises(InvalidDatagramError):
            wire.decode(CLUSTER, data)


class FragmentAssemblerTest(unittest.TestCase):
    @staticmethod
    def fragment(index: int, count: int, content: bytes, number: int = 1) -> MessageFragment:
        return MessageFragment(CLUSTER, "n1", 7, "policies", number, index, count, content)

    def test_fragments_in_any_order_give_the_whole_message(self) -> None:
        assembler = FragmentAssembler()
        self.assertIsNone(assembler.add(self.fragment(2, 3, b"c")))
        self.assertIsNone(assembler.add(self.fragment(0, 3, b"a")))
        self.assertIsNone(assembler.add(self.fragment(0, 3, b"a")))  # a duplicate
        self.assertEqual(assembler.add(self.fragment(1, 3, b"b")), b"abc")

    def test_out_of_bounds_fragments_are_rejected(self) -> None:
        for fragment in (
            self.fragment(1, 1, b""),
            self.fragment(-1, 1, b""),
            self.fragment(0, 10_000, b""),
            self.fragment(0, 1, bytes(MAX_FRAGMENT_BYTES + 1)),
        ):
            with (
                self.subTest(fragment=fragment.fragment_index),
                self.assertRaisesRegex(ValueError, "no part of a letter"),
            ):
                FragmentAssembler().add(fragment)
