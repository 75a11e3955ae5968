"""Holders and one grantor of leases in virtual time, for the rule of `coldstart.leases`."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from landingshift.coldstart.fair_division import max_min_fair_shares
from landingshift.coldstart.leases import HeldLease, LeaseGrantor, LeaseRequest

LEASE_MS = 1000.0
CLOCK_MARGIN_MS = 100.0
HOLDER_NAMES = "abcdefgh"
GRANTOR = ""
"""Stands for the grantor among those that may be paused."""
CLOCK_RATES = (0.99, 1.01)
CLOCK_OFFSET_MS = 5000.0
"""Times a holder's letter: clocks show different times."""
STEPS_MS = (1.0, 60.0)
COPY_COUNTS = (0, 1, 1, 1, 2)
"""How often a message arrives."""
MAX_DELAYS_MS = (1.0, 5.0, 50.0, 400.0, 1500.0)
PAUSES_MS = (100.0, 3000.0)
WANTED_AMOUNTS = (0.0, 1.0, 3.0, 9.0)
PAUSE_PROBABILITY = 0.01
GRANTOR_RESTART_PROBABILITY = 0.005
HOLDER_RESTART_PROBABILITY = 0.01


@dataclass(frozen=True, slots=True)
class GrantMessage:
    """What the grantor answers."""

    holder_name: str
    run_id: int
    request_number: int
    amount: float


LeaseMessage = LeaseRequest | GrantMessage


class LeaseSimulation:
    """Holders that ask a grantor again and again.

    The network loses, duplicates, delays and reorders; clocks drift by up to 1 % each; anyone may be paused,
    and all may restart.

    Attributes:
        rng: Draws all that is left to chance.
        now_ms: The grantor's clock.
        capacity: What there is to lease.
        has_recovery_grace: Whether a grantor that restarts grants nothing for a lease.
        books_old_grants: Whether a larger grant counts until its holder can't believe in it any more.
        grantor: The latest process of the grantor.
        leases: What each holder believes in.
        max_believed: The most that all holders together believed in.
    """

    def __init__(
        self,
        seed: int,
        capacity: float = 10.0,
        has_recovery_grace: bool = True,
        books_old_grants: bool = True,
    ) -> None:
        self.rng = Random(seed)
        self.now_ms = 0.0
        self.capacity = capacity
        self.has_recovery_grace = has_recovery_grace
        self.books_old_grants = books_old_grants
        self.leases = {name: HeldLease(LEASE_MS) for name in HOLDER_NAMES}
        self.grantor = self._start_grantor()
        self.max_believed = 0.0
        self._clock_rates = {name: self.rng.uniform(*CLOCK_RATES) for name in HOLDER_NAMES}
        self._run_ids = dict.fromkeys(HOLDER_NAMES, 1)
        self._paused_until_ms = dict.fromkeys([*HOLDER_NAMES, GRANTOR], 0.0)
        self._messages: list[tuple[float, LeaseMessage]] = []
        """Under way, with the times at which they arrive."""

    def step(self) -> None:
        """Lets some time pass, and one holder act or be hit by a fault."""
        self.now_ms += self.rng.uniform(*STEPS_MS)
        name = self.rng.choice(HOLDER_NAMES)
        if not self._inject_fault(name) and self._paused_until_ms[name] <= self.now_ms:
            self._ask(name)
        arrived = [message for arrival_ms, message in self._messages if arrival_ms <= self.now_ms]
        self._messages = [entry for entry in self._messages if entry[0] > self.now_ms]
        for message in arrived:
            self._deliver(message)
        believed = sum(lease.usable_amount(self._clock_ms(name)) for name, lease in self.leases.items())
        self.max_believed = max(self.max_believed, believed)

    def _inject_fault(self, name: str) -> bool:
        """Draws a fault, and returns whether there was one."""
        draw = self.rng.random()
        if draw < PAUSE_PROBABILITY:
            paused_until_ms = self.now_ms + self.rng.uniform(*PAUSES_MS)
            self._paused_until_ms[self.rng.choice([*HOLDER_NAMES, GRANTOR])] = paused_until_ms
        elif draw < PAUSE_PROBABILITY + GRANTOR_RESTART_PROBABILITY:
            self.grantor = self._start_grantor()
        elif draw < PAUSE_PROBABILITY + GRANTOR_RESTART_PROBABILITY + HOLDER_RESTART_PROBABILITY:
            self.leases[name] = HeldLease(LEASE_MS)
            self._run_ids[name] += 1
        else:
            return False
        return True

    def _start_grantor(self) -> LeaseGrantor:
        grantor = LeaseGrantor(self.capacity, LEASE_MS, CLOCK_MARGIN_MS, self.now_ms, max_min_fair_shares)
        if not self.has_recovery_grace:
            grantor.recovery_grace_until_ms = 0.0
        return grantor

    def _clock_ms(self, name: str) -> float:
        """Returns what a holder's clock shows."""
        return self.now_ms * self._clock_rates[name] + CLOCK_OFFSET_MS * ord(name)

    def _ask(self, name: str) -> None:
        request_number, claimed_amount = self.leases[name].next_request(self._clock_ms(name))
        wanted_amount = self.rng.choice(WANTED_AMOUNTS)
        self._send(LeaseRequest(name, self._run_ids[name], request_number, claimed_amount, wanted_amount))

    def _send(self, message: LeaseMessage) -> None:
        for _ in range(self.rng.choice(COPY_COUNTS)):
            max_delay_ms = self.rng.choice(MAX_DELAYS_MS)
            delay_ms = self.rng.uniform(0.5, 1.0) * max_delay_ms
            self._messages.append((self.now_ms + delay_ms, message))

    def _deliver(self, message: LeaseMessage) -> None:
        """Hands a message to its receiver, or keeps it until that goes on."""
        receiver = GRANTOR if isinstance(message, LeaseRequest) else message.holder_name
        if self._paused_until_ms[receiver] > self.now_ms:
            self._messages.append((self._paused_until_ms[receiver], message))
            return
        match message:
            case LeaseRequest():
                self._on_request(message)
            case GrantMessage(name, run_id, request_number, amount) if run_id == self._run_ids[name]:
                self.leases[name].on_grant(request_number, amount, self._clock_ms(name))

    def _on_request(self, request: LeaseRequest) -> None:
        amount = self.grantor.renew(request, self.now_ms)
        if amount is None:
            return
        if not self.books_old_grants:
            self.grantor.grants[request.holder_name].reserved_amount = amount
        self._send(GrantMessage(request.holder_name, request.run_id, request.request_number, amount))
