"""All that a server has in hand, layer by layer, as plain values and descriptors; and a router made from it.

Given between two passes of the loop, when nothing waits to be settled. Times are of the machine's monotonic
clock, which both builds share. A key that the reader does not know is left out; what can't be left out raises
the carrier's version.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

from msgspec import Struct, field, msgpack

from landingshift.admission.controller import AdmissionController
from landingshift.admission.interface import Outcome
from landingshift.net.protocol import engine as engine_wire
from landingshift.net.routing.database_pool import MAX_UNSENT_BYTES as DATABASE_MAX_UNSENT_BYTES
from landingshift.net.routing.database_pool import DatabaseCall, DatabaseLink
from landingshift.net.routing.dedup import ENTRY_BYTES, DedupEntry
from landingshift.net.routing.engine_link import MAX_UNSENT_BYTES as ENGINE_MAX_UNSENT_BYTES
from landingshift.net.routing.engine_link import RECONNECT_DELAY_MS, EngineCommand, GaugeQuery
from landingshift.net.routing.gateway_connection import MAX_UNSENT_BYTES as GATEWAY_MAX_UNSENT_BYTES
from landingshift.net.routing.gateway_connection import RESET_TIME_MS, GatewayConnection
from landingshift.net.routing.router import Router
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.routing.server_config import ServerConfig
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Stream

# Stored name -> attribute. The stored names are part of the format and stay when an attribute is renamed.
# What the RPC's record holds besides what the admission controller was told.
RPC_STATE = {
    "rid": "rpc_id",
    "name": "method_name",
    "body": "body",
    "number": "message_id",
    "dedup_key": "dedup_key",
    "answered": "is_answered",
    "gone": "is_abandoned",
    "closed": "is_closed",
    "need": "call_notice_number",
    "need_body": "call_request",
    "mark": "attempt_id",
}
# What the admission controller was told of the RPC.
RPC_FACTS = {
    "remaining": "remaining_ms",
    "waited": "waited_ms",
    "kb": "memory_kb",
    "caller": "caller_id",
    "hint": "work_hint_ms",
    "keyed": "has_cache_key",
    "repeat": "is_duplicate",
    "retry": "is_retry",
    "write": "is_write",
    "tenant_name": "tenant_name",
}
# Of a gateway's connection.
CONNECTION_STATE = {
    "read": "rpc_count",
    "probes": "health_check_count",
    "bad": "invalid_count",
    "fault": "last_invalid_field",
    "away": "goaway_deadline_ms",
    "proven": "is_verified",
    "born": "accepted_ms",
    "heard": "last_message_ms",
    "half": "partial_since_ms",
}
# Of the link to the engine.
ENGINE_LINK_STATE = {
    "last": "last_notice_number",
    "links": "link_count",
    "tags": "tag_count",
    "ready": "is_ready",
    "met": "has_reached_engine",
    "greeted": "is_greeted",
    "moving": "is_changing_address",
    "linked": "linked_at_ms",
    "lost": "lost_at_ms",
    "heard": "answered_at_ms",
}


def stored_values(owner: object, names: dict[str, str]) -> dict[str, Any]:
    """The attributes of `owner` that `names` lists, by their stored names."""
    return {stored: getattr(owner, attribute) for stored, attribute in names.items()}


def attribute_values(stored: dict[str, Any], names: dict[str, str]) -> dict[str, Any]:
    """The stored values by attribute; a name that this build does not know keeps its own."""
    return {names.get(name, name): value for name, value in stored.items()}


class CannotMove(Exception):
    """What is in hand can't go to another build; the text says what."""


class OfStream(Struct):
    fd: int  # which of the descriptors
    out: bytes
    queued: int
    sent: int
    last: float
    reading: bool
    connecting: bool
    reason: str


class OfRpc(Struct):
    method: int  # in the order of the settings
    tenant: str | None
    own: dict[str, Any]
    facts: dict[str, Any]
    connection: int = -1  # in the order of the connections
    command: list[Any] | None = None  # data, runs, end, doubt, held back
    entry: int = -1  # what it repeats, in the order of the kept results
    waits: bool = False  # for that one's end
    stale: list[int] = field(default_factory=list)  # links to the database


class OfConnection(Struct):
    stream: OfStream
    rest: bytes
    counts: dict[str, Any]
    rpcs: dict[int, int]  # open, by message number


class OfEntry(Struct):
    owner: int
    until: float
    outcome: int | None
    ended: float
    result: bytes | None
    work: float


class OfLink(Struct):
    """To the database."""

    stream: OfStream
    buffer: bytes
    fresh: bool  # takes new calls
    calls: list[list[Any]]  # RPC, start, end in the stream, when it is given up


class OfEngine(Struct):
    stream: OfStream | None
    buffer: bytes
    plain: dict[str, Any]
    stats: list[Any] | None
    unsure: list[int]  # RPCs whose command is not known to have arrived, in order


class State(Struct):
    connections: list[OfConnection]
    rpcs: list[OfRpc]
    entries: list[OfEntry]
    links: list[OfLink]
    engine: OfEngine
    module: dict[str, Any] | None
    jobs: int  # the first so many RPCs are the module's, in its order
    cold: bool
    told: dict[str, str]
    draining: bool
    health: list[bool]  # good, cheap, reporting
    idle: float  # limit on the gateways' connections
    stop_at: float = 0.0  # when a drain ends with the process


# Giving


class Giver:
    """One use each. The old router is left as it is, and goes on if the new one does not."""

    def __init__(self, router: Router) -> None:
        driver = router.driver
        if driver.deferred or driver.needs_settle or router.loop.pending_writers or router.database.cancelled:
            raise CannotMove("a pass is not over")
        if router.answers.gate is not None:
            raise CannotMove("a gate holds answers")
        self.router = router
        self.fds: list[int] = []
        self.links = [*router.database.links]
        self.links += [link for link in self.retired() if link not in self.links]
        self.connections = list(router.gateways.connections)

    def retired(self) -> list[DatabaseLink]:
        """Links that end once their last calls do."""
        calls = self.router.database.calls
        return list({calls[rpc].link: None for rpc in self.router.table if rpc in calls})

    def give(self) -> tuple[bytes, list[int]]:
        """The state, and the descriptors it speaks of, the listener first; all stay the old process's own."""
        r = self.router
        r.engine.abandon_self_tests()
        self.fds.append(r.gateways.listener.sock.fileno())
        module, jobs = r.admission.export_state() if r.admission is not None else (None, [])
        rpcs: list[RoutedRpc] = [job.rpc for job in jobs if isinstance(job.rpc, RoutedRpc)]
        assert len(rpcs) == len(jobs)
        entries = list(r.dedup.entries.values())
        known = {rpc: i for i, rpc in enumerate(rpcs)}
        for entry in entries:
            if entry.owner not in known:
                known[entry.owner] = len(rpcs)
                rpcs.append(entry.owner)
        for rpc in r.table:
            if rpc not in known:
                raise CannotMove("an RPC that the module does not know")
        places = {entry: i for i, entry in enumerate(entries)}
        originals = r.dedup.originals
        for entry in {originals[rpc]: None for rpc in rpcs if rpc in originals}:
            if entry not in places:  # replaced by a newer one while repeats still wait for it
                raise CannotMove("a repeat waits for a result that was replaced")
        state = State(
            connections=[self.connection(c, known) for c in self.connections],
            rpcs=[self.rpc(rpc, places) for rpc in rpcs],
            entries=[
                OfEntry(
                    known[e.owner],
                    e.expires_ms,
                    e.outcome and e.outcome.value,
                    e.ended_ms,
                    e.result,
                    e.run_time_ms,
                )
                for e in entries
            ],
            links=[self.link(link, known) for link in self.links if link.stream is not None],
            engine=self.engine(known),
            module=module,
            jobs=len(jobs),
            cold=r.admission.settings.starts_cold if r.admission is not None else False,
            told=r.answers.headers,
            draining=r.is_draining,
            stop_at=r.shutdown.stop_at_ms,
            health=[
                r.health_reporter.is_healthy,
                r.health_reporter.is_shallow,
                r.health_reporter.is_reporting,
            ],
            idle=r.gateways.context.idle_limit_ms,
        )
        return msgpack.encode(state), self.fds

    def stream(self, stream: Stream) -> OfStream:
        self.fds.append(stream.sock.fileno())
        return OfStream(
            fd=len(self.fds) - 1,
            out=bytes(stream.output),
            queued=stream.queued_bytes,
            sent=stream.sent_bytes,
            last=stream.last_activity_ms,
            reading=stream.is_reading,
            connecting=stream.is_connecting,
            reason=stream.close_reason,
        )

    def connection(self, c: GatewayConnection, known: dict[RoutedRpc, int]) -> OfConnection:
        counts = stored_values(c, CONNECTION_STATE)
        return OfConnection(
            self.stream(c.stream), c.decoder.buffer, counts, {n: known[rpc] for n, rpc in c.rpcs.items()}
        )

    def rpc(self, rpc: RoutedRpc, places: dict[DedupEntry, int]) -> OfRpc:
        site = self.router.config
        connection = self.router.gateways.connections.get(rpc.connection)
        command = self.router.engine.commands.get(rpc)
        original = self.router.dedup.originals.get(rpc)
        used_links = self.router.database.used_links.get(rpc, ())
        return OfRpc(
            method=site.settings.methods.index(rpc.method),
            tenant=next((name for name, t in site.tenants.items() if t is rpc.tenant), None),
            own=stored_values(rpc, RPC_STATE),
            facts=stored_values(rpc, RPC_FACTS),
            connection=self.connections.index(connection) if connection is not None else -1,
            command=[
                command.data,
                command.starts_run,
                command.stream_end,
                command.is_in_doubt,
                command.is_withheld,
            ]
            if command is not None
            else None,
            entry=places[original] if original is not None else -1,
            waits=original is not None and rpc in original.waiters,
            stale=[i for i, link in enumerate(self.links) if link in used_links],
        )

    def link(self, link: DatabaseLink, known: dict[RoutedRpc, int]) -> OfLink:
        assert link.stream is not None
        calls = [
            [known[c.rpc], c.started_ms, c.stream_end, c.timer.due_ms if c.timer else 0.0]
            for c in link.calls.values()
        ]
        fresh = link in self.router.database.links
        return OfLink(self.stream(link.stream), bytes(link.decoder.lines.buffer), fresh, calls)

    def engine(self, known: dict[RoutedRpc, int]) -> OfEngine:
        e = self.router.engine
        return OfEngine(
            self.stream(e.stream) if e.stream is not None else None,
            bytes(e.decoder.lines.buffer),
            stored_values(e, ENGINE_LINK_STATE),
            [e.gauge_query.tag, e.gauge_query.bytes_before] if e.gauge_query is not None else None,
            [known[c.rpc] for c in e.unconfirmed if e.commands.get(c.rpc) is c],
        )


# Taking


class Taker:
    """Makes a router that goes on from a state; nothing is read or written before the loop's next pass."""

    def __init__(self, data: bytes, fds: list[int]) -> None:
        """Takes the descriptors over. Raises msgspec.DecodeError for what is no state."""
        self.state = msgpack.decode(data, type=State)
        self.socks = [socket.socket(fileno=fd) for fd in fds]
        for sock in self.socks:
            sock.setblocking(False)

    def take(self, loop: Loop, site: ServerConfig, report: Callable[..., None]) -> Router:
        """Raises CannotMove where the settings do not fit what is in hand."""
        st = self.state
        for told in st.rpcs:
            if told.method >= len(site.settings.methods) or (
                told.tenant is not None and told.tenant not in site.tenants
            ):
                raise CannotMove("an RPC in hand has a method or tenant that the new settings lack")
        self.loop, self.site = loop, site
        self.router = r = Router(loop, site, report, self.socks[0])
        self.rpcs = [self.rpc(one) for one in st.rpcs]
        connections = [self.connection(one) for one in st.connections]
        for rpc, one in zip(self.rpcs, st.rpcs, strict=True):
            rpc.connection = connections[one.connection].slot if one.connection >= 0 else -1
            if not rpc.is_closed:
                r.table.add(rpc)
        self.entries()
        links = [self.link(one) for one in st.links]
        for rpc, one in zip(self.rpcs, st.rpcs, strict=True):
            used_links = [links[i] for i in one.stale if i < len(links)]
            if used_links:
                r.database.used_links[rpc] = used_links
        self.engine()
        r.answers.headers = st.told
        if st.draining:
            # The old one's timer stays with it: nobody else would end this drain.
            r.shutdown.resume(st.stop_at or loop.now_ms + site.stop_ms)
        if st.module is not None:
            settings = replace(site.settings, starts_cold=st.cold)
            controller = AdmissionController(settings, site.seed, r.actions, loop.now_ms)
            r.driver.controller = controller
            controller.now_ms = loop.now_ms
            jobs = controller.import_state(st.module, list(self.rpcs[: st.jobs]))
            for mine, job in zip(self.rpcs, jobs, strict=False):
                mine.job = None if mine.is_closed else job
        r.gateways.context.idle_limit_ms = st.idle
        for connection in connections:
            connection.check_idle()
        r.health_reporter.is_healthy, r.health_reporter.is_shallow, reporting = st.health
        if reporting:
            r.health_reporter.start()
        return r

    def stream(self, one: OfStream, owner: Any, bound: int, **more: Any) -> Stream:
        stream = Stream(self.loop, self.socks[one.fd], owner, bound, one.connecting, **more)
        stream.output += one.out
        stream.queued_bytes, stream.sent_bytes, stream.last_activity_ms = one.queued, one.sent, one.last
        stream.is_reading, stream.close_reason = one.reading, one.reason
        if stream.unsent_budget:
            stream.unsent_budget.used_bytes += len(one.out)
        if one.reason:
            stream.start_linger_timer()
        stream.update_watch()
        if one.out:
            self.loop.pending_writers[stream] = None
        return stream

    def rpc(self, one: OfRpc) -> RoutedRpc:
        method = self.site.settings.methods[one.method]
        tenant = self.site.tenants[one.tenant] if one.tenant is not None else None
        own = attribute_values(one.own, RPC_STATE)
        own["dedup_key"] = tuple(own["dedup_key"]) if own["dedup_key"] is not None else None
        rpc = RoutedRpc(
            method=method, tenant=tenant, connection=-1, **attribute_values(one.facts, RPC_FACTS), **own
        )
        if one.command is not None and not rpc.is_closed:
            self.router.engine.commands[rpc] = EngineCommand(rpc, *one.command)
        return rpc

    def connection(self, one: OfConnection) -> GatewayConnection:
        gateways = self.router.gateways
        connection = gateways.add(
            lambda c: self.stream(
                one.stream,
                c,
                GATEWAY_MAX_UNSENT_BYTES,
                unsent_budget=gateways.unsent_budget,
                reads_per_pass=1,
            )
        )
        connection.decoder.buffer = one.rest
        for name, value in attribute_values(one.counts, CONNECTION_STATE).items():
            setattr(connection, name, value)
        connection.rpcs = {number: self.rpcs[i] for number, i in one.rpcs.items()}
        if not one.stream.reading and connection.rpcs:
            self.loop.after(RESET_TIME_MS, connection.stream.check_error)
        return connection

    def entries(self) -> None:
        table, made = self.router.dedup, []
        for one in self.state.entries:
            outcome = Outcome(one.outcome) if one.outcome is not None else None
            entry = DedupEntry(
                self.rpcs[one.owner],
                one.until,
                outcome,
                one.ended,
                run_time_ms=one.work,
                result=one.result,
            )
            dedup_key = entry.owner.dedup_key
            assert dedup_key is not None
            table.entries[dedup_key] = entry
            table.used_bytes += ENTRY_BYTES + len(one.result or b"")
            made.append(entry)
        for rpc, of in zip(self.rpcs, self.state.rpcs, strict=True):
            if of.entry >= 0:
                table.link_repeat(rpc, made[of.entry])
                if of.waits:
                    made[of.entry].waiters[rpc] = None

    def link(self, one: OfLink) -> DatabaseLink:
        pool = self.router.database
        link = DatabaseLink(pool, lambda link: self.stream(one.stream, link, DATABASE_MAX_UNSENT_BYTES))
        link.decoder.lines.buffer += one.buffer
        if one.fresh:
            pool.links.append(link)
        if one.buffer:
            link.start_partial_reply_timer()
        for i, start, end, at in one.calls:
            rpc = self.rpcs[i]
            call = DatabaseCall(rpc, link, start, end)
            pool.calls[rpc] = call
            link.calls[rpc.rpc_id] = call
            call.timer = self.loop.after(max(0.0, at - self.loop.now_ms), partial(pool.on_timeout, call))
        return link

    def engine(self) -> None:
        e, one = self.router.engine, self.state.engine
        for name, value in one.plain.items():
            if name in ENGINE_LINK_STATE:
                setattr(e, ENGINE_LINK_STATE[name], value)
        e.decoder = engine_wire.NoticeDecoder()
        e.decoder.lines.buffer += one.buffer
        e.gauge_query = GaugeQuery(one.stats[0], one.stats[1]) if one.stats is not None else None
        e.unconfirmed.extend(e.commands[self.rpcs[i]] for i in one.unsure if self.rpcs[i] in e.commands)
        if one.stream is not None:
            e.stream = self.stream(one.stream, e, ENGINE_MAX_UNSENT_BYTES)
        else:
            e.reconnect_timer = self.loop.after(RECONNECT_DELAY_MS, e.attach)
