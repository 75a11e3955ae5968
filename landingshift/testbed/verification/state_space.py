"""Bounded exhaustive exploration of a small model: all orders of its steps, breadth first."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol, TypeVar

State = TypeVar("State")


class Action(StrEnum):
    """What may happen in a model; the values are the words of traces."""

    DELIVER = "deliver"
    LOSE = "lose"
    DUPLICATE = "double"
    ASK = "ask"
    PASS_TIME = "pass"
    KILL = "kill"
    RESTART_GRANTOR = "lender"
    RESTART_HOLDER = "holder"


@dataclass(frozen=True, slots=True)
class Step:
    """What may happen next.

    Attributes:
        action: What it is.
        target: The index of a message, or the name of a server; None where the action has none.
    """

    action: Action
    target: int | str | None = None

    def words(self) -> tuple[int | str, ...]:
        """Returns the step as traces show it."""
        return (self.action.value,) if self.target is None else (self.action.value, self.target)


class Model(Protocol[State]):
    """What is explored. `apply` makes a new state; the old one stays as it is."""

    def initial_state(self) -> State:
        """Returns the state from which all steps begin."""

    def steps(self, state: State) -> list[Step]:
        """Returns all that may happen next."""

    def apply(self, state: State, step: Step) -> State:
        """Returns the state after a step."""

    def check(self, state: State) -> str:
        """Returns the violation in a state; "" for none."""

    def key(self, state: State) -> Hashable:
        """Returns what tells a state from others, after `check`."""


@dataclass(slots=True)
class Exploration:
    """What was found.

    Attributes:
        state_count: Different states seen.
        depth_reached: Steps from the initial state.
        violation: The first one found, with the steps that lead to it; "" for none.
    """

    state_count: int = 0
    depth_reached: int = 0
    violation: str = ""


def explore(model: Model[State], max_depth: int, max_state_count: int) -> Exploration:
    """Explores all states up to a depth; ends at the first violation or after so many states."""
    found = Exploration()
    initial_state = model.initial_state()
    seen = {model.key(initial_state)}
    frontier: list[tuple[State, tuple[Step, ...]]] = [(initial_state, ())]
    for depth in range(1, max_depth + 1):
        found.depth_reached = depth
        next_frontier = []
        for state, trace in frontier:
            for step in model.steps(state):
                next_state = model.apply(state, step)
                violation = model.check(next_state)
                key = model.key(next_state)
                if key in seen:
                    continue
                seen.add(key)
                found.state_count = len(seen)
                if violation:
                    found.violation = f"{violation}, by {[taken.words() for taken in (*trace, step)]}"
                    return found
                next_frontier.append((next_state, (*trace, step)))
                if found.state_count >= max_state_count:
                    return found
        frontier = next_frontier
    return found
