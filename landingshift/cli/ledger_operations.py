"""Commands of `landingshift ledger` that work on a whole store: export, merge, backup, compaction, repair."""

from __future__ import annotations

import os
from random import Random
from typing import TYPE_CHECKING

import click
import msgspec

from landingshift.cli.errors import EXIT_FAILED
from landingshift.cli.ledger_options import (
    json_option,
    load_settings,
    open_store,
    reports_errors,
    toml_option,
    wall_clock_ms,
)
from landingshift.cli.output import print_json
from landingshift.ledger.errors import FileExistsAlreadyError, StoreUnavailableError
from landingshift.ledger.name_escaping import escape_name
from landingshift.ledger.store import UsageStore
from landingshift.ledger.store_lock import StoreLock

if TYPE_CHECKING:
    from landingshift.ledger.merge_rules import MergeResult
    from landingshift.ledger.merged_store import MergedStore

PEER_TIMEOUT_MS = 10_000.0
SERVING_IDENTITY_COUNT = 1000  # the minimum: a reader of the ledger needs no deduplication window


@click.command()
@click.option("--to", "url", required=True, help="URL of the receiver, such as http://127.0.0.1:8080/ledger.")
@click.option("--follow", is_flag=True, help="Keep running and export new entries as they are written.")
@click.option("--timeout-ms", type=float, default=5000.0, help="Timeout of each request, in ms.")
@click.option("--seed", type=int, default=1, help="Seed of the random delays between retries.")
@click.option(
    "--skip-compacted", is_flag=True, help="Go on without compacted records that the receiver does not have."
)
@toml_option
@reports_errors
def export(
    url: str, follow: bool, timeout_ms: float, seed: int, skip_compacted: bool, toml: str | None
) -> None:
    """Deliver the records of all entries exactly once to a receiver. Failed deliveries are retried.

    Stops with exit status 1 if the receiver lacks records that were compacted.
    """
    from landingshift.cli.logs import event_logger
    from landingshift.ledger.exporter import Exporter
    from landingshift.ledger.receiver_client import HttpReceiver

    receiver = HttpReceiver(url, timeout_ms)
    with open_store(toml) as store:
        log = event_logger()
        stop = Exporter(store, receiver, Random(seed), log, skips_compacted=skip_compacted).run(follow)
        click.echo(stop.reason if stop else f"exported up to entry {store.exported_number()}")
    if stop:
        raise SystemExit(EXIT_FAILED)


@click.command()
@click.option("--listen", required=True, help="Address to listen on, such as 127.0.0.1:9400.")
@toml_option
@reports_errors
def serve(listen: str, toml: str | None) -> None:
    """Serve this ledger to other instances, for `ledger merge`, until the process is terminated."""
    from landingshift.ledger import peer_exchange

    settings = load_settings(toml).table
    with open_store(toml):
        pass  # an unusable store is reported now, not at the first request
    read_only_settings = msgspec.structs.replace(settings, max_identity_count=SERVING_IDENTITY_COUNT)
    server, port = peer_exchange.serve(lambda: UsageStore.from_settings(read_only_settings), listen)
    click.echo(f"listening on port {port}", err=True)
    server.wait_for_termination()


@click.command()
@click.argument("peers", nargs=-1, required=True)
@click.option("--into", required=True, type=click.Path(dir_okay=False), help="File of the merged ledger.")
@json_option
@toml_option
@reports_errors
def merge(peers: tuple[str, ...], into: str, as_json: bool, toml: str | None) -> None:
    """Merge the ledgers of PEERS into one file.

    PEERS are addresses of `ledger serve` or store files. Neither their order nor merging a peer again changes
    the result. A peer that can't be read is reported and skipped; the exit status is then 1.
    """
    import grpc

    merged = _open_merged(into, toml)
    failed_count = 0
    for peer in peers:
        try:
            result = _merge_one(merged, peer)
        except (StoreUnavailableError, grpc.RpcError) as err:
            failed_count += 1
            problem = err if isinstance(err, StoreUnavailableError) else err.code().name
            click.echo(f"{peer}: {problem}", err=True)
            continue
        click.echo(f"{peer}: {result.summary()}", err=as_json)
    if as_json:
        _print_totals(merged)
    merged.close()
    if failed_count:
        raise SystemExit(EXIT_FAILED)


def _open_merged(path: str, toml: str | None) -> MergedStore:
    from landingshift.ledger.merged_store import MergedStore

    settings = load_settings(toml).table
    return MergedStore(path, settings.time_zone, settings.period_unit, settings.dedup_window_ms)


def _merge_one(merged: MergedStore, peer: str) -> MergeResult:
    from landingshift.ledger.peer_exchange import PeerClient
    from landingshift.ledger.reconciliation import merge_file, merge_peer

    if os.path.exists(peer):
        return merge_file(merged, peer)
    with PeerClient(peer, PEER_TIMEOUT_MS) as client:
        return merge_peer(merged, client)


def _print_totals(merged: MergedStore) -> None:
    for entry in merged.tenant_totals():
        print_json(
            {
                "period": entry.period,
                "belongs": entry.service_period,
                "tenant": escape_name(entry.tenant),
                "method": escape_name(entry.method),
                "uses": entry.totals.uses,
                "work_us": entry.totals.work_us,
            }
        )


@click.command()
@click.argument("path", metavar="TO", type=click.Path(dir_okay=False))
@toml_option
@reports_errors
def backup(path: str, toml: str | None) -> None:
    """Copy the store to the file TO. The copy is consistent even if the server is running."""
    if os.path.exists(path):
        raise FileExistsAlreadyError(path)
    with open_store(toml) as store:
        store.backup(path)
        click.echo(f"{path}: up to entry {store.ledger.last_number}")


@click.command()
@click.argument("period")
@click.option("--unexported", is_flag=True, help="Also remove entries that the receiver does not have yet.")
@toml_option
@reports_errors
def compact(period: str, unexported: bool, toml: str | None) -> None:
    """Remove the settled usage entries of PERIOD and all earlier periods.

    Totals, corrections, disputed usage and the hash chain are kept.
    """
    from landingshift.ledger.compaction import compact_store

    with open_store(toml) as store:
        exported_number = None if unexported else store.exported_number()
        size_before_bytes = os.path.getsize(store.path)
        removed_count = compact_store(store, period, wall_clock_ms(), exported_number)
        size_after_bytes = os.path.getsize(store.path)
        click.echo(
            f"{removed_count} uses gone, {size_before_bytes // 1024} KB to {size_after_bytes // 1024} KB"
        )


@click.command(name="catch-up")
@click.option(
    "--from", "source", required=True, type=click.Path(exists=True), help="File of the merged ledger."
)
@toml_option
@reports_errors
def catch_up(source: str, toml: str | None) -> None:
    """Restore entries that this ledger lost because its store is an old copy.

    The entries come from a merged ledger. The server must be stopped.
    """
    from landingshift.ledger.repair import restore_missing_entries

    with StoreLock(load_settings(toml).table.directory, timeout_ms=0.0), open_store(toml) as store:
        merged = _open_merged(source, toml)
        restored_count = restore_missing_entries(store, merged)
        click.echo(f"{restored_count} entries came back, up to entry {store.ledger.last_number}")
        merged.close()


@click.command()
@toml_option
@reports_errors
def reindex(toml: str | None) -> None:
    """Rebuild the index, with its totals and lists, from the entries. The server must be stopped."""
    from landingshift.ledger.repair import reindex as reindex_store

    with StoreLock(load_settings(toml).table.directory, timeout_ms=0.0), open_store(toml) as store:
        reindex_store(store)
        click.echo(f"made anew from {store.ledger.last_number} entries")
