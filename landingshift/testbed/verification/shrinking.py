"""Shrinks a failing scenario until it is small enough to read (delta debugging).

Faults are left out, shortened and done to fewer servers; then come fewer servers and a shorter scenario.
Each trial plays a scenario, so that their number is bounded; when it runs out, the smallest one that still
fails counts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from msgspec.structs import replace

from landingshift.testbed.experiments.scenarios import Fault, Scenario, fault_order

DEFAULT_MAX_PLAYS = 400
MIN_SERVER_COUNT = 2
MIN_VOTER_COUNT = 3
TIME_GRID_MS = 100.0
"""Beginnings are rounded to it where that makes no difference."""
REMAINDERS_MS = (100.0, 2000.0)
"""After the last fault, that a shorter scenario may have."""
MIN_SHORTENING_MS = 500.0
MIN_HALVED_DURATION_MS = 400.0
MIN_LOAD_RATIO = 0.3


class Shrinker:
    """Shrinks one scenario.

    Attributes:
        scenario: The smallest one found that fails.
        remaining_plays: How many more may be tried.
        play_count: How many were tried.
    """

    def __init__(
        self,
        scenario: Scenario,
        fails: Callable[[Scenario], bool],
        max_plays: int = DEFAULT_MAX_PLAYS,
    ) -> None:
        """Starts from a scenario that fails.

        Args:
            scenario: The scenario.
            fails: Plays a scenario and says whether the same invariant is still violated.
            max_plays: How many scenarios may be tried.
        """
        self.scenario = scenario
        self._fails = fails
        self.remaining_plays = max_plays
        self.play_count = 0

    def run(self) -> Scenario:
        """Shrinks until nothing can be left out; returns the smallest scenario."""
        previous_size = -1
        while self.remaining_plays and previous_size != description_size(self.scenario):
            previous_size = description_size(self.scenario)
            self._leave_out_faults()
            for candidates in (fewer_servers, shorter_scenarios, simpler_faults):
                self._take_while_failing(candidates)
        return self.scenario

    def _try(self, scenario: Scenario) -> bool:
        """Plays a scenario, and keeps it where it still fails."""
        if not self.remaining_plays:
            return False
        self.remaining_plays -= 1
        self.play_count += 1
        if not self._fails(scenario):
            return False
        self.scenario = scenario
        return True

    def _leave_out_faults(self) -> None:
        """Leaves out halves, then quarters, then single faults."""
        part_count = 2
        while self.remaining_plays and self.scenario.faults:
            fault_count = len(self.scenario.faults)
            part_size = -(-fault_count // part_count)
            if self._leave_out_one_part(part_size):
                part_count = max(2, part_count - 1)
            elif part_size == 1:
                return
            else:
                part_count = min(fault_count, part_count * 2)

    def _leave_out_one_part(self, part_size: int) -> bool:
        """Leaves out the first part without which the scenario still fails."""
        faults = self.scenario.faults
        return any(
            self._try(replace(self.scenario, faults=faults[:first] + faults[first + part_size :]))
            for first in range(0, len(faults), part_size)
        )

    def _take_while_failing(self, candidates: Callable[[Scenario], Iterator[Scenario]]) -> None:
        """Goes on from a candidate that still fails, until none of them does."""
        is_smaller = True
        while is_smaller and self.remaining_plays:
            is_smaller = any(self._try(scenario) for scenario in candidates(self.scenario))


def description_size(scenario: Scenario) -> int:
    """Returns the length of a short description, which shrinks with the scenario."""
    faults = [(fault.kind, fault.start_ms, fault.servers, fault.duration_ms) for fault in scenario.faults]
    counts = f"{scenario.server_count} {scenario.voter_count} {scenario.duration_ms:.0f}"
    return len(f"{counts} {faults}")


def fewer_servers(scenario: Scenario) -> Iterator[Scenario]:
    """Yields the scenario without its last server, where nothing is done to it, and with fewer voters."""
    last_affected = max((index for fault in scenario.faults for index in fault.servers), default=-1)
    if scenario.server_count > max(MIN_SERVER_COUNT, last_affected + 1, scenario.voter_count):
        yield replace(scenario, server_count=scenario.server_count - 1)
    if scenario.voter_count > MIN_VOTER_COUNT:
        yield replace(scenario, voter_count=MIN_VOTER_COUNT)


def shorter_scenarios(scenario: Scenario) -> Iterator[Scenario]:
    """Yields the scenario with an earlier end, and with each fault lasting half as long."""
    last_end_ms = max((fault.start_ms + fault.duration_ms for fault in scenario.faults), default=0.0)
    for remainder_ms in REMAINDERS_MS:
        if last_end_ms + remainder_ms < scenario.duration_ms - MIN_SHORTENING_MS:
            yield replace(scenario, duration_ms=last_end_ms + remainder_ms)
    for place, fault in enumerate(scenario.faults):
        if fault.duration_ms > MIN_HALVED_DURATION_MS:
            shorter = replace(fault, duration_ms=round(fault.duration_ms / 2.0))
            yield with_fault(scenario, place, shorter)


def simpler_faults(scenario: Scenario) -> Iterator[Scenario]:
    """Yields the scenario with a server less in a fault, rounded times, an earlier start or less load."""
    for place, fault in enumerate(scenario.faults):
        if len(fault.servers) > 1:
            for left_out in fault.servers:
                servers = tuple(index for index in fault.servers if index != left_out)
                yield with_fault(scenario, place, replace(fault, servers=servers))
        if fault.start_ms % TIME_GRID_MS:
            rounded = replace(fault, start_ms=_on_grid(fault.start_ms))
            yield with_fault(scenario, place, rounded)
    first_start_ms = min((fault.start_ms for fault in scenario.faults), default=0.0)
    if first_start_ms >= TIME_GRID_MS:
        earlier_ms = _on_grid(first_start_ms)
        faults = tuple(replace(fault, start_ms=fault.start_ms - earlier_ms) for fault in scenario.faults)
        yield replace(scenario, faults=faults)
    if scenario.load_ratio > MIN_LOAD_RATIO:
        yield replace(scenario, load_ratio=MIN_LOAD_RATIO)


def _on_grid(time_ms: float) -> float:
    return time_ms // TIME_GRID_MS * TIME_GRID_MS


def with_fault(scenario: Scenario, place: int, fault: Fault) -> Scenario:
    """Returns the scenario with another fault in a place."""
    faults = [*scenario.faults[:place], fault, *scenario.faults[place + 1 :]]
    return replace(scenario, faults=tuple(sorted(faults, key=fault_order)))
