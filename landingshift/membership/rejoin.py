"""Joining the cluster at start, and rejoining it after a network partition.

Guarantee: once a partition has ended, its two sides merge without an operator if at least one member has a
contact address of a member on the other side.
Failure mode: a member stays alone if none of its contact addresses leads to another member and no other
member contacts it.
"""

from __future__ import annotations

from landingshift.membership.messages import Address, Ping
from landingshift.membership.node_context import NodeContext

RETRY_INTERVAL_MS = 2000.0  # between two pings while at least one other member is present
INTERVAL_JITTER = (0.7, 1.3)  # range of the random factor for the interval
ANY_MEMBER = ""  # target name of a ping to an address whose member is unknown


class Rejoin:
    """Pings, one at a time, the contact addresses that belong to no present member.

    Attributes:
        next_attempt_ms: Time at which the next ping is due.
    """

    def __init__(self, context: NodeContext, first_attempt_ms: float) -> None:
        self._context = context
        self.next_attempt_ms = first_attempt_ms

    def on_timer(self, now_ms: float, is_leaving: bool) -> None:
        """Pings one address if a ping is due and this member is not leaving.

        While no other member is present, the interval between pings is the shorter probe interval.
        """
        if now_ms < self.next_attempt_ms:
            return
        has_no_peers = not self._context.member_table.present_names
        interval_ms = self._context.timings.probe_interval_ms if has_no_peers else RETRY_INTERVAL_MS
        self.next_attempt_ms = now_ms + interval_ms * self._context.rng.uniform(*INTERVAL_JITTER)
        candidates = self._addresses_without_member()
        if candidates and not is_leaving:
            address = self._least_recently_contacted(candidates)
            self._context.contacts.last_attempt_ms[address] = now_ms
            self._context.outbox.send(address, Ping(ANY_MEMBER), next(self._context.sequence_numbers))

    def _addresses_without_member(self) -> list[Address]:
        own_address = self._context.member_table.local_record.address
        present = {record.address for record in self._context.member_table.present_records()}
        return [
            address
            for address in self._context.contacts.last_attempt_ms
            if address not in present and address != own_address
        ]

    def _least_recently_contacted(self, candidates: list[Address]) -> Address:
        """Returns the address that was pinged longest ago; ties are broken at random.

        An address without a member thus costs only one datagram per pass over all addresses.
        """
        last_attempt_ms = self._context.contacts.last_attempt_ms
        return min(candidates, key=lambda address: (last_attempt_ms[address], self._context.rng.random()))
