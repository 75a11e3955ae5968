"""`landingshift fleet ...`: shows one server's view of members, cold start and call quotas."""

from __future__ import annotations

import click

from landingshift.cli.operator_client import OperatorClient, server_options
from landingshift.cli.output import print_fields, print_json, print_table
from landingshift.membership.messages import DEPARTED_STATES

DEPARTED_STATE_NAMES = tuple(state.name.lower() for state in DEPARTED_STATES)
MEMBER_COLUMNS = ("name", "address", "zone", "state", "for_ms")
JSON_ONLY_MEMBER_KEYS = {"run", "incarnation"}
LEASE_COLUMNS = ("name", "calls_s")


@click.group()
def group() -> None:
    """Show the fleet as one server sees it. Exits with status 1 if that server does not answer."""


@group.command()
@server_options
def status(client: OperatorClient, as_json: bool) -> None:
    """Show the number of members by state, the server's health score and its datagram counts."""
    print_fields(client.call("status"), as_json)


@group.command()
@server_options
@click.option("--gone", is_flag=True, help="Also list members that are dead or have left.")
def members(client: OperatorClient, as_json: bool, gone: bool) -> None:
    """List the members of the fleet, one per line."""
    rows = [row for row in client.call("members") if gone or row["state"] not in DEPARTED_STATE_NAMES]
    if as_json:
        print_json(rows)
        return
    keys = {key for row in rows for key in row}
    metadata_columns = sorted(keys - set(MEMBER_COLUMNS) - JSON_ONLY_MEMBER_KEYS)
    print_table(rows, (*MEMBER_COLUMNS, *metadata_columns))


@group.command()
@server_options
def shares(client: OperatorClient, as_json: bool) -> None:
    """Show the server's cold start stage and its quota of database calls."""
    print_fields(client.call("coldstart"), as_json)


@group.command()
@server_options
def lent(client: OperatorClient, as_json: bool) -> None:
    """Show the database call quotas and start permits that a grantor has granted, and to which servers."""
    report = client.call("lent")
    if as_json:
        print_json(report)
        return
    leases = report.pop("shares")
    print_fields(report, as_json=False)
    if leases:
        rows = [{"name": name, "calls_s": amount} for name, amount in sorted(leases.items())]
        print_table(rows, LEASE_COLUMNS)
