"""Defines the format in which a server's state is transferred to another build.

The format is MessagePack. Each struct is stored as a map, or as an array if it is declared `array_like`. A
reader ignores unknown keys of a struct and uses the default of a missing key. A change that readers cannot
ignore must increment the version of the channel's frames. Times are on the machine's monotonic clock, which
both processes share. The names in quotes are part of the format: they must stay when an attribute is renamed.
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct, field

from landingshift.net.routing.engine_commands import CommandKind

RPC_RECORD_NAMES = {
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
"""Maps stored names to attributes that `RoutedRpc` adds to `Rpc`."""

RPC_FACT_NAMES = {
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
"""Maps stored names to attributes that `RoutedRpc` inherits from `Rpc`, and to `RoutedRpc.tenant_name`."""

CONNECTION_NAMES = {
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
"""Maps stored names to attributes of `GatewayConnection`."""

ENGINE_LINK_NAMES = {
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
"""Maps stored names to attributes of `EngineLink`."""

NO_INDEX = -1  # stored instead of an index if there is no object to refer to


def stored_values(owner: object, names: dict[str, str]) -> dict[str, Any]:
    """Returns the values of the attributes of `owner` that `names` lists, keyed by stored name."""
    return {stored: getattr(owner, attribute) for stored, attribute in names.items()}


def attribute_values(stored: dict[str, Any], names: dict[str, str]) -> dict[str, Any]:
    """Returns the stored values, keyed by attribute name; a stored name that is not in `names` is kept."""
    return {names.get(name, name): value for name, value in stored.items()}


class StoredStream(Struct):
    """The state of a stream (a TCP connection).

    Attributes:
        descriptor_index: The index of its socket in the list of transferred descriptors.
        output: The queued bytes that are not sent yet.
        queued_bytes: The number of bytes queued since the connection was opened.
        sent_bytes: The number of bytes sent since the connection was opened.
        last_activity_ms: The time of the last transfer of bytes in either direction.
        is_reading: Whether the peer may still send; False once it has closed its sending side.
        is_connecting: Whether the connection is not established yet.
        close_reason: The reason of a graceful close in progress; empty if there is none.
    """

    descriptor_index: int = field(name="fd")
    output: bytes = field(name="out")
    queued_bytes: int = field(name="queued")
    sent_bytes: int = field(name="sent")
    last_activity_ms: float = field(name="last")
    is_reading: bool = field(name="reading")
    is_connecting: bool = field(name="connecting")
    close_reason: str = field(name="reason")


class StoredCommand(Struct, array_like=True):
    """A command that is not known to have reached the engine. Stored as an array in the order of the fields.

    Attributes:
        data: The encoded command.
        kind: What it asks the engine to do.
        stream_end: The offset in the link's output stream at which it ends; -1 before it is written.
        is_in_doubt: Whether it was sent on a link that broke, so that it may have arrived.
        is_withheld: Whether it is not resent until the RPC is answered or abandoned.
    """

    data: bytes
    kind: CommandKind
    stream_end: int
    is_in_doubt: bool
    is_withheld: bool


class StoredRpc(Struct):
    """An RPC that is open or owns a deduplication entry.

    An RPC owns an entry if duplicates are answered with its result; the RPC itself can already be closed.

    Attributes:
        method_index: The index of its method in `Settings.methods`.
        tenant_name: The name of its tenant in the configuration; None for a tenant that is not configured.
        record: The values of the attributes in `RPC_RECORD_NAMES`, keyed by stored name.
        facts: The values of the attributes in `RPC_FACT_NAMES`, keyed by stored name.
        connection_index: The index of its connection in `StoredState.connections`, or `NO_INDEX` if that
            connection is closed.
        command: Its latest command to the engine; None if no command is unconfirmed.
        original_index: The index in `StoredState.dedup_entries` of the entry that answers this RPC, or
            `NO_INDEX` if it is not a duplicate.
        waits_for_original: Whether it is answered only once the owner of that entry has ended.
        used_link_indexes: Indexes in `StoredState.database_links` of the links on which a late reply to one
            of its calls can still arrive.
    """

    method_index: int = field(name="method")
    tenant_name: str | None = field(name="tenant")
    record: dict[str, Any] = field(name="own")
    facts: dict[str, Any]
    connection_index: int = field(name="connection", default=NO_INDEX)
    command: StoredCommand | None = None
    original_index: int = field(name="entry", default=NO_INDEX)
    waits_for_original: bool = field(name="waits", default=False)
    used_link_indexes: list[int] = field(name="stale", default_factory=list)


class StoredConnection(Struct):
    """A connection from a gateway.

    Attributes:
        stream: The connection's stream.
        undecoded: The received part of an incomplete message.
        attributes: The values of the attributes in `CONNECTION_NAMES`, keyed by stored name.
        rpc_indexes: Indexes of the open RPCs in `StoredState.rpcs`, keyed by the message id of the request.
    """

    stream: StoredStream
    undecoded: bytes = field(name="rest")
    attributes: dict[str, Any] = field(name="counts")
    rpc_indexes: dict[int, int] = field(name="rpcs")


class StoredDedupEntry(Struct):
    """An entry of the deduplication table.

    Attributes:
        owner_index: The index in `StoredState.rpcs` of the RPC whose result answers duplicates.
        expires_ms: The time at which the entry expires.
        outcome: The value of the owner's `Outcome`; None while the owner is queued or runs.
        ended_ms: The time at which the owner ended.
        result: The owner's result; None if it has none or the result was evicted.
        run_time_ms: The duration of the owner's run.
    """

    owner_index: int = field(name="owner")
    expires_ms: float = field(name="until")
    outcome: int | None
    ended_ms: float = field(name="ended")
    result: bytes | None
    run_time_ms: float = field(name="work")


class StoredDatabaseCall(Struct, array_like=True):
    """A database call in flight. Stored as an array in the order of the fields.

    Attributes:
        rpc_index: The index in `StoredState.rpcs` of the RPC that made the call.
        started_ms: The time at which the call started.
        stream_end: The offset in the link's output stream at which the request ends.
        times_out_ms: The time at which the call times out.
    """

    rpc_index: int
    started_ms: float
    stream_end: int
    times_out_ms: float


class StoredDatabaseLink(Struct):
    """A connection to the database.

    Attributes:
        stream: The link's stream.
        undecoded: The received part of an incomplete reply.
        accepts_new_calls: Whether new calls may use the link; False once it is retired.
        calls: The calls in flight on the link.
    """

    stream: StoredStream
    undecoded: bytes = field(name="buffer")
    accepts_new_calls: bool = field(name="fresh")
    calls: list[StoredDatabaseCall]


class StoredGaugeQuery(Struct, array_like=True):
    """An unanswered query for the engine's gauges. Stored as an array in the order of the fields.

    Attributes:
        tag: The tag that identifies the answer.
        bytes_before: The length of the link's output stream before the query; the answer confirms that the
            engine has received these bytes.
    """

    tag: bytes
    bytes_before: int


class StoredEngineLink(Struct):
    """The link to the engine.

    Attributes:
        stream: The link's stream; None while there is no connection.
        undecoded: The received part of an incomplete notice.
        attributes: The values of the attributes in `ENGINE_LINK_NAMES`, keyed by stored name.
        gauge_query: The unanswered gauge query; None if there is none.
        unconfirmed_rpc_indexes: Indexes in `StoredState.rpcs` of the RPCs whose commands are queued and not
            confirmed, in the order of the queue.
    """

    stream: StoredStream | None
    undecoded: bytes = field(name="buffer")
    attributes: dict[str, Any] = field(name="plain")
    gauge_query: StoredGaugeQuery | None = field(name="stats")
    unconfirmed_rpc_indexes: list[int] = field(name="unsure")


class StoredHealth(Struct, array_like=True):
    """The state of the `HealthReporter`. Stored as an array in the order of the fields.

    Attributes:
        is_healthy: Whether the server reports itself as healthy.
        is_shallow: Whether deep health checks skip the engine's self-test.
        is_reporting: Whether reports to the roster have begun.
    """

    is_healthy: bool
    is_shallow: bool
    is_reporting: bool


class StoredState(Struct):
    """The transferred state of a server.

    Attributes:
        connections: The connections from gateways.
        rpcs: The admission controller's RPCs in its order, then other RPCs that own deduplication entries.
        dedup_entries: The entries of the deduplication table, in its order.
        database_links: The open links to the database.
        engine_link: The link to the engine.
        admission: The controller's state from `AdmissionController.export_state`; None before it exists.
        managed_rpc_count: The number of RPCs at the start of `rpcs` that belong to the admission controller.
        starts_cold: Whether the admission controller was created with a slow start.
        answer_headers: The headers that each answer carries to advertise the server's load.
        is_draining: Whether a graceful shutdown is in progress.
        health: The state of the health reporter.
        idle_limit_ms: The idle time after which connections from gateways are closed.
        stop_at_ms: The time at which the process is killed in a graceful shutdown; 0 if none is in progress.
    """

    connections: list[StoredConnection]
    rpcs: list[StoredRpc]
    dedup_entries: list[StoredDedupEntry] = field(name="entries")
    database_links: list[StoredDatabaseLink] = field(name="links")
    engine_link: StoredEngineLink = field(name="engine")
    admission: dict[str, Any] | None = field(name="module")
    managed_rpc_count: int = field(name="jobs")
    starts_cold: bool = field(name="cold")
    answer_headers: dict[str, str] = field(name="told")
    is_draining: bool = field(name="draining")
    health: StoredHealth
    idle_limit_ms: float = field(name="idle")
    stop_at_ms: float = field(name="stop_at", default=0.0)
