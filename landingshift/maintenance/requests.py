"""One machine's way through its work: stages in one table, permissions with a number and an end. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RequestState(Enum):
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
TRANSITIONS: dict[tuple[RequestState, RequestState], str] = {
    (RequestState.WISHED, RequestState.PERMITTED): "leader",
    (RequestState.WISHED, RequestState.CANCELLED): "operator",
    (RequestState.WISHED, RequestState.REFUSED): "leader",
    (RequestState.PERMITTED, RequestState.DRAINING): "machine",
    (RequestState.PERMITTED, RequestState.WISHED): "leader",  # taken back, or it ran out unused
    (RequestState.PERMITTED, RequestState.CANCELLED): "operator",
    (RequestState.DRAINING, RequestState.OUT): "machine",
    (RequestState.DRAINING, RequestState.RETURNING): "machine",  # killed in its drain and started again
    (RequestState.OUT, RequestState.RETURNING): "machine",
    (RequestState.RETURNING, RequestState.WARMING): "machine",
    (RequestState.RETURNING, RequestState.OUT): "machine",  # it crashed on its way back
    (RequestState.WARMING, RequestState.DONE): "machine",
    (RequestState.WARMING, RequestState.OUT): "machine",
}
ENDED = (RequestState.DONE, RequestState.CANCELLED, RequestState.REFUSED)
AWAY = (RequestState.DRAINING, RequestState.OUT, RequestState.RETURNING)  # it serves nothing, or soon will
COUNTED = (RequestState.PERMITTED, *AWAY)  # counts as out whole: it may go at any moment


class InvalidTransitionError(ValueError):
    """The text names machine, stage and what was asked."""


@dataclass(slots=True)
class MaintenanceRequest:
    """Times in ms of the voters' leader; `minutes` is what the work is thought to take."""

    name: str
    minutes: float
    since: float
    urgency: float = 1.0  # 2 goes before 1 that has waited as long again
    not_before: float = 0.0
    not_after: float = float("inf")
    alone: bool = False  # nobody else may be out meanwhile
    group: str = ""  # those of one group go together or not at all
    stage: RequestState = RequestState.WISHED
    number: int = 0  # of its permission
    until: float = 0.0  # its permission's end, if unused
    warmth: float = 0.0
    why: str = ""

    def move(self, to: RequestState, number: int = 0) -> None:
        """Raises InvalidTransitionError. A move by the machine names the permission that it goes by."""
        by = TRANSITIONS.get((self.stage, to))
        if by is None:
            raise InvalidTransitionError(f"{self.name}: {self.stage.value}, so that it can't be {to.value}")
        if by == "machine" and number != self.number:
            raise InvalidTransitionError(
                f"{self.name}: permission {number} is not the one in force, {self.number}"
            )
        self.stage = to

    def out(self) -> float:
        """The share of it that does not serve."""
        if self.stage in COUNTED:
            return 1.0
        return 1.0 - self.warmth if self.stage is RequestState.WARMING else 0.0


@dataclass(slots=True)
class LeavePermit:
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
