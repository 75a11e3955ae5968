"""Price plans in TOML. All numbers are read as `Decimal`.

A plan file looks like this:

    currency = "EUR"
    places = 2                     # decimal places of amounts
    rounding = "half_even"         # or half_up, down; applied once per line of a statement
    default = "standard"           # plan of tenants that are not listed below

    [tenants]
    rundtur = "gold"               # plan of this tenant

    [[plans.standard]]             # a line of the statement
    name = "RPCs"
    unit = "rpc"                   # or work_s, mb_in, mb_out
    methods = ["route-profile"]    # if absent: all methods that no earlier line of this unit charges
    free = 1000                    # free units per period
    tiers = [{ upto = 10000, price = 0.002 }, { price = 0.001 }]    # or price = 0.002

The total of a statement is the sum of its rounded lines.
"""

from __future__ import annotations

import decimal
import tomllib
from decimal import Decimal
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from landingshift.ledger.errors import InvalidPriceError, InvalidPricePlanError
from landingshift.ledger.name_escaping import escape_name

ROUNDING_MODES = {
    "half_even": decimal.ROUND_HALF_EVEN,
    "half_up": decimal.ROUND_HALF_UP,
    "down": decimal.ROUND_DOWN,
}
MAX_NUMBER = Decimal(10) ** 15  # maximum of prices, free quantities and ends of tiers
MAX_DECIMAL_PLACES = 12  # of prices, free quantities and ends of tiers
ROUNDING_PRECISION_DIGITS = 60  # more digits than any amount within the bounds above has
ZERO = Decimal(0)

PlanText = Annotated[str, Meta(min_length=1, max_length=100)]
BillingUnit = Literal["rpc", "work_s", "mb_in", "mb_out"]


class PriceTier(Struct, forbid_unknown_fields=True, frozen=True):
    """Price of the charged units from the end of the previous tier to the end of this tier."""

    price: Decimal
    """Price per unit."""
    up_to: Decimal | None = msgspec.field(default=None, name="upto")
    """Number of units above the free quantity at which the tier ends; None for the last tier."""


class PriceLine(Struct, forbid_unknown_fields=True, frozen=True):
    """One line of a price plan: the usage it charges and the prices."""

    name: PlanText
    unit: BillingUnit
    methods: list[PlanText] = []
    """Escaped names of methods; empty for all methods that no earlier line of this unit charges."""
    free_quantity: Decimal = msgspec.field(default=ZERO, name="free")
    """Free units per period."""
    price: Decimal | None = None
    """Price per unit; None if the line has tiers."""
    tiers: list[PriceTier] = []
    """Tiers of prices; empty if the line has a single price."""

    def effective_tiers(self) -> list[PriceTier]:
        """Returns the tiers; a single price is returned as one tier."""
        return self.tiers or [PriceTier(self.price or ZERO)]


class PricePlan(Struct, forbid_unknown_fields=True, frozen=True):
    """Price plans and their assignment to tenants."""

    currency: Annotated[str, Meta(pattern="^[A-Z]{3}$")]
    default_plan: PlanText = msgspec.field(name="default")
    """Plan of tenants that `plan_by_tenant` does not list."""
    plans: dict[PlanText, list[PriceLine]]
    """Lines of each plan, keyed by the name of the plan."""
    decimal_places: Annotated[int, Meta(ge=0, le=8)] = msgspec.field(default=2, name="places")
    """Decimal places of amounts."""
    rounding: Literal["half_even", "half_up", "down"] = "half_even"
    plan_by_tenant: dict[str, PlanText] = msgspec.field(default={}, name="tenants")
    """Names of the tenants' plans, keyed by the escaped name of the tenant."""

    def lines_for(self, tenant: bytes) -> list[PriceLine]:
        """Returns the lines of a tenant's plan."""
        return self.plans[self.plan_by_tenant.get(escape_name(tenant), self.default_plan)]

    def rounded(self, amount: Decimal) -> Decimal:
        """Returns an amount rounded to the plan's decimal places; nothing else rounds amounts."""
        quantum = Decimal(1).scaleb(-self.decimal_places)
        context = decimal.Context(prec=ROUNDING_PRECISION_DIGITS)
        return amount.quantize(quantum, ROUNDING_MODES[self.rounding], context)


def load_price_plan(path: str) -> PricePlan:
    """Reads and validates a price plan file.

    Raises:
        InvalidPricePlanError: The file can't be read or is invalid.
    """
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file, parse_float=Decimal)
        plan = msgspec.convert(data, PricePlan)
        check_price_plan(plan)
    except OSError as err:
        raise InvalidPricePlanError(path, str(err.strerror)) from err
    except msgspec.ValidationError as err:
        problem, _, location = str(err).partition(" - at `$.")
        key = location.rstrip("`") + ": " if location else ""
        raise InvalidPricePlanError(path, f"{key}{problem}") from err
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, ValueError) as err:
        raise InvalidPricePlanError(path, str(err)) from err
    return plan


def check_price_plan(plan: PricePlan) -> None:
    """Checks constraints of a plan that its types can't express.

    Raises:
        InvalidPriceError: A key has an invalid value.
    """
    if plan.default_plan not in plan.plans:
        raise InvalidPriceError("default", f"there is no plan {plan.default_plan!r}")
    for tenant, name in plan.plan_by_tenant.items():
        if name not in plan.plans:
            raise InvalidPriceError(f"tenants.{tenant}", f"there is no plan {name!r}")
    for name, lines in plan.plans.items():
        for index, line in enumerate(lines):
            _check_line(f"plans.{name}[{index}]", line)


def _check_line(key: str, line: PriceLine) -> None:
    if (line.price is None) == (not line.tiers):
        raise InvalidPriceError(key, "either price or tiers is expected")
    _check_number(f"{key}.free", line.free_quantity)
    _check_number(f"{key}.price", line.price)
    start = ZERO
    for index, tier in enumerate(line.tiers):
        tier_key = f"{key}.tiers[{index}]"
        _check_number(f"{tier_key}.price", tier.price)
        _check_number(f"{tier_key}.upto", tier.up_to)
        is_last = index == len(line.tiers) - 1
        if (tier.up_to is None) != is_last:
            raise InvalidPriceError(f"{tier_key}.upto", "each tier but the last has an end")
        if tier.up_to is not None:
            if tier.up_to <= start:
                raise InvalidPriceError(f"{tier_key}.upto", f"{tier.up_to} is not over {start}")
            start = tier.up_to


def _check_number(key: str, value: Decimal | None) -> None:
    if value is None:
        return
    if not value.is_finite() or not ZERO <= value <= MAX_NUMBER or value != round(value, MAX_DECIMAL_PLACES):
        raise InvalidPriceError(
            key, f"a number from 0 to 1e15 with at most 12 places is expected, not {value}"
        )
