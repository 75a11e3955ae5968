"""The types through which a program and the decision module talk: facts in, actions out.

A program makes one `admission.controller.Server` per instance, hands it `Settings` and an `Actions`, and
calls it for each event. It gets a handle for each RPC it reads and passes that handle back with later events.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Effect(Enum):
    IDEMPOTENT = 1
    TOKENED = 2
    NON_IDEMPOTENT = 3


class Below(Enum):
    NONE = 1
    SHARED = 2
    TIER = 3


class Advert(Enum):
    NONE = 1
    LEVEL = 2
    CREDIT = 3
    WEIGHT = 4


class Stopping(Enum):
    NONE = 1
    DROP = 2
    PAUSE = 3


class Outcome(Enum):
    OK = 1
    ABORTED = 2
    PUSHED_BACK = 3
    NO_ANSWER = 4
    NO_CONNECTION = 5
    CONNECTION_LOST = 6
    CALLED_OFF = 7
    NOT_SENT = 8


@dataclass(slots=True, eq=False)
class Method:
    effect: Effect
    target: float  # latency target, ms
    target_stretch: float  # the target grows by this multiple of an RPC's own work
    deadline: float
    criticality: float
    late_share: float
    repeat_window: float
    calls: bool
    skip_share: float


@dataclass(slots=True, eq=False)
class Tenant:
    allowance: float  # RPCs a second over the whole fleet


@dataclass(slots=True, eq=False)
class Settings:
    methods: list[Method]
    tenants: list[Tenant]
    over_share_worth: float
    by_work: bool  # criticality counts for each unit of work
    servers: int
    callers: int  # at this start; 0 where that is not told
    cores: int
    cold: bool
    cold_from: float
    cold_time: float
    memory_kb: float
    run_factor: float
    key_kb: float
    share_for: float
    stopping: Stopping
    below: Below
    calls_out: float
    calls_over: float
    linger: float
    advert: Advert
    deadline_told: bool
    marks_retry: bool
    hold_off_max: float  # 0 where pushbacks may carry no hold-off
    link_idle: float  # callers close idle connections after this
    drain_grace: float
    crowd: float  # RPCs on the cores for each core that a warm server survives


@dataclass(slots=True, eq=False)
class Rpc:
    """What is known of an RPC when it has been read."""

    method: Method
    tenant: Tenant | None
    remaining: float | None  # how long its caller still waits, where told
    waited: float  # since it reached the machine
    kb: float
    caller: int
    hint: float | None
    keyed: bool
    repeat: bool  # the table names an earlier try or a like read
    retry: bool
    write: bool


@dataclass(slots=True)
class Gauges:
    core_use: float | None
    on_cores: float | None
    links: float | None  # connections open


class Actions(Protocol):
    def run(self, rpc: Rpc) -> None: ...
    def stop(self, rpc: Rpc) -> None: ...
    def push_back(self, rpc: Rpc, hold_off: float, final: bool) -> None: ...
    def abort(self, rpc: Rpc) -> None: ...
    def call(self, rpc: Rpc, allow: float) -> None: ...
    def skip(self, rpc: Rpc) -> None: ...
    def keep(self, rpc: Rpc, time: float) -> None: ...
    def forget(self, rpc: Rpc) -> None: ...
    def join(self, rpc: Rpc) -> None: ...
    def closed(self, rpc: Rpc) -> None: ...  # the module will not speak of it again
    def health(self, good: bool, cheap: bool) -> None: ...
    def advertise(self, amount: float) -> None: ...
    def reap(self, idle: float) -> None: ...  # closes connections idle for so long
    def wake(self, delay: float) -> None: ...
    def log(self, text: str) -> None: ...
