"""Brings other instances' ledgers, over the network or from files, into a merged one."""

from __future__ import annotations

import sqlite3
from pathlib import Path

from landingshift.ledger.entries import EntryRow
from landingshift.ledger.errors import StoreUnavailableError
from landingshift.ledger.merge_rules import MergeResult
from landingshift.ledger.merged_store import MergedStore
from landingshift.ledger.peer_exchange import PeerClient


def merge_peer(merged: MergedStore, peer: PeerClient) -> MergeResult:
    """Adds all that a peer has and the merged ledger lacks.

    Raises:
        grpc.RpcError: The peer did not answer.
        StoreUnavailableError: Its entries do not hold.
    """
    head = peer.head()
    branch = merged.current_branch(head.instance)
    after = merged.head_number(branch)
    if head.number < after or merged.hash_at(branch, head.number) not in (None, head.hash):
        # An old copy, perhaps gone on: looked at from its beginning, what is known changes nothing.
        after = 0
        branch = head.instance
    new_count = 0
    has_more = True
    while has_more:
        pulled = peer.pull(head.instance, after)
        if not pulled.rows:
            break
        first = pulled.rows[0]
        if after and first.number == after + 1 and not merged.follows_chain(branch, first):
            # It diverged from this branch before the branch's end.
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
    """Adds all entries of a ledger's file.

    Raises:
        StoreUnavailableError: The file is no ledger or does not hold.
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
