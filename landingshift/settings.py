"""Decodes and validates the settings of a server, from a simulator message or the configuration file.

The keys are part of the external interface and appear only in this module; `Settings` uses internal names.
Each error message contains the key, the problem and the invalid value, if there is one.
"""

from __future__ import annotations

from typing import Any, TypeVar

from landingshift.admission.interface import (
    DownstreamKind,
    Idempotency,
    LoadAdvertisement,
    Method,
    RunCancellation,
    Settings,
    Tenant,
)
from landingshift.errors import LandingshiftError

T = TypeVar("T")
REQUIRED = object()
"""Default value that marks a key as required."""
MAX_NUMBER = 1e15
NONE_WORD = "silent"
"""Keyword by which several settings state that a feature is not available."""
IDEMPOTENCY = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
DOWNSTREAM = {
    NONE_WORD: DownstreamKind.NONE,
    "shared": DownstreamKind.SHARED_STORE,
    "tier": DownstreamKind.TIER,
}
LOAD_ADVERTISEMENT = {
    NONE_WORD: LoadAdvertisement.NONE,
    "level": LoadAdvertisement.LEVEL,
    "credit": LoadAdvertisement.CREDIT,
    "weight": LoadAdvertisement.WEIGHT,
}
RUN_CANCELLATION = {
    NONE_WORD: RunCancellation.NONE,
    "drop": RunCancellation.DROP,
    "pause": RunCancellation.PAUSE,
}


class SettingsError(LandingshiftError, ValueError):
    """A setting is missing or invalid, so the server cannot start. The message begins with the key."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key


class MissingSettingError(SettingsError):
    """A required key is missing or null."""

    def __init__(self, key: str) -> None:
        super().__init__(key, "missing")


class InvalidSettingError(SettingsError):
    """A key has a value of the wrong type or out of range."""

    def __init__(self, key: str, expected: str, value: Any) -> None:
        super().__init__(key, f"{expected} is expected, not {value!r}")
        self.value = value


class SettingsTable:
    """Reads validated values from one JSON object of the settings.

    Errors contain the path of the key from the top of the configuration.
    """

    def __init__(self, data: Any, path: str) -> None:
        """Wraps a decoded JSON object.

        Args:
            data: Decoded JSON value, which must be an object.
            path: Path of the object from the top of the configuration; empty at the top.

        Raises:
            InvalidSettingError: `data` is not an object.
        """
        if not isinstance(data, dict):
            raise InvalidSettingError(path, "an object", data)
        self._data = data
        self._path = path

    def path_of(self, key: str) -> str:
        """Returns the path of a key from the top of the configuration."""
        return f"{self._path}.{key}" if self._path else key

    def value(self, key: str, default: Any) -> Any:
        """Returns the value of a key, or `default` if the key is missing or null.

        Raises:
            MissingSettingError: The key is missing or null, and `default` is `REQUIRED`.
        """
        value = self._data.get(key)
        if value is not None:
            return value
        if default is REQUIRED:
            raise MissingSettingError(self.path_of(key))
        return default

    def number(self, key: str, default: Any = REQUIRED) -> float:
        """Returns the number at `key`, or `default` if the key is missing or null.

        Raises:
            MissingSettingError: The key is missing or null, and `default` is `REQUIRED`.
            InvalidSettingError: The value is not a number of 0 or more.
        """
        return validated_number(self.path_of(key), self.value(key, default))

    def choice(self, key: str, values: dict[str, T], default: Any = REQUIRED) -> T:
        """Returns the entry of `values` for the keyword at `key`.

        Args:
            key: Key of the setting.
            values: Maps each valid keyword to the value of the setting.
            default: Keyword to use if the key is missing or null.

        Raises:
            MissingSettingError: The key is missing or null, and `default` is `REQUIRED`.
            InvalidSettingError: The keyword is not in `values`.
        """
        word = self.value(key, default)
        if not isinstance(word, str) or word not in values:
            raise InvalidSettingError(self.path_of(key), f"one of {', '.join(values)}", word)
        return values[word]

    def entries(self, key: str) -> list[Any]:
        """Returns the JSON list at `key`, or an empty list if the key is missing or null.

        Raises:
            InvalidSettingError: The value is not a list.
        """
        values = self.value(key, [])
        if not isinstance(values, list):
            raise InvalidSettingError(self.path_of(key), "a list", values)
        return values

    def entry(self, key: str, index: int) -> Any:
        """Returns the entry at `index` of the JSON list at `key`; None if the list is shorter or missing."""
        values = self.entries(key)
        return values[index] if index < len(values) else None

    def tables(self, key: str) -> list[SettingsTable]:
        """Returns the JSON objects of the list at `key`; empty if the key is missing or null.

        Raises:
            InvalidSettingError: The value is not a list of objects.
        """
        path = self.path_of(key)
        return [SettingsTable(value, f"{path}[{index}]") for index, value in enumerate(self.entries(key))]

    def table(self, key: str, default: Any = REQUIRED) -> SettingsTable:
        """Returns a `SettingsTable` of the JSON object at `key`.

        If the key is missing or null, the returned table contains the settings in `default`.

        Raises:
            MissingSettingError: The key is missing or null, and `default` is `REQUIRED`.
            InvalidSettingError: The value is not an object.
        """
        return SettingsTable(self.value(key, default), self.path_of(key))


def validated_number(key: str, value: Any) -> float:
    """Returns the value unchanged if it is a number of 0 or more and below `MAX_NUMBER`.

    Args:
        key: Path of the value for the error message.
        value: Decoded JSON value.

    Raises:
        InvalidSettingError: The value is anything else.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < MAX_NUMBER:
        raise InvalidSettingError(key, "a number of 0 or more", value)
    return value


def decode_settings(data: Any, path: str = "") -> Settings:
    """Decodes the settings of a server.

    Args:
        data: Decoded JSON value.
        path: Path of the value from the top of the configuration; empty at the top.

    Raises:
        SettingsError: A setting is missing or invalid.
    """
    top = SettingsTable(data, path)
    extra, rules, permissions = top.table("extra"), top.table("rules"), top.table("permissions", {})
    methods = _decode_methods(top, extra, f"{path}.extra.class-skip-worth")
    core_count = _decode_core_count(extra)
    return Settings(
        methods=methods,
        tenants=[Tenant(tenant.number("allowance-per-s", 0.0)) for tenant in top.tables("orgs")],
        over_quota_value_fraction=top.number("over-share-worth", 1.0),
        criticality_is_per_work=top.value("worth-by", None) == "work",
        server_count=max(1, int(top.number("peers-total", 1))),
        caller_count=int(extra.number("callers", 0.0)),
        core_count=core_count,
        starts_cold=bool(extra.value("cold", False)),
        cold_speed_fraction=rules.number("cold-from"),
        warm_up_ms=rules.number("cold"),
        memory_kb=extra.number("memory-kb"),
        running_memory_factor=extra.number("run-factor"),
        dedup_entry_kb=extra.number("key-kb", 0.0),
        response_cache_ttl_ms=extra.number("share-for", 0.0),
        run_cancellation=extra.choice("halt", RUN_CANCELLATION, NONE_WORD),
        downstream=extra.choice("depends-on", DOWNSTREAM, NONE_WORD),
        downstream_concurrency_quota=extra.number("calls-out", 0.0),
        downstream_quota_window_ms=extra.number("calls-over", 0.0),
        lost_call_linger_ms=extra.number("linger", 0.0),
        load_advertisement=extra.choice("say", LOAD_ADVERTISEMENT, NONE_WORD),
        callers_send_deadline=bool(extra.value("passes-deadline", False)),
        callers_mark_retries=bool(top.table("clients", {}).value("marks-retry", False)),
        connection_idle_timeout_ms=extra.number("caller-idle", 0.0),
        max_retry_after_ms=_max_retry_after_ms(permissions),
        drain_grace_ms=rules.number("drain-grace"),
        max_runs_per_core=rules.number("tip-multiple"),
    )


def _decode_methods(top: SettingsTable, extra: SettingsTable, skip_key: str) -> list[Method]:
    methods = [
        _decode_method(method, extra, skip_key, index) for index, method in enumerate(top.tables("classes"))
    ]
    if not methods:
        raise SettingsError(top.path_of("classes"), "at least one is expected")
    return methods


def _decode_core_count(extra: SettingsTable) -> int:
    core_count = extra.number("n-cores")
    if core_count < 1:
        raise InvalidSettingError(extra.path_of("n-cores"), "1 or more", core_count)
    return int(core_count)


def _decode_method(method: SettingsTable, extra: SettingsTable, skip_key: str, index: int) -> Method:
    """Decodes one method. Two settings of a method are stored in separate lists, at the index of the method.

    Args:
        method: Object of the method.
        extra: Object that contains the lists `class-calls` and `class-skip-worth`.
        skip_key: Path of the list `class-skip-worth`, for error messages.
        index: Index of the method.
    """
    return Method(
        idempotency=method.choice("effect", IDEMPOTENCY),
        latency_objective_ms=method.number("slo"),
        objective_work_factor=method.number("aim-stretch", 0.0),
        deadline_ms=method.number("give-up"),
        criticality=method.number("value"),
        late_value_fraction=method.number("late-share", 0.0),
        dedup_window_ms=method.number("repeat-window", 0.0),
        calls_downstream=bool(extra.entry("class-calls", index)),
        degraded_value_fraction=validated_number(skip_key, extra.entry("class-skip-worth", index) or 0.0),
    )


def _max_retry_after_ms(permissions: SettingsTable) -> float:
    if not permissions.value("retry-after", False):
        return 0.0
    return permissions.number("max-retry-after", 0.0)
