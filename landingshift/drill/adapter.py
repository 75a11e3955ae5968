"""Reads batches from the simulator, hands their events to the servers and writes the replies.

Ids exist only here: an event's id is turned into the object it stands for, an action's object into its id.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, BinaryIO, TextIO

import msgspec

from landingshift.admission.controller import AdmissionController
from landingshift.admission.interface import Gauges, Outcome, Rpc, Settings
from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.settings import decode

OUTCOMES = {
    "served": Outcome.OK,
    "server_error": Outcome.ABORTED,
    "turned_away": Outcome.REJECTED,
    "no_answer": Outcome.NO_RESPONSE,
    "no_connection": Outcome.NO_CONNECTION,
    "connection_lost": Outcome.CONNECTION_LOST,
    "called_off": Outcome.CANCELLED,
    "not_sent": Outcome.NOT_SENT,
}
HINTED, RETRY, WRITE = 1, 2, 4


@dataclass(slots=True, eq=False)
class WireRpc(Rpc):
    rid: str


class Door:
    """One instance's side of the wire: its server, the ids of its RPCs and its actions."""

    def __init__(
        self, instance: int, settings: Settings, seed: int, now: float, reply: list[list[Any]]
    ) -> None:
        self.instance = instance
        self.settings = settings
        self.reply = reply
        self.jobs: dict[str, ManagedRpc] = {}
        self.wakes = 0
        self.server = AdmissionController(settings, seed, self, now)

    def read(self, fields: list[Any]) -> None:
        rid, key, ttl, waited, kb, caller, method, hint, tenant, _rank, dup, marks = fields
        st = self.settings
        bits = marks or 0
        rpc = WireRpc(
            method=st.methods[method],
            tenant=st.tenants[tenant or 0] if st.tenants else None,
            remaining_ms=ttl if ttl is not None and (ttl > 0 or st.callers_send_deadline) else None,
            waited_ms=waited or 0.0,
            memory_kb=kb or 0.0,
            caller_id=caller or 0,
            work_hint_ms=hint if hint and bits & HINTED else None,
            has_cache_key=bool(key),
            is_duplicate=bool(dup),
            is_retry=bool(bits & RETRY),
            is_write=bool(bits & WRITE),
            rid=rid,
        )
        self.jobs[rid] = self.server.on_rpc_read(rpc)

    def result(self, fields: list[Any]) -> None:
        job = self.jobs.get(fields[0])
        if job is not None:
            self.server.on_run_finished(job, OUTCOMES[fields[1]], fields[2])

    def wants_call(self, fields: list[Any]) -> None:
        job = self.jobs.get(fields[0])
        if job is not None:
            self.server.on_call_needed(job)

    def call_done(self, fields: list[Any]) -> None:
        job = self.jobs.get(fields[0])
        if job is not None:
            self.server.on_call_finished(job, OUTCOMES[fields[1]], fields[2])

    def hangup(self, fields: list[Any]) -> None:
        job = self.jobs.get(fields[0])
        if job is not None:
            self.server.on_caller_gone(job)

    def quiesce(self, fields: list[Any]) -> None:
        self.server.start_draining(fields[0])

    def elapsed(self, fields: list[Any]) -> None:
        stats = fields[1] or {}
        self.server.on_timer(Gauges(stats.get("core_use"), stats.get("on_cores"), stats.get("links")))

    def say(self, name: str, rpc: Rpc, *values: Any) -> None:
        assert isinstance(rpc, WireRpc)
        self.reply.append([name, self.instance, rpc.rid, *values])

    def start_run(self, rpc: Rpc) -> None:
        self.say("Execute", rpc)

    def cancel_run(self, rpc: Rpc) -> None:
        self.say("Yank", rpc)

    def reject(self, rpc: Rpc, retry_after_ms: float, is_final: bool) -> None:
        self.say("Busy", rpc, retry_after_ms, is_final)

    def abort(self, rpc: Rpc) -> None:
        self.say("Error", rpc)

    def start_call(self, rpc: Rpc, timeout_ms: float) -> None:
        self.say("GoCall", rpc, timeout_ms)

    def skip_call(self, rpc: Rpc) -> None:
        self.say("Bypass", rpc)

    def retain_dedup_entry(self, rpc: Rpc, duration_ms: float) -> None:
        self.say("Retain", rpc, duration_ms)

    def drop_dedup_entry(self, rpc: Rpc) -> None:
        self.say("Evict", rpc)

    def await_original(self, rpc: Rpc) -> None:
        self.say("Join", rpc)

    def release(self, rpc: Rpc) -> None:
        assert isinstance(rpc, WireRpc)
        self.jobs.pop(rpc.rid, None)

    def set_health(self, is_healthy: bool, is_shallow: bool) -> None:
        self.reply.append(["SetHealth", self.instance, is_healthy, is_shallow])

    def advertise_load(self, amount: float) -> None:
        self.reply.append(["Advertise", self.instance, amount])

    def close_idle_connections(self, idle_timeout_ms: float) -> None:
        self.reply.append(["ReapAfter", self.instance, idle_timeout_ms])

    def schedule_check(self, delay_ms: float) -> None:
        self.wakes += 1
        self.reply.append(["NotifyMe", self.instance, f"w{self.wakes}", delay_ms])

    def log(self, text: str) -> None:
        self.reply.append(["NoteDown", self.instance, text])


Handler = Callable[[Door, list[Any]], None]
EVENTS: dict[str, tuple[Handler, int]] = {
    "Ingress": (Door.read, 12),
    "Result": (Door.result, 3),
    "WantsCall": (Door.wants_call, 1),
    "CallDone": (Door.call_done, 3),
    "Hangup": (Door.hangup, 1),
    "Quiesce": (Door.quiesce, 1),
    "Elapsed": (Door.elapsed, 2),
}


class Malformed(Exception):
    pass


class Desk:
    """All instances of this process, and the batch in hand."""

    def __init__(self) -> None:
        self.doors: dict[int, Door] = {}
        self.reply: list[list[Any]] = []
        self.events: list[list[Any]] = []
        self.batch: tuple[float, int] | None = None
        self.stirred: dict[int, Door] = {}  # instances with an event in this batch

    def line(self, value: Any) -> bool:
        """Takes one line; true when it closes a batch and the reply is ready."""
        if not isinstance(value, list) or not value or not isinstance(value[0], str):
            raise Malformed("a message is an array that begins with its name")
        if value[0] == "Batch":
            if self.batch is not None:
                raise Malformed("a batch begins before the last one ended")
            if len(value) < 3 or not all(isinstance(v, int | float) for v in value[1:3]):
                raise Malformed("Batch takes a clock and a number")
            self.batch = (float(value[1]), value[2])
            return False
        if self.batch is None:
            raise Malformed(f"{value[0]} outside a batch")
        if value[0] == "End":
            return True
        if len(value) < 2 or not isinstance(value[1], int):
            raise Malformed(f"{value[0]} names no instance")
        self.event(*self.batch, value)
        return False

    def event(self, now: float, _number: int, value: list[Any]) -> None:
        name, instance, fields = value[0], value[1], value[2:]
        if name == "Configure":
            if len(fields) < 2 or not isinstance(fields[1], dict):
                raise Malformed("Configure takes a seed and settings")
            try:
                settings = decode(fields[1])
            except (KeyError, IndexError, TypeError, ValueError, AttributeError) as err:
                raise Malformed(f"settings: {type(err).__name__} {err}") from err
            self.guarded(instance, lambda: self.configure(instance, settings, fields[0], now))
            return
        if name == "Destroy":
            self.doors.pop(instance, None)
            self.stirred.pop(instance, None)
            return
        if name not in EVENTS:
            raise Malformed(f"unknown event {name}")
        door = self.doors.get(instance)
        if door is None:
            raise Malformed(f"{name} for instance {instance}, which was not configured")
        handler, count = EVENTS[name]
        fields += [None] * (count - len(fields))
        self.vet(door, name, fields)
        self.guarded(instance, lambda: self.deliver(instance, door, handler, fields[:count], now))

    def vet(self, door: Door, name: str, fields: list[Any]) -> None:
        if name == "Quiesce" or name == "Elapsed":
            if name == "Quiesce" and not isinstance(fields[0], int | float):
                raise Malformed("Quiesce takes a time")
            return
        if not isinstance(fields[0], str):
            raise Malformed(f"{name} takes the id of an RPC")
        if name in ("Result", "CallDone") and (
            fields[1] not in OUTCOMES or not isinstance(fields[2], int | float)
        ):
            raise Malformed(f"{name} takes an outcome and a time, not {fields[1]!r} and {fields[2]!r}")
        if name == "Ingress":
            method, tenant = fields[6], fields[8]
            if not isinstance(method, int) or not 0 <= method < len(door.settings.methods):
                raise Malformed(f"Ingress of unknown type {method!r}")
            if door.settings.tenants and not 0 <= (tenant or 0) < len(door.settings.tenants):
                raise Malformed(f"Ingress of unknown client-group {tenant!r}")
            numbers = (fields[2], fields[3], fields[4], fields[7], fields[11])
            if not all(v is None or isinstance(v, int | float) for v in numbers):
                raise Malformed("Ingress with a value that is not a number")

    def configure(self, instance: int, settings: Settings, seed: int, now: float) -> None:
        self.doors[instance] = Door(instance, settings, seed, now, self.reply)

    def deliver(self, instance: int, door: Door, handler: Handler, fields: list[Any], now: float) -> None:
        door.server.now_ms = now
        handler(door, fields)
        self.stirred[instance] = door

    def guarded(self, instance: int, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception:
            self.reply.append(["GiveIn", instance, traceback.format_exc(limit=-4)])

    def answer(self) -> list[list[Any]]:
        assert self.batch is not None
        for instance, door in self.stirred.items():
            self.guarded(instance, door.server.settle)
        self.stirred.clear()
        self.reply.append(["Yield", self.batch[1]])
        reply = self.reply[:]
        self.reply.clear()
        self.batch = None
        return reply


def main(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    desk = Desk()
    decoder, encoder = msgspec.json.Decoder(), msgspec.json.Encoder()
    for number, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            ready = desk.line(decoder.decode(line))
        except (Malformed, msgspec.DecodeError) as err:
            errors.write(f"line {number}: {err}: {line[:200]!r}\n")
            return 2
        if ready:
            sink.write(encoder.encode_lines(desk.answer()))
            sink.flush()
    if desk.batch is not None:
        errors.write("input ended inside a batch\n")
        return 2
    return 0
