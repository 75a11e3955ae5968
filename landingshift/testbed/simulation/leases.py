"""Simulates holders and one grantor of leases in virtual time, with the code of `coldstart.leases`."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from landingshift.coldstart.fair_division import max_min_fair_shares
from landingshift.coldstart.leases import HeldLease, LeaseGrantor, LeaseRequest

LEASE_MS = 1000.0
CLOCK_MARGIN_MS = 100.0
HOLDER_NAMES = "abcdefgh"
"""One letter for each holder."""
GRANTOR = ""
"""Name of the grantor's process; holders have the names in HOLDER_NAMES."""
CLOCK_RATES = (0.99, 1.01)
CLOCK_OFFSET_MS = 5000.0
"""The clock offset of a holder is this times the character code of its name, so that all clocks differ."""
STEPS_MS = (1.0, 60.0)
"""Range of the time that passes in one step."""
COPY_COUNTS = (0, 1, 1, 1, 2)
"""Numbers of copies of a message that arrive, chosen with equal probability; 0 for a lost message."""
MAX_DELAYS_MS = (1.0, 5.0, 50.0, 400.0, 1500.0)
"""Maximum delays of a message, chosen with equal probability."""
PAUSES_MS = (100.0, 3000.0)
"""Range of the duration of a pause."""
WANTED_AMOUNTS = (0.0, 1.0, 3.0, 9.0)
"""Amounts that a holder requests, chosen with equal probability."""
PAUSE_PROBABILITY = 0.01
GRANTOR_RESTART_PROBABILITY = 0.005
HOLDER_RESTART_PROBABILITY = 0.01


@dataclass(frozen=True, slots=True)
class GrantMessage:
    """The grantor's answer to a `LeaseRequest`."""

    holder_name: str
    run_id: int
    request_number: int
    amount: float


LeaseMessage = LeaseRequest | GrantMessage


class LeaseSimulation:
    """Holders that repeatedly request leases from one grantor, under faults.

    The network loses, duplicates, delays and reorders messages. The holders' clocks drift by up to 1 %
    relative to the grantor's clock. Each process can be paused and can restart.

    Attributes:
        rng: Generator of all random decisions.
        now_ms: Time on the grantor's clock.
        capacity: Amount that the grantor can lease in total.
        has_recovery_grace: If True, for the length of one lease after its start, a grantor grants no more
            than holders claim to have.
        books_old_grants: If True, a grantor that reduces a grant keeps the old, larger amount reserved until
            the lease on the old amount must have expired at its holder.
        grantor: The latest process of the grantor.
        leases: Lease of each holder, as the holder knows it, keyed by holder name.
        max_usable_sum: Maximum, over all steps, of the sum of the amounts that holders regarded as usable.
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
        self.max_usable_sum = 0.0
        self._clock_rates = {name: self.rng.uniform(*CLOCK_RATES) for name in HOLDER_NAMES}
        self._run_ids = dict.fromkeys(HOLDER_NAMES, 1)
        self._paused_until_ms = dict.fromkeys([*HOLDER_NAMES, GRANTOR], 0.0)
        self._messages: list[tuple[float, LeaseMessage]] = []
        """Messages in transit, with their arrival times."""

    def step(self) -> None:
        """Advances time, then injects a fault or lets a holder send a request, and delivers messages."""
        self.now_ms += self.rng.uniform(*STEPS_MS)
        name = self.rng.choice(HOLDER_NAMES)
        if not self._inject_fault(name) and self._paused_until_ms[name] <= self.now_ms:
            self._request_lease(name)
        arrived = [message for arrival_ms, message in self._messages if arrival_ms <= self.now_ms]
        self._messages = [entry for entry in self._messages if entry[0] > self.now_ms]
        for message in arrived:
            self._deliver(message)
        usable_sum = sum(lease.usable_amount(self._clock_ms(name)) for name, lease in self.leases.items())
        self.max_usable_sum = max(self.max_usable_sum, usable_sum)

    def _inject_fault(self, name: str) -> bool:
        """Injects a random fault with a small probability; returns whether a fault was injected."""
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
        """Returns the time on a holder's clock."""
        return self.now_ms * self._clock_rates[name] + CLOCK_OFFSET_MS * ord(name)

    def _request_lease(self, name: str) -> None:
        request_number, claimed_amount = self.leases[name].next_request(self._clock_ms(name))
        wanted_amount = self.rng.choice(WANTED_AMOUNTS)
        self._send(LeaseRequest(name, self._run_ids[name], request_number, claimed_amount, wanted_amount))

    def _send(self, message: LeaseMessage) -> None:
        for _ in range(self.rng.choice(COPY_COUNTS)):
            max_delay_ms = self.rng.choice(MAX_DELAYS_MS)
            delay_ms = self.rng.uniform(0.5, 1.0) * max_delay_ms
            self._messages.append((self.now_ms + delay_ms, message))

    def _deliver(self, message: LeaseMessage) -> None:
        """Delivers a message to its receiver, or defers it to the end of the receiver's pause."""
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
