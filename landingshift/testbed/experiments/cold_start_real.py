"""Cases of the cold start experiment with real processes and injected faults."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from landingshift.testbed.experiments.cold_start_harness import ColdStartHarness, KnownServers
from landingshift.testbed.experiments.partitions import no_cut
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.processes.stand_ins import EndpointListMode

STAGES = ("waiting", "starting", "warm")
"""Stages of a starting server, by the names of their failpoints."""
FLOOD_INTERVAL_SECONDS = 0.0005
INVALID_DATAGRAMS = (b"\x93\x02\xa4ping" + bytes(60), b"", bytes(2000))
TRUNCATED_CACHE_BYTES = 60
INVALID_CACHE = b"landingshift-members 1 0\nnonsense"
MIN_RECOVERY_GRACE_MS = 1000
RECOVERY_GRACE_EVENT = "coldstart_recovery_grace"
OVERLOAD_SECONDS = 180.0
DEATH_KNOWN_FRACTION = 0.99

ColdStartCase = Callable[[str, int, int, str, ExperimentRow], None]
"""Runs a case and fills the row; arguments: folder, number of servers, seed, removed defence, row."""


def cold_start_case(
    play: Callable[[ColdStartHarness, ExperimentRow], None],
    known_servers: KnownServers = KnownServers.PEERS,
    **options: Any,
) -> ColdStartCase:
    """Returns a case that creates a harness, runs `play` on it, and closes it.

    Args:
        play: Starts the servers, injects faults and checks the requirements.
        known_servers: How servers find each other.
        **options: Further options of the harness.
    """

    def run(folder: str, count: int, seed: int, removed_defence: str, row: ExperimentRow) -> None:
        harness = ColdStartHarness(
            folder, count, seed, known_servers=known_servers, removed_defence=removed_defence, **options
        )
        try:
            play(harness, row)
        finally:
            harness.close()

    return run


def simultaneous_start(harness: ColdStartHarness, row: ExperimentRow) -> None:
    """All servers start at once."""
    harness.start_all()
    harness.require_warm(row)
    harness.check(row)


def grantor_killed(harness: ColdStartHarness, row: ExperimentRow) -> None:
    """A grantor is killed while servers depend on it, and restarts a second later without its state."""
    harness.start_all()
    time.sleep(5.0)
    harness.servers.kill(0)
    time.sleep(1.0)
    harness.servers.start(0)
    harness.require_warm(row)
    harness.check(row)
    grace_ms = _recovery_grace_ms(harness, 0)
    has_waited = len(grace_ms) == 2 and min(grace_ms) > MIN_RECOVERY_GRACE_MS
    row.require(has_waited, f"recovery graces of a grantor restarted without a reboot: {grace_ms} ms")


def _recovery_grace_ms(harness: ColdStartHarness, index: int) -> list[int]:
    """Returns the recovery grace after each start of a grantor: the time in ms in which it grants nothing."""
    entries = harness.servers.log_entries(index)
    return [entry["ms"] for entry in entries if entry["event"] == RECOVERY_GRACE_EVENT]


def paused_and_cut_off(harness: ColdStartHarness, row: ExperimentRow) -> None:
    """A starting server is paused for 5 s, one is cut off, and messages from one are lost.

    10 % of all messages are lost and 10 % duplicated.
    """
    servers = harness.servers
    proxy = servers.proxy
    last = harness.server_count - 1
    proxy.loss_fraction = 0.1
    proxy.duplicate_fraction = 0.1
    proxy.delay_ms = 5.0
    harness.start_all()
    time.sleep(5.0)
    cut_off = servers.name(last - 1)
    muted = servers.name(last - 2)

    def is_cut(sender: str, receiver: str) -> bool:
        return cut_off in (sender, receiver) or sender == muted

    servers.run_on_loop(lambda: setattr(proxy, "is_cut", is_cut))
    servers.pause(last, 5.0)
    time.sleep(6.0)
    servers.run_on_loop(lambda: setattr(proxy, "is_cut", no_cut))
    harness.require_warm(row)
    harness.check(row)


def killed_at_each_step(harness: ColdStartHarness, row: ExperimentRow) -> None:
    """For each stage of a start, a server crashes when it reaches the stage, and is restarted."""
    servers = harness.servers
    crashing_servers = [harness.server_count - 1 - number for number in range(len(STAGES))]
    for index, stage in zip(crashing_servers, STAGES, strict=True):
        died_path = f"{servers.folder}/{stage}.died"
        servers.environment[index] = {
            "LANDINGSHIFT_CRASH": f"coldstart.{stage}",
            "LANDINGSHIFT_CRASH_ONCE": died_path,
        }
        servers.faults.expected_to_die.add(servers.name(index))
    harness.start_all()
    restarted: set[int] = set()

    def all_were_restarted() -> bool:
        for index in crashing_servers:
            if index not in restarted and servers.processes[index].poll() is not None:
                servers.faults.killed.add(servers.name(index))
                restarted.add(index)
                servers.start(index)
        return len(restarted) == len(STAGES)

    have_died = servers.wait_until(harness.max_start_seconds(), all_were_restarted)
    row.require(have_died, f"only {len(restarted)} of {len(STAGES)} servers crashed")
    harness.require_warm(row)
    harness.check(row)


def list_down(harness: ColdStartHarness, row: ExperimentRow) -> None:
    """Servers find each other only by the endpoint list: down, then slow, then outdated, then incomplete."""
    servers = harness.servers
    stand_ins = servers.stand_ins
    servers.run_on_loop(stand_ins.list_listener.close)
    harness.start_all()
    time.sleep(4.0)
    stand_ins.list_mode = EndpointListMode.SLOW
    servers.run_on_loop(stand_ins.list_listener.open)
    time.sleep(6.0)
    stand_ins.list_mode = EndpointListMode.OUTDATED
    time.sleep(4.0)
    stand_ins.list_mode = EndpointListMode.INCOMPLETE
    harness.require_warm(row, 3.0 * harness.max_start_seconds())
    harness.check(row)


def from_disk(harness: ColdStartHarness, row: ExperimentRow) -> None:
    """After a power cut all servers start from their endpoint caches, two of them invalid.

    The endpoint list is down.
    """
    servers = harness.servers
    endpoint_list = servers.stand_ins.endpoint_list
    harness.start_all()
    is_warm = harness.wait_until_warm(3.0 * harness.max_start_seconds())
    row.require(is_warm, "fleet not warm in time after the first start")
    time.sleep(6.0)
    for index in range(harness.server_count):
        servers.kill(index)
    servers.run_on_loop(servers.stand_ins.list_listener.close)
    with Path(harness.cache_path(1)).open("r+b") as cache:
        cache.truncate(TRUNCATED_CACHE_BYTES)
    Path(harness.cache_path(2)).write_bytes(INVALID_CACHE)
    requests_before = len(endpoint_list.arrival_times_ms)
    servers.restart_warm_measurement()
    time.sleep(2.0)  # booting takes longer than a lease, so a grantor's uptime shows that old leases expired
    for index in range(harness.server_count):
        servers.environment[index] = {"LANDINGSHIFT_BOOT": "second:9000"}
    harness.start_all()
    harness.require_warm(row)
    harness.check(row)
    grace_ms = [_recovery_grace_ms(harness, index) for index in range(harness.grantor_count)]
    has_only_first_grace = all(
        len(graces) == 2 and graces[0] > MIN_RECOVERY_GRACE_MS and graces[1] == 0 for graces in grace_ms
    )
    row.require(has_only_first_grace, f"recovery graces of grantors before and after the boot: {grace_ms} ms")
    is_unused = len(endpoint_list.arrival_times_ms) == requests_before
    row.require(is_unused, "the endpoint list was requested although servers had cached endpoints")


def database_overloaded(harness: ColdStartHarness, row: ExperimentRow) -> None:
    """Other clients overload the database when half of the fleet is warm; it must recover on its own."""
    servers = harness.servers
    database = servers.stand_ins.database
    harness.start_all()
    half = harness.server_count // 2
    servers.wait_until(
        harness.max_start_seconds(),
        lambda: bool(servers.warm_series) and servers.warm_series[-1].warm_count >= half,
    )
    servers.run_on_loop(lambda: database.flood(int(3.0 * database.overload_queue_length)))
    row.require(database.is_overloaded, "the database did not become overloaded")
    has_recovered = servers.wait_until(60.0, lambda: not database.is_overloaded)
    row.require(has_recovered, "the database was still overloaded after 60 s")
    row.require(database.overload_count == 1, f"database overloaded {database.overload_count} times")
    database.overload_count = 0
    harness.require_warm(row)
    harness.check(row)


def invalid_datagrams(harness: ColdStartHarness, row: ExperimentRow) -> None:
    """All servers start while a grantor is flooded with invalid datagrams."""
    with _flood_of_datagrams(harness):
        harness.start_all()
        harness.require_warm(row)
        harness.check(row)


@contextmanager
def _flood_of_datagrams(harness: ColdStartHarness) -> Iterator[None]:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    is_stopped = threading.Event()

    def send() -> None:
        while not is_stopped.is_set():
            for datagram in INVALID_DATAGRAMS:
                sock.sendto(datagram, harness.servers.membership_addresses[0])
            time.sleep(FLOOD_INTERVAL_SECONDS)

    thread = threading.Thread(target=send, daemon=True)
    thread.start()
    try:
        yield
    finally:
        is_stopped.set()
        thread.join(5.0)
        sock.close()


def baseline(folder: str, count: int, seed: int, _removed_defence: str, row: ExperimentRow) -> None:
    """Runs servers without membership and cold start, as a baseline for the measured values of other cases.

    Violations are recorded under `said`, because nothing is guaranteed without these packages.
    """
    harness = ColdStartHarness(folder, count, seed, has_packages=False)
    try:
        harness.start_all()
        harness.wait_until_warm()
        harness.check(row)
        row.figures["warm_s"] = round(harness.servers.warm_after_ms / 1000.0, 1)
        row.figures["said"] = row.violations
        row.violations = []
    finally:
        harness.close()


def overload(harness: ColdStartHarness, row: ExperimentRow) -> None:
    """At 140 % load for three minutes, no live server is declared dead; then a death is detected in time."""
    servers = harness.servers
    last = harness.server_count - 1
    harness.start_all()
    harness.wait_until_warm()
    time.sleep(OVERLOAD_SECONDS)
    false_deaths = [
        (index, entry)
        for index in range(harness.server_count)
        for entry in servers.log_entries(index)
        if entry["event"] == "fleet_dead"
    ]
    row.require(not false_deaths, f"{len(false_deaths)} live servers declared dead: {false_deaths[:2]}")
    servers.kill(last)
    began = time.monotonic()

    def is_known() -> bool:
        knows = [
            any(entry["event"] == "fleet_gone" for entry in servers.log_entries(index))
            for index in range(last)
        ]
        return sum(knows) >= DEATH_KNOWN_FRACTION * len(knows)

    row.require(servers.wait_until(20.0, is_known), "a death was not detected within 20 s")
    row.figures["death_known_s"] = round(time.monotonic() - began, 1)
    harness.check(row)


LONG: dict[str, ColdStartCase] = {
    "real_overload": cold_start_case(overload, rpcs_per_second_each=1.4 * 25.0, core_count=1, run_ms=40.0)
}
"""Cases that run only if they are selected by name."""

REAL: dict[str, ColdStartCase] = {
    "real_baseline": baseline,
    "real_at_once": cold_start_case(simultaneous_start, has_few_permits=False),
    "real_scarce": cold_start_case(simultaneous_start),
    "real_lenders_killed": cold_start_case(grantor_killed),
    "real_stopped_and_cut": cold_start_case(paused_and_cut_off),
    "real_killed_at_each_step": cold_start_case(killed_at_each_step),
    "real_list_down": cold_start_case(list_down, KnownServers.LIST),
    "real_from_disk": cold_start_case(from_disk, KnownServers.LIST),
    "real_store_collapses": cold_start_case(database_overloaded),
    "real_rude": cold_start_case(invalid_datagrams),
}
"""Cases by their names on the command line."""
