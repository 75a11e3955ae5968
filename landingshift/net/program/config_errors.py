"""Errors in the server's JSON configuration; each message begins with the key or variable at fault."""

from __future__ import annotations

from landingshift.errors import LandingshiftError

CONFIG_FILE_VARIABLE = "GW_CONFIG"


class ServerConfigError(LandingshiftError):
    """The configuration can't be used.

    Attributes:
        key: The full path of the invalid or missing key; the name of the environment variable if that is at
            fault.
        problem: A description of the problem with the value.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class ConfigFileError(ServerConfigError):
    """The configuration file can't be read or is not valid JSON.

    Attributes:
        path: The file's path.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(CONFIG_FILE_VARIABLE, f"{path}: {problem}")
        self.path = path


class ConfigPathMissingError(ServerConfigError):
    """The environment variable that must contain the path of the configuration file is not set."""

    def __init__(self) -> None:
        super().__init__(CONFIG_FILE_VARIABLE, "this environment variable must name the configuration file")


class ObjectExpectedError(ServerConfigError):
    """A value should be a JSON object and is not."""

    def __init__(self, key: str) -> None:
        super().__init__(key or "configuration", "an object is expected")


class MissingKeyError(ServerConfigError):
    """A required key is missing."""

    def __init__(self, key: str) -> None:
        super().__init__(key, "missing")


class UnexpectedValueError(ServerConfigError):
    """A value has the wrong type or format.

    Attributes:
        value: The invalid value.
    """

    def __init__(self, key: str, expected: str, value: object) -> None:
        super().__init__(key, f"{expected} is expected, not {value!r}")
        self.value = value


class HexDigitsExpectedError(ServerConfigError):
    """A value should be a hexadecimal number and is not."""

    def __init__(self, key: str, value: str) -> None:
        super().__init__(key, f"a hexadecimal number is expected, not {value!r}")


class OutOfRangeError(ServerConfigError):
    """A number is outside of its range."""

    def __init__(self, key: str, value: float, low: float, high: float) -> None:
        super().__init__(key, f"{value} is not between {low:g} and {high:g}")


class DuplicateNameError(ServerConfigError):
    """Two entries of a list have the same name, so the second would replace the first."""

    def __init__(self, key: str, name: str) -> None:
        super().__init__(key, f"the name {name!r} occurs more than once")


class ListenError(LandingshiftError):
    """The server can't listen on the configured address.

    Attributes:
        address: The host and port.
    """

    def __init__(self, address: tuple[str, int], problem: str) -> None:
        super().__init__(f"listen: {address[0]}:{address[1]}: {problem}")
        self.address = address
