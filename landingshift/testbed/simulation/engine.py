"""The engine of a simulated server: cores that run RPCs, a cache that fills up, and downstream calls.

The engine reports to the server process with `EngineEvent`s. These events are delayed while the engine hangs.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.testbed.simulation.downstream_store import SimulatedStore
from landingshift.testbed.simulation.virtual_time import SimulatedHost
from landingshift.testbed.simulation.workload import (
    CACHE_FILL_CALLS,
    CORE_COUNT,
    CORE_TIME_MS,
    MAX_CALL_WAIT_MS,
    SimulatedRpc,
)

ENGINE_DELAY_MS = 1.0
"""Time that a run takes to end after its downstream call has ended or has been skipped."""


@dataclass(frozen=True, slots=True)
class RunFinished:
    """A run has ended. `core_ms` is the duration of the run as reported by the engine."""

    managed: ManagedRpc
    core_ms: float


@dataclass(frozen=True, slots=True)
class CallNeeded:
    """A run waits for permission to make a downstream call."""

    managed: ManagedRpc


@dataclass(frozen=True, slots=True)
class CallFinished:
    """A downstream call has ended, or the engine has stopped waiting for the call because of a timeout."""

    managed: ManagedRpc
    succeeded: bool
    duration_ms: float


EngineEvent = RunFinished | CallNeeded | CallFinished


def rpc_number(managed: ManagedRpc) -> int:
    """Returns the number of the simulated RPC that admission manages as `managed`."""
    assert isinstance(managed.rpc, SimulatedRpc)
    return managed.rpc.number


class SimulatedEngine:
    """Cores and the runs on them.

    Attributes:
        runs: RPCs whose runs have not ended, by RPC number. These runs wait for a core, use a core or wait
            for a downstream call. The RPC can already have been answered.
        core_free_at_ms: Virtual times at which runs leave their cores. Times that have passed are removed
            only when `start_run` is called.
        run_count: Number of calls of `start_run`.
        cache_fill_count: Number of successful downstream calls, each of which fills a part of the cache.
        hung_until_ms: Virtual time until which the engine delays its reports.
    """

    def __init__(self, host: SimulatedHost, store: SimulatedStore) -> None:
        self._host = host
        self._network = host.network
        self._store = store
        self.runs: dict[int, ManagedRpc] = {}
        self.core_free_at_ms: list[float] = []
        self.run_count = 0
        self.cache_fill_count = 0
        self.hung_until_ms = 0.0

    @property
    def cache_fill_fraction(self) -> float:
        """Fill level of the cache: 1 or more for a warm cache."""
        return self.cache_fill_count / CACHE_FILL_CALLS

    def start_run(self, managed: ManagedRpc) -> None:
        """Runs an RPC on a free core, or queues it for the core that becomes free first."""
        self.runs[rpc_number(managed)] = managed
        now_ms = self._network.now_ms
        self.core_free_at_ms = [end_ms for end_ms in self.core_free_at_ms if end_ms > now_ms]
        start_ms = now_ms
        if len(self.core_free_at_ms) >= CORE_COUNT:
            start_ms = max(now_ms, sorted(self.core_free_at_ms)[-CORE_COUNT])
        end_ms = start_ms + CORE_TIME_MS
        self.core_free_at_ms.append(end_ms)
        self.run_count += 1
        is_cache_cold = self.cache_fill_count < CACHE_FILL_CALLS
        needs_call = managed.rpc.method.calls_downstream and (
            is_cache_cold or self.run_count % CACHE_FILL_CALLS == 0
        )
        self._network.schedule_at(end_ms, partial(self._leave_core, managed, needs_call, now_ms))

    def _leave_core(self, managed: ManagedRpc, needs_call: bool, queued_at_ms: float) -> None:
        if needs_call:
            self._report(CallNeeded(managed))
        else:
            self._report(RunFinished(managed, self._network.now_ms - queued_at_ms))

    def start_call(self, managed: ManagedRpc, timeout_ms: float) -> None:
        """Makes the downstream call of a run, with a timeout. If the call succeeds, the run ends after it."""
        succeeded, duration_ms = self._store.call(self._network.now_ms)
        wait_ms = min(duration_ms, timeout_ms, MAX_CALL_WAIT_MS)
        succeeded = succeeded and duration_ms <= wait_ms
        finished = CallFinished(managed, succeeded, wait_ms)
        self._network.schedule_after(wait_ms, partial(self._report, finished))
        if succeeded:
            self._finish_after(wait_ms + ENGINE_DELAY_MS, managed, CORE_TIME_MS + wait_ms)

    def finish_without_call(self, managed: ManagedRpc) -> None:
        """Ends a run without the downstream call that it waits for."""
        self._finish_after(ENGINE_DELAY_MS, managed, CORE_TIME_MS)

    def _finish_after(self, delay_ms: float, managed: ManagedRpc, core_ms: float) -> None:
        self._network.schedule_after(delay_ms, partial(self._report, RunFinished(managed, core_ms)))

    def _report(self, event: EngineEvent) -> None:
        if self._network.now_ms < self.hung_until_ms:
            self._network.schedule_at(self.hung_until_ms, partial(self._report, event))
        elif self._host.is_up:
            self._host.receive(event)
