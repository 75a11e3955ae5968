"""Cluster membership: the table, the node and its bytes, alone and as a cluster in virtual time."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from landingshift.membership import wire
from landingshift.membership.errors import InvalidDatagramError
from landingshift.membership.failure_detector import MAX_INDIRECT_PROBES
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
from landingshift.membership.node import REPLIES_PER_SECOND, SwimNode
from landingshift.membership.outbox import MAX_OUTBOX_MESSAGES
from landingshift.membership.timings import SwimTimings
from landingshift.testbed.simulation.virtual_time import Address, Host, World

CLUSTER = "f"
ETHERNET_PAYLOAD_BYTES = 1400
MAX_MEMBERS = 1000


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


class SimulatedCluster:
    """Nodes in virtual time.

    Attributes:
        log_lines: What they logged, as time, index of the node, event and fields.
    """

    def __init__(self, node_count: int, seed: int = 1, **world: Any) -> None:
        self.world = World(seed, **world)
        self.log_lines: list[tuple[float, int, str, dict[str, Any]]] = []
        self.nodes: dict[int, SwimNode] = {}
        self.hosts: dict[int, Host] = {}
        for index in range(node_count):
            self.start(index)

    def start(self, index: int, seed_count: int = 3, clock_offset_ms: float = 0.0) -> SwimNode:
        rng = Random(f"{self.world.chance.random()} {index}")
        local_record = record(index, run_id=rng.getrandbits(48))
        node = SwimNode(
            local_record,
            [address(seed) for seed in range(seed_count)],
            SwimTimings(),
            MAX_MEMBERS,
            rng,
            self.world.now + clock_offset_ms,
            self.logger(index),
        )
        self.nodes[index] = node
        self.hosts[index] = self.world.start(address(index), node, clock_offset_ms)
        return node

    def logger(self, index: int) -> Any:
        return lambda event, **fields: self.log_lines.append((self.world.now, index, event, fields))

    def run(self, duration_ms: float) -> None:
        self.world.run(self.world.now + duration_ms)

    def kill(self, *indexes: int) -> None:
        for index in indexes:
            self.world.kill(address(index))
            del self.nodes[index]

    def run_until_all_know(self, timeout_ms: float, *present: int) -> float:
        """Virtual ms until all know that just these are present; fails past the time-out."""
        started_at_ms = self.world.now
        while not self.all_know(*present):
            if self.world.now - started_at_ms > timeout_ms:
                raise AssertionError(f"not within {timeout_ms} ms")
            self.run(50.0)
        return self.world.now - started_at_ms

    def all_know(self, *present: int) -> bool:
        names = {f"n{index}" for index in present}
        return all(
            set(node.member_table.present_index) == names - {f"n{index}"}
            for index, node in self.nodes.items()
        )

    def declared_dead(self) -> set[str]:
        return {fields["name"] for _, _, event, fields in self.log_lines if event == "fleet_dead"}


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

    def test_digest_follows_each_change_of_the_table(self) -> None:
        table = empty_table()
        empty_checksums = list(table.digest.bucket_checksums)
        for index in range(20):
            table.merge(record(index), 0.0)
            table.merge(record(index, state=MemberState.DEAD), 10.0)
        table.forget_departed(100.0, 50.0)
        self.assertEqual(table.digest.bucket_checksums, empty_checksums)
        self.assertFalse(table.present_names or table.members or table.gossip.transmission_counts)

    def test_full_table_evicts_the_departed_first_and_then_refuses(self) -> None:
        table = empty_table(max_members=3)
        for index in range(3):
            table.merge(record(index), float(index))
        table.merge(record(1, state=MemberState.DEAD), 5.0)
        self.assertTrue(table.merge(record(7), 6.0))
        self.assertNotIn("n1", table.members)
        self.assertFalse(table.merge(record(8), 7.0))
        self.assertEqual(table.refused_record_count, 1)

    def test_suspicion_shrinks_with_each_confirmation(self) -> None:
        timeouts = [suspicion_timeout_ms(1000.0, 100, confirmations) for confirmations in range(6)]
        self.assertEqual(timeouts, sorted(timeouts, reverse=True))
        self.assertEqual((timeouts[0], timeouts[3], timeouts[5]), (8000.0, 2000.0, 2000.0))
        # A member that doubts itself waits, but not for ever.
        self.assertEqual(suspicion_timeout_ms(1000.0, 10, 5, 9.0), 2000.0)


class WireTest(unittest.TestCase):
    def test_decodes_what_it_has_encoded(self) -> None:
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

    def test_largest_datagram_fits_into_an_ethernet_frame(self) -> None:
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

    def test_rejects_invalid_datagrams_with_their_reason(self) -> None:
        good = wire.encode(CLUSTER, message(Ack()))

        def with_sender(**changes: Any) -> bytes:
            fields = {name: getattr(record(1), name) for name in record(1).__struct_fields__} | changes
            return msgspec.msgpack.encode([2, "ack", [CLUSTER, 9, list(fields.values()), [], []]])

        def with_body(kind: str, body: list[Any]) -> bytes:
            return msgspec.msgpack.encode([2, kind, [CLUSTER, 9, record(1), body, []]])

        too_many_figures = {f"f{index}": 1.0 for index in range(MAX_METADATA_COUNT + 1)}
        for data, reason in [
            (b"", "garbage"),
            (good[:-1], "garbage"),
            (good + b"\0", "garbage"),
            (b"\xc1" * 50, "garbage"),
            (b"\x91" * 4000, "garbage"),
            (good + bytes(5000), "oversized"),
            (good.replace(b"ack", b"act"), "bad_message"),
            (with_sender(name="a b"), "garbage"),
            (with_sender(port=0), "garbage"),
            (with_sender(host="example.org"), "garbage"),
            (with_sender(state=MemberState.DEAD), "bad_record"),
            (with_sender(metadata={"a": float("nan")}), "bad_record"),
            (with_sender(metadata=too_many_figures), "garbage"),
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


class PartAssemblerTest(unittest.TestCase):
    @staticmethod
    def part(index: int, count: int, content: bytes, number: int = 1) -> MessageFragment:
        return MessageFragment(CLUSTER, "n1", 7, "policies", number, index, count, content)

    def test_parts_in_any_order_give_the_whole_message(self) -> None:
        assembler = FragmentAssembler()
        self.assertIsNone(assembler.add(self.part(2, 3, b"c")))
        self.assertIsNone(assembler.add(self.part(0, 3, b"a")))
        self.assertIsNone(assembler.add(self.part(0, 3, b"a")))  # doubled
        self.assertEqual(assembler.add(self.part(1, 3, b"b")), b"abc")

    def test_rejects_parts_that_are_out_of_bounds(self) -> None:
        for fragment in (
            self.part(1, 1, b""),
            self.part(-1, 1, b""),
            self.part(0, 10_000, b""),
            self.part(0, 1, bytes(MAX_FRAGMENT_BYTES + 1)),
        ):
            with (
                self.subTest(fragment=fragment.fragment_index),
                self.assertRaisesRegex(ValueError, "no part of a letter"),
            ):
                FragmentAssembler().add(fragment)


class SimulatedClusterTest(unittest.TestCase):
    """Several members, with what the network and the machines do to them."""

    def formed_cluster(self, node_count: int, **world: Any) -> SimulatedCluster:
        cluster = SimulatedCluster(node_count, **world)
        cluster.run_until_all_know(10_000.0, *range(node_count))
        return cluster

    def test_members_find_each_other_and_learn_of_deaths(self) -> None:
        for loss in (0.0, 0.1):
            with self.subTest(loss=loss):
                cluster = self.formed_cluster(60, loss=loss)
                cluster.kill(7, 8)
                elapsed_ms = cluster.run_until_all_know(6_500.0, *range(7), *range(9, 60))
                self.assertGreater(elapsed_ms, 1000.0)  # not on a single lost datagram
                self.assertEqual(cluster.declared_dead(), {"n7", "n8"})

    def test_pauses_of_300_ms_are_no_deaths(self) -> None:
        cluster = self.formed_cluster(30)
        for turn in range(40):
            cluster.hosts[turn % 30].stop(300.0)
            cluster.run(700.0)
        self.assertEqual(cluster.declared_dead(), set())

    def test_slow_members_are_not_declared_dead_nor_declare_others_dead(self) -> None:
        # A full core takes hundreds of ms until it looks at a datagram.
        cluster = self.formed_cluster(30)
        for index in range(10):
            cluster.hosts[index].lag = 80.0
        cluster.run(60_000.0)
        self.assertEqual(cluster.declared_dead(), set())

    def test_member_paused_for_long_rejoins_and_declares_nobody_dead(self) -> None:
        cluster = self.formed_cluster(20)
        cluster.hosts[3].stop(15_000.0)
        cluster.run(14_000.0)
        self.assertEqual(cluster.declared_dead(), {"n3"})
        cluster.run_until_all_know(8_000.0, *range(20))
        self.assertEqual(cluster.declared_dead(), {"n3"})  # though all were silent to it for 15 s

    def test_restarted_member_is_told_from_its_earlier_process(self) -> None:
        for clock_offset_ms in (0.0, -3_600_000.0):  # its clock was stepped back meanwhile
            with self.subTest(clock_offset_ms=clock_offset_ms):
                cluster = self.formed_cluster(10)
                cluster.kill(4)
                cluster.run(200.0)  # long before its death is known
                run_id = cluster.start(4, clock_offset_ms=clock_offset_ms).local_record.run_id
                cluster.run_until_all_know(5_000.0, *range(10))
                cluster.run(6_000.0)
                self.assertTrue(cluster.all_know(*range(10)))
                known_run_ids = {
                    node.member_table.members["n4"].record.run_id
                    for index, node in cluster.nodes.items()
                    if index != 4
                }
                self.assertEqual(known_run_ids, {run_id})

    def test_partitioned_halves_rejoin(self) -> None:
        cluster = self.formed_cluster(20)
        half = {address(index) for index in range(10)}
        cluster.world.cut = lambda sender, receiver: (sender in half) != (receiver in half)
        cluster.run(20_000.0)
        self.assertEqual(
            set(cluster.nodes[0].member_table.present_index), {f"n{index}" for index in range(1, 10)}
        )
        cluster.world.cut = lambda sender, receiver: False
        cluster.run_until_all_know(15_000.0, *range(20))

    def test_link_cut_in_one_direction_is_no_death(self) -> None:
        cluster = self.formed_cluster(12)
        cluster.world.cut = lambda sender, receiver: (sender, receiver) == (address(1), address(2))
        cluster.run(30_000.0)
        self.assertEqual(cluster.declared_dead(), set())

    def test_member_that_sends_but_receives_nothing_does_not_empty_others_tables(self) -> None:
        cluster = self.formed_cluster(12)
        cluster.world.cut = lambda sender, receiver: receiver == address(5)
        cluster.run(20_000.0)
        for index, node in cluster.nodes.items():
            if index != 5:
                self.assertGreaterEqual(len(node.member_table.present_names), 10, f"n{index}")

    def test_member_that_leaves_is_not_declared_dead(self) -> None:
        cluster = self.formed_cluster(12)
        cluster.nodes[2].leave(cluster.world.now)
        cluster.hosts[2].turn()
        cluster.run(100.0)
        cluster.kill(2)
        remaining = [index for index in range(12) if index != 2]
        elapsed_ms = cluster.run_until_all_know(3_000.0, *remaining)
        self.assertLess(elapsed_ms, 2_000.0)
        self.assertEqual(cluster.declared_dead(), set())

    def test_two_members_with_one_name_are_logged(self) -> None:
        cluster = self.formed_cluster(6)
        other_record = record(50, name="n3", run_id=5)
        other = SwimNode(
            other_record,
            [address(0)],
            SwimTimings(),
            100,
            Random(9),
            cluster.world.now,
            cluster.logger(50),
        )
        cluster.world.start(address(50), other)
        cluster.run(20_000.0)
        self.assertIn("fleet_name_twice", {event for _, _, event, _ in cluster.log_lines})

    def test_message_rate_of_a_member_does_not_grow_with_the_cluster(self) -> None:
        rates = []
        for node_count in (30, 120):
            cluster = self.formed_cluster(node_count)
            cluster.run(20_000.0)
            messages_before = cluster.world.messages
            cluster.run(10_000.0)
            rates.append((cluster.world.messages - messages_before) / node_count / 10.0)
        self.assertLess(rates[1], 1.2 * rates[0])
        self.assertLess(rates[1], 8.0)

    def test_answers_a_flood_of_requests_within_bounds(self) -> None:
        node = SimulatedCluster(1).nodes[0]
        node.member_table.merge(record(1), 0.0)
        digest = TableDigestMessage((7,) * DIGEST_BUCKET_COUNT, True)
        node.take_outgoing()
        for number in range(20_000):
            node.on_message(message(digest, number), 10.0)
            node.on_message(message(PingRequest("10.0.0.9", 9, "n9"), number), 10.0)
        self.assertLessEqual(len(node.take_outgoing()), 26 * REPLIES_PER_SECOND)
        self.assertLessEqual(len(node.failure_detector.indirect_probes), MAX_INDIRECT_PROBES)
        for number in range(20_000):
            node.on_message(message(Ping(""), number), 10.0)
        self.assertLessEqual(len(node.outbox.pending), MAX_OUTBOX_MESSAGES)
