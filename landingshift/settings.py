"""Decodes and checks the settings of a server's start, on the simulator's wire and in the configuration.

The keys are the users' and stand in this module alone; `Settings` has our names for them. Key, problem and
value of a bad setting are told in the text that operators see.
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
"""In place of a default: the key must be there."""
MAX_NUMBER = 1e15
NONE_WORD = "silent"
"""By which several settings say that there is none of what they name."""
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
    """A setting by which no server can start. The text begins with its key."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key


class MissingSettingError(SettingsError):
    """A required key is not there, or null."""

    def __init__(self, key: str) -> None:
        super().__init__(key, "missing")


class WrongSettingError(SettingsError):
    """A key has a value of the wrong kind or out of range."""

    def __init__(self, key: str, expected: str, value: Any) -> None:
        super().__init__(key, f"{expected} is expected, not {value!r}")
        self.value = value


class SettingsTable:
    """An object of the settings, which knows its path to say by name what is wrong in it."""

    def __init__(self, data: Any, path: str) -> None:
        """Takes an object of the settings.

        Args:
            data: Its content.
            path: Its key from the top of the configuration; empty at the top.

        Raises:
            WrongSettingError: It is no object.
        """
        if not isinstance(data, dict):
            raise WrongSettingError(path, "an object", data)
        self._data = data
        self._path = path

    def path_of(self, key: str) -> str:
        """The key from the top of the configuration."""
        return f"{self._path}.{key}" if self._path else key

    def value(self, key: str, default: Any) -> Any:
        """Any value; null counts as a missing key.

        Raises:
            MissingSettingError: It is not there, and `default` is `REQUIRED`.
        """
        value = self._data.get(key)
        if value is not None:
            return value
        if default is REQUIRED:
            raise MissingSettingError(self.path_of(key))
        return default

    def number(self, key: str, default: Any = REQUIRED) -> float:
        """A number of 0 or more."""
        return checked_number(self.path_of(key), self.value(key, default))

    def choice(self, key: str, values: dict[str, T], default: Any = REQUIRED) -> T:
        """What one of some words stands for."""
        word = self.value(key, default)
        if not isinstance(word, str) or word not in values:
            raise WrongSettingError(self.path_of(key), f"one of {', '.join(values)}", word)
        return values[word]

    def entries(self, key: str) -> list[Any]:
        """A list; empty where the key is not there."""
        values = self.value(key, [])
        if not isinstance(values, list):
            raise WrongSettingError(self.path_of(key), "a list", values)
        return values

    def entry(self, key: str, index: int) -> Any:
        """An entry of a list; None beyond its end."""
        values = self.entries(key)
        return values[index] if index < len(values) else None

    def tables(self, key: str) -> list[SettingsTable]:
        """A list of objects."""
        path = self.path_of(key)
        return [SettingsTable(value, f"{path}[{index}]") for index, value in enumerate(self.entries(key))]

    def table(self, key: str, default: Any = REQUIRED) -> SettingsTable:
        """An object."""
        return SettingsTable(self.value(key, default), self.path_of(key))


def checked_number(key: str, value: Any) -> float:
    """The value, where it is a number of 0 or more.

    Raises:
        WrongSettingError: It is not.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < MAX_NUMBER:
        raise WrongSettingError(key, "a number of 0 or more", value)
    return value


def decode_settings(data: Any, path: str = "") -> Settings:
    """The settings of decoded JSON, whose key in the configuration is `path`.

    Raises:
        SettingsError: A key is missing or wrong; the text begins with it.
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
        raise WrongSettingError(extra.path_of("n-cores"), "1 or more", core_count)
    return int(core_count)


def _decode_method(method: SettingsTable, extra: SettingsTable, skip_key: str, index: int) -> Method:
    """A method, of which two figures stand in lists beside it.

    Args:
        method: Its object.
        extra: Where the lists are.
        skip_key: Path of the second of them, for errors.
        index: Its place in them.
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
        degraded_value_fraction=checked_number(skip_key, extra.entry("class-skip-worth", index) or 0.0),
    )


def _max_retry_after_ms(permissions: SettingsTable) -> float:
    if not permissions.value("retry-after", False):
        return 0.0
    return permissions.number("max-retry-after", 0.0)
