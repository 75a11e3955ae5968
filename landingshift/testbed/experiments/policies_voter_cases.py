"""Cases of policy changes with voters that are lost or replaced, or whose disks fail."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable

from landingshift.testbed.experiments.policies_harness import DECIDES, PolicyHarness
from landingshift.testbed.experiments.rows import ExperimentRow

DAMAGED_BYTE_OFFSET = 60
FULL_DISK_SPARE_BYTES = 7
"""Free space on a full disk, less than the size of a log entry."""
MIN_SAVED_BYTES = 20
"""Growth of the log that shows that the voter saves entries again."""
UNUSABLE_LOG_STATUS = 2
"""Exit status of a server that can't use its log."""
SHOWN_OUTPUT_LENGTH = 70


def majority_gone(harness: PolicyHarness, row: ExperimentRow) -> None:
    """With two of three voters down, servers keep deciding RPCs; a change commits only when they are back."""
    harness.start_all()
    harness.require_committed(row, 3, harness.propose(3, 1))
    harness.require_version(row, 1)
    harness.servers.kill(0)
    harness.servers.kill(1)
    change_id = harness.propose(2, 2)
    time.sleep(5.0)
    for index in harness.running():
        row.require(harness.decides(index), f"n{index} does not decide RPCs: {harness.status(index)}")
    row.require(not harness.has_ended(3, change_id), "a change ended without a majority of voters")
    harness.start(0)
    harness.start(1)
    harness.require_committed(row, 3, change_id, 20.0)
    harness.require_version(row, 2, 15.0)


def majority_gone_for_good(harness: PolicyHarness, row: ExperimentRow) -> None:
    """With two of three voters gone for good, the other servers keep deciding by the current version.

    A server that starts then decides only after an operator has supplied the policy.
    """
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
    ok_count = outcomes["ok"] - ok_before
    row.require(ok_count > 100, f"only {ok_count} RPCs were answered ok without a majority of voters")
    for index in harness.running():
        is_known = harness.change_status(index, "c0")["end"] == "taken"
        row.require(is_known, f"n{index} does not know that the change is committed")
    harness.change_ids.clear()  # a server that starts now can't learn the outcome of the change
    _require_trust_starts(harness, row)


def _require_trust_starts(harness: PolicyHarness, row: ExperimentRow) -> None:
    """Requires that a server that starts decides RPCs only after an operator has supplied the policy."""
    last = harness.server_count - 1
    harness.servers.faults.expected_to_die.add(harness.servers.name(last))
    harness.servers.kill(last)
    harness.start(last)
    time.sleep(2.0)
    is_undecided = harness.status(last).get(DECIDES) is False
    row.require(is_undecided, "the server decides RPCs before it knows the current policy")
    harness.call(last, "policy_trust", 1, harness.call(2, "policy_text", 1))
    is_ready = harness.wait_until_ready(last, 2.0)
    row.require(is_ready, "the server does not decide RPCs by the policy that the operator supplied")


def voters_replaced(harness: PolicyHarness, row: ExperimentRow) -> None:
    """A voter that is gone for good is replaced by another one; then a second voter can fail.

    Changes commit before and after, and the voters are the expected ones.
    """
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

    has_committed = harness.servers.wait_until(10.0, is_committed)
    status = harness.call(4, "policy_known", change_id)
    row.require(has_committed, f"voter change {change_id} was not committed in time: {status}")


def failing_disks(harness: PolicyHarness, row: ExperimentRow) -> None:
    """Changes commit while a voter's disk is full; voters refuse to start with an old or a damaged log."""
    harness.start_all()
    leader = harness.leader()
    follower = (leader + 1) % 3
    other_follower = (leader + 2) % 3
    old_log = harness.journal_path(follower).read_bytes()
    _require_recovery_from_full_disk(harness, row, leader, follower)
    _require_log_is_refused(harness, row, follower, "old", lambda _: old_log)
    _require_log_is_refused(harness, row, other_follower, "torn", _with_damaged_byte)
    harness.require_committed(row, leader, harness.propose(leader, 2), 20.0)
    harness.require_version(row, 2, 15.0)


def _require_recovery_from_full_disk(
    harness: PolicyHarness, row: ExperimentRow, leader: int, follower: int
) -> None:
    """Requires that a change commits while a follower's disk is full, and that the follower saves later."""
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
    row.require(has_saved(), "the voter saved nothing after its disk had space again")


def _with_damaged_byte(log: bytes) -> bytes:
    damaged = bytearray(log)
    damaged[DAMAGED_BYTE_OFFSET] ^= 255
    return bytes(damaged)


def _require_log_is_refused(
    harness: PolicyHarness, row: ExperimentRow, index: int, damage: str, damage_log: Callable[[bytes], bytes]
) -> None:
    """Requires that a voter exits with an error when it starts with a damaged log.

    The seal, a file that describes the log, stays that of the good log. At the end the voter starts with the
    good log again.
    """
    servers = harness.servers
    servers.faults.expected_to_die.add(servers.name(index))
    servers.kill(index)
    journal_path = harness.journal_path(index)
    good_log = journal_path.read_bytes()
    journal_path.write_bytes(damage_log(good_log))
    harness.start(index)
    has_exited = harness.wait_for_exit(index, 5.0)
    row.require(has_exited, f"{damage}: the voter runs with a damaged log")
    status = servers.processes[index].poll()
    row.require(status == UNUSABLE_LOG_STATUS, f"{damage}: exit status {status}")
    output = servers.last_output(index)
    row.require("[policies] journal: " in output and str(journal_path) in output, f"{damage}: {output}")
    row.figures[damage] = output[-SHOWN_OUTPUT_LENGTH:]
    journal_path.write_bytes(good_log)
    harness.start(index)
    harness.wait_until_ready_or_exited(index)
