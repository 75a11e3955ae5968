"""Lifecycle of an RPC: its states until it is released, and the actions on each transition.

The lifecycle of each RPC is a generator that yields the next state and is resumed with the next event:

    AWAITING_ORIGINAL  -> ABORTED             deadline reached
    QUEUED             -> RUNNING             started
                       -> REJECTED            shed
    RUNNING            -> AWAITING_CALL_SLOT  downstream call needed
    AWAITING_CALL_SLOT -> CALLING             call permitted
                       -> CALL_SKIPPED        optional call denied
                       -> ABORTED             required call denied
    CALLING            -> RUNNING             call succeeded
                       -> AWAITING_CALL_SLOT  call failed; retried
                       -> CALL_SKIPPED        optional call failed; not retried
                       -> ABORTED             required call failed; not retried
    CALL_SKIPPED       -> RUNNING             immediately
    any state of a run -> ABORTED             deadline reached, or call needed when the answer has no value
                       -> ABANDONED           caller disconnected

An RPC is released when its run has ended, when the original attempt that it waits for has ended, when it is
rejected, or when it is aborted without a run of its own. If its caller disconnects before a run was started,
the RPC is released without an answer.

Each RPC is answered at most once: with its result, as rejected (never ran) or as aborted. The memory of a run
is counted until the engine reports the end of the run, whether or not a caller still waits for it.
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

EVENTS_LEADING_TO_STATE: dict[RpcState, tuple[RpcEvent, ...]] = {
    RpcState.QUEUED: (),
    RpcState.AWAITING_ORIGINAL: (),
    RpcState.RUNNING: (RpcEvent.START,),
    RpcState.AWAITING_CALL_SLOT: (RpcEvent.START, RpcEvent.CALL_NEEDED),
    RpcState.CALLING: (RpcEvent.START, RpcEvent.CALL_NEEDED, RpcEvent.CALL_PERMITTED),
    RpcState.ABORTED: (RpcEvent.START, RpcEvent.DEADLINE_REACHED),
    RpcState.ABANDONED: (RpcEvent.START, RpcEvent.CALLER_GONE),
}
"""Events that bring a new lifecycle to each state that an RPC can have during a hot restart."""

CallStates = Generator[RpcState, RpcEvent | Outcome, RpcEvent | Outcome]


class RpcLifecycle:
    """Moves RPCs between states and requests the actions of each transition."""

    def __init__(
        self,
        server: ServerState,
        actions: Actions,
        dedup: DedupEntries,
        calls: DownstreamCalls,
        retries: RetryPolicy,
        reject: Callable[[ManagedRpc], None],
    ) -> None:
        """Creates the lifecycle rules.

        Args:
            server: State of the server, with its current RPCs.
            actions: Actions of the host program.
            dedup: Entries in the deduplication table.
            calls: Downstream calls.
            retries: Decides which downstream calls are retried.
            reject: Answers an RPC as rejected.
        """
        self._server = server
        self._actions = actions
        self._dedup = dedup
        self._calls = calls
        self._retries = retries
        self._reject = reject

    def begin(self, managed: ManagedRpc) -> None:
        """Creates the lifecycle of a new RPC and enters its first state."""
        managed.lifecycle = self._states(managed)
        self._enter_state(managed, next(managed.lifecycle))

    def resume(self, managed: ManagedRpc, event: RpcEvent | Outcome) -> None:
        """Resumes an RPC with an event; has no effect after its release."""
        if managed.state is None:
            return
        state: RpcState | None
        try:
            state = managed.lifecycle.send(event)
        except StopIteration:
            state = None
        self._enter_state(managed, state)

    def restore(self, managed: ManagedRpc, state: RpcState) -> None:
        """Creates the lifecycle of an imported RPC and advances it to the given state without any action.

        The RPC's memory is not added, because the imported state of the server already includes it.
        """
        now_ms = self._server.now_ms
        # On CALL_NEEDED, the generator aborts a run whose answer is already worthless. This run passed that
        # check in the other process, so the replay must pass it as well, whatever the time is now.
        self._server.now_ms = -inf
        managed.lifecycle = self._states(managed)
        reached = next(managed.lifecycle)
        for event in EVENTS_LEADING_TO_STATE[state]:
            reached = managed.lifecycle.send(event)
        assert reached is state, f"the restored RPC reached {reached} instead of {state}"
        self._server.now_ms = now_ms
        managed.state = state
        self._server.rpcs_by_state[state][managed] = None

    def _states(self, managed: ManagedRpc) -> Lifecycle:
        """Yields the states of an RPC."""
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
        """Yields the states of a run while it waits for a downstream call or for the permission to make it.

        A failed call is retried if that is safe. An optional call is skipped if it is denied, or if it fails
        and is not retried.

        Returns:
            The next event of the run. If the answer has already lost all its value, or if a required call
            failed or was denied, this is DEADLINE_REACHED: the run is aborted, to save the rest of its work.
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
                    if self._retries.may_retry_call(managed, event):
                        continue
                    event = RpcEvent.CALL_DENIED
            if event is not RpcEvent.CALL_DENIED:
                return event
            if managed.rpc.method.can_skip_call:
                return (yield RpcState.CALL_SKIPPED)
            return RpcEvent.DEADLINE_REACHED

    def _enter_state(self, managed: ManagedRpc, state: RpcState | None) -> None:
        """Moves an RPC to a state and requests the resulting actions; releases it if the state is None."""
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
            self._give_up_run(managed, previous)
        else:
            self._request_action(managed, state)

    def _release(self, managed: ManagedRpc, state: RpcState | None) -> None:
        """Releases an RPC, after answering it if it was rejected or aborted without a run."""
        managed.state = None
        if state is RpcState.REJECTED:
            self._reject(managed)
        elif state is RpcState.ABORTED:
            self._actions.abort(managed.rpc)
        self._dedup.drop_unless_started(managed)
        managed.lifecycle.close()
        del managed.lifecycle  # its memory is not needed while the RPC's deduplication entry lives
        self._actions.release(managed.rpc)

    def _give_up_run(self, managed: ManagedRpc, previous: RpcState | None) -> None:
        """Answers an RPC as aborted if its caller still waits, and cancels its run if the engine can."""
        if previous is RpcState.CALLING:
            self._calls.on_cancelled(managed)
        if managed.state is RpcState.ABORTED:
            self._actions.abort(managed.rpc)
        if self._server.settings.run_cancellation is not RunCancellation.NONE:
            self._actions.cancel_run(managed.rpc)

    def _request_action(self, managed: ManagedRpc, state: RpcState | None) -> None:
        """Requests the action that the new state requires."""
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
