"""The way of an RPC through its states, from read to answer.

An RPC is a generator that yields the state it goes to and is resumed with what happens to it:

    AWAITING_ORIGINAL  -> ABORTED             at its deadline
    QUEUED             -> RUNNING             started
                       -> REJECTED            shed
    RUNNING            -> AWAITING_CALL_SLOT  needs a downstream call
    AWAITING_CALL_SLOT -> CALLING             call permitted
                       -> CALL_SKIPPED        call denied, can do without
                       -> ABORTED             call denied, cannot do without
    CALLING            -> RUNNING             call answered
                       -> AWAITING_CALL_SLOT  call failed, is made again
                       -> CALL_SKIPPED        call failed, can do without
                       -> ABORTED             call failed, cannot do without
    CALL_SKIPPED       -> RUNNING             at once; the call is over
    any state of a run -> ABORTED             at its deadline, or needs a call once its answer is worthless
                       -> ABANDONED           its caller has gone

An RPC leaves when its run, or the one that it waits for, has ended, when it is rejected, and when it is
aborted without a run of its own. One whose caller goes before a run was started leaves without an answer.

Each RPC is answered once: with its result, as rejected (never ran) or as aborted. The memory of a run is
counted until the engine says that it is over, whether or not anybody waits for it.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from math import inf

from landingshift.admission.dedup_entries import DedupEntries
from landingshift.admission.downstream_calls import DownstreamCalls
from landingshift.admission.interface import Actions, Outcome, RunCancellation
from landingshift.admission.managed_rpc import Lifecycle, ManagedRpc, RpcEvent, RpcState
from landingshift.admission.retry_policy import RetryPolicy
from landingshift.admission.server_state import ServerState

EVENTS_TO_STATE: dict[RpcState, tuple[RpcEvent, ...]] = {
    RpcState.QUEUED: (),
    RpcState.AWAITING_ORIGINAL: (),
    RpcState.RUNNING: (RpcEvent.START,),
    RpcState.AWAITING_CALL_SLOT: (RpcEvent.START, RpcEvent.CALL_NEEDED),
    RpcState.CALLING: (RpcEvent.START, RpcEvent.CALL_NEEDED, RpcEvent.CALL_PERMITTED),
    RpcState.ABORTED: (RpcEvent.START, RpcEvent.DEADLINE_REACHED),
    RpcState.ABANDONED: (RpcEvent.START, RpcEvent.CALLER_GONE),
}
"""What brings a lifecycle to each state in which an RPC can be carried to another build."""

CallStates = Generator[RpcState, RpcEvent | Outcome, RpcEvent | Outcome]


class RpcLifecycle:
    """Moves RPCs between states and has the program act for each move."""

    def __init__(
        self,
        server: ServerState,
        actions: Actions,
        dedup: DedupEntries,
        calls: DownstreamCalls,
        retries: RetryPolicy,
        reject: Callable[[ManagedRpc], None],
    ) -> None:
        """Wires the lifecycle.

        Args:
            server: The RPCs in hand.
            actions: What the program does.
            dedup: Entries in the deduplication table.
            calls: Downstream calls.
            retries: Which of them are made again.
            reject: Answers an RPC as never run.
        """
        self._server = server
        self._actions = actions
        self._dedup = dedup
        self._calls = calls
        self._retries = retries
        self._reject = reject

    def begin(self, managed: ManagedRpc) -> None:
        """Takes an RPC that was read to its first state."""
        managed.lifecycle = self._states(managed)
        self._enter(managed, next(managed.lifecycle))

    def resume(self, managed: ManagedRpc, event: RpcEvent | Outcome) -> None:
        """Resumes an RPC with an event; does nothing for one that has left."""
        if managed.state is None:
            return
        state: RpcState | None
        try:
            state = managed.lifecycle.send(event)
        except StopIteration:
            state = None
        self._enter(managed, state)

    def restore(self, managed: ManagedRpc, state: RpcState) -> None:
        """Brings the lifecycle of an RPC from another build to its state, without acting for it.

        Its memory is not counted: the figure comes with the server's state.
        """
        now_ms = self._server.now_ms
        # The generator ends a run that needs a call too late. This one needed it in time, in the other build:
        # at the clock of now it might end here instead of reaching its state.
        self._server.now_ms = -inf
        managed.lifecycle = self._states(managed)
        reached = next(managed.lifecycle)
        for event in EVENTS_TO_STATE[state]:
            reached = managed.lifecycle.send(event)
        assert reached is state, f"{reached} in place of {state}"
        self._server.now_ms = now_ms
        managed.state = state
        self._server.rpcs_by_state[state][managed] = None

    def _states(self, managed: ManagedRpc) -> Lifecycle:
        """The states of an RPC."""
        if self._dedup.answers_duplicate(managed.rpc):
            event = yield RpcState.AWAITING_ORIGINAL
            if event is RpcEvent.DEADLINE_REACHED:
                yield RpcState.ABORTED
            return
        event = yield RpcState.QUEUED
        if event is RpcEvent.SHED:
            yield RpcState.REJECTED
        if event is not RpcEvent.START:
            return
        event = yield RpcState.RUNNING
        while event is RpcEvent.CALL_NEEDED:
            event = yield from self._call_states(managed)
        if event is RpcEvent.DEADLINE_REACHED:
            yield RpcState.ABORTED
        elif event is RpcEvent.CALLER_GONE:
            yield RpcState.ABANDONED

    def _call_states(self, managed: ManagedRpc) -> CallStates:
        """The states of a downstream call: made, made again where that is safe, or skipped.

        Returns:
            What comes next in the run. DEADLINE_REACHED where the call was due after the answer lost all
            value, or cannot be made nor skipped: the rest of the work is saved.
        """
        if self._server.now_ms > managed.worthless_at_ms:
            return RpcEvent.DEADLINE_REACHED
        while True:
            event = yield RpcState.AWAITING_CALL_SLOT
            if event is RpcEvent.CALL_PERMITTED:
                event = yield RpcState.CALLING
                if event is Outcome.OK:
                    return (yield RpcState.RUNNING)
                if isinstance(event, Outcome):
                    managed.call_attempts += 1
                    if self._retries.may_repeat_call(managed, event):
                        continue
                    event = RpcEvent.CALL_DENIED
            if event is not RpcEvent.CALL_DENIED:
                return event
            if managed.rpc.method.degraded_value_fraction > 0:
                return (yield RpcState.CALL_SKIPPED)
            return RpcEvent.DEADLINE_REACHED

    def _enter(self, managed: ManagedRpc, state: RpcState | None) -> None:
        """Moves an RPC to a state and acts for it; None once its lifecycle is over."""
        previous = managed.state
        if previous is not None:
            self._server.remove(managed)
        has_no_run = previous is RpcState.AWAITING_ORIGINAL
        if state in (None, RpcState.REJECTED) or (state is RpcState.ABORTED and has_no_run):
            self._release(managed, state)
            return
        managed.state = RpcState.RUNNING if state is RpcState.CALL_SKIPPED else state
        self._server.add(managed)
        if state in (RpcState.ABORTED, RpcState.ABANDONED):
            self._stop_waiting_for_run(managed, previous)
        else:
            self._proceed(managed, state)

    def _release(self, managed: ManagedRpc, state: RpcState | None) -> None:
        """Answers an RPC where that is left to do, and lets go of it."""
        managed.state = None
        if state is RpcState.REJECTED:
            self._reject(managed)
        elif state is RpcState.ABORTED:
            self._actions.abort(managed.rpc)
        self._dedup.drop_unless_started(managed)
        managed.lifecycle.close()
        self._actions.release(managed.rpc)

    def _stop_waiting_for_run(self, managed: ManagedRpc, previous: RpcState | None) -> None:
        """Answers a run that is not over, unless nobody waits, and cancels it where the engine can."""
        if previous is RpcState.CALLING:
            self._calls.on_cancelled(managed)
        if managed.state is RpcState.ABORTED:
            self._actions.abort(managed.rpc)
        if self._server.settings.run_cancellation is not RunCancellation.NONE:
            self._actions.cancel_run(managed.rpc)

    def _proceed(self, managed: ManagedRpc, state: RpcState | None) -> None:
        """Has the program do what the new state needs."""
        if state is RpcState.AWAITING_ORIGINAL:
            self._actions.await_original(managed.rpc)
        elif state is RpcState.CALL_SKIPPED:
            self._actions.skip_call(managed.rpc)
        elif state is RpcState.RUNNING and not managed.has_started:
            managed.has_started = True
            self._actions.start_run(managed.rpc)
        elif state is RpcState.CALLING:
            timeout_ms = self._calls.on_started(managed)
            self._actions.start_call(managed.rpc, timeout_ms)
