"""A policy over the settings of this server's start: what it may say here, and putting it in force."""

from __future__ import annotations

import os
from typing import Any

from landingshift.admission.interface import Method, Settings, Tenant
from landingshift.policies.document import ALL_TABLES, NEWEST_FORMAT, decode_policy
from landingshift.policies.errors import InvalidPolicyError

FORMAT_VARIABLE = "LANDINGSHIFT_FORMAT"  # for trials: this build reads as an older one would


def newest_readable_format() -> int:
    """Newest format of a policy that this server accepts."""
    return int(os.environ.get(FORMAT_VARIABLE, "") or NEWEST_FORMAT)


class PolicyOverlay:
    """The settings of this server's start, and the policy in force over them.

    Attributes:
        owners: Objects of the admission module that hold the figures, by table and name.
        start_values: Figures of the start by table, name and attribute.
    """

    def __init__(self, settings: Settings, methods: dict[str, Method], tenants: dict[str, Tenant]) -> None:
        self.owners: dict[str, dict[str, Any]] = {
            "methods": dict(methods),
            "tenants": dict(tenants),
            "rules": {"": settings},
        }
        self.start_values: dict[tuple[str, str, str], Any] = {
            (table, name, rule.attribute): getattr(owner, rule.attribute)
            for table, owners in self.owners.items()
            for name, owner in owners.items()
            for rule in ALL_TABLES[table].values()
        }

    def find_conflict(self, packed: bytes) -> str:
        """Key and reason where this server could not decide by a policy; empty where it could."""
        try:
            figures = decode_policy(packed, newest_readable_format())
            for table, names in figures.items():
                for name, values in names.items():
                    self._check_figures(table, name, values)
        except InvalidPolicyError as error:
            return str(error)
        return ""

    def apply(self, packed: bytes) -> None:
        """Puts a policy in force; what it does not name is as at the start."""
        figures = decode_policy(packed, NEWEST_FORMAT)
        for (table, name, attribute), start_value in self.start_values.items():
            named = figures[table].get(name, {})
            key = next(key for key, rule in ALL_TABLES[table].items() if rule.attribute == attribute)
            setattr(self.owners[table][name], attribute, named.get(key, start_value))

    def _check_figures(self, table: str, name: str, values: dict[str, float]) -> None:
        owner = self.owners[table].get(name)
        if owner is None:
            raise InvalidPolicyError(f"{table}.{name}", "this server has none of that name")
        if values.get("hold_off_max_ms") and not self.start_values["rules", "", "max_retry_after_ms"]:
            raise InvalidPolicyError("rules.hold_off_max_ms", "its settings permit no hold-off")
        objective_ms = values.get("target_ms")
        objective_key = f"{table}.{name}.target_ms"
        if objective_ms is None:
            return
        if isinstance(owner, Method) and objective_ms > owner.deadline_ms:
            raise InvalidPolicyError(objective_key, f"more than its deadline, {owner.deadline_ms:g}")
        if objective_ms == 0.0:
            raise InvalidPolicyError(objective_key, "0 would turn all away")
