"""Explores all states of a small model that a bounded number of steps can reach, breadth first."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol, TypeVar

State = TypeVar("State")


class Action(StrEnum):
    """Kinds of steps of a model; the values are written in traces."""

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
    """One step from a state of a model to another.

    Attributes:
        action: Kind of the step.
        target: Index of a message, name of a server, or None, depending on the action.
    """

    action: Action
    target: int | str | None = None

    def trace_entry(self) -> tuple[int | str, ...]:
        """Returns the step as a tuple for a trace: action, and target if it has one."""
        return (self.action.value,) if self.target is None else (self.action.value, self.target)


class Model(Protocol[State]):
    """A model whose states can be explored."""

    def initial_state(self) -> State:
        """Returns the state in which the exploration begins."""

    def steps(self, state: State) -> list[Step]:
        """Returns all steps that are possible in a state."""

    def apply(self, state: State, step: Step) -> State:
        """Returns the state after a step, and leaves the given state unchanged."""

    def check(self, state: State) -> str:
        """Returns a description of the violation in a state, or "" if there is none."""

    def key(self, state: State) -> Hashable:
        """Returns a key that is equal for states from which the model behaves in the same way.

        Must be called after `check`, which can update the state.
        """


@dataclass(slots=True)
class Exploration:
    """Result of an exploration.

    Attributes:
        state_count: Number of states visited, where states with the same key count once.
        depth_reached: Greatest number of steps from the initial state that was explored.
        violation: The first violation found and the steps that lead to it; "" for none.
    """

    state_count: int = 0
    depth_reached: int = 0
    violation: str = ""


def explore(model: Model[State], max_depth: int, max_state_count: int) -> Exploration:
    """Explores all states that can be reached in at most `max_depth` steps.

    Stops early at the first violation or after `max_state_count` states.
    """
    result = Exploration()
    initial_state = model.initial_state()
    seen = {model.key(initial_state)}
    frontier: list[tuple[State, tuple[Step, ...]]] = [(initial_state, ())]
    for depth in range(1, max_depth + 1):
        result.depth_reached = depth
        next_frontier = []
        for state, trace in frontier:
            for step in model.steps(state):
                next_state = model.apply(state, step)
                violation = model.check(next_state)
                key = model.key(next_state)
                if key in seen:
                    continue
                seen.add(key)
                result.state_count = len(seen)
                if violation:
                    result.violation = f"{violation}, by {[taken.trace_entry() for taken in (*trace, step)]}"
                    return result
                next_frontier.append((next_state, (*trace, step)))
                if result.state_count >= max_state_count:
                    return result
        frontier = next_frontier
    return result
