"""Format of policies: values for methods, tenants and admission rules.

A policy replaces the previous policy as a whole: a value that the new policy does not set returns to the
server's startup setting. A policy file is TOML; servers send and store the same tables as MessagePack.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from landingshift.policies.errors import InvalidPolicyError

MAX_POLICY_BYTES = 65_536  # maximum size of an encoded policy
NEWEST_FORMAT = 2  # newest policy format that this build reads
MAX_VALUE = 1e15  # well below 2**53, above which floats can't represent every whole number
POLICY_ROOT = "the whole"  # replaces the key in errors that concern no single key
NOT_TOML = "not TOML"  # replaces the key if the file can't be parsed

# Values keyed by table, then by method or tenant name ("" in the table `rules`), then by key.
PolicyValues = dict[str, dict[str, dict[str, float]]]


@dataclass(slots=True, frozen=True)
class KeySpec:
    """Specification of a key in a table.

    Attributes:
        since_format: First policy format that has the key.
        attribute: Name of the attribute that holds the value, on a method, tenant or settings object of the
            admission package.
        is_fraction: If True, values above 1 are invalid.
    """

    since_format: int
    attribute: str
    is_fraction: bool = False


METHOD_KEYS = {
    "criticality": KeySpec(1, "criticality"),
    "target_ms": KeySpec(1, "latency_objective_ms"),
    "late_share": KeySpec(2, "late_value_fraction", is_fraction=True),
}
TENANT_KEYS = {"allowance_s": KeySpec(1, "quota_per_second")}
RULE_KEYS = {
    "hold_off_max_ms": KeySpec(1, "max_retry_after_ms"),
    "over_share_worth": KeySpec(1, "over_quota_value_fraction", is_fraction=True),
}
NAMED_TABLES = {"methods": METHOD_KEYS, "tenants": TENANT_KEYS}  # tables with one subtable per name
ALL_TABLES = {**NAMED_TABLES, "rules": RULE_KEYS}


def parse_policy(text: str) -> bytes:
    """Validates the text of a policy file and returns the encoded policy.

    Raises:
        InvalidPolicyError: The policy is invalid.
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidPolicyError(NOT_TOML, str(error)) from error
    try:
        encoded = msgspec.msgpack.encode(data, order="deterministic")
    except (OverflowError, TypeError) as error:  # TOML allows integers that MessagePack can't encode
        raise InvalidPolicyError(POLICY_ROOT, str(error)) from error
    decode_policy(encoded, NEWEST_FORMAT)
    if len(encoded) > MAX_POLICY_BYTES:
        raise InvalidPolicyError(POLICY_ROOT, f"{len(encoded)} bytes; the limit is {MAX_POLICY_BYTES} bytes")
    return encoded


def decode_policy(encoded: bytes, newest_format: int) -> PolicyValues:
    """Decodes and validates a policy.

    Args:
        encoded: Result of `parse_policy`; empty for a policy that sets no value.
        newest_format: Newest policy format to accept.

    Raises:
        InvalidPolicyError: The policy is invalid, or its format is newer than `newest_format`.
    """
    tables: PolicyValues = {"methods": {}, "tenants": {}, "rules": {}}
    if not encoded:
        return tables
    data = _decode_tables(encoded)
    policy_format = data.pop("format", 1)
    if not isinstance(policy_format, int) or not 1 <= policy_format <= newest_format:
        reason = f"this build reads up to {newest_format}, not {policy_format!r}"
        raise InvalidPolicyError("format", reason)
    for table, values in data.items():
        if table == "rules":
            tables["rules"][""] = _decode_values("rules", values, RULE_KEYS, policy_format)
        elif table in NAMED_TABLES:
            keys = NAMED_TABLES[table]
            for name, entry in _require_table(table, values).items():
                tables[table][name] = _decode_values(f"{table}.{name}", entry, keys, policy_format)
        else:
            raise InvalidPolicyError(table, "no such table; there is methods, tenants, rules")
    return tables


def _decode_tables(encoded: bytes) -> dict[Any, Any]:
    try:
        data = msgspec.msgpack.decode(encoded)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidPolicyError(POLICY_ROOT, str(error)) from error
    if not isinstance(data, dict):
        raise InvalidPolicyError(POLICY_ROOT, "tables are expected")
    return data


def _require_table(path: str, values: Any) -> dict[str, Any]:
    if not isinstance(values, dict):
        raise InvalidPolicyError(path, "a table is expected")
    return values


def _decode_values(path: str, values: Any, keys: dict[str, KeySpec], policy_format: int) -> dict[str, float]:
    table = _require_table(path, values)
    for key, value in table.items():
        if key not in keys:
            raise InvalidPolicyError(f"{path}.{key}", f"no such key; there is {', '.join(keys)}")
        spec = keys[key]
        if spec.since_format > policy_format:
            raise InvalidPolicyError(f"{path}.{key}", f"needs format = {spec.since_format}")
        if not _is_valid_value(value, spec):
            raise InvalidPolicyError(f"{path}.{key}", f"a number of 0 or more is expected, not {value!r}")
    return {key: float(value) for key, value in table.items()}


def _is_valid_value(value: Any, spec: KeySpec) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return 0 <= value < MAX_VALUE and not (spec.is_fraction and value > 1)


def flatten_policy(encoded: bytes) -> dict[str, float]:
    """Returns the values of an encoded policy, keyed by dotted path (such as `tenants.NAME.allowance_s`)."""
    return {
        ".".join(segment for segment in (table, name, key) if segment): value
        for table, names in decode_policy(encoded, NEWEST_FORMAT).items()
        for name, values in names.items()
        for key, value in values.items()
    }


def describe_differences(old: bytes, new: bytes, show: Callable[[float | None], str]) -> list[str]:
    """Returns one line for each key whose value differs between two encoded policies.

    Args:
        old: The old policy.
        new: The new policy.
        show: Formats a value for the line; called with None for a key that a policy does not set.
    """
    old_values, new_values = flatten_policy(old), flatten_policy(new)
    return [
        f"{key}: {show(old_values.get(key))} -> {show(new_values.get(key))}"
        for key in sorted(old_values | new_values)
        if old_values.get(key) != new_values.get(key)
    ]
