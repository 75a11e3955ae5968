"""The agent on the server's loop: holds the server back until its start, hands the module its share."""

from __future__ import annotations

from math import inf
from random import Random
from typing import TYPE_CHECKING, Any

from landingshift import failpoints
from landingshift.admission.interface import Outcome
from landingshift.coldstart import endpoint_cache
from landingshift.coldstart.coordinator import PACKAGE, ColdStartCoordinator, LoadObservation
from landingshift.coldstart.downstream_saturation import DownstreamSaturation
from landingshift.coldstart.endpoint_list_client import EndpointListRequest
from landingshift.coldstart.recovery_grace import SystemBoot, recovery_grace_ms
from landingshift.coldstart.service_discovery import ServiceDiscoveryPoller
from landingshift.coldstart.settings import Settings, cold_start_plan
from landingshift.coldstart.start_sequence import StartStage
from landingshift.membership.messages import Address, MemberRecord
from landingshift.membership.service import MembershipService
from landingshift.membership.settings import parse_address
from landingshift.net.transport.loop import Timer

if TYPE_CHECKING:
    from landingshift.net.program.features import ServiceHost
    from landingshift.net.routing.rpc_record import RoutedRpc

LOOK = 200.0  # ms between two looks at what this server needs
SOONEST = 5.0
SAVE = 60_000.0  # ms between two snapshots; the first comes sooner
SOON = 5_000.0
GRACE = 3_000.0  # ms that known addresses are tried before the list service is asked
MORE = 1.25  # times what it needs that a server asks for: room to grow into


class ColdStart:
    name = "coldstart"

    def __init__(self, host: ServiceHost, settings: Settings) -> None:
        fleet = host.services["fleet"]
        assert isinstance(fleet, MembershipService)
        self.fleet, self.node, self.log = fleet, fleet.node, host.log
        self.router, self.loop, self.settings = host.router, host.router.loop, settings
        chance = Random(f"{self.router.config.seed} coldstart {self.router.config.name}")
        self.agent = ColdStartCoordinator(
            self.node, cold_start_plan(settings), chance, self.loop.now_ms, self.quiet()
        )
        self.strain = DownstreamSaturation()
        self.question: EndpointListRequest | None = None
        self.timer: Timer | None = None
        known = self.remember()
        self.seek = ServiceDiscoveryPoller(
            settings.servers, settings.list_asks_s, known or bool(fleet.settings.peers), GRACE, chance,
            self.loop.now_ms,
        )  # fmt: skip
        self.save_at = self.loop.now_ms + SOON
        self.saved: list[Address] = []
        self.shared = -1.0
        self.noted: dict[str, tuple[float, ...]] = {}
        self.router.health_reporter.hold_back(self.name)
        self.router.observers.add(self)
        fleet.operator_rpc.handlers |= {"coldstart": self.status, "lent": self.lent}
        self.node.message_handlers[PACKAGE] = self.hear
        self.timer = self.loop.after(0.0, self.look)

    def remember(self) -> bool:
        """The last list; True where it has somebody to try."""
        if not self.settings.snapshot:
            return False
        found = endpoint_cache.load(
            self.settings.snapshot, self.fleet.settings.cluster_name, failpoints.wall()
        )
        self.log("coldstart_list", entries=len(found.entries), age_s=round(found.age / 1000.0), why=found.why)
        self.node.add_contact_addresses(found.entries)
        return bool(found.entries)

    def quiet(self) -> float | None:
        """How long it must keep to what is claimed from it, if it lends; None: a whole lease.

        The mark of this boot is on disk before anything is lent: a later run of this boot must find it.
        """
        settings, path = self.settings, f"{self.settings.snapshot}.boot"
        if not settings.snapshot or self.node.local_record.name not in settings.lenders:
            return None
        boot, marked = SystemBoot(*failpoints.boot()), endpoint_cache.marked(path)
        ms = recovery_grace_ms(cold_start_plan(settings).booking_ms, boot, marked)
        try:
            endpoint_cache.mark(path, boot.boot_id)
        except OSError as err:
            self.log("coldstart_unmarked", error=str(err))
            # Without a mark the next run waits. One of an older boot would free it wrongly.
            return inf if marked and not endpoint_cache.unmark(path) else None
        self.log("coldstart_quiet", ms=round(ms), uptime_s=round(boot.uptime_ms / 1000.0))
        return ms

    # What the module and the engine show

    def on_call_needed(self, _rpc: RoutedRpc) -> None:
        self.strain.on_call_wanted(self.loop.now_ms)

    def on_call_finished(self, _rpc: RoutedRpc, outcome: Outcome, took: float) -> None:
        self.strain.on_call_finished(self.loop.now_ms, outcome is Outcome.OK, took)

    def seen(self) -> LoadObservation:
        now, server = self.loop.now_ms, self.router.admission
        if server is None:
            return LoadObservation()
        age, cold = (
            now - server.started_at_ms,
            server.settings.warm_up_ms if server.settings.starts_cold else 0.0,
        )
        return LoadObservation(
            warm_fraction=min(1.0, age / cold) if cold else 1.0,
            # Before it is open it calls for nobody: those that fill their caches need it more.
            needed_calls_per_second=max(1.0, MORE * self.strain.wanted_calls_per_second(now))
            if self.agent.start_sequence.is_open
            else 0.0,
            waiting_rpcs_per_second=server.arrivals_per_second(now),
            saturation=self.strain.saturation(now, self.agent.told_baseline_ms),
            baseline_latency_ms=self.strain.baseline_latency_ms,
        )

    # Time

    def hear(self, sender: MemberRecord, body: list[Any]) -> None:
        self.agent.hear(sender, body)
        self.look()  # what was lent is used at once

    def look(self) -> None:
        self.step()
        self.fleet.flush_outgoing()
        now, agent = self.loop.now_ms, self.agent
        ends = [
            end
            for had in agent.held_leases.values()
            for end in (had.call_quota.expires_at_ms, had.start_permit.expires_at_ms)
            if end > now
        ]
        self.loop.cancel(self.timer)
        self.timer = self.loop.after(max(SOONEST, min([now + LOOK, agent.ask_at, *ends]) - now), self.look)

    def step(self) -> None:
        now, agent = self.loop.now_ms, self.agent
        # Without its engine it can't work: a place would be taken for nothing.
        if self.router.admission is not None and agent.step(now, self.seen()):
            start, members = agent.start_sequence, len(self.node.member_table.present_names) + 1
            failpoints.reach(f"coldstart.{start.stage.value}")
            share = round(agent.call_quota(now), 2)
            self.log(
                "coldstart",
                stage=start.stage.value,
                alone=start.started_without_grantor,
                share=share,
                members=members,
            )
            if start.is_open:
                self.router.health_reporter.release(self.name)
        if failpoints.history:
            self.note()
        self.hand_share(now)
        if self.settings.list_service and self.seek.poll_due(now, self.node.has_joined):
            self.ask_list()
        if now >= self.save_at:
            self.save_at = now + SAVE
            self.save()
        facts = {
            "stage": float(list(StartStage).index(agent.start_sequence.stage)),
            "share": round(agent.call_quota(now), 1),
        }
        self.node.publish_metadata(now, **facts)

    def note(self) -> None:
        """What this server believes to have, and until when: over all it must never pass what there is."""
        name = self.node.local_record.name
        for lender, loans in self.agent.held_leases.items():
            held = (
                loans.call_quota.held_amount,
                loans.call_quota.expires_at_ms,
                loans.start_permit.held_amount,
                loans.start_permit.expires_at_ms,
            )
            if self.noted.get(lender) != held:
                self.noted[lender] = held
                failpoints.note("loan", name, lender, *held)

    def hand_share(self, now: float) -> None:
        if self.settings.calls_s and self.router.admission is not None:
            share = self.agent.call_quota(now)
            if share != self.shared:
                self.shared = share
                self.router.admission.set_call_quota(share)

    def ask_list(self) -> None:
        place, fleet = (
            parse_address("list_service", self.settings.list_service),
            self.fleet.settings.cluster_name,
        )
        if self.question is not None:
            self.question.cancel()
        self.question = EndpointListRequest(self.loop, place, fleet, self.list_told)

    def list_told(self, addresses: list[Address], why: str) -> None:
        self.question = None
        self.seek.on_poll_finished(self.loop.now_ms, not why)
        self.log("coldstart_asked", entries=len(addresses), why=why)
        self.node.add_contact_addresses(addresses)

    def save(self) -> None:
        entries = sorted(r.address for r in self.node.member_table.present_records())
        if not self.settings.snapshot or not entries or entries == self.saved:
            return
        try:
            endpoint_cache.save(
                self.settings.snapshot, self.fleet.settings.cluster_name, entries, failpoints.wall()
            )
            self.saved = entries
        except OSError as err:  # the old one stays; a start is only slower without
            self.log("coldstart_unsaved", error=str(err))

    def finish(self) -> None:
        if self.question is not None:
            self.question.cancel()
        self.save()

    # For operators

    def status(self, _params: list[Any]) -> dict[str, Any]:
        now, agent = self.loop.now_ms, self.agent
        return {
            "name": self.node.local_record.name,
            "stage": agent.start_sequence.stage.value,
            "alone": agent.start_sequence.started_without_grantor,
            "share": agent.call_quota(now),
            "floor": agent.own,
            "strain": agent.seen.saturation,
            "need": agent.seen.needed_calls_per_second,
            "lenders": agent.present_grantors(),
            "asked": agent.asked,
            "answered": agent.answered,
            "list_asks": self.seek.poll_count,
        }

    def lent(self, _params: list[Any]) -> dict[str, Any]:
        """What this server lends; raises ValueError where it is no lender."""
        lending = self.agent.grantor
        if lending is None:
            raise ValueError("it lends nothing: it is not among the lenders")
        places = lending.start_permits
        return {
            "calls": lending.call_quota_grantor.capacity,
            "calls_booked": lending.call_quota_grantor.booked_amount(),
            "places": places.limiter.limit,
            "places_in_use": places.permits_in_use(),
            "waiting": len(places.requests) - places.permits_in_use(),
            "shares": {name: grant.amount for name, grant in lending.call_quota_grantor.grants.items()},
        }


def attach(host: ServiceHost, settings: Settings) -> ColdStart:
    return ColdStart(host, settings)
