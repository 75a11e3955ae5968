"""Rows of the maintenance experiment that take real processes, with faults between them."""

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
from landingshift.testbed.experiments.rows import ExperimentRow

NIGHT_LOAD_FRACTION = 0.3
"""Two of six may be out of service, and a zone beside them."""
TWO_OUT_LOAD_FRACTION = 0.45
"""Two of six may be out of service even at the peaks of a second."""
FULL_LOAD_FRACTION = 0.93
"""Of what all but one can serve: what comes in a second is not even."""
ALL_CAPACITY_LOAD_FRACTION = 1.0
MAX_CALLS_PER_SECOND_EACH = 1000.0
FIRST_REQUESTED_INDEX = 3
"""Servers from this one on are requested where the first voters are to stay."""

Play = Callable[[MaintenanceHarness, ExperimentRow], None]
RealRow = Callable[[str, int, int, ExperimentRow], None]


def real_row(
    play: Play,
    load: float = MODERATE_LOAD_FRACTION,
    is_fully_loaded: bool = False,
    has_cold_start: bool = False,
) -> RealRow:
    """Returns a row that plays one scenario.

    Args:
        play: The scenario.
        load: Demand as a share of all capacity.
        is_fully_loaded: In place of `load` as much comes as all but one can serve, without headroom.
        has_cold_start: Servers that start ask for start permits, too.
    """

    def run(folder: str, count: int, seed: int, row: ExperimentRow) -> None:
        share = FULL_LOAD_FRACTION * (count - 1) / count if is_fully_loaded else load
        headroom_ratio = 0.0 if is_fully_loaded else HEADROOM_RATIO
        settings = ""
        if has_cold_start:
            settings = COLD_START_SETTINGS.format(count=count, calls=MAX_CALLS_PER_SECOND_EACH * count)
        harness = MaintenanceHarness(folder, count, seed, share, headroom_ratio, settings)
        try:
            play(harness, row)
            harness.check(row)
        except (RuntimeError, OperatorRpcError) as err:
            row.require(False, str(err))
        finally:
            harness.close()

    return run


def all_replaced(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """All are requested, by two operators; never more is out of service than the constraints let."""
    harness.start_all()
    began = time.monotonic()
    harness.request_maintenance(harness.names)
    harness.request_maintenance(reversed(harness.names))
    max_unavailable = _watch_until_ended(harness, 20.0 + 12.0 * harness.server_count)
    row.figures |= {"took_s": round(time.monotonic() - began, 1), "most_out": max_unavailable}
    harness.must_be_completed(row, harness.names)
    allowed = int(harness.server_count * (1.0 - MODERATE_LOAD_FRACTION * (1.0 + HEADROOM_RATIO)))
    within = max_unavailable <= max(1, allowed)
    row.require(within, f"{max_unavailable} were out at once, {allowed} may be")


def _watch_until_ended(harness: MaintenanceHarness, wait_seconds: float) -> int:
    """Waits until no request is open; returns the most machines that were out of service at once."""
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
    """All are replaced while what comes in is what all but one can serve."""
    harness.start_all()
    began = time.monotonic()
    harness.request_maintenance(harness.names)
    harness.must_end(row, harness.names, 30.0 + 15.0 * harness.server_count)
    row.figures["took_s"] = round(time.monotonic() - began, 1)
    harness.must_be_completed(row, harness.names)


def service(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """The share of RPCs answered ok while all are replaced, beside the same time without maintenance."""
    harness.start_all()
    time.sleep(3.0)
    at_start = Counter(harness.servers.load.outcomes)
    harness.request_maintenance(harness.names)
    began = time.monotonic()
    harness.must_end(row, harness.names, 30.0 + 15.0 * harness.server_count)
    took_seconds = time.monotonic() - began
    at_end = Counter(harness.servers.load.outcomes)
    time.sleep(took_seconds)
    afterwards = Counter(harness.servers.load.outcomes)
    with_work = _ok_percent(at_end - at_start)
    without_work = _ok_percent(afterwards - at_end)
    row.figures |= {
        "took_s": round(took_seconds, 1),
        "ok_with_work": round(with_work, 2),
        "ok_without": round(without_work, 2),
    }
    texts = f"{with_work:.2f} % ok with work, {without_work:.2f} % without"
    row.require(with_work >= without_work - 1.0, texts)


def _ok_percent(outcomes: Counter[str]) -> float:
    return 100.0 * outcomes["ok"] / max(1, sum(outcomes.values()))


def zone_gets_notice(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """While two are out of service a zone gets a notice from outside to end."""

    def notify(index: int) -> None:
        harness.servers.processes[index].send_signal(signal.SIGTERM)

    _zone_ends(harness, row, notify)


def zone_loses_power(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """While two are out of service a zone loses its power, and then starts cold."""
    _zone_ends(harness, row, harness.servers.kill)


def _zone_ends(harness: MaintenanceHarness, row: ExperimentRow, end_server: Callable[[int], None]) -> None:
    """Ends a zone for a while: it counts against the budget, and what was requested ends all the same."""
    harness.start_all()
    zone = [index for index in range(harness.server_count) if index % 3 == 0]
    requested = [harness.servers.name(index) for index in range(harness.server_count) if index not in zone]
    harness.request_maintenance(requested)
    harness.servers.wait_until(10.0, lambda: harness.unavailable_count() >= 1)
    failed_at_ms = time.monotonic() * 1000.0
    harness.not_restarted.update(zone)  # until the zone has power again
    for index in zone:
        end_server(index)
    processes = harness.servers.processes
    has_ended = harness.servers.wait_until(
        8.0, lambda: all(processes[index].poll() is not None for index in zone)
    )
    row.require(has_ended, "the zone did not go")
    time.sleep(5.0)
    restored_at_ms = time.monotonic() * 1000.0
    harness.not_restarted.difference_update(zone)
    harness.must_end(row, requested, 60.0)
    harness.must_be_completed(row, requested)
    # What was permitted before may still leave; after that the lost voters leave none to spare.
    last_ms = failed_at_ms + PERMIT_VALID_MS + 1000.0
    late = [e for e in harness.servers.history() if e[1] == "left" and last_ms < e[0] < restored_at_ms]
    row.require(not late, f"let go while a zone was out: {late}")


def crash_meanwhile(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """A server without a request crashes for good just after a permit: it counts against the budget."""
    harness.start_all()
    last = harness.server_count - 1
    requested = harness.names[last - 2 : last]
    harness.not_restarted.add(last)
    harness.request_maintenance(requested)
    harness.servers.wait_until(10.0, lambda: harness.has_permitted(harness.leader()))
    harness.servers.kill(last)
    harness.must_end(row, requested, 60.0)


def leader_killed(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """The leader dies as soon as a permit is issued, and again later; all requests end all the same."""
    harness.start_all()
    requested = harness.names[FIRST_REQUESTED_INDEX:]
    harness.request_maintenance(requested)
    for _ in range(2):
        leader = harness.leader()
        harness.servers.wait_until(8.0, partial(harness.has_permitted, leader))
        harness.servers.kill(leader)
        time.sleep(2.0)
    row.require(harness.wait_until_ended(requested, 90.0), "not over")
    harness.must_be_completed(row, requested)


def stopped_past_the_expiry(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """Stopped as it gets a permit, and resumed after its expiry: it must not leave on that one."""
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
    row.require(has_noticed, "it did not notice that it was late")
    row.require(not has_logged("maintenance_draining"), "it left on a void permission")
    harness.call(harness.leader(), "upkeep_hold", "the trial is over")


def cut_off(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """Cut off just as it is requested: whether it leaves or not, it counts as out until it is back."""
    harness.start_all()
    last = harness.names[-1]
    harness.request_maintenance([last])
    time.sleep(0.3)
    harness.partition(partial(crosses_partition, {last}))
    time.sleep(4.0)
    harness.request_maintenance(harness.names[FIRST_REQUESTED_INDEX:-1])
    time.sleep(4.0)
    harness.heal()
    harness.must_end(row, harness.names[FIRST_REQUESTED_INDEX:], 60.0)


def killed_at_each_step(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """The permitted one dies as it gets its permit and as it begins to drain; its request ends."""
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
    row.require(has_died, f"{step}: it did not die")
    servers.faults.killed.add(name)
    time.sleep(0.5)
    harness.start(last)
    harness.not_restarted.discard(last)
    harness.must_end(row, [name], 40.0, f"{step}: ")


def never_restarted(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """One never comes back: it stays counted as out, and the others go on as the constraints let them."""
    harness.start_all()
    last = harness.server_count - 1
    name = harness.servers.name(last)
    harness.not_restarted.add(last)
    harness.request_maintenance([name], urgency=9.0)
    harness.wait_for_exit(last, 20.0)
    others = harness.names[FIRST_REQUESTED_INDEX:last]
    harness.request_maintenance(others)
    harness.must_end(row, others, 60.0)
    requests = harness.maintenance_status(harness.leader())["wishes"]
    states = {request["name"]: request["stage"] for request in requests}
    away = (RequestState.DRAINING.value, RequestState.OUT_OF_SERVICE.value)
    row.require(states.get(name) in away, f"it is {states}")


def overloaded(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """Load leaves no room: nobody leaves, the status says why, and the request is cancelled."""
    harness.start_all()
    name = harness.names[-1]
    harness.request_maintenance([name])
    time.sleep(6.0)
    status = harness.maintenance_status(harness.leader())
    demand = status["demand"] * (1.0 + HEADROOM_RATIO)
    is_loaded = demand > CAPACITY_RPCS_PER_SECOND * (harness.server_count - 1)
    row.require(is_loaded, f"the load was not brought: {status['demand']:.0f} a second")
    states = [request["stage"] for request in status["wishes"]]
    row.require(states == [RequestState.REQUESTED.value], f"{status['wishes']}")
    is_explained = "the whole" in status["waits_for"] or status["room"] < CAPACITY_RPCS_PER_SECOND
    row.require(is_explained, f"it says {status}")
    harness.call(harness.leader(), "upkeep_cancel", "no room", name)
    row.require(harness.wait_until_ended([name], 10.0), "not cancelled")


def with_a_policy_change(harness: MaintenanceHarness, row: ExperimentRow) -> None:
    """A change of policy while machines are out of service: it takes hold, and all requests end."""
    harness.start_all()
    requested = harness.names[FIRST_REQUESTED_INDEX:]
    harness.request_maintenance(requested)
    harness.servers.wait_until(10.0, lambda: harness.has_permitted(harness.leader()))
    change = harness.propose(0, 1)
    harness.require_committed(row, 1, change, 30.0)
    row.require(harness.wait_until_ended(requested, 60.0), "not over")
    harness.require_version(row, 1, 15.0)


LONG: dict[str, RealRow] = {"real_service": real_row(service)}
"""Rows that are played only where one asks for them."""

REAL: dict[str, RealRow] = {
    "real_all_replaced": real_row(all_replaced),
    "real_crash_meanwhile": real_row(crash_meanwhile, TWO_OUT_LOAD_FRACTION),
    "real_leader_killed": real_row(leader_killed),
    "real_stopped_past_the_end": real_row(stopped_past_the_expiry),
    "real_cut_off": real_row(cut_off),
    "real_killed_at_each_step": real_row(killed_at_each_step),
    "real_never_back": real_row(never_restarted),
    "real_overloaded": real_row(overloaded, ALL_CAPACITY_LOAD_FRACTION),
    "real_at_full_load": real_row(at_full_load, is_fully_loaded=True),
    "real_notice_to_a_zone": real_row(zone_gets_notice, NIGHT_LOAD_FRACTION),
    "real_cold_zone": real_row(zone_loses_power, NIGHT_LOAD_FRACTION, has_cold_start=True),
    "real_with_a_change": real_row(with_a_policy_change),
}
"""Rows by the names that the command line knows."""
