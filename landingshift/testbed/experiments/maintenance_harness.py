"""Harness for real servers with `[upkeep]` enabled, with a supervisor that restarts exited servers."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable
from typing import Any

from landingshift.maintenance.requests import RequestState
from landingshift.membership.operator_rpc import OperatorRpcError, call_operator_rpc
from landingshift.testbed.experiments.policies_harness import SERVER_RPCS_PER_SECOND, PolicyHarness
from landingshift.testbed.experiments.rows import ExperimentRow

CAPACITY_RPCS_PER_SECOND = SERVER_RPCS_PER_SECOND
OUTAGE_SECONDS = 0.5
"""Time from the exit of a process until the supervisor restarts it."""
PERMIT_VALID_MS = 1500.0
HEADROOM_RATIO = 0.1
WARM_UP_MS = 500.0
VOTER_COUNT = 5
"""Number of voters. Of three, a single unavailable voter would leave a bare majority."""
MODERATE_LOAD_FRACTION = 0.55
"""Load as a fraction of all capacity. With the headroom, one or two servers of six can be out of service."""
POLL_INTERVAL_SECONDS = 0.05
CALL_TIMEOUT_MS = 1500.0
DEFAULT_DURATION_MINUTES = 0.05

COLD_START_SETTINGS = """[coldstart]
servers = {count}
lenders = ["n0", "n1"]
calls_s = {calls}
"""

UNAVAILABLE_STATES = (
    RequestState.DRAINING.value,
    RequestState.OUT_OF_SERVICE.value,
    RequestState.RETURNING.value,
)


class MaintenanceHarness(PolicyHarness):
    """Runs servers under load, restarts them when they exit, and requests their maintenance.

    Attributes:
        headroom_ratio: Required headroom above the demand, as a fraction of the demand.
        other_settings: Additional tables of the servers' settings, as TOML.
        not_restarted: Indexes of the servers that the supervisor does not restart.
        is_supervising: Whether the supervisor restarts servers.
        restart_count: Number of restarts by the supervisor.
    """

    def __init__(
        self,
        folder: str,
        count: int,
        seed: int,
        load: float = MODERATE_LOAD_FRACTION,
        headroom_ratio: float = HEADROOM_RATIO,
        other_settings: str = "",
    ) -> None:
        super().__init__(folder, count, seed, load=load, warm_up_ms=WARM_UP_MS, voters=VOTER_COUNT)
        self.headroom_ratio = headroom_ratio
        self.other_settings = other_settings
        self.not_restarted: set[int] = set()
        self.is_supervising = True
        self.restart_count = 0
        self._supervisor = threading.Thread(target=self._supervise, daemon=True)

    @property
    def names(self) -> list[str]:
        """Names of all servers."""
        return [self.servers.name(index) for index in range(self.server_count)]

    def extra_tables(self, index: int) -> str:
        """Returns the settings of a server besides those of membership and policies, as TOML."""
        return f"""[upkeep]
capacity = {CAPACITY_RPCS_PER_SECOND}
model = "m{index % 2}"
spare = {self.headroom_ratio}
zone_share = 0.0
model_share = 0.0
mark = "{self.servers.folder}/n{index}.left"
lasts_ms = {PERMIT_VALID_MS}
spare_ms = 300
back_minutes = 0.01
rings = false
{self.other_settings}
"""

    def start_all(self, but: tuple[int, ...] = ()) -> None:
        """Starts all servers except `but`, and waits until the leader has their reports."""
        super().start_all(but)
        self._supervisor.start()
        leader = self.leader()
        started_count = self.server_count - len(but)

        def has_all_reports() -> bool:
            return self.maintenance_status(leader).get("machines") == started_count

        self.servers.wait_until(15.0, has_all_reports)

    def stop_supervisor(self) -> None:
        """Tells the supervisor to restart no more servers."""
        self.is_supervising = False

    def close(self) -> None:
        """Stops all processes."""
        self.stop_supervisor()
        super().close()

    # Operator calls

    def maintenance_status(self, index: int) -> dict[str, Any]:
        """Returns a server's answer to `upkeep_status`; empty if it does not answer."""
        try:
            status: dict[str, Any] = call_operator_rpc(
                self.servers.membership_addresses[index], "upkeep_status", [], CALL_TIMEOUT_MS
            )
        except OperatorRpcError:
            return {}
        return status

    def leader_status(self, wait_seconds: float = 10.0) -> dict[str, Any]:
        """Waits for a leader and returns its answer to `upkeep_status`.

        The result is empty if there is no leader within `wait_seconds`, or if it does not answer.
        """
        try:
            return self.maintenance_status(self.leader(wait_seconds))
        except RuntimeError:
            return {}

    def unavailable_count(self) -> int:
        """Returns how many machines the leader counts as draining, out of service or returning."""
        requests = self.leader_status(2.0).get("wishes", [])
        return sum(request["stage"] in UNAVAILABLE_STATES for request in requests)

    def has_permitted(self, leader: int) -> bool:
        """Returns whether any open request has got a permit, according to the given leader."""
        requests = self.maintenance_status(leader).get("wishes", [])
        return any(request["stage"] != RequestState.REQUESTED.value for request in requests)

    def request_maintenance(
        self, names: Iterable[str], minutes: float = DEFAULT_DURATION_MINUTES, urgency: float = 1.0
    ) -> None:
        """Requests maintenance of servers from the leader.

        Args:
            names: Names of the servers.
            minutes: Expected duration of the maintenance of each server.
            urgency: Priority of the requests; a higher one is served earlier.
        """
        rows = [[name, minutes, urgency, 0.0, float("inf"), False, ""] for name in names]
        self.call(self.leader(), "upkeep_ask", *rows)

    def wait_until_ended(self, names: Iterable[str], wait_seconds: float) -> bool:
        """Waits until no request for any of `names` is open; returns whether that happened in time."""
        requested = set(names)

        def have_ended() -> bool:
            status = self.leader_status(2.0)
            if not status.get("leads"):
                return False
            return requested.isdisjoint(request["name"] for request in status["wishes"])

        return self.servers.wait_until(wait_seconds, have_ended)

    def final_states(self) -> dict[str, str]:
        """Returns the final state of the latest ended request of each server, by server name."""
        rows = self.call(self.leader(), "upkeep_history")
        return {row["name"]: row["end"] for row in rows}

    # Requirements

    def require_ended(
        self, row: ExperimentRow, names: Iterable[str], wait_seconds: float, prefix: str = ""
    ) -> None:
        """Requires that within `wait_seconds` no request for any of `names` is open.

        A violation begins with `prefix`.
        """
        has_ended = self.wait_until_ended(names, wait_seconds)
        status = {} if has_ended else self.leader_status()
        row.require(has_ended, f"{prefix}maintenance has not ended after {wait_seconds:g} s: {status}")

    def require_completed(self, row: ExperimentRow, names: Iterable[str]) -> None:
        """Requires that exactly the servers `names` have ended requests, and that all were completed."""
        states = self.final_states()
        expected = dict.fromkeys(names, RequestState.COMPLETED.value)
        row.require(states == expected, f"final states of requests: {states}")

    def check(self, row: ExperimentRow) -> None:
        """Stops all servers, and checks the requirements that hold under any faults.

        They are those of `PolicyHarness.check`, and that each maintenance permit is used at most once.
        """
        self.stop_supervisor()
        if self._supervisor.is_alive():
            self._supervisor.join(5.0)
        departures = [entry for entry in self.servers.history() if entry[1] == "left"]
        permits = [entry[3] for entry in departures]
        row.require(len(permits) == len(set(permits)), f"a permit was used twice: {departures}")
        row.figures |= {"left": len(departures), "started_again": self.restart_count}
        super().check(row)

    def _supervise(self) -> None:
        ended_at: dict[int, float] = {}
        while self.is_supervising:
            for index, process in list(self.servers.processes.items()):
                if process.poll() is None or index in self.not_restarted:
                    ended_at.pop(index, None)
                    continue
                now = time.monotonic()
                if now - ended_at.setdefault(index, now) > OUTAGE_SECONDS:
                    ended_at.pop(index)
                    self.restart_count += 1
                    self.start(index)
            time.sleep(POLL_INTERVAL_SECONDS)
