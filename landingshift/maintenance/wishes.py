"""One machine's way through its work: stages in one table, permissions with a number and an end. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Stage(Enum):
    WISHED = "wished"
    PERMITTED = "permitted"  # it may leave, if it does so before its permission ends
    DRAINING = "draining"
    OUT = "out"
    RETURNING = "returning"  # its process is back, gateways do not know it yet
    WARMING = "warming"
    DONE = "done"
    CANCELLED = "cancelled"
    REFUSED = "refused"


# Each move that is legal, and who brings it about. Whatever is not here is an error, not a new way.
MOVES: dict[tuple[Stage, Stage], str] = {
    (Stage.WISHED, Stage.PERMITTED): "leader",
    (Stage.WISHED, Stage.CANCELLED): "operator",
    (Stage.WISHED, Stage.REFUSED): "leader",
    (Stage.PERMITTED, Stage.DRAINING): "machine",
    (Stage.PERMITTED, Stage.WISHED): "leader",  # taken back, or it ran out unused
    (Stage.PERMITTED, Stage.CANCELLED): "operator",
    (Stage.DRAINING, Stage.OUT): "machine",
    (Stage.DRAINING, Stage.RETURNING): "machine",  # killed in its drain and started again
    (Stage.OUT, Stage.RETURNING): "machine",
    (Stage.RETURNING, Stage.WARMING): "machine",
    (Stage.RETURNING, Stage.OUT): "machine",  # it crashed on its way back
    (Stage.WARMING, Stage.DONE): "machine",
    (Stage.WARMING, Stage.OUT): "machine",
}
ENDED = (Stage.DONE, Stage.CANCELLED, Stage.REFUSED)
AWAY = (Stage.DRAINING, Stage.OUT, Stage.RETURNING)  # it serves nothing, or soon will
COUNTED = (Stage.PERMITTED, *AWAY)  # counts as out whole: it may go at any moment


class BadMove(ValueError):
    """The text names machine, stage and what was asked."""


@dataclass(slots=True)
class Wish:
    """Times in ms of the voters' leader; `minutes` is what the work is thought to take."""

    name: str
    minutes: float
    since: float
    urgency: float = 1.0  # 2 goes before 1 that has waited as long again
    not_before: float = 0.0
    not_after: float = float("inf")
    alone: bool = False  # nobody else may be out meanwhile
    group: str = ""  # those of one group go together or not at all
    stage: Stage = Stage.WISHED
    number: int = 0  # of its permission
    until: float = 0.0  # its permission's end, if unused
    warmth: float = 0.0
    why: str = ""

    def move(self, to: Stage, number: int = 0) -> None:
        """Raises BadMove. A move by the machine names the permission that it goes by."""
        by = MOVES.get((self.stage, to))
        if by is None:
            raise BadMove(f"{self.name}: {self.stage.value}, so that it can't be {to.value}")
        if by == "machine" and number != self.number:
            raise BadMove(f"{self.name}: permission {number} is not the one in force, {self.number}")
        self.stage = to

    def out(self) -> float:
        """The share of it that does not serve."""
        if self.stage in COUNTED:
            return 1.0
        return 1.0 - self.warmth if self.stage is Stage.WARMING else 0.0


@dataclass(slots=True)
class Leave:
    """A machine's own side of a permission: by its monotonic clock, whatever else it hears or misses."""

    number: int = 0
    until: float = 0.0
    spent: bool = False

    def granted(self, number: int, asked_at: float, lasts: float) -> bool:
        """`lasts` ms counted from when it asked; False for one older than what it had, or that was used."""
        if number < self.number or (number == self.number and self.spent):
            return False
        # The same one again, asked for later: it stood still past the first offer, and may go on this one.
        until = asked_at + lasts
        self.until = max(self.until, until) if number == self.number else until
        self.number, self.spent = number, False
        return True

    def may_go(self, now: float) -> bool:
        """Looked at once, just before the drain begins."""
        return self.number > 0 and now < self.until

    def used(self) -> None:
        self.until, self.spent = 0.0, True
