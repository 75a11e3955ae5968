"""Simulated server that connects an admission controller to the simulator's events and messages."""

from __future__ import annotations

from typing import Any

from landingshift.admission.controller import AdmissionController
from landingshift.admission.interface import Rpc, Settings
from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.drill import wire


class SimulatedInstance:
    """Translates events into calls of the controller, and the controller's actions into messages.

    Attributes:
        settings: Settings of this instance.
        controller: Admission controller of this instance.
    """

    def __init__(
        self, instance_id: int, settings: Settings, seed: int, now_ms: float, outbox: list[list[Any]]
    ) -> None:
        """Starts the instance.

        Args:
            instance_id: Number of the instance on the wire.
            settings: Settings of the instance.
            seed: Random seed of the controller.
            now_ms: Current simulated time.
            outbox: List to which messages to the simulator are appended.
        """
        self._instance_id = instance_id
        self._outbox = outbox
        self._rpcs: dict[str, ManagedRpc] = {}
        self._timer_count = 0
        self.settings = settings
        self.controller = AdmissionController(settings, seed, self, now_ms)

    def handle(self, event: wire.Event) -> None:
        """Passes an event to the controller; ignores events for RPCs that have been released."""
        match event:
            case wire.RpcRead():
                self._rpcs[event.rpc.rpc_id] = self.controller.on_rpc_read(event.rpc)
            case wire.TimerFired():
                self.controller.on_timer(event.gauges)
            case wire.DrainNotice():
                self.controller.start_draining(event.remaining_ms)
            case _:
                managed = self._rpcs.get(event.rpc_id)
                if managed is not None:
                    self._handle_rpc_event(managed, event)

    def _handle_rpc_event(self, managed: ManagedRpc, event: wire.Event) -> None:
        match event:
            case wire.RunFinished():
                self.controller.on_run_finished(managed, event.outcome, event.run_ms)
            case wire.CallNeeded():
                self.controller.on_call_needed(managed)
            case wire.CallFinished():
                self.controller.on_call_finished(managed, event.outcome, event.latency_ms)
            case wire.CallerGone():
                self.controller.on_caller_gone(managed)

    def _send(self, name: str, rpc: Rpc, *values: Any) -> None:
        assert isinstance(rpc, wire.SimulatedRpc)
        self._outbox.append([name, self._instance_id, rpc.rpc_id, *values])

    def _send_for_instance(self, name: str, *values: Any) -> None:
        self._outbox.append([name, self._instance_id, *values])

    # Implementation of `Actions`

    def start_run(self, rpc: Rpc) -> None:
        """See `Actions`."""
        self._send(wire.EXECUTE, rpc)

    def cancel_run(self, rpc: Rpc) -> None:
        """See `Actions`."""
        self._send(wire.YANK, rpc)

    def reject(self, rpc: Rpc, retry_after_ms: float, is_final: bool) -> None:
        """See `Actions`."""
        self._send(wire.BUSY, rpc, retry_after_ms, is_final)

    def abort(self, rpc: Rpc) -> None:
        """See `Actions`."""
        self._send(wire.ERROR, rpc)

    def start_call(self, rpc: Rpc, timeout_ms: float) -> None:
        """See `Actions`."""
        self._send(wire.GO_CALL, rpc, timeout_ms)

    def skip_call(self, rpc: Rpc) -> None:
        """See `Actions`."""
        self._send(wire.BYPASS, rpc)

    def retain_dedup_entry(self, rpc: Rpc, duration_ms: float) -> None:
        """See `Actions`."""
        self._send(wire.RETAIN, rpc, duration_ms)

    def drop_dedup_entry(self, rpc: Rpc) -> None:
        """See `Actions`."""
        self._send(wire.EVICT, rpc)

    def await_original(self, rpc: Rpc) -> None:
        """See `Actions`."""
        self._send(wire.JOIN, rpc)

    def release(self, rpc: Rpc) -> None:
        """See `Actions`."""
        assert isinstance(rpc, wire.SimulatedRpc)
        self._rpcs.pop(rpc.rpc_id, None)

    def set_health(self, is_healthy: bool, is_shallow: bool) -> None:
        """See `Actions`."""
        self._send_for_instance(wire.SET_HEALTH, is_healthy, is_shallow)

    def advertise_load(self, amount: float) -> None:
        """See `Actions`."""
        self._send_for_instance(wire.ADVERTISE, amount)

    def close_idle_connections(self, idle_timeout_ms: float) -> None:
        """See `Actions`."""
        self._send_for_instance(wire.REAP_AFTER, idle_timeout_ms)

    def schedule_check(self, delay_ms: float) -> None:
        """See `Actions`."""
        self._timer_count += 1
        self._send_for_instance(wire.NOTIFY_ME, f"w{self._timer_count}", delay_ms)

    def log(self, text: str) -> None:
        """See `Actions`."""
        self._send_for_instance(wire.NOTE_DOWN, text)
