"""Addresses at which members might be reachable."""

from __future__ import annotations

from landingshift.membership.messages import Address

MAX_CONTACT_ADDRESSES = 1024


class ContactAddresses:
    """Bounded set of addresses that `Rejoin` pings to find members.

    They come from the settings, from service discovery, and from members that were declared dead.

    Attributes:
        last_attempt_ms: Time of the last ping to each address, keyed by address; 0 if there was none.
    """

    def __init__(self, addresses: list[Address]) -> None:
        self.last_attempt_ms: dict[Address, float] = dict.fromkeys(addresses, 0.0)

    def __len__(self) -> int:
        """Returns the number of addresses."""
        return len(self.last_attempt_ms)

    def add(self, addresses: list[Address]) -> None:
        """Adds addresses until the set holds `MAX_CONTACT_ADDRESSES`, and ignores the rest."""
        for address in addresses:
            if len(self.last_attempt_ms) < MAX_CONTACT_ADDRESSES:
                self.last_attempt_ms.setdefault(address, 0.0)
