"""Makes a failing day small enough to read: fewer acts, shorter ones, fewer servers, a shorter day.

`fails(day)` says whether the same promise is still broken. What is tried costs a play each, so that their
number is bounded; the smallest day so far counts whenever that runs out.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from msgspec.structs import replace

from landingshift.testbed.experiments.scenarios import Act, Day

PLAYS = 400
FEWEST = 2  # servers
ROUND = 100.0  # ms that times are rounded to, where that makes no difference


class Shrinker:
    def __init__(self, day: Day, fails: Callable[[Day], bool], plays: int = PLAYS) -> None:
        self.day, self.fails, self.left = day, fails, plays
        self.play_count = 0

    def smaller(self, day: Day) -> bool:
        """Keeps it where it still fails."""
        if not self.left:
            return False
        self.left -= 1
        self.play_count += 1
        if not self.fails(day):
            return False
        self.day = day
        return True

    def run(self) -> Day:
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
        while self.left and len(self.day.acts) > 0:
            acts = self.day.acts
            size = -(-len(acts) // parts)
            cut = False
            for first in range(0, len(acts), size):
                if self.smaller(replace(self.day, acts=acts[:first] + acts[first + size :])):
                    cut = True
                    break
            if not cut and size == 1:
                return
            parts = max(2, parts - 1) if cut else min(len(acts), parts * 2)

    def each(self, step: Callable[[Day], Iterator[Day]]) -> None:
        """Goes on from each that still fails, until none of them does."""
        again = True
        while again and self.left:
            again = any(self.smaller(day) for day in step(self.day))


def weight(day: Day) -> int:
    return len(written_short(day))


def written_short(day: Day) -> str:
    return f"{day.servers} {day.voters} {day.ms:.0f} {[(a.kind, a.at, a.who, a.lasts) for a in day.acts]}"


def servers(day: Day) -> Iterator[Day]:
    """The last one less, where nothing is done to it."""
    used = max((i for a in day.acts for i in a.who), default=-1)
    if day.servers > max(FEWEST, used + 1, day.voters):
        yield replace(day, servers=day.servers - 1)
    if day.voters > 3:
        yield replace(day, voters=3)


def shorter(day: Day) -> Iterator[Day]:
    last = max((a.at + a.lasts for a in day.acts), default=0.0)
    for ms in (last + 100.0, last + 2000.0):
        if ms < day.ms - 500.0:
            yield replace(day, ms=ms)
    for i, a in enumerate(day.acts):
        if a.lasts > 400.0:
            yield replace(day, acts=with_act(day, i, replace(a, lasts=round(a.lasts / 2.0))))


def simpler(day: Day) -> Iterator[Day]:
    """One server in place of several, less load, round times, an earlier beginning."""
    for i, a in enumerate(day.acts):
        for who in a.who if len(a.who) > 1 else ():
            yield replace(day, acts=with_act(day, i, replace(a, who=tuple(w for w in a.who if w != who))))
        if a.at % ROUND:
            yield replace(day, acts=with_act(day, i, replace(a, at=a.at // ROUND * ROUND)))
    first = min((a.at for a in day.acts), default=0.0)
    if first >= ROUND:
        early = tuple(replace(a, at=a.at - first // ROUND * ROUND) for a in day.acts)
        yield replace(day, acts=early)
    if day.load > 0.3:
        yield replace(day, load=0.3)


def with_act(day: Day, i: int, act: Act) -> tuple[Act, ...]:
    return tuple(sorted([*day.acts[:i], act, *day.acts[i + 1 :]], key=lambda a: (a.at, a.kind, a.who)))
