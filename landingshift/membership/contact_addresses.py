"""Addresses at which members may be found. Pure."""

from __future__ import annotations

from landingshift.membership.messages import Address

MAX_CONTACT_ADDRESSES = 1024


class ContactAddresses:
    """Addresses that may lead to members: configured, learned from a list, or of members that died.

    Attributes:
        last_attempt_ms: When each address was last tried, 0 for never.
    """

    def __init__(self, addresses: list[Address]) -> None:
        self.last_attempt_ms: dict[Address, float] = dict.fromkeys(addresses, 0.0)

    def __len__(self) -> int:
        """How many addresses are kept."""
        return len(self.last_attempt_ms)

    def add(self, addresses: list[Address]) -> None:
        """Keeps addresses as far as there is room."""
        for address in addresses:
            if len(self.last_attempt_ms) < MAX_CONTACT_ADDRESSES:
                self.last_attempt_ms.setdefault(address, 0.0)
