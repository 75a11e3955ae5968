"""What can be wrong with our own settings. Each text names file, table and key."""

from __future__ import annotations

from collections.abc import Iterable

from landingshift.errors import LandingshiftError


class FeatureConfigError(LandingshiftError):
    """The settings can't be used.

    Attributes:
        path: The file's path; empty where only the start of a package showed what is wrong.
        problem: What is wrong.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}" if path else problem)
        self.path = path
        self.problem = problem


class UnknownTableError(FeatureConfigError):
    """A table that no package has."""

    def __init__(self, path: str, table: str, known: Iterable[str]) -> None:
        super().__init__(path, f"[{table}]: no such table; there is {', '.join(known)}")
        self.table = table


class TableExpectedError(FeatureConfigError):
    """Something else stands where a package's table is due."""

    def __init__(self, path: str, table: str) -> None:
        super().__init__(path, f"{table}: a table is expected")
        self.table = table


class InvalidTableError(FeatureConfigError):
    """A package's table has a value that it can't use.

    Args:
        reason: The key and what is wrong with it.
    """

    def __init__(self, path: str, table: str, reason: str) -> None:
        super().__init__(path, f"[{table}] {reason}")
        self.table = table


class NeededTableError(FeatureConfigError):
    """A package can't be on without another."""

    def __init__(self, path: str, table: str, needed: str) -> None:
        super().__init__(path, f"[{table}] needs the table [{needed}], switched on")
        self.table = table
