"""A fleet of homes in virtual time, and a day done to it: faults that compose, operators' errands, gateways.

All that happened goes into one history, from which `promises` says what held. The same day gives the same
history.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from itertools import combinations
from random import Random
from typing import Any

from landingshift.coldstart.plan import ColdStartPlan
from landingshift.consensus.persistent_state import PersistentState
from landingshift.consensus.timeouts import RaftTimeouts
from landingshift.maintenance.capacity_constraints import DisruptionBudget
from landingshift.maintenance.commands import AddRequests
from landingshift.maintenance.coordinator_settings import CoordinatorSettings
from landingshift.maintenance.requests import MaintenanceRequest
from landingshift.policies.commands import FINAL_OUTCOMES
from landingshift.policies.messages import ChangeVoters, FindChange, ProposeChange
from landingshift.policies.policy_settings import PolicySettings
from landingshift.testbed.experiments.scenarios import Coverage, Fault, Scenario, blocks_link
from landingshift.testbed.simulation.cold_start import Store
from landingshift.testbed.simulation.server import CAPACITY, METHODS, WAIT, Disk, Home, Sent, address, text
from landingshift.testbed.simulation.virtual_time import Address, Host, World
from landingshift.testbed.verification.invariants import History

SEND = 50.0  # ms between two looks of the gateways
LATE = 1000.0  # by which gateways hear of a change of the list
LOOK = 250.0  # between two looks of the town
CALLS = 3.0  # calls a second and server that the store bears
SETTLE = 180_000.0  # ms that a fleet has to come to rest once nothing is done to it any more
REST = 500.0  # between two looks at whether it has
AGAIN = 500.0  # between two tries of an operator to reach the leader
STORM = 1_000_000  # events: some twenty times those of a long day
OFFSETS = 1e6, 3e6  # ms that monotonic clocks show at the beginning: never below 0, as on real machines
SUPERVISOR = 300.0  # ms until a process that ended by a notice is started again, at the least
NOON = 1.8e12  # Unix ms at the beginning
OVERLAP, LEASE, SPARE = 1000.0, 900.0, 100.0
BREAKS = {  # the defence that is taken away: what must then be found broken
    "lease": "all_or_none",
    "ask": "all_or_none",
    "sure": "all_or_none",
    "arm": "all_or_none",
    "quiet": "shares",
    "booking": "shares",
    "end": "permissions",
    "floor": "floor",
    "due": "answered",
    "grace": "drains",
    "suspect": "members",
}


def added_requests(names: list[str], duration_minutes: float, wall_ms: float) -> AddRequests:
    """Returns the command by which operators request maintenance of `names`."""
    return AddRequests(tuple(MaintenanceRequest(name, duration_minutes, wall_ms) for name in names))


class Town:
    """`away` takes one defence from all; `seen` counts what was met."""

    def __init__(self, day: Scenario, away: str = "", seen: Coverage | None = None) -> None:
        self.day, self.away, self.seen = day, away, seen or Coverage()
        self.world = World(day.seed)
        self.world.most = STORM
        self.chance = Random(f"{day.seed} town")
        self.history: History = []
        servers, names = day.server_count, [f"n{i}" for i in range(day.server_count)]
        self.rules = PolicySettings(
            tuple(names[: day.voter_count]),
            day.stands_aside,
            overlap_ms=OVERLAP,
            lease_ms=LEASE,
            clock_margin_ms=SPARE,
            change_timeout_ms=6000.0,
        )
        self.times = RaftTimeouts(heartbeat_interval_ms=100.0, election_timeout_ms=500.0)
        self.store = Store(CALLS * servers)
        lenders = tuple(names[: max(2, servers // 3)])
        self.plan = ColdStartPlan(
            lenders, CALLS * servers, servers, 0.1, 1500.0, 300.0, max(2.0, servers / 3.0), float(servers),
            4000.0, 2.0,
        )  # fmt: skip
        budget = (
            DisruptionBudget(-1.0, 0.0, 0.0, 0.0) if away == "floor" else DisruptionBudget(0.1, 0.0, 0.0, 0.0)
        )
        self.work = CoordinatorSettings(
            budget,
            permit_valid_ms=2000.0,
            permit_grace_ms=300.0,
            warm_up_minutes=0.05,
            is_staged=False,
            peak_decay_ms=10_000.0,
        )
        self.walls = [NOON] * servers
        # One more than there are voters has a journal and could be one.
        self.disks = [Disk(PersistentState() if i <= day.voter_count else None) for i in range(servers)]
        self.back_after: dict[int, float] = {}
        self.homes: dict[int, Home] = {}
        self.runs = [0] * servers
        self.under: dict[int, Fault] = {}  # acts that are under way, by their place in the day
        self.sides = [{address(i) for i in act.servers} for act in day.faults]
        self.list_up = True
        self.rate = day.load_ratio * servers * CAPACITY  # RPCs a second
        self.more = 1.0
        self.owed, self.numbers = 0.0, 0
        self.told: dict[int, tuple[float, bool]] = {}  # what gateways were told of each server, and when
        self.known: dict[int, bool] = {}  # what they go by
        self.ids: list[str] = []
        self.asked: dict[str, float] = {}  # minutes of each machine's last wish
        self.ends: set[tuple[str, str]] = set()
        self.world.cut = self.cut

    # What homes need of it

    def chance_of(self, i: int, run: int) -> Random:
        return Random(f"{self.day.seed} {i} {run}")

    def peers(self, i: int) -> list[Address]:
        return [address(j) for j in range(self.day.server_count) if j != i][:4]

    def note(self, what: str, *values: Any) -> None:
        self.history.append((self.world.now, what, *values))

    def permitted(self, name: str) -> int:
        """The number of the permission in force, as the voter that leads has it; 0 where none knows."""
        home = self.leader()
        wish = home.maintenance.requests.get(name) if home is not None else None
        return wish.permit_number if wish is not None else 0

    def work_ms(self, name: str) -> float:
        return self.asked.get(name, 0.0) * 60_000.0

    def leader(self) -> Home | None:
        return next((h for h in self.homes.values() if h.host.up and h.leads()), None)

    # Processes

    def start(self, i: int) -> None:
        if i in self.homes and self.homes[i].host.up:
            return
        self.runs[i] += 1
        chance = Random(f"{self.day.seed} {i} clock {self.runs[i]}")
        offset, pace = chance.uniform(*OFFSETS), chance.uniform(0.99, 1.01)
        host = Host(self.world, address(i), None, offset, pace)  # type: ignore[arg-type]
        self.disks[i].dies = 0.0
        self.world.hosts[address(i)] = host
        self.note("starts", f"n{i}")
        home = self.homes[i] = Home(self, i, self.runs[i], host)
        host.mind = home
        host.turn()

    def kill(self, i: int, away: float) -> None:
        """`away` ms until it is started again."""
        if i in self.homes and self.homes[i].host.up:
            self.world.kill(address(i))
            self.note("killed", f"n{i}")
        self.world.after(away, partial(self.start, i))

    def ended(self, home: Home) -> None:
        """It has drained: its last word, then its supervisor starts it anew."""
        home.part.announce_departure()
        for to, body in home.part.take_outgoing():
            home.node.send_to_member(to, "policies", body)
        for at, message in home.node.take_outgoing():
            self.world.carry(home.host.address, at, message)
        home.host.up = False
        self.note("ended", home.name)
        self.world.after(max(SUPERVISOR, self.back_after.get(home.i, 0.0)), partial(self.start, home.i))

    # The network

    def cut(self, a: Address, b: Address) -> bool:
        now = self.world.now
        return any(
            blocks_link(act, self.sides[place], a, b, now - act.start_ms) for place, act in self.under.items()
        )

    def links(self) -> None:
        """Loss, doubles and delay are the most of all acts under way."""

        def most(kind: str) -> float:
            return max((a.amount for a in self.under.values() if a.kind == kind), default=0.0)

        self.world.loss, self.world.double, self.world.slow = most("loss"), most("twice"), most("delay")
        self.more = 1.0
        for a in self.under.values():
            self.more *= a.amount if a.kind == "load" else 1.0
        self.list_up = not any(a.kind == "list_down" for a in self.under.values())

    # Acts

    def begin(self, place: int, act: Fault) -> None:
        self.seen.record(act.kind, sorted({a.kind for a in self.under.values()}), self.stages())
        self.note("begins", act.kind, place, act.servers, act.duration_ms, act.amount)
        if act.duration_ms:
            self.under[place] = act
            self.world.after(act.duration_ms, partial(self.over, place))
        self.links()
        for i in act.servers:
            home = self.homes.get(i)
            up = home is not None and home.host.up
            match act.kind:
                case "kill" | "zone":
                    self.kill(i, act.duration_ms)
                case "crash_loop":
                    self.loop(place, i, act)
                case "notice" if up and home is not None:
                    home.host.arrive(("notice", act.duration_ms))
                case "stop" | "pause" if up and home is not None:
                    self.note("still", home.name, self.world.now + act.duration_ms)
                    home.host.stop(act.duration_ms)
                case "hang" if home is not None:
                    home.hangs = max(home.hangs, self.world.now + act.duration_ms)
                case "starved" if home is not None:
                    home.host.lag = act.amount
                case "torn" if up:
                    self.disks[i].dies = act.duration_ms
                case "full":
                    self.disks[i].full = True
                case "clock":
                    self.walls[i] += act.amount
                case "change" | "voters" if up and home is not None:
                    self.errand(act, home)
        if act.kind == "store_falls":
            self.store.waiting += act.amount * self.store.bears
        if act.kind == "wish":
            self.wish([f"n{i}" for i in act.servers], act.amount, 30)

    def over(self, place: int) -> None:
        act = self.under.pop(place)
        self.note("over", act.kind, place)
        self.links()
        for i in act.servers:
            home = self.homes.get(i)
            if act.kind == "starved" and home is not None:
                home.host.lag = 0.0
                home.host.wake()
            if act.kind == "full":
                self.disks[i].full = any(a.kind == "full" and i in a.servers for a in self.under.values())
            if act.kind == "torn":
                self.disks[i].dies = 0.0

    def loop(self, place: int, i: int, act: Fault) -> None:
        if place in self.under:
            self.kill(i, act.amount / 2.0)
            self.world.after(act.amount, partial(self.loop, place, i, act))

    def errand(self, act: Fault, home: Home) -> None:
        now = home.clock()
        if act.kind == "change":
            id = f"c{len(self.ids)}"
            self.ids.append(id)
            home.part.submit_command(id, ProposeChange(text(len(self.ids)), "lab", "a trial"), now)
        else:
            name = f"n{act.servers[0] % (self.day.voter_count + 1)}"
            how = "remove" if name in home.part.participant.discovery.voters else "add"
            home.part.submit_command(f"{how} {name}", ChangeVoters(how == "add", name), now)
        home.host.turn()

    def wish(self, names: list[str], minutes: float, tries: int) -> None:
        """Asked of whoever leads; an operator tries again where nobody does."""
        home = self.leader()
        if home is not None and home.environment.propose(added_requests(names, minutes, home.wall())):
            self.asked |= dict.fromkeys(names, minutes)
            self.note("wished", tuple(names))
            home.host.turn()
        elif tries:
            self.world.after(AGAIN, partial(self.wish, names, minutes, tries - 1))

    def stages(self) -> list[str]:
        """Of all plans that are under way."""
        found = set()
        lead = self.leader()
        if lead is None:
            found.add("nobody leads")
        elif lead.part.coordinator is not None and lead.maintenance is not None:
            desk = lead.part.coordinator
            if lead.part.state_machine.pending_change_id:
                found.add(f"change {'switching' if desk.switching_change_id else desk.phase.value}")
            found |= {f"work {w.state.value}" for w in lead.maintenance.requests.values()}
        for home in self.homes.values():
            if home.host.up and home.agent.start_sequence.stage.value != "warm":
                found.add(f"start {home.agent.start_sequence.stage.value}")
        return sorted(found)

    # Gateways

    def look(self) -> None:
        self.world.after(SEND, self.look)
        for i, home in self.homes.items():
            listed = home.host.up and home.listed
            if self.told.get(i, (0.0, False))[1] != listed:
                self.told[i] = self.world.now, listed
            at, what = self.told.get(i, (0.0, False))
            if self.world.now - at >= LATE:
                self.known[i] = what
        here = [i for i, known in self.known.items() if known]
        self.owed += self.rate * self.more * SEND / 1000.0
        while self.owed >= 1.0:
            self.owed -= 1.0
            if here:
                self.send(self.chance.choice(here))

    def send(self, i: int) -> None:
        home = self.homes[i]
        if not home.host.up:
            self.note("refused", home.name)  # proves that nothing ran: the caller goes elsewhere
            return
        self.numbers += 1
        criticality = METHODS[self.chance.random() < 0.2]
        rpc = Sent(
            criticality, home.tenant, WAIT, 1.0, 10.0, 0, None, False, False, False, False, self.numbers
        )
        sent = self.world.now
        still = home.host.until
        # What a stopped process has not read it can't answer for; the time it waits there is told by `at`.
        self.world.after(1.0, lambda: home.host.arrive(("read", rpc, max(0.0, still - sent))))

    def sizes(self) -> None:
        self.world.after(2000.0, self.sizes)
        for home in self.homes.values():
            if home.host.up:
                for what, size in home.sizes().items():
                    self.note("size", home.name, what, size)

    def watch(self) -> None:
        """What warm cores could do and what is asked of them; ends of changes as each server tells them."""
        self.world.after(LOOK, self.watch)
        self.store.look(self.world.now)
        up = [h for h in self.homes.values() if h.host.up and h.ends_at == float("inf")]
        capacity = sum(CAPACITY * h.warmth() for h in up)
        self.note("capacity", capacity, self.rate * self.more, [h.name for h in up])
        self.tell_ends()

    def tell_ends(self, again: bool = False) -> None:
        for home in self.homes.values():
            if not home.host.up:
                continue
            for id in self.ids:
                known = home.part.change_status(id)
                if known.outcome in FINAL_OUTCOMES and (again or (home.name, id) not in self.ends):
                    self.ends.add((home.name, id))
                    self.note("end", home.name, id, known.outcome, known.version)

    # A day

    def play(self) -> History:
        day, world = self.day, self.world
        for i in range(day.server_count):
            world.at(self.chance.uniform(0.0, 500.0), partial(self.start, i))
        world.after(SEND, self.look)
        world.after(LOOK, self.watch)
        world.after(2000.0, self.sizes)
        self.note("bounds", self.plan.downstream_calls_per_second, self.plan.max_permits)
        self.note("each", CAPACITY)
        began = 4000.0  # the first start has settled, more or less
        for place, act in enumerate(day.faults):
            world.at(began + act.start_ms, partial(self.begin, place, act))
        world.run(began + day.duration_ms)
        self.settle()
        return self.history

    def settle(self) -> None:
        """Nothing is done to it any more: it comes to rest, and whoever is asked answers."""
        self.note("quiet")
        self.rate = min(self.rate, 0.3 * self.day.server_count * CAPACITY)
        end = self.world.now + SETTLE
        while self.world.now < end and self.restless():
            self.world.run(self.world.now + REST)
            if self.world.now > end - SETTLE / 2.0:
                self.ask_all()
        for word in self.restless():
            self.note("restless", word)
        self.tell_ends(True)
        self.note("rests", end - SETTLE)

    def ask_all(self) -> None:
        for home in self.homes.values():
            for id in self.ids:
                if home.host.up and home.part.change_status(id).outcome not in FINAL_OUTCOMES:
                    home.part.submit_command(id, FindChange(), home.clock())
                    home.host.turn()

    def restless(self) -> list[str]:
        """What has not come to its end yet; empty once all is well."""
        homes, found = list(self.homes.values()), []
        down = [h.name for h in homes if not h.host.up]
        if down:
            return [f"down: {down}"]
        checks: list[tuple[str, Callable[[Home], bool]]] = [
            ("not warm", lambda h: h.agent.start_sequence.stage.value == "warm"),
            ("not counted", lambda h: h.part.participant.is_member),
            ("does not decide", lambda h: h.may),
            ("not listed", lambda h: h.listed),
        ]
        for word, well in checks:
            some = [h.name for h in homes if not well(h)]
            if some:
                found.append(f"{word}: {some}")
        versions = {h.part.participant.version for h in homes}
        if len(versions) > 1:
            found.append(f"versions {sorted(versions)}")
        blind = [(a.name, b.name) for a, b in combinations(homes, 2) if a.gone(b.name) or b.gone(a.name)]
        if blind:
            found.append(f"do not see each other: {blind[:3]}")
        if self.store.fell:
            found.append("the store is down")
        open_ = [id for id in self.ids if not any((h.name, id) in self.ends for h in homes)]
        lead = self.leader()
        if lead is None:
            found.append("nobody leads")
        elif lead.maintenance.requests:
            found.append(
                f"work is not over: {[(w.name, w.state.value) for w in lead.maintenance.requests.values()]}"
            )
        if lead is not None and lead.part.state_machine.pending_change_id:
            found.append(f"{lead.part.state_machine.pending_change_id} is under way, of {open_}")
        return found
