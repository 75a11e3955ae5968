"""The state of a server as another build reads it: structs and names of the stored format.

MessagePack, a map a struct. A key that the reader does not know is left out; a key that is missing keeps its
default. What can't be left out raises the version of the channel's frames. Times are of the machine's
monotonic clock, which both builds share. Names in quotes are stored and stay when ours change.
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct, field

# Stored name -> our attribute. What an RPC's record holds besides what the admission controller was told.
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
# What the admission controller was told of the RPC.
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
# Of a gateway's connection.
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
# Of the link to the engine.
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
NO_INDEX = -1  # in place of an index: there is none


def stored_values(owner: object, names: dict[str, str]) -> dict[str, Any]:
    """Returns the attributes of `owner` that `names` lists, by their stored names."""
    return {stored: getattr(owner, attribute) for stored, attribute in names.items()}


def attribute_values(stored: dict[str, Any], names: dict[str, str]) -> dict[str, Any]:
    """Returns the stored values by attribute; a name that this build does not know stays as it is."""
    return {names.get(name, name): value for name, value in stored.items()}


class StoredStream(Struct):
    """A TCP connection.

    Attributes:
        descriptor_index: Which of the descriptors that come with the state.
        output: Queued and not sent.
        queued_bytes: Since the start.
        sent_bytes: Since the start.
        last_activity_ms: When bytes last went either way.
        is_reading: The other side has not ended its side.
        is_connecting: The connection is not made yet.
        close_reason: Set once it is to close gracefully.
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
    """A command to the engine that is not known to have arrived; an array in this order.

    Attributes:
        data: Its bytes.
        starts_run: It must not happen twice.
        stream_end: Where it ends in the link's stream; -1 before it is written.
        is_in_doubt: Given to a link that broke: it may have arrived.
        is_withheld: Not to be sent yet.
    """

    data: bytes
    starts_run: bool
    stream_end: int
    is_in_doubt: bool
    is_withheld: bool


class StoredRpc(Struct):
    """An RPC in hand, or the owner of a deduplication entry.

    Attributes:
        method_index: Index in the order of the settings.
        tenant_name: None for a tenant without settings of its own.
        record: By `RPC_RECORD_NAMES`.
        facts: By `RPC_FACT_NAMES`.
        connection_index: Index in the order of the connections; `NO_INDEX` where it is gone.
        command: None once it is known to have arrived.
        original_index: The deduplication entry that it repeats, or `NO_INDEX`.
        waits_for_original: It is answered once that one ends.
        used_link_indexes: Links to the database that had its calls.
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
    """A gateway's connection.

    Attributes:
        stream: Its connection.
        unread: The beginning of a message that is not complete.
        attributes: By `CONNECTION_NAMES`.
        rpc_indexes: The open RPCs by message number.
    """

    stream: StoredStream
    unread: bytes = field(name="rest")
    attributes: dict[str, Any] = field(name="counts")
    rpc_indexes: dict[int, int] = field(name="rpcs")


class StoredDedupEntry(Struct):
    """A deduplication entry.

    Attributes:
        owner_index: The RPC that repeats are answered from.
        expires_ms: Until when.
        outcome: The value of its `Outcome`; None while it is held or runs.
        ended_ms: When it ended.
        result: Its answer.
        run_time_ms: How long it ran.
    """

    owner_index: int = field(name="owner")
    expires_ms: float = field(name="until")
    outcome: int | None
    ended_ms: float = field(name="ended")
    result: bytes | None
    run_time_ms: float = field(name="work")


class StoredDatabaseCall(Struct, array_like=True):
    """A call under way; an array in this order.

    Attributes:
        rpc_index: Whose call it is.
        started_ms: When.
        stream_end: Where it ends in the link's stream.
        times_out_ms: When it is given up.
    """

    rpc_index: int
    started_ms: float
    stream_end: int
    times_out_ms: float


class StoredDatabaseLink(Struct):
    """A connection to the database.

    Attributes:
        stream: Its connection.
        unread: The beginning of a reply that is not complete.
        takes_new_calls: False once it is retired.
        calls: Under way.
    """

    stream: StoredStream
    unread: bytes = field(name="buffer")
    takes_new_calls: bool = field(name="fresh")
    calls: list[StoredDatabaseCall]


class StoredGaugeQuery(Struct, array_like=True):
    """A query for the engine's gauges that is not answered yet; an array in this order.

    Attributes:
        tag: Tag of the answer.
        bytes_before: Bytes that were written to the link's stream before it.
    """

    tag: bytes
    bytes_before: int


class StoredEngineLink(Struct):
    """The link to the engine.

    Attributes:
        stream: Its connection; None while there is none.
        unread: The beginning of a notice that is not complete.
        attributes: By `ENGINE_LINK_NAMES`.
        gauge_query: None where none is open.
        unconfirmed_rpc_indexes: RPCs whose command is not known to have arrived, in order.
    """

    stream: StoredStream | None
    unread: bytes = field(name="buffer")
    attributes: dict[str, Any] = field(name="plain")
    gauge_query: StoredGaugeQuery | None = field(name="stats")
    unconfirmed_rpc_indexes: list[int] = field(name="unsure")


class StoredHealth(Struct, array_like=True):
    """What load balancers are told; an array in this order.

    Attributes:
        is_healthy: As `HealthReporter` has it.
        is_shallow: As `HealthReporter` has it.
        is_reporting: Whether reports have begun.
    """

    is_healthy: bool
    is_shallow: bool
    is_reporting: bool


class StoredState(Struct):
    """All that a server has in hand.

    Attributes:
        connections: Of gateways.
        rpcs: The admission controller's first, then owners of deduplication entries.
        dedup_entries: Entries in the order of the table.
        database_links: Open ones.
        engine_link: The one link to the engine.
        admission: As `AdmissionController.export_state` gives it; None before it decides.
        managed_rpc_count: The first so many RPCs are the admission controller's, in its order.
        starts_cold: Whether the admission controller began with a slow start.
        answer_headers: What gateways are told with each answer.
        is_draining: Whether a graceful shutdown is under way.
        health: What load balancers are told.
        idle_limit_ms: After which idle connections of gateways are closed.
        stop_at_ms: When a graceful shutdown ends with the process; 0 where none is under way.
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
