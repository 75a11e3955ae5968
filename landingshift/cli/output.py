"""Output of the commands: JSON for scripts, tables and fields for people, progress on standard error."""

from __future__ import annotations

import time
from typing import Any

import click

FIELD_NAME_WIDTH = 14


def print_json(data: Any) -> None:
    """Writes one JSON value and a line break to standard output."""
    import orjson

    click.echo(orjson.dumps(data, default=str))


def print_table(rows: list[dict[str, Any]], columns: tuple[str, ...]) -> None:
    """Writes a heading and one aligned line per row; the cell of a key that a row lacks is empty."""
    lines = [columns, *(tuple(format_value(row.get(column, "")) for column in columns) for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        click.echo("  ".join(cells).rstrip())


def print_fields(fields: dict[str, Any], as_json: bool) -> None:
    """Writes one line per field, or all fields as one JSON object."""
    if as_json:
        print_json(fields)
        return
    for name, value in fields.items():
        click.echo(f"{name:{FIELD_NAME_WIDTH}} {format_value(value)}")


def format_value(value: Any) -> str:
    """Returns a value as text; a float has at most six significant digits."""
    return f"{value:.6g}" if isinstance(value, float) else str(value)


def format_unix_ms(unix_ms: float) -> str:
    """Returns the date and time in UTC for a Unix time in ms."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(unix_ms / 1000.0))


class ProgressLine:
    """Writes progress to standard error, as a new line whenever the text has changed.

    Args:
        is_shown: Whether to write anything; False if the command prints JSON.
    """

    def __init__(self, is_shown: bool) -> None:
        self._is_shown = is_shown
        self._last_text = ""

    def show(self, text: str) -> None:
        """Writes the text unless it equals the previous one."""
        if self._is_shown and text != self._last_text:
            click.echo(text, err=True)
            self._last_text = text
