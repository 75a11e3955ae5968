"""Shared parts of the `landingshift ledger` commands: options, opening the store, conversion of errors."""

from __future__ import annotations

import getpass
import os
import sqlite3
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import wraps
from typing import Any

import click

from landingshift.cli.errors import CommandError
from landingshift.ledger.errors import CommandRejectedError, LedgerError, StoreUnavailableError
from landingshift.ledger.settings import Settings
from landingshift.ledger.store import STORE_FILE, UsageStore
from landingshift.net.program import features

LEDGER_TABLE = "ledger"
MAX_TEXT_LENGTH = 1000
"""Maximum number of characters of a reason or an author."""


class LedgerCommandError(CommandError):
    """A command of the ledger group failed and changed nothing."""


class NoSettingsFileError(LedgerCommandError):
    """Neither `--toml` nor the environment names the settings file."""

    def __init__(self) -> None:
        super().__init__(
            "no settings file given: name the file with [ledger] by --toml or "
            f"{features.SETTINGS_FILE_VARIABLE}"
        )


class NoLedgerTableError(LedgerCommandError):
    """The settings file has no table `[ledger]`."""

    def __init__(self, path: str) -> None:
        super().__init__(f"{path}: there is no table [ledger]")


class NoLedgerError(LedgerCommandError):
    """The directory that the settings name contains no store."""

    def __init__(self, directory: str) -> None:
        super().__init__(f"{directory}: the directory contains no ledger")


class StoreAccessError(LedgerCommandError):
    """The store's file can't be read or written."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"can't read or write the store: {cause}")


class InvalidOptionError(LedgerError, ValueError):
    """An option of a command has an invalid value."""

    def __init__(self, option: str, problem: str) -> None:
        super().__init__(f"{option}: {problem}")
        self.option = option
        self.problem = problem


class CorrectionTooLargeError(InvalidOptionError):
    """The uses or the work of a correction exceed the allowed range."""

    def __init__(self) -> None:
        super().__init__("uses, work-ms", "the value exceeds the maximum of a correction")


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """The table `[ledger]` and the folder of its settings file."""

    table: Settings
    folder: str
    """Absolute path of the folder that contains the settings file."""


def wall_clock_ms() -> int:
    """Returns the current Unix time in ms."""
    return round(time.time() * 1000.0)


def load_settings(path: str | None) -> LedgerSettings:
    """Reads the table `[ledger]`, also if the ledger is switched off.

    Args:
        path: Path of the settings file; None for the file that the environment names.

    Raises:
        LedgerCommandError: The file or the table is missing or invalid.
    """
    path = path or os.environ.get(features.SETTINGS_FILE_VARIABLE)
    if not path:
        raise NoSettingsFileError
    try:
        loaded = features.load_features(path, include_disabled=True)
    except features.FeatureConfigError as err:
        raise LedgerCommandError(str(err)) from err
    for feature in loaded:
        if feature.table == LEDGER_TABLE:
            return LedgerSettings(feature.settings, os.path.dirname(os.path.abspath(path)))
    raise NoLedgerTableError(path)


@contextmanager
def open_store(toml: str | None) -> Iterator[UsageStore]:
    """Opens the store that the settings file names. A running server may write to the store meanwhile.

    Args:
        toml: Path of the settings file; None for the file that the environment names.

    Raises:
        LedgerCommandError: The settings are missing or invalid, or the store does not exist.
    """
    settings = load_settings(toml).table
    if not os.path.exists(os.path.join(settings.directory, STORE_FILE)):
        raise NoLedgerError(settings.directory)
    with UsageStore.from_settings(settings) as store:
        yield store


def reports_errors(command: Callable[..., None]) -> Callable[..., None]:
    """Wraps a command so that expected errors end it with a one-line message instead of a traceback."""

    @wraps(command)
    def call_reporting_errors(*args: Any, **options: Any) -> None:
        """Calls the command and converts its errors to `LedgerCommandError`, which click prints."""
        try:
            command(*args, **options)
        except (CommandRejectedError, StoreUnavailableError, ValueError) as err:
            raise LedgerCommandError(str(err)) from err
        except (sqlite3.Error, OSError) as err:
            raise StoreAccessError(err) from err

    return call_reporting_errors


toml_option = click.option(
    "--toml",
    type=click.Path(dir_okay=False),
    help="Settings file with [ledger]. Default: the file that LANDINGSHIFT_TOML names.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
author_option = click.option(
    "--who",
    "author",
    default=getpass.getuser,
    show_default="the user",
    help="Author of the entry, stored with it.",
)
reason_option = click.option("--reason", required=True, help="Reason for the entry, stored with it.")


def check_text_lengths(reason: str, author: str) -> None:
    """Checks the length of the texts that an operator stores with an entry.

    Raises:
        InvalidOptionError: A text is longer than `MAX_TEXT_LENGTH`.
    """
    for option, text in (("reason", reason), ("who", author)):
        if len(text) > MAX_TEXT_LENGTH:
            raise InvalidOptionError(option, f"at most {MAX_TEXT_LENGTH} characters are allowed")
