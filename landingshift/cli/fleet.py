"""`landingshift fleet ...`: what any one server knows of the fleet."""

from __future__ import annotations

import click

from landingshift.cli.operator_client import OperatorClient, server_options
from landingshift.cli.output import print_fields, print_json, print_table
from landingshift.membership.messages import DEPARTED_STATES

DEPARTED_STATE_NAMES = tuple(state.name.lower() for state in DEPARTED_STATES)
MEMBER_COLUMNS = ("name", "address", "zone", "state", "for_ms")
HIDDEN_MEMBER_KEYS = {"run", "incarnation"}
LEASE_COLUMNS = ("name", "calls_s")


@click.group()
def group() -> None:
    """Who is there, as one server sees it; exit status 1 where it does not answer."""


@group.command()
@server_options
def status(client: OperatorClient, as_json: bool) -> None:
    """How many are there, and how well this one hears."""
    print_fields(client.call("status"), as_json)


@group.command()
@server_options
@click.option("--gone", is_flag=True, help="Those that are dead or left, too.")
def members(client: OperatorClient, as_json: bool, gone: bool) -> None:
    """One line a server."""
    rows = [row for row in client.call("members") if gone or row["state"] not in DEPARTED_STATE_NAMES]
    if as_json:
        print_json(rows)
        return
    keys = {key for row in rows for key in row}
    metadata_columns = sorted(keys - set(MEMBER_COLUMNS) - HIDDEN_MEMBER_KEYS)
    print_table(rows, (*MEMBER_COLUMNS, *metadata_columns))


@group.command()
@server_options
def shares(client: OperatorClient, as_json: bool) -> None:
    """How far this one is on its way to warm, and what it may use of the store."""
    print_fields(client.call("coldstart"), as_json)


@group.command()
@server_options
def lent(client: OperatorClient, as_json: bool) -> None:
    """What a lender has lent, and to whom."""
    report = client.call("lent")
    if as_json:
        print_json(report)
        return
    leases = report.pop("shares")
    print_fields(report, as_json=False)
    if leases:
        rows = [{"name": name, "calls_s": amount} for name, amount in sorted(leases.items())]
        print_table(rows, LEASE_COLUMNS)
