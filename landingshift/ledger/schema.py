"""SQLite schema of a store.

The table `entries` contains the ledger, `meta` contains properties of the store, and `baseline` contains the
totals of the compacted part. The other tables are an index that `repair.reindex` can rebuild.
"""

from __future__ import annotations

SCHEMA_VERSION = 1
SCHEMA = """
CREATE TABLE IF NOT EXISTS meta(key TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS entries(number INTEGER PRIMARY KEY, kind INTEGER NOT NULL, data BLOB NOT NULL,
    hash BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS names(tenant INTEGER NOT NULL, name BLOB NOT NULL, number INTEGER NOT NULL,
    PRIMARY KEY(tenant, name)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS totals(period TEXT NOT NULL, belongs TEXT NOT NULL, tenant INTEGER NOT NULL,
    method INTEGER NOT NULL, uses INTEGER NOT NULL, work INTEGER NOT NULL, size_in INTEGER NOT NULL,
    size_out INTEGER NOT NULL, PRIMARY KEY(period, tenant, method, belongs)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS sums(period TEXT PRIMARY KEY, uses INTEGER NOT NULL, work INTEGER NOT NULL,
    size_in INTEGER NOT NULL, size_out INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS baseline(period TEXT NOT NULL, belongs TEXT NOT NULL, tenant INTEGER NOT NULL,
    method INTEGER NOT NULL, uses INTEGER NOT NULL, work INTEGER NOT NULL, size_in INTEGER NOT NULL,
    size_out INTEGER NOT NULL, PRIMARY KEY(period, tenant, method, belongs)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS disputed(number INTEGER PRIMARY KEY);
CREATE TABLE IF NOT EXISTS corrections(number INTEGER PRIMARY KEY, period TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS closed(period TEXT PRIMARY KEY, number INTEGER NOT NULL) WITHOUT ROWID;
"""
# Keys of the table `meta`.
META_VERSION = "version"
META_INSTANCE = "instance"
META_TIME_ZONE = "zone"
META_PERIOD_UNIT = "unit"
META_RUN_ID = "run"
META_LAST_BATCH = "batch"
META_FIRST_PENDING = "low"
META_LAST_NUMBER = "head"
META_EXPORTED_NUMBER = "exported"
META_COMPACTION_NUMBER = "compaction"
"""Set while the store has compaction entries that removed nothing from it, because they were restored from a
merged ledger. The value is the number of the last compaction entry that did remove entries, or 0."""
