"""State machine of one server's start, from the process start until the server is warm.

Does no I/O and reads no clock: times are passed in as ms.

Guarantee: while grantors answer, no server warms up without a permit.
Failure mode: a server that gets no answer within a timeout starts without a permit, after a random delay. The
mean delay is proportional to the largest number of servers in the cluster.
"""

from __future__ import annotations

from enum import Enum
from random import Random

from landingshift.coldstart.start_spreading import random_start_delay_ms


class StartStage(Enum):
    """Stages of a server's start, in their order.

    Logs and answers to operators contain the value of a stage. The metadata published to members contain the
    position of the stage in this order.
    """

    SEEKING_GRANTOR = "seeking"  # no grantor is known yet
    WAITING_FOR_PERMIT = "waiting"
    WAITING_WITHOUT_GRANTOR = "alone"  # no grantor answers: the server starts after a random delay
    WARMING_UP = "starting"  # the server accepts RPCs
    WARM = "warm"


OPEN_STAGES = (StartStage.WARMING_UP, StartStage.WARM)  # in these stages the gateway is allowed to send RPCs


class StartSequence:
    """State machine of one server's start.

    Attributes:
        stage: Present stage.
        last_grantor_response_ms: Time of the last accepted grant, initially the time of creation.
        started_without_grantor: Whether the server began to warm up without a permit.
    """

    def __init__(
        self,
        grantor_timeout_ms: float,
        max_servers: int,
        ungranted_starts_per_second: float,
        rng: Random,
        now_ms: float,
    ) -> None:
        """Begin in the stage `SEEKING_GRANTOR`.

        Args:
            grantor_timeout_ms: Time without an accepted grant after which the server schedules a start
                without a permit.
            max_servers: Largest number of servers in the cluster, which might all start without a permit.
            ungranted_starts_per_second: Mean rate of starts without a permit, all servers together.
            rng: Random number generator for the start delay.
            now_ms: Present time.
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
        """Change the stage if the condition for another stage is met.

        Args:
            now_ms: Present time.
            grantor_count: Number of grantors that are present.
            has_permit: Whether the server holds a start permit.
            warm_fraction: Progress of the warm-up, from 0 to 1.

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
                self._schedule_start_without_permit(now_ms)
            case StartStage.SEEKING_GRANTOR if grantor_count:
                self.stage = StartStage.WAITING_FOR_PERMIT
        return self.stage is not previous_stage

    def _schedule_start_without_permit(self, now_ms: float) -> None:
        """Schedule a start after a random delay, to spread out the starts of servers without a grantor."""
        delay_ms = random_start_delay_ms(self._rng, self._max_servers, self._ungranted_starts_per_second)
        self._ungranted_start_ms = now_ms + delay_ms
        self.stage = StartStage.WAITING_WITHOUT_GRANTOR

    def _wait_without_grantor(self, now_ms: float, grantor_count: int, is_unanswered: bool) -> None:
        """If a grantor has answered, wait for a permit again; else warm up at the random start time."""
        if grantor_count and not is_unanswered:
            self.stage = StartStage.WAITING_FOR_PERMIT
        elif now_ms >= self._ungranted_start_ms:
            self.stage = StartStage.WARMING_UP
            self.started_without_grantor = True

    @property
    def is_open(self) -> bool:
        """Whether the gateway is allowed to send RPCs to this server."""
        return self.stage in OPEN_STAGES

    @property
    def wants_permit(self) -> bool:
        """Whether the server wants to get or keep a permit; False once it is warm."""
        return self.stage is not StartStage.WARM
