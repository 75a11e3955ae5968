"""Cases of a policy change with voters that are lost or replaced, or whose disks fail."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable

from landingshift.testbed.experiments.policies_harness import DECIDES, PolicyHarness
from landingshift.testbed.experiments.rows import ExperimentRow

DAMAGED_BYTE_OFFSET = 60
FULL_DISK_SPARE_BYTES = 7
"""Less than an entry of the log takes."""
MIN_SAVED_BYTES = 20
"""By which the log has grown once the voter saves again."""
UNUSABLE_LOG_STATUS = 2
SHOWN_OUTPUT_LENGTH = 70


def majority_gone(harness: PolicyHarness, row: ExperimentRow) -> None:
    """Two of three voters are killed: RPCs are decided on, no change passes until they are back."""
    harness.start_all()
    harness.require_committed(row, 3, harness.propose(3, 1))
    harness.require_version(row, 1)
    harness.servers.kill(0)
    harness.servers.kill(1)
    change_id = harness.propose(2, 2)
    time.sleep(5.0)
    for index in harness.running():
        row.require(harness.decides(index), f"n{index} stands aside: {harness.status(index)}")
    row.require(not harness.has_ended(3, change_id), "a change passed without a majority")
    harness.start(0)
    harness.start(1)
    harness.require_committed(row, 3, change_id, 20.0)
    harness.require_version(row, 2, 15.0)


def majority_gone_for_good(harness: PolicyHarness, row: ExperimentRow) -> None:
    """The majority never comes back: those that run decide on by the version in force."""
    harness.start_all()
    harness.require_committed(row, 3, harness.propose(3, 1))
    harness.require_version(row, 1)
    harness.servers.kill(0)
    harness.servers.kill(1)
    outcomes = harness.servers.load.outcomes
    ok_before = outcomes["ok"]
    time.sleep(8.0)
    for index in harness.running():
        status = harness.status(index)
        row.require(bool(status.get(DECIDES)) and status["version"] == 1, f"n{index}: {status}")
    row.require(outcomes["ok"] > ok_before + 100, "RPCs were not answered on")
    for index in harness.running():
        is_known = harness.change_status(index, "c0")["end"] == "taken"
        row.require(is_known, f"n{index} does not know the end")
    harness.change_ids.clear()  # a server that starts now can't learn of the change any more
    _require_trust_starts(harness, row)


def _require_trust_starts(harness: PolicyHarness, row: ExperimentRow) -> None:
    """Requires that a server that starts decides only once an operator vouches for the version."""
    last = harness.server_count - 1
    harness.servers.faults.expected_to_die.add(harness.servers.name(last))
    harness.servers.kill(last)
    harness.start(last)
    time.sleep(2.0)
    row.require(harness.status(last).get(DECIDES) is False, "it decides before it has asked")
    harness.call(last, "policy_trust", 1, harness.call(2, "policy_text", 1))
    row.require(harness.wait_until_ready(last, 2.0), "it does not take the word")


def voters_replaced(harness: PolicyHarness, row: ExperimentRow) -> None:
    """One of three voters is gone for good: another is added, the dead one removed; then a second dies."""
    harness.start_all()
    harness.require_committed(row, 4, harness.propose(4, 1))
    harness.servers.kill(0)
    harness.leader()
    _require_voter_change(harness, row, "add", "n3")
    _require_voter_change(harness, row, "remove", "n0")
    harness.declare_gone(4, "n0")
    harness.servers.kill(1)
    time.sleep(1.0)
    harness.start(1)
    harness.require_committed(row, 4, harness.propose(4, 2), 20.0)
    harness.require_version(row, 2, 15.0)
    voters = set(harness.status(4)["voters"])
    row.require(voters == {"n1", "n2", "n3"}, f"voters are {voters}")


def _require_voter_change(harness: PolicyHarness, row: ExperimentRow, action: str, name: str) -> None:
    change_id = f"{action} {name}"
    harness.call(4, "policy_do", change_id, "voters", action, name)

    def is_committed() -> bool:
        return bool(harness.call(4, "policy_known", change_id)["end"] == "taken")

    has_passed = harness.servers.wait_until(10.0, is_committed)
    row.require(has_passed, f"{change_id}: {harness.call(4, 'policy_known', change_id)}")


def failing_disks(harness: PolicyHarness, row: ExperimentRow) -> None:
    """A voter's disk is full and has room again; one log is torn, one outdated: both are refused."""
    harness.start_all()
    leader = harness.leader()
    follower = (leader + 1) % 3
    other_follower = (leader + 2) % 3
    old_log = harness.journal_path(follower).read_bytes()
    _require_full_disk_is_outlived(harness, row, leader, follower)
    _require_log_is_refused(harness, row, follower, "old", lambda _: old_log)
    _require_log_is_refused(harness, row, other_follower, "torn", _with_damaged_byte)
    harness.require_committed(row, leader, harness.propose(leader, 2), 20.0)
    harness.require_version(row, 2, 15.0)


def _require_full_disk_is_outlived(
    harness: PolicyHarness, row: ExperimentRow, leader: int, follower: int
) -> None:
    journal_path = harness.journal_path(follower)
    old_size = journal_path.stat().st_size
    process_id = harness.servers.processes[follower].pid
    limits = resource.prlimit(process_id, resource.RLIMIT_FSIZE)
    resource.prlimit(process_id, resource.RLIMIT_FSIZE, (old_size + FULL_DISK_SPARE_BYTES, limits[1]))
    harness.require_committed(row, leader, harness.propose(leader, 1))
    harness.require_version(row, 1)
    resource.prlimit(process_id, resource.RLIMIT_FSIZE, limits)

    def has_saved() -> bool:
        return journal_path.stat().st_size > old_size + MIN_SAVED_BYTES

    harness.servers.wait_until(5.0, has_saved)
    row.require(has_saved(), "it did not save again")


def _with_damaged_byte(log: bytes) -> bytes:
    damaged = bytearray(log)
    damaged[DAMAGED_BYTE_OFFSET] ^= 255
    return bytes(damaged)


def _require_log_is_refused(
    harness: PolicyHarness, row: ExperimentRow, index: int, damage: str, damage_log: Callable[[bytes], bytes]
) -> None:
    """Starts a voter with a damaged log beside the seal of the good one, and then with the good one."""
    servers = harness.servers
    servers.faults.expected_to_die.add(servers.name(index))
    servers.kill(index)
    journal_path = harness.journal_path(index)
    good_log = journal_path.read_bytes()
    journal_path.write_bytes(damage_log(good_log))
    harness.start(index)
    row.require(harness.wait_for_exit(index, 5.0), f"{damage}: it runs")
    status = servers.processes[index].poll()
    row.require(status == UNUSABLE_LOG_STATUS, f"{damage}: exit status {status}")
    output = servers.last_output(index)
    row.require("[policies] journal: " in output and str(journal_path) in output, f"{damage}: {output}")
    row.figures[damage] = output[-SHOWN_OUTPUT_LENGTH:]
    journal_path.write_bytes(good_log)
    harness.start(index)
    harness.wait_until_ready_or_exited(index)
