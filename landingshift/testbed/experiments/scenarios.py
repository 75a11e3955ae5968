"""A scenario as data: how many servers, and which faults are injected when; drawn from a seed.

Each fault begins at a time and ends after a duration, independently of the others, so that any of them can
be left out and the rest is still a scenario. Shrinking a failing one rests on that. Operators' commands that
come in between are faults of the same form.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container
from dataclasses import dataclass
from random import Random

import msgspec
from msgspec import Struct

from landingshift.testbed.errors import InvalidScenarioError, UndecodableScenarioError, VoterCountError

MAX_FAULTS = 24
"""Of one drawn scenario."""
MIN_FAULTS = 4
FAULT_FREE_END_MS = 3000.0
"""Before the end of a scenario, in which no fault begins."""
MAX_SERVERS_COUNT = 1000
STEERED_FRACTION = 0.5
"""Of faults that are drawn toward a pair of kinds that was seldom seen together."""
STEERED_SAMPLE_COUNT = 6
"""Kinds of which the one least seen beside another is taken."""
MIN_OVERLAP_WINDOW_MS = 300.0
"""After the beginning of a fault, in which a steered one begins beside it."""
SERVER_COUNTS = (4, 5, 6, 7, 9)
MIN_SERVERS_FOR_FIVE_VOTERS_COUNT = 7
DURATIONS_MS = (12_000.0, 20_000.0, 30_000.0)
LOAD_RATIOS = (0.3, 0.6, 1.1)
NO_FAULT = "alone"
NO_STAGE = "rest"


class Fault(Struct, frozen=True, array_like=True):
    """What is injected.

    Attributes:
        start_ms: Since the scenario began.
        kind: A key of `FAULT_KINDS`.
        servers: Numbers of the servers that it is done to.
        duration_ms: How long it lasts; 0 for what is done at once.
        amount: In the unit of its kind.
    """

    start_ms: float
    kind: str
    servers: tuple[int, ...]
    duration_ms: float = 0.0
    amount: float = 0.0


class Scenario(Struct, frozen=True):
    """What is played; files have the fields under the names of `field`.

    Attributes:
        seed: Of all that is drawn while it is played.
        server_count: How many servers there are.
        voter_count: The first of them vote.
        duration_ms: Until all faults are over; what must settle afterwards has further time.
        stands_aside: Whether servers that are cut off stop serving.
        load_ratio: RPCs that come over what all cores together can serve.
        faults: What is injected, by time.
    """

    seed: int
    server_count: int = msgspec.field(name="servers")
    voter_count: int = msgspec.field(name="voters")
    duration_ms: float = msgspec.field(name="ms")
    stands_aside: bool = msgspec.field(name="aside")
    load_ratio: float = msgspec.field(name="load")
    faults: tuple[Fault, ...] = msgspec.field(name="acts")


@dataclass(frozen=True, slots=True)
class FaultKind:
    """How faults of a kind are drawn and described.

    Attributes:
        weight: How often it is drawn, relative to the others.
        description: A template with `who` and `amount`.
        duration_range_ms: The least and the most.
        amounts: Of which one is drawn.
        is_group: Whether it is done to several servers together.
    """

    weight: float
    description: str
    duration_range_ms: tuple[float, float] = (0.0, 0.0)
    amounts: tuple[float, ...] = (0.0,)
    is_group: bool = False


FAULT_KINDS: dict[str, FaultKind] = {
    "kill": FaultKind(3.0, "{who} is killed", (300.0, 9000.0)),
    "crash_loop": FaultKind(
        1.0, "{who} crashes as often as it is started", (4000.0, 12_000.0), (400.0, 1500.0)
    ),
    "zone": FaultKind(1.0, "the zone of {who} loses its power", (2000.0, 6000.0), is_group=True),
    "notice": FaultKind(1.0, "{who} gets a notice from outside", (500.0, 5000.0)),
    "stop": FaultKind(2.0, "{who} stands still", (200.0, 6000.0)),
    "pause": FaultKind(1.0, "{who} stands still for a moment", (100.0, 300.0)),
    "hang": FaultKind(1.0, "the engine of {who} hangs", (500.0, 6000.0)),
    "starved": FaultKind(
        1.0, "{who} is {amount:g} ms late, its core is full", (2000.0, 9000.0), (20.0, 60.0)
    ),
    "cut_off": FaultKind(1.5, "{who} is cut off", (500.0, 9000.0)),
    "halves": FaultKind(1.5, "{who} are cut off from the others", (500.0, 9000.0), is_group=True),
    "mute": FaultKind(1.0, "nobody hears {who}, who hears all", (500.0, 9000.0)),
    "deaf": FaultKind(1.0, "{who} hears nobody", (500.0, 9000.0)),
    "flaps": FaultKind(
        0.7, "{who} are cut off each other {amount:g} ms", (2000.0, 9000.0), (150.0, 300.0, 900.0), True
    ),
    "loss": FaultKind(1.0, "{amount:.0%} of all messages are lost", (1000.0, 9000.0), (0.05, 0.1, 0.3)),
    "twice": FaultKind(0.7, "{amount:.0%} of all messages come twice", (1000.0, 9000.0), (0.1, 0.5)),
    "delay": FaultKind(1.0, "all messages take {amount:g} ms more", (1000.0, 9000.0), (20.0, 100.0, 400.0)),
    "torn": FaultKind(1.0, "{who} dies at its next write, before it is on disk", (300.0, 4000.0)),
    "full": FaultKind(1.0, "the disk of {who} is full", (1000.0, 8000.0)),
    "clock": FaultKind(
        0.7, "{who} sets its wall clock by {amount:g} ms", (0.0, 0.0), (-3.6e6, -2000.0, 60_000.0)
    ),
    "store_falls": FaultKind(1.0, "a crowd from elsewhere comes over the store", (0.0, 0.0), (3.0,)),
    "list_down": FaultKind(0.7, "the list service is down", (2000.0, 9000.0)),
    "load": FaultKind(1.0, "{amount:g} times as much comes", (2000.0, 9000.0), (0.5, 1.5, 2.0)),
    "change": FaultKind(4.0, "a change of policy is proposed to {who}"),
    "wish": FaultKind(3.0, "{who} are wanted for work", (0.0, 0.0), (0.02, 0.1), is_group=True),
    "voters": FaultKind(0.7, "{who} is made a voter, or is none any more"),
}
OPERATOR_COMMAND_KINDS = ("change", "wish", "voters")
"""What operators ask for; no faults."""
LINK_FAULT_KINDS = ("cut_off", "halves", "mute", "deaf", "flaps", "loss", "delay")


class Coverage:
    """Which kinds have begun while others were under way, and at which stage of which plan.

    Attributes:
        counts: How often, by the kind that began, the one under way and the stage.
    """

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str, str]] = Counter()

    def record(self, kind: str, others: list[str], stages: list[str]) -> None:
        """Counts a fault that begins."""
        for other in others or [NO_FAULT]:
            for stage in stages or [NO_STAGE]:
                self.counts[kind, other, stage] += 1

    def pair_count(self, kind: str, other: str) -> int:
        """Returns how often two kinds overlapped, whichever began first."""
        pairs = ((kind, other), (other, kind))
        return sum(
            count for (begun, under_way, _), count in self.counts.items() if (begun, under_way) in pairs
        )

    def pair_counts(self) -> dict[tuple[str, str], int]:
        """Returns how often each pair of kinds overlapped; the names of a pair are in order."""
        found: Counter[tuple[str, str]] = Counter()
        for (kind, other, _), count in self.counts.items():
            if other != NO_FAULT:
                found[pair_of(kind, other)] += count
        return dict(found)

    def stage_counts(self) -> dict[tuple[str, str], int]:
        """Returns how often each kind began at each stage."""
        found: Counter[tuple[str, str]] = Counter()
        for (kind, _, stage), count in self.counts.items():
            found[kind, stage] += count
        return dict(found)

    def unmet_pairs(self) -> list[tuple[str, str]]:
        """Returns pairs of kinds that have never overlapped."""
        counts = self.pair_counts()
        kinds = sorted(FAULT_KINDS)
        pairs = [(kind, other) for index, kind in enumerate(kinds) for other in kinds[index:]]
        return [pair for pair in pairs if not counts.get(pair)]

    def merge(self, other: Coverage) -> None:
        """Adds what another one counted."""
        self.counts.update(other.counts)


def pair_of(kind: str, other: str) -> tuple[str, str]:
    """Returns two kinds in order."""
    return min(kind, other), max(kind, other)


def fault_order(fault: Fault) -> tuple[float, str, tuple[int, ...]]:
    """Returns the key that the faults of a scenario are sorted by."""
    return fault.start_ms, fault.kind, fault.servers


def draw_scenario(seed: int, pair_counts: dict[tuple[str, str], int] | None = None) -> Scenario:
    """Draws the scenario of a seed.

    Args:
        seed: The same one draws the same scenario.
        pair_counts: How often pairs of kinds have overlapped; those that seldom did are preferred.
    """
    rng = Random(f"{seed} day")
    server_count = rng.choice(SERVER_COUNTS)
    voter_count = 3 if server_count < MIN_SERVERS_FOR_FIVE_VOTERS_COUNT else rng.choice((3, 5))
    duration_ms = rng.choice(DURATIONS_MS)
    kinds = list(FAULT_KINDS)
    weights = [kind.weight for kind in FAULT_KINDS.values()]
    faults: list[Fault] = []
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        kind = rng.choices(kinds, weights)[0]
        start_ms = round(rng.uniform(0.0, duration_ms - FAULT_FREE_END_MS))
        if pair_counts is not None and faults and rng.random() < STEERED_FRACTION:
            kind, start_ms = _draw_rare_overlap(rng, faults, pair_counts, duration_ms)
        faults.append(draw_fault(rng, kind, start_ms, server_count, duration_ms))
    faults.sort(key=fault_order)
    stands_aside = rng.random() < 0.5
    load_ratio = rng.choice(LOAD_RATIOS)
    return Scenario(seed, server_count, voter_count, duration_ms, stands_aside, load_ratio, tuple(faults))


def _draw_rare_overlap(
    rng: Random, faults: list[Fault], pair_counts: dict[tuple[str, str], int], duration_ms: float
) -> tuple[str, int]:
    """Draws a kind that was seldom seen beside one that is under way, and when it begins."""
    beside = rng.choice(faults)
    sample = rng.sample(list(FAULT_KINDS), STEERED_SAMPLE_COUNT)
    kind = min(sample, key=lambda name: pair_counts.get(pair_of(name, beside.kind), 0))
    window_ms = max(beside.duration_ms, MIN_OVERLAP_WINDOW_MS)
    latest_ms = duration_ms - FAULT_FREE_END_MS
    return kind, round(min(latest_ms, beside.start_ms + rng.random() * window_ms))


def draw_fault(rng: Random, kind: str, start_ms: float, server_count: int, scenario_ms: float) -> Fault:
    """Draws servers, duration and amount of a fault."""
    fault_kind = FAULT_KINDS[kind]
    max_servers = server_count if kind == "wish" else max(1, server_count // 2)
    affected_count = rng.randint(1, max_servers) if fault_kind.is_group else 1
    servers = tuple(sorted(rng.sample(range(server_count), affected_count)))
    duration_ms = round(min(rng.uniform(*fault_kind.duration_range_ms), scenario_ms - start_ms))
    return Fault(start_ms, kind, servers, duration_ms, rng.choice(fault_kind.amounts))


def blocks_link(
    fault: Fault, affected: Container[object], sender: object, receiver: object, elapsed_ms: float
) -> bool:
    """Returns whether a fault keeps what `sender` sends from `receiver`.

    Args:
        fault: One that is under way.
        affected: Those it is done to.
        sender: Who sends.
        receiver: To whom.
        elapsed_ms: Since the fault began.
    """
    match fault.kind:
        case "cut_off" | "halves":
            return (sender in affected) != (receiver in affected)
        case "mute":
            return sender in affected
        case "deaf":
            return receiver in affected
        case "flaps":
            is_cut = int(elapsed_ms / fault.amount) % 2 == 0
            return is_cut and (sender in affected) != (receiver in affected)
    return False


def describe_scenario(scenario: Scenario) -> list[str]:
    """Returns the scenario as an incident would be written up, line by line."""
    reaction = "stand aside" if scenario.stands_aside else "serve on"
    lines = [
        f"{scenario.server_count} servers, {scenario.voter_count} voters, {scenario.load_ratio:.0%} load;"
        f" who is cut off is to {reaction}; seed {scenario.seed}"
    ]
    for fault in scenario.faults:
        names = ", ".join(f"n{index}" for index in fault.servers)
        text = FAULT_KINDS[fault.kind].description.format(who=names, amount=fault.amount)
        duration = f", for {fault.duration_ms / 1000.0:.1f} s" if fault.duration_ms else ""
        lines.append(f"{fault.start_ms / 1000.0:6.1f} s  {text}{duration}")
    return lines


def encode_scenario(scenario: Scenario) -> bytes:
    """Returns the scenario as a file."""
    return msgspec.json.format(msgspec.json.encode(scenario), indent=1)


def decode_scenario(data: bytes) -> Scenario:
    """Reads a scenario from a file.

    Raises:
        InvalidScenarioError: Says what is wrong.
    """
    try:
        scenario = msgspec.json.decode(data, type=Scenario)
    except msgspec.DecodeError as err:
        raise UndecodableScenarioError(str(err)) from err
    for index, fault in enumerate(scenario.faults):
        _validate_fault(scenario, index, fault)
    if not 1 <= scenario.voter_count <= scenario.server_count <= MAX_SERVERS_COUNT:
        raise VoterCountError(MAX_SERVERS_COUNT)
    return scenario


def _validate_fault(scenario: Scenario, index: int, fault: Fault) -> None:
    if fault.kind not in FAULT_KINDS:
        raise InvalidScenarioError(f"acts[{index}]", f"no such kind: {fault.kind}")
    are_servers_known = all(0 <= server < scenario.server_count for server in fault.servers)
    if not are_servers_known or fault.start_ms < 0.0 or fault.duration_ms < 0.0:
        raise InvalidScenarioError(f"acts[{index}]", "who, at or lasts is out of range")
