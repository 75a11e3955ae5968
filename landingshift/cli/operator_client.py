"""Operator calls to one server or to the consensus leader, and the options that select the server."""

from __future__ import annotations

import os
from collections.abc import Callable
from functools import wraps
from typing import Any

import click

from landingshift.cli.errors import EXIT_FAILED, CommandError
from landingshift.membership.messages import Address
from landingshift.membership.operator_rpc import OperatorRpcError, call_operator_rpc
from landingshift.membership.settings import Settings, parse_address
from landingshift.net.program import features

TABLE_NAME = "fleet"


class ServerNotNamedError(CommandError):
    """Neither an option nor the environment names the server to call."""

    def __init__(self) -> None:
        super().__init__(
            "no server given: use --at with its address, or name a file with [fleet] by --toml or "
            f"{features.SETTINGS_FILE_VARIABLE}"
        )


class MissingTableError(CommandError):
    """The settings file lacks the table `[fleet]`, which has the server's address.

    Attributes:
        path: Path of the settings file.
    """

    def __init__(self, path: str) -> None:
        super().__init__(f"{path}: there is no table [{TABLE_NAME}]")
        self.path = path


class OperatorClient:
    """Client for the operator calls of one server. The server's address is determined at each call.

    Args:
        address_text: IPv4 address:port of the server; None to read the address from the settings file.
        settings_path: Path of the file with `[fleet]`; None for the file that the environment names.
    """

    def __init__(self, address_text: str | None, settings_path: str | None = None) -> None:
        self._address_text = address_text
        self._settings_path = settings_path

    def call(self, call_name: str, params: list[Any] | None = None) -> Any:
        """Calls the server and returns its answer.

        If there is no answer, or the answer is an error, prints the reason and exits with `EXIT_FAILED`.
        """
        return _call(self.address(), call_name, params)

    def call_leader(self, call_name: str, params: list[Any] | None = None) -> Any:
        """Like `call`, but calls the consensus leader that the server names; without one, the server."""
        status = self.call("policy_status")
        leader_address = status["leader_at"]
        address = parse_address("leader", leader_address) if leader_address else self.address()
        return _call(address, call_name, params)

    def address(self) -> Address:
        """Returns the server's address, from the constructor's argument or else from the settings file.

        Raises:
            CommandError: The address is invalid, or neither source has one.
        """
        if self._address_text:
            try:
                return parse_address("--at", self._address_text)
            except ValueError as err:
                raise CommandError(str(err)) from err
        path = self._settings_path or os.environ.get(features.SETTINGS_FILE_VARIABLE)
        if not path:
            raise ServerNotNamedError
        settings = _load_fleet_settings(path)
        if settings is None:
            raise MissingTableError(path)
        return parse_address("listen", settings.listen_address)


def _call(address: Address, call_name: str, params: list[Any] | None) -> Any:
    try:
        return call_operator_rpc(address, call_name, params or [])
    except OperatorRpcError as err:
        click.echo(f"landingshift: {address[0]}:{address[1]}: {err}", err=True)
        raise SystemExit(EXIT_FAILED) from err


def _load_fleet_settings(path: str) -> Settings | None:
    try:
        loaded_features = features.load_features(path, include_disabled=True)
    except features.FeatureConfigError as err:
        raise CommandError(str(err)) from err
    for feature in loaded_features:
        if feature.table == TABLE_NAME and isinstance(feature.settings, Settings):
            return feature.settings
    return None


def server_options(command: Callable[..., None]) -> Callable[..., None]:
    """Adds the options `--at`, `--toml` and `--json` to a command that calls a server.

    The command receives an `OperatorClient` as `client`, and whether to print JSON as `as_json`.
    """

    @wraps(command)
    def call_with_client(at: str | None, toml: str | None, **options: Any) -> None:
        """Calls the command with a client in place of the options `at` and `toml`."""
        command(client=OperatorClient(at, toml), **options)

    at_option = click.option(
        "--at", help="IPv4 address:port of the server to call: the listen address in its [fleet] table."
    )
    toml_option = click.option(
        "--toml",
        type=click.Path(dir_okay=False),
        help="Settings file with [fleet], used without --at. Default: the file that LANDINGSHIFT_TOML names.",
    )
    json_option = click.option("--json", "as_json", is_flag=True, help="Print one JSON value.")
    return at_option(toml_option(json_option(call_with_client)))
