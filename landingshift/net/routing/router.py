"""Hands events to the decision module and does what it asks for. Decides nothing itself."""

from __future__ import annotations

import resource
import socket
import time
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from landingshift.admission.controller import AdmissionController
from landingshift.admission.interface import (
    Gauges,
    Idempotency,
    LoadAdvertisement,
    Method,
    Outcome,
    Rpc,
    Settings,
    Tenant,
)
from landingshift.net.protocol import engine as engine_wire
from landingshift.net.protocol import gateway as wire
from landingshift.net.routing.database import Database
from landingshift.net.routing.dedup import DedupTable, Entry
from landingshift.net.routing.engine import Engine
from landingshift.net.routing.gateways import OPEN, QUIET, Connection, Gateways
from landingshift.net.routing.health import HealthReporter
from landingshift.net.routing.observers import AnswerGate, RpcObservers
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.transport.datagram import Datagrams
from landingshift.net.transport.loop import Loop, Timer
from landingshift.net.transport.slots import Slots
from landingshift.net.transport.stream import Address

GAUGES_WAIT = 25.0  # ms that a look waits for the gauges: deadlines do not wait for a silent engine
GAUGES_LAST = 500.0  # ms that gauges are taken for the state of the cores
LEAVE = 600.0  # ms before the stop at which connections are asked to go
LOOK = 20.0  # ms between two looks whether all have gone
MOVES = ("engine", "database", "roster", "stop_ms")  # taken from a new configuration
FIXED = ("name", "listen", "memory_mb", "sockets", "gauges", "deep_checks")  # taken at the start only
OLDEST = 120_000.0  # ms since an RPC came to the machine, at most
AHEAD = 5_000.0  # ms by which the clock it was stamped with may be ahead
LONGEST = 4.0  # times the deadline of its method that an RPC may wait
MANY = 1024  # RPCs in hand from which only proven connections bring more: memory must stay bounded
SPARE = 64  # descriptors that are not for gateways: links to the database, engine, roster, log
KEPT_SHARE = 0.25  # of the memory, for kept results
UNSENT_SHARE = 0.25  # of the memory, for answers that gateways do not read


@dataclass(slots=True)
class ServerConfig:
    """What a server is told at its start."""

    name: str
    listen: Address
    engine: Address
    database: Address | None
    roster: Address
    seed: int
    stop_ms: float
    memory_mb: float
    sockets: int
    settings: Settings
    methods: dict[str, Method]
    tenants: dict[str, Tenant]
    gauges: list[str]
    deep_checks: bool


class Router:
    def __init__(
        self,
        loop: Loop,
        config: ServerConfig,
        report: Callable[..., None],
        listener: socket.socket | None = None,
    ) -> None:
        """`listener`: from another build, which also has the link to the engine."""
        self.loop, self.config, self.report = loop, config, report
        self.admission: AdmissionController | None = None
        self.rpcs: Slots[RoutedRpc] = Slots()
        self.by_id: dict[bytes, int] = {}
        self.todo: deque[Callable[[], None]] = deque()  # events that must not reach the module while it acts
        self.needs_settle = False
        self.alarm: Timer | None = None
        self.patience: Timer | None = None  # set while a look waits for the gauges
        self.gauges, self.gauged = Gauges(None, None, None), 0.0
        self.told: dict[str, str] = {}  # fields that each answer carries
        oldest = LONGEST * max(method.deadline_ms for method in config.settings.methods)
        self.dedup = DedupTable(
            int(config.memory_mb * KEPT_SHARE * 1048576.0), config.settings.response_cache_ttl_ms, oldest
        )
        self.gateways = Gateways(
            loop,
            config.listen,
            most=max(8, min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0]) - SPARE),
            unsent=int(config.memory_mb * UNSENT_SHARE * 1048576.0),
            idle=config.settings.connection_idle_timeout_ms,
            news=self,
            log=report,
            sock=listener,
        )
        self.database = Database(loop, config.database, self.called, report)
        self.engine = Engine(loop, config.engine, self, report, attach=listener is None)
        self.health_reporter = HealthReporter(
            loop, config.name, Datagrams(config.roster), self.engine, config.deep_checks
        )
        self.is_draining, self.stop_at = False, 0.0
        self.observers = RpcObservers(report)
        self.attempt_id_field = ""  # the field that names a client's try, where there is one
        self.answer_gate: AnswerGate | None = None  # where ok answers pass before they go out
        self.before_decisions: Callable[[], None] | None = (
            None  # asked before the module decides on what has come
        )
        loop.settle = self.settle

    # The pass

    def settle(self) -> None:
        if self.before_decisions is not None:
            self.before_decisions()
        while self.todo or self.needs_settle:
            while self.todo:
                self.todo.popleft()()
            self.needs_settle = False
            if self.admission is not None:
                self.admission.now_ms = self.loop.now_ms
                self.admission.settle()
        self.database.flush(lambda rid: (rpc := self.find(rid)) is not None and rpc.call is not None)

    def stir(self) -> AdmissionController:
        assert self.admission is not None
        self.admission.now_ms = self.loop.now_ms
        self.needs_settle = True
        return self.admission

    def find(self, rid: bytes) -> RoutedRpc | None:
        slot = self.by_id.get(rid)
        return self.rpcs.get(slot) if slot is not None else None

    # What gateways send

    def read(self, connection: Connection, call: wire.Request) -> None:
        st = self.config
        try:
            method = st.methods.get(call.method)
            if method is None:
                raise wire.InvalidFieldError("method")
            f = wire.fields(call.params, self.attempt_id_field)
            tenant = st.tenants.get(f.tenant)
            if tenant is None and st.tenants:
                raise wire.InvalidFieldError("tenant")
            now = time.time() * 1000.0
            if not now - OLDEST < f.at < now + AHEAD:
                raise wire.InvalidFieldError("at")
            if f.wait is None and st.settings.callers_send_deadline:
                raise wire.InvalidFieldError("wait")
            age = max(0.0, now - f.at)
            # Where callers do not tell how long they wait, their method's deadline says it.
            wait = method.deadline_ms if f.wait is None else f.wait
            if wait > LONGEST * method.deadline_ms:
                raise wire.InvalidFieldError("wait")
            if f.rid in self.by_id:
                known = self.find(f.rid)  # the engine could not tell the two apart
                started = known is not None and known.job is not None and known.job.has_started
                if started and method.idempotency is not Idempotency.IDEMPOTENT:
                    connection.answer(call.number, wire.aborted(call.number, self.told))
                    return  # not as never run: whoever hears that sends it elsewhere, where it runs too
                raise wire.InvalidFieldError("id")
            if len(connection.rpcs) >= OPEN:
                raise wire.InvalidFieldError("open")
        except wire.InvalidFieldError as err:
            if connection.proven and not connection.bad:  # the rest leave one line each as they end
                self.report("bad_rpc", field=str(err), method=call.method)
            connection.turn_down(call.number, str(err), wire.pushed_back(call.number, self.told))
            return
        tokened = method.idempotency is Idempotency.KEYED
        same = f.token if tokened else f.key
        dedup_key = (call.method.encode(), same) if same else None
        if self.admission is None or (not connection.proven and len(self.by_id) >= MANY):
            # In a flood, too, what repeats an RPC with an effect must not hear that it never ran here.
            ran = tokened and dedup_key in self.dedup.entries
            told = (wire.aborted if ran else wire.pushed_back)(call.number, self.told)
            connection.answer(call.number, told)
            return
        rpc = RoutedRpc(
            method=method,
            tenant=tenant,
            remaining_ms=min(wait, f.at + wait - now) if st.settings.callers_send_deadline else None,
            waited_ms=min(wait, age),  # longer than it waits tells no more
            memory_kb=f.kb,
            caller_id=f.caller,
            work_hint_ms=f.hint,
            has_cache_key=f.key is not None,
            is_duplicate=False,
            is_retry=f.retry,
            is_write=False,
            rid=f.rid,
            name=call.method.encode(),
            body=f.body,
            connection=connection.slot,
            number=call.number,
            dedup_key=dedup_key,
            tenant_name=f.tenant,
            attempt_id=f.mark,
        )
        rpc.original = self.dedup.find(rpc, self.loop.now_ms, self.loop.now_ms - age)
        rpc.is_duplicate = rpc.original is not None
        rpc.slot = self.rpcs.put(rpc)
        self.by_id[rpc.rid] = rpc.slot
        connection.rpcs[call.number] = rpc
        self.observers.notify("on_read", rpc)
        try:
            rpc.job = self.stir().on_rpc_read(rpc)
        except Exception:
            if not rpc.closed:
                self.release(rpc)  # a defect must not keep this one from its answer
            raise
        if rpc.closed:
            rpc.job = None

    def hangup(self, rpc: RoutedRpc) -> None:
        rpc.gone = True
        self.todo.append(lambda: self.leave_alone(rpc))

    def leave_alone(self, rpc: RoutedRpc) -> None:
        if not rpc.closed and rpc.job is not None:
            self.stir().on_caller_gone(rpc.job)
            self.engine.answered(rpc)
            self.database.give_up(rpc)

    def probe(self, connection: Connection, call: wire.Request) -> None:
        self.health_reporter.check(
            wire.deep(call.params),
            lambda good: connection.stream.write(wire.probed(call.number, good, self.told)),
        )

    # What the engine tells

    def engine_up(self, hello: engine_wire.Hello) -> None:
        if self.is_draining:
            return  # it leaves without having run anything: no list may name it now
        settings = replace(self.config.settings, starts_cold=hello.cold)
        # The module's clock starts with the cores, which warm up from then on.
        self.admission = AdmissionController(settings, self.config.seed, self, self.loop.now_ms - hello.age)
        self.health_reporter.start()

    def done(self, done: engine_wire.Done) -> None:
        rpc = self.find(done.rid)
        if rpc is None or rpc.job is None:
            return
        rpc.command = None
        if done.number:
            self.prove(rpc)
        self.database.give_up(rpc)
        entry = self.dedup.owned(rpc)
        if done.outcome is Outcome.OK:
            self.ok(rpc, done.result, done.elapsed)
        else:
            self.answer(rpc, wire.aborted(rpc.number, self.told), "aborted")
        self.stir().on_run_finished(rpc.job, done.outcome, done.elapsed)
        if entry is not None:
            entry.work = done.elapsed
            self.end_entry(entry, done.outcome, done.result)

    def need(self, need: engine_wire.Need) -> None:
        rpc = self.find(need.rid)
        if rpc is None or rpc.job is None:
            return
        rpc.command, rpc.need, rpc.need_body = None, need.number, need.body
        self.prove(rpc)
        self.observers.notify("on_call_needed", rpc)
        self.stir().on_call_needed(rpc.job)

    def prove(self, rpc: RoutedRpc) -> None:
        connection = self.gateways.connections.get(rpc.connection)
        if connection is not None and not connection.proven:
            connection.proven = True
            for doubted, entry in connection.doubted.items():
                self.todo.append(lambda doubted=doubted, entry=entry: self.joined(doubted, entry))  # type: ignore[misc]
            connection.doubted = {}

    def refused(self, no: engine_wire.No) -> None:
        rpc = self.find(no.rid)
        self.report("engine_no", command=no.command.decode("latin-1"), known=rpc is not None)
        if rpc is None:
            return
        asked = rpc.command is not None and rpc.command.known is not None  # whether it knows the RPC
        if no.command == b"RUN" or asked:
            connection = self.gateways.connections.get(rpc.connection)
            self.done(engine_wire.Done(0, no.rid, Outcome.NOT_SENT, 0.0, b""))
            if connection is not None and not connection.proven:
                connection.cut("unknown_rpc")  # what else it brings would take places for nothing

    def stats(self, values: list[float]) -> None:
        named = dict(zip(self.config.gauges, values, strict=False))
        self.gauges = Gauges(named.get("core_use"), named.get("on_cores"), named.get("links"))
        self.gauged = self.loop.now_ms
        if self.patience is not None:
            self.woken()

    # What the database tells

    def called(self, rpc: RoutedRpc, outcome: Outcome, took: float, reply: bytes) -> None:
        self.todo.append(lambda: self.call_over(rpc, outcome, took, reply))

    def call_over(self, rpc: RoutedRpc, outcome: Outcome, took: float, reply: bytes) -> None:
        self.observers.notify("on_call_finished", rpc, outcome, took)
        if rpc.closed or rpc.job is None or rpc.answered or rpc.gone:
            return
        if outcome is Outcome.OK:
            self.engine.say(rpc, engine_wire.feed(rpc.rid, reply))
        self.stir().on_call_finished(rpc.job, outcome, took)

    # Time

    def look(self) -> None:
        self.alarm = None
        if self.engine.ready:
            self.engine.ask()
            if self.patience is None:
                self.patience = self.loop.after(GAUGES_WAIT, self.woken)
        else:
            self.woken()

    def woken(self) -> None:
        self.loop.cancel(self.patience)
        self.patience = None
        fresh = self.loop.now_ms - self.gauged < GAUGES_LAST
        try:
            self.stir().on_timer(self.gauges if fresh else Gauges(None, None, None))
        except Exception:
            self.schedule_check(
                GAUGES_WAIT
            )  # a defect must not end the looks: nothing would be answered in time
            raise

    def move(self, config: ServerConfig) -> None:
        """What a new configuration changes while RPCs are under way; all else stays until the next start."""
        kept = [name for name in FIXED if getattr(config, name) != getattr(self.config, name)]
        now = {name: getattr(config, name) for name in MOVES}
        self.config = replace(self.config, **now)
        self.report("reloaded", engine=config.engine, db=config.database, roster=config.roster, kept=kept)
        self.engine.move(config.engine)
        self.database.move(config.database)
        self.health_reporter.move(config.roster)

    def drain(self, notice: float | None = None) -> None:
        """The notice to leave: answers all that was read, then lets the connections go, then ends.

        `notice`: when it came. What it allows counts from then, however late the loop gets to it.
        """
        if self.is_draining:
            return
        self.is_draining = True
        ago = max(0.0, self.loop.now_ms - notice) if notice is not None else 0.0
        left = max(1.0, self.config.stop_ms - ago)
        self.stop_at = self.loop.now_ms + left
        if self.admission is None:
            # Nothing runs here, but what waits unread counts as received: it is told that it never ran.
            self.depart()
            return
        self.stir().start_draining(left, ago)
        away = self.depart_later()
        if self.answer_gate is not None:
            self.answer_gate.release_by(self.loop.now_ms + away)

    def depart_later(self) -> float:
        """Returns in how many ms."""
        left = self.stop_at - self.loop.now_ms
        away = max(left - LEAVE, left / 2.0)
        self.loop.after(away, self.depart)
        return away

    def depart(self) -> None:
        self.gateways.leave()
        self.wait_for_last()

    def wait_for_last(self) -> None:
        # No end over open connections: it closes them, and what came in that moment makes that a reset, which
        # takes answers along that the other side has not read. Who keeps its side open is left to the kill.
        if self.gateways.gone():
            self.loop.stop()
        else:
            self.loop.after(LOOK, self.wait_for_last)

    # What the module asks for

    def answer(self, rpc: RoutedRpc, data: bytes, how: str) -> None:
        """One final answer, whatever is said later; `how` is ok, pushed_back or aborted."""
        connection = self.gateways.connections.get(rpc.connection)
        if not rpc.answered and not rpc.gone and connection is not None:
            connection.answer(rpc.number, data)
            self.observers.notify("on_answered", rpc, how)
        rpc.answered = True

    def ok(self, rpc: RoutedRpc, result: bytes, work: float) -> None:
        """`work` in ms, as the engine tells it; the gate, where there is one, may let the answer go later."""
        if self.answer_gate is not None and not rpc.answered and not rpc.gone:
            try:
                rpc.passing = self.answer_gate.hold_answer(rpc, result, work)
            except Exception:  # a gate that breaks must not keep answers
                self.report("gate_cut_off", trace=traceback.format_exc(limit=-6))
                self.answer_gate, rpc.passing = None, False
        if not rpc.passing:
            self.send_held_answer(rpc, result)

    def send_held_answer(self, rpc: RoutedRpc, result: bytes) -> None:
        rpc.passing = False
        self.answer(rpc, wire.ok(rpc.number, result, self.told), "ok")

    def abort_held_answer(self, rpc: RoutedRpc) -> None:
        """The gate's word that an ok answer may not go."""
        rpc.passing = False
        self.answer(rpc, wire.aborted(rpc.number, self.told), "aborted")

    def start_run(self, rpc: Rpc) -> None:
        assert isinstance(rpc, RoutedRpc)
        self.observers.notify("on_started", rpc)
        self.engine.say(rpc, engine_wire.run(rpc.rid, rpc.name, rpc.body), True)

    def cancel_run(self, rpc: Rpc) -> None:
        assert isinstance(rpc, RoutedRpc)
        self.engine.halt(rpc)

    def reject(self, rpc: Rpc, retry_after_ms: float, is_final: bool) -> None:
        assert isinstance(rpc, RoutedRpc)
        told = self.told
        if retry_after_ms > 0 or is_final:
            told = dict(told)
            if retry_after_ms > 0:
                told["after"] = f"{retry_after_ms:.0f}"
            if is_final:
                told["last"] = "1"
        self.answer(rpc, wire.pushed_back(rpc.number, told), "pushed_back")

    def abort(self, rpc: Rpc) -> None:
        assert isinstance(rpc, RoutedRpc)
        self.answer(rpc, wire.aborted(rpc.number, self.told), "aborted")
        self.engine.answered(rpc)
        self.database.give_up(rpc)

    def start_call(self, rpc: Rpc, timeout_ms: float) -> None:
        assert isinstance(rpc, RoutedRpc)
        if not self.database.call(rpc, timeout_ms):
            self.called(rpc, Outcome.NO_CONNECTION, 0.0, b"")

    def skip_call(self, rpc: Rpc) -> None:
        assert isinstance(rpc, RoutedRpc)
        self.engine.say(rpc, engine_wire.skip(rpc.rid, rpc.need))

    def retain_dedup_entry(self, rpc: Rpc, duration_ms: float) -> None:
        assert isinstance(rpc, RoutedRpc)
        self.dedup.keep(rpc, self.loop.now_ms + duration_ms)

    def drop_dedup_entry(self, rpc: Rpc) -> None:
        assert isinstance(rpc, RoutedRpc)
        entry = self.dedup.owned(rpc)
        if entry is not None:
            self.end_entry(entry, Outcome.ABORTED, b"")
            self.dedup.remove(entry)

    def await_original(self, rpc: Rpc) -> None:
        assert isinstance(rpc, RoutedRpc)
        entry = rpc.original
        assert entry is not None
        if entry.outcome is None:
            entry.waiting[rpc] = None
        else:
            self.todo.append(lambda: self.joined(rpc, entry))

    def end_entry(self, entry: Entry, outcome: Outcome, result: bytes) -> None:
        for waiting in self.dedup.end(entry, outcome, result, self.loop.now_ms):
            self.todo.append(lambda waiting=waiting: self.joined(waiting, entry))  # type: ignore[misc]

    def joined(self, rpc: RoutedRpc, entry: Entry, last: bool = False) -> None:
        """`last`: there is no more time for its connection to prove itself."""
        if rpc.closed or rpc.job is None:
            return
        good = entry.outcome is Outcome.OK and entry.result is not None
        connection = self.gateways.connections.get(rpc.connection)
        if good and connection is not None and not connection.proven:
            # A stranger that repeats a gateway's key must not be given what was made for that one.
            if rpc.method.degraded_value_fraction > 0.0:
                self.engine.know(rpc, lambda: self.known(rpc, entry))
                return
            if not last:
                # Where no call may be left out the engine refuses the question, for RPCs that it knows too:
                # no gateway may be cut off for that with all that it has open. What else it brings proves it.
                connection.doubted = {r: e for r, e in connection.doubted.items() if not r.closed}
                connection.doubted[rpc] = entry
                self.loop.after(QUIET, lambda: self.todo.append(lambda: self.joined(rpc, entry, True)))
                return
            good = False
        if good:
            self.ok(rpc, entry.result or b"", entry.work)
        else:
            self.answer(rpc, wire.aborted(rpc.number, self.told), "aborted")
        self.stir().on_run_finished(rpc.job, Outcome.OK if good else Outcome.ABORTED, 0.0)

    def known(self, rpc: RoutedRpc, entry: Entry) -> None:
        self.prove(rpc)
        self.todo.append(lambda: self.joined(rpc, entry))

    def release(self, rpc: Rpc) -> None:
        assert isinstance(rpc, RoutedRpc)
        if not rpc.answered and not rpc.gone and not rpc.passing:  # nothing read may end without an answer
            self.answer(rpc, wire.aborted(rpc.number, self.told), "aborted")
        rpc.closed = True
        entry = self.dedup.owned(rpc)
        if entry is not None and entry.outcome is None and (rpc.job is None or not rpc.job.has_started):
            # It outlived its entry unrun: no repeat may wait for what never comes.
            self.end_entry(entry, Outcome.ABORTED, b"")
            self.dedup.remove(entry)
        if rpc.original is not None:
            rpc.original.waiting.pop(rpc, None)
            rpc.original = None
        rpc.stale.clear()
        rpc.job = None  # no cycle: memory must not wait for the collector
        del self.by_id[rpc.rid]
        self.rpcs.drop(rpc.slot)
        self.observers.notify("on_closed", rpc)

    def set_health(self, is_healthy: bool, is_shallow: bool) -> None:
        self.health_reporter.set(is_healthy, is_shallow)

    def advertise_load(self, amount: float) -> None:
        if self.config.settings.load_advertisement is not LoadAdvertisement.NONE:
            self.told = {"say": f"{amount:g}"}

    def close_idle_connections(self, idle_timeout_ms: float) -> None:
        self.gateways.set_idle(idle_timeout_ms)

    def schedule_check(self, delay_ms: float) -> None:
        self.loop.cancel(self.alarm)
        self.alarm = self.loop.after(delay_ms, self.look)
        if self.patience is not None:  # the look under way has been put off
            self.loop.cancel(self.patience)
            self.patience = None

    def log(self, text: str) -> None:
        self.report("mode", text=text)
