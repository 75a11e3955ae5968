"""Chance faults among real processes with all packages on: days as data, done to servers of the program.

A supervisor starts whoever ends. What must hold is read off the history that the processes write, the answers
that their gateways got, and what the system says of their memory and descriptors.
"""

from __future__ import annotations

import os
import resource
import signal
import tempfile
import time
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from landingshift.membership.operator_rpc import OperatorRpcError
from landingshift.testbed import MEMORY
from landingshift.testbed.experiments.maintenance_harness import COLD_START_SETTINGS, MaintenanceHarness
from landingshift.testbed.experiments.policies_real import ENDED, OVERLAP
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.experiments.scenarios import (
    FAULT_KINDS,
    LINK_FAULT_KINDS,
    Fault,
    blocks_link,
    draw_fault,
)
from landingshift.testbed.verification.invariants import loans, permissions

HERE = (
    "kill", "crash_loop", "zone", "notice", "stop", "cut_off", "halves", "mute", "deaf", "flaps", "loss",
    "twice", "delay", "full", "store_falls", "load", "change", "wish",
)  # fmt: skip
EACH = 3.0  # s between two acts, on average
LOAD = 0.5
RPCS = 3.0  # of each server a second, where so many share one machine that its cores are the limit
MANY = 20
CALLS = 1000.0  # calls a second and server that the store bears
LOOK = 0.5  # s between two looks at what was answered
SAMPLE = 5.0  # between two at memory and descriptors
BACK = 2.0  # points of the share answered ok before, within which service counts as back
SETTLE = 60.0  # s
LATEST = 25.0  # s after its end until which a fault's recovery is looked for


def drawn(seed: int, servers: int, seconds: float) -> list[Fault]:
    chance = Random(f"{seed} real day")
    weights = [FAULT_KINDS[name].weight for name in HERE]
    acts = []
    for _ in range(max(3, int(seconds / EACH))):
        at = round(chance.uniform(0.0, max(1.0, seconds - 3.0)) * 1000.0)
        acts.append(draw_fault(chance, chance.choices(HERE, weights)[0], at, servers, seconds * 1000.0))
    return sorted(acts, key=lambda a: (a.start_ms, a.kind, a.servers))


class Siege:
    """One run: `acts` done to `count` servers over `seconds`."""

    def __init__(self, folder: str, count: int, seed: int, seconds: float, acts: list[Fault]) -> None:
        load = LOAD if count <= MANY else RPCS * 0.04
        packages = COLD_START_SETTINGS.format(count=count, calls=CALLS * count)
        self.yard = MaintenanceHarness(folder, count, seed, load, 0.1, packages)
        self.rig, self.seconds, self.acts = self.yard.rig, seconds, acts
        self.rate = self.rig.rate
        self.under: dict[int, Fault] = {}
        self.began = 0.0
        self.answers: list[tuple[float, int, int]] = []  # s, ok, all so far
        self.sizes: list[tuple[float, float, float]] = []  # s, mean MB, mean descriptors
        self.ids = self.wishes = 0
        self.limits: dict[int, tuple[int, int]] = {}

    # Acts

    def timeline(self) -> list[tuple[float, Callable[[], None]]]:
        events: list[tuple[float, Callable[[], None]]] = []
        for place, one in enumerate(self.acts):
            events.append((one.start_ms / 1000.0, partial(self.begin, place, one)))
            if one.duration_ms:
                events.append(((one.start_ms + one.duration_ms) / 1000.0, partial(self.over, place, one)))
            if one.kind == "crash_loop":
                steps = range(1, int(one.duration_ms / one.amount))
                events += [
                    ((one.start_ms + k * one.amount) / 1000.0, partial(self.crash, one)) for k in steps
                ]
        return sorted(events, key=lambda e: e[0])

    def begin(self, place: int, one: Fault) -> None:
        yard, rig = self.yard, self.rig
        if one.duration_ms:
            self.under[place] = one
        for i in one.servers:
            up = i in yard.up()
            match one.kind:
                case "kill" | "zone":
                    yard.not_restarted.add(i)
                    if up:
                        rig.kill(i)
                case "crash_loop":
                    self.crash(one)
                case "notice" if up:
                    rig.processes[i].send_signal(signal.SIGTERM)
                case "stop" if up:
                    rig.stop(i, one.duration_ms / 1000.0)
                case "full" if up and i <= len(yard.voters):
                    self.full(i, True)
                case "change" if up:
                    yard.propose(i, self.ids, f"c{self.ids}")
                    self.ids += 1
        if one.kind == "store_falls":
            rig.do(lambda: rig.yard.store.flood(int(one.amount * rig.yard.store.crowd / 2.0)))
        if one.kind == "wish":
            self.wish([rig.name(i) for i in one.servers], one.amount)
        self.links()

    def over(self, place: int, one: Fault) -> None:
        del self.under[place]
        for i in one.servers:
            if one.kind in ("kill", "zone"):
                self.yard.not_restarted.discard(i)  # its supervisor starts it
            if one.kind == "full" and i in self.limits:
                self.full(i, False)
        self.links()

    def crash(self, one: Fault) -> None:
        for i in one.servers:
            if i in self.yard.up():
                self.rig.kill(i)

    def full(self, i: int, on: bool) -> None:
        """No room for one more byte in any file of that process."""
        pid = self.rig.processes[i].pid
        try:
            if on:
                size = Path(self.yard.journal(i)).stat().st_size
                self.limits[i] = resource.prlimit(pid, resource.RLIMIT_FSIZE)
                resource.prlimit(pid, resource.RLIMIT_FSIZE, (size + 7, self.limits[i][1]))
            else:
                resource.prlimit(pid, resource.RLIMIT_FSIZE, self.limits.pop(i))
        except OSError:  # it is no more: its successor has room
            self.limits.pop(i, None)

    def wish(self, some: list[str], minutes: float) -> None:
        try:
            self.yard.request_maintenance(some, minutes=minutes)
            self.wishes += len(some)
        except (RuntimeError, OperatorRpcError):
            return  # nobody leads: the operator is told, and asks another time

    def links(self) -> None:
        """Loss, doubles, delay and load are the most of all acts under way; a cut holds while any does."""
        under, rig = list(self.under.values()), self.rig
        sides = [
            (a, {rig.name(i) for i in a.servers}) for a in under if a.kind in LINK_FAULT_KINDS and a.servers
        ]
        began = self.began

        def cut(a: str, b: str) -> bool:
            at = (time.monotonic() - began) * 1000.0
            return any(blocks_link(one, side, a, b, at - one.start_ms) for one, side in sides)

        def most(kind: str) -> float:
            return max((a.amount for a in under if a.kind == kind), default=0.0)

        more = 1.0
        for a in under:
            more *= min(1.6, a.amount) if a.kind == "load" else 1.0

        def switch() -> None:
            rig.switch.cut, rig.switch.loss = cut, most("loss")
            rig.switch.double, rig.switch.late = most("twice"), most("delay")
            rig.rate = self.rate * more

        rig.do(switch)

    # A run

    def look(self, at: float) -> None:
        ends = self.rig.ends
        good = ends["ok"]
        self.answers.append((at, good, sum(ends.values()) - ends["with a killed one"]))

    def sample(self, at: float) -> None:
        found = [size_of(self.rig.processes[i].pid) for i in self.yard.up()]
        there = [f for f in found if f is not None]
        if there:
            count = len(there)
            self.sizes.append((at, sum(f[0] for f in there) / count, sum(f[1] for f in there) / count))

    def run(self, row: ExperimentRow) -> None:
        yard = self.yard
        yard.start_all()
        self.began = time.monotonic()
        events = self.timeline()
        looked = sampled = 0.0
        while (at := time.monotonic() - self.began) < self.seconds + 3.0:
            while events and events[0][0] <= at:
                events.pop(0)[1]()
            if at - looked >= LOOK:
                looked = at
                self.look(at)
            if at - sampled >= SAMPLE:
                sampled = at
                self.sample(at)
            time.sleep(0.01)
        for _, act_ in events:
            act_()
        yard.not_restarted.clear()
        self.settle(row)

    def settle(self, row: ExperimentRow) -> None:
        yard = self.yard

        def well() -> bool:
            return len(yard.up()) == yard.count and all(yard.status(i).get("decides") for i in yard.up())

        began = time.monotonic()
        row.require(
            yard.rig.until(SETTLE, well), f"not all decide again: {[yard.status(i) for i in yard.up()]}"
        )
        row.figures["rest_s"] = round(time.monotonic() - began, 1)
        row.require(yard.wait_until_ended(yard.names, SETTLE), "work is not over")
        yard.agreed(row, 20.0)
        # One whose proposer died may be known to nobody.
        yard.ids = [id for id in yard.ids if yard.end(0, id)["end"] in ENDED]

    def judge(self, row: ExperimentRow) -> None:
        self.yard.check(row)
        history = self.rig.history()
        most = loans(history, 0)
        bears = CALLS * self.yard.count
        row.require(most <= bears * 1.0001, f"shares: {most:.0f} believed in of {bears:.0f}")
        row.violations += [
            f"permissions: {text}" for text in permissions([(*e, 0) for e in history], OVERLAP)[:2]
        ]
        row.figures |= {"acts": len(self.acts), "changes": self.ids, "wishes": self.wishes}
        row.figures |= quarters(self.sizes) | recovery_figures(self.answers, self.acts)
        row.series["answers"], row.series["sizes"] = self.answers, self.sizes


def size_of(pid: int) -> tuple[float, int] | None:
    """MB that are resident, and open descriptors."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        return pages * resource.getpagesize() / 1e6, len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return None


def quarters(sizes: list[tuple[float, float, float]]) -> dict[str, Any]:
    """Means of each quarter of the run."""
    if len(sizes) < 4:
        return {}
    n = len(sizes)
    parts = [sizes[n * k // 4 : n * (k + 1) // 4] for k in range(4)]
    means = [[round(sum(s[at] for s in part) / len(part), 1) for part in parts] for at in (1, 2)]
    return {"memory_mb": means[0], "descriptors": means[1]}


def share(answers: list[tuple[float, int, int]], since: float, until: float) -> float:
    """Answered ok, in per cent, of what was answered then; -1 where nothing was."""
    some = [a for a in answers if since <= a[0] <= until]
    if len(some) < 2 or some[-1][2] == some[0][2]:
        return -1.0
    return 100.0 * (some[-1][1] - some[0][1]) / (some[-1][2] - some[0][2])


def recovery_figures(answers: list[tuple[float, int, int]], acts: list[Fault]) -> dict[str, Any]:
    """s from the end of each fault that nothing else overlapped until service is back, median and worst."""
    faults = [a for a in acts if a.kind not in ("change", "wish", "load") and a.duration_ms]
    found: list[tuple[float, str]] = []
    for one in faults:
        end = (one.start_ms + one.duration_ms) / 1000.0
        others = [b for b in faults if b is not one and b.start_ms / 1000.0 < end + 10.0]
        if any((b.start_ms + b.duration_ms) / 1000.0 > one.start_ms / 1000.0 - 5.0 for b in others):
            continue
        before = share(answers, one.start_ms / 1000.0 - 5.0, one.start_ms / 1000.0)
        at = end
        while before >= 0.0 and at < end + LATEST:
            if share(answers, at, at + 2.0) >= before - BACK:
                break
            at += LOOK
        if before >= 0.0:
            found.append((round(at - end, 1), one.kind))
    if not found:
        return {"alone": 0}
    found.sort()
    return {"alone": len(found), "back_s": found[len(found) // 2][0], "back_worst": list(found[-1])}


def play_real_scenarios(servers: int, seed: int, minutes: float, repeats: int) -> Iterator[ExperimentRow]:
    for k in range(repeats):
        row = ExperimentRow(f"real {seed + k}")
        acts = drawn(seed + k, servers, minutes * 60.0)
        with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
            siege = Siege(folder, servers, seed + k, minutes * 60.0, acts)
            try:
                siege.run(row)
                siege.judge(row)
            except (RuntimeError, OperatorRpcError) as err:
                row.require(False, str(err))
            finally:
                siege.yard.stop_supervisor()
                siege.rig.close()
        row.runs = 1
        yield row
