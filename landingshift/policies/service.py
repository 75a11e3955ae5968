"""A server's part in policies on its loop: messages, the journal, and what the module decides by."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any

from landingshift import decision_history, failpoints, system_clock
from landingshift.admission.controller import AdmissionController
from landingshift.consensus.errors import RaftLogError
from landingshift.consensus.raft_log import RaftLogFile
from landingshift.membership.messages import MemberRecord, MemberState
from landingshift.membership.service import MembershipService
from landingshift.net.routing.observers import AnswerKind
from landingshift.net.transport.loop import Timer
from landingshift.policies.document import LARGEST, PolicyOverlay
from landingshift.policies.node import PolicyNode
from landingshift.policies.participant import ParticipantStage
from landingshift.policies.settings import Settings, plan

if TYPE_CHECKING:
    from landingshift.net.program.features import ServiceHost
    from landingshift.net.routing.rpc_record import RoutedRpc

PACKAGE = "policies"
SOON = 1.0  # ms: no look is due before
AGAIN = 500.0  # ms until a disk that took nothing is tried again
PUMPS = 8  # times in a row that what was saved may bring about more to save


class Policies:
    name = "policies"

    def __init__(self, host: ServiceHost, settings: Settings) -> None:
        fleet = host.services["fleet"]
        assert isinstance(fleet, MembershipService)
        self.fleet, self.node, self.log = fleet, fleet.node, host.log
        self.router, self.loop, self.settings = host.router, host.router.loop, settings
        site = self.router.config
        self.base = PolicyOverlay(site.settings, site.methods, site.tenants)
        self.journal: RaftLogFile | None = None
        if site.name in settings.voters and not settings.journal:
            raise ValueError("journal: is needed: this server is among voters")
        if settings.journal:
            try:
                self.journal = RaftLogFile(settings.journal, fleet.settings.cluster_name, site.name)
            except RaftLogError as err:
                raise ValueError(f"journal: {err}") from err
            except OSError as err:
                raise ValueError(f"journal: {settings.journal}: {err.strerror}") from err
        me, chance = self.node.local_record, Random(f"{site.seed} policies {site.name}")
        stored = self.journal.persistent_state if self.journal is not None else None
        self.part = PolicyNode(
            me.name,
            me.run_id,
            plan(settings),
            self.base.check,
            stored,
            chance,
            self.loop.now_ms,
            system_clock.wall_clock_ms,
            most=settings.most,
        )
        self.participant = self.part.participant
        self.laid = 0  # the version that the module goes by
        self.server: AdmissionController | None = None  # the module that was last told whether it may decide
        self.may, self.looked = False, self.loop.now_ms  # when it looked whether it may
        self.full_since, self.save_at = -1.0, 0.0  # since when the disk takes nothing; next try
        self.timer: Timer | None = None
        self.seen: tuple[Any, ...] = ("", ParticipantStage.NONE, "", False, "")
        self.part.participant.list_alive_peers = lambda: self.node.member_table.present_names
        self.node.message_handlers[PACKAGE] = self.hear
        self.router.before_decisions = self.before
        self.router.health_reporter.add_readiness_gate(self.name)  # it can't decide yet
        if decision_history.is_recording():
            self.router.observers.add(self)
        fleet.operator_rpc.handlers |= {
            "policy_do": self.do, "policy_known": self.known, "policy_status": self.status,
            "policy_history": self.history, "policy_text": self.text, "policy_trust": self.trust,
        }  # fmt: skip
        self.loop.after(0.0, self.tick)

    # Time and messages: the clock is read anew, since what came may be younger than the pass

    def hear(self, sender: MemberRecord, body: list[Any]) -> None:
        self.part.on_message(sender.name, body, self.loop.clock_ms())
        self.pass_on()

    def tick(self) -> None:
        self.timer = None
        now = self.loop.clock_ms()
        if self.part.next_deadline_ms() <= now:
            self.part.tick(now)
        self.pass_on()

    def pass_on(self) -> None:
        """Saves what must be on disk first, then sends; looks again when something is due."""
        for _ in range(PUMPS):
            saved = self.save()
            out = self.part.take_outgoing()  # with a full disk all but what would rest on it
            for to, body in out:
                self.fleet.large_messages.send_to_member(to, PACKAGE, body)
            if not saved or not out:
                break
        self.fleet.flush_outgoing()
        self.tell()
        at = max(self.part.next_deadline_ms(), self.loop.now_ms + SOON)
        if self.timer is None or at < self.timer.due_ms - SOON:
            self.loop.cancel(self.timer)
            self.timer = self.loop.after(at - self.loop.now_ms, self.tick)

    def save(self) -> bool:
        """False where the disk takes nothing: nothing that rests on it may go out."""
        stored = self.part.unsaved_state()
        if stored is None or self.journal is None:
            return True
        if self.loop.now_ms < self.save_at:
            return False
        try:
            self.journal.save(stored)
        except OSError as err:
            self.save_at = self.loop.now_ms + AGAIN
            if self.full_since < 0.0:
                self.full_since = self.loop.now_ms
                self.log("policy_unsaved", journal=self.settings.journal, error=str(err))
            return False
        if self.full_since >= 0.0:
            self.log("policy_saved_again", after_ms=round(self.loop.now_ms - self.full_since))
            self.full_since = -1.0
        self.part.on_state_saved(self.loop.clock_ms())
        self.part.deliver_messages(self.loop.clock_ms())
        return True

    # For packages that keep a book on the same agreement

    def register_state_machine(
        self, name: str, state_machine: Any, on_committed: Callable[[float], None]
    ) -> None:
        """`on_committed(now)` hears that entries were taken, on voters."""
        self.part.state_machines.register(name, state_machine)
        self.part.commit_listeners.append(on_committed)

    def propose(self, data: bytes) -> bool:
        good = self.part.raft is not None and self.part.raft.propose(data) is not None
        self.pass_on()
        return good

    def is_leader(self) -> bool:
        """Whether this server speaks for all; the clock is read now."""
        return self.part.raft is not None and self.part.raft.has_leader_lease(self.loop.clock_ms())

    @property
    def is_voter(self) -> bool:
        return self.part.raft is not None

    @property
    def leader(self) -> str:
        return self.participant.leader

    @property
    def voters(self) -> list[str]:
        return self.participant.voters

    # What the module decides by

    def before(self) -> None:
        """Called at the end of each pass, before the module starts or turns away anything."""
        server, f = self.router.admission, self.participant
        if server is None:
            return
        now = self.loop.clock_ms() if f.needs_lease else self.loop.now_ms
        if f.version > self.laid:
            self.lay(server)
        may, self.looked = f.may_decide(now), now
        if may != self.may or server is not self.server:
            self.may, self.server = may, server
            if server.stop_at_ms is None or not may:
                server.now_ms = self.loop.now_ms
                server.set_standby(not may)
                self.router.request_settle()
            if may:
                self.router.health_reporter.remove_readiness_gate(self.name)
            self.log("policy_aside", on=not may, version=f.version, why="" if may else self.why())

    def lay(self, server: AdmissionController) -> None:
        failpoints.reach("policies.laid")
        self.base.apply(self.participant.policy)
        server.now_ms = self.loop.now_ms
        server.on_settings_changed()
        self.router.request_settle()
        self.laid = self.participant.version
        self.log("policy_version", version=self.laid)

    def why(self) -> str:
        f = self.participant
        if f.refusal_reason:
            return f.refusal_reason
        if not f.is_member:
            return "no leader has counted it yet"
        if f.latest_version > f.version:
            return f"version {f.latest_version} is in force, its text is not here yet"
        return (
            f"no word from the leader for too long, during {f.change_id}"
            if f.change_id
            else "no word for too long"
        )

    def tell(self) -> None:
        """A line for what changes in a change."""
        f, book = self.participant, self.part.book
        voter = self.part.raft
        leads = voter is not None and voter.has_leader_lease(self.loop.clock_ms())
        step = ""  # of the change, at the one who leads it
        if leads and self.part.coordinator is not None and book.pending_change_id:
            step = "switching" if self.part.coordinator.switching_change_id else self.part.coordinator.phase
        seen = (f.change_id, f.stage, book.pending_change_id, leads, step)
        if seen == self.seen:
            return
        had, self.seen = self.seen, seen
        if step != had[4]:
            failpoints.reach(f"policies.leads_{step or 'none'}")
        if f.stage is not had[1] or f.change_id != had[0]:
            failpoints.reach(f"policies.{f.stage.value or 'none'}")
            self.log("policy_stage", change=f.change_id, stage=f.stage.value, said=f.rejection_reason)
        if leads != had[3]:
            self.log("policy_leads", on=leads, term=voter.current_term if voter is not None else 0)
        if book.pending_change_id != had[2] and had[2]:
            change = book.find_change(had[2])
            if change is not None:
                self.log("policy_ended", change=change.id, end=change.end.value, said=change.said)

    # For a history

    def on_started(self, _rpc: RoutedRpc) -> None:
        self.note()

    def on_answered(self, _rpc: RoutedRpc, kind: AnswerKind) -> None:
        if kind is AnswerKind.REJECTED and self.may:
            self.note()

    def note(self) -> None:
        f = self.participant
        policy = f.policy if f.version == self.laid else b""
        decision_history.record("decided", self.node.local_record.name, self.laid, policy, self.looked)

    # For operators

    def do(self, params: list[Any]) -> bool:
        """[id, what, ...]: brought to the leader; False where too many are under way."""
        match params:
            case [str(id), "gone", str(name)]:
                record = self.node.member_table.record(name)
                if record is None:
                    raise ValueError(f"{name}: nobody of that name is known here")
                if record.state is MemberState.ALIVE:
                    raise ValueError(f"{name}: it is there, as this server sees it")
                good = self.part.submit_command(id, ["gone", name, record.run_id], self.loop.clock_ms())
                self.pass_on()
                return good
            case [str(id), *what] if 0 < len(id) <= 64 and what and fits(what):
                good = self.part.submit_command(id, what, self.loop.clock_ms())
                self.pass_on()
                return good
        raise ValueError("an id and what is to be done are expected")

    def known(self, params: list[Any]) -> dict[str, Any]:
        match params:
            case [str(id)]:
                return self.part.change_status(id)
        raise ValueError("an id is expected")

    def status(self, _params: list[Any]) -> dict[str, Any]:
        f, now = self.participant, self.loop.clock_ms()
        voter, book = self.part.raft, self.part.book
        record = self.node.member_table.record(f.leader) if f.leader else None
        found: dict[str, Any] = {
            "name": self.node.local_record.name, "version": self.laid, "decides": f.may_decide(now),
            "why_not": "" if f.may_decide(now) else self.why(), "newest": f.latest_version,
            "leader": f.leader,
            "leader_at": f"{record.host}:{record.port}" if record is not None else "",
            "change": f.change_id, "stage": f.stage.value, "said": f.rejection_reason,
            "voters": list(f.voters),
            "when_cut_off": self.settings.when_cut_off,
        }  # fmt: skip
        if voter is not None and self.part.coordinator is not None:
            leads = voter.has_leader_lease(now)
            found |= {
                "voter": voter.role.value,
                "term": voter.current_term,
                "taken_entries": voter.commit_index,
            }
            found |= {"leads": leads, "counted": len(book.members), "open": book.pending_change_id}
            if leads:
                found["waits_for"] = (
                    [list(w) for w in self.part.coordinator.unprepared_members(now)][:64]
                    if book.pending_change_id
                    else []
                )
        return found

    def history(self, _params: list[Any]) -> list[dict[str, Any]]:
        """Raises ValueError on a server that is no voter."""
        if self.part.raft is None or not self.part.raft.is_voter:
            raise ValueError(f"it is no voter: ask one of {', '.join(self.participant.voters)}")
        return [
            {
                "id": c.id, "end": c.end.value, "version": c.version, "who": c.who, "why": c.why,
                "at": c.at, "said": c.said,
            }
            for c in self.part.list_changes()
        ]  # fmt: skip

    def text(self, params: list[Any]) -> bytes:
        """The policy of a version; raises ValueError where it is not kept."""
        match params:
            case [int(version)]:
                if version == self.participant.version:
                    return self.participant.policy
                kept = self.part.book.texts.get(version)
                if kept is not None:
                    return kept
                raise ValueError(f"version {version}: its text is not kept here")
        raise ValueError("a version is expected")

    def trust(self, params: list[Any]) -> bool:
        """[version, policy]; raises ValueError where it can't be."""
        match params:
            case [int(version), bytes(policy)] if version >= 0:
                why = self.participant.trust_operator(version, policy)
                if why:
                    raise ValueError(why)
                self.log("policy_trusted", version=version)
                self.router.request_settle()
                return True
        raise ValueError("a version and its text are expected")

    def finish(self) -> None:
        """The loop has ended: nothing more is decided here, which is what the others wait for."""
        self.part.announce_departure()
        for to, body in self.part.take_outgoing():
            self.node.send_to_member(to, PACKAGE, body)
        self.fleet.flush_outgoing()
        if self.journal is not None:
            self.journal.close()


def fits(what: list[Any]) -> bool:
    match what:
        case ["propose", bytes(policy), str(who), str(why)]:
            return len(policy) <= LARGEST and len(who) <= 64 and len(why) <= 300
        case ["withdraw", str(who), str(why)]:
            return len(who) <= 64 and len(why) <= 300
        case ["voters", "add" | "remove", str(name)]:
            return 0 < len(name) <= 32
        case ["find"]:
            return True
    return False


def attach(host: ServiceHost, settings: Settings) -> Policies:
    """Raises ValueError("journal: ...") where it can't be used."""
    return Policies(host, settings)
