"""Who is there: the table, the node and its bytes, alone and as a fleet in virtual time."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from landingshift.membership import wire
from landingshift.membership.health import suspicion
from landingshift.membership.members import Members
from landingshift.membership.messages import FACTS, NEWS, SUMS, Kind, Message, Record, State
from landingshift.membership.node import ANSWERS, ERRANDS, OUT, Node, Times
from landingshift.testbed.simulation.virtual_time import Address, Host, World


def address(i: int) -> Address:
    return f"10.0.{i // 250}.{i % 250 + 1}", 7101


def record(i: int, **change: Any) -> Record:
    host, port = address(i)
    fields: dict[str, Any] = {
        "name": f"n{i}", "host": host, "port": port, "zone": f"z{i % 3}", "run": 7, "incarnation": 0,
        "version": 0, "state": State.ALIVE, "by": "", "facts": {},
    }  # fmt: skip
    return Record(**fields | change)


class Fleet:
    """Nodes in virtual time; `lines` holds what they logged as (time, who, event, fields)."""

    def __init__(self, count: int, seed: int = 1, **world: Any) -> None:
        self.world = World(seed, **world)
        self.lines: list[tuple[float, int, str, dict[str, Any]]] = []
        self.nodes: dict[int, Node] = {}
        self.hosts: dict[int, Host] = {}
        for i in range(count):
            self.start(i)

    def start(self, i: int, peers: int = 3, offset: float = 0.0) -> Node:
        chance = Random(f"{self.world.chance.random()} {i}")
        me = record(i, run=chance.getrandbits(48))
        now = self.world.now + offset
        node = Node(me, [address(j) for j in range(peers)], Times(), 1000, chance, now, self.log(i))
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
        return all(set(node.members.place) == wanted - {f"n{i}"} for i, node in self.nodes.items())

    def dead(self) -> set[str]:
        return {fields["name"] for _, _, event, fields in self.lines if event == "fleet_dead"}


class Table(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 2), st.integers(0, 2), st.sampled_from(State),
                              st.integers(0, 2)), min_size=1, max_size=12), st.randoms())  # fmt: skip
    def test_any_order_gives_the_same_table(self, facts: list[tuple[int, ...]], chance: Random) -> None:
        said = [record(i, run=r, incarnation=n, state=State(s), version=v) for i, r, n, s, v in facts]
        tables = []
        for _ in range(2):
            members = Members(record(99), 100, lambda *_: None)
            for one in said:
                members.learn(one, 0.0)
            tables.append(members)
            said = list(said)
            chance.shuffle(said)
        first, second = ({n: m.record.rank for n, m in t.table.items()} for t in tables)
        self.assertEqual(first, second)
        # Servers whose tables are alike must not send each other pages for ever.
        self.assertEqual(tables[0].sums, tables[1].sums)
        self.assertEqual(set(tables[0].present), set(tables[1].present))

    def test_sums_follow_the_table(self) -> None:
        members = Members(record(99), 100, lambda *_: None)
        empty = list(members.sums)
        for i in range(20):
            members.learn(record(i), 0.0)
            members.learn(record(i, state=State.DEAD), 10.0)
        members.forget_gone(100.0, 50.0)
        self.assertEqual(members.sums, empty)
        self.assertFalse(members.present or members.table or members.spread)

    def test_a_full_table_forgets_the_dead_first_and_refuses_then(self) -> None:
        members = Members(record(99), 3, lambda *_: None)
        for i in range(3):
            members.learn(record(i), float(i))
        members.learn(record(1, state=State.DEAD), 5.0)
        self.assertTrue(members.learn(record(7), 6.0))
        self.assertNotIn("n1", members.table)
        self.assertFalse(members.learn(record(8), 7.0))
        self.assertEqual(members.refused, 1)

    def test_a_suspicion_shrinks_with_those_who_share_it(self) -> None:
        lengths = [suspicion(1000.0, 100, n) for n in range(6)]
        self.assertEqual(lengths, sorted(lengths, reverse=True))
        self.assertEqual((lengths[0], lengths[3], lengths[5]), (8000.0, 2000.0, 2000.0))
        self.assertEqual(suspicion(1000.0, 10, 5, 9.0), 2000.0)  # a doubting server waits, but not for ever


class Bytes(unittest.TestCase):
    def test_there_and_back(self) -> None:
        for kind, body in [(Kind.PING, ["n2"]), (Kind.ACK, []), (Kind.ASK, ["10.0.0.1", 5, "n2"]),
                           (Kind.SUMS, [*range(SUMS), 1]), (Kind.PACKAGE, ["cold", 1, 2.5])]:  # fmt: skip
            message = Message(kind, record(1, facts={"warm": 0.5}), 9, body, [record(2, state=State.DEAD)])
            self.assertEqual(wire.decode("f", wire.encode("f", message)), message)

    def test_largest_datagram_fits_a_frame(self) -> None:
        big = record(1, name="n" * 32, zone="z" * 16, run=2**53, incarnation=2**53, version=2**53,
                     by="n" * 32, facts={f"fact{i:04}": 0.1 for i in range(3)})  # fmt: skip
        message = Message(Kind.PING, big, 2**53, ["n" * 32], [big] * NEWS)
        self.assertLess(len(wire.encode("f" * 64, message)), 1400)

    def test_nonsense_is_named(self) -> None:
        good = wire.encode("f", Message(Kind.ACK, record(1), 9, [], []))

        def with_sender(**change: Any) -> bytes:
            fields = {n: getattr(record(1), n) for n in record(1).__struct_fields__} | change
            return msgspec.msgpack.encode([2, "ack", ["f", 9, list(fields.values()), [], []]])

        for data, reason in [
            (b"", "garbage"), (good[:-1], "garbage"), (good + b"\0", "garbage"), (b"\xc1" * 50, "garbage"),
            (b"\x91" * 4000, "garbage"), (good + bytes(5000), "oversized"),
            (good.replace(b"ack", b"act"), "bad_message"), (with_sender(name="a b"), "garbage"),
            (with_sender(port=0), "garbage"), (with_sender(host="example.org"), "garbage"),
            (with_sender(state=State.DEAD), "bad_record"),
            (with_sender(facts={"a": float("nan")}), "bad_record"),
            (with_sender(facts={f"f{i}": 1.0 for i in range(FACTS + 1)}), "garbage"),
            (wire.encode("g", Message(Kind.ACK, record(1), 9, [], [])), "other_fleet"),
            (wire.encode("f", Message(Kind.PING, record(1), 9, [5], [])), "bad_body"),
            (wire.encode("f", Message(Kind.ASK, record(1), 9, ["10.0.0.1", 0, "n2"], [])), "bad_body"),
            (wire.encode("f", Message(Kind.SUMS, record(1), 9, [1], [])), "bad_body"),
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
                run = fleet.start(4, offset=offset).me.run
                fleet.until(5_000.0, *range(10))
                fleet.run(6_000.0)
                self.assertTrue(fleet.all_know(*range(10)))
                known = {n.members.table["n4"].record.run for i, n in fleet.nodes.items() if i != 4}
                self.assertEqual(known, {run})

    def test_halves_cut_apart_meet_again(self) -> None:
        fleet = self.formed(20)
        half = {address(i) for i in range(10)}
        fleet.world.cut = lambda a, b: (a in half) != (b in half)
        fleet.run(20_000.0)
        self.assertEqual(set(fleet.nodes[0].members.place), {f"n{i}" for i in range(1, 10)})
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
                self.assertGreaterEqual(len(node.members.present), 10, f"n{i}")

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
        other = record(50, name="n3", run=5)
        node = Node(other, [address(0)], Times(), 100, Random(9), fleet.world.now, fleet.log(50))
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
        node.members.learn(record(1), 0.0)
        sums = [7] * SUMS
        node.take_out()
        for i in range(20_000):
            node.hear(Message(Kind.SUMS, record(1), i, [*sums, 1], []), 10.0)
            node.hear(Message(Kind.ASK, record(1), i, ["10.0.0.9", 9, "n9"], []), 10.0)
        self.assertLessEqual(len(node.take_out()), 26 * ANSWERS)
        self.assertLessEqual(len(node.errands), ERRANDS)
        for i in range(20_000):
            node.hear(Message(Kind.PING, record(1), i, [""], []), 10.0)
        self.assertLessEqual(len(node.out), OUT)
