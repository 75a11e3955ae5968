"""Decodes the wire's start-up settings."""

from __future__ import annotations

from typing import Any

from landingshift.interface import Advert, Below, Effect, Method, Settings, Stopping, Tenant

EFFECTS = {"retryable": Effect.IDEMPOTENT, "dedup": Effect.TOKENED, "fragile": Effect.NON_IDEMPOTENT}
BELOW = {"silent": Below.NONE, "shared": Below.SHARED, "tier": Below.TIER}
ADVERTS = {"silent": Advert.NONE, "level": Advert.LEVEL, "credit": Advert.CREDIT, "weight": Advert.WEIGHT}
STOPPING = {"silent": Stopping.NONE, "drop": Stopping.DROP, "pause": Stopping.PAUSE}


def at(values: list[Any] | None, index: int, absent: Any) -> Any:
    return values[index] if values and index < len(values) else absent


def decode(data: dict[str, Any]) -> Settings:
    extra, rules, permits = data["extra"], data["rules"], data.get("permissions") or {}
    methods = [
        Method(
            effect=EFFECTS[m["effect"]],
            target=m["slo"],
            target_stretch=m.get("aim-stretch") or 0.0,
            deadline=m["give-up"],
            criticality=m["value"],
            late_share=m.get("late-share") or 0.0,
            repeat_window=m.get("repeat-window") or 0.0,
            calls=bool(at(extra.get("class-calls"), i, False)),
            skip_share=at(extra.get("class-skip-worth"), i, 0.0) or 0.0,
        )
        for i, m in enumerate(data["classes"])
    ]
    return Settings(
        methods=methods,
        tenants=[Tenant(t.get("allowance-per-s") or 0.0) for t in data.get("orgs") or []],
        over_share_worth=data.get("over-share-worth", 1.0),
        by_work=data.get("worth-by") == "work",
        servers=max(1, data.get("peers-total") or 1),
        cores=extra["n-cores"],
        cold=bool(extra.get("cold")),
        cold_from=rules["cold-from"],
        cold_time=rules["cold"],
        memory_kb=extra["memory-kb"],
        run_factor=extra["run-factor"],
        key_kb=extra.get("key-kb") or 0.0,
        share_for=extra.get("share-for") or 0.0,
        stopping=STOPPING[extra.get("halt") or "silent"],
        below=BELOW[extra.get("depends-on") or "silent"],
        calls_out=extra.get("calls-out") or 0.0,
        calls_over=extra.get("calls-over") or 0.0,
        linger=extra.get("linger") or 0.0,
        advert=ADVERTS[extra.get("say") or "silent"],
        deadline_told=bool(extra.get("passes-deadline")),
        marks_retry=bool((data.get("clients") or {}).get("marks-retry")),
        link_idle=extra.get("caller-idle") or 0.0,
        hold_off_max=(permits.get("max-retry-after") or 0.0) if permits.get("retry-after") else 0.0,
        drain_grace=rules["drain-grace"],
        crowd=rules["tip-multiple"],
    )
