"""Errors in the settings of optional packages; messages name the file, table and key, as far as known."""

from __future__ import annotations

from collections.abc import Iterable

from landingshift.errors import LandingshiftError


class FeatureConfigError(LandingshiftError):
    """The settings of the optional packages can't be used.

    Attributes:
        path: The path of the settings file; empty if a package detected the problem when its service started.
        problem: A description of the problem.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}" if path else problem)
        self.path = path
        self.problem = problem


class UnknownTableError(FeatureConfigError):
    """The settings file has a table that belongs to no package."""

    def __init__(self, path: str, table: str, known: Iterable[str]) -> None:
        super().__init__(path, f"[{table}]: unknown table; known tables are {', '.join(known)}")
        self.table = table


class TableExpectedError(FeatureConfigError):
    """In the settings file, the value of a package's key is not a table."""

    def __init__(self, path: str, table: str) -> None:
        super().__init__(path, f"{table}: a table is expected")
        self.table = table


class InvalidTableError(FeatureConfigError):
    """A package's table has an invalid value.

    Args:
        reason: The key at fault and the problem with it.
    """

    def __init__(self, path: str, table: str, reason: str) -> None:
        super().__init__(path, f"[{table}] {reason}")
        self.table = table


class MissingDependencyError(FeatureConfigError):
    """A package is enabled without another package that it requires."""

    def __init__(self, path: str, table: str, dependency: str) -> None:
        super().__init__(path, f"[{table}] needs the table [{dependency}], which must be enabled")
        self.table = table
