"""What commands write: JSON for pipes, tables and fields for people, progress on standard error."""

from __future__ import annotations

import time
from typing import Any

import click

FIELD_NAME_WIDTH = 14


def print_json(data: Any) -> None:
    """Writes one JSON value to standard output."""
    import orjson

    click.echo(orjson.dumps(data, default=str))


def print_table(rows: list[dict[str, Any]], columns: tuple[str, ...]) -> None:
    """Writes a heading and a line a row; a key that a row lacks stays empty."""
    lines = [columns, *(tuple(format_value(row.get(column, "")) for column in columns) for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        click.echo("  ".join(cells).rstrip())


def print_fields(fields: dict[str, Any], as_json: bool) -> None:
    """Writes a line a field, or all as one JSON object."""
    if as_json:
        print_json(fields)
        return
    for name, value in fields.items():
        click.echo(f"{name:{FIELD_NAME_WIDTH}} {format_value(value)}")


def format_value(value: Any) -> str:
    """Returns a value as people read it: numbers with six digits."""
    return f"{value:.6g}" if isinstance(value, float) else str(value)


def format_unix_ms(unix_ms: float) -> str:
    """Returns date and time in UTC."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(unix_ms / 1000.0))


class ProgressLine:
    """Progress on standard error, a line each time that the text has changed.

    Args:
        is_shown: False where the output is for pipes: nothing is written.
    """

    def __init__(self, is_shown: bool) -> None:
        self._is_shown = is_shown
        self._last_text = ""

    def show(self, text: str) -> None:
        """Writes the text if it is new."""
        if self._is_shown and text != self._last_text:
            click.echo(text, err=True)
            self._last_text = text
