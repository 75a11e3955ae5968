"""Shrinks a failing scenario by delta debugging, so that a person can read and understand it.

The shrinker removes faults first, then tries fewer servers, a shorter scenario, and shorter, simpler faults.
It plays each candidate, which takes time, so the number of candidates is limited. The result is the last
candidate that still failed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from msgspec.structs import replace

from landingshift.testbed.experiments.scenarios import Fault, Scenario, fault_order

DEFAULT_MAX_PLAYS = 400
MIN_SERVER_COUNT = 2
MIN_VOTER_COUNT = 3
START_ROUNDING_MS = 100.0
"""Start times of faults are rounded down to a multiple of this, if the scenario then still fails."""
TAIL_DURATIONS_MS = (100.0, 2000.0)
"""Times from the end of the last fault to the end of the scenario that are tried for a shorter scenario."""
MIN_SHORTENING_MS = 500.0
MIN_HALVED_DURATION_MS = 400.0
MIN_LOAD_RATIO = 0.3


class Shrinker:
    """Shrinks one failing scenario.

    Attributes:
        scenario: The smallest failing scenario found so far.
        remaining_plays: Number of candidates that can still be played.
        play_count: Number of candidates played so far.
    """

    def __init__(
        self,
        scenario: Scenario,
        fails: Callable[[Scenario], bool],
        max_plays: int = DEFAULT_MAX_PLAYS,
    ) -> None:
        """Prepares to shrink a scenario.

        Args:
            scenario: A scenario that fails.
            fails: Plays a candidate and returns whether it still violates the same invariant.
            max_plays: Greatest number of candidates to play.
        """
        self.scenario = scenario
        self._fails = fails
        self.remaining_plays = max_plays
        self.play_count = 0

    def run(self) -> Scenario:
        """Shrinks until no candidate fails or `max_plays` is reached; returns the smallest failing one."""
        previous_size = -1
        while self.remaining_plays and previous_size != description_size(self.scenario):
            previous_size = description_size(self.scenario)
            self._remove_faults()
            for candidates in (fewer_servers, shorter_scenarios, simpler_faults):
                self._apply_while_failing(candidates)
        return self.scenario

    def _try(self, scenario: Scenario) -> bool:
        """Plays a candidate, keeps it if it fails, and returns whether it failed."""
        if not self.remaining_plays:
            return False
        self.remaining_plays -= 1
        self.play_count += 1
        if not self._fails(scenario):
            return False
        self.scenario = scenario
        return True

    def _remove_faults(self) -> None:
        """Removes faults from the scenario: first halves of them, then smaller parts, then single faults."""
        part_count = 2
        while self.remaining_plays and self.scenario.faults:
            fault_count = len(self.scenario.faults)
            part_size = -(-fault_count // part_count)
            if self._remove_one_part(part_size):
                part_count = max(2, part_count - 1)
            elif part_size == 1:
                return
            else:
                part_count = min(fault_count, part_count * 2)

    def _remove_one_part(self, part_size: int) -> bool:
        """Removes the first part of the faults without which the scenario still fails.

        Returns whether there is such a part.
        """
        faults = self.scenario.faults
        return any(
            self._try(replace(self.scenario, faults=faults[:first] + faults[first + part_size :]))
            for first in range(0, len(faults), part_size)
        )

    def _apply_while_failing(self, candidates: Callable[[Scenario], Iterator[Scenario]]) -> None:
        """Replaces the scenario by the first of its candidates that fails, and repeats until none fails."""
        has_shrunk = True
        while has_shrunk and self.remaining_plays:
            has_shrunk = any(self._try(scenario) for scenario in candidates(self.scenario))


def description_size(scenario: Scenario) -> int:
    """Returns the size of a scenario: the length of a short description of it."""
    faults = [(fault.kind, fault.start_ms, fault.servers, fault.duration_ms) for fault in scenario.faults]
    counts = f"{scenario.server_count} {scenario.voter_count} {scenario.duration_ms:.0f}"
    return len(f"{counts} {faults}")


def fewer_servers(scenario: Scenario) -> Iterator[Scenario]:
    """Yields the scenario without its last server, if no fault affects that server, and with fewer voters."""
    last_affected = max((index for fault in scenario.faults for index in fault.servers), default=-1)
    if scenario.server_count > max(MIN_SERVER_COUNT, last_affected + 1, scenario.voter_count):
        yield replace(scenario, server_count=scenario.server_count - 1)
    if scenario.voter_count > MIN_VOTER_COUNT:
        yield replace(scenario, voter_count=MIN_VOTER_COUNT)


def shorter_scenarios(scenario: Scenario) -> Iterator[Scenario]:
    """Yields the scenario with an earlier end, then with half the duration of each fault in turn."""
    last_end_ms = max((fault.start_ms + fault.duration_ms for fault in scenario.faults), default=0.0)
    for tail_ms in TAIL_DURATIONS_MS:
        if last_end_ms + tail_ms < scenario.duration_ms - MIN_SHORTENING_MS:
            yield replace(scenario, duration_ms=last_end_ms + tail_ms)
    for place, fault in enumerate(scenario.faults):
        if fault.duration_ms > MIN_HALVED_DURATION_MS:
            shorter = replace(fault, duration_ms=round(fault.duration_ms / 2.0))
            yield with_fault(scenario, place, shorter)


def simpler_faults(scenario: Scenario) -> Iterator[Scenario]:
    """Yields simpler variants of the scenario.

    Each fault in turn affects one server less or starts at a rounded time; then all faults start earlier;
    then the load is lower.
    """
    for place, fault in enumerate(scenario.faults):
        if len(fault.servers) > 1:
            for removed in fault.servers:
                servers = tuple(index for index in fault.servers if index != removed)
                yield with_fault(scenario, place, replace(fault, servers=servers))
        if fault.start_ms % START_ROUNDING_MS:
            rounded = replace(fault, start_ms=_round_down(fault.start_ms))
            yield with_fault(scenario, place, rounded)
    first_start_ms = min((fault.start_ms for fault in scenario.faults), default=0.0)
    if first_start_ms >= START_ROUNDING_MS:
        earlier_ms = _round_down(first_start_ms)
        faults = tuple(replace(fault, start_ms=fault.start_ms - earlier_ms) for fault in scenario.faults)
        yield replace(scenario, faults=faults)
    if scenario.load_ratio > MIN_LOAD_RATIO:
        yield replace(scenario, load_ratio=MIN_LOAD_RATIO)


def _round_down(time_ms: float) -> float:
    return time_ms // START_ROUNDING_MS * START_ROUNDING_MS


def with_fault(scenario: Scenario, place: int, fault: Fault) -> Scenario:
    """Returns the scenario with its fault at index `place` replaced, and its faults sorted again."""
    faults = [*scenario.faults[:place], fault, *scenario.faults[place + 1 :]]
    return replace(scenario, faults=tuple(sorted(faults, key=fault_order)))
