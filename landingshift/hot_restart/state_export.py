"""Exports the state of a server's router as bytes and file descriptors for another build.

The export must take place between two passes of the event loop, when no event is pending.

Guarantee: the old router keeps its state and can continue if the new process fails. The export changes only
one thing in it: deep health checks in progress are answered without the engine's self-test.
Failure mode: state that cannot be transferred raises a `StateTransferError`, and nothing is exported.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import msgpack

from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.hot_restart.errors import (
    AnswersGatedError,
    ReplacedResultError,
    UnfinishedPassError,
    UnmanagedRpcError,
)
from landingshift.hot_restart.stored_state import (
    CONNECTION_NAMES,
    ENGINE_LINK_NAMES,
    NO_INDEX,
    RPC_FACT_NAMES,
    RPC_RECORD_NAMES,
    StoredCommand,
    StoredConnection,
    StoredDatabaseCall,
    StoredDatabaseLink,
    StoredDedupEntry,
    StoredEngineLink,
    StoredGaugeQuery,
    StoredHealth,
    StoredRpc,
    StoredState,
    StoredStream,
    stored_values,
)
from landingshift.net.routing.database_pool import DatabaseCall, DatabaseLink
from landingshift.net.routing.dedup import DedupEntry
from landingshift.net.routing.gateway_connection import GatewayConnection
from landingshift.net.routing.router import Router
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.transport.stream import Stream


class ExportedState(NamedTuple):
    """The state to send to the other build.

    Attributes:
        data: A `StoredState` encoded as MessagePack.
        descriptors: The file descriptors to which `data` refers by index; the first is that of the listening
            socket. The old router still owns all of them.
    """

    data: bytes
    descriptors: list[int]


class StateExporter:
    """Exports the state of a router. An exporter can be used only once.

    Args:
        router: The router whose state is exported.

    Raises:
        UnfinishedPassError: If the event loop has pending work from its current pass.
        AnswersGatedError: If the router has an answer gate.
    """

    def __init__(self, router: Router) -> None:
        driver = router.driver
        if driver.deferred or driver.needs_settle or router.loop.pending_writers or router.database.cancelled:
            raise UnfinishedPassError
        if router.answers.gate is not None:
            raise AnswersGatedError
        self._router = router
        self._descriptors: list[int] = []
        self._connections = list(router.gateways.connections)
        self._links = [*router.database.links]
        self._links += [link for link in self._links_with_calls() if link not in self._links]
        self._rpc_indexes: dict[RoutedRpc, int] = {}
        self._entry_indexes: dict[DedupEntry, int] = {}
        self._owner_indexes: dict[DedupEntry, int] = {}

    def _links_with_calls(self) -> list[DatabaseLink]:
        """Returns the links with calls in flight, including retired links."""
        calls = self._router.database.calls
        return list({calls[rpc].link: None for rpc in self._router.table if rpc in calls})

    def export(self) -> ExportedState:
        """Returns the router's state and descriptors; answers deep health checks in progress.

        Raises:
            UnmanagedRpcError: If the admission controller does not have one of the router's RPCs.
            ReplacedResultError: If a duplicate refers to a deduplication entry that was replaced.
        """
        router = self._router
        router.engine.abandon_self_tests()
        self._descriptors.append(router.gateways.listener.sock.fileno())
        admission = router.admission
        admission_state = None
        managed_rpcs: list[ManagedRpc] = []
        if admission is not None:
            admission_state, managed_rpcs = admission.export_state()
        rpcs = self._index_rpcs(managed_rpcs)
        self._index_dedup_entries(rpcs)
        # Exporting a stream appends its descriptor, so the descriptors are in the order of these arguments.
        state = StoredState(
            connections=[self._export_connection(connection) for connection in self._connections],
            rpcs=[self._export_rpc(rpc) for rpc in rpcs],
            dedup_entries=[self._export_dedup_entry(entry) for entry in self._entry_indexes],
            database_links=[self._export_link(link) for link in self._links if link.stream is not None],
            engine_link=self._export_engine_link(),
            admission=admission_state,
            managed_rpc_count=len(managed_rpcs),
            starts_cold=admission is not None and admission.settings.starts_cold,
            answer_headers=router.answers.headers,
            is_draining=router.is_draining,
            stop_at_ms=router.shutdown.stop_at_ms,
            health=self._export_health(),
            idle_limit_ms=router.gateways.context.idle_limit_ms,
        )
        return ExportedState(msgpack.encode(state), self._descriptors)

    def _index_rpcs(self, managed_rpcs: list[ManagedRpc]) -> list[RoutedRpc]:
        """Assigns indexes to RPCs and returns the RPCs in this order.

        The admission controller's RPCs come first, then the other RPCs that own deduplication entries.

        Raises:
            UnmanagedRpcError: If an RPC in the router's table gets no index.
        """
        rpcs = [managed.rpc for managed in managed_rpcs if isinstance(managed.rpc, RoutedRpc)]
        assert len(rpcs) == len(managed_rpcs)
        self._rpc_indexes = {rpc: index for index, rpc in enumerate(rpcs)}
        for entry in self._router.dedup.entries.values():
            owner = entry.owner if entry.owner is not None else _closed_owner(entry)
            if owner not in self._rpc_indexes:
                self._rpc_indexes[owner] = len(rpcs)
                rpcs.append(owner)
            self._owner_indexes[entry] = self._rpc_indexes[owner]
        if any(rpc not in self._rpc_indexes for rpc in self._router.table):
            raise UnmanagedRpcError
        return rpcs

    def _index_dedup_entries(self, rpcs: list[RoutedRpc]) -> None:
        """Assigns indexes to the deduplication entries.

        Raises:
            ReplacedResultError: If a duplicate refers to an entry that is no longer in the table.
        """
        dedup = self._router.dedup
        self._entry_indexes = {entry: index for index, entry in enumerate(dedup.entries.values())}
        originals = dedup.originals
        if any(originals[rpc] not in self._entry_indexes for rpc in rpcs if rpc in originals):
            raise ReplacedResultError

    def _export_stream(self, stream: Stream) -> StoredStream:
        self._descriptors.append(stream.sock.fileno())
        return StoredStream(
            descriptor_index=len(self._descriptors) - 1,
            output=bytes(stream.output),
            queued_bytes=stream.queued_bytes,
            sent_bytes=stream.sent_bytes,
            last_activity_ms=stream.last_activity_ms,
            is_reading=stream.is_reading,
            is_connecting=stream.is_connecting,
            close_reason=stream.close_reason,
        )

    def _export_connection(self, connection: GatewayConnection) -> StoredConnection:
        return StoredConnection(
            stream=self._export_stream(connection.stream),
            undecoded=connection.decoder.buffer,
            attributes=stored_values(connection, CONNECTION_NAMES),
            rpc_indexes={number: self._rpc_indexes[rpc] for number, rpc in connection.rpcs.items()},
        )

    def _export_rpc(self, rpc: RoutedRpc) -> StoredRpc:
        router = self._router
        config = router.config
        connection = None if rpc.is_closed else router.gateways.connections.get(rpc.connection)
        original = router.dedup.originals.get(rpc)
        used_links = router.database.used_links.get(rpc, ())
        return StoredRpc(
            method_index=config.settings.methods.index(rpc.method),
            tenant_name=next((name for name, tenant in config.tenants.items() if tenant is rpc.tenant), None),
            record=stored_values(rpc, RPC_RECORD_NAMES),
            facts=stored_values(rpc, RPC_FACT_NAMES),
            connection_index=NO_INDEX if connection is None else self._connections.index(connection),
            command=self._export_command(rpc),
            original_index=NO_INDEX if original is None else self._entry_indexes[original],
            waits_for_original=original is not None and rpc in (original.waiters or ()),
            used_link_indexes=[index for index, link in enumerate(self._links) if link in used_links],
        )

    def _export_command(self, rpc: RoutedRpc) -> StoredCommand | None:
        command = self._router.engine.commands.latest.get(rpc)
        if command is None:
            return None
        return StoredCommand(
            data=command.data,
            kind=command.kind,
            stream_end=command.stream_end,
            is_in_doubt=command.is_in_doubt,
            is_withheld=command.is_withheld,
        )

    def _export_dedup_entry(self, entry: DedupEntry) -> StoredDedupEntry:
        return StoredDedupEntry(
            owner_index=self._owner_indexes[entry],
            expires_ms=entry.expires_ms,
            outcome=entry.outcome.value if entry.outcome is not None else None,
            ended_ms=entry.ended_ms,
            result=entry.result,
            run_time_ms=entry.run_time_ms,
        )

    def _export_link(self, link: DatabaseLink) -> StoredDatabaseLink:
        assert link.stream is not None
        return StoredDatabaseLink(
            stream=self._export_stream(link.stream),
            undecoded=bytes(link.decoder.line_decoder.buffer),
            accepts_new_calls=link in self._router.database.links,
            calls=[self._export_call(call) for call in link.calls.values()],
        )

    def _export_call(self, call: DatabaseCall) -> StoredDatabaseCall:
        return StoredDatabaseCall(
            rpc_index=self._rpc_indexes[call.rpc],
            started_ms=call.started_ms,
            stream_end=call.stream_end,
            times_out_ms=call.timer.due_ms if call.timer else 0.0,
        )

    def _export_engine_link(self) -> StoredEngineLink:
        engine = self._router.engine
        gauge_query = None
        if engine.gauge_query is not None:
            gauge_query = StoredGaugeQuery(engine.gauge_query.tag, engine.gauge_query.bytes_before)
        return StoredEngineLink(
            stream=self._export_stream(engine.stream) if engine.stream is not None else None,
            undecoded=bytes(engine.decoder.line_decoder.buffer),
            attributes=stored_values(engine, ENGINE_LINK_NAMES),
            gauge_query=gauge_query,
            unconfirmed_rpc_indexes=[
                self._rpc_indexes[command.rpc]
                for command in engine.commands.queue
                if engine.commands.latest.get(command.rpc) is command
            ],
        )

    def _export_health(self) -> StoredHealth:
        reporter = self._router.health_reporter
        return StoredHealth(reporter.is_healthy, reporter.is_shallow, reporter.is_reporting)


def _closed_owner(entry: DedupEntry) -> RoutedRpc:
    """Returns a record of an entry's closed owner, with only what the other build needs of it: the key."""
    return RoutedRpc(
        method=entry.method,
        tenant=None,
        remaining_ms=None,
        waited_ms=0.0,
        memory_kb=0.0,
        caller_id=0,
        work_hint_ms=None,
        has_cache_key=False,
        is_duplicate=False,
        is_retry=False,
        is_write=False,
        rpc_id=b"",
        method_name=entry.dedup_key[0],
        body=b"",
        connection=NO_INDEX,
        message_id=0,
        dedup_key=entry.dedup_key,
        is_answered=True,
        is_closed=True,
    )
