"""What the commands of `landingshift ledger` share: options, opening the store, errors in one line."""

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
MAX_TEXT_LENGTH = 1000  # characters of a reason or an author


class LedgerCommandError(CommandError):
    """A command can't be done, and nothing has changed."""


class NoSettingsFileError(LedgerCommandError):
    """Neither the option nor the environment names the file of settings."""

    def __init__(self) -> None:
        super().__init__(f"--toml or {features.SETTINGS_FILE_VARIABLE} is to name the file with [ledger]")


class NoLedgerTableError(LedgerCommandError):
    """The file of settings has no table `[ledger]`."""

    def __init__(self, path: str) -> None:
        super().__init__(f"{path}: there is no table [ledger]")


class NoLedgerError(LedgerCommandError):
    """The directory that the settings name holds no store."""

    def __init__(self, directory: str) -> None:
        super().__init__(f"{directory}: there is no ledger")


class StoreAccessError(LedgerCommandError):
    """The store's file can't be read or written."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"the store can't be used: {cause}")


class InvalidOptionError(LedgerError, ValueError):
    """An option has a value that can't be used."""

    def __init__(self, option: str, problem: str) -> None:
        super().__init__(f"{option}: {problem}")
        self.option = option
        self.problem = problem


class CorrectionTooLargeError(InvalidOptionError):
    """A correction's uses or work are out of bounds."""

    def __init__(self) -> None:
        super().__init__("uses, work-ms", "more than a correction can be")


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """The table `[ledger]` and where it was read."""

    table: Settings
    folder: str
    """Folder of the file of settings."""


def wall_clock_ms() -> int:
    """Unix time."""
    return round(time.time() * 1000.0)


def load_settings(path: str | None) -> LedgerSettings:
    """Reads the table `[ledger]`, switched on or not.

    Raises:
        LedgerCommandError: There is none, or it can't be used.
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
    """The store that the settings name; the server may be writing to it meanwhile."""
    settings = load_settings(toml).table
    if not os.path.exists(os.path.join(settings.directory, STORE_FILE)):
        raise NoLedgerError(settings.directory)
    with UsageStore.from_settings(settings) as store:
        yield store


def reports_errors(command: Callable[..., None]) -> Callable[..., None]:
    """Wraps a command, so that an error is one line on standard error."""

    @wraps(command)
    def run(*args: Any, **options: Any) -> None:
        """Calls the command, and turns its errors into those that click reports."""
        try:
            command(*args, **options)
        except (CommandRejectedError, StoreUnavailableError, ValueError) as err:
            raise LedgerCommandError(str(err)) from err
        except (sqlite3.Error, OSError) as err:
            raise StoreAccessError(err) from err

    return run


toml_option = click.option(
    "--toml", type=click.Path(dir_okay=False), help="Settings; else LANDINGSHIFT_TOML."
)
json_option = click.option("--json", "as_json", is_flag=True, help="JSON for pipes.")
author_option = click.option(
    "--who", "author", default=getpass.getuser, show_default="the user", help="Who says so."
)
reason_option = click.option("--reason", required=True, help="Kept with the entry for good.")


def check_texts(reason: str, author: str) -> None:
    """Bounds the texts of an operator's entry.

    Raises:
        InvalidOptionError: One is too long.
    """
    for option, text in (("reason", reason), ("who", author)):
        if len(text) > MAX_TEXT_LENGTH:
            raise InvalidOptionError(option, f"at most {MAX_TEXT_LENGTH} characters")
