"""Logs changes of the modes of a server.

A mode shows whether one admission rule is active, for example the pacing of downstream calls. The log line of
a change contains the measurements that caused the change.
"""

from __future__ import annotations

from landingshift.admission.interface import Actions


class ModeLog:
    """Logs changes of modes.

    The mode names are part of the log format; `docs/oncall.md` explains each of them.

    Attributes:
        is_on: Whether each mode is on, keyed by mode name; a mode that was never on is missing.
    """

    def __init__(self, actions: Actions) -> None:
        self._actions = actions
        self.is_on: dict[str, bool] = {}

    def set(self, name: str, is_on: bool, reason: str) -> None:
        """Sets a mode and logs it if it has changed.

        Args:
            name: Name of the mode.
            is_on: Whether the mode is on now.
            reason: Measurements that explain the change.
        """
        if self.is_on.get(name, False) != is_on:
            self.is_on[name] = is_on
            self._actions.log(f"{name} {'on' if is_on else 'off'}: {reason}")
