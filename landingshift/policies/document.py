"""What a policy says: figures for methods, tenants and rules by name.

A policy is complete: what it does not name is as in the settings of the start. As a file it is TOML; it is
sent and stored as MessagePack of the same tables.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from landingshift.policies.errors import InvalidPolicyError

MAX_POLICY_BYTES = 65_536  # as it is stored
NEWEST_FORMAT = 2  # that this build reads
MAX_FIGURE = 1e15  # well below where floats lose whole numbers
POLICY_ROOT = "the whole"  # stands for the key in errors that are about no key
NOT_TOML = "no TOML"  # as well

Figures = dict[str, dict[str, dict[str, float]]]  # by table, name and key; the rules have the name ""


@dataclass(slots=True, frozen=True)
class KeyRule:
    """One key of a table.

    Attributes:
        since_format: Format that the key came with.
        attribute: Where the admission module keeps the figure.
        is_fraction: Whether the figure is at most 1.
    """

    since_format: int
    attribute: str
    is_fraction: bool = False


METHOD_KEYS = {
    "criticality": KeyRule(1, "criticality"),
    "target_ms": KeyRule(1, "latency_objective_ms"),
    "late_share": KeyRule(2, "late_value_fraction", is_fraction=True),
}
TENANT_KEYS = {"allowance_s": KeyRule(1, "quota_per_second")}
RULE_KEYS = {
    "hold_off_max_ms": KeyRule(1, "max_retry_after_ms"),
    "over_share_worth": KeyRule(1, "over_quota_value_fraction", is_fraction=True),
}
NAMED_TABLES = {"methods": METHOD_KEYS, "tenants": TENANT_KEYS}  # one entry a name
ALL_TABLES = {**NAMED_TABLES, "rules": RULE_KEYS}


def parse_policy(text: str) -> bytes:
    """A policy file as it is sent and stored.

    Raises:
        InvalidPolicyError: No build could read it.
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidPolicyError(NOT_TOML, str(error)) from error
    try:
        packed = msgspec.msgpack.encode(data, order="deterministic")
    except (OverflowError, TypeError) as error:  # TOML has larger numbers, and dates
        raise InvalidPolicyError(POLICY_ROOT, str(error)) from error
    decode_policy(packed, NEWEST_FORMAT)
    if len(packed) > MAX_POLICY_BYTES:
        raise InvalidPolicyError(POLICY_ROOT, f"{len(packed)} bytes, {MAX_POLICY_BYTES} at most")
    return packed


def decode_policy(packed: bytes, newest_format: int) -> Figures:
    """Figures of a stored policy.

    Args:
        packed: As `parse_policy` gave it; empty for the settings of the start.
        newest_format: Up to which format the reader understands policies.

    Raises:
        InvalidPolicyError: Such a reader can't read it.
    """
    figures: Figures = {"methods": {}, "tenants": {}, "rules": {}}
    if not packed:
        return figures
    data = _decode_tables(packed)
    policy_format = data.pop("format", 1)
    if not isinstance(policy_format, int) or not 1 <= policy_format <= newest_format:
        reason = f"this build reads up to {newest_format}, not {policy_format!r}"
        raise InvalidPolicyError("format", reason)
    for table, values in data.items():
        if table == "rules":
            figures["rules"][""] = _decode_figures("rules", values, RULE_KEYS, policy_format)
        elif table in NAMED_TABLES:
            keys = NAMED_TABLES[table]
            for name, entry in _as_table(table, values).items():
                figures[table][name] = _decode_figures(f"{table}.{name}", entry, keys, policy_format)
        else:
            raise InvalidPolicyError(table, "no such table; there is methods, tenants, rules")
    return figures


def _decode_tables(packed: bytes) -> dict[Any, Any]:
    try:
        data = msgspec.msgpack.decode(packed)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidPolicyError(POLICY_ROOT, str(error)) from error
    if not isinstance(data, dict):
        raise InvalidPolicyError(POLICY_ROOT, "tables are expected")
    return data


def _as_table(path: str, values: Any) -> dict[str, Any]:
    if not isinstance(values, dict):
        raise InvalidPolicyError(path, "a table is expected")
    return values


def _decode_figures(path: str, values: Any, keys: dict[str, KeyRule], policy_format: int) -> dict[str, float]:
    table = _as_table(path, values)
    for key, value in table.items():
        if key not in keys:
            raise InvalidPolicyError(f"{path}.{key}", f"no such key; there is {', '.join(keys)}")
        rule = keys[key]
        if rule.since_format > policy_format:
            raise InvalidPolicyError(f"{path}.{key}", f"needs format = {rule.since_format}")
        if not _is_figure(value, rule):
            raise InvalidPolicyError(f"{path}.{key}", f"a number of 0 or more is expected, not {value!r}")
    return {key: float(value) for key, value in table.items()}


def _is_figure(value: Any, rule: KeyRule) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return 0 <= value < MAX_FIGURE and not (rule.is_fraction and value > 1)


def flatten_policy(packed: bytes) -> dict[str, float]:
    """Figures of a stored policy by dotted key."""
    return {
        ".".join(segment for segment in (table, name, key) if segment): value
        for table, names in decode_policy(packed, NEWEST_FORMAT).items()
        for name, values in names.items()
        for key, value in values.items()
    }


def describe_differences(old: bytes, new: bytes, show: Callable[[float | None], str]) -> list[str]:
    """A line for each key that is not the same in both policies; `show` formats a figure or its absence."""
    old_figures, new_figures = flatten_policy(old), flatten_policy(new)
    return [
        f"{key}: {show(old_figures.get(key))} -> {show(new_figures.get(key))}"
        for key in sorted(old_figures | new_figures)
        if old_figures.get(key) != new_figures.get(key)
    ]
