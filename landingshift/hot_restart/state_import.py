"""Creates a router from the state that another build exported; it continues where the old router stopped.

Guarantee: no socket is read or written before the next pass of the event loop. Until that pass, the old
process can still resume service.
Failure mode: if the settings lack a method or tenant of the state, the import raises
`IncompatibleSettingsError` and creates no router.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from msgspec import msgpack

from landingshift.admission.controller import AdmissionController
from landingshift.admission.interface import Outcome
from landingshift.hot_restart.errors import IncompatibleSettingsError
from landingshift.hot_restart.stored_state import (
    CONNECTION_NAMES,
    ENGINE_LINK_NAMES,
    NO_INDEX,
    RPC_FACT_NAMES,
    RPC_RECORD_NAMES,
    StoredCommand,
    StoredConnection,
    StoredDatabaseLink,
    StoredDedupEntry,
    StoredRpc,
    StoredState,
    StoredStream,
    attribute_values,
)
from landingshift.net.protocol import engine as engine_wire
from landingshift.net.routing.database_pool import MAX_UNSENT_BYTES as DATABASE_MAX_UNSENT_BYTES
from landingshift.net.routing.database_pool import DatabaseCall, DatabaseLink
from landingshift.net.routing.dedup import DedupEntry
from landingshift.net.routing.engine_commands import EngineCommand
from landingshift.net.routing.engine_link import MAX_UNSENT_BYTES as ENGINE_MAX_UNSENT_BYTES
from landingshift.net.routing.engine_link import RECONNECT_DELAY_MS, GaugeQuery
from landingshift.net.routing.gateway_connection import MAX_UNSENT_BYTES as GATEWAY_MAX_UNSENT_BYTES
from landingshift.net.routing.gateway_connection import RESET_TIME_MS, GatewayConnection
from landingshift.net.routing.router import Router
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.routing.server_config import ServerConfig
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import READS_PER_PASS, ByteBudget, Stream, StreamOwner


class StateImporter:
    """Creates a router from the state that another build exported.

    Args:
        data: A `StoredState` encoded as MessagePack.
        descriptors: The file descriptors to which `data` refers by index; the first is that of the listening
            socket. The importer takes ownership of all of them.

    Raises:
        msgspec.DecodeError: If `data` is invalid. The caller then still owns the descriptors.
    """

    def __init__(self, data: bytes, descriptors: list[int]) -> None:
        self._state = msgpack.decode(data, type=StoredState)
        self._sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        for sock in self._sockets:
            sock.setblocking(False)

    def import_router(self, loop: Loop, config: ServerConfig, log: Callable[..., None]) -> Router:
        """Returns a router that continues from the imported state.

        Args:
            loop: The event loop of the router.
            config: The configuration of the router.
            log: The log function of the router.

        Raises:
            IncompatibleSettingsError: If the settings lack the method or tenant of an RPC in the state.
        """
        for rpc in self._state.rpcs:
            has_method = rpc.method_index < len(config.settings.methods)
            has_tenant = rpc.tenant_name is None or rpc.tenant_name in config.tenants
            if not has_method or not has_tenant:
                raise IncompatibleSettingsError
        router = Router(loop, config, log, self._sockets[0])
        _StateRestorer(self._state, self._sockets, loop, config, router).restore()
        return router


class _StateRestorer:
    """Restores a state into a new router; parts that refer to other parts are restored after them."""

    def __init__(
        self,
        state: StoredState,
        sockets: list[socket.socket],
        loop: Loop,
        config: ServerConfig,
        router: Router,
    ) -> None:
        self._state = state
        self._sockets = sockets
        self._loop = loop
        self._config = config
        self._router = router
        self._rpcs: list[RoutedRpc] = []

    def restore(self) -> None:
        """Restores all parts; must be called only once."""
        router = self._router
        state = self._state
        self._rpcs = [self._restore_rpc(stored) for stored in state.rpcs]
        connections = [self._restore_connection(stored) for stored in state.connections]
        self._add_to_table(connections)
        self._add_dedup_entries()
        self._add_database_links()
        self._restore_engine_link()
        router.answers.headers = state.answer_headers
        if state.is_draining:
            # The timer that ends the shutdown belongs to the old process, so this router needs its own.
            router.shutdown.resume(state.stop_at_ms or self._loop.now_ms + self._config.stop_ms)
        self._restore_admission()
        router.gateways.context.idle_limit_ms = state.idle_limit_ms
        for connection in connections:
            connection.check_idle()
        router.health_reporter.is_healthy = state.health.is_healthy
        router.health_reporter.is_shallow = state.health.is_shallow
        if state.health.is_reporting:
            router.health_reporter.start()

    def _restore_stream(
        self,
        stored: StoredStream,
        owner: StreamOwner,
        max_unsent_bytes: int,
        unsent_budget: ByteBudget | None = None,
        reads_per_pass: int = READS_PER_PASS,
    ) -> Stream:
        stream = Stream(
            self._loop,
            self._sockets[stored.descriptor_index],
            owner,
            max_unsent_bytes,
            is_connecting=stored.is_connecting,
            unsent_budget=unsent_budget,
            reads_per_pass=reads_per_pass,
        )
        stream.output += stored.output
        stream.queued_bytes = stored.queued_bytes
        stream.sent_bytes = stored.sent_bytes
        stream.last_activity_ms = stored.last_activity_ms
        stream.is_reading = stored.is_reading
        stream.close_reason = stored.close_reason
        if unsent_budget is not None:
            unsent_budget.used_bytes += len(stored.output)
        if stored.close_reason:
            stream.start_linger_timer()
        stream.update_watch()
        if stored.output:
            self._loop.pending_writers[stream] = None
        return stream

    def _restore_rpc(self, stored: StoredRpc) -> RoutedRpc:
        record = attribute_values(stored.record, RPC_RECORD_NAMES)
        dedup_key = record["dedup_key"]
        record["dedup_key"] = tuple(dedup_key) if dedup_key is not None else None
        tenant_name = stored.tenant_name
        rpc = RoutedRpc(
            method=self._config.settings.methods[stored.method_index],
            tenant=self._config.tenants[tenant_name] if tenant_name is not None else None,
            connection=NO_INDEX,
            **attribute_values(stored.facts, RPC_FACT_NAMES),
            **record,
        )
        if stored.command is not None and not rpc.is_closed:
            self._router.engine.commands.latest[rpc] = _engine_command(rpc, stored.command)
        return rpc

    def _restore_connection(self, stored: StoredConnection) -> GatewayConnection:
        gateways = self._router.gateways
        connection = gateways.add(
            lambda owner: self._restore_stream(
                stored.stream,
                owner,
                GATEWAY_MAX_UNSENT_BYTES,
                unsent_budget=gateways.unsent_budget,
                reads_per_pass=1,
            )
        )
        connection.restore_undecoded(stored.undecoded)
        for name, value in attribute_values(stored.attributes, CONNECTION_NAMES).items():
            setattr(connection, name, value)
        connection.rpcs = {number: self._rpcs[index] for number, index in stored.rpc_indexes.items()}
        if not stored.stream.is_reading and connection.rpcs:
            self._loop.after(RESET_TIME_MS, connection.stream.check_error)
        return connection

    def _add_to_table(self, connections: list[GatewayConnection]) -> None:
        for rpc, stored in zip(self._rpcs, self._state.rpcs, strict=True):
            if stored.connection_index >= 0:
                rpc.connection = connections[stored.connection_index].slot
            if not rpc.is_closed:
                self._router.table.add(rpc)

    def _add_dedup_entries(self) -> None:
        table = self._router.dedup
        entries: list[DedupEntry] = []
        for stored in self._state.dedup_entries:
            entry = self._restore_dedup_entry(stored)
            table.add(entry)
            entries.append(entry)
        for rpc, stored_rpc in zip(self._rpcs, self._state.rpcs, strict=True):
            if stored_rpc.original_index < 0:
                continue
            original = entries[stored_rpc.original_index]
            table.link_duplicate(rpc, original)
            if stored_rpc.waits_for_original and original.waiters is not None:
                original.waiters[rpc] = None

    def _restore_dedup_entry(self, stored: StoredDedupEntry) -> DedupEntry:
        owner = self._rpcs[stored.owner_index]
        assert owner.dedup_key is not None
        has_ended = stored.outcome is not None
        return DedupEntry(
            owner.dedup_key,
            owner.method,
            None if owner.is_closed else owner,
            stored.expires_ms,
            Outcome(stored.outcome) if has_ended else None,
            stored.ended_ms,
            run_time_ms=stored.run_time_ms,
            result=stored.result,
            waiters=None if has_ended else {},
        )

    def _add_database_links(self) -> None:
        links = [self._restore_link(stored) for stored in self._state.database_links]
        for rpc, stored_rpc in zip(self._rpcs, self._state.rpcs, strict=True):
            used_links = [links[index] for index in stored_rpc.used_link_indexes if index < len(links)]
            if used_links:
                self._router.database.used_links[rpc] = used_links

    def _restore_link(self, stored: StoredDatabaseLink) -> DatabaseLink:
        pool = self._router.database
        link = DatabaseLink(
            pool, lambda owner: self._restore_stream(stored.stream, owner, DATABASE_MAX_UNSENT_BYTES)
        )
        link.decoder.line_decoder.buffer += stored.undecoded
        if stored.accepts_new_calls:
            pool.links.append(link)
        if stored.undecoded:
            link.start_partial_reply_timer()
        for stored_call in stored.calls:
            rpc = self._rpcs[stored_call.rpc_index]
            call = DatabaseCall(rpc, link, stored_call.started_ms, stored_call.stream_end)
            pool.calls[rpc] = call
            link.calls[rpc.rpc_id] = call
            remaining_ms = max(0.0, stored_call.times_out_ms - self._loop.now_ms)
            call.timer = self._loop.after(remaining_ms, partial(pool.on_timeout, call))
        return link

    def _restore_engine_link(self) -> None:
        engine = self._router.engine
        stored = self._state.engine_link
        for name, value in stored.attributes.items():
            if name in ENGINE_LINK_NAMES:
                setattr(engine, ENGINE_LINK_NAMES[name], value)
        engine.decoder = engine_wire.NoticeDecoder()
        engine.decoder.line_decoder.buffer += stored.undecoded
        engine.gauge_query = None
        if stored.gauge_query is not None:
            engine.gauge_query = GaugeQuery(stored.gauge_query.tag, stored.gauge_query.bytes_before)
        for index in stored.unconfirmed_rpc_indexes:
            command = engine.commands.latest.get(self._rpcs[index])
            if command is not None:
                engine.commands.queue.append(command)
        if stored.stream is not None:
            engine.stream = self._restore_stream(stored.stream, engine, ENGINE_MAX_UNSENT_BYTES)
        else:
            engine.reconnect_timer = self._loop.after(RECONNECT_DELAY_MS, engine.attach)

    def _restore_admission(self) -> None:
        state = self._state
        if state.admission is None:
            return
        router = self._router
        settings = replace(self._config.settings, starts_cold=state.starts_cold)
        controller = AdmissionController(settings, self._config.seed, router.actions, self._loop.now_ms)
        router.driver.controller = controller
        controller.now_ms = self._loop.now_ms
        managed_rpcs = controller.import_state(state.admission, list(self._rpcs[: state.managed_rpc_count]))
        for rpc, managed in zip(self._rpcs, managed_rpcs, strict=False):
            rpc.managed = None if rpc.is_closed else managed


def _engine_command(rpc: RoutedRpc, stored: StoredCommand) -> EngineCommand:
    return EngineCommand(
        rpc,
        stored.data,
        stored.kind,
        stream_end=stored.stream_end,
        is_in_doubt=stored.is_in_doubt,
        is_withheld=stored.is_withheld,
    )
