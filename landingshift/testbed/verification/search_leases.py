"""Every order of a small model of leases: a grantor, two holders, and any message next, lost or twice.

Time passes, and grantor and holders restart. Checked in each state: all holders together never believe in
more than there is. The model begins where one holder has everything. What a holder believed in that has
restarted counts until its end: the old process may only have been paused.
"""

from __future__ import annotations

import copy
from collections.abc import Hashable
from dataclasses import dataclass, field, replace
from typing import Any

from landingshift.coldstart.fair_division import max_min_fair_shares
from landingshift.coldstart.leases import HeldLease, LeaseGrantor, LeaseRequest
from landingshift.testbed.verification.state_space import Action, Exploration, Step, explore

LEASE_MS = 300.0
CLOCK_MARGIN_MS = 40.0
TIME_STEP_MS = 100.0
START_MS = 10_000.0
CAPACITY = 4.0
ROUNDING = 1e-9
WANTED_AMOUNTS = {"a": 4.0, "b": 3.0}
RESTARTED_HOLDER = "a"
MAX_MESSAGES_COUNT = 3
"""Under way at a time."""


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """What the grantor answers."""

    holder_name: str
    run_id: int
    request_number: int
    amount: float


LeaseMessage = LeaseRequest | LeaseGrant


@dataclass
class RemainingSteps:
    """How often each may still come."""

    asks: int = 4
    losses: int = 1
    duplicates: int = 1
    time_steps: int = 5
    restarts: int = 2


@dataclass
class LeaseState:
    """One state of the model.

    Attributes:
        grantor: The latest process of the grantor.
        leases: What the latest process of each holder believes in.
        run_ids: Of those processes.
        now_ms: The time of all.
        messages: Under way.
        orphaned_leases: Amounts and expiries of what earlier processes believed in.
        remaining: What may still happen.
    """

    grantor: LeaseGrantor
    leases: dict[str, HeldLease]
    run_ids: dict[str, int]
    now_ms: float = START_MS
    messages: list[LeaseMessage] = field(default_factory=list)
    orphaned_leases: list[tuple[float, float]] = field(default_factory=list)
    remaining: RemainingSteps = field(default_factory=RemainingSteps)

    def believed_amount(self) -> float:
        """Returns what all holders together believe in."""
        held = sum(lease.usable_amount(self.now_ms) for lease in self.leases.values())
        return held + sum(
            amount for amount, expires_at_ms in self.orphaned_leases if expires_at_ms > self.now_ms
        )

    def copy(self) -> LeaseState:
        """Returns a copy that shares nothing that changes."""
        return replace(
            self,
            grantor=copy.deepcopy(self.grantor),
            leases=copy.deepcopy(self.leases),
            run_ids=dict(self.run_ids),
            messages=list(self.messages),
            orphaned_leases=list(self.orphaned_leases),
            remaining=replace(self.remaining),
        )


class LeaseSearch:
    """Explores the model.

    Attributes:
        has_recovery_grace: Whether a grantor that restarts grants nothing for a lease.
        books_old_grants: Whether a larger grant counts until its holder can't believe in it any more.
        max_believed: The most that all holders together believed in, in any state.
    """

    def __init__(self, has_recovery_grace: bool = True, books_old_grants: bool = True) -> None:
        self.has_recovery_grace = has_recovery_grace
        self.books_old_grants = books_old_grants
        self.max_believed = 0.0

    def run(self, max_depth: int, max_state_count: int) -> Exploration:
        """Explores to a depth, or until so many states were seen."""
        return explore(self, max_depth, max_state_count)

    def initial_state(self) -> LeaseState:
        """Returns a state in which one holder has everything."""
        state = LeaseState(
            self._new_grantor(0.0),
            {name: HeldLease(LEASE_MS) for name in WANTED_AMOUNTS},
            dict.fromkeys(WANTED_AMOUNTS, 1),
        )
        for step in (Step(Action.ASK, "a"), Step(Action.DELIVER, 0), Step(Action.DELIVER, 0)):
            state = self.apply(state, step)
        state.remaining = RemainingSteps()
        return state

    def _new_grantor(self, now_ms: float) -> LeaseGrantor:
        grantor = LeaseGrantor(CAPACITY, LEASE_MS, CLOCK_MARGIN_MS, now_ms, max_min_fair_shares)
        if not self.has_recovery_grace:
            grantor.recovery_grace_until_ms = now_ms
        return grantor

    def steps(self, state: LeaseState) -> list[Step]:
        """Returns all that may happen next."""
        remaining = state.remaining
        has_room = len(state.messages) < MAX_MESSAGES_COUNT
        indexes = range(len(state.messages))
        steps = [Step(Action.DELIVER, index) for index in indexes]
        if remaining.asks and has_room:
            steps += [Step(Action.ASK, name) for name in WANTED_AMOUNTS]
        if remaining.losses:
            steps += [Step(Action.LOSE, index) for index in indexes]
        if remaining.duplicates and has_room:
            steps += [Step(Action.DUPLICATE, index) for index in indexes]
        if remaining.time_steps:
            steps.append(Step(Action.PASS_TIME))
        if remaining.restarts:
            steps += [Step(Action.RESTART_GRANTOR), Step(Action.RESTART_HOLDER, RESTARTED_HOLDER)]
        return steps

    def apply(self, state: LeaseState, step: Step) -> LeaseState:
        """Returns the state after a step."""
        after = state.copy()
        remaining = after.remaining
        match step:
            case Step(Action.DELIVER, int(index)):
                self._deliver(after, after.messages.pop(index))
            case Step(Action.ASK, str(name)):
                remaining.asks -= 1
                number, claimed_amount = after.leases[name].next_request(after.now_ms)
                wanted_amount = WANTED_AMOUNTS[name]
                after.messages.append(
                    LeaseRequest(name, after.run_ids[name], number, claimed_amount, wanted_amount)
                )
            case Step(Action.LOSE, int(index)):
                remaining.losses -= 1
                after.messages.pop(index)
            case Step(Action.DUPLICATE, int(index)):
                remaining.duplicates -= 1
                after.messages.append(after.messages[index])
            case Step(Action.PASS_TIME):
                remaining.time_steps -= 1
                after.now_ms += TIME_STEP_MS
            case Step(Action.RESTART_GRANTOR):
                remaining.restarts -= 1
                after.grantor = self._new_grantor(after.now_ms)
            case Step(Action.RESTART_HOLDER, str(name)):
                remaining.restarts -= 1
                lease = after.leases[name]
                after.orphaned_leases.append((lease.held_amount, lease.expires_at_ms))
                after.leases[name] = HeldLease(LEASE_MS)
                after.run_ids[name] += 1
        return after

    def _deliver(self, state: LeaseState, message: LeaseMessage) -> None:
        match message:
            case LeaseRequest(name, run_id, number):
                amount = state.grantor.renew(message, state.now_ms)
                if amount is None:
                    return
                if not self.books_old_grants:
                    state.grantor.grants[name].reserved_amount = amount
                state.messages.append(LeaseGrant(name, run_id, number, amount))
            case LeaseGrant(name, run_id, number, amount) if run_id == state.run_ids[name]:
                state.leases[name].on_grant(number, amount, state.now_ms)

    def check(self, state: LeaseState) -> str:
        """Returns a text where the holders believe in more than there is."""
        believed = state.believed_amount()
        self.max_believed = max(self.max_believed, believed)
        return f"{believed:g} of {CAPACITY:g}" if believed > CAPACITY + ROUNDING else ""

    def key(self, state: LeaseState) -> Hashable:
        """Returns what tells a state from others; times count from now."""
        now_ms = state.now_ms
        grants: list[Any] = [
            (
                name,
                grant.run_id,
                grant.request_number,
                grant.amount,
                grant.reserved_amount,
                grant.expires_at_ms - now_ms,
                grant.wanted_amount,
            )
            for name, grant in sorted(state.grantor.grants.items())
        ]
        leases: list[Any] = [
            (
                name,
                state.run_ids[name],
                lease.request_number,
                lease.is_answered,
                lease.held_amount,
                max(0.0, lease.expires_at_ms - now_ms),
                now_ms - lease.requested_at_ms,
            )
            for name, lease in state.leases.items()
        ]
        orphaned = sorted(
            (amount, end_ms - now_ms) for amount, end_ms in state.orphaned_leases if end_ms > now_ms
        )
        messages = sorted(map(repr, state.messages))
        grace_ms = max(0.0, state.grantor.recovery_grace_until_ms - now_ms)
        return repr((grants, grace_ms, leases, orphaned, messages, state.remaining))
