"""Calls of operators to one server or to the leader that it knows, and the options that name the server."""

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
    """Neither an option nor the environment says which server is meant."""

    def __init__(self) -> None:
        super().__init__(
            f"--at is to name a server, or --toml or {features.SETTINGS_FILE_VARIABLE} the file with [fleet]"
        )


class MissingTableError(CommandError):
    """The settings lack the table that names the server's address.

    Attributes:
        path: The settings file.
    """

    def __init__(self, path: str) -> None:
        super().__init__(f"{path}: there is no table [{TABLE_NAME}]")
        self.path = path


class OperatorClient:
    """The server that a command asks; its address is looked up at the first call.

    Args:
        address_text: IPv4 address:port; None for the address in the settings.
        settings_path: The file with [fleet]; None for the one that the environment names.
    """

    def __init__(self, address_text: str | None, settings_path: str | None = None) -> None:
        self._address_text = address_text
        self._settings_path = settings_path

    def call(self, call_name: str, params: list[Any] | None = None) -> Any:
        """Returns the server's answer; ends the command with `EXIT_FAILED` where there is none."""
        return _call(self.address(), call_name, params)

    def call_leader(self, call_name: str, params: list[Any] | None = None) -> Any:
        """As `call`, to the consensus leader that the server knows, else to the server itself."""
        status = self.call("policy_status")
        leader_address = status["leader_at"]
        address = parse_address("leader", leader_address) if leader_address else self.address()
        return _call(address, call_name, params)

    def address(self) -> Address:
        """Returns the address that is named, or that of the table [fleet]. Raises CommandError."""
        if self._address_text:
            try:
                return parse_address("--at", self._address_text)
            except ValueError as err:
                raise CommandError(str(err)) from err
        path = self._settings_path or os.environ.get(features.SETTINGS_FILE_VARIABLE)
        if not path:
            raise ServerNotNamedError
        settings = _fleet_settings(path)
        if settings is None:
            raise MissingTableError(path)
        return parse_address("listen", settings.listen_address)


def _call(address: Address, call_name: str, params: list[Any] | None) -> Any:
    try:
        return call_operator_rpc(address, call_name, params or [])
    except OperatorRpcError as err:
        click.echo(f"landingshift: {address[0]}:{address[1]}: {err}", err=True)
        raise SystemExit(EXIT_FAILED) from err


def _fleet_settings(path: str) -> Settings | None:
    try:
        found = features.load_features(path, include_disabled=True)
    except features.FeatureConfigError as err:
        raise CommandError(str(err)) from err
    for feature in found:
        if feature.table == TABLE_NAME and isinstance(feature.settings, Settings):
            return feature.settings
    return None


def server_options(command: Callable[..., None]) -> Callable[..., None]:
    """Adds the options of all commands that ask a server; they get `client` and `as_json`."""

    @wraps(command)
    def run(at: str | None, toml: str | None, **options: Any) -> None:
        """Calls the command with a client in place of the two options."""
        command(client=OperatorClient(at, toml), **options)

    at_option = click.option("--at", help="IPv4 address:port of a server's [fleet] listen.")
    toml_option = click.option("--toml", type=click.Path(dir_okay=False), help="The file with [fleet].")
    json_option = click.option("--json", "as_json", is_flag=True, help="One JSON value, for pipes.")
    return at_option(toml_option(json_option(run)))
