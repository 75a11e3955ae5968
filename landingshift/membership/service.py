"""The node on the server's loop: one UDP socket for peers, calls for operators."""

from __future__ import annotations

import socket
from random import Random
from selectors import EVENT_READ
from typing import TYPE_CHECKING, Any

from landingshift.membership import wire
from landingshift.membership.large_messages import LargeMessageTransport
from landingshift.membership.member_table import Member
from landingshift.membership.messages import DEPARTED_STATES, MemberRecord, MemberState
from landingshift.membership.node import SwimNode, SwimTimings
from landingshift.membership.operator_rpc import OperatorRpcServer
from landingshift.membership.settings import Settings, parse_address
from landingshift.net.transport.loop import Timer

if TYPE_CHECKING:
    from landingshift.net.program.features import ServiceHost

READS = 64  # datagrams in a pass: what floods must not hold up RPCs
BUFFER = 1 << 20  # bytes of datagrams that may wait while a pass is long
STRANGE = 1000.0  # ms between two lines about datagrams that were no messages
SOON = 1.0  # ms: no look is due before


class MembershipService:
    def __init__(self, host: ServiceHost, settings: Settings) -> None:
        router = host.router
        self.router, self.loop, self.log = router, router.loop, host.log
        self.settings = settings
        bound = parse_address("listen", settings.listen, zero=True)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.operator_rpc = OperatorRpcServer(self.loop, bound, self.log)
            self.sock.bind(self.operator_rpc.listener.address)
        except OSError as err:
            self.sock.close()
            raise ValueError(f"listen: {settings.listen}: {err.strerror}") from err
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
        here = (
            parse_address("advertise", settings.advertise) if settings.advertise else self.sock.getsockname()
        )
        chance = Random(f"{router.config.seed} fleet {router.config.name}")
        me = MemberRecord(
            name=router.config.name,
            host=here[0],
            port=here[1],
            zone=settings.zone,
            run_id=chance.getrandbits(48),
            incarnation=0,
            metadata_version=0,
            state=MemberState.ALIVE,
            reported_by="",
            metadata={},
        )
        peers = [parse_address("peers", p) for p in settings.peers]
        times = SwimTimings(settings.period_ms, settings.probe_ms, settings.suspect_ms)
        self.node = SwimNode(me, peers, times, settings.most, chance, self.loop.now_ms, self.log)
        self.node.state_observers.append(self.told)
        self.strange: dict[str, int] = {}  # datagrams by why they were turned away, since the last line
        self.timer: Timer | None = None
        self.heard = self.said = self.unsent = 0
        self.large_messages = LargeMessageTransport(
            self.loop, self.node, self.operator_rpc, settings.cluster_name
        )
        self.operator_rpc.handlers |= {"members": self.members, "status": self.status}
        self.loop.watch(self.sock.fileno(), EVENT_READ, self)
        self.loop.after(0.0, self.tick)
        self.log("fleet_started", name=me.name, address=f"{here[0]}:{here[1]}", run=me.run_id)

    # The loop

    def on_ready(self, _mask: int) -> None:
        for _ in range(READS):
            try:
                data = self.sock.recv(wire.LARGEST + 1)
            except OSError:  # none left, or news of one that could not be delivered
                break
            self.heard += 1
            try:
                message = wire.decode(self.settings.cluster_name, data)
            except wire.Broken as err:
                self.turn_away(str(err))
            else:
                self.node.on_message(message, self.loop.now_ms)
        self.flush_outgoing()

    def tick(self) -> None:
        self.timer = None
        if self.router.is_draining:
            self.node.leave(self.loop.now_ms)
        if self.node.next_deadline_ms() <= self.loop.now_ms:
            self.node.on_timer(self.loop.now_ms)
        self.flush_outgoing()

    def flush_outgoing(self) -> None:
        for to, message in self.node.take_outgoing():
            self.said += 1
            try:
                self.sock.sendto(wire.encode(self.settings.cluster_name, message), to)
            except OSError:  # full, or no way there: a later one says the same
                self.unsent += 1
        at = max(self.node.next_deadline_ms(), self.loop.now_ms + SOON)
        if self.timer is None or at < self.timer.due_ms - SOON:
            self.loop.cancel(self.timer)
            self.timer = self.loop.after(at - self.loop.now_ms, self.tick)

    def turn_away(self, reason: str) -> None:
        if not self.strange:
            self.loop.after(STRANGE, self.tell_strange)
        self.strange[reason] = self.strange.get(reason, 0) + 1

    def tell_strange(self) -> None:
        strange, self.strange = self.strange, {}
        self.log("fleet_strange", **strange)

    def told(self, member: Member, was: MemberState | None) -> None:
        """A line for what changes who is counted on; suspicions come and go too often."""
        r, members = member.record, len(self.node.member_table.present_names) + 1
        if r.state is MemberState.ALIVE and (was is None or was in DEPARTED_STATES):
            self.log("fleet_member", name=r.name, run=r.run_id, members=members)
        elif r.state in DEPARTED_STATES and was in (MemberState.ALIVE, MemberState.SUSPECT):
            self.log("fleet_gone", name=r.name, how=r.state.name.lower(), by=r.reported_by, members=members)

    def finish(self) -> None:
        self.node.leave(self.loop.now_ms)
        self.flush_outgoing()
        self.loop.watch(self.sock.fileno(), 0, self)
        self.sock.close()
        self.operator_rpc.close()

    # For operators

    def members(self, _params: list[Any]) -> list[dict[str, Any]]:
        now, members = self.loop.now_ms, self.node.member_table
        rows = [self.row(members.local_record, 0.0)]
        rows += [self.row(m.record, now - m.since_ms) for m in members.members.values()]
        return sorted(rows, key=lambda row: str(row["name"]))

    @staticmethod
    def row(r: MemberRecord, age: float) -> dict[str, Any]:
        return {
            "name": r.name, "address": f"{r.host}:{r.port}", "zone": r.zone, "run": r.run_id,
            "incarnation": r.incarnation, "state": r.state.name.lower(), "for_ms": round(age), **r.metadata,
        }  # fmt: skip

    def status(self, _params: list[Any]) -> dict[str, Any]:
        node = self.node
        states: dict[str, int] = {}
        for member in node.member_table.members.values():
            name = member.record.state.name.lower()
            states[name] = states.get(name, 0) + 1
        return {
            "name": node.local_record.name,
            "fleet": self.settings.cluster_name,
            "members": len(node.member_table.present_names) + 1,
            "states": states,
            "doubt": node.local_health.doubt,
            "news": len(node.member_table.gossip_counts),
            "heard": self.heard,
            "said": self.said,
            "unsent": self.unsent + node.dropped_message_count,
            "refused": node.member_table.refused_record_count,
        }


def attach(host: ServiceHost, settings: Settings) -> MembershipService:
    """Raises ValueError("listen: ...") where the address can't be had."""
    return MembershipService(host, settings)
