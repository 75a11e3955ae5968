"""What a policy says: figures for methods, tenants and rules by name, over what each server was started with.

A policy is whole: what it does not name is as in the settings of the start. Pure.
"""

from __future__ import annotations

import os
import tomllib
from collections.abc import Callable
from typing import Any

import msgspec

from landingshift.admission.interface import Method, Settings, Tenant

LARGEST = 65_536  # bytes of one as it is kept
FORMAT = 2  # the newest that this build reads; LANDINGSHIFT_FORMAT: as if it were an older build
NUMBER = "a number of 0 or more is expected"
Figures = dict[str, dict[str, dict[str, float]]]

# Keys of each table: the format they came with, and where the module keeps them.
METHODS = {
    "criticality": (1, "criticality"),
    "target_ms": (1, "latency_objective_ms"),
    "late_share": (2, "late_value_fraction"),
}
TENANTS = {"allowance_s": (1, "quota_per_second")}
RULES = {"hold_off_max_ms": (1, "max_retry_after_ms"), "over_share_worth": (1, "over_quota_value_fraction")}
TABLES = {"methods": METHODS, "tenants": TENANTS}


class InvalidPolicyError(ValueError):
    """The text begins with the key."""


def newest() -> int:
    return int(os.environ.get("LANDINGSHIFT_FORMAT", "") or FORMAT)


def parse_policy(text: str) -> bytes:
    """What a file says, as it is kept. Raises InvalidPolicyError for what no build could read."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as err:
        raise InvalidPolicyError(f"no TOML: {err}") from err
    try:
        packed = msgspec.msgpack.encode(data, order="deterministic")
    except (OverflowError, TypeError) as err:  # TOML has larger numbers, and dates
        raise InvalidPolicyError(f"the whole: {err}") from err
    decode_policy(packed, FORMAT)
    if len(packed) > LARGEST:
        raise InvalidPolicyError(f"the whole: {len(packed)} bytes, {LARGEST} at most")
    return packed


def decode_policy(packed: bytes, reads: int) -> Figures:
    """Figures by table, name and key; raises InvalidPolicyError where a build for `reads` can't."""
    if not packed:
        return {"methods": {}, "tenants": {}, "rules": {}}
    try:
        data = msgspec.msgpack.decode(packed)
    except (msgspec.DecodeError, RecursionError) as err:
        raise InvalidPolicyError(f"the whole: {err}") from err
    if not isinstance(data, dict):
        raise InvalidPolicyError("the whole: tables are expected")
    found: Figures = {"methods": {}, "tenants": {}, "rules": {}}
    form = data.pop("format", 1)
    if not isinstance(form, int) or not 1 <= form <= reads:
        raise InvalidPolicyError(f"format: this build reads up to {reads}, not {form!r}")
    for table, values in data.items():
        if table == "rules":
            found["rules"][""] = figures("rules", values, RULES, form)
        elif table in TABLES:
            for name, entry in as_table(table, values).items():
                found[table][name] = figures(f"{table}.{name}", entry, TABLES[table], form)
        else:
            raise InvalidPolicyError(f"{table}: no such table; there is methods, tenants, rules")
    return found


def as_table(path: str, values: Any) -> dict[str, Any]:
    if not isinstance(values, dict):
        raise InvalidPolicyError(f"{path}: a table is expected")
    return values


def figures(path: str, values: Any, keys: dict[str, tuple[int, str]], form: int) -> dict[str, float]:
    for key, value in as_table(path, values).items():
        if key not in keys:
            raise InvalidPolicyError(f"{path}.{key}: no such key; there is {', '.join(keys)}")
        if keys[key][0] > form:
            raise InvalidPolicyError(f"{path}.{key}: needs format = {keys[key][0]}")
        good = isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < 1e15
        if not good or (key in ("late_share", "over_share_worth") and value > 1):
            raise InvalidPolicyError(f"{path}.{key}: {NUMBER}, not {value!r}")
    return {key: float(value) for key, value in values.items()}


class PolicyOverlay:
    """The settings of this server's start, over which each policy lies."""

    def __init__(self, settings: Settings, methods: dict[str, Method], tenants: dict[str, Tenant]) -> None:
        self.settings = settings
        self.owners: dict[str, dict[str, Any]] = {
            "methods": dict(methods), "tenants": dict(tenants), "rules": {"": settings},
        }  # fmt: skip
        self.keys = {**TABLES, "rules": RULES}
        self.start = {
            (table, name, attribute): getattr(owner, attribute)
            for table, owners in self.owners.items()
            for name, owner in owners.items()
            for _, attribute in self.keys[table].values()
        }

    def check(self, packed: bytes) -> str:
        """Empty where this server could decide by it, else key and reason."""
        try:
            found = decode_policy(packed, newest())
            for table, names in found.items():
                for name, values in names.items():
                    self.fits(table, name, values)
        except InvalidPolicyError as err:
            return str(err)
        return ""

    def fits(self, table: str, name: str, values: dict[str, float]) -> None:
        owner = self.owners[table].get(name)
        if owner is None:
            raise InvalidPolicyError(f"{table}.{name}: this server has none of that name")
        if values.get("hold_off_max_ms") and not self.start["rules", "", "max_retry_after_ms"]:
            raise InvalidPolicyError("rules.hold_off_max_ms: its settings permit no hold-off")
        if isinstance(owner, Method) and values.get("target_ms", 0.0) > owner.deadline_ms:
            raise InvalidPolicyError(
                f"{table}.{name}.target_ms: more than its deadline, {owner.deadline_ms:g}"
            )
        if values.get("target_ms") == 0.0:
            raise InvalidPolicyError(f"{table}.{name}.target_ms: 0 would turn all away")

    def apply(self, packed: bytes) -> None:
        """Puts the figures in force, those of the start where it names none."""
        found = decode_policy(packed, FORMAT)
        for (table, name, attribute), value in self.start.items():
            named = found[table].get(name, {})
            key = next(k for k, (_, a) in self.keys[table].items() if a == attribute)
            setattr(self.owners[table][name], attribute, named.get(key, value))


def flatten_policy(packed: bytes) -> dict[str, float]:
    return {
        ".".join(part for part in (table, name, key) if part): value
        for table, names in decode_policy(packed, FORMAT).items()
        for name, values in names.items()
        for key, value in values.items()
    }


def describe_differences(old: bytes, new: bytes, show: Callable[[float | None], str]) -> list[str]:
    """A line a key that is not the same in both."""
    a, b = flatten_policy(old), flatten_policy(new)
    return [
        f"{key}: {show(a.get(key))} -> {show(b.get(key))}"
        for key in sorted(a | b)
        if a.get(key) != b.get(key)
    ]
