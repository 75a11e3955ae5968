"""Commands of `landingshift ledger` for periods, entries, corrections, disputed usage and statements."""

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
    check_text_lengths,
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

MAX_CORRECTION = Decimal(10) ** 12
"""Maximum absolute value of each number in a correction: the uses, the work in ms, the amount of money."""


@click.command()
@toml_option
@json_option
@reports_errors
def status(toml: str | None, as_json: bool) -> None:
    """Show the number of entries, the current period, unsettled and disputed usage, and the export state."""
    with open_store(toml) as store:
        data = _status(store)
    if as_json:
        print_json(data)
        return
    for key, value in data.items():
        text = ", ".join(period[0] for period in value) if isinstance(value, list) else value
        click.echo(f"{key:10} {text}")


def _status(store: UsageStore) -> dict[str, Any]:
    """Returns the status under the keys that operators' tools read."""
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
    """List the periods that have usage or corrections, with their state and totals."""
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
    """Close PERIOD permanently. The period must have ended; closing it again has no effect."""
    with open_store(toml) as store:
        with store.ledger_transaction() as ledger:
            is_closed_now = ledger.close_period(
                period, wall_clock_ms(), store.first_open_period(), store.period_totals(period)
            )
        state = "closed" if is_closed_now else "was closed before"
        click.echo(f"{period}: {state}, {store.period_sum(period).uses} uses")


@click.command()
@click.option("--tenant", required=True, help="Tenant whose usage is corrected.")
@click.option("--method", required=True, help="Method whose usage is corrected.")
@click.option("--period", required=True, help="Period in which the corrected usage occurred.")
@click.option("--uses", type=int, default=0, help="Uses to add; negative to subtract.")
@click.option("--work-ms", type=float, default=0.0, help="Work to add, in ms; negative to subtract.")
@click.option("--amount", default="", help="Amount to add in the plan's currency, such as -12.50.")
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
    """Enter a correction. A correction of a closed period counts in the first period that is still open."""
    _check_correction(uses, work_ms, amount)
    with open_store(toml) as store:
        check_text_lengths(reason, author)
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
    """Checks the range of a correction's values.

    Raises:
        InvalidOptionError: `amount` is not a number, or a value exceeds `MAX_CORRECTION`.
    """
    if amount and not _is_bounded_amount(amount):
        raise InvalidOptionError("amount", f"expected a number up to {MAX_CORRECTION:g}, not {amount!r}")
    if abs(uses) > MAX_CORRECTION or not abs(work_ms) <= float(MAX_CORRECTION):
        raise CorrectionTooLargeError


def _is_bounded_amount(amount: str) -> bool:
    try:
        return abs(Decimal(amount)) <= MAX_CORRECTION
    except InvalidOperation:
        return False


@click.command()
@click.option("--bill", "billed", multiple=True, type=int, help="Entry number of usage to bill; repeatable.")
@click.option(
    "--waive", "waived", multiple=True, type=int, help="Entry number of usage to waive; repeatable."
)
@click.option("--bill-all", is_flag=True, help="Bill all disputed usage.")
@click.option("--waive-all", is_flag=True, help="Waive all disputed usage that is not billed.")
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
    """Bill or waive disputed usage. At least one entry must be selected.

    Selected usage that proves to be a retry of counted usage is not billed.
    """
    with open_store(toml) as store:
        check_text_lengths(reason, author)
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
    billed_and_waived = to_bill & to_waive
    if not_disputed or billed_and_waived or not to_bill | to_waive:
        raise InvalidDisputeSelectionError(sorted(not_disputed or billed_and_waived))


@click.command()
@json_option
@toml_option
@reports_errors
def disputed(as_json: bool, toml: str | None) -> None:
    """List disputed usage: usage for which it is unknown whether the caller received the answer."""
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
@click.option("--tenant", help="Tenant to bill. Default: all tenants.")
@click.option("--format", "output_format", type=click.Choice(["csv", "json"]), default="csv")
@toml_option
@reports_errors
def statement(period: str, tenant: str | None, output_format: str, toml: str | None) -> None:
    """Print the statements of PERIOD, priced by the plan that the settings name."""
    from landingshift.ledger.price_plan import load_price_plan
    from landingshift.ledger.statements import statement_to_csv, statement_to_json, statements

    settings = load_settings(toml)
    if not settings.table.price_plan_path:
        raise NoPricePlanError
    plan = load_price_plan(os.path.join(settings.folder, settings.table.price_plan_path))
    billed_tenant = unescape_name(tenant) if tenant is not None else None
    with open_store(toml) as store:
        is_first = True
        for tenant_statement in statements(store, plan, period, billed_tenant):
            if output_format == "json":
                print_json(statement_to_json(tenant_statement))
            else:
                click.echo(statement_to_csv(tenant_statement, with_header=is_first), nl=False)
            is_first = False
        if tenant is not None and is_first:
            raise NothingToBillError(tenant, period)


@click.command()
@click.argument("number", type=int)
@toml_option
@reports_errors
def show(number: int, toml: str | None) -> None:
    """Show entry NUMBER. For usage, also show whether it was counted, disputed, billed or waived."""
    from landingshift.ledger.entry_history import describe_entry

    with open_store(toml) as store:
        for line in describe_entry(store, number):
            click.echo(line)


@click.command()
@json_option
@toml_option
@reports_errors
def verify(as_json: bool, toml: str | None) -> None:
    """Check all entries and the index.

    Lists entries that are changed, missing or out of order, and errors of the index. Exits with status 1 if
    there is any.
    """
    from landingshift.ledger.audit import audit_store

    with open_store(toml) as store:
        ledger = store.ledger
        bar = click.progressbar(
            length=ledger.last_number, label="entries", file=sys.stderr, hidden=not sys.stderr.isatty()
        )
        with bar:
            findings = audit_store(store, lambda number: bar.update(number - bar.pos))
    if as_json:
        finding_rows = [{"number": finding.entry_number, "what": finding.problem} for finding in findings]
        print_json({"entries": ledger.last_number, "findings": finding_rows})
    else:
        for finding in findings:
            prefix = f"entry {finding.entry_number}: " if finding.entry_number else ""
            click.echo(f"{prefix}{finding.problem}")
        if not findings:
            click.echo(f"{ledger.last_number} entries hold, the newest is {ledger.last_hash.hex()}")
    if findings:
        raise SystemExit(EXIT_FAILED)
