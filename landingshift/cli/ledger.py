"""`landingshift ledger ...`: what operators and accountants do with a ledger."""

from __future__ import annotations

import getpass
import os
import sqlite3
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from decimal import Decimal, InvalidOperation
from functools import wraps
from random import Random
from typing import Any

import click

from landingshift.cli.errors import EXIT_FAILED, CommandError
from landingshift.cli.output import print_json
from landingshift.ledger.book import Refused
from landingshift.ledger.names import shown, taken
from landingshift.ledger.settings import Settings
from landingshift.ledger.store import FILE, BadStore, Lock, Store
from landingshift.net.program import features

AMOUNT = Decimal(10) ** 12
TEXT = 1000  # characters of a reason


def now() -> int:
    return round(time.time() * 1000.0)


def settings_of(path: str | None) -> tuple[Settings, str]:
    """The table [ledger] and the folder of its file."""
    path = path or os.environ.get(features.SETTINGS_FILE_VARIABLE)
    if not path:
        raise CommandError(f"--toml or {features.SETTINGS_FILE_VARIABLE} is to name the file with [ledger]")
    try:
        found = next(
            (f.settings for f in features.load_features(path, include_off=True) if f.table == "ledger"), None
        )
    except features.FeatureConfigError as err:
        raise CommandError(str(err)) from err
    if found is None:
        raise CommandError(f"{path}: there is no table [ledger]")
    return found, os.path.dirname(os.path.abspath(path))


@contextmanager
def opened(toml: str | None, must: bool = True) -> Iterator[Store]:
    """The store that the settings name; the server may be writing to it meanwhile."""
    s, _ = settings_of(toml)
    if must and not os.path.exists(os.path.join(s.folder, FILE)):
        raise CommandError(f"{s.folder}: there is no ledger")
    store = Store(s.folder, s.instance, s.zone, s.period, s.window_s * 1000, s.recent)
    try:
        yield store
    finally:
        store.close()


def guarded(command: Callable[..., None]) -> Callable[..., None]:
    """What can't be done is told in one line, and nothing has changed."""

    @wraps(command)
    def run(*args: Any, **options: Any) -> None:
        try:
            command(*args, **options)
        except (Refused, BadStore, ValueError) as err:
            raise CommandError(str(err)) from err
        except (sqlite3.Error, OSError) as err:
            raise CommandError(f"the store can't be used: {err}") from err

    return run


toml = click.option("--toml", type=click.Path(dir_okay=False), help="Settings; else LANDINGSHIFT_TOML.")
as_json = click.option("--json", "json", is_flag=True, help="JSON for pipes.")
who = click.option("--who", default=getpass.getuser, show_default="the user", help="Who says so.")
reason = click.option("--reason", required=True, help="Kept with the entry for good.")


def checked(text: str, what: str) -> str:
    if len(text) > TEXT:
        raise ValueError(f"{what}: at most {TEXT} characters")
    return text


@click.group()
def group() -> None:
    """Use per tenant: periods, corrections, statements, export and reconciliation."""


@group.command()
@toml
@as_json
@guarded
def status(toml: str | None, json: bool) -> None:
    """Where the ledger stands."""
    with opened(toml) as store:
        book = store.book
        open_now = store.calendar.at(max(now(), book.closed_until)).name
        data = {
            "instance": store.instance,
            "entries": book.last,
            "hash": book.hash.hex(),
            "unsettled": len(book.pending),
            "disputed": store.db.execute("SELECT count(*) FROM disputed").fetchone()[0],
            "period": open_now,
            "uses": store.sums(open_now)[0],
            "to_close": [p for p in store.periods() if not p[2] and store.calendar.named(p[0]).end <= now()],
            "exported": store.meta("exported") or 0,
            "bytes": os.path.getsize(store.path),
        }
    if json:
        print_json(data)
        return
    for key, value in data.items():
        click.echo(f"{key:10} {', '.join(p[0] for p in value) if isinstance(value, list) else value}")


@group.command()
@toml
@as_json
@guarded
def periods(toml: str | None, json: bool) -> None:
    """All periods with anything in them."""
    with opened(toml) as store:
        for name, (uses, work, size_in, size_out), closed in store.periods():
            if json:
                print_json(
                    {
                        "period": name,
                        "uses": uses,
                        "work_us": work,
                        "bytes_in": size_in,
                        "bytes_out": size_out,
                        "closed": closed,
                    }
                )
            else:
                click.echo(
                    f"{name}  {'closed' if closed else 'open  '}  {uses} uses, {work / 1e6:.3f} s of work"
                )


@group.command()
@click.argument("period")
@toml
@guarded
def close(period: str, toml: str | None) -> None:
    """Closes a period that has ended, for good; a second time does nothing."""
    with opened(toml) as store:
        with store.changing() as book:
            done = book.close(period, now(), store.first_open(), store.raw_totals(period))
        click.echo(f"{period}: {'closed' if done else 'was closed before'}, {store.sums(period)[0]} uses")


@group.command()
@click.option("--tenant", required=True)
@click.option("--method", required=True)
@click.option("--period", required=True, help="The period that it is about.")
@click.option("--uses", type=int, default=0)
@click.option("--work-ms", type=float, default=0.0)
@click.option("--amount", default="", help="In the plan's currency, like -12.50.")
@reason
@who
@toml
@guarded
def correct(
    tenant: str,
    method: str,
    period: str,
    uses: int,
    work_ms: float,
    amount: str,
    reason: str,
    who: str,
    toml: str | None,
) -> None:
    """Enters a correction; about a closed period it counts in the one then open."""
    try:
        if amount and not abs(Decimal(amount)) <= AMOUNT:
            raise InvalidOperation
    except InvalidOperation as err:
        raise ValueError(f"amount: a number up to {AMOUNT:g} is expected, not {amount!r}") from err
    if abs(uses) > AMOUNT or not abs(work_ms) <= float(AMOUNT):
        raise ValueError("uses, work-ms: more than a correction can be")
    with opened(toml) as store:
        checked(reason, "reason"), checked(who, "who")
        known = {name for (name,) in store.db.execute("SELECT name FROM names WHERE tenant = 1")}
        if taken(tenant) not in known:
            raise Refused(f"tenant: {tenant!r} has no entry in this ledger")
        with store.changing() as book:
            entry = book.correct(
                taken(tenant), taken(method), period, uses, round(work_ms * 1000), amount, reason, who, now()
            )
        click.echo(f"correction of {entry.belongs} counts in {entry.period}")


@group.command()
@click.option("--bill", "billed", multiple=True, type=int, help="Number of a disputed use.")
@click.option("--waive", "waived", multiple=True, type=int)
@click.option("--bill-all", is_flag=True)
@click.option("--waive-all", is_flag=True)
@reason
@who
@toml
@guarded
def resolve(
    billed: tuple[int, ...],
    waived: tuple[int, ...],
    bill_all: bool,
    waive_all: bool,
    reason: str,
    who: str,
    toml: str | None,
) -> None:
    """Bills or waives disputed uses; without numbers lists nothing and changes nothing."""
    with opened(toml) as store:
        checked(reason, "reason"), checked(who, "who")
        with store.changing() as book:
            listed = dict(store.disputed())
            bill = set(listed) if bill_all else set(billed)
            waive = set(listed) - bill if waive_all else set(waived)
            strange = (bill | waive) - set(listed)
            if strange or bill & waive or not bill | waive:
                raise Refused(f"not disputed, named twice or none named: {sorted(strange or bill & waive)}")
            uses = {number: listed[number] for number in sorted(bill)}
            good = book.resolve(uses, sorted(waive), store.counted_about(uses), reason, who, now())
        click.echo(f"{good} billed, {len(bill) - good} were repeated attempts, {len(waive)} waived")


@group.command()
@as_json
@toml
@guarded
def disputed(json: bool, toml: str | None) -> None:
    """Uses of which nobody knows whether the answer arrived."""
    with opened(toml) as store:
        for number, use in store.disputed():
            row = {
                "number": number,
                "at": use.at,
                "tenant": shown(store.named(use.tenant)),
                "method": shown(store.named(use.method)),
                "work_ms": use.work / 1000.0,
            }
            print_json(row) if json else click.echo("  ".join(f"{v}" for v in row.values()))


@group.command()
@click.argument("period")
@click.option("--tenant")
@click.option("--format", "form", type=click.Choice(["csv", "json"]), default="csv")
@toml
@guarded
def statement(period: str, tenant: str | None, form: str, toml: str | None) -> None:
    """Statements of a period, of all tenants or of one, by the plan in the settings."""
    from landingshift.ledger.prices import load
    from landingshift.ledger.statements import as_csv, as_json, statements

    s, folder = settings_of(toml)
    if not s.plan:
        raise Refused("[ledger] plan: no prices are named")
    plan = load(os.path.join(folder, s.plan))
    with opened(toml) as store:
        found = 0
        for one in statements(store, plan, period, taken(tenant) if tenant is not None else None):
            print_json(as_json(one)) if form == "json" else click.echo(as_csv(one, not found), nl=False)
            found += 1
        if tenant is not None and not found:
            raise Refused(f"{tenant}: nothing in {period}")


@group.command()
@click.argument("number", type=int)
@toml
@guarded
def show(number: int, toml: str | None) -> None:
    """One entry, and of a use what became of it."""
    from landingshift.ledger.statements import story

    with opened(toml) as store:
        for line in story(store, number):
            click.echo(line)


@group.command()
@as_json
@toml
@guarded
def verify(json: bool, toml: str | None) -> None:
    """Reads every entry and names each that is changed, missing or out of order; exit status 1 then."""
    from landingshift.ledger.audit import audit

    with opened(toml) as store:
        bar = click.progressbar(
            length=store.book.last, label="entries", file=sys.stderr, hidden=not sys.stderr.isatty()
        )
        with bar:
            found = audit(store, lambda number: bar.update(number - bar.pos))
        if json:
            print_json(
                {
                    "entries": store.book.last,
                    "findings": [{"number": f.number, "what": f.what} for f in found],
                }
            )
        for finding in found if not json else []:
            click.echo(f"entry {finding.number}: {finding.what}" if finding.number else finding.what)
        if not found and not json:
            click.echo(f"{store.book.last} entries hold, the newest is {store.book.hash.hex()}")
    if found:
        raise SystemExit(EXIT_FAILED)


@group.command()
@click.option("--to", "url", required=True, help="The receiver, like http://127.0.0.1:8080/ledger.")
@click.option("--follow", is_flag=True, help="Goes on as new entries come.")
@click.option("--timeout-ms", type=float, default=5000.0)
@click.option("--seed", type=int, default=1)
@toml
@guarded
def export(url: str, follow: bool, timeout_ms: float, seed: int, toml: str | None) -> None:
    """Delivers all entries' records exactly once, however the receiver fails."""
    from landingshift.cli.logs import event_logger
    from landingshift.ledger.exporter import Receiver
    from landingshift.ledger.exporter import export as run

    receiver = Receiver(url, timeout_ms)
    with opened(toml) as store:
        stop = run(store, receiver, Random(seed), event_logger(), not follow)
        click.echo(stop.reason if stop else f"exported up to entry {store.meta('exported') or 0}")
    if stop:
        raise SystemExit(EXIT_FAILED)


@group.command(name="serve")
@click.option("--listen", required=True, help="Where other instances ask, like 127.0.0.1:9400.")
@toml
@guarded
def serve_(listen: str, toml: str | None) -> None:
    """Lets other instances read this one's ledger, until it is ended."""
    from landingshift.ledger.exchange import serve

    s, _ = settings_of(toml)
    with opened(toml):
        pass
    server, port = serve(
        lambda: Store(s.folder, s.instance, s.zone, s.period, s.window_s * 1000, 1000), listen
    )
    click.echo(f"listening on port {port}", err=True)
    server.wait_for_termination()


@group.command()
@click.argument("peers", nargs=-1, required=True)
@click.option("--into", required=True, type=click.Path(dir_okay=False), help="The merged ledger's file.")
@as_json
@toml
@guarded
def merge(peers: tuple[str, ...], into: str, json: bool, toml: str | None) -> None:
    """Brings ledgers together: addresses of `ledger serve`, or files. Any order, any repetition."""
    import grpc

    from landingshift.ledger.exchange import Peer, bring
    from landingshift.ledger.merged import Merged, bring_file

    s, _ = settings_of(toml)
    merged = Merged(into, s.zone, s.period, s.window_s * 1000)
    failed = 0
    for name in peers:
        try:
            if os.path.exists(name):
                brought = bring_file(merged, name)
            else:
                peer = Peer(name, 10_000.0)
                try:
                    brought = bring(merged, peer)
                finally:
                    peer.close()
        except (BadStore, grpc.RpcError) as err:
            failed += 1
            click.echo(f"{name}: {err if isinstance(err, BadStore) else err.code().name}", err=True)
            continue
        click.echo(f"{name}: {brought.word()}", err=json)
    for period, belongs, tenant, method, uses, work, *_ in merged.totals() if json else []:
        row = {"period": period, "belongs": belongs, "tenant": shown(tenant), "method": shown(method)}
        print_json(row | {"uses": uses, "work_us": work})
    merged.close()
    if failed:
        raise SystemExit(EXIT_FAILED)


@group.command()
@click.argument("to", type=click.Path(dir_okay=False))
@toml
@guarded
def backup(to: str, toml: str | None) -> None:
    """A copy that holds, while the server goes on."""
    if os.path.exists(to):
        raise Refused(f"{to}: is there already")
    with opened(toml) as store:
        store.backup(to)
        click.echo(f"{to}: up to entry {store.book.last}")


@group.command()
@click.argument("period")
@click.option("--unexported", is_flag=True, help="Also what no receiver has.")
@toml
@guarded
def compact(period: str, unexported: bool, toml: str | None) -> None:
    """Takes the single uses out of all periods up to this one; totals, chain and corrections stay."""
    from landingshift.ledger.compact import compact as run

    with opened(toml) as store:
        exported = store.meta("exported")
        known = exported if isinstance(exported, int) else 0
        before = os.path.getsize(store.path)
        gone = run(store, period, now(), None if unexported else known)
        click.echo(f"{gone} uses gone, {before // 1024} KB to {os.path.getsize(store.path) // 1024} KB")


@group.command(name="catch-up")
@click.option("--from", "source", required=True, type=click.Path(exists=True), help="Merged ledger.")
@toml
@guarded
def catch_up(source: str, toml: str | None) -> None:
    """Gives a ledger back from an old copy what the merged one has of it; with the server down."""
    from landingshift.ledger.merged import Merged
    from landingshift.ledger.repair import catch_up as run

    s, _ = settings_of(toml)
    lock = Lock(s.folder, 0.0)
    try:
        with opened(toml) as store:
            merged = Merged(source, s.zone, s.period, s.window_s * 1000)
            click.echo(f"{run(store, merged)} entries came back, up to entry {store.book.last}")
            merged.close()
    finally:
        lock.close()


@group.command()
@toml
@guarded
def reindex(toml: str | None) -> None:
    """Makes totals and lists anew from the entries; the server must be down."""
    from landingshift.ledger.repair import reindex as run

    s, _ = settings_of(toml)
    lock = Lock(s.folder, 0.0)
    try:
        with opened(toml) as store:
            run(store)
            click.echo(f"made anew from {store.book.last} entries")
    finally:
        lock.close()
