"""Who is there: the table, the node and its bytes, alone and as a fleet in virtual time."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from landingshift.membership import wire
from landingshift.membership.local_health import suspicion_timeout_ms
from landingshift.membership.member_table import MemberTable
from landingshift.membership.messages import (
    DIGEST_BUCKET_COUNT,
    MAX_GOSSIP_RECORDS,
    MAX_METADATA_COUNT,
    MemberRecord,
    MemberState,
    Message,
    MessageKind,
)
from landingshift.membership.node import (
    MAX_INDIRECT_PROBES,
    MAX_OUTBOX_MESSAGES,
    REPLIES_PER_SECOND,
    SwimNode,
    SwimTimings,
)
from landingshift.testbed.simulation.virtual_time import Address, Host, World


def address(i: int) -> Address:
    return f"10.0.{i // 250}.{i % 250 + 1}", 7101


def record(i: int, **change: Any) -> MemberRecord:
    host, port = address(i)
    fields: dict[str, Any] = {
        "name": f"n{i}", "host": host, "port": port, "zone": f"z{i % 3}", "run_id": 7, "incarnation": 0,
        "metadata_version": 0, "state": MemberState.ALIVE, "reported_by": "", "metadata": {},
    }  # fmt: skip
    return MemberRecord(**fields | change)


class Fleet:
    """Nodes in virtual time; `lines` holds what they logged as (time, who, event, fields)."""

    def __init__(self, count: int, seed: int = 1, **world: Any) -> None:
        self.world = World(seed, **world)
        self.lines: list[tuple[float, int, str, dict[str, Any]]] = []
        self.nodes: dict[int, SwimNode] = {}
        self.hosts: dict[int, Host] = {}
        for i in range(count):
            self.start(i)

    def start(self, i: int, peers: int = 3, offset: float = 0.0) -> SwimNode:
        chance = Random(f"{self.world.chance.random()} {i}")
        me = record(i, run_id=chance.getrandbits(48))
        now = self.world.now + offset
        node = SwimNode(me, [address(j) for j in range(peers)], SwimTimings(), 1000, chance, now, self.log(i))
        self.nodes[i] = node
        self.hosts[i] = self.world.start(address(i), node, offset)
        return node

    def log(self, i: int) -> Any:
        return lambda event, **fields: self.lines.append((self.world.now, i, event, fields))

    def run(self, ms: float) -> None:
        self.world.run(self.world.now + ms)

    def kill(self, *which: int) -> None:
        for i in which:
            self.world.kill(address(i))
            del self.nodes[i]

    def until(self, ms: float, *present: int) -> float:
        """Virtual ms until all know that just these are present; fails past `ms`."""
        began = self.world.now
        while not self.all_know(*present):
            if self.world.now - began > ms:
                raise AssertionError(f"not within {ms} ms")
            self.run(50.0)
        return self.world.now - began

    def all_know(self, *names: int) -> bool:
        wanted = {f"n{i}" for i in names}
        return all(
            set(node.member_table.present_index) == wanted - {f"n{i}"} for i, node in self.nodes.items()
        )

    def dead(self) -> set[str]:
        return {fields["name"] for _, _, event, fields in self.lines if event == "fleet_dead"}


class Table(unittest.TestCase):
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
    def test_any_order_gives_the_same_table(self, facts: list[tuple[int, ...]], chance: Random) -> None:
        said = [
            record(i, run_id=r, incarnation=n, state=MemberState(s), metadata_version=v)
            for i, r, n, s, v in facts
        ]
        tables = []
        for _ in range(2):
            members = MemberTable(record(99), 100, lambda *_: None)
            for one in said:
                members.merge(one, 0.0)
            tables.append(members)
            said = list(said)
            chance.shuffle(said)
        first, second = ({n: m.record.precedence for n, m in t.members.items()} for t in tables)
        self.assertEqual(first, second)
        # Servers whose tables are alike must not send each other pages for ever.
        self.assertEqual(tables[0].bucket_checksums, tables[1].bucket_checksums)
        self.assertEqual(set(tables[0].present_names), set(tables[1].present_names))

    def test_sums_follow_the_table(self) -> None:
        members = MemberTable(record(99), 100, lambda *_: None)
        empty = list(members.bucket_checksums)
        for i in range(20):
            members.merge(record(i), 0.0)
            members.merge(record(i, state=MemberState.DEAD), 10.0)
        members.forget_departed(100.0, 50.0)
        self.assertEqual(members.bucket_checksums, empty)
        self.assertFalse(members.present_names or members.members or members.gossip_counts)

    def test_a_full_table_forgets_the_dead_first_and_refuses_then(self) -> None:
        members = MemberTable(record(99), 3, lambda *_: None)
        for i in range(3):
            members.merge(record(i), float(i))
        members.merge(record(1, state=MemberState.DEAD), 5.0)
        self.assertTrue(members.merge(record(7), 6.0))
        self.assertNotIn("n1", members.members)
        self.assertFalse(members.merge(record(8), 7.0))
        self.assertEqual(members.refused_record_count, 1)

    def test_a_suspicion_shrinks_with_those_who_share_it(self) -> None:
        lengths = [suspicion_timeout_ms(1000.0, 100, n) for n in range(6)]
        self.assertEqual(lengths, sorted(lengths, reverse=True))
        self.assertEqual((lengths[0], lengths[3], lengths[5]), (8000.0, 2000.0, 2000.0))
        self.assertEqual(
            suspicion_timeout_ms(1000.0, 10, 5, 9.0), 2000.0
        )  # a doubting server waits, but not for ever


class Bytes(unittest.TestCase):
    def test_there_and_back(self) -> None:
        for kind, body in [
            (MessageKind.PING, ["n2"]),
            (MessageKind.ACK, []),
            (MessageKind.ASK, ["10.0.0.1", 5, "n2"]),
            (MessageKind.SUMS, [*range(DIGEST_BUCKET_COUNT), 1]),
            (MessageKind.PACKAGE, ["cold", 1, 2.5]),
        ]:
            message = Message(
                kind, record(1, metadata={"warm": 0.5}), 9, body, [record(2, state=MemberState.DEAD)]
            )
            self.assertEqual(wire.decode("f", wire.encode("f", message)), message)

    def test_largest_datagram_fits_a_frame(self) -> None:
        big = record(
            1,
            name="n" * 32,
            zone="z" * 16,
            run_id=2**53,
            incarnation=2**53,
            metadata_version=2**53,
            reported_by="n" * 32,
            metadata={f"fact{i:04}": 0.1 for i in range(3)},
        )
        message = Message(MessageKind.PING, big, 2**53, ["n" * 32], [big] * MAX_GOSSIP_RECORDS)
        self.assertLess(len(wire.encode("f" * 64, message)), 1400)

    def test_nonsense_is_named(self) -> None:
        good = wire.encode("f", Message(MessageKind.ACK, record(1), 9, [], []))

        def with_sender(**change: Any) -> bytes:
            fields = {n: getattr(record(1), n) for n in record(1).__struct_fields__} | change
            return msgspec.msgpack.encode([2, "ack", ["f", 9, list(fields.values()), [], []]])

        for data, reason in [
            (b"", "garbage"), (good[:-1], "garbage"), (good + b"\0", "garbage"), (b"\xc1" * 50, "garbage"),
            (b"\x91" * 4000, "garbage"), (good + bytes(5000), "oversized"),
            (good.replace(b"ack", b"act"), "bad_message"), (with_sender(name="a b"), "garbage"),
            (with_sender(port=0), "garbage"), (with_sender(host="example.org"), "garbage"),
            (with_sender(state=MemberState.DEAD), "bad_record"),
            (with_sender(metadata={"a": float("nan")}), "bad_record"),
            (with_sender(metadata={f"f{i}": 1.0 for i in range(MAX_METADATA_COUNT + 1)}), "garbage"),
            (wire.encode("g", Message(MessageKind.ACK, record(1), 9, [], [])), "other_fleet"),
            (wire.encode("f", Message(MessageKind.PING, record(1), 9, [5], [])), "bad_body"),
            (wire.encode("f", Message(MessageKind.ASK, record(1), 9, ["10.0.0.1", 0, "n2"], [])), "bad_body"),
            (wire.encode("f", Message(MessageKind.SUMS, record(1), 9, [1], [])), "bad_body"),
        ]:  # fmt: skip
            with self.subTest(reason=reason, data=data[:40]), self.assertRaises(wire.Broken) as caught:
                wire.decode("f", data)
            self.assertEqual(str(caught.exception), reason)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.binary(max_size=300))
    def test_any_bytes_raise_nothing_else(self, data: bytes) -> None:
        with self.assertRaises(wire.Broken):
            wire.decode("f", data)


class Whole(unittest.TestCase):
    """Several servers, with what the network and the machines do to them."""

    def formed(self, count: int, **world: Any) -> Fleet:
        fleet = Fleet(count, **world)
        fleet.until(10_000.0, *range(count))
        return fleet

    def test_all_find_each_other_and_a_death_is_known(self) -> None:
        for loss in (0.0, 0.1):
            with self.subTest(loss=loss):
                fleet = self.formed(60, loss=loss)
                fleet.kill(7, 8)
                took = fleet.until(6_500.0, *range(7), *range(9, 60))
                self.assertGreater(took, 1000.0)  # not on a single lost datagram
                self.assertEqual(fleet.dead(), {"n7", "n8"})

    def test_a_stop_of_300_ms_is_no_death(self) -> None:
        fleet = self.formed(30)
        for turn in range(40):
            fleet.hosts[turn % 30].stop(300.0)
            fleet.run(700.0)
        self.assertEqual(fleet.dead(), set())

    def test_slow_servers_neither_die_nor_accuse(self) -> None:
        # A full core takes hundreds of ms until it looks at a datagram; both ways this must kill nobody.
        fleet = self.formed(30)
        for i in range(10):
            fleet.hosts[i].lag = 80.0
        fleet.run(60_000.0)
        self.assertEqual(fleet.dead(), set())

    def test_who_is_stopped_for_long_comes_back_by_itself_and_buries_nobody(self) -> None:
        fleet = self.formed(20)
        fleet.hosts[3].stop(15_000.0)
        fleet.run(14_000.0)
        self.assertEqual(fleet.dead(), {"n3"})
        fleet.until(8_000.0, *range(20))
        self.assertEqual(fleet.dead(), {"n3"})  # though all were silent to it for 15 s

    def test_a_restart_is_told_from_the_earlier_self(self) -> None:
        for offset in (0.0, -3_600_000.0):  # its clock was stepped back meanwhile
            with self.subTest(offset=offset):
                fleet = self.formed(10)
                fleet.kill(4)
                fleet.run(200.0)  # long before its death is known
                run = fleet.start(4, offset=offset).local_record.run_id
                fleet.until(5_000.0, *range(10))
                fleet.run(6_000.0)
                self.assertTrue(fleet.all_know(*range(10)))
                known = {n.member_table.members["n4"].record.run_id for i, n in fleet.nodes.items() if i != 4}
                self.assertEqual(known, {run})

    def test_halves_cut_apart_meet_again(self) -> None:
        fleet = self.formed(20)
        half = {address(i) for i in range(10)}
        fleet.world.cut = lambda a, b: (a in half) != (b in half)
        fleet.run(20_000.0)
        self.assertEqual(set(fleet.nodes[0].member_table.present_index), {f"n{i}" for i in range(1, 10)})
        fleet.world.cut = lambda a, b: False
        fleet.until(15_000.0, *range(20))

    def test_a_link_cut_one_way_kills_nobody(self) -> None:
        fleet = self.formed(12)
        fleet.world.cut = lambda a, b: (a, b) == (address(1), address(2))
        fleet.run(30_000.0)
        self.assertEqual(fleet.dead(), set())

    def test_who_can_send_but_not_hear_does_not_empty_the_table_of_others(self) -> None:
        fleet = self.formed(12)
        fleet.world.cut = lambda a, b: b == address(5)
        fleet.run(20_000.0)
        for i, node in fleet.nodes.items():
            if i != 5:
                self.assertGreaterEqual(len(node.member_table.present_names), 10, f"n{i}")

    def test_who_leaves_is_not_mourned(self) -> None:
        fleet = self.formed(12)
        fleet.nodes[2].leave(fleet.world.now)
        fleet.hosts[2].turn()
        fleet.run(100.0)
        fleet.kill(2)
        took = fleet.until(3_000.0, *(i for i in range(12) if i != 2))
        self.assertLess(took, 2_000.0)
        self.assertEqual(fleet.dead(), set())

    def test_two_servers_with_one_name_are_named(self) -> None:
        fleet = self.formed(6)
        other = record(50, name="n3", run_id=5)
        node = SwimNode(other, [address(0)], SwimTimings(), 100, Random(9), fleet.world.now, fleet.log(50))
        fleet.world.start(address(50), node)
        fleet.run(20_000.0)
        self.assertIn("fleet_name_twice", {event for _, _, event, _ in fleet.lines})

    def test_messages_stay_flat_with_size(self) -> None:
        rates = []
        for count in (30, 120):
            fleet = self.formed(count)
            fleet.run(20_000.0)
            before = fleet.world.messages
            fleet.run(10_000.0)
            rates.append((fleet.world.messages - before) / count / 10.0)
        self.assertLess(rates[1], 1.2 * rates[0])
        self.assertLess(rates[1], 8.0)

    def test_a_flood_of_asks_and_sums_is_answered_in_bounds(self) -> None:
        node = Fleet(1).nodes[0]
        node.member_table.merge(record(1), 0.0)
        sums = [7] * DIGEST_BUCKET_COUNT
        node.take_outgoing()
        for i in range(20_000):
            node.on_message(Message(MessageKind.SUMS, record(1), i, [*sums, 1], []), 10.0)
            node.on_message(Message(MessageKind.ASK, record(1), i, ["10.0.0.9", 9, "n9"], []), 10.0)
        self.assertLessEqual(len(node.take_outgoing()), 26 * REPLIES_PER_SECOND)
        self.assertLessEqual(len(node.indirect_probes), MAX_INDIRECT_PROBES)
        for i in range(20_000):
            node.on_message(Message(MessageKind.PING, record(1), i, [""], []), 10.0)
        self.assertLessEqual(len(node.outbox), MAX_OUTBOX_MESSAGES)
