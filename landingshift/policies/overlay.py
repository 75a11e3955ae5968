"""Applies the policy in force over the startup settings of this server."""

from __future__ import annotations

import os
from typing import Any

from landingshift.admission.interface import Method, Settings, Tenant
from landingshift.policies.document import ALL_TABLES, NEWEST_FORMAT, decode_policy
from landingshift.policies.errors import InvalidPolicyError

# Environment variable with the newest policy format to accept; tests set it to imitate an older build.
FORMAT_VARIABLE = "LANDINGSHIFT_FORMAT"


def newest_readable_format() -> int:
    """Returns the newest policy format that this server accepts."""
    return int(os.environ.get(FORMAT_VARIABLE, "") or NEWEST_FORMAT)


class PolicyOverlay:
    """Checks policies against this server's settings, and applies them over the startup values.

    Attributes:
        owners: Objects of the admission package whose attributes a policy sets, keyed by table, then name.
        startup_values: Values at the start of this server, keyed by (table, name, attribute).
    """

    def __init__(self, settings: Settings, methods: dict[str, Method], tenants: dict[str, Tenant]) -> None:
        self.owners: dict[str, dict[str, Any]] = {
            "methods": dict(methods),
            "tenants": dict(tenants),
            "rules": {"": settings},
        }
        self.startup_values: dict[tuple[str, str, str], Any] = {
            (table, name, spec.attribute): getattr(owner, spec.attribute)
            for table, owners in self.owners.items()
            for name, owner in owners.items()
            for spec in ALL_TABLES[table].values()
        }

    def find_conflict(self, encoded: bytes) -> str:
        """Returns why this server can't apply a policy, as "key: reason"; an empty string if it can."""
        try:
            tables = decode_policy(encoded, newest_readable_format())
            for table, names in tables.items():
                for name, values in names.items():
                    self._check_values(table, name, values)
        except InvalidPolicyError as error:
            return str(error)
        return ""

    def apply(self, encoded: bytes) -> None:
        """Puts a policy in force; values that the policy does not set return to their startup values."""
        tables = decode_policy(encoded, NEWEST_FORMAT)
        for (table, name, attribute), startup_value in self.startup_values.items():
            values = tables[table].get(name, {})
            key = next(key for key, spec in ALL_TABLES[table].items() if spec.attribute == attribute)
            setattr(self.owners[table][name], attribute, values.get(key, startup_value))

    def _check_values(self, table: str, name: str, values: dict[str, float]) -> None:
        owner = self.owners[table].get(name)
        if owner is None:
            raise InvalidPolicyError(f"{table}.{name}", "this server has none of that name")
        if values.get("hold_off_max_ms") and not self.startup_values["rules", "", "max_retry_after_ms"]:
            raise InvalidPolicyError("rules.hold_off_max_ms", "its settings permit no hold-off")
        objective_ms = values.get("target_ms")
        objective_key = f"{table}.{name}.target_ms"
        if objective_ms is None:
            return
        if isinstance(owner, Method) and objective_ms > owner.deadline_ms:
            raise InvalidPolicyError(objective_key, f"more than its deadline, {owner.deadline_ms:g}")
        if objective_ms == 0.0:
            raise InvalidPolicyError(objective_key, "0 would turn all away")
