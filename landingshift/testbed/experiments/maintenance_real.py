"""Cases of the maintenance experiment with real processes and injected faults."""

from __future__ import annotations

import signal
import time
from collections import Counter
from collections.abc import Callable
from functools import partial

from landingshift.maintenance.requests import RequestState
from landingshift.membership.operator_rpc import OperatorRpcError
from landingshift.testbed.experiments.maintenance_harness import (
    CAPACITY_RPCS_PER_SECOND,
    COLD_START_SETTINGS,
    HEADROOM_RATIO,
    MODERATE_LOAD_FRACTION,
    PERMIT_VALID_MS,
    MaintenanceHarness,
)
from landingshift.testbed.experiments.partitions import crosses_partition
from landingshift.testbed.experiments.rows import ExperimentRow, RealCase

NIGHT_LOAD_FRACTION = 0.3
"""Load at which two of six servers can be out of service in addition to a zone."""
TWO_OUT_LOAD_FRACTION = 0.45
"""Load at which two of six servers can be out of service even in the seconds with the highest RPC rate."""
FULL_LOAD_FRACTION = 0.93
"""Load as a fraction of the capacity of all servers but one; it is below 1 because the RPC rate varies."""
ALL_CAPACITY_LOAD_FRACTION = 1.0
MAX_CALLS_PER_SECOND_EACH = 1000.0
FIRST_REQUESTED_INDEX = 3
"""First server whose maintenance is requested in cases in which the first voters have to stay in service."""

Play = Callable[[MaintenanceHarness, ExperimentRow], None]
"""Runs the steps of a case on a harness that has not started any server yet."""


def maintenance_case(
    play: Play,
    load: float = MODERATE_LOAD_FRACTION,
    is_fully_loaded: bool = False,
    has_cold_start: bool = False,
) -> RealCase:
    """Returns a case that creates a harness, runs `play` on it, checks the requirements, and closes it.

    Args:
        play: Steps of the case.
        load: Demand as a fraction of all capacity.
        is_fully_loaded: Whether the demand is what all servers but one can serve, without headroom. It then
            replaces `load`.
        has_cold_start: Whether cold start is enabled, so that starting servers need start permits.
    """

    def run(folder: str, count: int, seed: int, row: ExperimentRow) -> None:
        load_fraction = FULL_LOAD_FRACTION * (count - 1) / count if is_fully_loaded else load
        headroom_ratio = 0.0 if is_fully_loaded else HEADROOM_RATIO
        settings = ""
        if has_cold_start:
            settings = COLD_START_SETTINGS.format(count=count, calls=MAX_CALLS_PER_SECOND_EACH * count)
        harness = MaintenanceHarness(folder, count, seed, load_fraction, headroom_ratio, settings)
        try:
            play(harness, row)
            harness.check(row)
        except (RuntimeError, OperatorRpcError) as err:
            row.require(False, str(err))
        finally:
            harness.close()

    return run


def all_replaced(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """Two operators request maintenance of all servers; it completes and keeps the capacity constraints."""
    harness.start_all()
    began = time.monotonic()
    harness.request_maintenance(harness.names)
    harness.request_maintenance(reversed(harness.names))
    max_unavailable = _watch_until_ended(harness, 20.0 + 12.0 * harness.server_count)
    row.figures |= {"took_s": round(time.monotonic() - began, 1), "most_out": max_unavailable}
    harness.require_completed(row, harness.names)
    allowed = int(harness.server_count * (1.0 - MODERATE_LOAD_FRACTION * (1.0 + HEADROOM_RATIO)))
    is_allowed = max_unavailable <= max(1, allowed)
    row.require(is_allowed, f"{max_unavailable} servers were out of service at once, allowed are {allowed}")


def _watch_until_ended(harness: MaintenanceHarness, wait_seconds: float) -> int:
    """Waits until no request is open; returns the maximum number of machines out of service at once."""
    max_unavailable = 0
    end = time.monotonic() + wait_seconds
    while time.monotonic() < end:
        status = harness.leader_status(3.0)
        requests = status.get("wishes", [])
        unavailable = sum(request["out"] for request in requests)
        max_unavailable = max(max_unavailable, round(unavailable))
        if status.get("leads") and not requests:
            break
        time.sleep(0.1)
    return max_unavailable


def at_full_load(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """Maintenance of all servers completes while the load is what all servers but one can serve."""
    harness.start_all()
    began = time.monotonic()
    harness.request_maintenance(harness.names)
    harness.require_ended(row, harness.names, 30.0 + 15.0 * harness.server_count)
    row.figures["took_s"] = round(time.monotonic() - began, 1)
    harness.require_completed(row, harness.names)


def service(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """Maintenance of all servers lowers the percentage of ok answers by at most one point.

    The percentage is compared with that of an equally long time without maintenance.
    """
    harness.start_all()
    time.sleep(3.0)
    at_start = Counter(harness.servers.load.outcomes)
    harness.request_maintenance(harness.names)
    began = time.monotonic()
    harness.require_ended(row, harness.names, 30.0 + 15.0 * harness.server_count)
    took_seconds = time.monotonic() - began
    at_end = Counter(harness.servers.load.outcomes)
    time.sleep(took_seconds)
    afterwards = Counter(harness.servers.load.outcomes)
    percent_with = _ok_percent(at_end - at_start)
    percent_without = _ok_percent(afterwards - at_end)
    row.figures |= {
        "took_s": round(took_seconds, 1),
        "ok_with_work": round(percent_with, 2),
        "ok_without": round(percent_without, 2),
    }
    violation = f"{percent_with:.2f} % ok with maintenance, {percent_without:.2f} % without"
    row.require(percent_with >= percent_without - 1.0, violation)


def _ok_percent(outcomes: Counter[str]) -> float:
    return 100.0 * outcomes["ok"] / max(1, sum(outcomes.values()))


def zone_gets_notice(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """All servers of a zone get a shutdown signal during maintenance of other servers."""

    def notify(index: int) -> None:
        harness.servers.processes[index].send_signal(signal.SIGTERM)

    _stop_zone(harness, row, notify)


def zone_loses_power(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """A zone loses power during maintenance of other servers, and then starts cold."""
    _stop_zone(harness, row, harness.servers.kill)


def _stop_zone(harness: MaintenanceHarness, row: ExperimentRow, stop_server: Callable[[int], None]) -> None:
    """Stops a zone for a while: it counts against the budget, and maintenance still completes."""
    harness.start_all()
    zone = [index for index in range(harness.server_count) if index % 3 == 0]
    requested = [harness.servers.name(index) for index in range(harness.server_count) if index not in zone]
    harness.request_maintenance(requested)
    harness.servers.wait_until(10.0, lambda: harness.unavailable_count() >= 1)
    failed_at_ms = time.monotonic() * 1000.0
    harness.not_restarted.update(zone)  # until the zone has power again
    for index in zone:
        stop_server(index)
    processes = harness.servers.processes
    has_ended = harness.servers.wait_until(
        8.0, lambda: all(processes[index].poll() is not None for index in zone)
    )
    row.require(has_ended, "not all servers of the zone exited within 8 s")
    time.sleep(5.0)
    restored_at_ms = time.monotonic() * 1000.0
    harness.not_restarted.difference_update(zone)
    harness.require_ended(row, requested, 60.0)
    harness.require_completed(row, requested)
    # Servers that got a permit before the failure might still drain. After its validity no other server is
    # allowed to, because the lost voters leave only a bare majority.
    last_ms = failed_at_ms + PERMIT_VALID_MS + 1000.0
    late = [e for e in harness.servers.history() if e[1] == "left" and last_ms < e[0] < restored_at_ms]
    row.require(not late, f"servers drained while a zone was down: {late}")


def crash_meanwhile(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """A server without a request crashes for good after another one got a permit; open requests still end.

    The crashed server counts against the disruption budget.
    """
    harness.start_all()
    last = harness.server_count - 1
    requested = harness.names[last - 2 : last]
    harness.not_restarted.add(last)
    harness.request_maintenance(requested)
    harness.servers.wait_until(10.0, lambda: harness.has_permitted(harness.leader()))
    harness.servers.kill(last)
    harness.require_ended(row, requested, 60.0)


def leader_killed(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """The leader is killed when it has issued a permit, twice; all requests still complete."""
    harness.start_all()
    requested = harness.names[FIRST_REQUESTED_INDEX:]
    harness.request_maintenance(requested)
    for _ in range(2):
        leader = harness.leader()
        harness.servers.wait_until(8.0, partial(harness.has_permitted, leader))
        harness.servers.kill(leader)
        time.sleep(2.0)
    row.require(harness.wait_until_ended(requested, 90.0), "maintenance has not ended after 90 s")
    harness.require_completed(row, requested)


def stopped_past_the_expiry(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """A server that stalls after it received a permit until the permit has expired must not drain on it."""
    servers = harness.servers
    last = harness.server_count - 1
    harness.start_all(but=(last,))
    harness.not_restarted.add(last)
    stall = f"upkeep.permitted:{PERMIT_VALID_MS + 1500.0:.0f}"
    servers.start(last, LANDINGSHIFT_SLOW=stall, LANDINGSHIFT_CLOCK="0")
    harness.wait_until_ready_or_exited(last)
    servers.faults.paused_until_ms[servers.name(last)] = 1e18
    time.sleep(3.0)
    harness.request_maintenance([servers.name(last)])

    def has_logged(event: str) -> bool:
        return any(line["event"] == event for line in servers.log_entries(last))

    has_noticed = servers.wait_until(25.0, partial(has_logged, "maintenance_permit_expired"))
    row.require(has_noticed, "the server did not log the expiry of its permit")
    row.require(not has_logged("maintenance_draining"), "the server drained on an expired permit")
    harness.call(harness.leader(), "upkeep_hold", "the trial is over")


def cut_off(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """A server is cut off right after its maintenance was requested; all requests still end.

    Whether it drains or not, it counts as out of service until it is back.
    """
    harness.start_all()
    last = harness.names[-1]
    harness.request_maintenance([last])
    time.sleep(0.3)
    harness.partition(partial(crosses_partition, {last}))
    time.sleep(4.0)
    harness.request_maintenance(harness.names[FIRST_REQUESTED_INDEX:-1])
    time.sleep(4.0)
    harness.heal()
    harness.require_ended(row, harness.names[FIRST_REQUESTED_INDEX:], 60.0)


def killed_at_each_step(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """A server crashes when it gets its permit, and when it begins to drain; its request still ends."""
    harness.start_all()
    for step in ("upkeep.permitted", "upkeep.draining"):
        _kill_at(harness, row, step)


def _kill_at(harness: MaintenanceHarness, row: ExperimentRow, step: str) -> None:
    servers = harness.servers
    last = harness.server_count - 1
    name = servers.name(last)
    harness.not_restarted.add(last)
    servers.faults.expected_to_die.add(name)
    servers.kill(last)
    died_path = f"{servers.folder}/{step}.died"
    harness.start(last, LANDINGSHIFT_CRASH=step, LANDINGSHIFT_CRASH_ONCE=died_path)
    harness.wait_until_ready_or_exited(last)
    time.sleep(1.0)
    harness.request_maintenance([name])
    has_died = harness.wait_for_exit(last, 20.0)
    row.require(has_died, f"{step}: the server did not crash")
    servers.faults.killed.add(name)
    time.sleep(0.5)
    harness.start(last)
    harness.not_restarted.discard(last)
    harness.require_ended(row, [name], 40.0, f"{step}: ")


def never_restarted(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """A server that never returns from maintenance stays counted as out of service; other requests end."""
    harness.start_all()
    last = harness.server_count - 1
    name = harness.servers.name(last)
    harness.not_restarted.add(last)
    harness.request_maintenance([name], urgency=9.0)
    harness.wait_for_exit(last, 20.0)
    others = harness.names[FIRST_REQUESTED_INDEX:last]
    harness.request_maintenance(others)
    harness.require_ended(row, others, 60.0)
    requests = harness.maintenance_status(harness.leader())["wishes"]
    states = {request["name"]: request["stage"] for request in requests}
    expected_states = (RequestState.DRAINING.value, RequestState.OUT_OF_SERVICE.value)
    row.require(states.get(name) in expected_states, f"states of the open requests: {states}")


def overloaded(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """Under full load no server drains, the status gives the reason, and the request can be cancelled."""
    harness.start_all()
    name = harness.names[-1]
    harness.request_maintenance([name])
    time.sleep(6.0)
    status = harness.maintenance_status(harness.leader())
    demand = status["demand"] * (1.0 + HEADROOM_RATIO)
    is_loaded = demand > CAPACITY_RPCS_PER_SECOND * (harness.server_count - 1)
    row.require(is_loaded, f"demand of only {status['demand']:.0f} RPCs per second")
    states = [request["stage"] for request in status["wishes"]]
    is_waiting = states == [RequestState.REQUESTED.value]
    row.require(is_waiting, f"open requests other than the waiting one: {status['wishes']}")
    is_explained = "the whole" in status["waits_for"] or status["room"] < CAPACITY_RPCS_PER_SECOND
    row.require(is_explained, f"the status does not show the lack of capacity: {status}")
    harness.call(harness.leader(), "upkeep_cancel", "no room", name)
    row.require(harness.wait_until_ended([name], 10.0), "the request was not cancelled within 10 s")


def with_a_policy_change(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """A policy change during maintenance is committed, and all requests end."""
    harness.start_all()
    requested = harness.names[FIRST_REQUESTED_INDEX:]
    harness.request_maintenance(requested)
    harness.servers.wait_until(10.0, lambda: harness.has_permitted(harness.leader()))
    change = harness.propose(0, 1)
    harness.require_committed(row, 1, change, 30.0)
    row.require(harness.wait_until_ended(requested, 60.0), "maintenance has not ended after 60 s")
    harness.require_version(row, 1, 15.0)


LONG: dict[str, RealCase] = {"real_service": maintenance_case(service)}
"""Cases that run only if they are selected by name."""

REAL: dict[str, RealCase] = {
    "real_all_replaced": maintenance_case(all_replaced),
    "real_crash_meanwhile": maintenance_case(crash_meanwhile, TWO_OUT_LOAD_FRACTION),
    "real_leader_killed": maintenance_case(leader_killed),
    "real_stopped_past_the_end": maintenance_case(stopped_past_the_expiry),
    "real_cut_off": maintenance_case(cut_off),
    "real_killed_at_each_step": maintenance_case(killed_at_each_step),
    "real_never_back": maintenance_case(never_restarted),
    "real_overloaded": maintenance_case(overloaded, ALL_CAPACITY_LOAD_FRACTION),
    "real_at_full_load": maintenance_case(at_full_load, is_fully_loaded=True),
    "real_notice_to_a_zone": maintenance_case(zone_gets_notice, NIGHT_LOAD_FRACTION),
    "real_cold_zone": maintenance_case(zone_loses_power, NIGHT_LOAD_FRACTION, has_cold_start=True),
    "real_with_a_change": maintenance_case(with_a_policy_change),
}
"""Cases by their names on the command line."""
