"""Messages between the server and the store's process: MessagePack arrays, fields by position."""

from __future__ import annotations

from msgspec import Struct


class ReportedUsage(Struct, array_like=True):
    """Usage as the server reports it, with names in full."""

    sequence: int
    at_ms: int
    """Unix time."""
    tenant: bytes
    method: bytes
    work_us: int
    bytes_in: int
    bytes_out: int
    identity: bytes
    """Names the client's attempt."""


class UsageBatch(Struct, array_like=True):
    """Committed as one. `number` rises by one within a run, so that a batch sent again is recognised."""

    number: int
    usages: list[ReportedUsage]
    delivered: list[int]
    """By sequence: the gateway's machine has the complete answer."""
    undelivered: list[int]
    """By sequence: the answer never left complete."""
    disputed: list[int]
    """By sequence: whether the answer arrived is unknown."""
    dropped_count: int = 0
    """Usage that found no room in the queue since the last batch."""


class StoreStatus(Struct, array_like=True):
    """What the store's process reports after each commit, and where it can't commit."""

    committed_batch: int
    """Number of the last batch that is durable; -1 where none was looked at."""
    error: str = ""
    """Why nothing can be committed at the moment."""
    shortened_count: int = 0
    """Times that identities were forgotten within their window."""
