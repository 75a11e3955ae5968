"""Errors in the input from the simulator. Their messages are written to the standard error stream."""

from __future__ import annotations

from typing import Any

from landingshift.errors import LandingshiftError
from landingshift.settings import SettingsError

SETTINGS_ERROR_NAME = "BadSetting"
"""Error name shown in the message of an `InvalidSettingsError` for any `SettingsError`."""


class MalformedMessageError(LandingshiftError):
    """Base class of errors for lines that are not a valid message or not allowed at this point."""


class NotAMessageError(MalformedMessageError):
    """A line is not an array that begins with a message name."""

    def __init__(self) -> None:
        super().__init__("a message is an array that begins with its name")


class NestedBatchError(MalformedMessageError):
    """A batch begins inside another batch."""

    def __init__(self) -> None:
        super().__init__("a batch begins before the last one ended")


class OutsideBatchError(MalformedMessageError):
    """A message that is only allowed inside a batch is received outside a batch."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} outside a batch")


class UnknownEventError(MalformedMessageError):
    """The name of an event is unknown."""

    def __init__(self, name: str) -> None:
        super().__init__(f"unknown event {name}")


class NoInstanceError(MalformedMessageError):
    """A message lacks the number of its instance."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} names no instance")


class UnknownInstanceError(MalformedMessageError):
    """An event is for an instance that was not configured or has been destroyed."""

    def __init__(self, name: str, instance_id: int) -> None:
        super().__init__(f"{name} for instance {instance_id}, which was not configured")


class InvalidFieldsError(MalformedMessageError):
    """A message has missing or invalid fields."""

    def __init__(self, name: str, expected: str) -> None:
        super().__init__(f"{name} takes {expected}")


class UnknownReferenceError(MalformedMessageError):
    """An RPC refers to a method or tenant that the settings do not contain."""

    def __init__(self, name: str, kind: str, value: Any) -> None:
        super().__init__(f"{name} of unknown {kind} {value!r}")


class NotANumberError(MalformedMessageError):
    """A numeric field of an RPC has a value that is not a number."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} with a value that is not a number")


class InvalidSettingsError(MalformedMessageError):
    """The settings of an instance are invalid."""

    def __init__(self, error: Exception) -> None:
        kind = SETTINGS_ERROR_NAME if isinstance(error, SettingsError) else type(error).__name__
        super().__init__(f"settings: {kind} {error}")
