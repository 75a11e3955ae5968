"""Harness for real servers with `[policies]` enabled, with operator calls that propose policy changes."""

from __future__ import annotations

import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import Any

from landingshift.membership.operator_rpc import OperatorRpcError, call_operator_rpc
from landingshift.policies.document import parse_policy
from landingshift.testbed.errors import MemberNotGoneError, NoLeaderError, NotAllDecideError
from landingshift.testbed.experiments.partitions import no_cut
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.processes.fault_proxy import LinkRule
from landingshift.testbed.processes.gateway_load import FAILED_OUTCOMES
from landingshift.testbed.processes.harness import ProcessHarness, format_address
from landingshift.testbed.processes.history import HistoryEntry
from landingshift.testbed.processes.single_server import METHOD, TENANT
from landingshift.testbed.processes.stand_ins import StandInCapacity
from landingshift.testbed.verification.invariants import find_violations

OVERLAP_MS = 1000.0
"""Longest time for which two versions of the policy are allowed to be in use at once."""
LEASE_MS = 2000.0
CHANGE_TIMEOUT_MS = 8000.0
"""Time after which a change that has not ended is withdrawn."""
RUN_MS = 40.0
CORE_COUNT = 1
SERVER_RPCS_PER_SECOND = CORE_COUNT * 1000.0 / RUN_MS
OVERLOAD_RATIO = 1.2
"""Ratio of the RPC rate to the rate that all engines together can serve."""
CALLS_PER_SECOND_EACH = 1000.0
LIST_REQUESTS_PER_SECOND = 20.0
VOTER_COUNT = 3
PEER_COUNT = 4
FINAL_OUTCOMES = ("taken", "refused", "withdrawn")
CLOCK_OFFSETS_MS = ("0", "2000", "-2000")
"""Offsets of the servers' wall clocks, assigned in turn."""
SERVE = "serve"
STAND_ASIDE = "stand_aside"
CALL_TIMEOUT_MS = 1500.0
START_TIMEOUT_SECONDS = 30.0
GONE_TIMEOUT_SECONDS = 15.0
FINAL_OUTCOME_TIMEOUT_SECONDS = 6.0
KILLED_STATUS = -9
LEADS = "leads"
DECIDES = "decides"


def policy_document(number: int) -> bytes:
    """Returns an encoded policy that is different for each number."""
    return parse_policy(
        f"[methods.{METHOD}]\ncriticality = {2 + number}\n[tenants.{TENANT}]\nallowance_s = 9000"
    )


class PolicyHarness:
    """Runs servers under load and calls them as operators do. The servers with the lowest indexes vote.

    Attributes:
        server_count: Number of servers.
        seed: Seed of all random draws.
        voters: Names of the voters.
        servers: Harness of the server processes and stand-ins.
        change_ids: Ids of the proposed changes whose outcome is checked.
        outcome_events: Final outcomes that servers reported, as history entries.
    """

    def __init__(
        self,
        folder: str,
        count: int,
        seed: int,
        when_cut_off: str = SERVE,
        load: float = OVERLOAD_RATIO,
        warm_up_ms: float = 0.0,
        voters: int = VOTER_COUNT,
    ) -> None:
        """Starts the stand-ins, but no server.

        Args:
            folder: Folder for the files of the run.
            count: Number of servers.
            seed: Seed of all random draws.
            when_cut_off: What a server without a lease does: `SERVE` or `STAND_ASIDE`.
            load: Ratio of the RPC rate to the rate that all engines together can serve.
            warm_up_ms: Warm-up time of an engine.
            voters: Number of voters.
        """
        self.server_count = count
        self.seed = seed
        self.voters = [f"n{index}" for index in range(voters)]
        self.change_ids: list[str] = []
        self.outcome_events: list[HistoryEntry] = []
        self._when_cut_off = when_cut_off
        capacity = StandInCapacity(
            calls_per_second=CALLS_PER_SECOND_EACH * count,
            list_requests_per_second=LIST_REQUESTS_PER_SECOND,
            cache_fill_calls=0,
            warm_up_ms=warm_up_ms,
            run_ms=RUN_MS,
            core_count=CORE_COUNT,
        )
        rpcs_per_second = load * count * SERVER_RPCS_PER_SECOND
        self.servers = ProcessHarness(folder, count, seed, self._toml, rpcs_per_second, capacity)

    def _toml(self, index: int) -> str:
        addresses = [endpoint.address for endpoint in self.servers.proxy.endpoints.values()]
        peers = ", ".join(f'"{format_address(address)}"' for address in addresses[:PEER_COUNT])
        has_journal = index <= len(self.voters)  # voters, and one server that can be added as a voter
        journal = f'journal = "{self.journal_path(index)}"' if has_journal else ""
        return f"""
[fleet]
fleet = "lab"
listen = "{format_address(self.servers.membership_addresses[index])}"
advertise = "{format_address(addresses[index])}"
peers = [{peers}]
[policies]
voters = {self.voters}
when_cut_off = "{self._when_cut_off}"
overlap_ms = {OVERLAP_MS}
lease_ms = {LEASE_MS}
wait_ms = {CHANGE_TIMEOUT_MS}
{journal}
{self.extra_tables(index)}"""

    def extra_tables(self, _index: int) -> str:
        """Returns the settings of a server for other packages, as TOML."""
        return ""

    def journal_path(self, index: int) -> Path:
        """Returns the path of a voter's log."""
        return Path(self.servers.folder, f"n{index}.agreed")

    # Servers

    def start(self, index: int, **variables: str) -> None:
        """Starts a server with a wall clock offset.

        Args:
            index: Index of the server.
            **variables: Additional environment variables.
        """
        clock_offset = CLOCK_OFFSETS_MS[index % len(CLOCK_OFFSETS_MS)]
        self.servers.start(index, LANDINGSHIFT_CLOCK=clock_offset, **variables)

    def start_all(self, but: tuple[int, ...] = ()) -> None:
        """Starts all servers except `but`, and waits until all that run decide RPCs by a policy.

        Raises:
            NotAllDecideError: That takes longer than `START_TIMEOUT_SECONDS`.
        """
        for index in range(self.server_count):
            if index not in but:
                self.start(index)
        if not self.servers.wait_until(START_TIMEOUT_SECONDS, self.all_decide):
            raise NotAllDecideError(self.statuses())

    def running(self) -> list[int]:
        """Returns the indexes of the servers that are running."""
        killed = self.servers.faults.killed
        return [
            index
            for index, process in self.servers.processes.items()
            if process.poll() is None and self.servers.name(index) not in killed
        ]

    def has_exited(self, index: int) -> bool:
        """Returns whether a server's process has ended."""
        return self.servers.processes[index].poll() is not None

    def wait_for_exit(self, index: int, timeout_seconds: float) -> bool:
        """Waits until a server's process has ended; returns whether that happened in time."""
        return self.servers.wait_until(timeout_seconds, lambda: self.has_exited(index))

    def wait_until_ready(self, index: int, timeout_seconds: float = 10.0) -> bool:
        """Waits until a server decides RPCs by a policy; returns whether that happened in time."""
        return self.servers.wait_until(timeout_seconds, lambda: self.decides(index))

    def wait_until_ready_or_exited(self, index: int, timeout_seconds: float = 10.0) -> None:
        """Waits until a server decides RPCs by a policy, its process has ended, or the time is over."""
        self.servers.wait_until(timeout_seconds, lambda: self.has_exited(index) or self.decides(index))

    def close(self) -> None:
        """Stops all processes."""
        self.servers.close()

    # Operator calls

    def call(self, index: int, name: str, *params: Any) -> Any:
        """Makes an operator RPC named `name` to a server and returns its result.

        Raises:
            OperatorRpcError: The server does not answer in time or rejects the call.
        """
        address = self.servers.membership_addresses[index]
        return call_operator_rpc(address, name, list(params), CALL_TIMEOUT_MS)

    def status(self, index: int) -> dict[str, Any]:
        """Returns a server's answer to `policy_status`; empty if it does not answer."""
        try:
            status: dict[str, Any] = self.call(index, "policy_status")
        except OperatorRpcError:
            return {}
        return status

    def statuses(self) -> list[dict[str, Any]]:
        """Returns the status of each running server."""
        return [self.status(index) for index in self.running()]

    def decides(self, index: int) -> bool:
        """Returns whether a server decides RPCs by a policy."""
        return bool(self.status(index).get(DECIDES))

    def all_decide(self) -> bool:
        """Returns whether all running servers decide RPCs by a policy."""
        return all(self.decides(index) for index in self.running())

    def leader(self, timeout_seconds: float = 10.0) -> int:
        """Waits for a leader, and returns its index.

        Raises:
            NoLeaderError: There is no leader within the timeout.
        """
        leaders: list[int] = []

        def has_leader() -> bool:
            candidates = [index for index in self.running() if index <= len(self.voters)]
            leaders[:] = [index for index in candidates if self.status(index).get(LEADS)]
            return bool(leaders)

        if not self.servers.wait_until(timeout_seconds, has_leader):
            raise NoLeaderError
        return leaders[0]

    def declare_gone(self, index: int, name: str) -> None:
        """Tells a server that a member is gone for good, repeatedly until the server accepts the command.

        Args:
            index: Index of the server that is told.
            name: Name of the member.

        Raises:
            MemberNotGoneError: The server does not accept the command within `GONE_TIMEOUT_SECONDS`, because
                the fleet has not noticed that the member is gone.
        """

        def is_accepted() -> bool:
            try:
                return bool(self.call(index, "policy_do", f"gone {name}", "gone", name))
            except OperatorRpcError:
                return False

        if not self.servers.wait_until(GONE_TIMEOUT_SECONDS, is_accepted):
            raise MemberNotGoneError(name, index)

    # Changes

    def propose(self, index: int, number: int, change_id: str = "") -> str:
        """Proposes a policy change to a server; returns the id of the change.

        Args:
            index: Index of the server.
            number: Number of the policy, see `policy_document`.
            change_id: Id of the change, to propose it again or to choose the id; "" for a new id.
        """
        change_id = change_id or f"c{len(self.change_ids)}"
        if change_id not in self.change_ids:
            self.change_ids.append(change_id)
        with suppress(OperatorRpcError):  # a server that crashed or is paused might have got the proposal
            self.call(index, "policy_do", change_id, "propose", policy_document(number), "lab", "a trial")
        return change_id

    def change_status(self, index: int, change_id: str) -> dict[str, Any]:
        """Returns what a server reports about a change, and records a final outcome in `outcome_events`.

        If the server knows no final outcome, it is told to look for one. A server that does not answer is
        reported as "unknown".
        """
        try:
            status: dict[str, Any] = self.call(index, "policy_known", change_id)
            if status["end"] not in FINAL_OUTCOMES:
                self.call(index, "policy_do", change_id, "find")
        except OperatorRpcError:
            return {"end": "unknown", "version": 0, "said": ""}
        if status["end"] in FINAL_OUTCOMES:
            now_ms = time.monotonic() * 1000.0
            name = self.servers.name(index)
            self.outcome_events.append((now_ms, "end", name, change_id, status["end"], status["version"]))
        return status

    def has_ended(self, index: int, change_id: str) -> bool:
        """Returns whether a server knows the final outcome of a change."""
        return self.change_status(index, change_id)["end"] in FINAL_OUTCOMES

    def wait_for_outcome(self, index: int, change_id: str, timeout_seconds: float = 15.0) -> dict[str, Any]:
        """Waits until a server knows the final outcome of a change, and returns its last `change_status`."""
        status: dict[str, Any] = {}

        def has_ended() -> bool:
            status.clear()
            status.update(self.change_status(index, change_id))
            return status["end"] in FINAL_OUTCOMES

        self.servers.wait_until(timeout_seconds, has_ended)
        return status

    def forget_unknown_changes(self) -> None:
        """Removes the changes from `change_ids` whose final outcome the first server does not know.

        Such a change was lost when the server that it was proposed to crashed.
        """
        self.change_ids = [change_id for change_id in self.change_ids if self.has_ended(0, change_id)]

    # Partitions

    def partition(self, rule: LinkRule) -> None:
        """Cuts all links for which the rule returns true, and no other ones."""
        self.servers.run_on_loop(lambda: setattr(self.servers.proxy, "is_cut", rule))

    def heal(self) -> None:
        """Ends all partitions."""
        self.partition(no_cut)

    def set_loss(self, loss_fraction: float) -> None:
        """Sets the fraction of datagrams that are lost."""
        self.servers.run_on_loop(lambda: setattr(self.servers.proxy, "loss_fraction", loss_fraction))

    # Requirements

    def require_committed(
        self, row: ExperimentRow, index: int, change_id: str, timeout_seconds: float = 15.0
    ) -> None:
        """Requires that a server reports a change as committed in time."""
        status = self.wait_for_outcome(index, change_id, timeout_seconds)
        row.require(status["end"] == "taken", f"{change_id} was not committed: {status}")

    def require_version(self, row: ExperimentRow, version: int, timeout_seconds: float = 10.0) -> None:
        """Requires that all running servers decide RPCs by the given version in time."""

        def have_all_version() -> bool:
            statuses = self.statuses()
            return all(status.get("version") == version and status[DECIDES] for status in statuses)

        if not self.servers.wait_until(timeout_seconds, have_all_version):
            row.require(False, f"not all servers decide by version {version}: {self.statuses()}")

    def require_agreement(self, row: ExperimentRow, timeout_seconds: float) -> None:
        """Requires that all running servers decide RPCs by the same version in time.

        The version itself is not checked, because an open change can still commit.
        """

        def all_agree() -> bool:
            statuses = self.statuses()
            are_deciding = all(status.get(DECIDES) for status in statuses)
            return are_deciding and len({status["version"] for status in statuses}) == 1

        is_agreed = self.servers.wait_until(timeout_seconds, all_agree)
        row.require(is_agreed, f"not all servers decide by the same version: {self.statuses()}")

    def check(self, row: ExperimentRow) -> None:
        """Stops all servers, and checks the requirements that hold under any faults.

        All running servers know the outcomes of all changes, the history violates no invariant, all RPCs are
        answered and none fails, and servers exit with status 0 unless they were killed.
        """
        self._require_outcomes(row)
        unanswered = self.servers.end_load()
        statuses = self.servers.shut_down_all()
        history = sorted([*self.servers.history(), *self.outcome_events], key=lambda entry: entry[0])
        decisions = [entry for entry in history if entry[1] == "decided"]
        row.violations += find_violations(history, OVERLAP_MS)
        outcomes = self.servers.load.outcomes
        row.figures |= {
            "decided": len(decisions),
            "versions": len({entry[3] for entry in decisions}),
            "ends": self._count_outcomes(),
            "rpcs": dict(outcomes),
            "overlap_ms": round(max_overlap_ms(decisions)),
        }
        for failure in FAILED_OUTCOMES:
            row.require(not outcomes[failure], f"{outcomes[failure]} RPCs {failure}")
        row.require(not unanswered, f"{unanswered} RPCs were never answered")
        failed = [status for status in statuses if status not in (0, KILLED_STATUS)]
        row.require(not failed, f"unexpected exit status of a server, among {set(statuses)}")

    def _require_outcomes(self, row: ExperimentRow) -> None:
        for change_id in self.change_ids:
            for index in self.running():
                status = self.wait_for_outcome(index, change_id, FINAL_OUTCOME_TIMEOUT_SECONDS)
                has_ended = status["end"] in FINAL_OUTCOMES
                name = self.servers.name(index)
                row.require(has_ended, f"{name} knows no final outcome of {change_id}: {status}")

    def _count_outcomes(self) -> dict[str, int]:
        outcomes = {(entry[3], entry[4]) for entry in self.outcome_events}
        return dict(Counter(outcome for _, outcome in outcomes))


def max_overlap_ms(decisions: list[HistoryEntry]) -> float:
    """Returns the longest time for which two consecutive versions were in use at once, or 0.

    Args:
        decisions: "decided" entries of a history in order of time.
    """
    first_ms: dict[int, float] = {}
    last_ms: dict[int, float] = {}
    for at_ms, _, _, version, _ in decisions:
        first_ms.setdefault(version, at_ms)
        last_ms[version] = at_ms
    return max(
        (last_ms[version] - first_ms[version + 1] for version in last_ms if version + 1 in first_ms),
        default=0.0,
    )
