"""Tells operators when a rule begins or ceases to act, with the figures that caused it: one line a change."""

from __future__ import annotations

from landingshift.admission.interface import Actions


class ModeLog:
    """Modes that are on, by name. The names are part of the log's format; `docs/oncall.md` explains each.

    Attributes:
        is_on: Whether each mode is on; one that never was is missing.
    """

    def __init__(self, actions: Actions) -> None:
        self._actions = actions
        self.is_on: dict[str, bool] = {}

    def set(self, name: str, is_on: bool, reason: str) -> None:
        """Logs the mode where it changes.

        Args:
            name: Of the mode.
            is_on: Whether it is on now.
            reason: The figures that decide it.
        """
        if self.is_on.get(name, False) != is_on:
            self.is_on[name] = is_on
            self._actions.log(f"{name} {'on' if is_on else 'off'}: {reason}")
