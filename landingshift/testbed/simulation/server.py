"""One server in virtual time with all that decides in it: the fleet's node, the common start, the policies'
part, work on machines, and the module behind its `Actions`. Holds no rule of theirs: only what the services
that carry them do on a real loop, and an engine, a disk and gateways' RPCs to decide about.

`town.away` names one defence that is taken from all servers; a promise must then be found broken.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from math import inf
from typing import TYPE_CHECKING, Any

import msgspec

from landingshift.admission.controller import AdmissionController
from landingshift.admission.interface import (
    DownstreamKind,
    Gauges,
    Idempotency,
    LoadAdvertisement,
    Method,
    Outcome,
    Rpc,
    RunCancellation,
    Settings,
    Tenant,
)
from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.coldstart.coordinator import ColdStartCoordinator, LoadObservation
from landingshift.coldstart.downstream_saturation import DownstreamSaturation
from landingshift.coldstart.leases import LeaseRequest
from landingshift.coldstart.service_discovery import ServiceDiscoveryPoller
from landingshift.consensus.persistent_state import PersistentState
from landingshift.maintenance.agent import MaintenanceAgent
from landingshift.maintenance.coordinator import MaintenanceCoordinator
from landingshift.maintenance.messages import LoadReport, ReportAnswer, ServerStatus
from landingshift.maintenance.replicated_state import MaintenanceState
from landingshift.maintenance.storage import STATE_MACHINE_NAME
from landingshift.maintenance.wire import PACKAGE, decode_message, encode_answer, encode_report
from landingshift.membership.member_table import Member
from landingshift.membership.messages import DEPARTED_STATES, MemberRecord, MemberState, Message
from landingshift.membership.node import SwimNode
from landingshift.membership.timings import SwimTimings
from landingshift.policies.node import PolicyNode
from landingshift.testbed.simulation.maintenance import AgentWithoutExpiry, SimulatedEnvironment
from landingshift.testbed.simulation.virtual_time import Address, Host
from landingshift.testbed.verification.invariants import GRACE

if TYPE_CHECKING:
    from landingshift.testbed.simulation.cluster import Town

PORT = 7101
LOOK = 200.0  # ms between two steps of the common start
BUSY, REST = 500.0, 2000.0  # between two reports to the leader of work
STOP = 3000.0  # from a notice to the end of the process
CORES, WORK = 2, 250.0  # ms of a core that one RPC takes
CAPACITY = CORES * 1000.0 / WORK  # RPCs a second
FILL = 8  # calls that fill a server's cache; one RPC in FILL calls once it is filled
COLD = 2000.0
WAIT = 3000.0  # ms that a caller waits
STORE = 300.0  # longest that a call is waited for


def address(i: int) -> Address:
    return f"10.0.{i // 250}.{i % 250 + 1}", PORT


def method(criticality: float, calls: bool) -> Method:
    return Method(Idempotency.IDEMPOTENT, 1500.0, 0.0, WAIT, criticality, 0.5, 5000.0, calls, 0.5)


METHODS = (method(1.0, True), method(5.0, False))


def settings(servers: int, tenant: Tenant) -> Settings:
    return Settings(
        methods=list(METHODS),
        tenants=[tenant],
        over_quota_value_fraction=0.1,
        criticality_is_per_work=False,
        server_count=servers,
        caller_count=0,
        core_count=CORES,
        starts_cold=True,
        cold_speed_fraction=0.3,
        warm_up_ms=COLD,
        memory_kb=100_000.0,
        running_memory_factor=4.0,
        dedup_entry_kb=1.0,
        response_cache_ttl_ms=0.0,
        run_cancellation=RunCancellation.NONE,
        downstream=DownstreamKind.SHARED_STORE,
        downstream_concurrency_quota=50.0,
        downstream_quota_window_ms=5000.0,
        lost_call_linger_ms=100.0,
        load_advertisement=LoadAdvertisement.NONE,
        callers_send_deadline=True,
        callers_mark_retries=True,
        max_retry_after_ms=1000.0,
        connection_idle_timeout_ms=30_000.0,
        drain_grace_ms=GRACE,
        max_runs_per_core=8.0,
    )


@dataclass(slots=True, eq=False)
class Sent(Rpc):
    """One that was read; `number` is its own, whoever reads it."""

    number: int = 0


@dataclass(slots=True)
class Disk:
    """What lasts when its server does not. `full`: it takes nothing; `dies`: at the next write, unwritten."""

    journal: PersistentState | None
    mark: int = 0
    full: bool = False
    dies: float = 0.0  # ms that the server is then away; 0: it does not


class Home:
    def __init__(self, town: Town, i: int, run: int, host: Host) -> None:
        self.town, self.i, self.name, self.host, self.away = town, i, f"n{i}", host, town.away
        now, chance = host.clock(), town.chance_of(i, run)
        self.disk = town.disks[i]
        me = MemberRecord(
            self.name, *address(i), f"z{i % 2}", chance.getrandbits(40), 0, 0, MemberState.ALIVE, "", {}
        )
        times = (
            SwimTimings(ack_timeout_ms=20.0, min_suspicion_ms=20.0)
            if self.away == "suspect"
            else SwimTimings()
        )
        self.node = SwimNode(me, town.peers(i), times, 1000, chance, now, self.heard_of)
        self.node.state_observers.append(self.sees)
        self.node.message_handlers |= {"policies": self.hear_policies, PACKAGE: self.hear_work}
        self.agent = ColdStartCoordinator(self.node, town.plan, chance, now)
        if self.away == "quiet" and self.agent.grantor is not None:
            self.agent.grantor.set_recovery_grace_until(now)
        self.seek = ServiceDiscoveryPoller(town.day.server_count, 20.0, True, 3000.0, chance, now)
        self.strain = DownstreamSaturation()
        journal = copied(self.disk.journal) if self.disk.journal is not None else None
        self.part = PolicyNode(
            self.name, me.run_id, town.rules, lambda policy: "", journal, chance, now, self.wall, town.times
        )
        self.part.participant.discovery.list_alive_peers = lambda: self.node.member_table.present_names
        agent_type = AgentWithoutExpiry if self.away == "end" else MaintenanceAgent
        self.maintenance_agent = agent_type(self.disk.mark)
        self.maintenance = MaintenanceState()
        self.environment = SimulatedEnvironment(self)
        self.coordinator: MaintenanceCoordinator | None = None
        if self.part.raft is not None:
            self.part.state_machines.register(STATE_MACHINE_NAME, self.maintenance)
            self.part.commit_listeners.append(self.taken)
            self.coordinator = MaintenanceCoordinator(self.maintenance, town.work, self.environment)
        self.without()
        self.tenant = Tenant(100_000.0)
        self.server = AdmissionController(
            settings(town.day.server_count, self.tenant), chance.getrandbits(32), self, now
        )
        if self.away == "due":
            self.server.enforce_deadline = lambda managed: inf  # type: ignore[method-assign]
        self.jobs: dict[int, ManagedRpc] = {}  # without an answer, by their numbers
        self.engine: dict[
            int, ManagedRpc
        ] = {}  # on the cores or at a call, whether or not anybody waits for them
        self.busy: list[float] = []  # when each run on the cores ends
        self.filled = self.runs = 0
        self.laid, self.may, self.good = -1, False, False
        self.server.set_standby(True)
        self.share = -1.0
        self.reads, self.reads_at, self.load = 0, now, 0.0
        self.ok = self.all = 0.0
        self.look_at, self.work_at = now + LOOK * chance.random(), now + REST * chance.random()
        self.ends_at = inf  # when it is stopped after a notice
        self.held: dict[str, tuple[float, ...]] = {}  # loans as the history has them
        self.opened = False
        self.hangs = 0.0  # until when its engine says nothing, ms of the world
        self.pace = chance

    def without(self) -> None:
        """Takes the defence that is away, where it lies in one of the packages' objects."""
        voter, desk, grantor = self.part.raft, self.part.coordinator, self.agent.grantor
        if self.away == "sure" and voter is not None:
            voter.has_leader_lease = lambda now_ms: voter.role.value == "leader"  # type: ignore[method-assign]
        if self.away == "arm" and desk is not None:
            real = desk.unprepared_members
            desk.unprepared_members = lambda now_ms: [w for w in real(now_ms) if w.state != "away"]  # type: ignore[method-assign]
        if self.away == "booking" and grantor is not None:
            quotas = grantor.call_quota_grantor
            renew = quotas.renew

            def renew_without_booking(request: LeaseRequest, now_ms: float) -> float | None:
                amount = renew(request, now_ms)
                if amount is not None and request.holder_name in quotas.grants:
                    quotas.grants[request.holder_name].booked_amount = amount
                return amount

            quotas.renew = renew_without_booking  # type: ignore[method-assign]

    # What it notes

    def clock(self) -> float:
        return self.host.clock()

    def wall(self) -> float:
        return self.town.world.now + self.town.walls[self.i]

    def note(self, what: str, *values: Any) -> None:
        self.town.note(what, self.name, *values)

    def heard_of(self, event: str, **fields: Any) -> None:
        if event == "fleet_dead":
            self.note("buried", fields["name"])

    def sees(self, member: Member, was: MemberState | None) -> None:
        gone = member.record.state in DEPARTED_STATES
        if gone != (was is None or was in DEPARTED_STATES):
            self.note("sees", member.record.name, not gone)

    # For the world

    def next_deadline_ms(self) -> float:
        return min(
            self.node.next_deadline_ms(),
            self.part.next_deadline_ms(),
            self.server.next_check_ms,
            self.look_at,
            self.work_at,
            self.ends_at,
        )

    def on_message(self, message: Any, now: float) -> None:
        match message:
            case Message():
                self.node.on_message(message, now)
            case "read", Sent() as rpc, waited:
                self.read(rpc, waited, now)
            case "notice", float(away):
                self.drain(away)
            case "done", ManagedRpc() as job, float(ms):
                self.server.now_ms = now
                self.server.on_run_finished(job, Outcome.OK, ms)
                self.engine.pop(job.rpc.number, None)  # type: ignore[attr-defined]
                if self.jobs.pop(job.rpc.number, None) is not None:  # type: ignore[attr-defined]
                    self.answer(job.rpc, "ok")
            case "needs", ManagedRpc() as job:
                self.server.now_ms = now
                self.strain.on_call_wanted(now)
                self.server.on_call_needed(job)
                self.cut(job)
            case "called", ManagedRpc() as job, bool(good), float(ms):
                self.server.now_ms = now
                self.strain.on_call_finished(now, good, ms)
                self.filled += good
                self.server.on_call_finished(job, Outcome.OK if good else Outcome.NO_RESPONSE, ms)
                if not good:
                    self.cut(job)

    def on_timer(self, now: float) -> None:
        if self.node.next_deadline_ms() <= now:
            self.node.on_timer(now)
        if self.part.next_deadline_ms() <= now:
            self.part.tick(now)
        if now >= self.look_at:
            self.look_at = now + LOOK
            self.look(now)
        if now >= self.work_at:
            self.work(now)
        if now >= self.server.next_check_ms:
            self.server.now_ms = now
            busy = len(self.busy)
            self.server.on_timer(Gauges(min(1.0, busy / CORES), float(busy), 3.0))

    def take_outgoing(self) -> list[tuple[Address, Any]]:
        """The end of a pass: the module settles, what must be on disk is written, then messages go."""
        now = self.clock()
        self.decide(now)
        if now >= self.ends_at or (self.ends_at < inf and not self.jobs):
            self.town.ended(self)  # all that this pass had to say to callers is said
            return []
        for _ in range(8):
            if not self.save():
                break
            out = self.part.take_outgoing()
            for to, body in out:
                self.node.send_to_member(to, "policies", body)
            if not out:
                break
        return self.node.take_outgoing() if self.host.up else []

    # Disk, policies, and by what the module decides

    def save(self) -> bool:
        stored = self.part.unsaved_state()
        if stored is None:
            return True
        if self.disk.full:
            return False
        if self.disk.dies:
            away, self.disk.dies = self.disk.dies, 0.0
            self.town.kill(self.i, away)
            return False
        self.disk.journal = copied(stored)
        self.part.on_state_saved(self.clock())
        self.part.deliver_messages(self.clock())
        return True

    def decide(self, now: float) -> None:
        f, server = self.part.participant, self.server
        may = f.may_decide(now) or (f.is_member and self.away == "lease") or self.away == "ask"
        server.now_ms = now
        if f.version > self.laid:
            self.laid = f.version
            server.on_settings_changed()
        if may != self.may:
            self.may = may
            if server.stop_at_ms is None or not may:
                server.set_standby(not may)
        server.settle()

    def hear_policies(self, sender: MemberRecord, body: list[Any]) -> None:
        self.part.on_message(sender.name, body, self.clock())

    def propose(self, data: bytes) -> bool:
        voter = self.part.raft
        return voter is not None and voter.propose(data) is not None

    def leads(self, _now: float = 0.0) -> bool:
        return self.part.raft is not None and self.part.raft.has_leader_lease(self.clock())

    # The common start

    def warmth(self) -> float:
        if not self.opened:
            return 0.0
        return min(1.0, (self.clock() - self.server.started_at_ms) / COLD, self.filled / FILL)

    def look(self, now: float) -> None:
        self.node.now_ms = now
        started = self.agent.start_sequence
        seen = LoadObservation(
            warm_fraction=self.warmth(),
            needed_calls_per_second=max(1.0, 1.25 * self.strain.wanted_calls_per_second(now))
            if started.is_open
            else 0.0,
            waiting_rpcs_per_second=self.server.arrivals_per_second(now),
            saturation=self.strain.saturation(now, self.agent.reported_baseline_ms),
            baseline_latency_ms=self.strain.baseline_latency_ms,
        )
        if self.agent.on_timer(now, seen):
            self.opened = started.is_open
        share = self.agent.call_quota(now)
        if share != self.share:
            self.share = share
            self.server.now_ms = now
            self.server.set_call_quota(share)
        if self.town.list_up and self.seek.start_poll_if_due(now, self.node.has_joined):
            self.seek.on_poll_finished(now, True)
            self.node.add_contact_addresses(self.town.peers(self.i))
        for lender, loans in self.agent.held_leases.items():
            had = (
                loans.call_quota.held_amount,
                self.host.world_time(loans.call_quota.expires_at_ms),
                loans.start_permit.held_amount,
                self.host.world_time(loans.start_permit.expires_at_ms),
            )
            if self.held.get(lender) != had:
                self.held[lender] = had
                self.note("loan", lender, *had)

    # Work on machines

    def work(self, now: float) -> None:
        if now - self.reads_at >= 1000.0:
            self.load, self.reads, self.reads_at = self.reads * 1000.0 / (now - self.reads_at), 0, now
        self.node.now_ms = now
        self.report(now)
        if self.coordinator is not None:
            self.coordinator.step(now)
        busy = self.maintenance_agent.request_state or (
            self.coordinator is not None and self.maintenance.requests
        )
        self.work_at = now + (BUSY if busy else REST) * self.pace.uniform(0.9, 1.1)

    def report(self, now: float) -> None:
        status = ServerStatus(
            capacity=CAPACITY,
            model=f"m{self.i % 2}",
            serves_critical_methods=False,
            warm_fraction=self.warmth() if self.ends_at == inf else 0.0,
            rpcs_per_second=self.load,
            ok_count=self.ok,
            answered_count=self.all,
        )
        report = self.maintenance_agent.next_report(now, status)
        leader = self.part.participant.discovery.leader
        if leader == self.name:
            self.on_maintenance_report(self.node.local_record, report)
        elif leader:
            self.node.send_to_member(leader, PACKAGE, encode_report(report))

    def hear_work(self, sender: MemberRecord, body: list[Any]) -> None:
        match decode_message(body):
            case LoadReport() as report:
                self.on_maintenance_report(sender, report)
            case ReportAnswer() as answer:
                self.on_maintenance_answer(answer)

    def on_maintenance_report(self, sender: MemberRecord, report: LoadReport) -> None:
        if self.coordinator is None:
            return
        voters = self.part.participant.discovery.voters
        answer = self.coordinator.on_server_report(sender, voters, report, self.clock())
        if answer is None:
            return
        if sender.name == self.name:
            self.on_maintenance_answer(answer)
        else:
            self.node.send_to_member(sender.name, PACKAGE, encode_answer(answer))

    def on_maintenance_answer(self, answer: ReportAnswer) -> None:
        agent = self.maintenance_agent
        if not agent.on_answer(answer) or not agent.begin_draining(self.clock()):
            return
        self.disk.mark = agent.draining_permit
        permit_in_force = self.town.permitted(self.name)
        self.note("left", agent.draining_permit, permit_in_force)
        self.report(self.clock())
        self.drain(self.town.work_ms(self.name))

    def gone(self, name: str) -> bool:
        record = self.node.member_table.record(name)
        return record is None or record.state in DEPARTED_STATES

    def taken(self, now: float) -> None:
        if self.coordinator is not None:
            self.coordinator.evaluate_soon(now)

    def drain(self, away: float) -> None:
        """A notice, from outside or by a permission; `away` ms after its end it is started again."""
        if self.ends_at < inf:
            return
        now = self.clock()
        self.note("drains")
        self.node.leave(now)
        self.server.now_ms = now
        self.server.start_draining(STOP)
        if self.away == "grace":
            self.server.draining.accept_until_ms = inf
        self.ends_at = now + STOP
        self.town.back_after[self.i] = away

    # RPCs and the engine

    def read(self, rpc: Sent, waited: float, now: float) -> None:
        self.reads += 1
        rpc.waited_ms = waited + 1.0
        rpc.remaining_ms = WAIT - rpc.waited_ms
        self.note("read", rpc.number, self.town.world.now + rpc.remaining_ms)
        self.server.now_ms = now
        # An answer may come within the call that reads it.
        job = self.server.on_rpc_read(rpc)
        if job.state is not None:
            self.jobs[rpc.number] = job

    def answer(self, rpc: Rpc, how: str) -> None:
        assert isinstance(rpc, Sent)
        self.all += 1.0
        self.ok += how == "ok"
        self.jobs.pop(rpc.number, None)
        self.note("answer", rpc.number, how)
        if how == "pushed_back" and self.may:
            self.decided()

    def decided(self) -> None:
        f = self.part.participant
        self.note("decided", max(0, f.version), f.policy)

    def start_run(self, rpc: Rpc) -> None:
        assert isinstance(rpc, Sent)
        self.note("run", rpc.number)
        self.decided()
        job = self.engine[rpc.number] = self.jobs[rpc.number]
        now, world = self.town.world.now, self.town.world
        self.busy = [end for end in self.busy if end > now]
        free = sorted(self.busy)[-CORES] if len(self.busy) >= CORES else now
        end = max(now, free) + WORK
        self.busy.append(end)
        self.runs += 1
        calls = rpc.method.calls_downstream and (self.filled < FILL or self.runs % FILL == 0)

        world.at(end, lambda: self.arrive(("needs", job) if calls else ("done", job, world.now - now)))

    def start_call(self, rpc: Rpc, timeout_ms: float) -> None:
        assert isinstance(rpc, Sent)
        job, world = self.engine[rpc.number], self.town.world
        good, took = self.town.store.call(world.now)
        wait = min(took, timeout_ms, STORE)
        good = good and took <= wait
        world.after(wait, partial(self.arrive, ("called", job, good, wait)))
        if good:
            world.after(wait + 1.0, partial(self.arrive, ("done", job, WORK + wait)))

    def cut(self, job: ManagedRpc) -> None:
        """The engine ends a run at its call once its RPC has been answered."""
        assert isinstance(job.rpc, Sent)
        if job.rpc.number not in self.jobs:
            self.town.world.after(1.0, partial(self.arrive, ("done", job, WORK)))

    def skip_call(self, rpc: Rpc) -> None:
        assert isinstance(rpc, Sent)
        job = self.engine[rpc.number]
        self.town.world.after(1.0, partial(self.arrive, ("done", job, WORK)))

    def arrive(self, message: Any) -> None:
        """Of its engine, which may hang."""
        if self.town.world.now < self.hangs:
            self.town.world.at(self.hangs, partial(self.arrive, message))
        elif self.host.up:
            self.host.arrive(message)

    def reject(self, rpc: Rpc, retry_after_ms: float, is_final: bool) -> None:
        self.answer(rpc, "pushed_back")

    def abort(self, rpc: Rpc) -> None:
        self.answer(rpc, "aborted")

    def set_health(self, is_healthy: bool, is_shallow: bool) -> None:
        self.good = is_healthy

    def cancel_run(self, rpc: Rpc) -> None: ...
    def retain_dedup_entry(self, rpc: Rpc, duration_ms: float) -> None: ...
    def drop_dedup_entry(self, rpc: Rpc) -> None: ...
    def await_original(self, rpc: Rpc) -> None: ...
    def release(self, rpc: Rpc) -> None: ...
    def advertise_load(self, amount: float) -> None: ...
    def close_idle_connections(self, idle_timeout_ms: float) -> None: ...
    def schedule_check(self, delay_ms: float) -> None: ...
    def log(self, text: str) -> None: ...

    @property
    def listed(self) -> bool:
        """Whether gateways may hear of it: as services hold its health back on a real server."""
        return self.good and self.agent.start_sequence.is_open and self.may and self.ends_at == inf

    def sizes(self) -> dict[str, int]:
        """Of all that could grow, against the bounds that `promises` has."""
        node, part, follower = self.node, self.part, self.part.participant
        found = {
            "out": len(node.outbox.pending),
            "errands": len(node.failure_detector.indirect_probes),
            "book": len(node.contacts),
            "table": len(node.member_table.members),
            "words": len(part.operator_commands.pending),
            "answers": len(part.operator_commands.statuses),
            "sent": len(follower.request_sent_at_ms),
            "reports": self.maintenance_agent.unanswered_count,
            "jobs": len(self.jobs),
        }
        if part.raft is not None:
            found |= {"log": len(part.raft.persistent_state.entries), "votes": part.raft.outgoing_count}
        return found


def copied(stored: PersistentState) -> PersistentState:
    """Entries never change, so that their list alone is copied."""
    return replace(stored, entries=list(stored.entries))


def text(number: int) -> bytes:
    return msgspec.msgpack.encode({"methods": {"m": {"criticality": float(number + 2)}}})
