"""A server with recorded actions, for tests that need no bench."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from landingshift.brain import Job, Server
from landingshift.interface import Advert, Below, Effect, Gauges, Method, Rpc, Settings, Stopping, Tenant

METHOD = Method(Effect.IDEMPOTENT, 1000.0, 0.0, 3000.0, 1.0, 0.0, 5000.0, False, 0.0)
SETTINGS = Settings(
    methods=[METHOD],
    tenants=[],
    over_share_worth=0.1,
    by_work=False,
    servers=4,
    cores=2,
    cold=False,
    cold_from=0.25,
    cold_time=10000.0,
    memory_kb=100000.0,
    run_factor=10.0,
    key_kb=100.0,
    share_for=0.0,
    stopping=Stopping.NONE,
    below=Below.NONE,
    calls_out=0.0,
    calls_over=0.0,
    linger=0.0,
    advert=Advert.NONE,
    deadline_told=True,
    marks_retry=True,
    hold_off_max=1000.0,
    link_idle=30000.0,
    drain_grace=1000.0,
    crowd=8.0,
)


class Bench:
    """Records what the server asks for as (action, rpc) pairs and moves its clock."""

    def __init__(self, method: Method = METHOD, **settings: Any) -> None:
        self.did: list[tuple[Any, ...]] = []
        self.method = method
        self.server = Server(replace(SETTINGS, methods=[method], **settings), 1, self, 0.0)

    def __getattr__(self, name: str) -> Any:
        return lambda *values: self.did.append((name, *values))

    def read(self, **facts: Any) -> Job:
        facts.setdefault("method", self.method)
        rpc = Rpc(**{**BLANK, **facts})
        return self.server.read(rpc)

    def tick(
        self, ms: float = 50.0, use: float = 1.0, on_cores: float | None = None, links: float = 0.0
    ) -> None:
        self.server.now += ms
        cores = len(self.names("run"))
        self.server.woken(Gauges(use, cores if on_cores is None else on_cores, links))
        self.server.settle()

    def at(self, now: float) -> None:
        self.server.now = now

    def names(self, *names: str, job: Job | None = None) -> list[tuple[Any, ...]]:
        return [d for d in self.did if d[0] in names and (job is None or d[1] is job.rpc)]

    def fates(self, job: Job) -> list[str]:
        return [d[0] for d in self.did if len(d) > 1 and d[1] is job.rpc and d[0] != "closed"]


BLANK: dict[str, Any] = dict(
    tenant=None,
    remaining=3000.0,
    waited=0.0,
    kb=10.0,
    caller=0,
    hint=None,
    keyed=False,
    repeat=False,
    retry=False,
    write=False,
)
__all__ = ["METHOD", "Bench", "Tenant"]
