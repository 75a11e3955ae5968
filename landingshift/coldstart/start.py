"""One server's own way from start to warm. Pure: facts come in, the stage comes out."""

from __future__ import annotations

from enum import Enum
from random import Random

from landingshift.coldstart.pauses import spread


class Stage(Enum):
    SEEKING = "seeking"  # knows nobody who lends places
    WAITING = "waiting"  # asks for a place
    ALONE = "alone"  # nobody lends: waits for a chance time of its own
    STARTING = "starting"  # takes RPCs and is not warm yet
    WARM = "warm"


OPEN = (Stage.STARTING, Stage.WARM)  # stages in which gateways may hear of it


class Start:
    """`patience`: ms without a lender's answer after which it goes by itself; `alone` starts a second, in the
    whole fleet, of those who do; `servers` how many that may be."""

    def __init__(self, patience: float, servers: int, alone: float, chance: Random, now: float) -> None:
        self.patience, self.servers, self.alone, self.chance = patience, servers, alone, chance
        self.stage = Stage.SEEKING
        self.heard = now  # when a lender last answered
        self.turn = 0.0  # when it goes alone
        self.by_itself = False

    def step(self, now: float, lenders: int, place: bool, warmth: float) -> bool:
        """True where the stage changed. `lenders`: how many are known to be there; `warmth` from 0 to 1."""
        was, silent = self.stage, now - self.heard >= self.patience
        match self.stage:
            case Stage.SEEKING | Stage.WAITING | Stage.ALONE if place:
                self.stage = Stage.STARTING
            case Stage.SEEKING | Stage.WAITING if silent:
                # All wait about as long, so the turns are spread over the whole fleet's number.
                self.stage, self.turn = Stage.ALONE, now + spread(self.chance, self.servers, self.alone)
            case Stage.SEEKING if lenders:
                self.stage = Stage.WAITING
            case Stage.ALONE if lenders and not silent:
                self.stage = Stage.WAITING
            case Stage.ALONE if now >= self.turn:
                self.stage, self.by_itself = Stage.STARTING, True
            case Stage.STARTING if warmth >= 1.0:
                self.stage = Stage.WARM
        return self.stage is not was

    @property
    def open(self) -> bool:
        return self.stage in OPEN

    @property
    def wants_place(self) -> bool:
        return self.stage is not Stage.WARM
