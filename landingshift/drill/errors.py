"""What can be wrong with a line of the simulator. The texts are written to the standard error stream."""

from __future__ import annotations

from typing import Any

from landingshift.errors import LandingshiftError
from landingshift.settings import SettingsError

SETTINGS_ERROR_NAME = "BadSetting"
"""By which the text names any error of the settings."""


class MalformedMessageError(LandingshiftError):
    """A line that is no message of this wire, or comes where it may not."""


class NotAMessageError(MalformedMessageError):
    """A line that is no array with a word."""

    def __init__(self) -> None:
        super().__init__("a message is an array that begins with its name")


class NestedBatchError(MalformedMessageError):
    """A batch in a batch."""

    def __init__(self) -> None:
        super().__init__("a batch begins before the last one ended")


class OutsideBatchError(MalformedMessageError):
    """A message that may only come in a batch."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} outside a batch")


class UnknownEventError(MalformedMessageError):
    """A word that this build does not know."""

    def __init__(self, name: str) -> None:
        super().__init__(f"unknown event {name}")


class NoInstanceError(MalformedMessageError):
    """An event without the number of an instance."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} names no instance")


class UnknownInstanceError(MalformedMessageError):
    """An event for an instance that was not configured, or was destroyed."""

    def __init__(self, name: str, instance_id: int) -> None:
        super().__init__(f"{name} for instance {instance_id}, which was not configured")


class WrongFieldsError(MalformedMessageError):
    """Fields that a message does not take."""

    def __init__(self, name: str, takes: str) -> None:
        super().__init__(f"{name} takes {takes}")


class UnknownReferenceError(MalformedMessageError):
    """An RPC of a method or tenant that the settings do not have."""

    def __init__(self, name: str, kind: str, value: Any) -> None:
        super().__init__(f"{name} of unknown {kind} {value!r}")


class NotANumberError(MalformedMessageError):
    """An RPC with a field that is to be a number and is not."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} with a value that is not a number")


class WrongSettingsError(MalformedMessageError):
    """Settings by which no instance can start."""

    def __init__(self, error: Exception) -> None:
        kind = SETTINGS_ERROR_NAME if isinstance(error, SettingsError) else type(error).__name__
        super().__init__(f"settings: {kind} {error}")
