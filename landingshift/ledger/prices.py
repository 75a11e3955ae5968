"""What a period's use costs: plans from TOML, `Decimal` throughout. Pure but for `load`.

    currency = "EUR"
    places = 2                     # of a line's amount
    rounding = "half_even"         # or half_up, down; once a line, nowhere else
    default = "standard"

    [tenants]
    rundtur = "gold"

    [[plans.standard]]             # a line of the statement
    name = "RPCs"
    unit = "rpc"                   # or work_s, mb_in, mb_out
    methods = ["route-profile"]    # absent: all that no earlier line of this unit names
    free = 1000                    # units a period
    tiers = [{ upto = 10000, price = 0.002 }, { price = 0.001 }]    # or price = 0.002

The total of a statement is the sum of its rounded lines.
"""

from __future__ import annotations

import decimal
import tomllib
from dataclasses import dataclass, field
from decimal import Decimal
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from landingshift.ledger.names import shown, taken

MODES = {"half_even": decimal.ROUND_HALF_EVEN, "half_up": decimal.ROUND_HALF_UP, "down": decimal.ROUND_DOWN}
MOST = Decimal(10) ** 15  # of a price, an allowance or a tier's end
PLACES = 12  # of the same
ZERO = Decimal(0)
EXACT = decimal.Context(prec=60, traps=[decimal.InvalidOperation, decimal.DivisionByZero, decimal.Inexact])
Word = Annotated[str, Meta(min_length=1, max_length=100)]


class BadPlan(ValueError):
    """The text names file, table and key."""


class Tier(Struct, forbid_unknown_fields=True, frozen=True):
    price: Decimal
    upto: Decimal | None = None  # units from the first that is charged; the last tier has no end


class Line(Struct, forbid_unknown_fields=True, frozen=True):
    name: Word
    unit: Literal["rpc", "work_s", "mb_in", "mb_out"]
    methods: list[Word] = []
    free: Decimal = ZERO
    price: Decimal | None = None
    tiers: list[Tier] = []

    def steps(self) -> list[Tier]:
        return self.tiers or [Tier(self.price or ZERO)]


class Plan(Struct, forbid_unknown_fields=True, frozen=True):
    currency: Annotated[str, Meta(pattern="^[A-Z]{3}$")]
    default: Word
    plans: dict[Word, list[Line]]
    places: Annotated[int, Meta(ge=0, le=8)] = 2
    rounding: Literal["half_even", "half_up", "down"] = "half_even"
    tenants: dict[str, Word] = {}

    def lines(self, tenant: bytes) -> list[Line]:
        return self.plans[self.tenants.get(shown(tenant), self.default)]

    def rounded(self, amount: Decimal) -> Decimal:
        """The one place where anything is rounded."""
        return amount.quantize(
            Decimal(1).scaleb(-self.places), MODES[self.rounding], decimal.Context(prec=60)
        )


@dataclass(slots=True)
class Charge:
    """One line of a statement. Quantities in the line's unit."""

    name: str
    unit: str
    quantity: Decimal
    free: Decimal
    amount: Decimal
    late: dict[str, Decimal] = field(
        default_factory=dict
    )  # part of the quantity, by the period it belongs to


Total = tuple[str, bytes, bytes, int, int, int, int]  # belongs, tenant, method, uses, us, bytes in, bytes out


def quantity(unit: str, total: Total) -> Decimal:
    _, _, _, uses, work, size_in, size_out = total
    match unit:
        case "rpc":
            return Decimal(uses)
        case "work_s":
            return Decimal(work).scaleb(-6)
        case "mb_in":
            return Decimal(size_in).scaleb(-6)
        case _:
            return Decimal(size_out).scaleb(-6)


def cost(line: Line, amount: Decimal) -> Decimal:
    """Unrounded price of so many units; fewer than none (corrected) are paid back at the first price."""
    charged = amount - line.free if amount > line.free else min(amount, ZERO)
    steps = line.steps()
    if charged <= 0:
        return EXACT.multiply(charged, steps[0].price)
    price, start = ZERO, ZERO
    for step in steps:
        end = charged if step.upto is None else min(charged, step.upto)
        if end > start:
            price = EXACT.add(price, EXACT.multiply(end - start, step.price))
            start = end
    return price


def charges(plan: Plan, tenant: bytes, totals: list[Total]) -> list[Charge]:
    """A tenant's lines for one period; every total is charged by one line a unit at the most."""
    found, taken_by = [], set[tuple[str, bytes]]()
    for line in plan.lines(tenant):
        methods = {taken(m) for m in line.methods}
        charge = Charge(line.name, line.unit, ZERO, line.free, ZERO)
        for total in totals:
            place = (line.unit, total[2])
            if (methods and total[2] not in methods) or place in taken_by:
                continue
            part = quantity(line.unit, total)
            charge.quantity += part
            if total[0]:
                charge.late[total[0]] = charge.late.get(total[0], ZERO) + part
        taken_by |= {(line.unit, total[2]) for total in totals if not methods or total[2] in methods}
        charge.amount = plan.rounded(cost(line, charge.quantity))
        found.append(charge)
    return found


def check(plan: Plan) -> None:
    """Raises ValueError("key: what is wrong")."""
    if plan.default not in plan.plans:
        raise ValueError(f"default: there is no plan {plan.default!r}")
    for tenant, name in plan.tenants.items():
        if name not in plan.plans:
            raise ValueError(f"tenants.{tenant}: there is no plan {name!r}")
    for name, lines in plan.plans.items():
        for i, line in enumerate(lines):
            at = f"plans.{name}[{i}]"
            if (line.price is None) == (not line.tiers):
                raise ValueError(f"{at}: either price or tiers is expected")
            for key, value in [("free", line.free), ("price", line.price)]:
                bounded(f"{at}.{key}", value)
            start = ZERO
            for j, tier in enumerate(line.tiers):
                bounded(f"{at}.tiers[{j}].price", tier.price)
                bounded(f"{at}.tiers[{j}].upto", tier.upto)
                last = j == len(line.tiers) - 1
                if (tier.upto is None) != last:
                    raise ValueError(f"{at}.tiers[{j}].upto: each tier but the last has an end")
                if tier.upto is not None:
                    if tier.upto <= start:
                        raise ValueError(f"{at}.tiers[{j}].upto: {tier.upto} is not over {start}")
                    start = tier.upto


def bounded(key: str, value: Decimal | None) -> None:
    if value is None:
        return
    if not value.is_finite() or not ZERO <= value <= MOST or value != round(value, PLACES):
        raise ValueError(f"{key}: a number from 0 to 1e15 with at most 12 places is expected, not {value}")


def load(path: str) -> Plan:
    """Raises BadPlan."""
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file, parse_float=Decimal)
        plan = msgspec.convert(data, Plan)
        check(plan)
    except OSError as err:
        raise BadPlan(f"{path}: {err.strerror}") from err
    except msgspec.ValidationError as err:
        what, _, where = str(err).partition(" - at `$.")
        raise BadPlan(f"{path}: {where.rstrip('`') + ': ' if where else ''}{what}") from err
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, ValueError) as err:
        raise BadPlan(f"{path}: {err}") from err
    return plan
