"""Cases of policy changes with servers that crash, are paused, drain, start, or run an older build."""

from __future__ import annotations

import signal
import time
from functools import partial

from landingshift.policies.document import parse_policy
from landingshift.testbed.experiments.partitions import crosses_partition
from landingshift.testbed.experiments.policies_harness import (
    CHANGE_TIMEOUT_MS,
    FINAL_OUTCOMES,
    LEASE_MS,
    PolicyHarness,
)
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.processes.single_server import METHOD

MEMBER_STEPS = ("policies.ready", "policies.armed", "policies.laid")
LEADER_STEPS = ("policies.leads_check", "policies.leads_arm", "policies.leads_switching")
DISK_STEPS = ("policies.written", "policies.synced")
"""Names of failpoints of a member, of the leader, and of a voter's log."""
MIN_DIED_COUNT = 7
"""Minimum number of the eight steps at which a server has to crash. One step might not be reached."""
MAX_LEADER_CHANGES = 12
"""Maximum number of leaders that are paused to make another voter the leader."""


def without_faults(harness: PolicyHarness, row: ExperimentRow) -> None:
    """Three changes in a row are committed, each once although it is proposed to two servers."""
    harness.start_all()
    for number in range(3):
        began = time.monotonic()
        change_id = harness.propose(number % harness.server_count, number)
        harness.propose((number + 1) % harness.server_count, number, change_id)
        harness.require_committed(row, (number + 2) % harness.server_count, change_id)
        harness.require_version(row, number + 1)
        row.figures["took_s"] = round(time.monotonic() - began, 2)


def down_all_along(harness: PolicyHarness, row: ExperimentRow) -> None:
    """With a server down, a change is withdrawn; after the server is declared gone, the next one commits."""
    harness.start_all()
    last = harness.server_count - 1
    name = harness.servers.name(last)
    harness.servers.kill(last)
    timeout_seconds = CHANGE_TIMEOUT_MS / 1000.0 + 8.0
    status = harness.wait_for_outcome(0, harness.propose(0, 1), timeout_seconds)
    is_withdrawn = status["end"] == "withdrawn" and name in status["said"]
    row.require(is_withdrawn, f"the change was not withdrawn because of {name}: {status}")
    harness.declare_gone(1, name)
    harness.require_committed(row, 1, harness.propose(1, 2))
    harness.require_version(row, 1)
    harness.start(last)
    harness.require_version(row, 1, 15.0)


def lease_expires(harness: PolicyHarness, row: ExperimentRow) -> None:
    """With a server down, a change commits after the server's lease expires.

    Servers without a lease stop serving in this case.
    """
    harness.start_all()
    last = harness.server_count - 1
    harness.servers.kill(last)
    began = time.monotonic()
    harness.require_committed(row, 0, harness.propose(0, 1))
    took_seconds = time.monotonic() - began
    row.figures["took_s"] = round(took_seconds, 2)
    is_in_time = took_seconds < LEASE_MS / 1000.0 + 2.5
    row.require(is_in_time, f"the change took {row.figures['took_s']} s")
    harness.start(last)
    harness.require_version(row, 1, 15.0)


def down_at_the_commit(harness: PolicyHarness, row: ExperimentRow) -> None:
    """A member crashes when it is prepared for a change and restarts a second later; the change commits."""
    last = harness.server_count - 1
    faults = harness.servers.faults
    harness.start_all((last,))
    faults.expected_to_die.add(harness.servers.name(last))
    harness.start(last, LANDINGSHIFT_CRASH="policies.armed")
    harness.wait_until_ready(last)
    change_id = harness.propose(0, 1)
    row.require(harness.wait_for_exit(last, 8.0), "the server did not crash")
    faults.killed.add(harness.servers.name(last))
    time.sleep(1.0)
    harness.start(last)
    harness.require_committed(row, 1, change_id)
    harness.require_version(row, 1, 15.0)


def killed_at_each_step(harness: PolicyHarness, row: ExperimentRow) -> None:
    """At each named step of a change the member, the leader or a voter crashes; the change still ends."""
    harness.start_all()
    version = 0
    for number, step in enumerate((*MEMBER_STEPS, *LEADER_STEPS, *DISK_STEPS), 1):
        crashing = _server_that_reaches(harness, step)
        _restart_with_failpoint(harness, crashing, step)
        if step in LEADER_STEPS:
            _make_leader(harness, crashing)
        proposer = harness.server_count - 2
        change_id = harness.propose(proposer, number)
        harness.wait_for_exit(crashing, 6.0)
        if harness.has_exited(crashing):
            harness.servers.faults.killed.add(harness.servers.name(crashing))
            row.figures[step] = "died"
            time.sleep(0.3)
            harness.start(crashing)
        status = harness.wait_for_outcome(proposer, change_id, 20.0)
        row.require(status["end"] in FINAL_OUTCOMES, f"{step}: {status}")
        version += status["end"] == "taken"
        harness.require_version(row, version, 15.0)
    died_count = sum(value == "died" for value in row.figures.values())
    row.require(died_count >= MIN_DIED_COUNT, f"servers crashed at too few steps: {row.figures}")


def _server_that_reaches(harness: PolicyHarness, step: str) -> int:
    """Returns the index of a server that reaches a step: a member, the leader, or a following voter."""
    if step in MEMBER_STEPS:
        return harness.server_count - 1
    leader = harness.leader()
    return leader if step in LEADER_STEPS else (leader + 1) % len(harness.voters)


def _restart_with_failpoint(harness: PolicyHarness, index: int, step: str) -> None:
    """Kills a server and restarts it so that it crashes when it first reaches the step."""
    servers = harness.servers
    servers.kill(index)
    died_path = f"{servers.folder}/{step}.died"
    servers.faults.expected_to_die.add(servers.name(index))
    harness.start(index, LANDINGSHIFT_CRASH=step, LANDINGSHIFT_CRASH_ONCE=died_path)
    harness.wait_until_ready_or_exited(index)


def _make_leader(harness: PolicyHarness, index: int) -> None:
    """Makes a voter the leader by pausing other leaders, at most `MAX_LEADER_CHANGES` times."""
    for _ in range(MAX_LEADER_CHANGES):
        leader = harness.leader()
        if leader == index:
            return
        harness.servers.pause(leader, 2.5)
        time.sleep(2.8)


def proposer_killed(harness: PolicyHarness, row: ExperimentRow) -> None:
    """The server to which a change is proposed is killed at once.

    Proposing it to another server with the same id commits it once.
    """
    harness.start_all()
    last = harness.server_count - 1
    change_id = harness.propose(last, 1)
    harness.servers.kill(last)
    harness.start(last)
    harness.propose(1, 1, change_id)
    harness.require_committed(row, 2, change_id)
    harness.require_version(row, 1, 15.0)


def leader_paused(harness: PolicyHarness, row: ExperimentRow) -> None:
    """The leader is paused during a change for longer than its lease and resumes; the change commits."""
    harness.start_all()
    leader = harness.leader()
    change_id = harness.propose(harness.server_count - 1, 1)
    time.sleep(0.06)
    harness.servers.pause(leader, 4.0)
    time.sleep(0.2)
    harness.require_committed(row, (leader + 1) % 3, change_id, 20.0)
    time.sleep(4.5)
    harness.require_version(row, 1, 10.0)


def leader_cut_and_paused(harness: PolicyHarness, row: ExperimentRow) -> None:
    """A leader is cut off with a member, paused, and resumed: it must not renew the member's lease."""
    harness.start_all()
    leader = harness.leader()
    last = harness.server_count - 1
    side = {harness.servers.name(leader), harness.servers.name(last)}
    harness.partition(partial(crosses_partition, side))
    harness.servers.pause(leader, 5.0)
    change_id = harness.propose((leader + 1) % 3, 1)
    harness.require_committed(row, (leader + 2) % 3, change_id, 15.0)
    time.sleep(4.0)
    harness.heal()
    harness.require_version(row, 1, 15.0)


def older_build(harness: PolicyHarness, row: ExperimentRow) -> None:
    """A server with an older build can't read a change: the change is refused and names the server."""
    last = harness.server_count - 1
    harness.start_all((last,))
    harness.start(last, LANDINGSHIFT_FORMAT="1")
    row.require(harness.wait_until_ready(last), "the server with the older build does not decide RPCs")
    change_id = "newer"
    harness.change_ids.append(change_id)
    policy = parse_policy(f"format = 2\n[methods.{METHOD}]\nlate_share = 0.4")
    harness.call(0, "policy_do", change_id, "propose", policy, "lab", "a newer format")
    status = harness.wait_for_outcome(1, change_id)
    reason = f"n{last}: format: this build reads up to 1, not 2"
    is_refused = status["end"] == "refused" and status["said"] == reason
    row.require(is_refused, f"the change was not refused for the expected reason: {status}")
    harness.require_committed(row, 1, harness.propose(1, 1))
    harness.require_version(row, 1)


def members_join_and_leave(harness: PolicyHarness, row: ExperimentRow) -> None:
    """A member starts during a change, and another one drains during the next; both changes commit."""
    last = harness.server_count - 1
    servers = harness.servers
    harness.start_all((last,))
    version = 0
    for number in range(2):
        change_id = harness.propose(0, number)
        if number == 0:
            harness.start(last)
        else:
            servers.processes[last - 1].send_signal(signal.SIGTERM)
            servers.faults.killed.add(servers.name(last - 1))
        status = harness.wait_for_outcome(1, change_id, 15.0)
        version += status["end"] == "taken"
        row.require(status["end"] == "taken", f"{change_id}: {status}")
    harness.require_version(row, version, 15.0)
