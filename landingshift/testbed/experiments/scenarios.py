"""Fault scenarios as data, drawn from a seed: the number of servers, and which faults are injected when.

Each fault begins at a time and ends after a duration, independently of the others. Removing any fault
therefore leaves a valid scenario, which shrinking a failing scenario relies on. Commands of operators are
represented as faults, too.
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
"""Maximum number of faults in a drawn scenario."""
MIN_FAULTS = 4
FAULT_FREE_END_MS = 3000.0
"""Time at the end of a scenario in which no fault begins."""
MAX_SERVER_COUNT = 1000
STEERED_FRACTION = 0.5
"""Fraction of faults whose kind and start are drawn so that a rarely seen pair of kinds overlaps."""
STEERED_SAMPLE_COUNT = 6
"""Number of kinds drawn for a steered fault, which gets the kind that overlapped the other one least."""
MIN_OVERLAP_WINDOW_MS = 300.0
"""A steered fault begins while the other fault lasts, or within this time of its start if that is longer."""
SERVER_COUNTS = (4, 5, 6, 7, 9)
MIN_SERVERS_FOR_FIVE_VOTERS = 7
DURATIONS_MS = (12_000.0, 20_000.0, 30_000.0)
LOAD_RATIOS = (0.3, 0.6, 1.1)
NO_FAULT = "alone"
NO_STAGE = "rest"


class Fault(Struct, frozen=True, array_like=True):
    """A fault or operator command that is injected.

    Attributes:
        start_ms: Start of the fault, since the scenario began.
        kind: Key of `FAULT_KINDS`.
        servers: Indexes of the affected servers.
        duration_ms: Duration of the fault; 0 for an instantaneous one.
        amount: Strength of the fault, in the unit of its kind.
    """

    start_ms: float
    kind: str
    servers: tuple[int, ...]
    duration_ms: float = 0.0
    amount: float = 0.0


class Scenario(Struct, frozen=True):
    """A cluster and the faults that are injected into it. Files have the fields under the names of `field`.

    Attributes:
        seed: Seed of all random draws while the scenario is played.
        server_count: Number of servers.
        voter_count: Number of voters, which are the servers with the lowest indexes.
        duration_ms: Time until all faults are over. Recovery afterwards has extra time.
        stands_aside: Whether servers that are cut off stop serving.
        load_ratio: Ratio of the RPC rate to the rate that all cores together can serve.
        faults: The injected faults in order of `fault_order`.
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
    """Defines how faults of a kind are drawn and described.

    Attributes:
        weight: Probability of drawing the kind, relative to the other kinds.
        description: Format string with the fields `who` (names of the affected servers) and `amount`.
        duration_range_ms: Minimum and maximum duration.
        amounts: Amounts from which one is drawn.
        is_group: Whether a fault affects several servers at once.
    """

    weight: float
    description: str
    duration_range_ms: tuple[float, float] = (0.0, 0.0)
    amounts: tuple[float, ...] = (0.0,)
    is_group: bool = False


FAULT_KINDS: dict[str, FaultKind] = {
    "kill": FaultKind(3.0, "{who} is killed", (300.0, 9000.0)),
    "crash_loop": FaultKind(
        1.0, "{who} crashes each time it is started", (4000.0, 12_000.0), (400.0, 1500.0)
    ),
    "zone": FaultKind(1.0, "the zone of {who} loses power", (2000.0, 6000.0), is_group=True),
    "notice": FaultKind(1.0, "{who} gets a shutdown signal", (500.0, 5000.0)),
    "stop": FaultKind(2.0, "{who} is paused", (200.0, 6000.0)),
    "pause": FaultKind(1.0, "{who} is paused briefly", (100.0, 300.0)),
    "hang": FaultKind(1.0, "the engine of {who} hangs", (500.0, 6000.0)),
    "starved": FaultKind(
        1.0, "{who} reacts {amount:g} ms late on a busy core", (2000.0, 9000.0), (20.0, 60.0)
    ),
    "cut_off": FaultKind(1.5, "{who} is cut off", (500.0, 9000.0)),
    "halves": FaultKind(1.5, "{who} are cut off from the others", (500.0, 9000.0), is_group=True),
    "mute": FaultKind(1.0, "messages from {who} are lost", (500.0, 9000.0)),
    "deaf": FaultKind(1.0, "messages to {who} are lost", (500.0, 9000.0)),
    "flaps": FaultKind(
        0.7, "{who} are cut off every other {amount:g} ms", (2000.0, 9000.0), (150.0, 300.0, 900.0), True
    ),
    "loss": FaultKind(1.0, "{amount:.0%} of all messages are lost", (1000.0, 9000.0), (0.05, 0.1, 0.3)),
    "twice": FaultKind(0.7, "{amount:.0%} of all messages are duplicated", (1000.0, 9000.0), (0.1, 0.5)),
    "delay": FaultKind(1.0, "all messages take {amount:g} ms more", (1000.0, 9000.0), (20.0, 100.0, 400.0)),
    "torn": FaultKind(1.0, "{who} crashes at its next write, before the data is on disk", (300.0, 4000.0)),
    "full": FaultKind(1.0, "the disk of {who} is full", (1000.0, 8000.0)),
    "clock": FaultKind(
        0.7, "the wall clock of {who} steps by {amount:g} ms", (0.0, 0.0), (-3.6e6, -2000.0, 60_000.0)
    ),
    "store_falls": FaultKind(1.0, "calls from other clients overload the database", (0.0, 0.0), (3.0,)),
    "list_down": FaultKind(0.7, "the endpoint list is down", (2000.0, 9000.0)),
    "load": FaultKind(1.0, "the load is {amount:g} times as high", (2000.0, 9000.0), (0.5, 1.5, 2.0)),
    "change": FaultKind(4.0, "a change of policy is proposed to {who}"),
    "wish": FaultKind(3.0, "maintenance of {who} is requested", (0.0, 0.0), (0.02, 0.1), is_group=True),
    "voters": FaultKind(0.7, "{who} is added to the voters or removed from them"),
}
OPERATOR_COMMAND_KINDS = ("change", "wish", "voters")
"""Kinds that represent operators' commands."""
LINK_FAULT_KINDS = ("cut_off", "halves", "mute", "deaf", "flaps", "loss", "delay")


class Coverage:
    """Counts which kinds of faults overlapped, and at which stage of a protocol they began.

    A stage is a step of a policy change, of maintenance or of a cold start, as text.

    Attributes:
        counts: Number of occurrences, by the kind that began, the kind that was active and the stage.
            `NO_FAULT` and `NO_STAGE` stand for "none".
    """

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str, str]] = Counter()

    def record(self, kind: str, others: list[str], stages: list[str]) -> None:
        """Counts a fault that begins.

        Args:
            kind: Kind of the fault.
            others: Kinds of the faults that are active.
            stages: Current stages of the cluster.
        """
        for other in others or [NO_FAULT]:
            for stage in stages or [NO_STAGE]:
                self.counts[kind, other, stage] += 1

    def pair_count(self, kind: str, other: str) -> int:
        """Returns how often two kinds overlapped, whichever began first."""
        pairs = ((kind, other), (other, kind))
        return sum(count for (begun, active, _), count in self.counts.items() if (begun, active) in pairs)

    def pair_counts(self) -> dict[tuple[str, str], int]:
        """Returns how often each pair of kinds overlapped. Keys are pairs as returned by `pair_of`."""
        counts: Counter[tuple[str, str]] = Counter()
        for (kind, other, _), count in self.counts.items():
            if other != NO_FAULT:
                counts[pair_of(kind, other)] += count
        return dict(counts)

    def stage_counts(self) -> dict[tuple[str, str], int]:
        """Returns counts by kind of the fault that began and stage."""
        counts: Counter[tuple[str, str]] = Counter()
        for (kind, _, stage), count in self.counts.items():
            counts[kind, stage] += count
        return dict(counts)

    def unmet_pairs(self) -> list[tuple[str, str]]:
        """Returns all pairs of kinds that have never overlapped."""
        counts = self.pair_counts()
        kinds = sorted(FAULT_KINDS)
        pairs = [(kind, other) for index, kind in enumerate(kinds) for other in kinds[index:]]
        return [pair for pair in pairs if not counts.get(pair)]

    def merge(self, other: Coverage) -> None:
        """Adds the counts of `other`."""
        self.counts.update(other.counts)


def pair_of(kind: str, other: str) -> tuple[str, str]:
    """Returns two kinds in alphabetical order."""
    return min(kind, other), max(kind, other)


def fault_order(fault: Fault) -> tuple[float, str, tuple[int, ...]]:
    """Returns the sort key of a fault within a scenario: start, kind, servers."""
    return fault.start_ms, fault.kind, fault.servers


def draw_scenario(seed: int, pair_counts: dict[tuple[str, str], int] | None = None) -> Scenario:
    """Draws a scenario.

    Args:
        seed: Seed of the scenario. Equal arguments give equal scenarios.
        pair_counts: How often pairs of kinds have overlapped so far. If given, `STEERED_FRACTION` of the
            faults prefer pairs with low counts.
    """
    rng = Random(f"{seed} day")
    server_count = rng.choice(SERVER_COUNTS)
    voter_count = 3 if server_count < MIN_SERVERS_FOR_FIVE_VOTERS else rng.choice((3, 5))
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
    """Draws kind and start of a fault that overlaps one of `faults`, preferring a pair with a low count."""
    other = rng.choice(faults)
    sample = rng.sample(list(FAULT_KINDS), STEERED_SAMPLE_COUNT)
    kind = min(sample, key=lambda name: pair_counts.get(pair_of(name, other.kind), 0))
    window_ms = max(other.duration_ms, MIN_OVERLAP_WINDOW_MS)
    latest_ms = duration_ms - FAULT_FREE_END_MS
    return kind, round(min(latest_ms, other.start_ms + rng.random() * window_ms))


def draw_fault(rng: Random, kind: str, start_ms: float, server_count: int, scenario_ms: float) -> Fault:
    """Draws the servers, duration and amount of a fault, given its kind and start.

    The fault ends by `scenario_ms`, the duration of the scenario.
    """
    fault_kind = FAULT_KINDS[kind]
    max_servers = server_count if kind == "wish" else max(1, server_count // 2)
    affected_count = rng.randint(1, max_servers) if fault_kind.is_group else 1
    servers = tuple(sorted(rng.sample(range(server_count), affected_count)))
    duration_ms = round(min(rng.uniform(*fault_kind.duration_range_ms), scenario_ms - start_ms))
    return Fault(start_ms, kind, servers, duration_ms, rng.choice(fault_kind.amounts))


def blocks_link(
    fault: Fault, affected: Container[object], sender: object, receiver: object, elapsed_ms: float
) -> bool:
    """Returns whether a fault drops all messages from `sender` to `receiver`.

    Args:
        fault: An active fault.
        affected: The affected servers, identified as `sender` and `receiver` are.
        sender: Sender of the messages.
        receiver: Receiver of the messages.
        elapsed_ms: Time since the fault began.
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
    """Returns a readable description of the scenario: a line on the cluster, and a line for each fault."""
    reaction = "stop serving" if scenario.stands_aside else "keep serving"
    lines = [
        f"{scenario.server_count} servers, {scenario.voter_count} voters, {scenario.load_ratio:.0%} load;"
        f" servers that are cut off {reaction}; seed {scenario.seed}"
    ]
    for fault in scenario.faults:
        names = ", ".join(f"n{index}" for index in fault.servers)
        text = FAULT_KINDS[fault.kind].description.format(who=names, amount=fault.amount)
        duration = f", for {fault.duration_ms / 1000.0:.1f} s" if fault.duration_ms else ""
        lines.append(f"{fault.start_ms / 1000.0:6.1f} s  {text}{duration}")
    return lines


def encode_scenario(scenario: Scenario) -> bytes:
    """Returns the scenario as the JSON content of a scenario file."""
    return msgspec.json.format(msgspec.json.encode(scenario), indent=1)


def decode_scenario(data: bytes) -> Scenario:
    """Parses the JSON content of a scenario file.

    Raises:
        InvalidScenarioError: The content is not a valid scenario.
    """
    try:
        scenario = msgspec.json.decode(data, type=Scenario)
    except msgspec.DecodeError as err:
        raise UndecodableScenarioError(str(err)) from err
    for index, fault in enumerate(scenario.faults):
        _validate_fault(scenario, index, fault)
    if not 1 <= scenario.voter_count <= scenario.server_count <= MAX_SERVER_COUNT:
        raise VoterCountError(MAX_SERVER_COUNT)
    return scenario


def _validate_fault(scenario: Scenario, index: int, fault: Fault) -> None:
    if fault.kind not in FAULT_KINDS:
        raise InvalidScenarioError(f"acts[{index}]", f"no such kind: {fault.kind}")
    are_servers_known = all(0 <= server < scenario.server_count for server in fault.servers)
    if not are_servers_known or fault.start_ms < 0.0 or fault.duration_ms < 0.0:
        raise InvalidScenarioError(f"acts[{index}]", "who, at or lasts is out of range")
