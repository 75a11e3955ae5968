"""Computes the charges for a tenant's usage in a period according to a price plan. No I/O."""

from __future__ import annotations

import decimal
from dataclasses import dataclass, field
from decimal import Decimal

from landingshift.ledger.name_escaping import unescape_name
from landingshift.ledger.price_plan import ZERO, BillingUnit, PriceLine, PricePlan
from landingshift.ledger.totals import TenantTotals, UsageTotals

EXACT = decimal.Context(prec=60, traps=[decimal.InvalidOperation, decimal.DivisionByZero, decimal.Inexact])
"""Decimal context that raises `decimal.Inexact` instead of rounding."""


@dataclass(slots=True)
class LineCharge:
    """One line of a statement; all quantities are in the line's unit."""

    name: str
    unit: str
    quantity: Decimal
    """Total quantity, including the free part."""
    free_quantity: Decimal
    """Quantity per period that the line of the price plan does not charge."""
    amount: Decimal
    """Rounded, in the plan's currency."""
    late_quantities: dict[str, Decimal] = field(default_factory=dict)
    """Parts of `quantity` that were used in earlier periods, keyed by the names of those periods."""


def quantity_in_unit(unit: BillingUnit, totals: UsageTotals) -> Decimal:
    """Converts totals to a quantity in a billing unit, without rounding."""
    match unit:
        case "rpc":
            return Decimal(totals.uses)
        case "work_s":
            return Decimal(totals.work_us).scaleb(-6)
        case "mb_in":
            return Decimal(totals.bytes_in).scaleb(-6)
        case "mb_out":
            return Decimal(totals.bytes_out).scaleb(-6)


def exact_cost(line: PriceLine, quantity: Decimal) -> Decimal:
    """Returns the unrounded cost of a quantity according to a line of the price plan.

    A negative quantity, which corrections can cause, gives a credit at the price of the first tier.
    """
    is_charged = quantity > line.free_quantity
    charged_quantity = quantity - line.free_quantity if is_charged else min(quantity, ZERO)
    tiers = line.effective_tiers()
    if charged_quantity <= 0:
        return EXACT.multiply(charged_quantity, tiers[0].price)
    cost = ZERO
    start = ZERO
    for tier in tiers:
        end = charged_quantity if tier.up_to is None else min(charged_quantity, tier.up_to)
        if end > start:
            cost = EXACT.add(cost, EXACT.multiply(end - start, tier.price))
            start = end
    return cost


def line_charges(plan: PricePlan, tenant: bytes, totals: list[TenantTotals]) -> list[LineCharge]:
    """Returns the charges of a tenant for one period, one per line of its plan.

    For each unit, the usage of a method is charged only by the first line that covers the method.
    """
    charges = []
    charged: set[tuple[BillingUnit, bytes]] = set()  # unit and method
    for line in plan.lines_for(tenant):
        methods = {unescape_name(method) for method in line.methods}
        covered = [
            entry
            for entry in totals
            if (not methods or entry.method in methods) and (line.unit, entry.method) not in charged
        ]
        charges.append(_line_charge(plan, line, covered))
        charged |= {(line.unit, entry.method) for entry in covered}
    return charges


def _line_charge(plan: PricePlan, line: PriceLine, totals: list[TenantTotals]) -> LineCharge:
    charge = LineCharge(line.name, line.unit, ZERO, line.free_quantity, ZERO)
    for entry in totals:
        quantity = quantity_in_unit(line.unit, entry.totals)
        charge.quantity += quantity
        if entry.service_period:
            late_quantity = charge.late_quantities.get(entry.service_period, ZERO)
            charge.late_quantities[entry.service_period] = late_quantity + quantity
    charge.amount = plan.rounded(exact_cost(line, charge.quantity))
    return charge
