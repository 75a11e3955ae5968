"""Statements of a tenant's charges for a period, in JSON and CSV."""

from __future__ import annotations

import csv
import io
from collections.abc import Iterator
from dataclasses import dataclass
from decimal import Decimal
from itertools import groupby
from typing import Any

from landingshift.ledger.entries import Correction
from landingshift.ledger.name_escaping import escape_name
from landingshift.ledger.price_plan import PricePlan
from landingshift.ledger.pricing import LineCharge, line_charges
from landingshift.ledger.store_reader import StoreReader

CSV_HEADER = [
    "tenant",
    "period",
    "line",
    "unit",
    "quantity",
    "free",
    "amount",
    "currency",
    "belongs",
    "reason",
]


@dataclass(frozen=True, slots=True)
class Statement:
    """Charges and corrections of a tenant for a period."""

    tenant: str
    """Escaped name."""
    period: str
    is_closed: bool
    currency: str
    charges: list[LineCharge]
    corrections: list[Correction]
    total: Decimal
    """Sum of the rounded amounts of `charges` and `corrections`."""
    uses: int
    """Number of billed RPCs."""


def statements(
    reader: StoreReader, plan: PricePlan, period: str, tenant: bytes | None = None
) -> Iterator[Statement]:
    """Yields the statements of tenants with usage or corrections in a period, ordered by tenant name.

    Args:
        reader: Store to read.
        plan: Price plan.
        period: Name of the period.
        tenant: If given, only the statement of this tenant is yielded.

    Raises:
        InvalidPeriodError: `period` is not the name of a period.
    """
    name = reader.calendar.period_named(period).name
    is_closed = reader.is_closed(name)
    corrections_by_tenant: dict[bytes, list[Correction]] = {}
    for correction in reader.corrections(name):
        corrected_tenant = reader.name_of(correction.tenant_number)
        corrections_by_tenant.setdefault(corrected_tenant, []).append(correction)
    for billed_tenant, totals in groupby(reader.tenant_totals(name), key=lambda entry: entry.tenant):
        if tenant is not None and billed_tenant != tenant:
            continue
        tenant_totals = list(totals)
        charges = line_charges(plan, billed_tenant, tenant_totals)
        corrections = corrections_by_tenant.get(billed_tenant, [])
        amounts = [charge.amount for charge in charges]
        amounts += [plan.rounded(Decimal(correction.amount or 0)) for correction in corrections]
        yield Statement(
            escape_name(billed_tenant),
            name,
            is_closed,
            plan.currency,
            charges,
            corrections,
            sum(amounts, Decimal(0)),
            sum(entry.totals.uses for entry in tenant_totals),
        )


def statement_to_json(statement: Statement) -> dict[str, Any]:
    """Returns the statement as a JSON object; its keys are a public format."""
    lines = [_charge_to_json(charge) for charge in statement.charges]
    lines += [_correction_to_json(correction) for correction in statement.corrections]
    return {
        "tenant": statement.tenant,
        "period": statement.period,
        "closed": statement.is_closed,
        "currency": statement.currency,
        "uses": statement.uses,
        "lines": lines,
        "total": str(statement.total),
    }


def _charge_to_json(charge: LineCharge) -> dict[str, Any]:
    return {
        "name": charge.name,
        "unit": charge.unit,
        "quantity": str(charge.quantity),
        "free": str(charge.free_quantity),
        "amount": str(charge.amount),
        "late": {period: str(quantity) for period, quantity in charge.late_quantities.items()},
    }


def _correction_to_json(correction: Correction) -> dict[str, Any]:
    return {
        "name": "correction",
        "unit": "",
        "quantity": str(correction.uses),
        "free": "0",
        "amount": correction.amount or "0",
        "late": {correction.service_period: str(correction.uses)},
        "reason": correction.reason,
        "who": correction.author,
    }


def statement_to_csv(statement: Statement, with_header: bool) -> str:
    """Returns the statement as CSV rows, the last of which is the total."""
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    if with_header:
        writer.writerow(CSV_HEADER)
    first_columns = [statement.tenant, statement.period]
    for charge in statement.charges:
        late = " ".join(f"{period}={quantity}" for period, quantity in charge.late_quantities.items())
        quantities = [charge.quantity, charge.free_quantity, charge.amount]
        writer.writerow([*first_columns, charge.name, charge.unit, *quantities, statement.currency, late, ""])
    for correction in statement.corrections:
        last_columns = [statement.currency, correction.service_period, correction.reason]
        amount = correction.amount or 0
        writer.writerow([*first_columns, "correction", "", correction.uses, 0, amount, *last_columns])
    writer.writerow([*first_columns, "total", "", "", "", statement.total, statement.currency, "", ""])
    return output.getvalue()
