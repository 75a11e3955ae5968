"""One server's part in the fleet: probes others, answers for itself, tells news on, finds the fleet again.

Pure: time, chance and messages come in; messages, log lines and the next time to look go out. One driver runs
it on the server's loop, another in virtual time.

The way of SWIM: each period one other is probed; who does not answer is probed through a few more; who is
still silent is suspected, and dead once nobody, least of all itself, has contradicted in time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from msgspec.structs import replace

from landingshift.membership.local_health import LocalHealth, suspicion_timeout_ms
from landingshift.membership.member_table import Member, MemberTable
from landingshift.membership.messages import (
    DEPARTED_STATES,
    Address,
    MemberRecord,
    MemberState,
    Message,
    MessageKind,
)

HELPERS = 3  # asked to probe the silent one
LATE = 100.0  # ms by which a look may be late before this server knows that it stood still
TWICE = 3  # contradictions of another run of this name within a minute: two servers have one name
PAGES = 24  # datagrams that one answer of the anti-entropy may take
GOSSIP = 2  # peers that news are told to beside probes, each TELL ms, while there are any
TELL = 100.0
MAX_OUTBOX_MESSAGES = 4096  # messages that may wait for the driver
RETURN = 2000.0  # ms between two tries to reach one that counts as dead: halves of a fleet must meet again
BEHIND = 200.0  # ms to the next comparison after one that brought something new
REPLIES_PER_SECOND = 200.0  # sums and asks that are answered a second
VERSIONS = 500.0  # ms between two versions of this server's own facts, at least
MAX_INDIRECT_PROBES = 64
SUSPECTS = 50.0  # ms between two looks at who is suspected for too long
BOOK = 1024  # addresses that are kept to be tried


@dataclass(slots=True, frozen=True)
class SwimTimings:
    """ms."""

    probe_interval_ms: float = 400.0  # between two probes
    ack_timeout_ms: float = 150.0  # until the helpers are asked
    min_suspicion_ms: float = 1200.0  # shortest suspicion in a fleet of ten
    departed_retention_ms: float = 600_000.0  # that the dead stay in the table
    anti_entropy_interval_ms: float = 4000.0  # between two comparisons of the whole table


@dataclass(slots=True, eq=False)
class Probe:
    number: int
    target: str
    ask_at: float  # when the helpers are asked
    end: float
    asked: bool = False
    helpers: int = 0  # that were asked
    silent: int = 0  # of them, that have not said a word


@dataclass(slots=True, eq=False)
class Errand:
    """A probe on behalf of another."""

    number: int  # of the asker's probe
    asker: Address
    nack_at: float


class Bucket:
    """So many a second, saved up for one second."""

    def __init__(self, rate: float) -> None:
        self.rate, self.left, self.at = rate, rate, 0.0

    def take(self, now: float) -> bool:
        self.left = min(self.rate, self.left + max(0.0, now - self.at) * self.rate / 1000.0)
        self.at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


class SwimNode:
    """`peers` are addresses to begin with; `log(event, **fields)` hears what an operator wants to know."""

    def __init__(
        self,
        me: MemberRecord,
        peers: list[Address],
        times: SwimTimings,
        most: int,
        chance: Random,
        now: float,
        log: Callable[..., None],
    ) -> None:
        self.timings, self.rng, self.log = times, chance, log
        self.member_table = MemberTable(me, most, self.changed)
        self.outbox: list[tuple[Address, Message]] = []
        self.dropped_message_count = 0  # messages for which `out` had no room
        self.local_health = LocalHealth()
        self.probe: Probe | None = None
        self.indirect_probes: dict[int, Errand] = {}
        self.line: list[str] = []  # who is probed next, in an order of this server's own
        self.numbers = chance.getrandbits(32)
        self.suspects: dict[str, None] = {}
        self.contradicted: list[float] = []
        self.answers = Bucket(REPLIES_PER_SECOND)
        self.message_handlers: dict[str, Callable[[MemberRecord, list[Any]], None]] = {}
        self.state_observers: list[Callable[[Member, MemberState | None], None]] = []
        self.contact_addresses: dict[Address, float] = dict.fromkeys(
            peers, 0.0
        )  # addresses to try, and when last tried
        self.version_at = now
        self.is_leaving = self.has_joined = False
        self.now_ms = now
        # Each starts its rounds at a time of its own: hundreds that started together must not beat in step.
        first = times.probe_interval_ms * chance.random()
        self.probe_at, self.tell_at = now + first, now + TELL * chance.random()
        self.sums_at, self.return_at = now + first, now + first
        self.tidy_at, self.suspects_at = now + 1000.0, now

    # For the driver and for other packages

    @property
    def local_record(self) -> MemberRecord:
        return self.member_table.local_record

    def next_deadline_ms(self) -> float:
        """When `tick` is due."""
        due = [self.probe_at, self.sums_at, self.return_at, self.tidy_at]
        if self.member_table.gossip_counts:
            due.append(self.tell_at)
        if self.probe is not None:
            due.append(self.probe.end if self.probe.asked else self.probe.ask_at)
        due += [e.nack_at for e in self.indirect_probes.values()]
        if self.suspects:
            due.append(self.suspects_at)
        return min(due)

    def take_outgoing(self) -> list[tuple[Address, Message]]:
        out, self.outbox = self.outbox, []
        return out

    def send_to_member(self, name: str, kind: str, body: list[Any]) -> bool:
        """A message of another package to one member; may be lost like any datagram."""
        record = self.member_table.record(name)
        if record is None or record.state in DEPARTED_STATES:
            return False
        self.send(record.address, MessageKind.PACKAGE, 0, [kind, *body])
        return True

    def publish_metadata(self, now: float, **facts: float) -> None:
        """This server's facts, which ride on all that it says."""
        if now >= self.version_at and facts != self.local_record.metadata:
            self.version_at = now + VERSIONS
            self.member_table.update_local_record(
                replace(
                    self.local_record, metadata_version=self.local_record.metadata_version + 1, metadata=facts
                )
            )

    def leave(self, now: float) -> None:
        """Tells that it goes by its own will; from then on it only answers."""
        if not self.is_leaving:
            self.now_ms, self.is_leaving = now, True
            gone = replace(self.local_record, state=MemberState.LEFT)
            for record in self.member_table.sample(self.rng, 2 * HELPERS):
                self.send(record.address, MessageKind.NEWS, 0, [], [gone])

    def add_contact_addresses(self, addresses: list[Address]) -> None:
        for address in addresses:
            if len(self.contact_addresses) < BOOK:
                self.contact_addresses.setdefault(address, 0.0)

    # Sending

    def send(
        self,
        to: Address,
        kind: MessageKind,
        number: int,
        body: list[Any],
        news: list[MemberRecord] | None = None,
    ) -> None:
        if len(self.outbox) >= MAX_OUTBOX_MESSAGES:
            self.dropped_message_count += 1
            return
        told = self.member_table.select_gossip() if news is None else news
        self.outbox.append((to, Message(kind, self.local_record, number, body, told)))

    # Hearing

    def on_message(self, message: Message, now: float) -> None:
        self.now_ms = now
        sender = message.sender
        if sender.name == self.local_record.name:
            if sender.run_id != self.local_record.run_id:
                self.contradict(sender)  # its earlier self, or somebody else with its name
            return
        self.learn(sender)
        fresh = sum([self.learn(record) for record in message.news])
        if fresh and message.kind is MessageKind.PART:
            self.sums_at = min(self.sums_at, now + BEHIND * self.rng.uniform(0.5, 1.5))
        known = self.member_table.record(sender.name)
        if known is None:
            return  # no room for it in the table
        # What is held against the sender it must hear first, or it could never contradict.
        against = known if known.precedence[:3] > sender.precedence[:3] else None
        if not self.has_joined:
            self.has_joined, self.sums_at = True, now  # one neighbour is enough to hear of all others
        match message.kind:
            case MessageKind.PING:
                if message.body[0] in ("", self.local_record.name):
                    self.send(
                        sender.address,
                        MessageKind.ACK,
                        message.number,
                        [],
                        self.member_table.select_gossip(against),
                    )
            case MessageKind.ACK:
                self.acked(message)
            case MessageKind.NACK:
                if self.probe is not None and self.probe.number == message.number:
                    self.probe.silent = max(0, self.probe.silent - 1)
            case MessageKind.ASK:
                if self.answers.take(now):
                    self.help(message)
            case MessageKind.SUMS:
                if self.answers.take(now):
                    self.compare(message)
            case MessageKind.PACKAGE:
                handler = self.message_handlers.get(message.body[0])
                if handler is not None and sender.run_id == known.run_id:
                    handler(sender, message.body[1:])
        if against is not None and message.kind is not MessageKind.PING and self.answers.take(now):
            self.send(sender.address, MessageKind.NEWS, 0, [], [against])

    def learn(self, record: MemberRecord) -> bool:
        if record.name == self.local_record.name:
            if record.run_id != self.local_record.run_id or record.state is not MemberState.ALIVE:
                self.contradict(record)
            return False
        return self.member_table.merge(record, self.now_ms)

    def contradict(self, said: MemberRecord) -> None:
        """What is said of this server is not so: a higher incarnation holds against it."""
        me = self.local_record
        if self.is_leaving or said.precedence <= me.precedence:
            return
        if said.run_id == me.run_id:
            self.local_health.worse()  # others did not hear it in time: it may be slow
        elif said.state is MemberState.ALIVE and said.address != me.address:
            self.contradicted = [t for t in self.contradicted if self.now_ms - t < 60_000.0][-TWICE:]
            self.contradicted.append(self.now_ms)
            if len(self.contradicted) == TWICE:
                self.log("fleet_name_twice", name=me.name, other=f"{said.host}:{said.port}")
        self.member_table.update_local_record(replace(me, incarnation=said.incarnation + 1))

    def changed(self, member: Member, was: MemberState | None) -> None:
        record = member.record
        if record.state is MemberState.SUSPECT:
            if not self.suspects:
                self.suspects_at = self.now_ms + SUSPECTS
            self.suspects[record.name] = None
        else:
            self.suspects.pop(record.name, None)
        if record.state is MemberState.ALIVE and (was is None or was in DEPARTED_STATES):
            # At a chance place: those that start together must not all be probed by all in one order.
            self.line.insert(self.rng.randint(0, len(self.line)), record.name)
        for watcher in self.state_observers:
            watcher(member, was)

    def acked(self, message: Message) -> None:
        errand = self.indirect_probes.pop(message.number, None)
        if errand is not None:
            self.send(errand.asker, MessageKind.ACK, errand.number, [])
        # A helper's word is as good: the number is that of the probe.
        if self.probe is not None and self.probe.number == message.number:
            self.probe = None
            self.local_health.better()

    def help(self, message: Message) -> None:
        host, port, target = message.body
        if len(self.indirect_probes) < MAX_INDIRECT_PROBES:
            self.numbers += 1
            wait = min(self.timings.ack_timeout_ms, self.timings.probe_interval_ms / 2.0)
            self.indirect_probes[self.numbers] = Errand(
                message.number, message.sender.address, self.now_ms + wait
            )
            self.send((host, port), MessageKind.PING, self.numbers, [target])

    def compare(self, message: Message) -> None:
        """Sends what differs; asks for the other side's, once."""
        *sums, back = message.body
        to = message.sender.address
        for page in self.member_table.differing_pages(sums, PAGES):
            self.send(to, MessageKind.PART, 0, [], page)
        if back and sums != self.member_table.bucket_checksums:
            self.send(to, MessageKind.SUMS, 0, [*self.member_table.bucket_checksums, 0], [])

    # Time

    def on_timer(self, now: float) -> None:
        """All that is due."""
        late, self.now_ms = now - self.next_deadline_ms(), now
        if late > LATE:
            self.stood_still(late)
        for number in [n for n, e in self.indirect_probes.items() if e.nack_at <= now]:
            errand = self.indirect_probes.pop(number)
            self.send(errand.asker, MessageKind.NACK, errand.number, [])
        if now >= self.suspects_at:  # a lost zone is many: gone through now and then, not at each datagram
            self.suspects_at = now + SUSPECTS
            for name in [n for n in self.suspects if self.ends(n) <= now]:
                self.bury(name)
        if self.probe is not None:
            self.go_on(self.probe)
        if now >= self.probe_at:
            self.probe_at = now + self.timings.probe_interval_ms * self.local_health.stretch
            if not self.is_leaving and self.probe is None:
                self.start_probe()
        if now >= self.tell_at:
            self.tell_at = now + TELL
            if self.member_table.gossip_counts:
                for record in self.member_table.sample(self.rng, GOSSIP):
                    self.send(record.address, MessageKind.NEWS, 0, [])
        if now >= self.sums_at:
            self.sums_at = now + self.timings.anti_entropy_interval_ms * self.rng.uniform(0.8, 1.2)
            for record in self.member_table.sample(self.rng, 1):
                self.send(record.address, MessageKind.SUMS, 0, [*self.member_table.bucket_checksums, 1], [])
        if now >= self.return_at:
            self.look_for_others()
        if now >= self.tidy_at:
            self.tidy_at = now + 1000.0
            self.member_table.forget_departed(now, self.timings.departed_retention_ms)

    def stood_still(self, late: float) -> None:
        """Whoever was silent meanwhile may have spoken to deaf ears: all that runs against others waits."""
        self.local_health.worse(1 + int(late / self.timings.probe_interval_ms))
        if self.probe is not None:
            self.probe.ask_at += late
            self.probe.end += late
        for errand in self.indirect_probes.values():
            errand.nack_at += late
        for name in self.suspects:
            self.member_table.members[name].since_ms += late

    def ends(self, name: str) -> float:
        """When the suspicion against it becomes its death."""
        member, count = self.member_table.members[name], len(self.member_table.present_names) + 1
        shared = max(0, len(member.suspecting_members) - 1)
        return member.since_ms + suspicion_timeout_ms(
            self.timings.min_suspicion_ms, count, shared, self.local_health.stretch
        )

    def bury(self, name: str) -> None:
        member = self.member_table.members[name]
        self.add_contact_addresses([member.record.address])
        self.log(
            "fleet_dead",
            name=name,
            silent_ms=round(self.now_ms - member.since_ms),
            doubt=self.local_health.doubt,
        )
        self.member_table.merge(
            replace(member.record, state=MemberState.DEAD, reported_by=self.local_record.name), self.now_ms
        )

    def start_probe(self) -> None:
        name = self.next_in_line()
        if name is None:
            return
        record = self.member_table.members[name].record
        self.numbers += 1
        stretch = self.local_health.stretch
        ask = self.now_ms + self.timings.ack_timeout_ms * stretch
        self.probe = Probe(
            self.numbers, name, ask, self.now_ms + self.timings.probe_interval_ms * stretch * 0.95
        )
        first = record if record.state is MemberState.SUSPECT else None  # it must hear this to contradict
        self.send(
            record.address, MessageKind.PING, self.numbers, [name], self.member_table.select_gossip(first)
        )

    def next_in_line(self) -> str | None:
        for _ in range(2):
            while self.line:
                name = self.line.pop()
                if name in self.member_table.present_index:
                    return name
            self.line = list(self.member_table.present_names)
            self.rng.shuffle(self.line)
        return None

    def go_on(self, probe: Probe) -> None:
        record = self.member_table.record(probe.target)
        if not probe.asked and self.now_ms >= probe.ask_at:
            probe.asked = True
            if record is not None:
                for helper in self.member_table.sample(self.rng, HELPERS, (probe.target,)):
                    probe.helpers += 1
                    probe.silent += 1
                    self.send(helper.address, MessageKind.ASK, probe.number, [*record.address, record.name])
        if self.now_ms >= probe.end:
            self.probe = None
            # Helpers that said nothing either: it may be this server that hears nobody. Where they did,
            # it is well, and a zone that is lost must not make it wait longer and longer.
            self.local_health.worse((probe.silent > 0) + (probe.silent == probe.helpers))
            if record is not None and record.state not in DEPARTED_STATES:
                self.member_table.merge(
                    replace(record, state=MemberState.SUSPECT, reported_by=self.local_record.name),
                    self.now_ms,
                )

    def look_for_others(self) -> None:
        """Tries one address that may lead to others: more often while it knows nobody."""
        alone = not self.member_table.present_names
        wait = self.timings.probe_interval_ms if alone else RETURN
        self.return_at = self.now_ms + wait * self.rng.uniform(0.7, 1.3)
        here = {r.address for r in self.member_table.present_records()}
        away = [a for a in self.contact_addresses if a not in here and a != self.local_record.address]
        if away and not self.is_leaving:
            # Oldest try first: a wrong entry costs one datagram each time round, not a storm.
            address = min(away, key=lambda a: (self.contact_addresses[a], self.rng.random()))
            self.contact_addresses[address] = self.now_ms
            self.numbers += 1
            self.send(address, MessageKind.PING, self.numbers, [""])
