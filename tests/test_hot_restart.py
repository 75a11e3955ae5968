"""The plan of a handover, its carrier and its journal."""

import array
import contextlib
import os
import random
import select
import signal
import socket
import time
import traceback
import unittest
from dataclasses import replace
from itertools import product
from typing import Any

import msgpack as msgpack_
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import msgpack

from landingshift.admission.controller import ManagedRpc, RpcState
from landingshift.admission.interface import (
    DownstreamKind,
    Gauges,
    Idempotency,
    LoadAdvertisement,
    Method,
    Outcome,
    Rpc,
    Tenant,
)
from landingshift.hot_restart.carrier import HEAD, MOST, BadCarrier, Carrier, Frame
from landingshift.hot_restart.journal import Full, Journal, Kind
from landingshift.hot_restart.plan import (
    NEW_IN_CHARGE,
    OLD_IN_CHARGE,
    TABLE,
    Event,
    Limits,
    Order,
    Plan,
    Stage,
)
from landingshift.hot_restart.state import CannotMove, Giver, Taker
from landingshift.net.program.config import decode_config as read_site
from landingshift.net.routing.router import Router
from landingshift.net.transport.loop import Loop
from tests.helpers import CONFIG, Bench, Peer

WAY = [Event.ASKED, Event.READY, Event.REHEARSAL, Event.MOVE, Event.TOOK]


class Planning(unittest.TestCase):
    def at(self, stage: Stage) -> Plan:
        plan = Plan(Limits(), 0.0)
        for event in WAY:
            if plan.stage is stage:
                break
            plan.take(event, 0.0)
        self.assertIs(plan.stage, stage)
        return plan

    def test_a_good_one(self) -> None:
        plan = Plan(Limits(probation=1000.0, answers=10), 0.0)
        orders = [plan.take(event, i) for i, event in enumerate(WAY)]
        self.assertEqual(
            orders, [(Order.START,), (Order.REHEARSE,), (Order.FREEZE,), (), (Order.GO, Order.WATCH)]
        )
        for now, answers, said in [(400, 50, ()), (800, 60, ()), (1100, 70, (Order.GOODBYE,))]:
            self.assertEqual(plan.heard(answers, now), said)
        self.assertIs(plan.stage, Stage.SETTLED)

    def test_each_stage_has_its_time(self) -> None:
        for stage, ms, orders in [
            (Stage.OFFERED, 15_000, (Order.END_NEW,)), (Stage.REHEARSED, 5000, (Order.END_NEW,)),
            (Stage.FROZEN, 20, (Order.END_NEW, Order.THAW)), (Stage.MOVED, 20, (Order.END_NEW, Order.THAW)),
            (Stage.PROBATION, 500, (Order.END_NEW, Order.REPLAY)),
        ]:  # fmt: skip
            with self.subTest(stage=stage):
                plan = self.at(stage)
                self.assertEqual(plan.look(ms - 1), ())
                self.assertEqual(plan.look(ms), orders)
                self.assertIs(plan.stage, Stage.TAKEN_BACK)
                self.assertIn(stage.value, plan.why)

    def test_few_answers_prolong_probation_but_not_without_end(self) -> None:
        plan = self.at(Stage.PROBATION)
        for now in range(400, 20_000, 400):
            self.assertEqual(plan.heard(3, now), ())
        self.assertEqual(plan.heard(3, 20_000), (Order.GOODBYE,))

    def test_the_notice_to_leave_wins(self) -> None:
        for stage in (Stage.NONE, Stage.OFFERED, Stage.REHEARSED, Stage.FROZEN, Stage.MOVED):
            with self.subTest(stage=stage):
                plan = self.at(stage)
                self.assertEqual(plan.take(Event.LEAVE, 1.0)[-1], Order.DRAIN)
                self.assertEqual(plan.take(Event.LEAVE, 2.0), ())
                self.assertEqual(plan.take(Event.ASKED, 3.0), (Order.REFUSE,))
        plan = self.at(Stage.PROBATION)
        self.assertEqual(plan.take(Event.LEAVE, 1.0), (Order.PASS_ON,))
        # The new one had begun to drain and died: the old one goes on with that, with what the journal says.
        self.assertEqual(plan.take(Event.FAILED, 2.0), (Order.END_NEW, Order.REPLAY, Order.DRAIN))

    def test_a_second_upgrade_changes_nothing(self) -> None:
        for stage in (Stage.OFFERED, Stage.REHEARSED, Stage.FROZEN, Stage.MOVED, Stage.PROBATION):
            with self.subTest(stage=stage):
                plan = self.at(stage)
                self.assertEqual(plan.take(Event.ASKED, 1.0), (Order.REFUSE,))
                self.assertIs(plan.stage, stage)

    def test_no_step_lets_two_read_or_nobody_answer(self) -> None:
        for (before, event), (after, orders) in TABLE.items():
            with self.subTest(before=before, event=event):
                if before in NEW_IN_CHARGE and after in OLD_IN_CHARGE:
                    self.assertEqual(orders[:2], (Order.END_NEW, Order.REPLAY))
                if before in (Stage.FROZEN, Stage.MOVED) and after in OLD_IN_CHARGE:
                    self.assertEqual(orders[:2], (Order.END_NEW, Order.THAW))
                if after in NEW_IN_CHARGE and before not in NEW_IN_CHARGE:
                    self.assertEqual((before, orders[0]), (Stage.MOVED, Order.GO))

    @settings(max_examples=300)
    @given(st.lists(st.tuples(st.sampled_from(Event), st.floats(0.0, 600.0)), max_size=40))
    def test_whatever_happens_one_is_in_charge_or_time_ends_it(
        self, events: list[tuple[Event, float]]
    ) -> None:
        plan, now, frozen, new = Plan(Limits(), 0.0), 0.0, False, False
        for event, ms in events:
            now += ms
            for orders in (plan.look(now), plan.take(event, now)):
                for order in orders:
                    new = True if order is Order.START else False if order is Order.END_NEW else new
                    if order is Order.FREEZE:
                        frozen = True
                    if order in (Order.THAW, Order.REPLAY):
                        self.assertFalse(new)
                        frozen = False
                    self.assertFalse(order is Order.DRAIN and frozen)
            self.assertEqual(frozen, plan.stage not in OLD_IN_CHARGE)
            if plan.stage not in (*OLD_IN_CHARGE, Stage.SETTLED):
                self.assertLess(plan.until(now), float("inf"))

    def test_every_event_is_answered_in_every_stage(self) -> None:
        for stage, event in product(Stage, Event):
            plan = Plan(Limits(), 0.0)
            plan.stage = stage
            plan.take(event, 1.0)


class Carrying(unittest.TestCase):
    def pair(self, version: int = 1) -> tuple[Carrier, Carrier]:
        a, b = socket.socketpair()
        for sock in (a, b):
            sock.setblocking(False)
            self.addCleanup(sock.close)
        return Carrier(a, version), Carrier(b)

    def move(self, a: Carrier, b: Carrier, count: int) -> list[Frame]:
        found: list[Frame] = []
        while len(found) < count:
            a.flush()
            found += b.read()
        return found

    def test_descriptors_and_bodies_arrive_with_their_frames(self) -> None:
        a, b = self.pair()
        before = len(os.listdir("/proc/self/fd"))
        frames = []
        for i in range(5):
            fds = [os.memfd_create(f"{i}") for _ in range((0, 3, MOST, 1, 100)[i])]
            for j, fd in enumerate(fds):
                os.write(fd, b"%d %d" % (i, j))
            frames.append(Frame(i, random.Random(i).randbytes((0, 7, 300_000, 1, 1 << 20)[i]), fds))
            a.send(frames[-1])
        for sent, got in zip(frames, self.move(a, b, 5), strict=True):
            self.assertEqual((sent.kind, sent.body, len(sent.fds)), (got.kind, got.body, len(got.fds)))
            for j, fd in enumerate(got.fds):
                self.assertEqual(os.pread(fd, 20, 0), b"%d %d" % (sent.kind, j))
            for fd in (*sent.fds, *got.fds):
                os.close(fd)
        self.assertEqual(len(os.listdir("/proc/self/fd")), before)

    def test_what_is_no_frame_is_refused_and_leaves_nothing_open(self) -> None:
        before = len(os.listdir("/proc/self/fd"))
        for raw in [HEAD.pack(2, 1, 0, 0), HEAD.pack(1, 1, MOST + 1, 0), HEAD.pack(1, 1, 0, 1 << 31),
                    HEAD.pack(1, 1, 3, 0)]:  # fmt: skip
            with self.subTest(raw=raw):
                a, b = self.pair()
                rights = array.array("i", [0, 1])
                a.sock.sendmsg([raw], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, rights)])
                self.assertRaises(BadCarrier, b.read)
                b.close()
                a.close()
        self.assertEqual(len(os.listdir("/proc/self/fd")), before)

    def test_the_end(self) -> None:
        a, b = self.pair()
        a.close()
        self.assertRaises(EOFError, b.read)


class Journaling(unittest.TestCase):
    def test_the_guardian_reads_what_a_killed_writer_had_written(self) -> None:
        journal = Journal.make(1 << 20)
        self.addCleanup(journal.close)
        child = os.fork()
        if not child:
            for i in range(1000):
                journal.write(Kind.READ, i, b"x" * (i % 50))
            os.kill(os.getpid(), signal.SIGKILL)
        os.waitpid(child, 0)
        other = Journal(os.dup(journal.fd), 1 << 20, False)
        self.addCleanup(other.close)
        found = list(other.read())
        self.assertEqual(
            [(k, w, d) for _, k, w, d in found], [(Kind.READ, i, b"x" * (i % 50)) for i in range(1000)]
        )
        self.assertEqual(list(other.read(found[-1][0])), [])
        self.assertEqual([w for _, _, w, _ in other.read(found[499][0])], list(range(500, 1000)))

    def test_full_it_takes_no_more_and_keeps_what_it_has(self) -> None:
        journal = Journal.make(4096)
        self.addCleanup(journal.close)
        journal.write(Kind.ANSWERED, 1, bytes(3000))
        self.assertRaises(Full, journal.write, Kind.ANSWERED, 2, bytes(3000))
        journal.write(Kind.CLOSED, 3)
        self.assertEqual([(k, w) for _, k, w, _ in journal.read()], [(Kind.ANSWERED, 1), (Kind.CLOSED, 3)])

    def test_memory_that_is_no_journal_is_refused(self) -> None:
        for size, said in ((4096, "no journal"), (100, "4096 bytes")):
            fd = os.memfd_create("other")
            os.ftruncate(fd, 4096)
            with self.subTest(size=size), self.assertRaisesRegex(ValueError, said):
                Journal(fd, size, False)
            os.close(fd)

    @given(st.binary(min_size=40, max_size=400))
    def test_any_bytes_are_read_without_harm(self, data: bytes) -> None:
        journal = Journal.make(4096)
        journal.map[8 : 8 + len(data)] = data
        for _, kind, _, _ in journal.read():
            self.assertIn(kind, Kind)
        journal.close()


class Deciding(unittest.TestCase):
    """A server that took over decides as the old one would have: the same events are played into both."""

    CALLS = Method(Idempotency.IDEMPOTENT, 1000.0, 0.0, 3000.0, 1.0, 0.0, 5000.0, True, 0.5)
    TOKEN = Method(Idempotency.KEYED, 800.0, 0.0, 2000.0, 3.0, 1.0, 1500.0, True, 0.0)
    TENANT = Tenant(20.0)

    def bench(self) -> Bench:
        return Bench(
            self.CALLS,
            self.TOKEN,
            tenants=[self.TENANT],
            downstream=DownstreamKind.SHARED_STORE,
            downstream_concurrency_quota=1.0,
            downstream_quota_window_ms=2000.0,
            load_advertisement=LoadAdvertisement.CREDIT,
            starts_cold=True,
            memory_kb=9000.0,
            response_cache_ttl_ms=500.0,
        )

    def events(self, chance: random.Random, count: int) -> list[tuple[str, Any]]:
        weights = {"read": 8, "tick": 6, "ended": 3, "wants_call": 6, "call_done": 3, "hangup": 1}
        names = chance.choices(list(weights), list(weights.values()), k=count)
        return [(name, chance.random()) for name in names]

    def play(self, bench: Bench, jobs: list[ManagedRpc], events: list[tuple[str, float]]) -> list[Any]:
        done: list[Any] = []
        number = {job.rpc: i for i, job in enumerate(jobs)}
        for name, x in events:
            bench.did.clear()
            server, fit = (
                bench.server,
                {"wants_call": RpcState.RUNNING, "call_done": RpcState.CALLING}.get(name),
            )
            live = [j for j in jobs if j.state is not None and j.state is (fit or j.state)]
            if name == "read":
                jobs.append(
                    bench.read(
                        method=self.CALLS if x < 0.7 else self.TOKEN,
                        tenant=self.TENANT,
                        remaining_ms=200 + 2800 * x,
                        caller_id=int(x * 5),
                        memory_kb=5 + 90 * x,
                        has_cache_key=x < 0.3,
                        waited_ms=x * 50,
                    )
                )
                number[jobs[-1].rpc] = len(jobs) - 1
            elif name == "tick":
                server.now_ms += x * 60
                if server.now_ms >= server.next_check_ms - 1.0:
                    server.on_timer(Gauges(0.5 + x / 2, 2 + 8 * x, 30.0))
            elif live:
                job = live[int(x * len(live))]
                if name == "ended" and job.state in (
                    RpcState.RUNNING,
                    RpcState.ABORTED,
                    RpcState.ABANDONED,
                    RpcState.CALLING,
                ):
                    server.on_run_finished(job, Outcome.OK if x < 0.9 else Outcome.ABORTED, 20 + 100 * x)
                elif name == "wants_call":
                    server.on_call_needed(job)
                elif name == "call_done":
                    outcomes = [Outcome.OK, Outcome.OK, Outcome.NO_RESPONSE, Outcome.REJECTED]
                    server.on_call_finished(job, outcomes[int(x * 4)], 10 + 80 * x)
                elif name == "hangup":
                    server.on_caller_gone(job)
            server.settle()
            done.append(
                [(d[0], *(number.get(v, v) if isinstance(v, Rpc) else v for v in d[1:])) for d in bench.did]
            )
        return done

    def test_the_same_events_give_the_same_decisions(self) -> None:
        places = set()
        for seed in range(25):
            chance = random.Random(seed)
            old, jobs = self.bench(), list[ManagedRpc]()
            self.play(old, jobs, self.events(chance, 400))
            if seed % 5 == 4:
                old.server.start_draining(1000.0)
            given, order = old.server.export_state()
            given = msgpack.decode(msgpack.encode(given))
            new = self.bench()
            new.server.now_ms = old.server.now_ms
            taken = dict(zip(order, new.server.import_state(given, [j.rpc for j in order]), strict=True))
            places |= {job.state for job in order}
            heirs = [taken.get(job, job) for job in jobs]
            events = self.events(chance, 300)
            with self.subTest(seed=seed):
                self.assertEqual(self.play(new, heirs, events), self.play(old, jobs, events))
                self.assertEqual(old.server.export_state()[0], new.server.export_state()[0])
        self.assertGreaterEqual(
            places,
            {
                RpcState.QUEUED,
                RpcState.RUNNING,
                RpcState.AWAITING_CALL_SLOT,
                RpcState.CALLING,
                RpcState.ABORTED,
                None,
            },
        )

    def test_what_another_build_does_not_know_stays_as_it_is(self) -> None:
        old, new = self.bench(), self.bench()
        given, _ = old.server.export_state()
        given["plain"]["of the next build"] = 1
        given["rings"].pop("stretch")
        given["rings"]["of the next build"] = [0, 0, [], []]
        given["rings"]["pushed"] = [0, 0, [[]], [0.0]]
        new.server.import_state(given, [])
        self.assertFalse(hasattr(new.server, "of the next build"))
        self.assertEqual(new.server.pushed.count, len(new.server.pushed.buckets))


class Moving(unittest.TestCase):
    """A router made from another's state and descriptors, in one process; the peers notice nothing."""

    def setUp(self) -> None:
        self.doors = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        self.roster = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.roster.bind(("127.0.0.1", 0))
        for sock in (*self.doors, self.roster):
            sock.settimeout(5.0)
            self.addCleanup(sock.close)
        at = "{}:{}".format
        places = [at(*s.getsockname()) for s in (*self.doors, self.roster)]
        change = dict(zip(("engine", "db", "roster"), places, strict=True))
        self.site = read_site(CONFIG | change, {})
        self.faults: list[str] = []
        self.loop = self.new_loop()
        self.router = Router(self.loop, self.site, self.log)
        self.addCleanup(lambda: self.hang_up(self.router))
        self.wait_for(self.doors[0])
        self.engine = self.peer(self.doors[0].accept()[0])
        self.wait_for(self.engine)
        self.assertEqual(self.engine.read_line()[0], ["ATTACH", "0"])
        self.engine.send(b"HELLO old 60000\r\n")
        self.wait_for(self.engine)
        self.assertEqual(self.engine.read_line()[0], ["STAT", "s1"])
        self.engine.send(b"STATS s1 0.2 1 0.1 3\r\n")
        self.pump()
        self.unpacker = msgpack_.Unpacker()
        self.ids = 0

    def log(self, event: str, **fields: Any) -> None:
        if event in ("fault", "engine_no", "notices_missing"):
            self.faults.append(f"{event} {fields}")

    def new_loop(self) -> Loop:
        return Loop(lambda: self.faults.append(traceback.format_exc()))

    def peer(self, sock: socket.socket) -> Peer:
        peer = Peer.__new__(Peer)
        peer.sock, peer.buffer = sock, b""
        sock.settimeout(5.0)
        self.addCleanup(sock.close)
        return peer

    def pump(self, ms: float = 15.0) -> None:
        end = self.loop.clock_ms() + ms
        self.loop.after(ms, lambda: None)
        while self.loop.clock_ms() < end:
            self.loop.run_pass()

    def wait_for(self, there: socket.socket | Peer) -> None:
        """Lets the router go on until something has come."""
        sock, buffer = (there.sock, there.buffer) if isinstance(there, Peer) else (there, b"")
        for _ in range(1000):
            if b"\r\n" in buffer or select.select([sock], [], [], 0.0)[0]:
                return
            self.pump(5.0)

    def gateway(self) -> socket.socket:
        sock = socket.create_connection(self.router.gateways.listener.address)
        sock.settimeout(5.0)
        self.addCleanup(sock.close)
        return sock

    def rpc(self, method: str, body: bytes, **fields: str) -> bytes:
        self.ids += 1
        told = {"id": f"{self.ids:016x}", "at": str(int(time.time() * 1000)), "from": "4", "tenant": "t",
                "wait": "2000", "kb": "10", **fields}  # fmt: skip
        return bytes(msgpack_.packb([0, self.ids, method, [told, body]]))

    def command(self) -> tuple[list[str], bytes]:
        for _ in range(50):
            self.pump(5.0)
            self.wait_for(self.engine)
            words, body = self.engine.read_line()
            if words[0] != "STAT":
                return words, body
            self.engine.send(f"STATS {words[1]} 0.2 1 0.1 3\r\n".encode())
        raise TimeoutError

    def answers(self, sock: socket.socket, count: int) -> dict[int, Any]:
        found: dict[int, Any] = {}
        sock.settimeout(0.02)
        for _ in range(100):
            self.pump(5.0)
            with contextlib.suppress(TimeoutError):
                self.unpacker.feed(sock.recv(65536))
            for kind, number, error, result in self.unpacker:
                self.assertEqual(kind, 1)
                self.assertNotIn(number, found, "answered twice")
                found[number] = error[0] if error else result[0]
            if len(found) >= count:
                return found
        return found

    def hang_up(self, router: Router) -> None:
        """Closes a router's copies of its descriptors without a word to the peers."""
        streams = [c.stream for c in router.gateways.connections]
        streams += [link.stream for link in router.database.links if link.stream]
        streams += [router.engine.stream] if router.engine.stream else []
        for stream in streams:
            stream.sock.close()
        router.gateways.listener.sock.close()
        router.health_reporter.roster.sock.close()
        router.loop.selector.close()

    def move(self) -> None:
        data, fds = Giver(self.router).give()
        copies = [os.dup(fd) for fd in fds]
        old = self.router
        self.loop = self.new_loop()
        self.router = Taker(data, copies).take(self.loop, self.site, self.log)
        self.hang_up(old)

    def test_everything_in_hand_goes_on(self) -> None:
        g = self.gateway()
        g.sendall(self.rpc("m", b"runs") + self.rpc("m", b"calls") + self.rpc("token", b"kept", once="k"))
        for _ in range(3):
            self.command()
        self.engine.send(b"NEED 1 %016x 4\r\nbody\r\n" % 2)
        self.wait_for(self.doors[1])
        database = self.peer(self.doors[1].accept()[0])
        self.wait_for(database)
        self.assertEqual(database.read_line()[0][:2], ["Q", f"{2:016x}"])
        self.engine.send(b"DONE 2 %016x good 5 4\r\ntold\r\n" % 3)
        self.assertEqual(self.answers(g, 1), {3: b"told"})
        half = self.rpc("m", b"half")
        g.sendall(half[:50])
        self.engine.send(b"DONE 3 %016x good 5 4\r\nr" % 1)  # a notice that is not whole
        database.send(b"%016x ROWS 5\r\nre" % 2)
        self.pump()
        for _ in range(3):  # and again, and again
            self.move()
        self.engine.send(b"uns\r\n")
        database.send(b"ply\r\n")
        self.assertEqual(self.command(), (["FEED", f"{2:016x}"], b"reply"))
        g.sendall(half[50:] + self.rpc("token", b"kept", once="k"))
        self.assertEqual(self.command(), (["RUN", f"{4:016x}", "m"], b"half"))
        self.engine.send(b"DONE 4 %016x good 5 1\r\nx\r\nDONE 5 %016x bad 5 0\r\n\r\n" % (2, 4))
        self.assertEqual(self.answers(g, 4), {1: b"runs", 2: b"x", 4: "Failed", 5: b"told"})
        self.assertEqual(self.faults, [])
        self.assertEqual((len(self.router.table.slots), len(self.router.table.slot_by_id)), (0, 0))

    def test_deadlines_and_a_drain_move_as_they_are(self) -> None:
        # A taker that counted the wait anew would answer at 1,400 ms; a full machine must not look like one.
        g = self.gateway()
        g.sendall(self.rpc("m", b"late", wait="800"))
        self.command()
        begun = self.loop.clock_ms()
        self.router.drain()
        self.pump(600.0)
        self.move()
        self.assertTrue(self.router.is_draining)
        self.assertEqual(self.answers(g, 1), {1: "Failed"})
        self.assertLess(self.loop.clock_ms() - begun, 1200.0)
        g.close()
        end = self.loop.clock_ms() + 10_000.0
        while self.loop.is_running and self.loop.clock_ms() < end:
            self.pump()
        self.assertFalse(self.loop.is_running)  # the drain ends where it went on
        self.assertEqual(self.faults, [])

    def test_the_listener_keeps_its_backlog(self) -> None:
        waiting = self.gateway()  # connected, not accepted
        waiting.sendall(self.rpc("m", b"early"))
        self.move()
        self.assertEqual(self.command(), (["RUN", f"{1:016x}", "m"], b"early"))
        self.engine.send(b"DONE 1 %016x good 5 2\r\nok\r\n" % 1)
        self.assertEqual(self.answers(waiting, 1), {1: b"ok"})

    def test_unsent_bytes_go_out_once(self) -> None:
        g = self.gateway()
        g.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sizes = 30
        g.sendall(b"".join(self.rpc("m", b"%d" % i) for i in range(sizes)))
        for i in range(sizes):
            self.command()
            self.engine.send(b"DONE %d %016x good 5 4000\r\n%b\r\n" % (i + 1, i + 1, b"%04d" % i * 1000))
        self.pump(30.0)
        connection = next(iter(self.router.gateways.connections))
        connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        self.move()
        found = self.answers(g, sizes)
        self.assertEqual(found, {i + 1: b"%04d" % i * 1000 for i in range(sizes)})

    def test_the_old_one_goes_on_if_the_new_one_does_not_take(self) -> None:
        g = self.gateway()
        g.sendall(self.rpc("m", b"runs"))
        self.command()
        data, fds = Giver(self.router).give()
        lacking = replace(self.site, settings=replace(self.site.settings, methods=[]), methods={})
        with self.assertRaisesRegex(CannotMove, "method"):
            Taker(data, [os.dup(fd) for fd in fds]).take(self.new_loop(), lacking, self.log)
        self.engine.send(b"DONE 1 %016x good 5 2\r\nok\r\n" % 1)
        self.assertEqual(self.answers(g, 1), {1: b"ok"})


if __name__ == "__main__":
    unittest.main()
