"""Real servers with `[policies]` on, and operators that propose policy changes."""

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
"""For which two versions of the policy may be in use at once."""
LEASE_MS = 2000.0
CHANGE_TIMEOUT_MS = 8000.0
"""After which a change that hangs is withdrawn."""
RUN_MS = 40.0
CORE_COUNT = 1
SERVER_RPCS_PER_SECOND = CORE_COUNT * 1000.0 / RUN_MS
OVERLOAD_RATIO = 1.2
"""Of what all engines together can do."""
CALLS_PER_SECOND_EACH = 1000.0
LIST_REQUESTS_PER_SECOND = 20.0
VOTERS_COUNT = 3
PEERS_COUNT = 4
FINAL_OUTCOMES = ("taken", "refused", "withdrawn")
CLOCK_OFFSETS_MS = ("0", "2000", "-2000")
"""Of servers' wall clocks, in turn."""
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
    """Returns a policy that differs from those of other numbers."""
    return parse_policy(
        f"[methods.{METHOD}]\ncriticality = {2 + number}\n[tenants.{TENANT}]\nallowance_s = 9000"
    )


class PolicyHarness:
    """Servers that answer RPCs all the while, of which the first ones vote.

    Attributes:
        server_count: How many servers there are.
        seed: Of all that is drawn.
        voters: Their names.
        servers: The processes.
        change_ids: Of all changes that were proposed.
        outcome_events: What servers said of changes that ended, in the form of a history.
    """

    def __init__(
        self,
        folder: str,
        count: int,
        seed: int,
        when_cut_off: str = SERVE,
        load: float = OVERLOAD_RATIO,
        warm_up_ms: float = 0.0,
        voters: int = VOTERS_COUNT,
    ) -> None:
        """Starts stand-ins, and no server yet.

        Args:
            folder: For files.
            count: How many servers there are.
            seed: Of all that is drawn.
            when_cut_off: What a server without a lease does.
            load: RPCs that come over what all engines together can do.
            warm_up_ms: Of an engine.
            voters: How many vote.
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
        peers = ", ".join(f'"{format_address(address)}"' for address in addresses[:PEERS_COUNT])
        has_journal = index <= len(self.voters)  # one more than vote, which can be made a voter
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
        """Returns the settings of other packages."""
        return ""

    def journal_path(self, index: int) -> Path:
        """Returns where a voter's log is."""
        return Path(self.servers.folder, f"n{index}.agreed")

    # Servers

    def start(self, index: int, **variables: str) -> None:
        """Starts a server, whose wall clock is off."""
        clock_offset = CLOCK_OFFSETS_MS[index % len(CLOCK_OFFSETS_MS)]
        self.servers.start(index, LANDINGSHIFT_CLOCK=clock_offset, **variables)

    def start_all(self, but: tuple[int, ...] = ()) -> None:
        """Starts all servers except `but`.

        Raises:
            NotAllDecideError: Not all have a policy to decide by in time.
        """
        for index in range(self.server_count):
            if index not in but:
                self.start(index)
        if not self.servers.wait_until(START_TIMEOUT_SECONDS, self.all_decide):
            raise NotAllDecideError(self.statuses())

    def running(self) -> list[int]:
        """Returns the servers that run."""
        killed = self.servers.faults.killed
        return [
            index
            for index, process in self.servers.processes.items()
            if process.poll() is None and self.servers.name(index) not in killed
        ]

    def has_exited(self, index: int) -> bool:
        """Whether a server's process has ended."""
        return self.servers.processes[index].poll() is not None

    def wait_for_exit(self, index: int, timeout_seconds: float) -> bool:
        """Waits until a server's process has ended; returns whether it did in time."""
        return self.servers.wait_until(timeout_seconds, lambda: self.has_exited(index))

    def wait_until_ready(self, index: int, timeout_seconds: float = 10.0) -> bool:
        """Waits until a server decides by a policy; returns whether it does in time."""
        return self.servers.wait_until(timeout_seconds, lambda: self.decides(index))

    def wait_until_ready_or_exited(self, index: int, timeout_seconds: float = 10.0) -> None:
        """Waits until a server decides by a policy, or its process has ended."""
        self.servers.wait_until(timeout_seconds, lambda: self.has_exited(index) or self.decides(index))

    def close(self) -> None:
        """Ends all servers."""
        self.servers.close()

    # Operators

    def call(self, index: int, name: str, *params: Any) -> Any:
        """Calls a server as an operator does."""
        address = self.servers.membership_addresses[index]
        return call_operator_rpc(address, name, list(params), CALL_TIMEOUT_MS)

    def status(self, index: int) -> dict[str, Any]:
        """Returns what a server answers to `policy_status`; empty where it does not answer."""
        try:
            status: dict[str, Any] = self.call(index, "policy_status")
        except OperatorRpcError:
            return {}
        return status

    def statuses(self) -> list[dict[str, Any]]:
        """Returns the status of each server that runs."""
        return [self.status(index) for index in self.running()]

    def decides(self, index: int) -> bool:
        """Whether a server decides by a policy."""
        return bool(self.status(index).get(DECIDES))

    def all_decide(self) -> bool:
        """Whether all servers that run decide by a policy."""
        return all(self.decides(index) for index in self.running())

    def leader(self, timeout_seconds: float = 10.0) -> int:
        """Waits for a leader, and returns it.

        Raises:
            NoLeaderError: Nobody leads in time.
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
        """Tells a server that a member is gone for good.

        Raises:
            MemberNotGoneError: The fleet has not noticed in time that it is, and does not accept the command.
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
        """Proposes a change to a server; returns its id.

        Args:
            index: The server that is asked.
            number: Of the policy.
            change_id: The same as before where the change is proposed again.
        """
        change_id = change_id or f"c{len(self.change_ids)}"
        if change_id not in self.change_ids:
            self.change_ids.append(change_id)
        with suppress(OperatorRpcError):  # killed by it, or paused: it may have got the command
            self.call(index, "policy_do", change_id, "propose", policy_document(number), "lab", "a trial")
        return change_id

    def change_status(self, index: int, change_id: str) -> dict[str, Any]:
        """Returns what a server knows of a change; a final outcome goes into the history."""
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
        """Whether a server knows the final outcome of a change."""
        return self.change_status(index, change_id)["end"] in FINAL_OUTCOMES

    def wait_for_outcome(self, index: int, change_id: str, timeout_seconds: float = 15.0) -> dict[str, Any]:
        """Waits until a server knows the final outcome of a change; returns what it knows then."""
        status: dict[str, Any] = {}

        def has_ended() -> bool:
            status.clear()
            status.update(self.change_status(index, change_id))
            return status["end"] in FINAL_OUTCOMES

        self.servers.wait_until(timeout_seconds, has_ended)
        return status

    def forget_unknown_changes(self) -> None:
        """Leaves out changes that nobody knows since the server that was asked has died."""
        self.change_ids = [change_id for change_id in self.change_ids if self.has_ended(0, change_id)]

    # Partitions

    def partition(self, rule: LinkRule) -> None:
        """Cuts the links that the rule names."""
        self.servers.run_on_loop(lambda: setattr(self.servers.proxy, "is_cut", rule))

    def heal(self) -> None:
        """Ends all partitions."""
        self.partition(no_cut)

    def set_loss(self, loss_fraction: float) -> None:
        """Sets the share of datagrams that are lost."""
        self.servers.run_on_loop(lambda: setattr(self.servers.proxy, "loss_fraction", loss_fraction))

    # What must hold

    def require_committed(
        self, row: ExperimentRow, index: int, change_id: str, timeout_seconds: float = 15.0
    ) -> None:
        """Requires that a change takes hold, as a server has it."""
        status = self.wait_for_outcome(index, change_id, timeout_seconds)
        row.require(status["end"] == "taken", f"{change_id} is {status}")

    def require_version(self, row: ExperimentRow, version: int, timeout_seconds: float = 10.0) -> None:
        """Requires that all that run decide by a version in time."""

        def all_have_it() -> bool:
            statuses = self.statuses()
            return all(status.get("version") == version and status[DECIDES] for status in statuses)

        if not self.servers.wait_until(timeout_seconds, all_have_it):
            row.require(False, f"not all at version {version}: {self.statuses()}")

    def require_agreement(self, row: ExperimentRow, timeout_seconds: float) -> None:
        """Requires that all decide by one version, whichever: a change under way may still pass."""

        def all_agree() -> bool:
            statuses = self.statuses()
            are_deciding = all(status.get(DECIDES) for status in statuses)
            return are_deciding and len({status["version"] for status in statuses}) == 1

        does_agree = self.servers.wait_until(timeout_seconds, all_agree)
        row.require(does_agree, f"not all decide by one version: {self.statuses()}")

    def check(self, row: ExperimentRow) -> None:
        """Ends all servers, and checks what must hold whatever was done to them."""
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
        row.require(not unanswered, f"{unanswered} RPCs without an answer")
        failed = [status for status in statuses if status not in (0, KILLED_STATUS)]
        row.require(not failed, f"exit status {set(statuses)}")

    def _require_outcomes(self, row: ExperimentRow) -> None:
        for change_id in self.change_ids:
            for index in self.running():
                status = self.wait_for_outcome(index, change_id, FINAL_OUTCOME_TIMEOUT_SECONDS)
                has_ended = status["end"] in FINAL_OUTCOMES
                row.require(has_ended, f"{change_id} has no end at {self.servers.name(index)}: {status}")

    def _count_outcomes(self) -> dict[str, int]:
        outcomes = {(entry[3], entry[4]) for entry in self.outcome_events}
        return dict(Counter(outcome for _, outcome in outcomes))


def max_overlap_ms(decisions: list[HistoryEntry]) -> float:
    """Returns the longest time for which two versions were in use at once."""
    first_ms: dict[int, float] = {}
    last_ms: dict[int, float] = {}
    for at_ms, _, _, version, _ in decisions:
        first_ms.setdefault(version, at_ms)
        last_ms[version] = at_ms
    return max(
        (last_ms[version] - first_ms[version + 1] for version in last_ms if version + 1 in first_ms),
        default=0.0,
    )
