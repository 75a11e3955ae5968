"""The agent on the server's loop: holds the server back until its start, hands the module its share."""

from __future__ import annotations

from math import inf
from random import Random
from typing import TYPE_CHECKING, Any

from landingshift import failpoints
from landingshift.admission.interface import Outcome
from landingshift.coldstart import snapshot
from landingshift.coldstart.agent import PACKAGE, Agent, Seen
from landingshift.coldstart.lists import Question
from landingshift.coldstart.quiet import Boot, quiet
from landingshift.coldstart.seek import Seek
from landingshift.coldstart.settings import Settings, plan
from landingshift.coldstart.start import Stage
from landingshift.coldstart.strain import Strain
from landingshift.membership.messages import Address, Record
from landingshift.membership.service import Fleet
from landingshift.membership.settings import address
from landingshift.net.transport.loop import Timer

if TYPE_CHECKING:
    from landingshift.net.program.features import Host
    from landingshift.net.routing.records import Routed

LOOK = 200.0  # ms between two looks at what this server needs
SOONEST = 5.0
SAVE = 60_000.0  # ms between two snapshots; the first comes sooner
SOON = 5_000.0
GRACE = 3_000.0  # ms that known addresses are tried before the list service is asked
MORE = 1.25  # times what it needs that a server asks for: room to grow into


class ColdStart:
    name = "coldstart"

    def __init__(self, host: Host, settings: Settings) -> None:
        fleet = host.services["fleet"]
        assert isinstance(fleet, Fleet)
        self.fleet, self.node, self.log = fleet, fleet.node, host.log
        self.router, self.loop, self.settings = host.router, host.router.loop, settings
        chance = Random(f"{self.router.site.seed} coldstart {self.router.site.name}")
        self.agent = Agent(self.node, plan(settings), chance, self.loop.now, self.quiet())
        self.strain = Strain()
        self.question: Question | None = None
        self.timer: Timer | None = None
        known = self.remember()
        self.seek = Seek(
            settings.servers, settings.list_asks_s, known or bool(fleet.settings.peers), GRACE, chance,
            self.loop.now,
        )  # fmt: skip
        self.save_at = self.loop.now + SOON
        self.saved: list[Address] = []
        self.shared = -1.0
        self.noted: dict[str, tuple[float, ...]] = {}
        self.router.health_state.hold(self.name)
        self.router.taps.add(self)
        fleet.talk.calls |= {"coldstart": self.status, "lent": self.lent}
        self.node.handlers[PACKAGE] = self.hear
        self.timer = self.loop.after(0.0, self.look)

    def remember(self) -> bool:
        """The last list; True where it has somebody to try."""
        if not self.settings.snapshot:
            return False
        found = snapshot.load(self.settings.snapshot, self.fleet.settings.fleet, failpoints.wall())
        self.log("coldstart_list", entries=len(found.entries), age_s=round(found.age / 1000.0), why=found.why)
        self.node.add_peers(found.entries)
        return bool(found.entries)

    def quiet(self) -> float | None:
        """How long it must keep to what is claimed from it, if it lends; None: a whole lease.

        The mark of this boot is on disk before anything is lent: a later run of this boot must find it.
        """
        settings, path = self.settings, f"{self.settings.snapshot}.boot"
        if not settings.snapshot or self.node.me.name not in settings.lenders:
            return None
        boot, marked = Boot(*failpoints.boot()), snapshot.marked(path)
        ms = quiet(plan(settings).kept, boot, marked)
        try:
            snapshot.mark(path, boot.id)
        except OSError as err:
            self.log("coldstart_unmarked", error=str(err))
            # Without a mark the next run waits. One of an older boot would free it wrongly.
            return inf if marked and not snapshot.unmark(path) else None
        self.log("coldstart_quiet", ms=round(ms), uptime_s=round(boot.uptime / 1000.0))
        return ms

    # What the module and the engine show

    def needed(self, _rpc: Routed) -> None:
        self.strain.needed(self.loop.now)

    def called(self, _rpc: Routed, outcome: Outcome, took: float) -> None:
        self.strain.called(self.loop.now, outcome is Outcome.OK, took)

    def seen(self) -> Seen:
        now, server = self.loop.now, self.router.server
        if server is None:
            return Seen()
        age, cold = (
            now - server.started_at_ms,
            server.settings.warm_up_ms if server.settings.starts_cold else 0.0,
        )
        return Seen(
            warmth=min(1.0, age / cold) if cold else 1.0,
            # Before it is open it calls for nobody: those that fill their caches need it more.
            need=max(1.0, MORE * self.strain.need(now)) if self.agent.start.open else 0.0,
            work=server.values.size(now) / 2.0,
            strain=self.strain.value(now, self.agent.told_base),
            base=self.strain.base,
        )

    # Time

    def hear(self, sender: Record, body: list[Any]) -> None:
        self.agent.hear(sender, body)
        self.look()  # what was lent is used at once

    def look(self) -> None:
        self.step()
        self.fleet.pass_on()
        now, agent = self.loop.now, self.agent
        ends = [end for had in agent.loans.values() for end in (had.share.end, had.place.end) if end > now]
        self.loop.cancel(self.timer)
        self.timer = self.loop.after(max(SOONEST, min([now + LOOK, agent.ask_at, *ends]) - now), self.look)

    def step(self) -> None:
        now, agent = self.loop.now, self.agent
        # Without its engine it can't work: a place would be taken for nothing.
        if self.router.server is not None and agent.step(now, self.seen()):
            start, members = agent.start, len(self.node.members.present) + 1
            failpoints.reach(f"coldstart.{start.stage.value}")
            share = round(agent.share(now), 2)
            self.log(
                "coldstart", stage=start.stage.value, alone=start.by_itself, share=share, members=members
            )
            if start.open:
                self.router.health_state.release(self.name)
        if failpoints.history:
            self.note()
        self.hand_share(now)
        if self.settings.list_service and self.seek.step(now, self.node.joined):
            self.ask_list()
        if now >= self.save_at:
            self.save_at = now + SAVE
            self.save()
        facts = {"stage": float(list(Stage).index(agent.start.stage)), "share": round(agent.share(now), 1)}
        self.node.state_facts(now, **facts)

    def note(self) -> None:
        """What this server believes to have, and until when: over all it must never pass what there is."""
        name = self.node.me.name
        for lender, loans in self.agent.loans.items():
            held = (loans.share.held, loans.share.end, loans.place.held, loans.place.end)
            if self.noted.get(lender) != held:
                self.noted[lender] = held
                failpoints.note("loan", name, lender, *held)

    def hand_share(self, now: float) -> None:
        if self.settings.calls_s and self.router.server is not None:
            share = self.agent.share(now)
            if share != self.shared:
                self.shared = share
                self.router.server.set_call_quota(share)

    def ask_list(self) -> None:
        place, fleet = address("list_service", self.settings.list_service), self.fleet.settings.fleet
        if self.question is not None:
            self.question.cancel()
        self.question = Question(self.loop, place, fleet, self.list_told)

    def list_told(self, addresses: list[Address], why: str) -> None:
        self.question = None
        self.seek.over(self.loop.now, not why)
        self.log("coldstart_asked", entries=len(addresses), why=why)
        self.node.add_peers(addresses)

    def save(self) -> None:
        entries = sorted(r.address for r in self.node.members.alive())
        if not self.settings.snapshot or not entries or entries == self.saved:
            return
        try:
            snapshot.save(self.settings.snapshot, self.fleet.settings.fleet, entries, failpoints.wall())
            self.saved = entries
        except OSError as err:  # the old one stays; a start is only slower without
            self.log("coldstart_unsaved", error=str(err))

    def finish(self) -> None:
        if self.question is not None:
            self.question.cancel()
        self.save()

    # For operators

    def status(self, _params: list[Any]) -> dict[str, Any]:
        now, agent = self.loop.now, self.agent
        return {
            "name": self.node.me.name, "stage": agent.start.stage.value, "alone": agent.start.by_itself,
            "share": agent.share(now), "floor": agent.own, "strain": agent.seen.strain,
            "need": agent.seen.need, "lenders": agent.lenders(), "asked": agent.asked,
            "answered": agent.answered, "list_asks": self.seek.asks,
        }  # fmt: skip

    def lent(self, _params: list[Any]) -> dict[str, Any]:
        """What this server lends; raises ValueError where it is no lender."""
        lending = self.agent.lending
        if lending is None:
            raise ValueError("it lends nothing: it is not among the lenders")
        places = lending.places
        return {
            "calls": lending.shares.capacity, "calls_booked": lending.shares.booked(),
            "places": places.pace.limit, "places_in_use": places.in_use(),
            "waiting": len(places.wishes) - places.in_use(),
            "shares": {name: grant.amount for name, grant in lending.shares.grants.items()},
        }  # fmt: skip


def attach(host: Host, settings: Settings) -> ColdStart:
    return ColdStart(host, settings)
