"""Decodes and checks the start-up settings, for the bench's wire and the server's configuration alike."""

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

T = TypeVar("T")
MISSING = object()
EFFECTS = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
BELOW = {"silent": DownstreamKind.NONE, "shared": DownstreamKind.SHARED_STORE, "tier": DownstreamKind.TIER}
ADVERTS = {
    "silent": LoadAdvertisement.NONE,
    "level": LoadAdvertisement.LEVEL,
    "credit": LoadAdvertisement.CREDIT,
    "weight": LoadAdvertisement.WEIGHT,
}
STOPPING = {"silent": RunCancellation.NONE, "drop": RunCancellation.DROP, "pause": RunCancellation.PAUSE}


class BadSetting(ValueError):
    """The text begins with the key."""


class Table:
    """An object of the settings; says by name what is wrong in it."""

    def __init__(self, data: Any, path: str) -> None:
        if not isinstance(data, dict):
            raise BadSetting(f"{path}: an object is expected, not {data!r}")
        self.data, self.path = data, path

    def name(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def take(self, key: str, absent: Any) -> Any:
        value = self.data.get(key)
        if value is not None:
            return value
        if absent is MISSING:
            raise BadSetting(f"{self.name(key)}: missing")
        return absent

    def number(self, key: str, absent: Any = MISSING) -> float:
        return self.checked(self.name(key), self.take(key, absent))

    @staticmethod
    def checked(name: str, value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e15:
            raise BadSetting(f"{name}: a number of 0 or more is expected, not {value!r}")
        return value

    def choice(self, key: str, table: dict[str, T], absent: Any = MISSING) -> T:
        value = self.take(key, absent)
        if not isinstance(value, str) or value not in table:
            raise BadSetting(f"{self.name(key)}: one of {', '.join(table)} is expected, not {value!r}")
        return table[value]

    def entries(self, key: str) -> list[Any]:
        values = self.take(key, [])
        if not isinstance(values, list):
            raise BadSetting(f"{self.name(key)}: a list is expected, not {values!r}")
        return values

    def at(self, key: str, index: int) -> Any:
        values = self.entries(key)
        return values[index] if index < len(values) else None

    def tables(self, key: str) -> list[Table]:
        return [Table(v, f"{self.name(key)}[{i}]") for i, v in enumerate(self.entries(key))]

    def table(self, key: str, absent: Any = MISSING) -> Table:
        return Table(self.take(key, absent), self.name(key))


def decode(data: Any, path: str = "") -> Settings:
    top = Table(data, path)
    extra, rules, permits = top.table("extra"), top.table("rules"), top.table("permissions", {})
    methods = [
        Method(
            idempotency=m.choice("effect", EFFECTS),
            latency_objective_ms=m.number("slo"),
            objective_work_factor=m.number("aim-stretch", 0.0),
            deadline_ms=m.number("give-up"),
            criticality=m.number("value"),
            late_value_fraction=m.number("late-share", 0.0),
            dedup_window_ms=m.number("repeat-window", 0.0),
            calls_downstream=bool(extra.at("class-calls", i)),
            degraded_value_fraction=extra.checked(
                f"{path}.extra.class-skip-worth", extra.at("class-skip-worth", i) or 0.0
            ),
        )
        for i, m in enumerate(top.tables("classes"))
    ]
    if not methods:
        raise BadSetting(f"{top.name('classes')}: at least one is expected")
    cores = extra.number("n-cores")
    if cores < 1:
        raise BadSetting(f"{extra.name('n-cores')}: 1 or more is expected, not {cores}")
    return Settings(
        methods=methods,
        tenants=[Tenant(t.number("allowance-per-s", 0.0)) for t in top.tables("orgs")],
        over_quota_value_fraction=top.number("over-share-worth", 1.0),
        criticality_is_per_work=data.get("worth-by") == "work",
        server_count=max(1, int(top.number("peers-total", 1))),
        caller_count=int(extra.number("callers", 0.0)),
        core_count=int(cores),
        starts_cold=bool(extra.take("cold", False)),
        cold_speed_fraction=rules.number("cold-from"),
        warm_up_ms=rules.number("cold"),
        memory_kb=extra.number("memory-kb"),
        running_memory_factor=extra.number("run-factor"),
        dedup_entry_kb=extra.number("key-kb", 0.0),
        response_cache_ttl_ms=extra.number("share-for", 0.0),
        run_cancellation=extra.choice("halt", STOPPING, "silent"),
        downstream=extra.choice("depends-on", BELOW, "silent"),
        downstream_concurrency_quota=extra.number("calls-out", 0.0),
        downstream_quota_window_ms=extra.number("calls-over", 0.0),
        lost_call_linger_ms=extra.number("linger", 0.0),
        load_advertisement=extra.choice("say", ADVERTS, "silent"),
        callers_send_deadline=bool(extra.take("passes-deadline", False)),
        callers_mark_retries=bool(top.table("clients", {}).take("marks-retry", False)),
        connection_idle_timeout_ms=extra.number("caller-idle", 0.0),
        max_retry_after_ms=permits.number("max-retry-after", 0.0)
        if permits.take("retry-after", False)
        else 0.0,
        drain_grace_ms=rules.number("drain-grace"),
        max_runs_per_core=rules.number("tip-multiple"),
    )
