"""One server's way from its start until it is warm. Pure: what is known comes in, the stage comes out.

Guarantee: with grantors that answer no server warms up without a permit.
Failure mode: without an answer for a time-out a server starts by itself, at a random time over the whole
cluster's size.
"""

from __future__ import annotations

from enum import Enum
from random import Random

from landingshift.coldstart.start_spreading import random_start_delay_ms


class StartStage(Enum):
    """Stages in their order; the values are logged and answered to operators, positions are published."""

    SEEKING_GRANTOR = "seeking"  # knows no grantor
    WAITING_FOR_PERMIT = "waiting"
    WAITING_WITHOUT_GRANTOR = "alone"  # no grantor answers: waits for a random time of its own
    WARMING_UP = "starting"  # takes RPCs
    WARM = "warm"


OPEN_STAGES = (StartStage.WARMING_UP, StartStage.WARM)  # in which balancers may send RPCs


class StartSequence:
    """The stages of one server.

    Attributes:
        stage: The present one.
        last_grantor_response_ms: When a grantor answered last, or the start.
        started_without_grantor: Whether it began to warm up without a permit.
    """

    def __init__(
        self,
        grantor_timeout_ms: float,
        max_servers: int,
        ungranted_starts_per_second: float,
        rng: Random,
        now_ms: float,
    ) -> None:
        """Begins as a server that knows no grantor.

        Args:
            grantor_timeout_ms: Without an answer for that long it starts by itself.
            max_servers: How many may do so at once.
            ungranted_starts_per_second: Rate of such starts in the whole cluster.
            rng: Source of chance.
            now_ms: Time.
        """
        self._grantor_timeout_ms = grantor_timeout_ms
        self._max_servers = max_servers
        self._ungranted_starts_per_second = ungranted_starts_per_second
        self._rng = rng
        self._ungranted_start_ms = 0.0
        self.stage = StartStage.SEEKING_GRANTOR
        self.last_grantor_response_ms = now_ms
        self.started_without_grantor = False

    def advance(self, now_ms: float, grantor_count: int, has_permit: bool, warm_fraction: float) -> bool:
        """Goes on to the next stage if that is due.

        Args:
            now_ms: Time.
            grantor_count: Grantors that are present.
            has_permit: Whether it holds a permit.
            warm_fraction: From 0 to 1, how far it is warm.

        Returns:
            Whether the stage changed.
        """
        previous_stage = self.stage
        is_unanswered = now_ms - self.last_grantor_response_ms >= self._grantor_timeout_ms
        match self.stage:
            case StartStage.WARM:
                pass
            case StartStage.WARMING_UP:
                if warm_fraction >= 1.0:
                    self.stage = StartStage.WARM
            case _ if has_permit:
                self.stage = StartStage.WARMING_UP
            case StartStage.WAITING_WITHOUT_GRANTOR:
                self._wait_without_grantor(now_ms, grantor_count, is_unanswered)
            case _ if is_unanswered:
                self._give_up_on_grantors(now_ms)
            case StartStage.SEEKING_GRANTOR if grantor_count:
                self.stage = StartStage.WAITING_FOR_PERMIT
        return self.stage is not previous_stage

    def _give_up_on_grantors(self, now_ms: float) -> None:
        """All servers wait about as long, so that their starts are spread over the whole cluster's size."""
        delay_ms = random_start_delay_ms(self._rng, self._max_servers, self._ungranted_starts_per_second)
        self._ungranted_start_ms = now_ms + delay_ms
        self.stage = StartStage.WAITING_WITHOUT_GRANTOR

    def _wait_without_grantor(self, now_ms: float, grantor_count: int, is_unanswered: bool) -> None:
        """Goes back to a grantor that answers again, or starts at the drawn time."""
        if grantor_count and not is_unanswered:
            self.stage = StartStage.WAITING_FOR_PERMIT
        elif now_ms >= self._ungranted_start_ms:
            self.stage = StartStage.WARMING_UP
            self.started_without_grantor = True

    @property
    def is_open(self) -> bool:
        """Whether balancers may send RPCs."""
        return self.stage in OPEN_STAGES

    @property
    def wants_permit(self) -> bool:
        """Whether it asks for a permit, or keeps the one that it has."""
        return self.stage is not StartStage.WARM
