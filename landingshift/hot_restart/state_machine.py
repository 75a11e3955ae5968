"""The state machine of a hot restart. It runs in the old process, maps events to actions and does no I/O.

The old process serves in all states before `FROZEN` and after a rollback. The new process serves from
`PROBATION` on. In `FROZEN` and `TRANSFERRED` neither serves: nothing is read from the sockets, so nothing can
be lost. The new process follows the old one's commands and reports the results.

Guarantee: the two processes never read the sockets at the same time. A rollback is possible until
`COMPLETED`, because the old process keeps its descriptors and the request journal records what the new
process did.
Failure mode: if the new process hangs, the old one rolls back after the timeout of the current state. In
`FROZEN` and `TRANSFERRED` no process serves until then.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

MAX_PROBATION_FACTOR = 4.0  # maximum duration of probation, as a multiple of `probation_ms`


class RestartState(Enum):
    """The state of a hot restart."""

    IDLE = "idle"
    STARTING = "starting"
    """The new process loads, validates its settings and allocates its resources."""
    REHEARSING = "rehearsing"
    """The new process imports a copy of the state as a trial."""
    FROZEN = "frozen"
    """The old process has stopped reading, answering and making decisions; it sends its state."""
    TRANSFERRED = "transferred"
    """The new process has received the descriptors and the state, and imports them."""
    PROBATION = "probation"
    """The new process serves; the old process watches the request journal."""
    COMPLETED = "completed"
    """The new process has passed probation; the old process may exit."""
    ROLLED_BACK = "rolled_back"
    """The old process serves again."""


class RestartEvent(Enum):
    """An input of the state machine."""

    REQUESTED = "requested"
    """An operator has requested a hot restart, and there is enough memory for two processes."""
    NEW_PROCESS_READY = "new_process_ready"
    """The new process has started and can import a state."""
    REHEARSAL_PASSED = "rehearsal_passed"
    """The copy of the state that the new process has imported is equal to the original."""
    STATE_SENT = "state_sent"
    """The old process has sent all descriptors and its state."""
    STATE_IMPORTED = "state_imported"
    """The new process has imported the state and is ready to serve."""
    HEARTBEAT = "heartbeat"
    """The new process has completed a pass of its event loop; sent only on probation."""
    PROBATION_PASSED = "probation_passed"
    """Probation has lasted its minimum duration with enough RPCs answered, or its maximum duration."""
    FAILED = "failed"
    """The new process refused the state, crashed, hung, or exceeded the timeout of the current state."""
    ROLLBACK_REQUESTED = "rollback_requested"
    """An operator has requested a rollback."""
    SHUTDOWN_REQUESTED = "shutdown_requested"
    """This server has received the shutdown signal."""
    REQUESTED_AGAIN = "requested_again"
    """An operator has requested another hot restart while one is in progress."""


class RestartAction(Enum):
    """An operation that the old process must perform."""

    START_NEW_PROCESS = "start_new_process"
    SEND_REHEARSAL_STATE = "send_rehearsal_state"
    """Send a copy of the state for a trial import."""
    FREEZE_AND_SEND_STATE = "freeze_and_send_state"
    """Stop reading and making decisions, then send all descriptors and the state."""
    ACTIVATE_NEW_PROCESS = "activate_new_process"
    """Allow the new process to serve."""
    WATCH_JOURNAL = "watch_journal"
    EXIT_SILENTLY = "exit_silently"
    """Close all descriptors without sending anything to the peers, notify the supervisor, and exit."""
    KILL_NEW_PROCESS = "kill_new_process"
    """Kill the new process and wait for its exit."""
    RESUME = "resume"
    """Continue to serve with the frozen state."""
    RESUME_FROM_JOURNAL = "resume_from_journal"
    """Continue to serve with the frozen state, updated by the records of the request journal."""
    DRAIN = "drain"
    """Begin the graceful shutdown of the old process."""
    FORWARD_SHUTDOWN = "forward_shutdown"
    """Tell the new process to shut down gracefully within the remaining time."""
    REFUSE = "refuse"
    """Reject the operator's request and report the reason."""


@dataclass(frozen=True, slots=True)
class Transition:
    """The result of an event in a state.

    Attributes:
        next_state: The state after the event; may be the same as before.
        actions: The actions to perform, in order.
    """

    next_state: RestartState
    actions: tuple[RestartAction, ...] = ()


def _to(next_state: RestartState, *actions: RestartAction) -> Transition:
    return Transition(next_state, actions)


# Short names for the table below, so that most of its entries fit on one line.
State = RestartState
Event = RestartEvent
Action = RestartAction

TRANSITIONS: dict[tuple[RestartState, RestartEvent], Transition] = {
    (State.IDLE, Event.REQUESTED): _to(State.STARTING, Action.START_NEW_PROCESS),
    (State.IDLE, Event.SHUTDOWN_REQUESTED): _to(State.IDLE, Action.DRAIN),
    (State.IDLE, Event.ROLLBACK_REQUESTED): _to(State.IDLE, Action.REFUSE),
    (State.STARTING, Event.NEW_PROCESS_READY): _to(State.REHEARSING, Action.SEND_REHEARSAL_STATE),
    (State.REHEARSING, Event.REHEARSAL_PASSED): _to(State.FROZEN, Action.FREEZE_AND_SEND_STATE),
    (State.FROZEN, Event.STATE_SENT): _to(State.TRANSFERRED),
    (State.TRANSFERRED, Event.STATE_IMPORTED): _to(
        State.PROBATION, Action.ACTIVATE_NEW_PROCESS, Action.WATCH_JOURNAL
    ),
    (State.PROBATION, Event.HEARTBEAT): _to(State.PROBATION),
    (State.PROBATION, Event.PROBATION_PASSED): _to(State.COMPLETED, Action.EXIT_SILENTLY),
    # If the new process fails before its activation, it has changed nothing, so the old process continues
    # with its own state.
    (State.STARTING, Event.FAILED): _to(State.ROLLED_BACK, Action.KILL_NEW_PROCESS),
    (State.REHEARSING, Event.FAILED): _to(State.ROLLED_BACK, Action.KILL_NEW_PROCESS),
    (State.FROZEN, Event.FAILED): _to(State.ROLLED_BACK, Action.KILL_NEW_PROCESS, Action.RESUME),
    (State.TRANSFERRED, Event.FAILED): _to(State.ROLLED_BACK, Action.KILL_NEW_PROCESS, Action.RESUME),
    # If the new process fails after its activation, the old process must not read from a socket until the new
    # process has exited: if both read, each would receive only some of the bytes.
    (State.PROBATION, Event.FAILED): _to(
        State.ROLLED_BACK, Action.KILL_NEW_PROCESS, Action.RESUME_FROM_JOURNAL
    ),
    (State.STARTING, Event.ROLLBACK_REQUESTED): _to(State.ROLLED_BACK, Action.KILL_NEW_PROCESS),
    (State.REHEARSING, Event.ROLLBACK_REQUESTED): _to(State.ROLLED_BACK, Action.KILL_NEW_PROCESS),
    (State.FROZEN, Event.ROLLBACK_REQUESTED): _to(State.ROLLED_BACK, Action.KILL_NEW_PROCESS, Action.RESUME),
    (State.TRANSFERRED, Event.ROLLBACK_REQUESTED): _to(
        State.ROLLED_BACK, Action.KILL_NEW_PROCESS, Action.RESUME
    ),
    (State.PROBATION, Event.ROLLBACK_REQUESTED): _to(
        State.ROLLED_BACK, Action.KILL_NEW_PROCESS, Action.RESUME_FROM_JOURNAL
    ),
    # The shutdown signal takes precedence over the hot restart. Before probation, the hot restart is rolled
    # back and the old process drains. On probation, the new process is told to drain.
    (State.STARTING, Event.SHUTDOWN_REQUESTED): _to(State.ROLLED_BACK, Action.KILL_NEW_PROCESS, Action.DRAIN),
    (State.REHEARSING, Event.SHUTDOWN_REQUESTED): _to(
        State.ROLLED_BACK, Action.KILL_NEW_PROCESS, Action.DRAIN
    ),
    (State.FROZEN, Event.SHUTDOWN_REQUESTED): _to(
        State.ROLLED_BACK, Action.KILL_NEW_PROCESS, Action.RESUME, Action.DRAIN
    ),
    (State.TRANSFERRED, Event.SHUTDOWN_REQUESTED): _to(
        State.ROLLED_BACK, Action.KILL_NEW_PROCESS, Action.RESUME, Action.DRAIN
    ),
    (State.PROBATION, Event.SHUTDOWN_REQUESTED): _to(State.PROBATION, Action.FORWARD_SHUTDOWN),
    (State.STARTING, Event.REQUESTED_AGAIN): _to(State.STARTING, Action.REFUSE),
    (State.REHEARSING, Event.REQUESTED_AGAIN): _to(State.REHEARSING, Action.REFUSE),
    (State.FROZEN, Event.REQUESTED_AGAIN): _to(State.FROZEN, Action.REFUSE),
    (State.TRANSFERRED, Event.REQUESTED_AGAIN): _to(State.TRANSFERRED, Action.REFUSE),
    (State.PROBATION, Event.REQUESTED_AGAIN): _to(State.PROBATION, Action.REFUSE),
    (State.ROLLED_BACK, Event.REQUESTED): _to(State.STARTING, Action.START_NEW_PROCESS),
    (State.ROLLED_BACK, Event.SHUTDOWN_REQUESTED): _to(State.ROLLED_BACK, Action.DRAIN),
    (State.ROLLED_BACK, Event.ROLLBACK_REQUESTED): _to(State.ROLLED_BACK, Action.REFUSE),
}

OLD_PROCESS_SERVES = frozenset(
    {RestartState.IDLE, RestartState.STARTING, RestartState.REHEARSING, RestartState.ROLLED_BACK}
)
NEW_PROCESS_SERVES = frozenset({RestartState.PROBATION, RestartState.COMPLETED})


@dataclass(slots=True, frozen=True)
class RestartTimeouts:
    """The time limits of the states, and the length of probation.

    The new process counts as failed if the time limit of a state expires.

    Attributes:
        starting_ms: The maximum time for the new process to start.
        rehearsing_ms: The maximum time to import a copy of the state.
        frozen_ms: The maximum time to send the state; no process serves during this time.
        transferred_ms: The maximum time to import the state; no process serves during this time.
        heartbeat_ms: The maximum interval between heartbeats on probation.
        probation_ms: The minimum duration of probation.
        probation_answer_count: The number of RPCs that the new process must answer for probation to end after
            `probation_ms`. With fewer answers, it ends after `MAX_PROBATION_FACTOR` times `probation_ms`.
    """

    starting_ms: float = 15_000.0
    rehearsing_ms: float = 5_000.0
    frozen_ms: float = 20.0
    transferred_ms: float = 20.0
    heartbeat_ms: float = 500.0
    probation_ms: float = 5_000.0
    probation_answer_count: int = 100


class HotRestart:
    """Controls a hot restart in the old process; after a rollback, another hot restart can begin.

    All times are on the old process's monotonic clock.

    Args:
        timeouts: The time limits of the states.
        now_ms: The current time.

    Attributes:
        state: The current state.
        state_since_ms: The time at which the current state began.
        last_heartbeat_ms: The time of the last heartbeat or other transition, even one that keeps the state.
        answered_count: The number of RPCs that the new process has answered on probation.
        is_shutting_down: Whether the shutdown signal was received; no hot restart begins after it.
        reason: Why the last hot restart was rolled back or the last request was refused.
    """

    def __init__(self, timeouts: RestartTimeouts, now_ms: float) -> None:
        self.timeouts = timeouts
        self.state = RestartState.IDLE
        self.state_since_ms = now_ms
        self.last_heartbeat_ms = now_ms
        self.answered_count = 0
        self.is_shutting_down = False
        self.reason = ""

    def on_event(self, event: RestartEvent, now_ms: float, reason: str = "") -> tuple[RestartAction, ...]:
        """Handles an event and returns the actions to perform, in order.

        An event without a transition from the current state is ignored.

        Args:
            event: The event to handle.
            now_ms: The current time.
            reason: The cause of a rollback or refusal; if empty, the event's value is used.
        """
        if event is RestartEvent.SHUTDOWN_REQUESTED:
            if self.is_shutting_down:
                return ()
            self.is_shutting_down = True
        if event is RestartEvent.REQUESTED and self.is_shutting_down:
            self.reason = "the server is shutting down"
            return (RestartAction.REFUSE,)
        if event is RestartEvent.REQUESTED and (self.state, event) not in TRANSITIONS:
            event = RestartEvent.REQUESTED_AGAIN
            reason = "a hot restart is already in progress"
        transition = TRANSITIONS.get((self.state, event))
        if transition is None:
            return ()
        self._enter(transition, now_ms, reason or event.value)
        if event is RestartEvent.FAILED and self.is_shutting_down:
            # The shutdown signal was forwarded to the new process. As that process has failed, the old one
            # drains.
            return (*transition.actions, RestartAction.DRAIN)
        return transition.actions

    def _enter(self, transition: Transition, now_ms: float, reason: str) -> None:
        if transition.next_state is RestartState.ROLLED_BACK or RestartAction.REFUSE in transition.actions:
            self.reason = reason
        if transition.next_state is not self.state:
            self.state = transition.next_state
            self.state_since_ms = now_ms
            self.answered_count = 0
        self.last_heartbeat_ms = now_ms

    def on_heartbeat(self, answered_count: int, now_ms: float) -> tuple[RestartAction, ...]:
        """Handles a heartbeat of the new process and returns the actions to perform.

        A heartbeat outside `PROBATION` is ignored.

        Args:
            answered_count: The number of RPCs that the new process has answered since probation began.
            now_ms: The current time.
        """
        if self.state is not RestartState.PROBATION:
            return ()
        self.answered_count = answered_count
        self.on_event(RestartEvent.HEARTBEAT, now_ms)
        return self.on_timer(now_ms)

    def on_timer(self, now_ms: float) -> tuple[RestartAction, ...]:
        """Completes the hot restart if probation has passed, or rolls it back if a time limit has expired.

        Returns:
            The actions to perform, in order; empty if nothing is due.
        """
        if self.next_check_in_ms(now_ms) > 0.0:
            return ()
        if self.state is RestartState.PROBATION and self._has_recent_heartbeat(now_ms):
            if self._probation_passed(now_ms):
                return self.on_event(RestartEvent.PROBATION_PASSED, now_ms)
            return ()
        elapsed_ms = now_ms - self.state_since_ms
        return self.on_event(
            RestartEvent.FAILED, now_ms, f"timed out in state {self.state.value} after {elapsed_ms:.0f} ms"
        )

    def _has_recent_heartbeat(self, now_ms: float) -> bool:
        return now_ms - self.last_heartbeat_ms < self.timeouts.heartbeat_ms

    def _probation_passed(self, now_ms: float) -> bool:
        """Returns whether the new process has answered enough RPCs, or the maximum duration has passed."""
        max_probation_ms = MAX_PROBATION_FACTOR * self.timeouts.probation_ms
        has_enough_answers = self.answered_count >= self.timeouts.probation_answer_count
        return has_enough_answers or now_ms - self.state_since_ms >= max_probation_ms

    def next_check_in_ms(self, now_ms: float) -> float:
        """Returns the time until `on_timer` must be called.

        The result is 0 or less if the call is due, and inf in a state without a time limit.
        """
        timeouts = self.timeouts
        match self.state:
            case RestartState.STARTING:
                due_ms = self.state_since_ms + timeouts.starting_ms
            case RestartState.REHEARSING:
                due_ms = self.state_since_ms + timeouts.rehearsing_ms
            case RestartState.FROZEN:
                due_ms = self.state_since_ms + timeouts.frozen_ms
            case RestartState.TRANSFERRED:
                due_ms = self.state_since_ms + timeouts.transferred_ms
            case RestartState.PROBATION:
                heartbeat_due_ms = self.last_heartbeat_ms + timeouts.heartbeat_ms
                due_ms = min(heartbeat_due_ms, self.state_since_ms + timeouts.probation_ms)
            case _:
                return inf
        return due_ms - now_ms
