"""Tests clusters of simulated nodes under crashes, pauses, partitions, restarts and floods."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

from landingshift.membership.failure_detector import MAX_INDIRECT_PROBES
from landingshift.membership.messages import DIGEST_BUCKET_COUNT, Ping, PingRequest, TableDigestMessage
from landingshift.membership.node import REPLIES_PER_SECOND, SwimNode
from landingshift.membership.outbox import MAX_OUTBOX_MESSAGES
from landingshift.membership.timings import SwimTimings
from landingshift.testbed.simulation.virtual_time import SimulatedHost, SimulatedNetwork
from tests.test_membership import address, message, record

MAX_MEMBERS = 1000


class SimulatedCluster:
    """Nodes on a simulated network in virtual time.

    Attributes:
        log_entries: Log entries of all nodes, as time, node index, event and fields.
    """

    def __init__(self, node_count: int, seed: int = 1, **network_options: Any) -> None:
        self.network = SimulatedNetwork(seed, **network_options)
        self.log_entries: list[tuple[float, int, str, dict[str, Any]]] = []
        self.nodes: dict[int, SwimNode] = {}
        self.hosts: dict[int, SimulatedHost] = {}
        for index in range(node_count):
            self.start(index)

    def start(self, index: int, seed_count: int = 3, clock_offset_ms: float = 0.0) -> SwimNode:
        rng = Random(f"{self.network.rng.random()} {index}")
        local_record = record(index, run_id=rng.getrandbits(48))
        node = SwimNode(
            local_record,
            [address(seed) for seed in range(seed_count)],
            SwimTimings(),
            MAX_MEMBERS,
            rng,
            self.network.now_ms + clock_offset_ms,
            self.logger(index),
        )
        self.nodes[index] = node
        self.hosts[index] = self.network.start_host(address(index), node, clock_offset_ms)
        return node

    def logger(self, index: int) -> Any:
        return lambda event, **fields: self.log_entries.append((self.network.now_ms, index, event, fields))

    def run(self, duration_ms: float) -> None:
        self.network.run_until(self.network.now_ms + duration_ms)

    def kill(self, *indexes: int) -> None:
        for index in indexes:
            self.network.kill(address(index))
            del self.nodes[index]

    def run_until_converged(self, timeout_ms: float, *present: int) -> float:
        """Runs until each table holds exactly these members as present; returns the elapsed virtual ms."""
        started_at_ms = self.network.now_ms
        while not self.has_converged(*present):
            if self.network.now_ms - started_at_ms > timeout_ms:
                raise AssertionError(f"the member tables did not converge within {timeout_ms} ms")
            self.run(50.0)
        return self.network.now_ms - started_at_ms

    def has_converged(self, *present: int) -> bool:
        names = {f"n{index}" for index in present}
        return all(
            set(node.member_table.present_index) == names - {f"n{index}"}
            for index, node in self.nodes.items()
        )

    def declared_dead(self) -> set[str]:
        return {fields["name"] for _, _, event, fields in self.log_entries if event == "fleet_dead"}


class SimulatedClusterTest(unittest.TestCase):
    def formed_cluster(self, node_count: int, **network_options: Any) -> SimulatedCluster:
        cluster = SimulatedCluster(node_count, **network_options)
        cluster.run_until_converged(10_000.0, *range(node_count))
        return cluster

    def test_members_join_and_detect_crashes_despite_packet_loss(self) -> None:
        for loss in (0.0, 0.1):
            with self.subTest(loss=loss):
                cluster = self.formed_cluster(60, loss_probability=loss)
                cluster.kill(7, 8)
                elapsed_ms = cluster.run_until_converged(6_500.0, *range(7), *range(9, 60))
                self.assertGreater(elapsed_ms, 1000.0)  # one lost datagram must not suffice
                self.assertEqual(cluster.declared_dead(), {"n7", "n8"})

    def test_members_paused_for_300_ms_are_not_declared_dead(self) -> None:
        cluster = self.formed_cluster(30)
        for turn in range(40):
            cluster.hosts[turn % 30].pause(300.0)
            cluster.run(700.0)
        self.assertEqual(cluster.declared_dead(), set())

    def test_slow_members_are_not_declared_dead_and_declare_nobody_dead(self) -> None:
        # A process on a saturated core reads a datagram hundreds of ms late.
        cluster = self.formed_cluster(30)
        for index in range(10):
            cluster.hosts[index].mean_delay_ms = 80.0
        cluster.run(60_000.0)
        self.assertEqual(cluster.declared_dead(), set())

    def test_member_paused_for_long_rejoins_and_declares_nobody_dead(self) -> None:
        cluster = self.formed_cluster(20)
        cluster.hosts[3].pause(15_000.0)
        cluster.run(14_000.0)
        self.assertEqual(cluster.declared_dead(), {"n3"})
        cluster.run_until_converged(8_000.0, *range(20))
        self.assertEqual(cluster.declared_dead(), {"n3"})  # although it heard from nobody for 15 s

    def test_restarted_member_is_distinguished_from_its_earlier_process(self) -> None:
        for clock_offset_ms in (0.0, -3_600_000.0):  # in the second case its clock was set back by an hour
            with self.subTest(clock_offset_ms=clock_offset_ms):
                cluster = self.formed_cluster(10)
                cluster.kill(4)
                cluster.run(200.0)  # too short for its crash to be detected
                run_id = cluster.start(4, clock_offset_ms=clock_offset_ms).local_record.run_id
                cluster.run_until_converged(5_000.0, *range(10))
                cluster.run(6_000.0)
                self.assertTrue(cluster.has_converged(*range(10)))
                known_run_ids = {
                    node.member_table.members["n4"].record.run_id
                    for index, node in cluster.nodes.items()
                    if index != 4
                }
                self.assertEqual(known_run_ids, {run_id})

    def test_partitioned_halves_merge_when_the_partition_ends(self) -> None:
        cluster = self.formed_cluster(20)
        half = {address(index) for index in range(10)}
        cluster.network.is_cut = lambda sender, receiver: (sender in half) != (receiver in half)
        cluster.run(20_000.0)
        self.assertEqual(
            set(cluster.nodes[0].member_table.present_index), {f"n{index}" for index in range(1, 10)}
        )
        cluster.network.is_cut = lambda sender, receiver: False
        cluster.run_until_converged(15_000.0, *range(20))

    def test_link_cut_in_one_direction_causes_no_death(self) -> None:
        cluster = self.formed_cluster(12)
        cluster.network.is_cut = lambda sender, receiver: (sender, receiver) == (address(1), address(2))
        cluster.run(30_000.0)
        self.assertEqual(cluster.declared_dead(), set())

    def test_member_that_receives_nothing_does_not_remove_others_from_tables(self) -> None:
        cluster = self.formed_cluster(12)
        cluster.network.is_cut = lambda sender, receiver: receiver == address(5)
        cluster.run(20_000.0)
        for index, node in cluster.nodes.items():
            if index != 5:
                self.assertGreaterEqual(len(node.member_table.present_names), 10, f"n{index}")

    def test_member_that_leaves_is_not_declared_dead(self) -> None:
        cluster = self.formed_cluster(12)
        cluster.nodes[2].leave(cluster.network.now_ms)
        cluster.hosts[2].run_once()
        cluster.run(100.0)
        cluster.kill(2)
        remaining = [index for index in range(12) if index != 2]
        elapsed_ms = cluster.run_until_converged(3_000.0, *remaining)
        self.assertLess(elapsed_ms, 2_000.0)
        self.assertEqual(cluster.declared_dead(), set())

    def test_two_members_with_the_same_name_are_logged(self) -> None:
        cluster = self.formed_cluster(6)
        other_record = record(50, name="n3", run_id=5)
        other = SwimNode(
            other_record,
            [address(0)],
            SwimTimings(),
            100,
            Random(9),
            cluster.network.now_ms,
            cluster.logger(50),
        )
        cluster.network.start_host(address(50), other)
        cluster.run(20_000.0)
        self.assertIn("fleet_name_twice", {event for _, _, event, _ in cluster.log_entries})

    def test_message_rate_per_member_does_not_grow_with_the_cluster(self) -> None:
        rates = []
        for node_count in (30, 120):
            cluster = self.formed_cluster(node_count)
            cluster.run(20_000.0)
            messages_before = cluster.network.message_count
            cluster.run(10_000.0)
            rates.append((cluster.network.message_count - messages_before) / node_count / 10.0)
        self.assertLess(rates[1], 1.2 * rates[0])
        self.assertLess(rates[1], 8.0)

    def test_replies_to_a_flood_of_requests_are_bounded(self) -> None:
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
