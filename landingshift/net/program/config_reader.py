"""Takes values out of nested JSON and says by key what is wrong with them."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Any

from landingshift.net.program.config_errors import (
    HexDigitsExpectedError,
    MissingKeyError,
    ObjectExpectedError,
    OutOfRangeError,
    RepeatedNameError,
    UnexpectedValueError,
)
from landingshift.net.transport.stream import Address

REQUIRED: Any = object()  # stands for a default where there is none
MAX_PORT = 65535


class ConfigReader:
    """One object of the JSON.

    All methods raise a `ServerConfigError` for a value that can't be used. A key whose value is null counts
    as one that is not there, here as in the settings.

    Args:
        data: The object.
        path: Keys that lead to it; empty at the top.
    """

    def __init__(self, data: Any, path: str = "") -> None:
        if not isinstance(data, dict):
            raise ObjectExpectedError(path)
        self.data = data
        self.path = path

    def full_key(self, key: str) -> str:
        """The key with those of the objects around it."""
        return f"{self.path}.{key}" if self.path else key

    def value(self, key: str, kinds: Any, expected: str, default: Any) -> Any:
        """The value of a key.

        Args:
            key: The key in this object.
            kinds: Types that it may have.
            expected: The name of these types in an error.
            default: The value where the key is missing; `REQUIRED` makes that an error.
        """
        value = self.data.get(key)
        if value is None:
            value = default
        if value is REQUIRED:
            raise MissingKeyError(self.full_key(key))
        if not isinstance(value, kinds) or isinstance(value, bool):
            raise UnexpectedValueError(self.full_key(key), expected, value)
        return value

    def inner(self, key: str, default: Any = REQUIRED) -> ConfigReader:
        """The object of a key."""
        return ConfigReader(self.value(key, dict, "an object", default), self.full_key(key))

    def text(self, key: str, default: Any = REQUIRED) -> str:
        """A text that is not empty."""
        value: str = self.value(key, str, "a text", default)
        if not value:
            raise UnexpectedValueError(self.full_key(key), "a text", value)
        return value

    def token(self, key: str, default: Any = REQUIRED) -> str:
        """A text that may be a token of a line."""
        value = self.text(key, default)
        if not value.isprintable() or " " in value:
            raise UnexpectedValueError(self.full_key(key), "a word", value)
        return value

    def number(self, key: str, low: float, high: float, default: Any = REQUIRED) -> float:
        """A number from `low` to `high`, both included."""
        value = self.value(key, int | float, "a number", default)
        if not low <= value <= high:
            raise OutOfRangeError(self.full_key(key), value, low, high)
        return float(value)

    def hex_number(self, key: str) -> int:
        """A whole number in hex digits."""
        value = self.token(key)
        try:
            return int(value, 16)
        except ValueError as err:
            raise HexDigitsExpectedError(self.full_key(key), value) from err

    def address(self, key: str, default: Any = REQUIRED) -> Address:
        """An IPv4 address and a port.

        Names are not looked up: that would hold up the one loop, and there may be nobody to ask.
        """
        value = self.token(key, default)
        host, _, port = value.rpartition(":")
        try:
            address = str(IPv4Address(host)), int(port)
        except ValueError as err:
            raise UnexpectedValueError(self.full_key(key), "an IPv4 address:port", value) from err
        if not 0 <= address[1] <= MAX_PORT:
            raise UnexpectedValueError(self.full_key(key), "an IPv4 address:port", value)
        return address

    def entries(self, key: str) -> list[ConfigReader]:
        """The objects of a list; none where the key is not there."""
        values = self.value(key, list, "a list", [])
        return [ConfigReader(value, f"{self.full_key(key)}[{i}]") for i, value in enumerate(values)]

    def check_unique(self, key: str, names: list[str]) -> list[str]:
        """The names of the entries of a list, of which no two may be the same."""
        for i, name in enumerate(names):
            if name in names[:i]:
                raise RepeatedNameError(f"{self.full_key(key)}[{i}].name", name)
        return names
