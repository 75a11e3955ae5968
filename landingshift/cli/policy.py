"""`landingshift policy ...`: a change that all servers decide by, or none."""

from __future__ import annotations

import getpass
import secrets
import time
from pathlib import Path
from typing import Any

import click

from landingshift.cli.errors import EXIT_FAILED, CommandError
from landingshift.cli.operator_client import OperatorClient, server_options
from landingshift.cli.output import ProgressLine, format_unix_ms, print_fields, print_json, print_table
from landingshift.membership.operator_rpc import OperatorRpcError, call_operator_rpc
from landingshift.policies.document import describe_differences, flatten_policy, parse_policy
from landingshift.policies.errors import InvalidPolicyError
from landingshift.policies.state_machine import MAX_REASON_CHARS

# As the operators' call `policy_known` tells them.
END_COMMITTED = "taken"
END_OPEN = "open"
END_UNKNOWN = "unknown"
FINAL_ENDS = (END_COMMITTED, "refused", "withdrawn")

POLL_INTERVAL_SECONDS = 0.2
FIND_TIMEOUT_SECONDS = 2.0  # that a server may take to find a change that it does not know
MAX_SHOWN_WAITS = 5
MAX_USER_LENGTH = 64
MAX_ID_STEM_LENGTH = 24
ID_RANDOM_BYTES = 4
HISTORY_COLUMNS = ("at", "id", "end", "version", "who", "why", "said")

wait_option = click.option(
    "--wait", type=click.FloatRange(0.0, 86_400.0), default=0.0, help="Seconds, for its end."
)
reason_option = click.option("--why", required=True, help="Kept with the change.")
id_option = click.option(
    "--id", "id_", default="", help="The change's own; asked twice with one, it is done once."
)


class InvalidPolicyFileError(CommandError):
    """A file holds no policy.

    Attributes:
        path: The file.
    """

    def __init__(self, path: str, reason: Exception) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path


class TooManyCommandsError(CommandError):
    """The server has no space for a further change."""

    def __init__(self) -> None:
        super().__init__("too much is under way at this server already")


class AmbiguousVotersError(CommandError):
    """A voter is to be added and another one removed at a time."""

    def __init__(self) -> None:
        super().__init__("one of --add and --remove at a time")


class UntrustworthyServerError(CommandError):
    """The server that is to be trusted does not answer, or decides by no policy.

    Attributes:
        address: As the user gave it.
    """

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f"{address}: {reason}")
        self.address = address


@click.group()
def group() -> None:
    """Changes of policy; exit status 1 where a change was not taken or nobody answers."""


def read_policy(path: str) -> bytes:
    """Returns the policy in a file, encoded. Raises InvalidPolicyFileError."""
    try:
        return parse_policy(Path(path).read_text())
    except (OSError, UnicodeDecodeError, InvalidPolicyError) as err:
        raise InvalidPolicyFileError(path, err) from err


def submit(
    client: OperatorClient, change_id: str, command: list[Any], wait_seconds: float, as_json: bool
) -> None:
    """Has a change brought to the leader, and tells what became of it.

    Ends with `EXIT_FAILED` where it was waited for and not taken.

    Args:
        client: The server that is to bring it.
        change_id: Names the change; asked twice with one, it is done once.
        command: The words of the change.
        wait_seconds: How long to wait for its end; 0 for not at all.
        as_json: For pipes.
    """
    if not client.call("policy_do", [change_id, *command]):
        raise TooManyCommandsError
    if wait_seconds:
        progress = _wait_until_ended(client, change_id, wait_seconds, ProgressLine(is_shown=not as_json))
    else:
        progress = client.call("policy_known", [change_id])
    _print_change(change_id, progress, as_json)
    if wait_seconds and progress["end"] != END_COMMITTED:
        raise SystemExit(EXIT_FAILED)


def _propose(
    client: OperatorClient, change_id: str, policy: bytes, why: str, wait_seconds: float, as_json: bool
) -> None:
    command = ["propose", policy, _user(), why[:MAX_REASON_CHARS]]
    submit(client, change_id, command, wait_seconds, as_json)


def _wait_until_ended(
    client: OperatorClient, change_id: str, wait_seconds: float, line: ProgressLine
) -> dict[str, Any]:
    deadline = time.monotonic() + wait_seconds
    while True:
        progress: dict[str, Any] = client.call("policy_known", [change_id])
        if progress["end"] in FINAL_ENDS or time.monotonic() > deadline:
            return progress
        line.show(f"{change_id}: {describe_progress(progress)}")
        if progress["end"] != END_UNKNOWN:
            client.call("policy_do", [change_id, "find"])
        time.sleep(POLL_INTERVAL_SECONDS)


def describe_progress(progress: dict[str, Any]) -> str:
    """Returns what has become of a change, in a line."""
    if progress["end"] == END_OPEN:
        return _describe_waits(progress["waits"])
    if progress["end"] != END_COMMITTED:
        return f"{progress['end']}: {progress['said']}"
    if progress["version"]:
        return f"taken, version {progress['version']}"
    return f"done: {progress['said']}"


def _describe_waits(waits: list[tuple[str, str]]) -> str:
    if not waits:
        return "under way"
    texts = [f"{name} ({stage or 'no text yet'})" for name, stage in waits]
    hidden_count = len(texts) - MAX_SHOWN_WAITS
    more = f" and {hidden_count} more" if hidden_count > 0 else ""
    return f"under way, waits for {', '.join(texts[:MAX_SHOWN_WAITS])}{more}"


def _print_change(change_id: str, progress: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print_json(progress)
    else:
        click.echo(f"{change_id}: {describe_progress(progress)}")


def _user() -> str:
    return getpass.getuser()[:MAX_USER_LENGTH]


def _random_suffix() -> str:
    return secrets.token_hex(ID_RANDOM_BYTES)


@group.command()
@click.argument("file", type=click.Path(dir_okay=False))
@server_options
@reason_option
@id_option
@wait_option
def propose(file: str, client: OperatorClient, as_json: bool, why: str, id_: str, wait: float) -> None:
    """Has all servers decide by FILE, or none."""
    policy = read_policy(file)
    change_id = id_ or f"{Path(file).stem[:MAX_ID_STEM_LENGTH]}-{_random_suffix()}"
    _propose(client, change_id, policy, why, wait, as_json)


@group.command()
@click.argument("version", type=click.IntRange(0))
@server_options
@reason_option
@id_option
@wait_option
def back(version: int, client: OperatorClient, as_json: bool, why: str, id_: str, wait: float) -> None:
    """A new version that says what VERSION said."""
    policy = client.call_leader("policy_text", [version])
    change_id = id_ or f"back-{version}-{_random_suffix()}"
    _propose(client, change_id, policy, why, wait, as_json)


@group.command()
@click.argument("id_", metavar="ID")
@server_options
@reason_option
@wait_option
def withdraw(id_: str, client: OperatorClient, as_json: bool, why: str, wait: float) -> None:
    """Ends a change that has not been taken yet; one that nobody proposed can't be proposed any more."""
    submit(client, id_, ["withdraw", _user(), why[:MAX_REASON_CHARS]], wait, as_json)


@group.command()
@click.argument("name")
@server_options
@wait_option
def gone(name: str, client: OperatorClient, as_json: bool, wait: float) -> None:
    """Your word that NAME's process has ended: changes wait for it no more. False, it breaks all or none."""
    submit(client, f"gone {name} {_random_suffix()}", ["gone", name], wait, as_json)


@group.command()
@server_options
@click.option("--like", required=True, help="IPv4 address:port of a server that decides.")
def trust(client: OperatorClient, as_json: bool, like: str) -> None:
    """Your word that what the server at --like decides by is in force: no leader is left to say so."""
    version, policy = _policy_in_force(like)
    client.call("policy_trust", [version, policy])
    if as_json:
        print_json({"version": version})
    else:
        click.echo(f"it decides by version {version} now")


def _policy_in_force(address_text: str) -> tuple[int, bytes]:
    """Returns version and text of the policy that a server decides by."""
    address = OperatorClient(address_text).address()
    try:
        status = call_operator_rpc(address, "policy_status", [])
        if not status["decides"]:
            reason = f"it does not decide itself: {status['why_not']}"
            raise UntrustworthyServerError(address_text, reason)
        policy: bytes = call_operator_rpc(address, "policy_text", [status["version"]])
    except OperatorRpcError as err:
        raise UntrustworthyServerError(address_text, str(err)) from err
    return status["version"], policy


@group.command()
@server_options
@click.option("--add", default="", help="A server that has a journal.")
@click.option("--remove", default="", help="One that is gone for good; add another first.")
@wait_option
def voters(client: OperatorClient, as_json: bool, add: str, remove: str, wait: float) -> None:
    """Who agrees; one at a time is added or removed."""
    if not add and not remove:
        status = client.call("policy_status")
        print_fields({"voters": ", ".join(status["voters"]), "leader": status["leader"]}, as_json)
    elif add and remove:
        raise AmbiguousVotersError
    else:
        name = add or remove
        command = ["voters", "add" if add else "remove", name]
        submit(client, f"voters {name} {_random_suffix()}", command, wait, as_json)


@group.command()
@click.argument("id_", metavar="ID", required=False)
@server_options
def status(id_: str | None, client: OperatorClient, as_json: bool) -> None:
    """By what a server decides; with ID, what became of a change."""
    if id_ is None:
        print_fields(client.call("policy_status"), as_json)
        return
    client.call("policy_do", [id_, "find"])
    deadline = time.monotonic() + FIND_TIMEOUT_SECONDS
    while True:
        progress = client.call("policy_known", [id_])
        if progress["end"] != END_UNKNOWN or time.monotonic() > deadline:
            break
        time.sleep(POLL_INTERVAL_SECONDS)
    _print_change(id_, progress, as_json)


@group.command()
@server_options
def history(client: OperatorClient, as_json: bool) -> None:
    """All changes that the voters keep, the newest last."""
    rows = client.call_leader("policy_history", [])
    if as_json:
        print_json(rows)
        return
    for row in rows:
        row["at"] = format_unix_ms(row["at"])
    print_table(rows, HISTORY_COLUMNS)


@group.command(name="show")
@click.argument("version", type=click.IntRange(0))
@server_options
def show_version(version: int, client: OperatorClient, as_json: bool) -> None:
    """What VERSION says, beside the settings of each start."""
    figures = flatten_policy(client.call_leader("policy_text", [version]))
    if as_json:
        print_json(figures)
        return
    for key, value in sorted(figures.items()):
        click.echo(f"{key} = {value:g}")


@group.command()
@click.argument("old", type=click.IntRange(0))
@click.argument("new", type=click.IntRange(0))
@server_options
def diff(old: int, new: int, client: OperatorClient, as_json: bool) -> None:
    """A line a key that two versions say otherwise; "-" is as in the settings of the start."""
    old_policy = client.call_leader("policy_text", [old])
    new_policy = client.call_leader("policy_text", [new])
    lines = describe_differences(old_policy, new_policy, _format_figure)
    if as_json:
        print_json(lines)
        return
    for line in lines:
        click.echo(line)


def _format_figure(value: float | None) -> str:
    return "-" if value is None else f"{value:g}"


@group.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
def check(files: tuple[str, ...]) -> None:
    """Says what no build could read in FILES; names of methods are checked by the servers."""
    for path in files:
        click.echo(f"{path}: ok: {len(flatten_policy(read_policy(path)))} figures")
