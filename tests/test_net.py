"""Tests parts of the server within the test process."""

import os
import socket
import struct
import time
import traceback
import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from landingshift.admission.interface import Idempotency, Outcome
from landingshift.net.program import config
from landingshift.net.program.log import EventLog
from landingshift.net.protocol import engine, gateway
from landingshift.net.protocol.lines import ProtocolError
from landingshift.net.protocol.message_scanner import MAX_ELEMENTS, MessageScanner, ScanState
from landingshift.net.routing.database_pool import DatabasePool
from landingshift.net.routing.dedup import ENTRY_BYTES, FULL_FRACTION, DedupTable
from landingshift.net.routing.engine_link import EngineLink
from landingshift.net.routing.health import HealthReporter
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.transport.loop import SLOW_PASS_MS, Loop
from landingshift.net.transport.slots import Slots
from tests.helpers import BLANK, METHOD


def routed_rpc(
    rpc_number: int, idempotency: Idempotency = Idempotency.IDEMPOTENT, dedup_key: str = "s"
) -> RoutedRpc:
    return RoutedRpc(
        **{**BLANK, "method": replace(METHOD, idempotency=idempotency)},
        rpc_id=b"%016x" % rpc_number,
        method_name=b"m",
        body=b"",
        connection=0,
        message_id=rpc_number,
        dedup_key=(b"m", dedup_key),
    )


class SlotsTest(unittest.TestCase):
    def test_reused_slot_gets_a_different_number(self) -> None:
        slots: Slots[str] = Slots()
        first = slots.put("a")
        slots.drop(first)
        second = slots.put("b")
        slots.drop(first)  # must not affect the new entry
        self.assertEqual(
            (slots.get(first), slots.get(second), len(slots), list(slots)), (None, "b", 1, ["b"])
        )


class LoopTimersTest(unittest.TestCase):
    def test_timers_fire_in_order_despite_exceptions_and_cancelled_ones_are_freed(self) -> None:
        faults: list[int] = []
        loop, fired = Loop(lambda: faults.append(1)), []
        for delay in (3.0, 1.0, 2.0):
            loop.after(delay, lambda delay=delay: fired.append(delay))  # type: ignore[misc]
        loop.after(0.5, lambda: 1 // 0)  # must not keep the others from firing
        cancelled = [loop.after(60000.0, lambda: fired.append(0.0)) for _ in range(1000)]
        for timer in cancelled:
            loop.cancel(timer)
        self.assertLess(len(loop.timers), 200)
        while len(fired) < 3:
            loop.run_pass()
        self.assertEqual((fired, faults), ([1.0, 2.0, 3.0], [1]))
        loop.selector.close()


class SlowPassTest(unittest.TestCase):
    def test_only_passes_that_take_long_after_the_wait_for_sockets_are_reported(self) -> None:
        durations_ms: list[float] = []
        loop = Loop(lambda: self.fail("a handler raised"))
        self.addCleanup(loop.selector.close)
        loop.on_slow_pass = durations_ms.append
        loop.after(1.5 * SLOW_PASS_MS, lambda: None)
        loop.run_pass()  # waits for the timer
        self.assertEqual(durations_ms, [])
        loop.after(0.0, lambda: time.sleep(1.5 * SLOW_PASS_MS / 1000.0))
        loop.run_pass()
        self.assertEqual(len(durations_ms), 1)
        self.assertGreater(durations_ms[0], SLOW_PASS_MS)


class DecodersTest(unittest.TestCase):
    def test_engine_lines_decode_the_same_at_once_and_byte_by_byte(self) -> None:
        run_ended = engine.RunEnded(7, b"aa", Outcome.OK, 1.5, b"a\r\nb")
        for data, messages in [
            (b"DONE 7 aa good 1.5 4\r\na\r\nb\r\n", [run_ended]),
            (b"DONE 7 aa bad 1.5 0\r\n\r\nNOTE 8 x y 99\r\n",
             [engine.RunEnded(7, b"aa", Outcome.ABORTED, 1.5, b""), engine.OtherNotice(8)]),
            (b"DONE 7 aa gone 0\r\nNO RUN aa\r\n",
             [engine.RunEnded(7, b"aa", Outcome.NOT_SENT, 0.0, b""), engine.CommandRefused(b"RUN", b"aa")]),
            (b"STATS t 1 2.5 3 4\r\nTESTED t bad\r\n",
             [engine.GaugeReport(b"t", [1, 2.5, 3, 4]), engine.SelfTestResult(b"t", False)]),
        ]:  # fmt: skip
            with self.subTest(data=data):
                at_once, piecewise = engine.NoticeDecoder(), engine.NoticeDecoder()
                self.assertEqual(list(at_once.feed(data)), messages)
                self.assertEqual([m for b in data for m in piecewise.feed(bytes([b]))], messages)
        for data in (
            b"DONE 7 aa good 1 3\r\nabcd\r\n",
            b"HELLO new\r\n",
            b"DONE -1 aa good 1 0\r\n",
            b"x" * 600,
        ):
            with self.subTest(data=data[:20]), self.assertRaises(ProtocolError):
                list(engine.NoticeDecoder().feed(data))

    def test_incomplete_gateway_message_is_limited_in_size(self) -> None:
        decoder = gateway.MessageDecoder()
        messages = decoder.feed(b"\x94\x00\x01\xa1m\xc6\x7f\xff\xff\xff")
        while not messages and len(decoder.buffer) < 1 << 20:
            messages = decoder.feed(bytes(1000))
        self.assertEqual(messages, [gateway.ProtocolFailure("oversized")])
        self.assertLess(len(decoder.buffer), 20000)

    def test_message_that_arrives_byte_by_byte_is_decoded_once(self) -> None:
        # Guards against a decoder that decodes all bytes again for each piece: hundreds of clients that
        # wrote slowly kept the process busy, and others got their answers late.
        message = gateway.pack([0, 1, "m", [{f"k{i}": "v" for i in range(60)}, bytes(2000)]])
        decoder = gateway.MessageDecoder()
        with mock.patch.object(gateway, "msgpack", wraps=gateway.msgpack) as msgpack:
            messages = [found for byte in message for found in decoder.feed(bytes([byte]))]
        self.assertEqual([found.message_id for found in messages], [1])  # type: ignore[union-attr]
        # Once for the first byte, in case it is a whole message, and once when the message is complete.
        self.assertEqual(msgpack.Unpacker.call_count + msgpack.unpackb.call_count, 2)

    def test_incomplete_message_with_very_many_elements_is_not_examined_to_its_end(self) -> None:
        # Guards against heads of very many short fields, whose decoding takes long for their size.
        decoder = gateway.MessageDecoder()
        head = b"\x94\x00\x01\xa1m\xdc\x00\x40" + (b"\xdc\x00\x40" + b"\xa1a" * 64) * 63
        with mock.patch.object(gateway, "msgpack", wraps=gateway.msgpack) as msgpack:
            messages = [
                found for start in range(0, len(head), 50) for found in decoder.feed(head[start : start + 50])
            ]
        self.assertEqual(messages, [])
        self.assertEqual(msgpack.Unpacker.call_count + msgpack.unpackb.call_count, 1)
        self.assertLessEqual(decoder.scanner.element_count, MAX_ELEMENTS)  # type: ignore[union-attr]

    @settings(max_examples=200)
    @given(
        st.recursive(
            st.none()
            | st.booleans()
            | st.integers(-(1 << 63), (1 << 64) - 1)
            | st.floats(allow_nan=False)
            | st.text(max_size=300)
            | st.binary(max_size=300),
            lambda values: (
                st.lists(values, max_size=20) | st.dictionaries(st.text(max_size=40), values, max_size=20)
            ),
            max_leaves=40,
        ),
        st.randoms(use_true_random=False),
    )
    def test_scanner_finds_the_end_of_any_message(self, value: Any, random: Any) -> None:
        data = gateway.pack(value)
        scanner = MessageScanner()
        for end in sorted(random.sample(range(len(data)), min(8, len(data)))):
            self.assertEqual(scanner.scan(data[:end]), ScanState.INCOMPLETE)
        self.assertEqual((scanner.scan(data + b"next"), scanner.position), (ScanState.COMPLETE, len(data)))


class DedupTableTest(unittest.TestCase):
    def test_full_table_drops_results_but_remembers_effects(self) -> None:
        # When memory is short, entries of idempotent RPCs are removed; others keep the fact that the RPC ran.
        for idempotency, is_known in [(Idempotency.IDEMPOTENT, False), (Idempotency.KEYED, True)]:
            with self.subTest(idempotency=idempotency):
                table = DedupTable(20 * (ENTRY_BYTES + 1000), response_cache_ttl_ms=60000.0)
                for i in range(100):
                    rpc = routed_rpc(i, idempotency, str(i))
                    table.reserve(rpc, 60000.0)
                    entry = table.owned_by(rpc)
                    assert entry is not None
                    table.complete(entry, Outcome.OK, bytes(1000), float(i))
                self.assertLess(
                    sum(len(e.result or b"") for e in table.entries.values()), 20 * (ENTRY_BYTES + 1000)
                )
                self.assertEqual(
                    table.find(routed_rpc(200, idempotency, "0"), 200.0, 200.0) is not None, is_known
                )
                self.assertIsNotNone(table.find(routed_rpc(200, idempotency, "99"), 200.0, 200.0))

    def test_entries_are_removed_once_no_duplicate_can_refer_to_them(self) -> None:
        # Guards against entries that stay until the table is full, so that its memory grows without end.
        table = DedupTable(1 << 30, response_cache_ttl_ms=60000.0, max_age_ms=1000.0)
        for i in range(1000):
            rpc = routed_rpc(i, Idempotency.KEYED, str(i))
            table.reserve(rpc, 10.0 * i + 500.0)
            entry = table.owned_by(rpc)
            assert entry is not None
            table.complete(entry, Outcome.OK, b"r", 10.0 * i)
            self.assertLessEqual(len(table.entries), 151)  # 1,500 ms of RPCs, and the newest

    def test_full_table_has_no_room_until_entries_expire(self) -> None:
        # Guards against a table that grows over its bound while all entries are within their windows.
        table = DedupTable(20 * (ENTRY_BYTES + 100), response_cache_ttl_ms=60000.0)
        count = 0
        while table.has_room((b"m", str(count)), 0.0, 0):
            rpc = routed_rpc(count, Idempotency.KEYED, str(count))
            table.reserve(rpc, 5000.0)
            entry = table.owned_by(rpc)
            assert entry is not None
            table.complete(entry, Outcome.OK, bytes(1000), 0.0)
            self.assertLessEqual(table.used_bytes, table.max_bytes)
            count += 1
        self.assertGreaterEqual(count, 20 * FULL_FRACTION)
        self.assertTrue(table.has_room((b"m", "0"), 0.0, 0))  # a duplicate needs no new entry
        self.assertTrue(table.has_room((b"m", str(count)), 5000.0, 0))
        self.assertFalse(table.has_room((b"m", str(count)), 5000.0, 1 << 20))  # records of the controller

    def test_results_are_evicted_before_a_new_entry_is_refused(self) -> None:
        # Guards against RPCs that are rejected while results fill the room beside the controller's records.
        table = DedupTable(100 * (ENTRY_BYTES + 1200), response_cache_ttl_ms=60000.0)
        for i in range(80):
            rpc = routed_rpc(i, Idempotency.KEYED, str(i))
            self.assertTrue(table.has_room((b"m", str(i)), 0.0, 0))
            table.reserve(rpc, 5000.0)
            entry = table.owned_by(rpc)
            assert entry is not None
            table.complete(entry, Outcome.OK, bytes(1000), 0.0)
        self.assertTrue(table.has_room((b"m", "new"), 0.0, 60))

    def test_entry_lifetime_depends_on_outcome_and_idempotency(self) -> None:
        for idempotency, outcome, now_ms, is_known in [
            (Idempotency.IDEMPOTENT, Outcome.OK, 600.0, True),
            (Idempotency.IDEMPOTENT, Outcome.OK, 800.0, False),
            (Idempotency.IDEMPOTENT, Outcome.ABORTED, 200.0, False),
            (Idempotency.KEYED, Outcome.ABORTED, 4000.0, True),
            (Idempotency.KEYED, Outcome.OK, 4000.0, True),
            (Idempotency.KEYED, Outcome.OK, 5001.0, False),
        ]:
            with self.subTest(idempotency=idempotency, outcome=outcome, now_ms=now_ms):
                table = DedupTable(10000, response_cache_ttl_ms=500.0)
                owner = routed_rpc(1, idempotency)
                table.reserve(owner, 5000.0)
                self.assertIsNotNone(table.find(routed_rpc(2, idempotency), 100.0, 100.0))
                entry = table.owned_by(owner)
                assert entry is not None
                table.complete(entry, outcome, b"r", 200.0)
                self.assertEqual(table.find(routed_rpc(3, idempotency), now_ms, now_ms) is not None, is_known)


class DatabasePoolTest(unittest.TestCase):
    def test_idle_link_is_closed_before_the_database_closes_it(self) -> None:
        # If the database closed a link while a call is sent on it, the server could not tell whether it ran.
        listener = socket.create_server(("127.0.0.1", 0))
        faults: list[str] = []
        loop = Loop(lambda: faults.append(traceback.format_exc()))
        finished_calls: list[Any] = []
        log_events: list[Any] = []
        database = DatabasePool(loop, listener.getsockname(), lambda *a, **_: log_events.append(a))
        database.start(mock.Mock(on_call_finished=lambda *facts: finished_calls.append(facts)))
        rpc = routed_rpc(1)
        with mock.patch("landingshift.net.routing.database_pool.MAX_IDLE_MS", 40.0):
            self.assertTrue(database.call(rpc, 1000.0))
            loop.run_pass()
            peer = listener.accept()[0]
            peer.settimeout(5.0)
            peer.sendall(b"%b ROWS 2\r\nok\r\n" % rpc.rpc_id)
            while not finished_calls or database.links:
                loop.run_pass()
            self.assertEqual(
                (finished_calls[0][0], finished_calls[0][1], finished_calls[0][3]), (rpc, Outcome.OK, b"ok")
            )
            self.assertTrue(peer.recv(100).startswith(b"Q " + rpc.rpc_id))
            self.assertEqual(peer.recv(100), b"")
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.close()  # with a reset, which causes no fault and no second log entry
            while loop.selector.get_map():
                loop.run_pass()
            self.assertTrue(database.call(rpc, 1000.0))  # on a new link
        self.assertEqual((log_events, faults), ([("database_link_ended",)], []))
        for link in database.links:
            assert link.stream
            link.stream.close("test")
        loop.selector.close()
        listener.close()


class HealthReporterTest(unittest.TestCase):
    def test_deep_check_runs_a_self_test_unless_the_controller_prevents_it(self) -> None:
        for is_working, is_healthy, is_shallow, is_deep, answer in [
            (True, True, False, True, "tested"), (True, True, True, True, True),
            (True, True, False, False, True), (True, False, False, True, False),
            (False, True, True, True, False), (False, True, True, False, True),
        ]:  # fmt: skip
            with self.subTest(working=is_working, healthy=is_healthy, shallow=is_shallow, deep=is_deep):
                link: Any = mock.Mock(spec=EngineLink, is_working=is_working)
                link.run_self_test.side_effect = lambda on_result: on_result("tested")
                health = HealthReporter(mock.Mock(spec=Loop), "n", mock.Mock(), link, True)
                health.set_health(is_healthy, is_shallow)
                answers: list[Any] = []
                health.check(is_deep, answers.append)
                self.assertEqual(answers, [answer])


class DecodeConfigTest(unittest.TestCase):
    def test_missing_keys_get_defaults_and_the_name_comes_from_the_environment(self) -> None:
        minimal = {
            "engine": "127.0.0.1:1", "roster": "127.0.0.1:2", "seed": "ff",
            "settings": {
                "classes": [{"name": "m", "effect": "fragile", "slo": 800, "give-up": 3000, "value": 1}],
                "extra": {"n-cores": 2, "memory-kb": 90000, "run-factor": 8},
                "rules": {"cold-from": 0.2, "cold": 9000, "drain-grace": 1000, "tip-multiple": 8},
            },
        }  # fmt: skip
        env = {"GW_NAME": "n3", "GW_LISTEN": "127.0.0.1:7001"}
        decoded = config.decode_config(minimal, env)
        self.assertEqual((decoded.name, decoded.listen, decoded.seed), ("n3", ("127.0.0.1", 7001), 255))
        self.assertEqual((decoded.stop_ms, decoded.memory_mb, decoded.max_sockets), (3000.0, 192.0, 1024))
        self.assertEqual(
            (
                decoded.database,
                decoded.gauge_names,
                decoded.tenants,
                list(decoded.methods),
            ),
            (None, [], {}, ["m"]),
        )
        self.assertEqual(config.decode_config({**minimal, "name": "n4"}, env).name, "n4")
        with self.assertRaisesRegex(config.ServerConfigError, "^listen: missing"):
            config.decode_config(minimal, {"GW_NAME": "n3"})


class EventLogTest(unittest.TestCase):
    def test_unread_log_never_blocks_and_counts_lost_events(self) -> None:
        read_fd, write_fd = os.pipe()
        log = EventLog(write_fd)
        for i in range(3000):
            log("mode", text="x" * 100, i=i)
        self.assertGreater(log.lost_count, 0)
        os.read(read_fd, 1 << 20)
        log("mode", text="y" * 9000)
        self.assertEqual(log.lost_count, 0)
        self.assertIn(b'"cut"', os.read(read_fd, 1 << 20))
        os.close(read_fd)
        os.close(write_fd)


if __name__ == "__main__":
    unittest.main()
