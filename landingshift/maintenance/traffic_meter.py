"""Counts the RPCs that a server receives and answers, for its reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from landingshift.net.routing.observers import AnswerKind

if TYPE_CHECKING:
    from landingshift.net.routing.rpc_record import RoutedRpc

WINDOW_MS = 1000.0
"""Minimum duration of a counting window."""


class TrafficMeter:
    """Router observer that counts RPCs.

    Attributes:
        name: Name of the observer in the router's log.
        rpcs_per_second: Rate of RPCs received during the last complete window.
        ok_count: RPCs answered ok since the start.
        answered_count: RPCs answered since the start.
    """

    name = "upkeep"

    def __init__(self, now_ms: float) -> None:
        self.rpcs_per_second = 0.0
        self.ok_count = 0.0
        self.answered_count = 0.0
        self._received_count = 0
        self._window_began_ms = now_ms

    def on_read(self, _rpc: RoutedRpc) -> None:
        """Handles the router's event that an RPC was received."""
        self._received_count += 1

    def on_answered(self, _rpc: RoutedRpc, kind: AnswerKind) -> None:
        """Handles the router's event that an RPC was answered."""
        self.answered_count += 1.0
        self.ok_count += kind is AnswerKind.OK

    def roll_window(self, now_ms: float) -> None:
        """Computes the rate and starts a new window if the current one is complete."""
        window_ms = now_ms - self._window_began_ms
        if window_ms < WINDOW_MS:
            return
        self.rpcs_per_second = self._received_count * 1000.0 / window_ms
        self._received_count = 0
        self._window_began_ms = now_ms
