"""Cases of policy changes with partitions, concurrent proposals, random faults and load."""

from __future__ import annotations

import threading
import time
from collections import Counter
from functools import partial
from random import Random

from landingshift.testbed.experiments.partitions import crosses_partition, is_from
from landingshift.testbed.experiments.policies_harness import (
    FINAL_OUTCOMES,
    PolicyHarness,
)
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.processes.fault_proxy import LinkRule

FLAP_SECONDS = 0.3
CONCURRENT_CHANGE_COUNT = 10
RANDOM_STEP_COUNT = 10
PROPOSE_PROBABILITY = 0.7
PAUSE_SECONDS = (0.3, 1.5, 3.0)
LOSS_FRACTIONS = (0.0, 0.1)
STEP_SECONDS = (0.1, 0.5, 1.2)
SERVICE_CHANGE_COUNT = 12
SERVICE_INTERVAL_SECONDS = 2.5
MAX_SERVICE_DIFFERENCE_PERCENT = 2.0


def partitions(harness: PolicyHarness, row: ExperimentRow) -> None:
    """All changes end that are proposed during a partition.

    Partitions are, in turn: two halves, a server whose messages are all lost, and two halves that are cut off
    every other `FLAP_SECONDS`. During each, changes are proposed to servers 0 and 1, which are in different
    halves.
    """
    harness.start_all()
    servers = harness.servers
    half = {servers.name(index) for index in range(harness.server_count) if index % 2}
    muted = servers.name(harness.server_count - 1)
    began = time.monotonic()

    def flaps(sender: str, receiver: str) -> bool:
        is_cut = int((time.monotonic() - began) / FLAP_SECONDS) % 2 == 0
        return is_cut and crosses_partition(half, sender, receiver)

    rules: tuple[LinkRule, ...] = (partial(crosses_partition, half), partial(is_from, muted), flaps)
    for number, rule in enumerate(rules, 1):
        harness.partition(rule)
        harness.propose(0, number)
        harness.propose(1, number + 10)
        time.sleep(3.0)
        harness.heal()
        time.sleep(2.0)
        for change_id in harness.change_ids:
            has_ended = harness.wait_for_outcome(2, change_id, 15.0)["end"] in FINAL_OUTCOMES
            row.require(has_ended, f"{change_id} has not ended after 15 s")
    versions = {status.get("version") for status in harness.statuses()}
    harness.require_version(row, max(version for version in versions if version is not None), 15.0)


def concurrent_changes(harness: PolicyHarness, row: ExperimentRow) -> None:
    """Of ten changes that are proposed at once to different servers, all end and at least one commits.

    The version increases by the number of committed changes.
    """
    harness.start_all()
    count = harness.server_count
    change_ids = [f"at-once-{number}" for number in range(CONCURRENT_CHANGE_COUNT)]
    harness.change_ids += change_ids
    threads = [
        threading.Thread(target=harness.propose, args=(number % count, number, change_id))
        for number, change_id in enumerate(change_ids)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    outcomes = [
        harness.wait_for_outcome(number % count, change_id)["end"]
        for number, change_id in enumerate(change_ids)
    ]
    row.require("taken" in outcomes, f"no change was committed: {outcomes}")
    harness.require_version(row, outcomes.count("taken"), 10.0)


def random_faults(harness: PolicyHarness, row: ExperimentRow) -> None:
    """Changes are proposed under random faults; after the faults end, all servers agree on one version."""
    harness.start_all()
    rng = Random(f"{harness.seed} chance")
    for number in range(RANDOM_STEP_COUNT):
        running = harness.running()
        if rng.random() < PROPOSE_PROBABILITY and running:
            harness.propose(rng.choice(running), number)
        _inject_random_fault(harness, rng, running)
        time.sleep(rng.choice(STEP_SECONDS))
    harness.heal()
    harness.set_loss(0.0)
    for index in range(harness.server_count):
        if index not in harness.running():
            harness.start(index)
    are_deciding = harness.servers.wait_until(25.0, harness.all_decide)
    row.require(are_deciding, "not all servers decide RPCs 25 s after the last fault")
    for change_id in harness.change_ids:
        harness.wait_for_outcome(0, change_id, 2.0)
    harness.require_agreement(row, 20.0)
    harness.forget_unknown_changes()


def _inject_random_fault(harness: PolicyHarness, rng: Random, running: list[int]) -> None:
    servers = harness.servers
    count = harness.server_count
    index = rng.randrange(count)
    match rng.randrange(8):
        case 0 | 1 if index in running and len(running) > 1:
            servers.kill(index)
        case 2 | 3 | 4 if len(running) < count:
            harness.start(next(other for other in range(count) if other not in running))
        case 5 if index in running:
            servers.pause(index, rng.choice(PAUSE_SECONDS))
        case 6:
            half = {servers.name(other) for other in rng.sample(range(count), count // 2)}
            harness.partition(partial(crosses_partition, half))
        case 7:
            harness.partition(partial(is_from, servers.name(index)))
        case _:
            harness.heal()
            harness.set_loss(rng.choice(LOSS_FRACTIONS))


def service(harness: PolicyHarness, row: ExperimentRow) -> None:
    """Policy changes don't alter the percentage of ok answers by more than `MAX_SERVICE_DIFFERENCE_PERCENT`.

    Half a minute without changes is compared with half a minute with one every `SERVICE_INTERVAL_SECONDS`.
    """
    harness.start_all()
    time.sleep(3.0)
    ok_percent_without = _measure_ok_percent(harness, has_changes=False)
    ok_percent_with = _measure_ok_percent(harness, has_changes=True)
    row.figures |= {
        "ok_without": round(ok_percent_without, 2),
        "ok_with_changes": round(ok_percent_with, 2),
    }
    row.require(
        abs(ok_percent_without - ok_percent_with) <= MAX_SERVICE_DIFFERENCE_PERCENT,
        f"{ok_percent_without:.1f} % ok without changes, {ok_percent_with:.1f} % with",
    )


def _measure_ok_percent(harness: PolicyHarness, has_changes: bool) -> float:
    before = Counter(harness.servers.load.outcomes)
    for number in range(SERVICE_CHANGE_COUNT):
        if has_changes:
            harness.propose(number % harness.server_count, number)
        time.sleep(SERVICE_INTERVAL_SECONDS)
    outcomes = harness.servers.load.outcomes - before
    return 100.0 * outcomes["ok"] / max(1, sum(outcomes.values()))
