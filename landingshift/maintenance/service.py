"""Maintenance on the server's loop: load reports, leaving by a drain, and the leader's own work."""

from __future__ import annotations

import os
import subprocess
from random import Random
from typing import TYPE_CHECKING, Any, Protocol, cast

from landingshift import failpoints
from landingshift.maintenance.agent import MaintenanceAgent, answer_report
from landingshift.maintenance.coordinator import MaintenanceCoordinator
from landingshift.maintenance.planner import dry_run
from landingshift.maintenance.replicated_state import NAME, MaintenanceState, command
from landingshift.maintenance.requests import RequestState
from landingshift.maintenance.settings import Settings, plan
from landingshift.membership.messages import DEPARTED_STATES, MemberRecord
from landingshift.membership.service import MembershipService
from landingshift.net.routing.observers import AnswerKind
from landingshift.net.transport.loop import Timer

if TYPE_CHECKING:
    from landingshift.net.program.features import ServiceHost
    from landingshift.net.routing.rpc_record import RoutedRpc

PACKAGE = "upkeep"
REST = 2000.0  # ms between two reports of one that nobody wants out
BUSY = 500.0
WIDTH = 1000.0  # ms over which RPCs are counted
MOST = 500  # machines in one call


class Agreement(Protocol):
    """What keeps the book: the service of another package."""

    is_voter: bool
    leader: str
    voters: list[str]

    def keep(self, name: str, book: Any, taken: Any) -> None: ...
    def propose(self, data: bytes) -> bool: ...
    def leads(self) -> bool: ...


class MaintenanceService:
    name = "upkeep"

    def __init__(self, host: ServiceHost, settings: Settings) -> None:
        fleet = host.services["fleet"]
        assert isinstance(fleet, MembershipService)
        self.fleet, self.node, self.log = fleet, fleet.node, host.log
        self.agreement = cast(Agreement, host.services["policies"])
        self.router, self.loop, self.settings = host.router, host.router.loop, settings
        self.chance = Random(f"{self.router.config.seed} upkeep {self.router.config.name}")
        self.hand = MaintenanceAgent(self.marked())
        self.reads, self.ok, self.all = 0, 0.0, 0.0
        self.load, self.load_at = 0.0, self.loop.now_ms
        self.state = MaintenanceState()
        self.coordinator: MaintenanceCoordinator | None = None
        if self.agreement.is_voter:
            self.agreement.keep(NAME, self.state, self.taken)
            self.coordinator = MaintenanceCoordinator(
                self.state, plan(settings), self.agreement.propose, lambda _: self.agreement.leads(),
                self.gone, self.node.member_table.known_names, failpoints.wall, self.log,
            )  # fmt: skip
            fleet.operator_rpc.handlers |= {
                "upkeep_ask": self.ask, "upkeep_cancel": self.cancel, "upkeep_hold": self.hold,
                "upkeep_status": self.status, "upkeep_plan": self.plan, "upkeep_history": self.history,
            }  # fmt: skip
        fleet.operator_rpc.handlers["upkeep_here"] = self.here
        self.node.message_handlers[PACKAGE] = self.hear
        self.router.observers.add(self)
        self.timer: Timer | None = self.loop.after(REST * self.chance.random(), self.tick)

    # What it serves

    def on_read(self, _rpc: RoutedRpc) -> None:
        self.reads += 1

    def on_answered(self, _rpc: RoutedRpc, kind: AnswerKind) -> None:
        self.all += 1.0
        self.ok += kind is AnswerKind.OK

    def warmth(self) -> float:
        """Of the module's cores, once it serves at all."""
        server = self.router.admission
        if server is None or not self.router.health_reporter.is_reporting:
            return 0.0
        cold = server.settings.warm_up_ms if server.settings.starts_cold else 0.0
        return min(1.0, (self.loop.now_ms - server.started_at_ms) / cold) if cold else 1.0

    # Its reports

    def tick(self) -> None:
        now = self.loop.now_ms
        if now - self.load_at >= WIDTH:
            self.load, self.reads, self.load_at = self.reads * 1000.0 / (now - self.load_at), 0, now
        self.report()
        if self.coordinator is not None:
            self.coordinator.step(self.loop.clock_ms())
        wait = BUSY if self.hand.stage or (self.coordinator is not None and self.state.requests) else REST
        self.loop.cancel(self.timer)
        self.timer = self.loop.after(wait * self.chance.uniform(0.9, 1.1), self.tick)
        self.fleet.flush_outgoing()

    def report(self) -> None:
        mine, now = self.settings, self.loop.clock_ms()
        body = self.hand.report(
            now, mine.capacity, mine.model, mine.best, self.warmth(), self.load, self.ok, self.all
        )
        leader = self.agreement.leader
        if leader == self.node.local_record.name:
            self.hear(self.node.local_record, body)
        elif leader:
            self.node.send_to_member(leader, PACKAGE, body)

    def hear(self, sender: MemberRecord, body: list[Any]) -> None:
        match body:
            case ["at", *_]:
                answer = answer_report(
                    self.coordinator, sender, self.agreement.voters, body, self.loop.clock_ms()
                )
                if answer is not None and sender.name == self.node.local_record.name:
                    self.hear(sender, answer)
                elif answer is not None:
                    self.node.send_to_member(sender.name, PACKAGE, answer)
            case ["told", int(number), str(stage), int(permission), float(lasts)]:
                if self.hand.told(number, stage, permission, lasts):
                    failpoints.reach("upkeep.permitted")
                    self.go()

    def go(self) -> None:
        """Leaves, if its permission still holds by its own clock just now."""
        if self.router.is_draining or not self.hand.goes(self.loop.clock_ms()):
            self.log("upkeep_late", number=self.hand.leave.number)
            return
        going = self.hand.going
        self.write_mark()
        failpoints.note("left", self.node.local_record.name, going)
        self.log("upkeep_leaves", number=going)
        self.report()
        self.fleet.flush_outgoing()
        failpoints.reach("upkeep.draining")
        self.router.drain()

    def marked(self) -> int:
        """The permission by which its earlier run left; 0 where nothing says so."""
        try:
            with open(self.settings.mark) as file:
                name, number = file.read(64).split()
            return int(number) if name == self.router.config.name else 0
        except (OSError, ValueError):
            return 0

    def write_mark(self) -> None:
        if not self.settings.mark:
            return
        try:
            with open(self.settings.mark + ".new", "w") as file:
                file.write(f"{self.node.local_record.name} {self.hand.going}\n")
                file.flush()
                os.fsync(file.fileno())
            os.replace(self.settings.mark + ".new", self.settings.mark)
        except OSError as err:  # at worst the work is asked for once more
            self.log("upkeep_unmarked", error=str(err))

    def gone(self, name: str) -> bool:
        record = self.node.member_table.record(name)
        return record is None or record.state in DEPARTED_STATES

    def taken(self, now: float) -> None:
        """Entries were taken: what follows from them need not wait."""
        if self.coordinator is not None:
            self.coordinator.look_at = min(self.coordinator.look_at, now)

    # For operators; on voters, and what changes something on their leader

    def lead(self) -> MaintenanceCoordinator:
        if self.coordinator is None or not self.agreement.leads():
            raise ValueError(f"it does not lead: ask {self.agreement.leader or 'a voter'}")
        return self.coordinator

    def ask(self, params: list[Any]) -> int:
        """[[name, minutes, urgency, not_before, not_after, alone, group], ...]; how many are asked for."""
        self.lead()
        now, rows = failpoints.wall(), []
        if not 0 < len(params) <= MOST:
            raise ValueError(f"1 to {MOST} machines are expected")
        for row in params:
            match row:
                case [
                    str(name),
                    float(minutes),
                    float(urgency),
                    float(before),
                    float(after),
                    bool(alone),
                    str(group),
                ]:
                    if not 0 < len(name) <= 32 or not 0.0 < minutes <= 1e5 or not 0.0 < urgency <= 100.0:
                        raise ValueError(f"{name[:32]}: minutes to 100000 and an urgency to 100 are expected")
                    rows.append([name, minutes, now, urgency, before, after, alone, group[:32]])
                case _:
                    raise ValueError("a row is name, minutes, urgency, not_before, not_after, alone, group")
        if not self.agreement.propose(command("wish", rows)):
            raise ValueError("the agreement takes nothing just now")
        return len(rows)

    def cancel(self, params: list[Any]) -> int:
        """[why, name, ...]; how many of them could still be cancelled."""
        self.lead()
        why, *names = [str(p) for p in params] or [""]
        count = 0
        for name in names[:MOST]:
            wish = self.state.requests.get(name)
            if wish is not None and wish.stage is RequestState.WISHED:
                data = command(
                    "move", name, wish.number, RequestState.CANCELLED.value, why[:300], failpoints.wall()
                )
                count += self.agreement.propose(data)
        return count

    def hold(self, params: list[Any]) -> bool:
        """[why]: nobody is let go from now on; [""]: somebody is again."""
        self.lead()
        match params:
            case [str(why)]:
                return self.agreement.propose(command("hold", why[:300]))
        raise ValueError("a reason is expected, or nothing to go on")

    def status(self, _params: list[Any]) -> dict[str, Any]:
        coordinator = self.coordinator
        assert coordinator is not None
        now = self.loop.clock_ms()
        rows = [
            {
                "name": w.name, "stage": w.stage.value, "number": w.number, "minutes": w.minutes,
                "urgency": w.urgency, "out": round(w.out(), 2), "why": w.why,
            }
            for w in self.state.requests.values()
        ]  # fmt: skip
        found: dict[str, Any] = {"leads": self.agreement.leads(), "held": self.state.held, "wishes": rows}
        if found["leads"]:
            floor = coordinator.floor()
            out = {n: w.out() for n, w in self.state.requests.items() if w.out()} | coordinator.lost(now)
            found |= {
                "machines": len(coordinator.reports), "demand": coordinator.demand(), "room": floor.room(out),
                "lost": sorted(coordinator.lost(now)), "waits_for": coordinator.why,
            }  # fmt: skip
        return found

    def plan(self, _params: list[Any]) -> dict[str, Any]:
        """Who would go when, at the demand of now."""
        coordinator = self.lead()
        floor, lost = coordinator.floor(), coordinator.lost(self.loop.clock_ms())
        steps, least = dry_run(self.state.requests, floor, lost, coordinator.plan.back)
        return {"steps": [list(s) for s in steps], "least_capacity": least, "floor": floor.limits[0].least}

    def history(self, _params: list[Any]) -> list[dict[str, Any]]:
        return [
            {"name": e.name, "end": e.end, "why": e.why, "since": e.since, "at": e.at, "number": e.number}
            for e in self.state.history
        ]

    def here(self, _params: list[Any]) -> dict[str, Any]:
        """What this server knows of its own part."""
        return {
            "name": self.node.local_record.name, "stage": self.hand.stage, "going": self.hand.going,
            "warmth": self.warmth(), "load": self.load, "leader": self.agreement.leader,
        }  # fmt: skip

    def finish(self) -> None:
        """Drained. With a permission, the operator's work is done now, in a process of its own."""
        if not self.hand.going or not self.settings.work:
            return
        try:
            done = subprocess.run(self.settings.work, timeout=self.settings.work_s, stdin=subprocess.DEVNULL)
            self.log("upkeep_worked", number=self.hand.going, status=done.returncode)
        except (OSError, subprocess.TimeoutExpired) as err:
            self.log("upkeep_work_failed", number=self.hand.going, error=str(err))


def attach(host: ServiceHost, settings: Settings) -> MaintenanceService:
    return MaintenanceService(host, settings)
