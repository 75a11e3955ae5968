"""One server's own way from start to warm. Pure: facts come in, the stage comes out."""

from __future__ import annotations

from enum import Enum
from random import Random

from landingshift.coldstart.backoff import random_start_delay_ms


class StartStage(Enum):
    SEEKING = "seeking"  # knows nobody who lends places
    WAITING = "waiting"  # asks for a place
    ALONE = "alone"  # nobody lends: waits for a chance time of its own
    STARTING = "starting"  # takes RPCs and is not warm yet
    WARM = "warm"


OPEN = (StartStage.STARTING, StartStage.WARM)  # stages in which gateways may hear of it


class StartSequence:
    """`patience`: ms without a lender's answer after which it goes by itself; `alone` starts a second, in the
    whole fleet, of those who do; `servers` how many that may be."""

    def __init__(self, patience: float, servers: int, alone: float, chance: Random, now: float) -> None:
        self.patience, self.servers, self.alone, self.chance = patience, servers, alone, chance
        self.stage = StartStage.SEEKING
        self.last_grantor_response_ms = now  # when a lender last answered
        self.ungranted_start_ms = 0.0  # when it goes alone
        self.started_without_grantor = False

    def advance(self, now: float, lenders: int, place: bool, warmth: float) -> bool:
        """True where the stage changed. `lenders`: how many are known to be there; `warmth` from 0 to 1."""
        was, silent = self.stage, now - self.last_grantor_response_ms >= self.patience
        match self.stage:
            case StartStage.SEEKING | StartStage.WAITING | StartStage.ALONE if place:
                self.stage = StartStage.STARTING
            case StartStage.SEEKING | StartStage.WAITING if silent:
                # All wait about as long, so the turns are spread over the whole fleet's number.
                self.stage, self.ungranted_start_ms = (
                    StartStage.ALONE,
                    now + random_start_delay_ms(self.chance, self.servers, self.alone),
                )
            case StartStage.SEEKING if lenders:
                self.stage = StartStage.WAITING
            case StartStage.ALONE if lenders and not silent:
                self.stage = StartStage.WAITING
            case StartStage.ALONE if now >= self.ungranted_start_ms:
                self.stage, self.started_without_grantor = StartStage.STARTING, True
            case StartStage.STARTING if warmth >= 1.0:
                self.stage = StartStage.WARM
        return self.stage is not was

    @property
    def is_open(self) -> bool:
        return self.stage in OPEN

    @property
    def wants_permit(self) -> bool:
        return self.stage is not StartStage.WARM
