"""`landingshift ledger ...`: the group of commands for operators and accountants of a billing ledger."""

from __future__ import annotations

import click

from landingshift.cli import ledger_accounting as accounting
from landingshift.cli import ledger_operations as operations


@click.group()
def group() -> None:
    """Manage the usage ledger: periods, corrections, statements, export and reconciliation."""


for command in (
    accounting.status,
    accounting.periods,
    accounting.close,
    accounting.correct,
    accounting.resolve,
    accounting.disputed,
    accounting.statement,
    accounting.show,
    accounting.verify,
    operations.export,
    operations.serve,
    operations.merge,
    operations.backup,
    operations.compact,
    operations.catch_up,
    operations.reindex,
):
    group.add_command(command)
