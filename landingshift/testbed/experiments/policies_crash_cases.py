"""Cases of a policy change with servers that are killed, paused, drained or of an older build."""

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
"""Failpoints, named as processes know them."""
MIN_DIED_COUNT = 7
"""Of the steps: at each a server must have died, but for one that may not have been reached."""
MAX_LEADER_CHANGES = 12


def without_faults(harness: PolicyHarness, row: ExperimentRow) -> None:
    """Three changes in a row, each proposed twice."""
    harness.start_all()
    for number in range(3):
        began = time.monotonic()
        change_id = harness.propose(number % harness.server_count, number)
        harness.propose((number + 1) % harness.server_count, number, change_id)
        harness.require_committed(row, (number + 2) % harness.server_count, change_id)
        harness.require_version(row, number + 1)
        row.figures["took_s"] = round(time.monotonic() - began, 2)


def down_all_along(harness: PolicyHarness, row: ExperimentRow) -> None:
    """One is killed before the change, which is withdrawn; declared gone, it does not hinder the next one."""
    harness.start_all()
    last = harness.server_count - 1
    name = harness.servers.name(last)
    harness.servers.kill(last)
    timeout_seconds = CHANGE_TIMEOUT_MS / 1000.0 + 8.0
    status = harness.wait_for_outcome(0, harness.propose(0, 1), timeout_seconds)
    row.require(status["end"] == "withdrawn" and name in status["said"], f"it is {status}")
    harness.declare_gone(1, name)
    harness.require_committed(row, 1, harness.propose(1, 2))
    harness.require_version(row, 1)
    harness.start(last)
    harness.require_version(row, 1, 15.0)


def lease_expires(harness: PolicyHarness, row: ExperimentRow) -> None:
    """One is killed before the change, where those cut off stand aside: it passes once the lease is over."""
    harness.start_all()
    last = harness.server_count - 1
    harness.servers.kill(last)
    began = time.monotonic()
    harness.require_committed(row, 0, harness.propose(0, 1))
    took_seconds = time.monotonic() - began
    row.figures["took_s"] = round(took_seconds, 2)
    row.require(took_seconds < LEASE_MS / 1000.0 + 2.5, f"took {row.figures['took_s']} s")
    harness.start(last)
    harness.require_version(row, 1, 15.0)


def down_at_the_commit(harness: PolicyHarness, row: ExperimentRow) -> None:
    """A member dies as it is prepared and is back a second later; the change takes hold everywhere."""
    last = harness.server_count - 1
    faults = harness.servers.faults
    harness.start_all((last,))
    faults.expected_to_die.add(harness.servers.name(last))
    harness.start(last, LANDINGSHIFT_CRASH="policies.armed")
    harness.wait_until_ready(last)
    change_id = harness.propose(0, 1)
    row.require(harness.wait_for_exit(last, 8.0), "it did not die")
    faults.killed.add(harness.servers.name(last))
    time.sleep(1.0)
    harness.start(last)
    harness.require_committed(row, 1, change_id)
    harness.require_version(row, 1, 15.0)


def killed_at_each_step(harness: PolicyHarness, row: ExperimentRow) -> None:
    """Member, leader and voter die at each named step of a change."""
    harness.start_all()
    version = 0
    for number, step in enumerate((*MEMBER_STEPS, *LEADER_STEPS, *DISK_STEPS), 1):
        victim = _victim_of(harness, step)
        _start_to_die_at(harness, victim, step)
        if step in LEADER_STEPS:
            _make_leader(harness, victim)
        proposer = harness.server_count - 2
        change_id = harness.propose(proposer, number)
        harness.wait_for_exit(victim, 6.0)
        if harness.has_exited(victim):
            harness.servers.faults.killed.add(harness.servers.name(victim))
            row.figures[step] = "died"
            time.sleep(0.3)
            harness.start(victim)
        status = harness.wait_for_outcome(proposer, change_id, 20.0)
        row.require(status["end"] in FINAL_OUTCOMES, f"{step}: {status}")
        version += status["end"] == "taken"
        harness.require_version(row, version, 15.0)
    died_count = sum(value == "died" for value in row.figures.values())
    row.require(died_count >= MIN_DIED_COUNT, f"too few died: {row.figures}")


def _victim_of(harness: PolicyHarness, step: str) -> int:
    """Returns who comes to a step: a member, the leader, or a voter that follows it."""
    if step in MEMBER_STEPS:
        return harness.server_count - 1
    leader = harness.leader()
    return leader if step in LEADER_STEPS else (leader + 1) % len(harness.voters)


def _start_to_die_at(harness: PolicyHarness, index: int, step: str) -> None:
    """Starts a server anew, which learns at its start where it is to die."""
    servers = harness.servers
    servers.kill(index)
    died_path = f"{servers.folder}/{step}.died"
    servers.faults.expected_to_die.add(servers.name(index))
    harness.start(index, LANDINGSHIFT_CRASH=step, LANDINGSHIFT_CRASH_ONCE=died_path)
    harness.wait_until_ready_or_exited(index)


def _make_leader(harness: PolicyHarness, index: int) -> None:
    """Makes a voter the leader: others that lead are paused for a moment."""
    for _ in range(MAX_LEADER_CHANGES):
        leader = harness.leader()
        if leader == index:
            return
        harness.servers.pause(leader, 2.5)
        time.sleep(2.8)


def proposer_killed(harness: PolicyHarness, row: ExperimentRow) -> None:
    """Who was asked dies at once; asked again elsewhere with the same id, it is done once."""
    harness.start_all()
    last = harness.server_count - 1
    change_id = harness.propose(last, 1)
    harness.servers.kill(last)
    harness.start(last)
    harness.propose(1, 1, change_id)
    harness.require_committed(row, 2, change_id)
    harness.require_version(row, 1, 15.0)


def leader_paused(harness: PolicyHarness, row: ExperimentRow) -> None:
    """The leader stands still past its lease in the middle of a change and goes on as if nothing had been."""
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
    """Cut off with one member, the leader is paused and resumes: it must not vouch for that one any more."""
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
    """One build can't read the change: it is named, and nobody decides by the change."""
    last = harness.server_count - 1
    harness.start_all((last,))
    harness.start(last, LANDINGSHIFT_FORMAT="1")
    row.require(harness.wait_until_ready(last), "the older build does not decide")
    change_id = "newer"
    harness.change_ids.append(change_id)
    policy = parse_policy(f"format = 2\n[methods.{METHOD}]\nlate_share = 0.4")
    harness.call(0, "policy_do", change_id, "propose", policy, "lab", "a newer format")
    status = harness.wait_for_outcome(1, change_id)
    reason = f"n{last}: format: this build reads up to 1, not 2"
    row.require(status["end"] == "refused" and status["said"] == reason, f"it is {status}")
    harness.require_committed(row, 1, harness.propose(1, 1))
    harness.require_version(row, 1)


def members_join_and_leave(harness: PolicyHarness, row: ExperimentRow) -> None:
    """A member is started in the middle of a change, and another drained in that of the next."""
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
