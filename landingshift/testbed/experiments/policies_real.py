"""Cases of the policy change experiment with real processes and injected faults."""

from __future__ import annotations

from collections.abc import Callable

from landingshift.membership.operator_rpc import OperatorRpcError
from landingshift.testbed.experiments import policies_crash_cases as crash_cases
from landingshift.testbed.experiments import policies_network_cases as network_cases
from landingshift.testbed.experiments import policies_voter_cases as voter_cases
from landingshift.testbed.experiments.policies_harness import (
    OVERLOAD_RATIO,
    SERVE,
    STAND_ASIDE,
    PolicyHarness,
)
from landingshift.testbed.experiments.rows import ExperimentRow, RealCase

MAX_OVERLOADED_COUNT = 20
"""Maximum number of servers that are overloaded. More would measure the cores of the machine they share."""
CROWDED_LOAD_RATIO = OVERLOAD_RATIO / 20.0
"""Load ratio with more than `MAX_OVERLOADED_COUNT` servers."""


def policy_case(play: Callable[[PolicyHarness, ExperimentRow], None], when_cut_off: str = SERVE) -> RealCase:
    """Returns a case that creates a harness, runs `play` on it, checks the requirements, and closes it.

    Args:
        play: Steps of the case, on a harness that has not started any server yet.
        when_cut_off: What a server without a lease does: `SERVE` or `STAND_ASIDE`.
    """

    def run(folder: str, count: int, seed: int, row: ExperimentRow) -> None:
        load = OVERLOAD_RATIO if count <= MAX_OVERLOADED_COUNT else CROWDED_LOAD_RATIO
        harness = PolicyHarness(folder, count, seed, when_cut_off, load)
        try:
            play(harness, row)
            harness.check(row)
        except (RuntimeError, OperatorRpcError) as err:
            row.require(False, str(err))
        finally:
            harness.close()

    return run


LONG: dict[str, RealCase] = {"real_service": policy_case(network_cases.service)}
"""Cases that run only if they are selected by name."""

REAL: dict[str, RealCase] = {
    "real_without_faults": policy_case(crash_cases.without_faults),
    "real_without_faults_leased": policy_case(crash_cases.without_faults, STAND_ASIDE),
    "real_down_all_along": policy_case(crash_cases.down_all_along),
    "real_lapses": policy_case(crash_cases.lease_expires, STAND_ASIDE),
    "real_down_at_the_switch": policy_case(crash_cases.down_at_the_commit),
    "real_killed_at_each_step": policy_case(crash_cases.killed_at_each_step),
    "real_proposer_killed": policy_case(crash_cases.proposer_killed),
    "real_leader_paused": policy_case(crash_cases.leader_paused),
    "real_leader_cut_and_paused": policy_case(crash_cases.leader_cut_and_paused, STAND_ASIDE),
    "real_majority_gone": policy_case(voter_cases.majority_gone),
    "real_majority_gone_for_good": policy_case(voter_cases.majority_gone_for_good),
    "real_voters_replaced": policy_case(voter_cases.voters_replaced),
    "real_cuts": policy_case(network_cases.partitions),
    "real_cuts_leased": policy_case(network_cases.partitions, STAND_ASIDE),
    "real_at_one_instant": policy_case(network_cases.concurrent_changes),
    "real_older_build": policy_case(crash_cases.older_build),
    "real_disk": policy_case(voter_cases.failing_disks),
    "real_comes_and_goes": policy_case(crash_cases.members_join_and_leave),
    "real_chance": policy_case(network_cases.random_faults),
    "real_chance_leased": policy_case(network_cases.random_faults, STAND_ASIDE),
}
"""Cases by their names on the command line."""
