"""The whole fleet under chance faults, in virtual time: many drawn days, each judged from its history alone.

Days are drawn round by round: after each, what has met is known, and the next round seeks what has not. A day
that fails is made smaller until nothing can be left out, and told as an incident.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from landingshift.testbed.experiments.rows import Row
from landingshift.testbed.experiments.scenarios import Coverage, Day, draw, told
from landingshift.testbed.simulation.cluster import INVARIANT_BY_REMOVED_DEFENCE, OVERLAP_MS, SimulatedCluster
from landingshift.testbed.verification.invariants import CLUSTER_INVARIANTS, find_violations
from landingshift.testbed.verification.shrinking import Shrinker

ROUND = 400  # days of one round, after which what has met is counted
CHUNK = 10  # days that one worker plays at a time
KEPT = 8  # failing days that are made smaller, side by side
PLAYS = 150  # for each


@dataclass(slots=True)
class Played:
    """Of some days: what was broken by seed, what met, how much there was."""

    days: int = 0
    events: int = 0
    virtual_ms: float = 0.0
    broken: dict[int, list[str]] = field(default_factory=dict)
    failing: dict[int, Day] = field(default_factory=dict)  # a seed alone is no day: it was steered
    coverage: Coverage = field(default_factory=Coverage)
    counts: Counter[str] = field(default_factory=Counter)
    rested: list[float] = field(default_factory=list)  # ms until all was well after the last fault

    def add(self, other: Played) -> None:
        self.days += other.days
        self.events += other.events
        self.virtual_ms += other.virtual_ms
        self.broken |= other.broken
        self.failing |= other.failing
        self.coverage.add(other.coverage)
        self.counts.update(other.counts)
        self.rested += other.rested


def judge(day: Day, away: str = "") -> list[str]:
    """What does not hold; a promise's name stands first."""
    return find_violations(SimulatedCluster(day, away).play(), OVERLAP_MS, CLUSTER_INVARIANTS)


def play(day: Day, away: str = "") -> Played:
    played = Played(days=1)
    town = SimulatedCluster(day, away, played.coverage)
    history = town.play()
    wrong = find_violations(history, OVERLAP_MS, CLUSTER_INVARIANTS)
    if wrong:
        played.broken[day.seed], played.failing[day.seed] = wrong, day
    played.events, played.virtual_ms = town.network.event_count, town.network.now_ms
    counted = ("read", "answer", "run", "killed", "starts", "drains", "left", "buried", "loan", "begins")
    played.counts.update(what for _, what, *_ in history if what in counted)
    played.counts.update({f"change {e[4]}" for e in history if e[1] == "end"})
    played.rested.append(town.network.now_ms - next(e[0] for e in history if e[1] == "quiet"))
    return played


def some(seeds: list[int], away: str, seen: dict[tuple[str, str], int] | None) -> Played:
    found = Played()
    for seed in seeds:
        day = draw(seed, seen)
        try:
            found.add(play(day, away))
        except Exception as err:  # of a package or of the town: such a day fails, the others go on
            wrong = [f"crash: {type(err).__name__}: {err}"]
            found.add(Played(days=1, broken={seed: wrong}, failing={seed: day}))
    return found


def many(count: int, seed: int, away: str = "", steer: bool = True) -> Iterator[tuple[Played, Any]]:
    """All so far and what the last round sought, after each round."""
    whole, seen = Played(), None
    with ProcessPoolExecutor() as pool:
        for first in range(seed, seed + count, ROUND):
            seeds = list(range(first, min(seed + count, first + ROUND)))
            chunks = [seeds[i : i + CHUNK] for i in range(0, len(seeds), CHUNK)]
            for part in pool.map(partial(some, away=away, seen=seen), chunks):
                whole.add(part)
            yield whole, seen
            seen = whole.coverage.pairs() if steer else None


def smaller(day: Day, away: str = "", plays: int = 400) -> tuple[Day, str, int]:
    """The smallest day found in which the same promise is broken, its name, and how many were played."""
    first = names(failure(day, away))
    if not first:
        return day, "", 1
    reduced = Shrinker(day, lambda d: first[0] in names(failure(d, away)), plays)
    return reduced.run(), first[0], reduced.play_count


def failure(day: Day, away: str) -> list[str]:
    try:
        return judge(day, away)
    except Exception as err:
        return [f"crash: {type(err).__name__}: {err}"]


def names(wrong: list[str]) -> list[str]:
    return [text.partition(":")[0] for text in wrong]


def figures(row: Row, whole: Played, began: float) -> None:
    rested = sorted(whole.rested)
    row.runs = whole.days
    row.figures |= {
        "events_millions": round(whole.events / 1e6, 2),
        "events_millions_a_minute": round(whole.events / 1e6 / (time.monotonic() - began) * 60.0, 2),
        "virtual_hours": round(whole.virtual_ms / 3.6e6, 2),
        "pairs_unmet": len(whole.coverage.unmet()),
        "stages_met": len(whole.coverage.stages()),
        "rest_s_median": round(rested[len(rested) // 2] / 1000.0, 1) if rested else 0.0,
        "rest_s_worst": round(rested[-1] / 1000.0, 1) if rested else 0.0,
        **whole.counts,
    }


def experiment(
    count: int, seed: int, away: str = "", minutes: float = 1e9, plays: int = PLAYS
) -> Iterator[tuple[Row, Played]]:
    """Rows as rounds go on; the last one has the failing days, made smaller, in its series."""
    row, began, whole = Row("days"), time.monotonic(), Played()
    for whole, _ in many(count, seed, away):
        figures(row, whole, began)
        if time.monotonic() - began > minutes * 60.0 or (away and whole.broken):
            break
    row.broken = [f"seed {s}: {text}" for s, texts in sorted(whole.broken.items()) for text in texts[:1]]
    kept = sorted(whole.broken)[:KEPT] if not away else sorted(whole.broken)[:1]
    with ProcessPoolExecutor() as pool:
        least = pool.map(partial(smaller, away=away, plays=plays), [whole.failing[s] for s in kept])
        row.series["smallest"] = [
            {"seed": s, "promise": promise, "plays": played, "told": told(day), "day": day}
            for s, (day, promise, played) in zip(kept, least, strict=True)
        ]
    yield row, whole


def without(away: str, most: int, seed: int) -> Row:
    """How many days it takes until the promise that rests on a defence is found broken without it."""
    row = Row(f"without {away}")
    for whole, _ in many(most, seed, away, steer=False):
        row.runs = whole.days
        found = [
            s
            for s, texts in sorted(whole.broken.items())
            if INVARIANT_BY_REMOVED_DEFENCE[away] in names(texts)
        ]
        if found:
            row.figures["found_at"] = found[0] - seed + 1
            row.figures["found_of"] = f"{len(found)} of {whole.days}"
            return row
    row.broken.append(
        f"{INVARIANT_BY_REMOVED_DEFENCE[away]} was not found broken without {away} in {most} days"
    )
    return row
