"""Reads typed values from nested JSON and reports errors with the full path of the key."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Any

from landingshift.net.program.config_errors import (
    DuplicateNameError,
    HexDigitsExpectedError,
    MissingKeyError,
    ObjectExpectedError,
    OutOfRangeError,
    UnexpectedValueError,
)
from landingshift.net.transport.stream import Address

REQUIRED: Any = object()  # as a default, it makes a missing key an error
MAX_PORT = 65535


class ConfigReader:
    """Reads values from one JSON object.

    All methods raise a `ServerConfigError` for an invalid value. A key whose value is null counts as missing,
    as in `landingshift.settings`.

    Args:
        data: The JSON object.
        path: The keys from the configuration's root to this object, joined by dots; empty for the root.
    """

    def __init__(self, data: Any, path: str = "") -> None:
        if not isinstance(data, dict):
            raise ObjectExpectedError(path)
        self.data = data
        self.path = path

    def key_path(self, key: str) -> str:
        """Returns the full path of a key of this object."""
        return f"{self.path}.{key}" if self.path else key

    def value(self, key: str, types: Any, expected: str, default: Any) -> Any:
        """Checks the type of the value at `key` and returns the value.

        Args:
            key: The key in this object.
            types: The accepted types, as for `isinstance`; booleans are never accepted.
            expected: The description of these types in error messages.
            default: The value if the key is missing; `REQUIRED` makes a missing key an error.
        """
        value = self.data.get(key)
        if value is None:
            value = default
        if value is REQUIRED:
            raise MissingKeyError(self.key_path(key))
        if not isinstance(value, types) or isinstance(value, bool):
            raise UnexpectedValueError(self.key_path(key), expected, value)
        return value

    def nested(self, key: str, default: Any = REQUIRED) -> ConfigReader:
        """Returns a reader for the JSON object at `key`."""
        return ConfigReader(self.value(key, dict, "an object", default), self.key_path(key))

    def text(self, key: str, default: Any = REQUIRED) -> str:
        """Returns the string at `key`, which must not be empty."""
        value: str = self.value(key, str, "a string", default)
        if not value:
            raise UnexpectedValueError(self.key_path(key), "a non-empty string", value)
        return value

    def token(self, key: str, default: Any = REQUIRED) -> str:
        """Returns the string at `key`, which must be a valid token of a line protocol.

        Such a token is not empty, is printable and contains no spaces.
        """
        value = self.text(key, default)
        if not value.isprintable() or " " in value:
            raise UnexpectedValueError(
                self.key_path(key), "a string of printable characters without spaces", value
            )
        return value

    def number(self, key: str, low: float, high: float, default: Any = REQUIRED) -> float:
        """Returns the number at `key`, which must be from `low` to `high`, both included."""
        value = self.value(key, int | float, "a number", default)
        if not low <= value <= high:
            raise OutOfRangeError(self.key_path(key), value, low, high)
        return float(value)

    def hex_number(self, key: str) -> int:
        """Returns the integer at `key`, which must be a string of hexadecimal digits."""
        value = self.token(key)
        try:
            return int(value, 16)
        except ValueError as err:
            raise HexDigitsExpectedError(self.key_path(key), value) from err

    def address(self, key: str, default: Any = REQUIRED) -> Address:
        """Returns the IPv4 address and the port at `key`, written as `address:port`.

        Host names are not accepted: a DNS lookup would block the event loop, and might find no DNS server.
        """
        value = self.token(key, default)
        host, _, port = value.rpartition(":")
        try:
            address = str(IPv4Address(host)), int(port)
        except ValueError as err:
            raise UnexpectedValueError(self.key_path(key), "an IPv4 address:port", value) from err
        if not 0 <= address[1] <= MAX_PORT:
            raise UnexpectedValueError(self.key_path(key), "an IPv4 address:port", value)
        return address

    def entries(self, key: str) -> list[ConfigReader]:
        """Returns readers for the JSON objects in the list at `key`; an empty list if the key is missing."""
        values = self.value(key, list, "a list", [])
        return [ConfigReader(value, f"{self.key_path(key)}[{i}]") for i, value in enumerate(values)]

    def check_unique(self, key: str, names: list[str]) -> list[str]:
        """Returns `names`, the names of the entries in the list at `key`, after checking that all differ.

        Raises:
            DuplicateNameError: A name occurs more than once.
        """
        for i, name in enumerate(names):
            if name in names[:i]:
                raise DuplicateNameError(f"{self.key_path(key)}[{i}].name", name)
        return names
