"""Exit statuses of the commands, and the error that ends one with a line on standard error."""

from __future__ import annotations

import click

EXIT_FAILED = 1
"""A promise was found broken, a server does not answer, or something was not done."""
EXIT_USAGE = 2
"""The command or the settings are wrong."""


class CommandError(click.ClickException):
    """What the user is told in one line; the command ends with `EXIT_USAGE`."""

    exit_code = EXIT_USAGE
