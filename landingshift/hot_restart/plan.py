"""The steps of a handover and who answers for what in each. Pure: events come in, orders come out.

The old process runs this table; the new one only does what it is told and says how it went. In charge is who
may read and answer: the old one up to `frozen`, nobody while frozen (nothing is read, so nothing can be
lost), the new one from `probation` on. Back is always open until `settled`: the old process keeps its
descriptors and what the journal tells.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Stage(Enum):
    NONE = "none"
    OFFERED = "offered"  # the new process is started and may load, check its settings, open what it needs
    REHEARSED = "rehearsed"  # it has read a copy of the state and made from it what it would go on with
    FROZEN = "frozen"  # the old one reads, answers and decides nothing any more
    MOVED = "moved"  # descriptors and state are with the new one, which has not acted yet
    PROBATION = "probation"  # the new one serves, the old one watches the journal
    SETTLED = "settled"  # the old one may go
    TAKEN_BACK = "taken_back"  # the old one serves again as if nothing had happened


class Event(Enum):
    ASKED = "asked"  # an operator's, with room in memory for two
    READY = "ready"  # the new one has loaded
    REHEARSAL = "rehearsal"  # its copy of the state came out the same
    MOVE = "move"  # the old one has frozen and sent everything
    TOOK = "took"  # the new one has all and is ready to act
    BEAT = "beat"  # it has served a pass; in probation only
    PROVED = "proved"  # probation is over: long enough, enough answered
    FAILED = "failed"  # it refused, crashed, hung, or was too slow for its stage
    BACK = "back"  # an operator's
    LEAVE = "leave"  # the notice to leave
    ASKED_AGAIN = "asked_again"  # a second upgrade


class Order(Enum):
    START = "start"  # the new process
    REHEARSE = "rehearse"  # send it a copy of the state
    FREEZE = "freeze"  # stop reading and deciding, then send all
    GO = "go"  # the new one may act
    WATCH = "watch"
    GOODBYE = "goodbye"  # close own descriptors without a word to the peers, tell the supervisor, end
    END_NEW = "end_new"  # kill the new process and wait until it is gone
    THAW = "thaw"  # serve on with the state as it was frozen
    REPLAY = "replay"  # serve on with the state as it was frozen and what the journal says since
    DRAIN = "drain"  # the old one leaves as always
    PASS_ON = "pass_on"  # the new one is told to leave, with the time that is left
    REFUSE = "refuse"  # the one who asked is told why


S, E, Do = Stage, Event, Order
TABLE: dict[tuple[Stage, Event], tuple[Stage, tuple[Order, ...]]] = {
    (S.NONE, E.ASKED): (S.OFFERED, (Do.START,)),
    (S.NONE, E.LEAVE): (S.NONE, (Do.DRAIN,)),
    (S.NONE, E.BACK): (S.NONE, (Do.REFUSE,)),
    (S.OFFERED, E.READY): (S.REHEARSED, (Do.REHEARSE,)),
    (S.REHEARSED, E.REHEARSAL): (S.FROZEN, (Do.FREEZE,)),
    (S.FROZEN, E.MOVE): (S.MOVED, ()),
    (S.MOVED, E.TOOK): (S.PROBATION, (Do.GO, Do.WATCH)),
    (S.PROBATION, E.BEAT): (S.PROBATION, ()),
    (S.PROBATION, E.PROVED): (S.SETTLED, (Do.GOODBYE,)),
    # Before it may act, what failed has touched nothing: the old one goes on from where it is.
    (S.OFFERED, E.FAILED): (S.TAKEN_BACK, (Do.END_NEW,)),
    (S.REHEARSED, E.FAILED): (S.TAKEN_BACK, (Do.END_NEW,)),
    (S.FROZEN, E.FAILED): (S.TAKEN_BACK, (Do.END_NEW, Do.THAW)),
    (S.MOVED, E.FAILED): (S.TAKEN_BACK, (Do.END_NEW, Do.THAW)),
    # After that the new one must be gone before a byte is read: two readers of a socket share out its bytes.
    (S.PROBATION, E.FAILED): (S.TAKEN_BACK, (Do.END_NEW, Do.REPLAY)),
    (S.OFFERED, E.BACK): (S.TAKEN_BACK, (Do.END_NEW,)),
    (S.REHEARSED, E.BACK): (S.TAKEN_BACK, (Do.END_NEW,)),
    (S.FROZEN, E.BACK): (S.TAKEN_BACK, (Do.END_NEW, Do.THAW)),
    (S.MOVED, E.BACK): (S.TAKEN_BACK, (Do.END_NEW, Do.THAW)),
    (S.PROBATION, E.BACK): (S.TAKEN_BACK, (Do.END_NEW, Do.REPLAY)),
    # The notice to leave wins: whoever is in charge drains, and no upgrade goes on beside it.
    (S.OFFERED, E.LEAVE): (S.TAKEN_BACK, (Do.END_NEW, Do.DRAIN)),
    (S.REHEARSED, E.LEAVE): (S.TAKEN_BACK, (Do.END_NEW, Do.DRAIN)),
    (S.FROZEN, E.LEAVE): (S.TAKEN_BACK, (Do.END_NEW, Do.THAW, Do.DRAIN)),
    (S.MOVED, E.LEAVE): (S.TAKEN_BACK, (Do.END_NEW, Do.THAW, Do.DRAIN)),
    (S.PROBATION, E.LEAVE): (S.PROBATION, (Do.PASS_ON,)),
    **{(stage, E.ASKED_AGAIN): (stage, (Do.REFUSE,)) for stage in (S.OFFERED, S.REHEARSED, S.FROZEN, S.MOVED,
                                                                 S.PROBATION)},
    (S.TAKEN_BACK, E.ASKED): (S.OFFERED, (Do.START,)),
    (S.TAKEN_BACK, E.LEAVE): (S.TAKEN_BACK, (Do.DRAIN,)),
    (S.TAKEN_BACK, E.BACK): (S.TAKEN_BACK, (Do.REFUSE,)),
}  # fmt: skip
OLD_IN_CHARGE = {S.NONE, S.OFFERED, S.REHEARSED, S.TAKEN_BACK}
NEW_IN_CHARGE = {S.PROBATION, S.SETTLED}


@dataclass(slots=True, frozen=True)
class Limits:
    """How long each stage may last, ms; past it the new process counts as failed."""

    start: float = 15_000.0
    rehearse: float = 5_000.0
    freeze: float = 20.0  # to send all: nothing is read meanwhile
    move: float = 20.0  # to take it
    beat: float = 500.0  # between two signs of life on probation
    probation: float = 5_000.0
    answers: int = 100  # RPCs answered, or as many as were there, before probation can end


class Plan:
    """One handover after the other; `now` in ms is the old process's clock."""

    def __init__(self, limits: Limits, now: float) -> None:
        self.limits, self.stage = limits, Stage.NONE
        self.since = self.beat = now
        self.leaving = False
        self.answers = 0
        self.why = ""  # the last one was taken back

    def take(self, event: Event, now: float, why: str = "") -> tuple[Order, ...]:
        """What is to be done, in this order. An event that means nothing here changes nothing."""
        if event is Event.LEAVE:
            if self.leaving:
                return ()
            self.leaving = True
        if event is Event.ASKED and self.leaving:
            self.why = "it is leaving"
            return (Order.REFUSE,)
        if event is Event.ASKED and (self.stage, event) not in TABLE:
            event, why = Event.ASKED_AGAIN, "an upgrade is under way"
        step = TABLE.get((self.stage, event))
        if step is None:
            return ()
        after, orders = step
        if after is Stage.TAKEN_BACK or Order.REFUSE in orders:
            self.why = why or event.value
        if after is not self.stage:
            self.stage, self.since, self.answers = after, now, 0
        self.beat = now
        if event is Event.FAILED and self.leaving:
            orders = (*orders, Order.DRAIN)  # the notice came while the new one was in charge
        return orders

    def heard(self, answers: int, now: float) -> tuple[Order, ...]:
        """A sign of life on probation, with how many RPCs were answered in all since it began."""
        if self.stage is not Stage.PROBATION:
            return ()
        self.answers = answers
        self.take(Event.BEAT, now)
        return self.look(now)

    def look(self, now: float) -> tuple[Order, ...]:
        """What the time that has passed means."""
        left = self.until(now)
        if left > 0.0:
            return ()
        if self.stage is Stage.PROBATION and now - self.beat < self.limits.beat:
            if self.answers >= self.limits.answers or now - self.since >= 4.0 * self.limits.probation:
                return self.take(Event.PROVED, now)
            return ()
        return self.take(Event.FAILED, now, f"{self.stage.value} for {now - self.since:.0f} ms")

    def until(self, now: float) -> float:
        """ms to the next look that can change something."""
        lim = self.limits
        match self.stage:
            case Stage.OFFERED:
                return self.since + lim.start - now
            case Stage.REHEARSED:
                return self.since + lim.rehearse - now
            case Stage.FROZEN:
                return self.since + lim.freeze - now
            case Stage.MOVED:
                return self.since + lim.move - now
            case Stage.PROBATION:
                return min(self.beat + lim.beat, self.since + lim.probation) - now
        return float("inf")
