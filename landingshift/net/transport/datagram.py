"""UDP, one way."""

from __future__ import annotations

import socket
from contextlib import suppress

from landingshift.net.transport.stream import Address


class DatagramSender:
    """Sends datagrams to one address; what is lost on the way is not noticed."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)

    def send(self, data: bytes) -> None:
        """Sends one datagram, or drops it where the system does not take it."""
        with suppress(OSError):  # nobody may be listening: the next report is the cure
            self.sock.sendto(data, self.address)
