"""Exit statuses of the commands, and the base class of errors that end a command with a message."""

from __future__ import annotations

import click

EXIT_FAILED = 1
"""A check failed, a server did not answer, or the requested action was not completed."""
EXIT_USAGE = 2
"""The command line or the settings are invalid, or the action was rejected."""


class CommandError(click.ClickException):
    """Ends the command with `EXIT_USAGE` after printing the error's message to standard error."""

    exit_code = EXIT_USAGE
