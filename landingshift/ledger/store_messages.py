"""Messages between the server and the store's process, encoded as MessagePack arrays without field names."""

from __future__ import annotations

from msgspec import Struct


class ReportedUsage(Struct, array_like=True):
    """Usage of one RPC that was answered ok, with the names of tenant and method instead of entry numbers."""

    sequence: int
    """Number of this usage record within the server process, from 1."""
    at_ms: int
    """Unix time at which the answer was ready."""
    tenant: bytes
    method: bytes
    work_us: int
    """Run time on the engine."""
    bytes_in: int
    """Size of the request body."""
    bytes_out: int
    """Size of the result."""
    identity: bytes
    """Identity of the client's attempt, computed by `attempt_identity`."""


class UsageBatch(Struct, array_like=True):
    """Usage and delivery outcomes that the store commits together."""

    number: int
    """Number of the batch within the server process, from 1; the store uses it to ignore resent batches."""
    usages: list[ReportedUsage]
    delivered: list[int]
    """Sequence numbers of usage whose complete answer the gateway's machine acknowledged."""
    undelivered: list[int]
    """Sequence numbers of usage whose answer was never sent completely."""
    disputed: list[int]
    """Sequence numbers of usage for which it is unknown whether the answer arrived."""
    dropped_count: int = 0
    """Number of usage records dropped since the last batch because the queue was full."""


class StoreStatus(Struct, array_like=True):
    """Status report that the store's process sends after its start and after each commit or failed commit."""

    committed_batch: int
    """Number of the last durable batch; -1 if the store could not be opened or SQLite failed to commit."""
    error: str = ""
    """Why the store can't be opened or the last commit failed; empty if there is no error."""
    shortened_count: int = 0
    """Number of times that identities were forgotten before their deduplication window had passed."""
