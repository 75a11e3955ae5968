"""Commands of `landingshift ledger` about periods, entries and statements."""

from __future__ import annotations

import os
import sys
from decimal import Decimal, InvalidOperation
from typing import Any

import click

from landingshift.cli.errors import EXIT_FAILED
from landingshift.cli.ledger_options import (
    CorrectionTooLargeError,
    InvalidOptionError,
    author_option,
    check_texts,
    json_option,
    load_settings,
    open_store,
    reason_option,
    reports_errors,
    toml_option,
    wall_clock_ms,
)
from landingshift.cli.output import print_json
from landingshift.ledger.errors import (
    InvalidDisputeSelectionError,
    NoPricePlanError,
    NothingToBillError,
    UnknownTenantError,
)
from landingshift.ledger.name_escaping import escape_name, unescape_name
from landingshift.ledger.store import UsageStore
from landingshift.ledger.totals import PeriodSummary
from landingshift.ledger.usage_ledger import CorrectionRequest

MAX_CORRECTION = Decimal(10) ** 12  # of uses, ms of work or an amount


@click.command()
@toml_option
@json_option
@reports_errors
def status(toml: str | None, as_json: bool) -> None:
    """Where the ledger stands."""
    with open_store(toml) as store:
        data = _status(store)
    if as_json:
        print_json(data)
        return
    for key, value in data.items():
        text = ", ".join(period[0] for period in value) if isinstance(value, list) else value
        click.echo(f"{key:10} {text}")


def _status(store: UsageStore) -> dict[str, Any]:
    """The keys that operators' tools know."""
    ledger = store.ledger
    now_ms = wall_clock_ms()
    current_period = store.calendar.period_at(max(now_ms, ledger.closed_end_ms)).name
    return {
        "instance": store.instance,
        "entries": ledger.last_number,
        "hash": ledger.last_hash.hex(),
        "unsettled": len(ledger.pending),
        "disputed": len(store.disputed_numbers()),
        "period": current_period,
        "uses": store.period_sum(current_period).uses,
        "to_close": [
            (period.name, period.totals.as_row(), period.is_closed)
            for period in store.periods()
            if not period.is_closed and store.calendar.period_named(period.name).end_ms <= now_ms
        ],
        "exported": store.exported_number(),
        "bytes": os.path.getsize(store.path),
    }


@click.command()
@toml_option
@json_option
@reports_errors
def periods(toml: str | None, as_json: bool) -> None:
    """All periods with anything in them."""
    with open_store(toml) as store:
        for period in store.periods():
            if as_json:
                print_json(_period_to_json(period))
            else:
                state = "closed" if period.is_closed else "open  "
                work_seconds = period.totals.work_us / 1e6
                click.echo(f"{period.name}  {state}  {period.totals.uses} uses, {work_seconds:.3f} s of work")


def _period_to_json(period: PeriodSummary) -> dict[str, Any]:
    return {
        "period": period.name,
        "uses": period.totals.uses,
        "work_us": period.totals.work_us,
        "bytes_in": period.totals.bytes_in,
        "bytes_out": period.totals.bytes_out,
        "closed": period.is_closed,
    }


@click.command()
@click.argument("period")
@toml_option
@reports_errors
def close(period: str, toml: str | None) -> None:
    """Closes a period that has ended, for good; a second time does nothing."""
    with open_store(toml) as store:
        with store.ledger_transaction() as ledger:
            is_new = ledger.close_period(
                period, wall_clock_ms(), store.first_open_period(), store.period_totals(period)
            )
        state = "closed" if is_new else "was closed before"
        click.echo(f"{period}: {state}, {store.period_sum(period).uses} uses")


@click.command()
@click.option("--tenant", required=True)
@click.option("--method", required=True)
@click.option("--period", required=True, help="The period that it is about.")
@click.option("--uses", type=int, default=0)
@click.option("--work-ms", type=float, default=0.0)
@click.option("--amount", default="", help="In the plan's currency, like -12.50.")
@reason_option
@author_option
@toml_option
@reports_errors
def correct(
    tenant: str,
    method: str,
    period: str,
    uses: int,
    work_ms: float,
    amount: str,
    reason: str,
    author: str,
    toml: str | None,
) -> None:
    """Enters a correction; about a closed period it counts in the one then open."""
    _check_correction(uses, work_ms, amount)
    with open_store(toml) as store:
        check_texts(reason, author)
        if not store.has_tenant(unescape_name(tenant)):
            raise UnknownTenantError(tenant)
        request = CorrectionRequest(
            unescape_name(tenant),
            unescape_name(method),
            period,
            uses,
            round(work_ms * 1000),
            amount,
            reason,
            author,
        )
        with store.ledger_transaction() as ledger:
            entry = ledger.correct(request, wall_clock_ms())
        click.echo(f"correction of {entry.service_period} counts in {entry.period}")


def _check_correction(uses: int, work_ms: float, amount: str) -> None:
    """Bounds the numbers of a correction; a text that is no number is told too."""
    if amount and not _is_bounded_amount(amount):
        raise InvalidOptionError("amount", f"a number up to {MAX_CORRECTION:g} is expected, not {amount!r}")
    if abs(uses) > MAX_CORRECTION or not abs(work_ms) <= float(MAX_CORRECTION):
        raise CorrectionTooLargeError


def _is_bounded_amount(amount: str) -> bool:
    try:
        return abs(Decimal(amount)) <= MAX_CORRECTION
    except InvalidOperation:
        return False


@click.command()
@click.option("--bill", "billed", multiple=True, type=int, help="Number of a disputed use.")
@click.option("--waive", "waived", multiple=True, type=int)
@click.option("--bill-all", is_flag=True)
@click.option("--waive-all", is_flag=True)
@reason_option
@author_option
@toml_option
@reports_errors
def resolve(
    billed: tuple[int, ...],
    waived: tuple[int, ...],
    bill_all: bool,
    waive_all: bool,
    reason: str,
    author: str,
    toml: str | None,
) -> None:
    """Bills or waives disputed uses; without numbers lists nothing and changes nothing."""
    with open_store(toml) as store:
        check_texts(reason, author)
        with store.ledger_transaction() as ledger:
            disputed_usage = dict(store.disputed())
            to_bill = set(disputed_usage) if bill_all else set(billed)
            to_waive = set(disputed_usage) - to_bill if waive_all else set(waived)
            _check_selection(to_bill, to_waive, set(disputed_usage))
            records = {number: disputed_usage[number] for number in sorted(to_bill)}
            counted_nearby = store.counted_near(records.values())
            billed_count = ledger.resolve_disputes(
                records, sorted(to_waive), counted_nearby, reason, author, wall_clock_ms()
            )
        duplicate_count = len(to_bill) - billed_count
        click.echo(f"{billed_count} billed, {duplicate_count} were repeated attempts, {len(to_waive)} waived")


def _check_selection(to_bill: set[int], to_waive: set[int], disputed_numbers: set[int]) -> None:
    not_disputed = (to_bill | to_waive) - disputed_numbers
    named_twice = to_bill & to_waive
    if not_disputed or named_twice or not to_bill | to_waive:
        raise InvalidDisputeSelectionError(sorted(not_disputed or named_twice))


@click.command()
@json_option
@toml_option
@reports_errors
def disputed(as_json: bool, toml: str | None) -> None:
    """Uses of which nobody knows whether the answer arrived."""
    with open_store(toml) as store:
        for number, usage in store.disputed():
            row = {
                "number": number,
                "at": usage.at_ms,
                "tenant": escape_name(store.name_of(usage.tenant_number)),
                "method": escape_name(store.name_of(usage.method_number)),
                "work_ms": usage.work_us / 1000.0,
            }
            if as_json:
                print_json(row)
            else:
                click.echo("  ".join(f"{value}" for value in row.values()))


@click.command()
@click.argument("period")
@click.option("--tenant")
@click.option("--format", "output_format", type=click.Choice(["csv", "json"]), default="csv")
@toml_option
@reports_errors
def statement(period: str, tenant: str | None, output_format: str, toml: str | None) -> None:
    """Statements of a period, of all tenants or of one, by the plan in the settings."""
    from landingshift.ledger.price_plan import load_price_plan
    from landingshift.ledger.statements import statement_to_csv, statement_to_json, statements

    settings = load_settings(toml)
    if not settings.table.price_plan_path:
        raise NoPricePlanError
    plan = load_price_plan(os.path.join(settings.folder, settings.table.price_plan_path))
    billed_tenant = unescape_name(tenant) if tenant is not None else None
    with open_store(toml) as store:
        is_first = True
        for found in statements(store, plan, period, billed_tenant):
            if output_format == "json":
                print_json(statement_to_json(found))
            else:
                click.echo(statement_to_csv(found, with_header=is_first), nl=False)
            is_first = False
        if tenant is not None and is_first:
            raise NothingToBillError(tenant, period)


@click.command()
@click.argument("number", type=int)
@toml_option
@reports_errors
def show(number: int, toml: str | None) -> None:
    """One entry, and of a use what became of it."""
    from landingshift.ledger.entry_history import describe_entry

    with open_store(toml) as store:
        for line in describe_entry(store, number):
            click.echo(line)


@click.command()
@json_option
@toml_option
@reports_errors
def verify(as_json: bool, toml: str | None) -> None:
    """Reads every entry and names each that is changed, missing or out of order; exit status 1 then."""
    from landingshift.ledger.audit import audit_store

    with open_store(toml) as store:
        ledger = store.ledger
        bar = click.progressbar(
            length=ledger.last_number, label="entries", file=sys.stderr, hidden=not sys.stderr.isatty()
        )
        with bar:
            findings = audit_store(store, lambda number: bar.update(number - bar.pos))
    if as_json:
        listed = [{"number": finding.entry_number, "what": finding.problem} for finding in findings]
        print_json({"entries": ledger.last_number, "findings": listed})
    else:
        for finding in findings:
            place = f"entry {finding.entry_number}: " if finding.entry_number else ""
            click.echo(f"{place}{finding.problem}")
        if not findings:
            click.echo(f"{ledger.last_number} entries hold, the newest is {ledger.last_hash.hex()}")
    if findings:
        raise SystemExit(EXIT_FAILED)
