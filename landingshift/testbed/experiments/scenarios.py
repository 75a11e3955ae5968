"""A day as data: which servers, and what is done to them when. Drawn from a seed, told as an incident.

Each act begins at a time and is over after another, so that any of them can be left out and the rest is still
a day: what makes a failing one small enough to read rests on that.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container
from random import Random

import msgspec
from msgspec import Struct


class Act(Struct, frozen=True, array_like=True):
    """`at` and `lasts` in ms; `who` are servers' numbers; `amount` as the kind has it."""

    at: float
    kind: str
    who: tuple[int, ...]
    lasts: float = 0.0
    amount: float = 0.0


class Day(Struct, frozen=True):
    """`ms` until all that was done is over; what must settle after that has time to. `aside`: who is cut off
    stands aside. `load`: RPCs that come over what all cores together can do."""

    seed: int
    servers: int
    voters: int
    ms: float
    aside: bool
    load: float
    acts: tuple[Act, ...]


class Kind(Struct, frozen=True):
    """How often it is drawn, how it is told, how long it may last (least, most), how much it may be."""

    weight: float
    words: str
    lasts: tuple[float, float] = (0.0, 0.0)
    amounts: tuple[float, ...] = (0.0,)
    many: bool = False  # done to some of them together, not to one


KINDS: dict[str, Kind] = {
    "kill": Kind(3.0, "{who} is killed", (300.0, 9000.0)),
    "crash_loop": Kind(1.0, "{who} crashes as often as it is started", (4000.0, 12_000.0), (400.0, 1500.0)),
    "zone": Kind(1.0, "the zone of {who} loses its power", (2000.0, 6000.0), many=True),
    "notice": Kind(1.0, "{who} gets a notice from outside", (500.0, 5000.0)),
    "stop": Kind(2.0, "{who} stands still", (200.0, 6000.0)),
    "pause": Kind(1.0, "{who} stands still for a moment", (100.0, 300.0)),
    "hang": Kind(1.0, "the engine of {who} hangs", (500.0, 6000.0)),
    "starved": Kind(1.0, "{who} is {amount:g} ms late, its core is full", (2000.0, 9000.0), (20.0, 60.0)),
    "cut_off": Kind(1.5, "{who} is cut off", (500.0, 9000.0)),
    "halves": Kind(1.5, "{who} are cut off from the others", (500.0, 9000.0), many=True),
    "mute": Kind(1.0, "nobody hears {who}, who hears all", (500.0, 9000.0)),
    "deaf": Kind(1.0, "{who} hears nobody", (500.0, 9000.0)),
    "flaps": Kind(
        0.7, "{who} are cut off each other {amount:g} ms", (2000.0, 9000.0), (150.0, 300.0, 900.0), True
    ),
    "loss": Kind(1.0, "{amount:.0%} of all messages are lost", (1000.0, 9000.0), (0.05, 0.1, 0.3)),
    "twice": Kind(0.7, "{amount:.0%} of all messages come twice", (1000.0, 9000.0), (0.1, 0.5)),
    "delay": Kind(1.0, "all messages take {amount:g} ms more", (1000.0, 9000.0), (20.0, 100.0, 400.0)),
    "torn": Kind(1.0, "{who} dies at its next write, before it is on disk", (300.0, 4000.0)),
    "full": Kind(1.0, "the disk of {who} is full", (1000.0, 8000.0)),
    "clock": Kind(0.7, "{who} sets its wall clock by {amount:g} ms", (0.0, 0.0), (-3.6e6, -2000.0, 60_000.0)),
    "store_falls": Kind(1.0, "a crowd from elsewhere comes over the store", (0.0, 0.0), (3.0,)),
    "list_down": Kind(0.7, "the list service is down", (2000.0, 9000.0)),
    "load": Kind(1.0, "{amount:g} times as much comes", (2000.0, 9000.0), (0.5, 1.5, 2.0)),
    "change": Kind(4.0, "a change of policy is proposed to {who}"),
    "wish": Kind(3.0, "{who} are wanted for work", (0.0, 0.0), (0.02, 0.1), many=True),
    "voters": Kind(0.7, "{who} is made a voter, or is none any more"),
}
ERRANDS = ("change", "wish", "voters")  # what operators ask for: no fault
BETWEEN = ("cut_off", "halves", "mute", "deaf", "flaps", "loss", "delay")  # faults of links
MOST = 24  # acts of one day
END = 3000.0  # ms before its end after which nothing begins


class Coverage:
    """Which kinds have begun while which others were under way, and at which stage of which plan."""

    def __init__(self) -> None:
        self.met: Counter[tuple[str, str, str]] = Counter()

    def begin(self, kind: str, others: list[str], stages: list[str]) -> None:
        for other in others or ["alone"]:
            for stage in stages or ["rest"]:
                self.met[kind, other, stage] += 1

    def of(self, kind: str, other: str) -> int:
        return sum(n for (a, b, _), n in self.met.items() if (a, b) in ((kind, other), (other, kind)))

    def pairs(self) -> dict[tuple[str, str], int]:
        found: Counter[tuple[str, str]] = Counter()
        for (kind, other, _), count in self.met.items():
            if other != "alone":
                found[min(kind, other), max(kind, other)] += count
        return dict(found)

    def stages(self) -> dict[tuple[str, str], int]:
        """How often each kind began at each stage."""
        found: Counter[tuple[str, str]] = Counter()
        for (kind, _, stage), count in self.met.items():
            found[kind, stage] += count
        return dict(found)

    def unmet(self) -> list[tuple[str, str]]:
        pairs, names = self.pairs(), sorted(KINDS)
        return [(a, b) for i, a in enumerate(names) for b in names[i:] if not pairs.get((a, b))]

    def add(self, other: Coverage) -> None:
        self.met.update(other.met)


def draw(seed: int, seen: dict[tuple[str, str], int] | None = None) -> Day:
    """The day of a seed. `seen`: pairs of kinds and how often they met; those that met seldom are sought."""
    chance = Random(f"{seed} day")
    servers = chance.choice((4, 5, 6, 7, 9))
    voters = 3 if servers < 7 else chance.choice((3, 5))
    ms = chance.choice((12_000.0, 20_000.0, 30_000.0))
    names = list(KINDS)
    weights = [KINDS[name].weight for name in names]
    acts: list[Act] = []
    for _ in range(chance.randint(4, MOST)):
        kind = chance.choices(names, weights)[0]
        at = round(chance.uniform(0.0, ms - END))
        if seen is not None and acts and chance.random() < 0.5:
            # Toward what has not met yet: a kind seldom seen beside one that is under way then.
            beside = chance.choice(acts)
            kind = min(
                chance.sample(names, 6),
                key=lambda name: seen.get((min(name, beside.kind), max(name, beside.kind)), 0),
            )
            at = round(min(ms - END, beside.at + chance.random() * max(beside.lasts, 300.0)))
        acts.append(act(chance, kind, at, servers, ms))
    acts.sort(key=lambda a: (a.at, a.kind, a.who))
    return Day(seed, servers, voters, ms, chance.random() < 0.5, chance.choice((0.3, 0.6, 1.1)), tuple(acts))


def act(chance: Random, kind: str, at: float, servers: int, ms: float) -> Act:
    how = KINDS[kind]
    most = servers if kind == "wish" else max(1, servers // 2)
    count = chance.randint(1, most) if how.many else 1
    who = tuple(sorted(chance.sample(range(servers), count)))
    lasts = round(min(chance.uniform(*how.lasts), ms - at))
    return Act(at, kind, who, lasts, chance.choice(how.amounts))


def cuts(one: Act, side: Container[object], a: object, b: object, since: float) -> bool:
    """Whether it keeps what `a` sends from `b`; `side`: those it is done to, `since` ms under way."""
    match one.kind:
        case "cut_off" | "halves":
            return (a in side) != (b in side)
        case "mute":
            return a in side
        case "deaf":
            return b in side
        case "flaps":
            return int(since / one.amount) % 2 == 0 and (a in side) != (b in side)
    return False


def told(day: Day) -> list[str]:
    """The day as it would be written up."""
    how = "stand aside" if day.aside else "serve on"
    lines = [
        f"{day.servers} servers, {day.voters} voters, {day.load:.0%} load; who is cut off is to {how};"
        f" seed {day.seed}"
    ]
    for a in day.acts:
        text = KINDS[a.kind].words.format(who=", ".join(f"n{i}" for i in a.who), amount=a.amount)
        lasts = f", for {a.lasts / 1000.0:.1f} s" if a.lasts else ""
        lines.append(f"{a.at / 1000.0:6.1f} s  {text}{lasts}")
    return lines


def written(day: Day) -> bytes:
    return msgspec.json.format(msgspec.json.encode(day), indent=1)


def read(data: bytes) -> Day:
    """Raises ValueError that says what is wrong."""
    try:
        day = msgspec.json.decode(data, type=Day)
    except msgspec.DecodeError as err:
        raise ValueError(f"not a day: {err}") from err
    for i, a in enumerate(day.acts):
        if a.kind not in KINDS:
            raise ValueError(f"acts[{i}]: no such kind: {a.kind}")
        if not all(0 <= w < day.servers for w in a.who) or a.at < 0.0 or a.lasts < 0.0:
            raise ValueError(f"acts[{i}]: who, at or lasts is out of range")
    if not 1 <= day.voters <= day.servers <= 1000:
        raise ValueError("servers, voters: 1 <= voters <= servers <= 1000 is expected")
    return day
