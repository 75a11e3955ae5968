"""Price plans from TOML, `Decimal` throughout.

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
MAX_NUMBER = Decimal(10) ** 15  # of a price, an allowance or a tier's end
MAX_DECIMAL_PLACES_COUNT = 12  # of the same
ROUNDING_PRECISION_LENGTH = 60  # digits; more than any amount within the bounds has
ZERO = Decimal(0)

PlanText = Annotated[str, Meta(min_length=1, max_length=100)]
BillingUnit = Literal["rpc", "work_s", "mb_in", "mb_out"]


class PriceTier(Struct, forbid_unknown_fields=True, frozen=True):
    """A price for units from the end of the tier before it."""

    price: Decimal
    up_to: Decimal | None = msgspec.field(default=None, name="upto")
    """Units from the first that is charged; the last tier has no end."""


class PriceLine(Struct, forbid_unknown_fields=True, frozen=True):
    """What one line of a statement charges for."""

    name: PlanText
    unit: BillingUnit
    methods: list[PlanText] = []
    """Escaped names; empty for all that no earlier line of this unit names."""
    free_quantity: Decimal = msgspec.field(default=ZERO, name="free")
    """Units a period that cost nothing."""
    price: Decimal | None = None
    tiers: list[PriceTier] = []

    def effective_tiers(self) -> list[PriceTier]:
        """The tiers, or the one price as the only tier."""
        return self.tiers or [PriceTier(self.price or ZERO)]


class PricePlan(Struct, forbid_unknown_fields=True, frozen=True):
    """Prices of all tenants."""

    currency: Annotated[str, Meta(pattern="^[A-Z]{3}$")]
    default_plan: PlanText = msgspec.field(name="default")
    plans: dict[PlanText, list[PriceLine]]
    decimal_places: Annotated[int, Meta(ge=0, le=8)] = msgspec.field(default=2, name="places")
    rounding: Literal["half_even", "half_up", "down"] = "half_even"
    plan_by_tenant: dict[str, PlanText] = msgspec.field(default={}, name="tenants")

    def lines_for(self, tenant: bytes) -> list[PriceLine]:
        """The lines by which a tenant pays."""
        return self.plans[self.plan_by_tenant.get(escape_name(tenant), self.default_plan)]

    def rounded(self, amount: Decimal) -> Decimal:
        """Rounds an amount; the one place where anything is rounded."""
        quantum = Decimal(1).scaleb(-self.decimal_places)
        context = decimal.Context(prec=ROUNDING_PRECISION_LENGTH)
        return amount.quantize(quantum, ROUNDING_MODES[self.rounding], context)


def load_price_plan(path: str) -> PricePlan:
    """Reads and checks a plan.

    Raises:
        InvalidPricePlanError: The file can't be read or has a value that can't be used.
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
    """Checks what the types can't say.

    Raises:
        InvalidPriceError: A key has a value that can't be used.
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
    if (
        not value.is_finite()
        or not ZERO <= value <= MAX_NUMBER
        or value != round(value, MAX_DECIMAL_PLACES_COUNT)
    ):
        raise InvalidPriceError(
            key, f"a number from 0 to 1e15 with at most 12 places is expected, not {value}"
        )
