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

from landingshift.membership.health import OwnHealth, suspicion
from landingshift.membership.members import Member, Members
from landingshift.membership.messages import GONE, Address, Kind, Message, Record, State

HELPERS = 3  # asked to probe the silent one
LATE = 100.0  # ms by which a look may be late before this server knows that it stood still
TWICE = 3  # contradictions of another run of this name within a minute: two servers have one name
PAGES = 24  # datagrams that one answer of the anti-entropy may take
GOSSIP = 2  # peers that news are told to beside probes, each TELL ms, while there are any
TELL = 100.0
OUT = 4096  # messages that may wait for the driver
RETURN = 2000.0  # ms between two tries to reach one that counts as dead: halves of a fleet must meet again
BEHIND = 200.0  # ms to the next comparison after one that brought something new
ANSWERS = 200.0  # sums and asks that are answered a second
VERSIONS = 500.0  # ms between two versions of this server's own facts, at least
ERRANDS = 64
SUSPECTS = 50.0  # ms between two looks at who is suspected for too long
BOOK = 1024  # addresses that are kept to be tried


@dataclass(slots=True, frozen=True)
class Times:
    """ms."""

    period: float = 400.0  # between two probes
    probe: float = 150.0  # until the helpers are asked
    suspect: float = 1200.0  # shortest suspicion in a fleet of ten
    forget: float = 600_000.0  # that the dead stay in the table
    sums: float = 4000.0  # between two comparisons of the whole table


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


class Node:
    """`peers` are addresses to begin with; `log(event, **fields)` hears what an operator wants to know."""

    def __init__(
        self,
        me: Record,
        peers: list[Address],
        times: Times,
        most: int,
        chance: Random,
        now: float,
        log: Callable[..., None],
    ) -> None:
        self.times, self.chance, self.log = times, chance, log
        self.members = Members(me, most, self.changed)
        self.out: list[tuple[Address, Message]] = []
        self.lost = 0  # messages for which `out` had no room
        self.health = OwnHealth()
        self.probe: Probe | None = None
        self.errands: dict[int, Errand] = {}
        self.line: list[str] = []  # who is probed next, in an order of this server's own
        self.numbers = chance.getrandbits(32)
        self.suspects: dict[str, None] = {}
        self.contradicted: list[float] = []
        self.answers = Bucket(ANSWERS)
        self.handlers: dict[str, Callable[[Record, list[Any]], None]] = {}
        self.watchers: list[Callable[[Member, State | None], None]] = []
        self.book: dict[Address, float] = dict.fromkeys(peers, 0.0)  # addresses to try, and when last tried
        self.version_at = now
        self.leaving = self.joined = False
        self.now = now
        # Each starts its rounds at a time of its own: hundreds that started together must not beat in step.
        first = times.period * chance.random()
        self.probe_at, self.tell_at = now + first, now + TELL * chance.random()
        self.sums_at, self.return_at = now + first, now + first
        self.tidy_at, self.suspects_at = now + 1000.0, now

    # For the driver and for other packages

    @property
    def me(self) -> Record:
        return self.members.me

    def next(self) -> float:
        """When `tick` is due."""
        due = [self.probe_at, self.sums_at, self.return_at, self.tidy_at]
        if self.members.spread:
            due.append(self.tell_at)
        if self.probe is not None:
            due.append(self.probe.end if self.probe.asked else self.probe.ask_at)
        due += [e.nack_at for e in self.errands.values()]
        if self.suspects:
            due.append(self.suspects_at)
        return min(due)

    def take_out(self) -> list[tuple[Address, Message]]:
        out, self.out = self.out, []
        return out

    def say(self, name: str, kind: str, body: list[Any]) -> bool:
        """A message of another package to one member; may be lost like any datagram."""
        record = self.members.get(name)
        if record is None or record.state in GONE:
            return False
        self.send(record.address, Kind.PACKAGE, 0, [kind, *body])
        return True

    def state_facts(self, now: float, **facts: float) -> None:
        """This server's facts, which ride on all that it says."""
        if now >= self.version_at and facts != self.me.facts:
            self.version_at = now + VERSIONS
            self.members.own(replace(self.me, version=self.me.version + 1, facts=facts))

    def leave(self, now: float) -> None:
        """Tells that it goes by its own will; from then on it only answers."""
        if not self.leaving:
            self.now, self.leaving = now, True
            gone = replace(self.me, state=State.LEFT)
            for record in self.members.pick(self.chance, 2 * HELPERS):
                self.send(record.address, Kind.NEWS, 0, [], [gone])

    def add_peers(self, addresses: list[Address]) -> None:
        for address in addresses:
            if len(self.book) < BOOK:
                self.book.setdefault(address, 0.0)

    # Sending

    def send(
        self, to: Address, kind: Kind, number: int, body: list[Any], news: list[Record] | None = None
    ) -> None:
        if len(self.out) >= OUT:
            self.lost += 1
            return
        told = self.members.news() if news is None else news
        self.out.append((to, Message(kind, self.me, number, body, told)))

    # Hearing

    def hear(self, message: Message, now: float) -> None:
        self.now = now
        sender = message.sender
        if sender.name == self.me.name:
            if sender.run != self.me.run:
                self.contradict(sender)  # its earlier self, or somebody else with its name
            return
        self.learn(sender)
        fresh = sum([self.learn(record) for record in message.news])
        if fresh and message.kind is Kind.PART:
            self.sums_at = min(self.sums_at, now + BEHIND * self.chance.uniform(0.5, 1.5))
        known = self.members.get(sender.name)
        if known is None:
            return  # no room for it in the table
        # What is held against the sender it must hear first, or it could never contradict.
        against = known if known.rank[:3] > sender.rank[:3] else None
        if not self.joined:
            self.joined, self.sums_at = True, now  # one neighbour is enough to hear of all others
        match message.kind:
            case Kind.PING:
                if message.body[0] in ("", self.me.name):
                    self.send(sender.address, Kind.ACK, message.number, [], self.members.news(against))
            case Kind.ACK:
                self.acked(message)
            case Kind.NACK:
                if self.probe is not None and self.probe.number == message.number:
                    self.probe.silent = max(0, self.probe.silent - 1)
            case Kind.ASK:
                if self.answers.take(now):
                    self.help(message)
            case Kind.SUMS:
                if self.answers.take(now):
                    self.compare(message)
            case Kind.PACKAGE:
                handler = self.handlers.get(message.body[0])
                if handler is not None and sender.run == known.run:
                    handler(sender, message.body[1:])
        if against is not None and message.kind is not Kind.PING and self.answers.take(now):
            self.send(sender.address, Kind.NEWS, 0, [], [against])

    def learn(self, record: Record) -> bool:
        if record.name == self.me.name:
            if record.run != self.me.run or record.state is not State.ALIVE:
                self.contradict(record)
            return False
        return self.members.learn(record, self.now)

    def contradict(self, said: Record) -> None:
        """What is said of this server is not so: a higher incarnation holds against it."""
        me = self.me
        if self.leaving or said.rank <= me.rank:
            return
        if said.run == me.run:
            self.health.worse()  # others did not hear it in time: it may be slow
        elif said.state is State.ALIVE and said.address != me.address:
            self.contradicted = [t for t in self.contradicted if self.now - t < 60_000.0][-TWICE:]
            self.contradicted.append(self.now)
            if len(self.contradicted) == TWICE:
                self.log("fleet_name_twice", name=me.name, other=f"{said.host}:{said.port}")
        self.members.own(replace(me, incarnation=said.incarnation + 1))

    def changed(self, member: Member, was: State | None) -> None:
        record = member.record
        if record.state is State.SUSPECT:
            if not self.suspects:
                self.suspects_at = self.now + SUSPECTS
            self.suspects[record.name] = None
        else:
            self.suspects.pop(record.name, None)
        if record.state is State.ALIVE and (was is None or was in GONE):
            # At a chance place: those that start together must not all be probed by all in one order.
            self.line.insert(self.chance.randint(0, len(self.line)), record.name)
        for watcher in self.watchers:
            watcher(member, was)

    def acked(self, message: Message) -> None:
        errand = self.errands.pop(message.number, None)
        if errand is not None:
            self.send(errand.asker, Kind.ACK, errand.number, [])
        # A helper's word is as good: the number is that of the probe.
        if self.probe is not None and self.probe.number == message.number:
            self.probe = None
            self.health.better()

    def help(self, message: Message) -> None:
        host, port, target = message.body
        if len(self.errands) < ERRANDS:
            self.numbers += 1
            wait = min(self.times.probe, self.times.period / 2.0)
            self.errands[self.numbers] = Errand(message.number, message.sender.address, self.now + wait)
            self.send((host, port), Kind.PING, self.numbers, [target])

    def compare(self, message: Message) -> None:
        """Sends what differs; asks for the other side's, once."""
        *sums, back = message.body
        to = message.sender.address
        for page in self.members.differing(sums, PAGES):
            self.send(to, Kind.PART, 0, [], page)
        if back and sums != self.members.sums:
            self.send(to, Kind.SUMS, 0, [*self.members.sums, 0], [])

    # Time

    def tick(self, now: float) -> None:
        """All that is due."""
        late, self.now = now - self.next(), now
        if late > LATE:
            self.stood_still(late)
        for number in [n for n, e in self.errands.items() if e.nack_at <= now]:
            errand = self.errands.pop(number)
            self.send(errand.asker, Kind.NACK, errand.number, [])
        if now >= self.suspects_at:  # a lost zone is many: gone through now and then, not at each datagram
            self.suspects_at = now + SUSPECTS
            for name in [n for n in self.suspects if self.ends(n) <= now]:
                self.bury(name)
        if self.probe is not None:
            self.go_on(self.probe)
        if now >= self.probe_at:
            self.probe_at = now + self.times.period * self.health.stretch
            if not self.leaving and self.probe is None:
                self.start_probe()
        if now >= self.tell_at:
            self.tell_at = now + TELL
            if self.members.spread:
                for record in self.members.pick(self.chance, GOSSIP):
                    self.send(record.address, Kind.NEWS, 0, [])
        if now >= self.sums_at:
            self.sums_at = now + self.times.sums * self.chance.uniform(0.8, 1.2)
            for record in self.members.pick(self.chance, 1):
                self.send(record.address, Kind.SUMS, 0, [*self.members.sums, 1], [])
        if now >= self.return_at:
            self.look_for_others()
        if now >= self.tidy_at:
            self.tidy_at = now + 1000.0
            self.members.forget_gone(now, self.times.forget)

    def stood_still(self, late: float) -> None:
        """Whoever was silent meanwhile may have spoken to deaf ears: all that runs against others waits."""
        self.health.worse(1 + int(late / self.times.period))
        if self.probe is not None:
            self.probe.ask_at += late
            self.probe.end += late
        for errand in self.errands.values():
            errand.nack_at += late
        for name in self.suspects:
            self.members.table[name].since += late

    def ends(self, name: str) -> float:
        """When the suspicion against it becomes its death."""
        member, count = self.members.table[name], len(self.members.present) + 1
        shared = max(0, len(member.doubters) - 1)
        return member.since + suspicion(self.times.suspect, count, shared, self.health.stretch)

    def bury(self, name: str) -> None:
        member = self.members.table[name]
        self.add_peers([member.record.address])
        self.log("fleet_dead", name=name, silent_ms=round(self.now - member.since), doubt=self.health.doubt)
        self.members.learn(replace(member.record, state=State.DEAD, by=self.me.name), self.now)

    def start_probe(self) -> None:
        name = self.next_in_line()
        if name is None:
            return
        record = self.members.table[name].record
        self.numbers += 1
        stretch = self.health.stretch
        ask = self.now + self.times.probe * stretch
        self.probe = Probe(self.numbers, name, ask, self.now + self.times.period * stretch * 0.95)
        first = record if record.state is State.SUSPECT else None  # it must hear this to contradict
        self.send(record.address, Kind.PING, self.numbers, [name], self.members.news(first))

    def next_in_line(self) -> str | None:
        for _ in range(2):
            while self.line:
                name = self.line.pop()
                if name in self.members.place:
                    return name
            self.line = list(self.members.present)
            self.chance.shuffle(self.line)
        return None

    def go_on(self, probe: Probe) -> None:
        record = self.members.get(probe.target)
        if not probe.asked and self.now >= probe.ask_at:
            probe.asked = True
            if record is not None:
                for helper in self.members.pick(self.chance, HELPERS, (probe.target,)):
                    probe.helpers += 1
                    probe.silent += 1
                    self.send(helper.address, Kind.ASK, probe.number, [*record.address, record.name])
        if self.now >= probe.end:
            self.probe = None
            # Helpers that said nothing either: it may be this server that hears nobody. Where they did,
            # it is well, and a zone that is lost must not make it wait longer and longer.
            self.health.worse((probe.silent > 0) + (probe.silent == probe.helpers))
            if record is not None and record.state not in GONE:
                self.members.learn(replace(record, state=State.SUSPECT, by=self.me.name), self.now)

    def look_for_others(self) -> None:
        """Tries one address that may lead to others: more often while it knows nobody."""
        alone = not self.members.present
        wait = self.times.period if alone else RETURN
        self.return_at = self.now + wait * self.chance.uniform(0.7, 1.3)
        here = {r.address for r in self.members.alive()}
        away = [a for a in self.book if a not in here and a != self.me.address]
        if away and not self.leaving:
            # Oldest try first: a wrong entry costs one datagram each time round, not a storm.
            address = min(away, key=lambda a: (self.book[a], self.chance.random()))
            self.book[address] = self.now
            self.numbers += 1
            self.send(address, Kind.PING, self.numbers, [""])
