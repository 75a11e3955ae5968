"""Operators of a simulated cluster: they change the policy and the voters, and request maintenance."""

from __future__ import annotations

from functools import partial

from landingshift.maintenance.commands import AddRequests
from landingshift.maintenance.requests import MaintenanceRequest
from landingshift.policies.commands import FINAL_OUTCOMES
from landingshift.policies.messages import ChangeVoters, FindChange, ProposeChange
from landingshift.testbed.simulation.cluster_context import server_name
from landingshift.testbed.simulation.cluster_state import ClusterState
from landingshift.testbed.simulation.policy_documents import AUTHOR, COMMENT, policy_document
from landingshift.testbed.simulation.server import SimulatedServer
from landingshift.testbed.verification.history import ChangeEnded, MaintenanceRequested

RETRY_INTERVAL_MS = 500.0
"""Interval between two attempts to request maintenance."""
MAX_RETRY_COUNT = 30


class SimulatedOperators:
    """Gives operators' commands and records the outcomes of policy changes.

    Attributes:
        change_ids: Ids of all policy changes proposed so far.
    """

    def __init__(self, state: ClusterState) -> None:
        self._state = state
        self.change_ids: list[str] = []
        self._recorded_outcomes: set[tuple[str, str]] = set()

    def propose_change(self, server: SimulatedServer) -> None:
        """Proposes a new policy to a server."""
        change_id = f"c{len(self.change_ids)}"
        self.change_ids.append(change_id)
        command = ProposeChange(policy_document(len(self.change_ids)), AUTHOR, COMMENT)
        server.policy_node.submit_command(change_id, command, server.host.clock_ms())
        server.host.run_once()

    def change_voter(self, server: SimulatedServer, target_index: int) -> None:
        """Asks `server` to remove another server from the voters, or to add it if it is not a voter.

        `target_index` selects the other server among the initial voters and one further server, modulo their
        count. Only these servers have a Raft log, which a voter needs.
        """
        candidate_count = len(self._state.config.policies.voters) + 1
        name = server_name(target_index % candidate_count)
        verb = "remove" if name in server.policy_node.participant.discovery.voters else "add"
        command = ChangeVoters(verb == "add", name)
        server.policy_node.submit_command(f"{verb} {name}", command, server.host.clock_ms())
        server.host.run_once()

    def request_maintenance(
        self, names: list[str], minutes: float, retry_count: int = MAX_RETRY_COUNT
    ) -> None:
        """Asks the leader for maintenance of the named servers, each for `minutes`.

        Retries up to `retry_count` times while there is no leader or the leader can't accept the request.
        """
        leader = self._state.leader()
        if leader is not None and _propose_maintenance(leader, names, minutes):
            self._state.maintenance_minutes |= dict.fromkeys(names, minutes)
            self._state.record(MaintenanceRequested.KIND, tuple(names))
            leader.host.run_once()
        elif retry_count:
            retry = partial(self.request_maintenance, names, minutes, retry_count - 1)
            self._state.network.schedule_after(RETRY_INTERVAL_MS, retry)

    def open_change_ids(self) -> list[str]:
        """Returns the ids of policy changes without a recorded final outcome from any server."""
        names = [server.name for server in self._state.servers.values()]
        return [
            change_id
            for change_id in self.change_ids
            if not any((name, change_id) in self._recorded_outcomes for name in names)
        ]

    def record_outcomes(self, include_recorded: bool = False) -> None:
        """For each running server, records the final outcomes of policy changes that the server knows.

        Args:
            include_recorded: If True, also records outcomes that have already been recorded.
        """
        for server in self._state.running_servers():
            for change_id in self.change_ids:
                status = server.policy_node.change_status(change_id)
                is_recorded = (server.name, change_id) in self._recorded_outcomes
                if status.outcome in FINAL_OUTCOMES and (include_recorded or not is_recorded):
                    self._recorded_outcomes.add((server.name, change_id))
                    self._state.record(
                        ChangeEnded.KIND, server.name, change_id, status.outcome, status.version
                    )

    def ask_for_outcomes(self) -> None:
        """Asks each running server to find out the outcomes of policy changes that it does not know."""
        for server in self._state.servers.values():
            for change_id in self.change_ids:
                is_open = server.policy_node.change_status(change_id).outcome not in FINAL_OUTCOMES
                if server.host.is_up and is_open:
                    server.policy_node.submit_command(change_id, FindChange(), server.host.clock_ms())
                    server.host.run_once()


def _propose_maintenance(leader: SimulatedServer, names: list[str], minutes: float) -> bool:
    requested_at_unix_ms = leader.wall_clock_ms()
    requests = tuple(MaintenanceRequest(name, minutes, requested_at_unix_ms) for name in names)
    return leader.maintenance.environment.propose(AddRequests(requests))
