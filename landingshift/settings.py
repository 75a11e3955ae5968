"""Decodes and checks the start-up settings, for the bench's wire and the server's configuration alike."""

from __future__ import annotations

from typing import Any, TypeVar

from landingshift.admission.interface import Advert, Below, Effect, Method, Settings, Stopping, Tenant

T = TypeVar("T")
MISSING = object()
EFFECTS = {"retryable": Effect.IDEMPOTENT, "dedup": Effect.TOKENED, "fragile": Effect.NON_IDEMPOTENT}
BELOW = {"silent": Below.NONE, "shared": Below.SHARED, "tier": Below.TIER}
ADVERTS = {"silent": Advert.NONE, "level": Advert.LEVEL, "credit": Advert.CREDIT, "weight": Advert.WEIGHT}
STOPPING = {"silent": Stopping.NONE, "drop": Stopping.DROP, "pause": Stopping.PAUSE}


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
            effect=m.choice("effect", EFFECTS),
            target=m.number("slo"),
            target_stretch=m.number("aim-stretch", 0.0),
            deadline=m.number("give-up"),
            criticality=m.number("value"),
            late_share=m.number("late-share", 0.0),
            repeat_window=m.number("repeat-window", 0.0),
            calls=bool(extra.at("class-calls", i)),
            skip_share=extra.checked(
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
        over_share_worth=top.number("over-share-worth", 1.0),
        by_work=data.get("worth-by") == "work",
        servers=max(1, int(top.number("peers-total", 1))),
        callers=int(extra.number("callers", 0.0)),
        cores=int(cores),
        cold=bool(extra.take("cold", False)),
        cold_from=rules.number("cold-from"),
        cold_time=rules.number("cold"),
        memory_kb=extra.number("memory-kb"),
        run_factor=extra.number("run-factor"),
        key_kb=extra.number("key-kb", 0.0),
        share_for=extra.number("share-for", 0.0),
        stopping=extra.choice("halt", STOPPING, "silent"),
        below=extra.choice("depends-on", BELOW, "silent"),
        calls_out=extra.number("calls-out", 0.0),
        calls_over=extra.number("calls-over", 0.0),
        linger=extra.number("linger", 0.0),
        advert=extra.choice("say", ADVERTS, "silent"),
        deadline_told=bool(extra.take("passes-deadline", False)),
        marks_retry=bool(top.table("clients", {}).take("marks-retry", False)),
        link_idle=extra.number("caller-idle", 0.0),
        hold_off_max=permits.number("max-retry-after", 0.0) if permits.take("retry-after", False) else 0.0,
        drain_grace=rules.number("drain-grace"),
        crowd=rules.number("tip-multiple"),
    )
