"""The rows of a change of policy that take real processes, with faults between them."""

from __future__ import annotations

import resource
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from landingshift.membership.operator_rpc import OperatorRpcError, call_operator_rpc
from landingshift.policies.document import parse_policy
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.processes.harness import Rig
from landingshift.testbed.processes.single_server import METHOD, TENANT
from landingshift.testbed.verification.invariants import broken

OVERLAP = 1000.0
MANY = 20  # servers up to which all are loaded
WORK, CORES = 40.0, 1  # an engine does 25 RPCs a second
LOAD = 1.2  # of what all engines together can do
LEASE = 2000.0
WAIT = 8000.0  # ms until a change that hangs is withdrawn
ENDED = ("taken", "refused", "withdrawn")
CLOCKS = ("0", "2000", "-2000")  # ms that servers' wall clocks are apart
MEMBER_STEPS = ("policies.ready", "policies.armed", "policies.laid")
LEADER_STEPS = ("policies.leads_check", "policies.leads_arm", "policies.leads_switching")
DISK_STEPS = ("policies.written", "policies.synced")


def text(number: int) -> bytes:
    return parse_policy(
        f"[methods.{METHOD}]\ncriticality = {2 + number}\n[tenants.{TENANT}]\nallowance_s = 9000"
    )


class Council:
    """`count` servers, of which the first three are voters; all decide RPCs at 120 % load all the while."""

    def __init__(
        self,
        folder: str,
        count: int,
        seed: int,
        cut_off: str = "serve",
        load: float = LOAD,
        cold: float = 0.0,
        voters: int = 3,
    ) -> None:
        self.count, self.cut_off, self.seed = count, cut_off, seed
        self.voters = [f"n{i}" for i in range(voters)]
        rate = load * count * CORES * 1000.0 / WORK
        self.rig = Rig(folder, count, seed, self.toml, rate, 1000.0 * count, 20.0, 0, cold, WORK, CORES)
        self.ids: list[str] = []
        self.ends: list[tuple[Any, ...]] = []

    def toml(self, i: int, rig: Rig) -> str:
        place = "{}:{}".format
        ports = [port.address for port in rig.switch.ports.values()]
        peers = ", ".join(f'"{place(*p)}"' for p in ports[:4])
        journal = f'journal = "{self.journal(i)}"' if i <= len(self.voters) else ""  # one spare
        return f"""
[fleet]
fleet = "lab"
listen = "{place(*rig.talks[i])}"
advertise = "{place(*ports[i])}"
peers = [{peers}]
[policies]
voters = {self.voters}
when_cut_off = "{self.cut_off}"
overlap_ms = {OVERLAP}
lease_ms = {LEASE}
wait_ms = {WAIT}
{journal}
{self.more(i)}"""

    def more(self, i: int) -> str:
        """Tables of other packages."""
        return ""

    def journal(self, i: int) -> str:
        return f"{self.rig.folder}/n{i}.agreed"

    def start(self, i: int, **env: str) -> None:
        self.rig.start(i, LANDINGSHIFT_CLOCK=CLOCKS[i % 3], **env)

    def start_all(self, but: tuple[int, ...] = ()) -> None:
        for i in range(self.count):
            if i not in but:
                self.start(i)
        if not self.rig.until(30.0, lambda: all(self.status(i).get("decides") for i in self.up())):
            raise RuntimeError(f"not all decide: {[self.status(i) for i in self.up()]}")

    def up(self) -> list[int]:
        rig = self.rig
        return [i for i, p in rig.processes.items() if p.poll() is None and rig.name(i) not in rig.killed]

    def call(self, i: int, name: str, *params: Any) -> Any:
        return call_operator_rpc(self.rig.talks[i], name, list(params), 1500.0)

    def status(self, i: int) -> dict[str, Any]:
        try:
            found: dict[str, Any] = self.call(i, "policy_status")
            return found
        except OperatorRpcError:
            return {}

    def leader(self, wait: float = 10.0) -> int:
        found: list[int] = []

        def leads() -> bool:
            found[:] = [i for i in self.up() if i <= len(self.voters) and self.status(i).get("leads")]
            return bool(found)

        if not self.rig.until(wait, leads):
            raise RuntimeError("nobody leads")
        return found[0]

    # Changes

    def propose(self, i: int, number: int, id: str = "") -> str:
        id = id or f"c{len(self.ids)}"
        if id not in self.ids:
            self.ids.append(id)
        with suppress(OperatorRpcError):  # killed by it, or stopped: it may have heard
            self.call(i, "policy_do", id, "propose", text(number), "lab", "a trial")
        return id

    def end(self, i: int, id: str) -> dict[str, Any]:
        """What this server says of a change; an end goes into the history."""
        try:
            found: dict[str, Any] = self.call(i, "policy_known", id)
            if found["end"] not in ENDED:
                self.call(i, "policy_do", id, "find")
        except OperatorRpcError:
            return {"end": "unknown", "version": 0, "said": ""}
        if found["end"] in ENDED:
            now = time.monotonic() * 1000.0
            self.ends.append((now, "end", self.rig.name(i), id, found["end"], found["version"]))
        return found

    def ended(self, i: int, id: str, wait: float = 15.0) -> dict[str, Any]:
        found: dict[str, Any] = {}

        def over() -> bool:
            found.clear()
            found.update(self.end(i, id))
            return found["end"] in ENDED

        self.rig.until(wait, over)
        return found

    def taken(self, row: ExperimentRow, i: int, id: str, wait: float = 15.0) -> None:
        found = self.ended(i, id, wait)
        row.require(found["end"] == "taken", f"{id} is {found}")

    def version(self, row: ExperimentRow, version: int, wait: float = 10.0) -> None:
        """Until all that run decide by it."""

        def there() -> bool:
            return all((s := self.status(i)).get("version") == version and s["decides"] for i in self.up())

        good = self.rig.until(wait, there)
        if not good:
            row.require(False, f"not all at version {version}: {[self.status(i) for i in self.up()]}")

    def agreed(self, row: ExperimentRow, wait: float) -> None:
        """Until all decide by one version, whichever: a change that was under way may still pass."""

        def there() -> bool:
            found = [self.status(i) for i in self.up()]
            return all(s.get("decides") for s in found) and len({s["version"] for s in found}) == 1

        good = self.rig.until(wait, there)
        row.require(good, f"not all decide by one version: {[self.status(i) for i in self.up()]}")

    def cut(self, rule: Callable[[str, str], bool]) -> None:
        self.rig.do(lambda: setattr(self.rig.switch, "cut", rule))

    def whole(self) -> None:
        self.cut(lambda a, b: False)

    def gone(self, i: int, name: str) -> None:
        """Once the fleet has seen that it is: before that the word is not taken."""

        def taken() -> bool:
            try:
                return bool(self.call(i, "policy_do", f"gone {name}", "gone", name))
            except OperatorRpcError:
                return False

        if not self.rig.until(15.0, taken):
            raise RuntimeError(f"{name} does not count as gone at n{i}")

    # What must hold

    def check(self, row: ExperimentRow, finish: bool = True) -> None:
        rig = self.rig
        for id in self.ids:
            for i in self.up():
                found = self.ended(i, id, 6.0)
                row.require(found["end"] in ENDED, f"{id} has no end at {rig.name(i)}: {found}")
        unanswered = rig.quiet()
        codes = rig.drain_all()
        history = sorted([*rig.history(), *self.ends], key=lambda entry: entry[0])
        decided = [e for e in history if e[1] == "decided"]
        row.violations += broken(history, OVERLAP)
        ends: dict[str, int] = {}
        for entry in {(e[3], e[4]) for e in self.ends}:
            ends[entry[1]] = ends.get(entry[1], 0) + 1
        row.figures |= {
            "decided": len(decided), "versions": len({e[3] for e in decided}), "ends": ends,
            "rpcs": dict(rig.ends), "overlap_ms": round(overlap(decided)),
        }  # fmt: skip
        for wrong in ("lost", "late", "twice"):
            row.require(not rig.ends[wrong], f"{rig.ends[wrong]} RPCs {wrong}")
        row.require(not unanswered, f"{unanswered} RPCs without an answer")
        row.require(not any(code for code in codes if code not in (0, -9)), f"exit status {set(codes)}")


def overlap(decided: list[tuple[Any, ...]]) -> float:
    """ms for which two versions were in use at once, the longest."""
    first: dict[int, float] = {}
    last: dict[int, float] = {}
    for at, _, _, version, _ in decided:
        first.setdefault(version, at)
        last[version] = at
    return max((last[v] - first[v + 1] for v in last if v + 1 in first), default=0.0)


Rule = Callable[[str, str], bool]


def across(side: set[str], a: str, b: str) -> bool:
    """What goes from one side to the other."""
    return (a in side) != (b in side)


def mutes(mute: str, a: str, b: str) -> bool:
    """What one says, who hears all."""
    return a == mute


Case = Callable[[str, int, int, ExperimentRow], None]


def case(work: Callable[[Council, ExperimentRow], None], cut_off: str = "serve") -> Case:
    def run(folder: str, count: int, seed: int, row: ExperimentRow) -> None:
        # Hundreds on one machine: its cores must not be what is measured.
        council = Council(folder, count, seed, cut_off, LOAD if count <= MANY else LOAD / 20.0)
        try:
            work(council, row)
            council.check(row)
        except (RuntimeError, OperatorRpcError) as err:
            row.require(False, str(err))
        finally:
            council.rig.close()

    return run


def without_faults(c: Council, row: ExperimentRow) -> None:
    """Three changes in a row, one asked twice."""
    c.start_all()
    for number in range(3):
        began = time.monotonic()
        id = c.propose(number % c.count, number)
        c.propose((number + 1) % c.count, number, id)
        c.taken(row, (number + 2) % c.count, id)
        c.version(row, number + 1)
        row.figures["took_s"] = round(time.monotonic() - began, 2)


def down_all_along(c: Council, row: ExperimentRow) -> None:
    """One is killed before the change: it waits and is withdrawn; once the operator says it is gone, not."""
    c.start_all()
    last = c.count - 1
    c.rig.kill(last)
    found = c.ended(0, c.propose(0, 1), WAIT / 1000.0 + 8.0)
    row.require(found["end"] == "withdrawn" and f"n{last}" in found["said"], f"it is {found}")
    c.gone(1, f"n{last}")
    c.taken(row, 1, c.propose(1, 2))
    c.version(row, 1)
    c.start(last)
    c.version(row, 1, 15.0)


def lapses(c: Council, row: ExperimentRow) -> None:
    """The same where those cut off stand aside: it passes once the lease is over."""
    c.start_all()
    last = c.count - 1
    c.rig.kill(last)
    began = time.monotonic()
    c.taken(row, 0, c.propose(0, 1))
    row.figures["took_s"] = round(time.monotonic() - began, 2)
    row.require(time.monotonic() - began < LEASE / 1000.0 + 2.5, f"took {row.figures['took_s']} s")
    c.start(last)
    c.version(row, 1, 15.0)


def down_at_the_switch(c: Council, row: ExperimentRow) -> None:
    """A member dies as it is armed and is back a second later; the change takes hold or not, everywhere."""
    last = c.count - 1
    c.start_all((last,))
    c.rig.doomed.add(c.rig.name(last))
    c.start(last, LANDINGSHIFT_CRASH="policies.armed")
    c.rig.until(10.0, lambda: bool(c.status(last).get("decides")))
    id = c.propose(0, 1)
    row.require(c.rig.until(8.0, lambda: c.rig.processes[last].poll() is not None), "it did not die")
    c.rig.killed.add(c.rig.name(last))
    time.sleep(1.0)
    c.start(last)
    c.taken(row, 1, id)
    c.version(row, 1, 15.0)


def killed_at_each_step(c: Council, row: ExperimentRow) -> None:
    """Member, leader and voter die at each named step of a change; the member asked to propose it, too."""
    c.start_all()
    rig, version = c.rig, 0
    for number, step in enumerate((*MEMBER_STEPS, *LEADER_STEPS, *DISK_STEPS), 1):
        if step in MEMBER_STEPS:
            who = c.count - 1
        else:
            leader = c.leader()
            who = leader if step in LEADER_STEPS else (leader + 1) % 3
        # The one that is to die there is started anew, for what it is told at its start.
        rig.kill(who)
        once = f"{rig.folder}/{step}.died"
        rig.doomed.add(rig.name(who))
        c.start(who, LANDINGSHIFT_CRASH=step, LANDINGSHIFT_CRASH_ONCE=once)
        rig.until(10.0, partial(up_or_dead, c, who))
        if step in LEADER_STEPS:
            lead(c, who)
        id = c.propose(c.count - 2, number)
        rig.until(6.0, partial(dead, c, who))
        if rig.processes[who].poll() is not None:
            rig.killed.add(rig.name(who))
            row.figures[step] = "died"
            time.sleep(0.3)
            c.start(who)
        found = c.ended(c.count - 2, id, 20.0)
        row.require(found["end"] in ENDED, f"{step}: {found}")
        version += found["end"] == "taken"
        c.version(row, version, 15.0)
    row.require(sum(v == "died" for v in row.figures.values()) >= 7, f"too few died: {row.figures}")


def dead(c: Council, i: int) -> bool:
    return c.rig.processes[i].poll() is not None


def up_or_dead(c: Council, i: int) -> bool:
    return dead(c, i) or bool(c.status(i).get("decides"))


def lead(c: Council, who: int) -> None:
    """Makes `who` the leader: the others that lead are stopped for a moment."""
    for _ in range(12):
        leader = c.leader()
        if leader == who:
            return
        c.rig.stop(leader, 2.5)
        time.sleep(2.8)


def proposer_killed(c: Council, row: ExperimentRow) -> None:
    """Who was asked dies at once; asked again elsewhere with the same id, it is done once."""
    c.start_all()
    last = c.count - 1
    id = c.propose(last, 1)
    c.rig.kill(last)
    c.start(last)
    c.propose(1, 1, id)
    c.taken(row, 2, id)
    c.version(row, 1, 15.0)


def leader_paused(c: Council, row: ExperimentRow) -> None:
    """The leader stands still past its lease in the middle of a change and goes on as if nothing had been."""
    c.start_all()
    leader = c.leader()
    id = c.propose(c.count - 1, 1)
    time.sleep(0.06)
    c.rig.stop(leader, 4.0)
    time.sleep(0.2)
    c.taken(row, (leader + 1) % 3, id, 20.0)
    time.sleep(4.5)
    c.version(row, 1, 10.0)


def leader_cut_and_paused(c: Council, row: ExperimentRow) -> None:
    """Cut off with one member, the leader stands still and wakes: it must not vouch for that one any more."""
    c.start_all()
    leader, last = c.leader(), c.count - 1
    side = {c.rig.name(leader), c.rig.name(last)}
    c.cut(partial(across, side))
    c.rig.stop(leader, 5.0)
    id = c.propose((leader + 1) % 3, 1)
    c.taken(row, (leader + 2) % 3, id, 15.0)
    time.sleep(4.0)
    c.whole()
    c.version(row, 1, 15.0)


def majority_gone(c: Council, row: ExperimentRow) -> None:
    """Two of three voters are killed: RPCs are decided on, no change passes; back, it does."""
    c.start_all()
    c.taken(row, 3, c.propose(3, 1))
    c.version(row, 1)
    c.rig.kill(0)
    c.rig.kill(1)
    id = c.propose(2, 2)
    time.sleep(5.0)
    for i in c.up():
        row.require(bool(c.status(i).get("decides")), f"n{i} stands aside: {c.status(i)}")
    row.require(c.end(3, id)["end"] not in ENDED, "a change passed without a majority")
    c.start(0)
    c.start(1)
    c.taken(row, 3, id, 20.0)
    c.version(row, 2, 15.0)


def majority_gone_for_good(c: Council, row: ExperimentRow) -> None:
    """They never come back: those that run decide on by the version in force."""
    c.start_all()
    c.taken(row, 3, c.propose(3, 1))
    c.version(row, 1)
    c.rig.kill(0)
    c.rig.kill(1)
    ok = c.rig.ends["ok"]
    time.sleep(8.0)
    for i in c.up():
        status = c.status(i)
        row.require(bool(status.get("decides")) and status["version"] == 1, f"n{i}: {status}")
    row.require(c.rig.ends["ok"] > ok + 100, "RPCs were not answered on")
    for i in c.up():
        row.require(c.end(i, "c0")["end"] == "taken", f"n{i} does not know the end")
    c.ids.clear()  # the one that comes now can't be told any more
    last = c.count - 1
    c.rig.doomed.add(c.rig.name(last))
    c.rig.kill(last)
    c.start(last)
    time.sleep(2.0)
    row.require(c.status(last).get("decides") is False, "it decides before it has asked")
    c.call(last, "policy_trust", 1, c.call(2, "policy_text", 1))
    row.require(c.rig.until(2.0, lambda: bool(c.status(last).get("decides"))), "it does not take the word")


def voters_replaced(c: Council, row: ExperimentRow) -> None:
    """One of three voters is gone for good: a spare is added, the dead one removed; then another dies."""
    c.start_all()
    c.taken(row, 4, c.propose(4, 1))
    c.rig.kill(0)
    c.leader()
    for how, name in (("add", "n3"), ("remove", "n0")):
        id = f"{how} {name}"
        c.call(4, "policy_do", id, "voters", how, name)
        good = c.rig.until(10.0, lambda id=id: c.call(4, "policy_known", id)["end"] == "taken")  # type: ignore[misc]
        row.require(good, f"{id}: {c.call(4, 'policy_known', id)}")
    c.gone(4, "n0")
    c.rig.kill(1)
    time.sleep(1.0)
    c.start(1)
    c.taken(row, 4, c.propose(4, 2), 20.0)
    c.version(row, 2, 15.0)
    voters = set(c.status(4)["voters"])
    row.require(voters == {"n1", "n2", "n3"}, f"voters are {voters}")


def cuts(c: Council, row: ExperimentRow) -> None:
    """Halves, then one heard by nobody, then a cut that flaps each 300 ms; a change in each."""
    c.start_all()
    half = {c.rig.name(i) for i in range(c.count) if i % 2}
    mute = c.rig.name(c.count - 1)
    began = time.monotonic()

    def flaps(a: str, b: str) -> bool:
        return int((time.monotonic() - began) / 0.3) % 2 == 0 and across(half, a, b)

    rules: tuple[Rule, ...] = (partial(across, half), partial(mutes, mute), flaps)
    for number, rule in enumerate(rules, 1):
        c.cut(rule)
        c.propose(0, number)
        c.propose(1, number + 10)  # on the other side
        time.sleep(3.0)
        c.whole()
        time.sleep(2.0)
        for id in c.ids:
            row.require(c.ended(2, id, 15.0)["end"] in ENDED, f"{id} does not end")
    versions = {c.status(i).get("version") for i in c.up()}
    c.version(row, max(v for v in versions if v is not None), 15.0)


def at_one_instant(c: Council, row: ExperimentRow) -> None:
    """Ten changes proposed at once at all servers: each ends, and in one order."""
    c.start_all()
    ids = [f"at-once-{k}" for k in range(10)]
    c.ids += ids
    threads = [threading.Thread(target=c.propose, args=(k % c.count, k, id)) for k, id in enumerate(ids)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    ends = [c.ended(k % c.count, id)["end"] for k, id in enumerate(ids)]
    row.require("taken" in ends, f"none was taken: {ends}")
    c.version(row, ends.count("taken"), 10.0)


def older_build(c: Council, row: ExperimentRow) -> None:
    """One build can't read the change: it is named, and nobody decides by it."""
    last = c.count - 1
    c.start_all((last,))
    c.start(last, LANDINGSHIFT_FORMAT="1")
    row.require(
        c.rig.until(10.0, lambda: bool(c.status(last).get("decides"))), "the older build does not decide"
    )
    id = "newer"
    c.ids.append(id)
    policy = parse_policy(f"format = 2\n[methods.{METHOD}]\nlate_share = 0.4")
    c.call(0, "policy_do", id, "propose", policy, "lab", "a newer format")
    found = c.ended(1, id)
    said = f"n{last}: format: this build reads up to 1, not 2"
    row.require(found["end"] == "refused" and found["said"] == said, f"it is {found}")
    c.taken(row, 1, c.propose(1, 1))
    c.version(row, 1)


def disk(c: Council, row: ExperimentRow) -> None:
    """A voter's disk is full and has room again; one is torn, one is from last week: both are refused."""
    c.start_all()
    rig, leader = c.rig, c.leader()
    other, third = (leader + 1) % 3, (leader + 2) % 3
    old = {
        i: (Path(c.journal(i)).read_bytes(), Path(c.journal(i) + ".seal").read_bytes())
        for i in (other, third)
    }
    pid = rig.processes[other].pid
    had = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (len(old[other][0]) + 7, had[1]))
    c.taken(row, leader, c.propose(leader, 1))
    c.version(row, 1)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, had)
    rig.until(5.0, lambda: Path(c.journal(other)).stat().st_size > len(old[other][0]) + 20)
    row.require(Path(c.journal(other)).stat().st_size > len(old[other][0]) + 20, "it did not save again")
    # The journal of last week beside the seal of today, and damage in the middle.
    for i, damage in ((other, "old"), (third, "torn")):
        rig.doomed.add(rig.name(i))
        rig.kill(i)
        path = Path(c.journal(i))
        good = path.read_bytes()
        if damage == "old":
            path.write_bytes(old[i][0])
        else:
            path.write_bytes(good[:60] + bytes([good[60] ^ 255]) + good[61:])
        c.start(i)
        row.require(rig.until(5.0, partial(dead, c, i)), f"{damage}: it runs")
        row.require(rig.processes[i].poll() == 2, f"{damage}: exit status {rig.processes[i].poll()}")
        last = Path(rig.folder, f"{rig.name(i)}.log").read_bytes().splitlines()[-1].decode()
        row.require("[policies] journal: " in last and c.journal(i) in last, f"{damage}: {last}")
        row.figures[damage] = last[-70:]
        path.write_bytes(good)
        c.start(i)
        rig.until(10.0, partial(up_or_dead, c, i))
    c.taken(row, leader, c.propose(leader, 2), 20.0)
    c.version(row, 2, 15.0)


def comes_and_goes(c: Council, row: ExperimentRow) -> None:
    """A member is started and another drained in the middle of changes."""
    last = c.count - 1
    c.start_all((last,))
    version = 0
    for number in range(2):
        id = c.propose(0, number)
        if number == 0:
            c.start(last)
        else:
            c.rig.processes[last - 1].send_signal(signal.SIGTERM)
            c.rig.killed.add(c.rig.name(last - 1))
        found = c.ended(1, id, 15.0)
        version += found["end"] == "taken"
        row.require(found["end"] == "taken", f"{id}: {found}")
    c.version(row, version, 15.0)


def chance(c: Council, row: ExperimentRow) -> None:
    """Faults drawn from the seed for ten seconds, changes all the while; then all is whole and must agree."""
    c.start_all()
    rig, draw = c.rig, Random(f"{c.seed} chance")
    for number in range(10):
        up = c.up()
        if draw.random() < 0.7 and up:
            c.propose(draw.choice(up), number)
        i = draw.randrange(c.count)
        match draw.randrange(8):
            case 0 | 1 if i in up and len(up) > 1:
                rig.kill(i)
            case 2 | 3 | 4 if len(up) < c.count:
                c.start(next(j for j in range(c.count) if j not in up))
            case 5 if i in up:
                rig.stop(i, draw.choice((0.3, 1.5, 3.0)))
            case 6:
                half = {rig.name(j) for j in draw.sample(range(c.count), c.count // 2)}
                c.cut(partial(across, half))
            case 7:
                c.cut(partial(mutes, rig.name(i)))
            case _:
                c.whole()
                rig.do(lambda: setattr(rig.switch, "loss", draw.choice((0.0, 0.1))))
        time.sleep(draw.choice((0.1, 0.5, 1.2)))
    c.whole()
    rig.do(lambda: setattr(rig.switch, "loss", 0.0))
    for j in range(c.count):
        if j not in c.up():
            c.start(j)
    row.require(
        rig.until(25.0, lambda: all(c.status(i).get("decides") for i in c.up())), "not all decide again"
    )
    for id in c.ids:
        c.ended(0, id, 2.0)
    c.agreed(row, 20.0)
    c.ids = [id for id in c.ids if c.end(0, id)["end"] in ENDED]  # one whose proposer died may be unknown


def service(c: Council, row: ExperimentRow) -> None:
    """Half a minute without a change and half a minute with one each two seconds, at the same load."""
    c.start_all()
    time.sleep(3.0)
    shares = []
    for changes in (0, 12):
        before = Counter(c.rig.ends)
        for number in range(changes or 12):
            if changes:
                c.propose(number % c.count, number)
            time.sleep(2.5)
        done = c.rig.ends - before
        shares.append(100.0 * done["ok"] / max(1, sum(done.values())))
    row.figures |= {"ok_without": round(shares[0], 2), "ok_with_changes": round(shares[1], 2)}
    row.require(
        abs(shares[0] - shares[1]) <= 2.0,
        f"{shares[0]:.1f} % ok without changes, {shares[1]:.1f} % with",
    )


LONG: dict[str, Case] = {"real_service": case(service)}
REAL: dict[str, Case] = {
    "real_without_faults": case(without_faults),
    "real_without_faults_leased": case(without_faults, "stand_aside"),
    "real_down_all_along": case(down_all_along),
    "real_lapses": case(lapses, "stand_aside"),
    "real_down_at_the_switch": case(down_at_the_switch),
    "real_killed_at_each_step": case(killed_at_each_step),
    "real_proposer_killed": case(proposer_killed),
    "real_leader_paused": case(leader_paused),
    "real_leader_cut_and_paused": case(leader_cut_and_paused, "stand_aside"),
    "real_majority_gone": case(majority_gone),
    "real_majority_gone_for_good": case(majority_gone_for_good),
    "real_voters_replaced": case(voters_replaced),
    "real_cuts": case(cuts),
    "real_cuts_leased": case(cuts, "stand_aside"),
    "real_at_one_instant": case(at_one_instant),
    "real_older_build": case(older_build),
    "real_disk": case(disk),
    "real_comes_and_goes": case(comes_and_goes),
    "real_chance": case(chance),
    "real_chance_leased": case(chance, "stand_aside"),
}
