"""Sends UDP datagrams."""

from __future__ import annotations

import socket
from contextlib import suppress

from landingshift.net.transport.stream import Address


class DatagramSender:
    """Sends datagrams to one address; delivery is not guaranteed, and replies are not read."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)

    def send(self, data: bytes) -> None:
        """Sends one datagram, or drops it if the socket reports an error or a full buffer."""
        with suppress(OSError):  # the receiver might be down; the sender repeats its reports anyway
            self.sock.sendto(data, self.address)
