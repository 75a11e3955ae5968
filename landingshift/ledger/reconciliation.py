"""Merges the ledgers of instances, read over the network or from files, into a merged ledger."""

from __future__ import annotations

import sqlite3
from pathlib import Path

from landingshift.ledger.entries import EntryRow
from landingshift.ledger.errors import MissingEntryError, StoreUnavailableError
from landingshift.ledger.merge_rules import MergeResult
from landingshift.ledger.merged_store import MergedStore
from landingshift.ledger.peer_exchange import PeerClient


def merge_peer(merged: MergedStore, peer: PeerClient) -> MergeResult:
    """Pulls the entries of a peer that the merged ledger does not have, and adds them to it.

    Raises:
        grpc.RpcError: A call to the peer failed.
        MissingEntryError: The peer compacted entries that the merged ledger does not have.
        StoreUnavailableError: The peer's entries do not form a valid chain.
    """
    head = peer.head()
    branch = merged.current_branch(head.instance)
    after = merged.head_number(branch)
    if head.number < after or merged.hash_at(branch, head.number) not in (None, head.hash):
        # The peer was restored from an old backup, and its newest entries might differ from the branch.
        # Compare all of its entries with the instance's first branch; those already merged are ignored.
        after = 0
        branch = head.instance
    new_count = 0
    has_more = True
    while has_more:
        pulled = peer.pull(head.instance, after)
        if not pulled.rows:
            if after < head.number:  # the peer compacted so many entries that a whole reply is empty
                raise MissingEntryError(head.instance, after + 1, head.number)
            break
        first = pulled.rows[0]
        if after and first.number == after + 1 and not merged.follows_chain(branch, first):
            # The peer's entry does not continue the branch, so an earlier entry of the peer already differs.
            # Compare all of its entries with the instance's first branch.
            after = 0
            branch = head.instance
            continue
        added_count, branch = merged.add_entries(head.instance, pulled.rows, branch)
        new_count += added_count
        after = pulled.rows[-1].number
        has_more = pulled.has_more
    missing_count = max(0, merged.head_number(branch) - head.number)
    return MergeResult(head.instance, new_count, branch, missing_count)


def merge_file(merged: MergedStore, path: str) -> MergeResult:
    """Adds all entries of a store's SQLite file.

    Raises:
        StoreUnavailableError: The file is not a store, or its entries do not form a valid chain.
    """
    try:
        db = sqlite3.connect(f"{Path(path).resolve().as_uri()}?mode=ro", uri=True)
        try:
            return _merge_database(merged, db, path)
        finally:
            db.close()
    except sqlite3.Error as err:
        raise StoreUnavailableError(path, err) from err


def _merge_database(merged: MergedStore, db: sqlite3.Connection, path: str) -> MergeResult:
    row = db.execute("SELECT value FROM meta WHERE key = 'instance'").fetchone()
    if row is None:
        raise StoreUnavailableError(path, "no ledger")
    instance = str(row[0])
    rows = map(EntryRow._make, db.execute("SELECT number, kind, data, hash FROM entries ORDER BY number"))
    new_count, branch = merged.add_entries(instance, rows)
    newest_number = db.execute("SELECT max(number) FROM entries").fetchone()[0] or 0
    missing_count = max(0, merged.head_number(branch) - newest_number)
    return MergeResult(instance, new_count, branch, missing_count)
