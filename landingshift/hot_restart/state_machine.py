"""The steps of a hot restart, and which process serves in each. Pure: events come in, actions come out.

The old process runs this state machine; the new one does what it is told and reports how that went. The old
process serves up to `FROZEN`, nobody while frozen (nothing is read, so nothing can be lost), the new one from
`PROBATION` on.

Guarantee: at no time do two processes read the sockets. A rollback is open until `COMPLETED`: the old process
keeps its descriptors, and the request journal tells it what the new one did.
Failure mode: a new process that hangs costs the time-out of the state that it is in; while frozen that is
time in which nobody serves.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

MAX_PROBATION_FACTOR = 4.0  # times the probation after which few answers are proof enough


class RestartState(Enum):
    """Where a hot restart is."""

    IDLE = "idle"
    STARTING = "starting"
    """The new process loads, checks its settings and opens what it needs."""
    REHEARSING = "rehearsing"
    """It imports a copy of the state, as a trial."""
    FROZEN = "frozen"
    """The old one reads, answers and decides nothing any more."""
    TRANSFERRED = "transferred"
    """Descriptors and state are with the new one, which has not acted yet."""
    PROBATION = "probation"
    """The new one serves; the old one watches the request journal."""
    COMPLETED = "completed"
    """The old one may end."""
    ROLLED_BACK = "rolled_back"
    """The old one serves again as if nothing had happened."""


class RestartEvent(Enum):
    """What happens to a hot restart."""

    REQUESTED = "requested"
    """By an operator, with memory for two processes."""
    NEW_PROCESS_READY = "new_process_ready"
    REHEARSAL_PASSED = "rehearsal_passed"
    """The new process's copy of the state came out the same."""
    STATE_SENT = "state_sent"
    """The old process has frozen and sent everything."""
    STATE_IMPORTED = "state_imported"
    """The new process has all and is ready to act."""
    HEARTBEAT = "heartbeat"
    """The new process has served a pass; on probation only."""
    PROBATION_PASSED = "probation_passed"
    """It was long enough, and enough RPCs were answered."""
    FAILED = "failed"
    """The new process refused, crashed, hung, or was too slow for the state."""
    ROLLBACK_REQUESTED = "rollback_requested"
    """By an operator."""
    SHUTDOWN_REQUESTED = "shutdown_requested"
    """The notice that this server is to leave."""
    REQUESTED_AGAIN = "requested_again"
    """A second hot restart while one is under way."""


class RestartAction(Enum):
    """What the old process is to do."""

    START_NEW_PROCESS = "start_new_process"
    SEND_REHEARSAL_STATE = "send_rehearsal_state"
    FREEZE_AND_SEND_STATE = "freeze_and_send_state"
    """Stop reading and deciding, then send everything."""
    ACTIVATE_NEW_PROCESS = "activate_new_process"
    """The new process may act."""
    WATCH_JOURNAL = "watch_journal"
    EXIT_SILENTLY = "exit_silently"
    """Close its descriptors without sending the peers anything, tell the supervisor, end."""
    KILL_NEW_PROCESS = "kill_new_process"
    """Kill it and wait until it is gone."""
    RESUME = "resume"
    """Serve on with the state as it was frozen."""
    RESUME_FROM_JOURNAL = "resume_from_journal"
    """Serve on with the state as it was frozen and what the request journal tells since."""
    DRAIN = "drain"
    """The old process shuts down gracefully, as always."""
    FORWARD_SHUTDOWN = "forward_shutdown"
    """The new process is told to shut down, with the time that is left."""
    REFUSE = "refuse"
    """Reject the operator's request, with the reason."""


@dataclass(frozen=True, slots=True)
class Transition:
    """What an event leads to.

    Attributes:
        next_state: The state from then on.
        actions: What is to be done, in this order.
    """

    next_state: RestartState
    actions: tuple[RestartAction, ...] = ()


def _to(next_state: RestartState, *actions: RestartAction) -> Transition:
    return Transition(next_state, actions)


# For the table alone, whose rows would not fit into a line with the full names.
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
    # Before the new process may act, one that fails has touched nothing: the old one goes on from where it
    # is.
    (State.STARTING, Event.FAILED): _to(State.ROLLED_BACK, Action.KILL_NEW_PROCESS),
    (State.REHEARSING, Event.FAILED): _to(State.ROLLED_BACK, Action.KILL_NEW_PROCESS),
    (State.FROZEN, Event.FAILED): _to(State.ROLLED_BACK, Action.KILL_NEW_PROCESS, Action.RESUME),
    (State.TRANSFERRED, Event.FAILED): _to(State.ROLLED_BACK, Action.KILL_NEW_PROCESS, Action.RESUME),
    # After that it must be gone before a byte is read: two readers of a socket share out its bytes.
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
    # The notice to leave wins: whoever serves drains, and no hot restart goes on beside it.
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
    """How long each state may last; past it the new process counts as failed.

    Attributes:
        starting_ms: To load.
        rehearsing_ms: To import a copy of the state.
        frozen_ms: To send everything; nothing is read meanwhile.
        transferred_ms: To import it; nothing is read meanwhile.
        heartbeat_ms: Between two signs of life on probation.
        probation_ms: The shortest probation.
        probation_answer_count: RPCs answered, or as many as were there, before probation can end.
    """

    starting_ms: float = 15_000.0
    rehearsing_ms: float = 5_000.0
    frozen_ms: float = 20.0
    transferred_ms: float = 20.0
    heartbeat_ms: float = 500.0
    probation_ms: float = 5_000.0
    probation_answer_count: int = 100


class HotRestart:
    """One hot restart after the other, as the old process drives them.

    Args:
        timeouts: How long each state may last.
        now_ms: The old process's monotonic clock, as everywhere here.

    Attributes:
        state: Where it is.
        state_since_ms: Since when.
        last_heartbeat_ms: When the new process last sent a heartbeat, or when the last transition was.
        answered_count: RPCs that the new process has answered on probation.
        is_shutting_down: Whether the notice to leave has come; no hot restart begins after it.
        reason: Why the last one was rolled back or refused.
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
        """Returns what is to be done, in this order; an event without a transition changes nothing.

        Args:
            event: What happened.
            now_ms: When.
            reason: Why, for a failure; the event's name where it is empty.
        """
        if event is RestartEvent.SHUTDOWN_REQUESTED:
            if self.is_shutting_down:
                return ()
            self.is_shutting_down = True
        if event is RestartEvent.REQUESTED and self.is_shutting_down:
            self.reason = "it is leaving"
            return (RestartAction.REFUSE,)
        if event is RestartEvent.REQUESTED and (self.state, event) not in TRANSITIONS:
            event = RestartEvent.REQUESTED_AGAIN
            reason = "an upgrade is under way"
        transition = TRANSITIONS.get((self.state, event))
        if transition is None:
            return ()
        self._enter(transition, now_ms, reason or event.value)
        if event is RestartEvent.FAILED and self.is_shutting_down:
            # The notice came while the new process served.
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
        """A sign of life on probation, with how many RPCs were answered in all since it began."""
        if self.state is not RestartState.PROBATION:
            return ()
        self.answered_count = answered_count
        self.on_event(RestartEvent.HEARTBEAT, now_ms)
        return self.on_timer(now_ms)

    def on_timer(self, now_ms: float) -> tuple[RestartAction, ...]:
        """What the time that has passed means: probation ends, or the state has lasted too long."""
        if self.next_check_in_ms(now_ms) > 0.0:
            return ()
        if self.state is RestartState.PROBATION and self._has_heartbeat(now_ms):
            if self._probation_passed(now_ms):
                return self.on_event(RestartEvent.PROBATION_PASSED, now_ms)
            return ()
        elapsed_ms = now_ms - self.state_since_ms
        return self.on_event(RestartEvent.FAILED, now_ms, f"{self.state.value} for {elapsed_ms:.0f} ms")

    def _has_heartbeat(self, now_ms: float) -> bool:
        return now_ms - self.last_heartbeat_ms < self.timeouts.heartbeat_ms

    def _probation_passed(self, now_ms: float) -> bool:
        """Enough answers prove the new process, or with few RPCs a multiple of the time."""
        max_probation_ms = MAX_PROBATION_FACTOR * self.timeouts.probation_ms
        is_answering = self.answered_count >= self.timeouts.probation_answer_count
        return is_answering or now_ms - self.state_since_ms >= max_probation_ms

    def next_check_in_ms(self, now_ms: float) -> float:
        """Returns ms until `on_timer` can change something, 0 or less once it is due; inf for never."""
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
