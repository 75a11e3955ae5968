"""Makes a failing day small enough to read: fewer acts, shorter ones, fewer servers, a shorter day.

`fails(day)` says whether the same promise is still broken. What is tried costs a play each, so that their
number is bounded; the smallest day so far counts whenever that runs out.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from msgspec.structs import replace

from landingshift.testbed.experiments.scenarios import Fault, Scenario

PLAYS = 400
FEWEST = 2  # servers
ROUND = 100.0  # ms that times are rounded to, where that makes no difference


class Shrinker:
    def __init__(self, day: Scenario, fails: Callable[[Scenario], bool], plays: int = PLAYS) -> None:
        self.day, self.fails, self.left = day, fails, plays
        self.play_count = 0

    def smaller(self, day: Scenario) -> bool:
        """Keeps it where it still fails."""
        if not self.left:
            return False
        self.left -= 1
        self.play_count += 1
        if not self.fails(day):
            return False
        self.day = day
        return True

    def run(self) -> Scenario:
        size = -1
        while self.left and size != weight(self.day):
            size = weight(self.day)
            self.acts()
            for step in (servers, shorter, simpler):
                self.each(step)
        return self.day

    def acts(self) -> None:
        """Halves, then quarters, then single ones are left out (delta debugging)."""
        parts = 2
        while self.left and len(self.day.faults) > 0:
            acts = self.day.faults
            size = -(-len(acts) // parts)
            cut = False
            for first in range(0, len(acts), size):
                if self.smaller(replace(self.day, faults=acts[:first] + acts[first + size :])):
                    cut = True
                    break
            if not cut and size == 1:
                return
            parts = max(2, parts - 1) if cut else min(len(acts), parts * 2)

    def each(self, step: Callable[[Scenario], Iterator[Scenario]]) -> None:
        """Goes on from each that still fails, until none of them does."""
        again = True
        while again and self.left:
            again = any(self.smaller(day) for day in step(self.day))


def weight(day: Scenario) -> int:
    return len(written_short(day))


def written_short(day: Scenario) -> str:
    faults = [(a.kind, a.start_ms, a.servers, a.duration_ms) for a in day.faults]
    return f"{day.server_count} {day.voter_count} {day.duration_ms:.0f} {faults}"


def servers(day: Scenario) -> Iterator[Scenario]:
    """The last one less, where nothing is done to it."""
    used = max((i for a in day.faults for i in a.servers), default=-1)
    if day.server_count > max(FEWEST, used + 1, day.voter_count):
        yield replace(day, server_count=day.server_count - 1)
    if day.voter_count > 3:
        yield replace(day, voter_count=3)


def shorter(day: Scenario) -> Iterator[Scenario]:
    last = max((a.start_ms + a.duration_ms for a in day.faults), default=0.0)
    for ms in (last + 100.0, last + 2000.0):
        if ms < day.duration_ms - 500.0:
            yield replace(day, duration_ms=ms)
    for i, a in enumerate(day.faults):
        if a.duration_ms > 400.0:
            yield replace(day, faults=with_act(day, i, replace(a, duration_ms=round(a.duration_ms / 2.0))))


def simpler(day: Scenario) -> Iterator[Scenario]:
    """One server in place of several, less load, round times, an earlier beginning."""
    for i, a in enumerate(day.faults):
        for who in a.servers if len(a.servers) > 1 else ():
            yield replace(
                day, faults=with_act(day, i, replace(a, servers=tuple(w for w in a.servers if w != who)))
            )
        if a.start_ms % ROUND:
            yield replace(day, faults=with_act(day, i, replace(a, start_ms=a.start_ms // ROUND * ROUND)))
    first = min((a.start_ms for a in day.faults), default=0.0)
    if first >= ROUND:
        early = tuple(replace(a, start_ms=a.start_ms - first // ROUND * ROUND) for a in day.faults)
        yield replace(day, faults=early)
    if day.load_ratio > 0.3:
        yield replace(day, load_ratio=0.3)


def with_act(day: Scenario, i: int, act: Fault) -> tuple[Fault, ...]:
    return tuple(
        sorted([*day.faults[:i], act, *day.faults[i + 1 :]], key=lambda a: (a.start_ms, a.kind, a.servers))
    )
