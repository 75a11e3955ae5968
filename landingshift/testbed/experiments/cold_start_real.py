"""The rows of the common start that take real processes, with faults between them."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.processes.harness import Rig, believed

CALLS = 4.0  # calls a second and server that the store bears
RPCS = 8.0  # RPCs a second and server
ASKS = 20.0
FILL, COLD = 20, 2000.0
PEAK = 1.1
CLOCKS = ("0", "60000", "-60000")  # ms that servers' wall clocks are apart
STAGES = ("waiting", "starting", "warm")


class Fleet:
    """`know`: peers in the settings, the list service, or nobody. The plain program without `packages`."""

    def __init__(
        self,
        folder: str,
        count: int,
        seed: int,
        packages: bool = True,
        know: str = "peers",
        away: str = "",
        scarce: bool = True,
        rpcs: float = RPCS,
        cores: int = 8,
        work: float = 4.0,
    ) -> None:
        self.count, self.packages, self.know, self.scarce = count, packages and away != "shares", know, scarce
        self.lenders = max(2, min(8, count // 12)) if count >= 6 else 2
        self.rig = Rig(
            folder, count, seed, self.toml, rpcs * count, CALLS * count, ASKS, FILL, COLD, work, cores
        )
        self.rig.yard.listed = [port.address for port in self.rig.switch.ports.values()]

    def toml(self, i: int, rig: Rig) -> str:
        if not self.packages:
            return ""
        place = "{}:{}".format
        ports = [port.address for port in rig.switch.ports.values()]
        peers = ", ".join(f'"{place(*p)}"' for p in ports[:3]) if self.know == "peers" else ""
        lenders = ", ".join(f'"n{j}"' for j in range(self.lenders))
        listed = place(*rig.yard.list_door.address) if self.know == "list" else ""
        # Rows of faults keep places scarce, so that some wait for one; a plain start goes as it is set.
        most = max(self.lenders, self.count * 2 // 3)
        scarce = (
            f"places_first = {max(self.lenders, self.count // 6)}\nplaces_most = {most}"
            if self.scarce
            else ""
        )
        return f"""
[fleet]
fleet = "lab"
listen = "{place(*rig.talks[i])}"
advertise = "{place(*ports[i])}"
zone = "z{i % 3}"
peers = [{peers}]
[coldstart]
servers = {self.count}
calls_s = {CALLS * self.count}
lenders = [{lenders}]
{scarce}
list_service = "{listed}"
list_asks_s = {ASKS}
snapshot = "{rig.folder}/n{i}.members"
"""

    def start_all(self, spread: float = 0.0) -> None:
        for i in range(self.count):
            self.rig.start(i, LANDINGSHIFT_CLOCK=CLOCKS[i % 3])
            if spread:
                time.sleep(spread / self.count)

    def least(self) -> float:
        """ms: the store fills caches at what it bears, and cores are cold for a while."""
        return max(COLD, 0.95 * self.count * FILL / (CALLS * self.count) * 1000.0)

    def end(self, row: ExperimentRow, warm: float = 0.0) -> None:
        """Waits until it is warm, `warm` seconds at most; then all that must hold whatever was done to it."""
        rig, yard = self.rig, self.rig.yard
        if warm:
            rig.until(warm, lambda: rig.warm_at >= 0.0)
            row.require(rig.warm_at >= 0.0, f"not warm after {warm:g} s: {rig.warm[-1]}")
            row.figures["warm_s"] = round(rig.warm_at / 1000.0, 1)
            row.figures["least_s"] = round(self.least() / 1000.0, 1)
        unanswered = rig.quiet()
        codes = rig.drain_all()
        history = rig.history()
        bears = CALLS * self.count
        row.figures |= {
            "calls_peak_over_bears": round(yard.store.peak() / bears, 2), "falls": yard.store.falls,
            "list_peak": yard.list.peak(), "ends": dict(rig.ends),
            "shares_believed": round(believed(history, 0), 1), "of": bears,
            "places_believed": believed(history, 2),
        }  # fmt: skip
        row.series |= {
            "servers": self.count, "bears": bears,
            "by_second": [(round(at / 1000.0, 1), warm, calls) for at, warm, calls in rig.warm],
        }  # fmt: skip
        row.require(yard.store.peak() <= PEAK * bears, f"{yard.store.peak()} calls a second of {bears:g}")
        row.require(not yard.store.falls, "the store fell")
        row.require(yard.list.peak() <= max(3.0, PEAK * ASKS), f"the list was asked {yard.list.peak()} times")
        row.require(believed(history, 0) <= bears, f"shares of {believed(history, 0):.1f} of {bears:g}")
        for wrong in ("lost", "late", "twice"):
            row.require(not rig.ends[wrong], f"{rig.ends[wrong]} RPCs {wrong}")
        row.require(not unanswered, f"{unanswered} RPCs without an answer")
        row.require(not any(code for code in codes if code != -9), f"exit status {set(codes)}")


Case = Callable[[str, int, int, str, ExperimentRow], None]


def case(play: Callable[[Fleet, ExperimentRow], None], know: str = "peers", **how: Any) -> Case:
    def run(folder: str, count: int, seed: int, away: str, row: ExperimentRow) -> None:
        fleet = Fleet(folder, count, seed, know=know, away=away, **how)
        try:
            play(fleet, row)
        finally:
            fleet.rig.close()

    return run


def wait(fleet: Fleet) -> float:
    """Seconds that a start may take in all, on a machine that has other work too."""
    return 20.0 + 6.0 * fleet.least() / 1000.0


def at_once(fleet: Fleet, row: ExperimentRow) -> None:
    fleet.start_all()
    fleet.end(row, wait(fleet))


def lenders_killed(fleet: Fleet, row: ExperimentRow) -> None:
    """A lender killed while all ask it, back a second later with its memory gone."""
    fleet.start_all()
    time.sleep(5.0)
    fleet.rig.kill(0)
    time.sleep(1.0)
    fleet.rig.start(0)
    fleet.end(row, wait(fleet))
    said = [e["ms"] for e in fleet.rig.logged(0) if e["event"] == "coldstart_recovery_grace"]
    row.require(len(said) == 2 and min(said) > 1000, f"a lender of the same boot kept quiet for {said} ms")


def stopped_and_cut(fleet: Fleet, row: ExperimentRow) -> None:
    """One who starts is stopped for 5 s, one is cut off, one hears but is not heard; 10 % is lost."""
    rig, last = fleet.rig, fleet.count - 1
    rig.switch.loss, rig.switch.double, rig.switch.late = 0.1, 0.1, 5.0
    fleet.start_all()
    time.sleep(5.0)
    away, mute = rig.name(last - 1), rig.name(last - 2)
    rig.do(lambda: setattr(rig.switch, "cut", lambda a, b: away in (a, b) or a == mute))
    rig.stop(last, 5.0)
    time.sleep(6.0)
    rig.do(lambda: setattr(rig.switch, "cut", lambda a, b: False))
    fleet.end(row, wait(fleet))


def killed_at_each_step(fleet: Fleet, row: ExperimentRow) -> None:
    """A joiner dies as it reaches each stage, and is started again."""
    rig = fleet.rig
    for k, stage in enumerate(STAGES):
        i = fleet.count - 1 - k
        once = f"{rig.folder}/{stage}.died"
        rig.env[i] = {"LANDINGSHIFT_CRASH": f"coldstart.{stage}", "LANDINGSHIFT_CRASH_ONCE": once}
        rig.doomed.add(rig.name(i))
    fleet.start_all()
    died: set[int] = set()

    def again() -> bool:
        for k in range(len(STAGES)):
            i = fleet.count - 1 - k
            if i not in died and rig.processes[i].poll() is not None:
                rig.killed.add(rig.name(i))
                died.add(i)
                rig.start(i)
        return len(died) == len(STAGES)

    row.require(rig.until(wait(fleet), again), f"only {len(died)} died")
    fleet.end(row, wait(fleet))


def list_down(fleet: Fleet, row: ExperimentRow) -> None:
    """Nobody knows anybody; the list service is down, then slow, then tells where nobody is, then half."""
    rig = fleet.rig
    rig.do(rig.yard.list_door.close)
    fleet.start_all()
    time.sleep(4.0)
    rig.yard.mode = "slow"
    rig.do(rig.yard.list_door.open)
    time.sleep(6.0)
    rig.yard.mode = "old"
    time.sleep(4.0)
    rig.yard.mode = "half"
    fleet.end(row, 3.0 * wait(fleet))


def from_disk(fleet: Fleet, row: ExperimentRow) -> None:
    """All are killed once warm and start from their snapshots, two of them bad; the list service is down."""
    rig = fleet.rig
    fleet.start_all()
    row.require(rig.until(3.0 * wait(fleet), lambda: rig.warm_at >= 0.0), "the first start did not come up")
    time.sleep(6.0)
    for i in range(fleet.count):
        rig.kill(i)
    rig.do(rig.yard.list_door.close)
    with open(f"{rig.folder}/n1.members", "r+b") as file:
        file.truncate(60)
    with open(f"{rig.folder}/n2.members", "wb") as file:
        file.write(b"landingshift-members 1 0\nnonsense")
    asked = len(rig.yard.list.times)
    rig.warm_at, rig.begun = -1.0, rig.loop.now_ms
    time.sleep(2.0)  # a machine takes longer than a lease to start, which its time since then proves
    for i in range(fleet.count):
        rig.env[i] = {"LANDINGSHIFT_BOOT": "second:9000"}
    fleet.start_all()
    fleet.end(row, wait(fleet))
    said = [
        [e["ms"] for e in rig.logged(i) if e["event"] == "coldstart_recovery_grace"]
        for i in range(fleet.lenders)
    ]
    row.require(
        all(len(ms) == 2 and ms[0] > 1000 and ms[1] == 0 for ms in said),
        f"lenders kept quiet for {said}",
    )
    row.require(len(rig.yard.list.times) == asked, "the list service was asked although all knew neighbours")


def store_collapses(fleet: Fleet, row: ExperimentRow) -> None:
    """A crowd from elsewhere brings the store down when half are up: it must come back without a hand."""
    rig, store = fleet.rig, fleet.rig.yard.store
    fleet.start_all()
    rig.until(wait(fleet), lambda: bool(rig.warm) and rig.warm[-1][1] >= fleet.count // 2)
    rig.do(lambda: store.flood(int(3.0 * store.crowd)))
    row.require(store.fell, "the store did not fall")
    row.require(rig.until(60.0, lambda: not store.fell), "the store did not come back")
    row.require(store.falls == 1, f"the store fell {store.falls} times")
    store.falls = 0
    fleet.end(row, wait(fleet))


def rude(fleet: Fleet, row: ExperimentRow) -> None:
    """A peer that sends nonsense at full speed to a lender all the while."""
    import socket

    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    stop = threading.Event()

    def shout() -> None:
        data = [b"\x93\x02\xa4ping" + bytes(60), b"", bytes(2000)]
        while not stop.is_set():
            for one in data:
                sock.sendto(one, fleet.rig.talks[0])
            time.sleep(0.0005)

    thread = threading.Thread(target=shout, daemon=True)
    thread.start()
    try:
        fleet.start_all()
        fleet.end(row, wait(fleet))
    finally:
        stop.set()
        thread.join(5.0)
        sock.close()


def baseline(folder: str, count: int, seed: int, away: str, row: ExperimentRow) -> None:
    """The program as it was: for the figures beside the others', it promises nothing here."""
    fleet = Fleet(folder, count, seed, packages=False)
    try:
        fleet.start_all()
        fleet.rig.until(wait(fleet), lambda: fleet.rig.warm_at >= 0.0)
        fleet.end(row)
        row.figures["warm_s"] = round(fleet.rig.warm_at / 1000.0, 1)
        row.figures["said"] = row.violations
        row.violations = []
    finally:
        fleet.rig.close()


def overload(fleet: Fleet, row: ExperimentRow) -> None:
    """Three minutes at 140 % of what engines do: nobody is taken for dead, and a real death is known."""
    rig, last = fleet.rig, fleet.count - 1
    fleet.start_all()
    rig.until(wait(fleet), lambda: rig.warm_at >= 0.0)
    time.sleep(180.0)
    wrong = [(i, e) for i in range(fleet.count) for e in rig.logged(i) if e["event"] == "fleet_dead"]
    row.require(not wrong, f"{len(wrong)} false deaths: {wrong[:2]}")
    rig.kill(last)
    began = time.monotonic()

    def known() -> bool:
        gone = [any(e["event"] == "fleet_gone" for e in rig.logged(i)) for i in range(last)]
        return sum(gone) >= 0.99 * len(gone)

    row.require(rig.until(20.0, known), "a death is not known after 20 s")
    row.figures["death_known_s"] = round(time.monotonic() - began, 1)
    fleet.end(row)


LONG: dict[str, Case] = {"real_overload": case(overload, rpcs=1.4 * 25.0, cores=1, work=40.0)}
REAL: dict[str, Case] = {
    "real_baseline": baseline,
    "real_at_once": case(at_once, scarce=False),
    "real_scarce": case(at_once),
    "real_lenders_killed": case(lenders_killed),
    "real_stopped_and_cut": case(stopped_and_cut),
    "real_killed_at_each_step": case(killed_at_each_step),
    "real_list_down": case(list_down, "list"),
    "real_from_disk": case(from_disk, "list"),
    "real_store_collapses": case(store_collapses),
    "real_rude": case(rude),
}
