"""The rows of work on machines that take real processes, with faults between them."""

from __future__ import annotations

import signal
import threading
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

from landingshift.membership.operator_rpc import OperatorRpcError, call_operator_rpc
from landingshift.testbed.experiments.policies_real import CORES, WORK, Council, across, up_or_dead
from landingshift.testbed.experiments.rows import Row, must

CAPACITY = CORES * 1000.0 / WORK
LOAD = 0.55  # of what all can do: with the spare one or two of six may be out
NIGHT = 0.3  # two may be out, and a zone beside them
FULL = 0.93  # of what is left while one is out: what comes in a second is not even
AWAY = 0.5  # s that work takes
LASTS = 1500.0
SPARE = 0.1
COLD = 500.0  # ms


class Yard(Council):
    """Whoever ends by itself is started again a moment later, as its operator's supervisor does."""

    def __init__(
        self, folder: str, count: int, seed: int, load: float = LOAD, spare: float = SPARE, packages: str = ""
    ) -> None:
        # Five voters: with three, one on leave would leave a bare majority.
        super().__init__(folder, count, seed, load=load, cold=COLD, voters=5)
        self.spare, self.packages = spare, packages
        self.dead: set[int] = set()  # whom nobody starts again
        self.open = True
        self.again = 0
        self.thread = threading.Thread(target=self.supervise, daemon=True)

    def more(self, i: int) -> str:
        return f"""[upkeep]
capacity = {CAPACITY}
model = "m{i % 2}"
spare = {self.spare}
zone_share = 0.0
model_share = 0.0
mark = "{self.rig.folder}/n{i}.left"
lasts_ms = {LASTS}
spare_ms = 300
back_minutes = 0.01
rings = false
{self.packages}
"""

    def supervise(self) -> None:
        ended: dict[int, float] = {}
        while self.open:
            for i, process in list(self.rig.processes.items()):
                if process.poll() is None or i in self.dead:
                    ended.pop(i, None)
                elif time.monotonic() - ended.setdefault(i, time.monotonic()) > AWAY:
                    ended.pop(i)
                    self.again += 1
                    self.start(i)
            time.sleep(0.05)

    def start_all(self, but: tuple[int, ...] = ()) -> None:
        super().start_all(but)
        self.thread.start()
        lead = self.leader()
        self.rig.until(15.0, lambda: self.state(lead).get("machines") == self.count - len(but))

    def state(self, i: int) -> dict[str, Any]:
        try:
            found: dict[str, Any] = call_operator_rpc(self.rig.talks[i], "upkeep_status", [], 1500.0)
            return found
        except OperatorRpcError:
            return {}

    def out(self) -> int:
        """Machines that are away by a permission, as the leader has it."""
        try:
            found = self.state(self.leader(2.0))
        except RuntimeError:
            return 0
        return sum(w["stage"] in ("draining", "out", "returning") for w in found.get("wishes", []))

    def wish(self, names: list[str], **how: Any) -> None:
        row = [how.get("minutes", 0.05), how.get("urgency", 1.0), 0.0, float("inf"), how.get("alone", False),
               how.get("group", "")]  # fmt: skip
        self.call(self.leader(), "upkeep_ask", *[[name, *row] for name in names])

    def over(self, names: list[str], wait: float) -> bool:
        """Until none of them stands in the book any more, as its leader has it."""

        def none() -> bool:
            try:
                found = self.state(self.leader(2.0))
            except RuntimeError:
                return False
            return bool(found.get("leads")) and not {w["name"] for w in found["wishes"]} & set(names)

        return self.rig.until(wait, none)

    def ended_as(self) -> dict[str, str]:
        rows = self.call(self.leader(), "upkeep_history")
        return {row["name"]: row["end"] for row in rows}

    def check(self, row: Row, finish: bool = True) -> None:
        self.open = False
        if self.thread.is_alive():
            self.thread.join(5.0)
        lefts = [e for e in self.rig.history() if e[1] == "left"]
        numbers = [e[3] for e in lefts]
        must(row, len(numbers) == len(set(numbers)), f"a permission was used twice: {lefts}")
        row.figures |= {"left": len(lefts), "started_again": self.again}
        super().check(row, finish)


COMMON_START = """[coldstart]
servers = {count}
lenders = ["n0", "n1"]
calls_s = {calls}
"""


def case(
    play: Callable[[Yard, Row], None], load: float = LOAD, full: bool = False, cold: bool = False
) -> Any:
    """`full`: as much comes as all but one can do; `cold`: starts ask for places, too."""

    def run(folder: str, count: int, seed: int, row: Row) -> None:
        share, spare = (FULL * (count - 1) / count, 0.0) if full else (load, SPARE)
        packages = COMMON_START.format(count=count, calls=1000.0 * count) if cold else ""
        yard = Yard(folder, count, seed, share, spare, packages)
        try:
            play(yard, row)
            yard.check(row)
        except (RuntimeError, OperatorRpcError) as err:
            must(row, False, str(err))
        finally:
            yard.open = False
            yard.rig.close()

    return run


def names(y: Yard) -> list[str]:
    return [y.rig.name(i) for i in range(y.count)]


def all_replaced(y: Yard, row: Row) -> None:
    """Everybody is wanted, asked for twice by two operators; never more is out than the floor lets."""
    y.start_all()
    most = 0
    began = time.monotonic()
    y.wish(names(y))
    y.wish(list(reversed(names(y))))
    end = time.monotonic() + 20.0 + 12.0 * y.count
    while time.monotonic() < end:
        try:
            found = y.state(y.leader(3.0))
        except RuntimeError:
            continue
        out = sum(w["out"] for w in found.get("wishes", []))
        most = max(most, round(out))
        if found.get("leads") and not found["wishes"]:
            break
        time.sleep(0.1)
    row.figures |= {"took_s": round(time.monotonic() - began, 1), "most_out": most}
    ends = y.ended_as()
    must(row, ends == dict.fromkeys(names(y), "done"), f"they ended as {ends}")
    allowed = int(y.count * (1.0 - LOAD * (1.0 + SPARE)))
    must(row, most <= max(1, allowed), f"{most} were out at once, {allowed} may be")


def at_full_load(y: Yard, row: Row) -> None:
    """All are replaced while what comes in is what all but one can do."""
    y.start_all()
    began = time.monotonic()
    y.wish(names(y))
    must(row, y.over(names(y), 30.0 + 15.0 * y.count), f"not over: {y.state(y.leader())}")
    row.figures["took_s"] = round(time.monotonic() - began, 1)
    ends = y.ended_as()
    must(row, ends == dict.fromkeys(names(y), "done"), f"they ended as {ends}")


def service(y: Yard, row: Row) -> None:
    """The share of RPCs answered ok while all are replaced, beside the same time without work."""
    y.start_all()
    time.sleep(3.0)
    before = Counter(y.rig.ends)
    y.wish(names(y))
    began = time.monotonic()
    must(row, y.over(names(y), 30.0 + 15.0 * y.count), f"not over: {y.state(y.leader())}")
    took = time.monotonic() - began
    between = Counter(y.rig.ends)
    time.sleep(took)
    after = Counter(y.rig.ends)
    share = [100.0 * d["ok"] / max(1, sum(d.values())) for d in (between - before, after - between)]
    row.figures |= {
        "took_s": round(took, 1),
        "ok_with_work": round(share[0], 2),
        "ok_without": round(share[1], 2),
    }
    must(row, share[0] >= share[1] - 1.0, f"{share[0]:.2f} % ok with work, {share[1]:.2f} % without")


def zone_meanwhile(how: str, y: Yard, row: Row) -> None:
    """While two are out a zone gets a notice from outside, or loses its power and starts cold: that goes
    before all else, takes from the allowance, and what is wanted ends all the same."""
    y.start_all()
    zone = [i for i in range(y.count) if i % 3 == 0]
    wanted = [y.rig.name(i) for i in range(y.count) if i not in zone]
    y.wish(wanted)
    y.rig.until(10.0, lambda: y.out() >= 1)
    at = time.monotonic() * 1000.0
    y.dead.update(zone)  # until their operator has power again
    for i in zone:
        if how == "notice":
            y.rig.processes[i].send_signal(signal.SIGTERM)
        else:
            y.rig.kill(i)
    gone = y.rig.until(8.0, lambda: all(y.rig.processes[i].poll() is not None for i in zone))
    must(row, gone, "the zone did not go")
    time.sleep(5.0)
    back = time.monotonic() * 1000.0
    y.dead.difference_update(zone)
    must(row, y.over(wanted, 60.0), f"not over: {y.state(y.leader())}")
    ends = y.ended_as()
    must(row, ends == dict.fromkeys(wanted, "done"), f"they ended as {ends}")
    # What was permitted before may still go; after that the voters that are lost leave none to spare.
    late = [e for e in y.rig.history() if e[1] == "left" and at + LASTS + 1000.0 < e[0] < back]
    must(row, not late, f"let go while a zone was out: {late}")


def crash_meanwhile(y: Yard, row: Row) -> None:
    """One that nobody wanted crashes for good just after a permission: it takes from the same allowance."""
    y.start_all()
    wanted = names(y)[: y.count - 1]
    y.dead.add(y.count - 1)
    y.wish(wanted[-2:])
    y.rig.until(10.0, lambda: any(w["stage"] != "wished" for w in y.state(y.leader())["wishes"]))
    y.rig.kill(y.count - 1)
    good = y.over(wanted[-2:], 60.0)
    must(row, good, f"not over: {y.state(y.leader())}")


def somebody_goes(y: Yard, i: int) -> bool:
    return any(w["stage"] != "wished" for w in y.state(i).get("wishes", []))


def leader_killed(y: Yard, row: Row) -> None:
    """The leader dies as soon as somebody is permitted, and again later; all wishes end all the same."""
    y.start_all()
    wanted = names(y)[3:]
    y.wish(wanted)
    for _ in range(2):
        leader = y.leader()
        y.rig.until(8.0, partial(somebody_goes, y, leader))
        y.rig.kill(leader)
        time.sleep(2.0)
    must(row, y.over(wanted, 90.0), "not over")
    ends = y.ended_as()
    must(row, ends == dict.fromkeys(wanted, "done"), f"they ended as {ends}")


def stopped_past_the_end(y: Yard, row: Row) -> None:
    """Stopped as it is permitted, and going on after its permission's end: it must not leave on that one."""
    y.start_all(but=(y.count - 1,))
    last = y.count - 1
    y.dead.add(last)
    y.rig.start(last, LANDINGSHIFT_SLOW=f"upkeep.permitted:{LASTS + 1500.0:.0f}", LANDINGSHIFT_CLOCK="0")
    y.rig.until(10.0, partial(up_or_dead, y, last))
    y.rig.still[y.rig.name(last)] = 1e18
    time.sleep(3.0)
    y.wish([y.rig.name(last)])
    late = y.rig.until(25.0, lambda: any(e["event"] == "upkeep_late" for e in y.rig.logged(last)))
    must(row, late, "it did not notice that it was late")
    must(
        row,
        not any(e["event"] == "upkeep_leaves" for e in y.rig.logged(last)),
        "it left on a void permission",
    )
    y.call(y.leader(), "upkeep_hold", "the trial is over")


def cut_off(y: Yard, row: Row) -> None:
    """Cut off just as it is wanted: whether it leaves or not, it is counted as out until it is back."""
    y.start_all()
    last = y.rig.name(y.count - 1)
    y.wish([last])
    time.sleep(0.3)
    y.cut(partial(across, {last}))
    time.sleep(4.0)
    y.wish(names(y)[3 : y.count - 1])
    time.sleep(4.0)
    y.whole()
    must(row, y.over(names(y)[3:], 60.0), f"not over: {y.state(y.leader())}")


def killed_at_each_step(y: Yard, row: Row) -> None:
    """The permitted one dies as it is permitted and as it begins to drain; it comes back, its wish ends."""
    y.start_all()
    last = y.count - 1
    for step in ("upkeep.permitted", "upkeep.draining"):
        y.dead.add(last)
        y.rig.doomed.add(y.rig.name(last))
        y.rig.kill(last)
        once = f"{y.rig.folder}/{step}.died"
        y.start(last, LANDINGSHIFT_CRASH=step, LANDINGSHIFT_CRASH_ONCE=once)
        y.rig.until(10.0, partial(up_or_dead, y, last))
        time.sleep(1.0)
        y.wish([y.rig.name(last)])
        died = y.rig.until(20.0, lambda: y.rig.processes[last].poll() is not None)
        must(row, died, f"{step}: it did not die")
        y.rig.killed.add(y.rig.name(last))
        time.sleep(0.5)
        y.start(last)
        y.dead.discard(last)
        must(row, y.over([y.rig.name(last)], 40.0), f"{step}: not over: {y.state(y.leader())}")


def never_back(y: Yard, row: Row) -> None:
    """One never comes back: it stays counted as out, the others go on as the floor lets them."""
    y.start_all()
    last = y.count - 1
    y.dead.add(last)
    y.wish([y.rig.name(last)], urgency=9.0)
    y.rig.until(20.0, lambda: y.rig.processes[last].poll() is not None)
    y.wish(names(y)[3:last])
    must(row, y.over(names(y)[3:last], 60.0), f"not over: {y.state(y.leader())}")
    stages = {w["name"]: w["stage"] for w in y.state(y.leader())["wishes"]}
    must(row, stages.get(y.rig.name(last)) in ("draining", "out"), f"it is {stages}")


def overloaded(y: Yard, row: Row) -> None:
    """Load leaves no room: nobody goes, it says why, and a wish is cancelled."""
    y.start_all()
    y.wish([y.rig.name(y.count - 1)])
    time.sleep(6.0)
    found = y.state(y.leader())
    brought = found["demand"] * (1.0 + SPARE)
    must(row, brought > CAPACITY * (y.count - 1), f"the load was not brought: {found['demand']:.0f} a second")
    must(row, [w["stage"] for w in found["wishes"]] == ["wished"], f"{found['wishes']}")
    must(row, "the whole" in found["waits_for"] or found["room"] < CAPACITY, f"it says {found}")
    y.call(y.leader(), "upkeep_cancel", "no room", y.rig.name(y.count - 1))
    must(row, y.over([y.rig.name(y.count - 1)], 10.0), "not cancelled")


def with_a_change(y: Yard, row: Row) -> None:
    """A change of policy while machines are out for work: it takes hold, and all are done."""
    y.start_all()
    y.wish(names(y)[3:])
    y.rig.until(10.0, lambda: any(w["stage"] != "wished" for w in y.state(y.leader())["wishes"]))
    id = y.propose(0, 1)
    y.taken(row, 1, id, 30.0)
    must(row, y.over(names(y)[3:], 60.0), "not over")
    y.version(row, 1, 15.0)


LONG: dict[str, Any] = {"real_service": case(service)}
REAL: dict[str, Any] = {
    "real_all_replaced": case(all_replaced),
    "real_crash_meanwhile": case(crash_meanwhile, 0.45),  # two may be out at peaks of a second, too
    "real_leader_killed": case(leader_killed),
    "real_stopped_past_the_end": case(stopped_past_the_end),
    "real_cut_off": case(cut_off),
    "real_killed_at_each_step": case(killed_at_each_step),
    "real_never_back": case(never_back),
    "real_overloaded": case(overloaded, 1.0),
    "real_at_full_load": case(at_full_load, full=True),
    "real_notice_to_a_zone": case(partial(zone_meanwhile, "notice"), NIGHT),
    "real_cold_zone": case(partial(zone_meanwhile, "power"), NIGHT, cold=True),
    "real_with_a_change": case(with_a_change),
}
