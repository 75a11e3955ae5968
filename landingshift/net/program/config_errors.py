"""What can be wrong with the platform's configuration. Each text begins with the key."""

from __future__ import annotations

from landingshift.errors import LandingshiftError

CONFIG_FILE_VARIABLE = "GW_CONFIG"


class ServerConfigError(LandingshiftError):
    """The configuration can't be used.

    Attributes:
        key: The key, after the keys of the objects around it.
        problem: What is wrong with its value.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class ConfigFileError(ServerConfigError):
    """The file can't be read or is no JSON.

    Attributes:
        path: The file's path.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(CONFIG_FILE_VARIABLE, f"{path}: {problem}")
        self.path = path


class ConfigNotNamedError(ServerConfigError):
    """The environment does not say where the file is."""

    def __init__(self) -> None:
        super().__init__(CONFIG_FILE_VARIABLE, "the environment does not name the configuration file")


class ObjectExpectedError(ServerConfigError):
    """Something else stands where an object is due."""

    def __init__(self, key: str) -> None:
        super().__init__(key or "configuration", "an object is expected")


class MissingKeyError(ServerConfigError):
    """A key without a default is not there."""

    def __init__(self, key: str) -> None:
        super().__init__(key, "missing")


class UnexpectedValueError(ServerConfigError):
    """A value is of another kind.

    Attributes:
        value: As it stands there.
    """

    def __init__(self, key: str, expected: str, value: object) -> None:
        super().__init__(key, f"{expected} is expected, not {value!r}")
        self.value = value


class HexDigitsExpectedError(ServerConfigError):
    """A value that is to be a number in hex digits is none."""

    def __init__(self, key: str, value: str) -> None:
        super().__init__(key, f"hex digits are expected, not {value!r}")


class OutOfRangeError(ServerConfigError):
    """A number is too small or too large."""

    def __init__(self, key: str, value: float, low: float, high: float) -> None:
        super().__init__(key, f"{value} is not from {low:g} to {high:g}")


class RepeatedNameError(ServerConfigError):
    """Two entries of a list have one name: the first would be served as if it were the second."""

    def __init__(self, key: str, name: str) -> None:
        super().__init__(key, f"{name!r} stands there twice")


class ListenError(LandingshiftError):
    """The server can't listen where it is told to.

    Attributes:
        address: Host and port.
    """

    def __init__(self, address: tuple[str, int], problem: str) -> None:
        super().__init__(f"listen: {address[0]}:{address[1]}: {problem}")
        self.address = address
