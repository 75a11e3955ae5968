"""Forwarders on loopback between real processes: datagrams cut, delayed, lost, doubled and put out of order.

Each server has an address of its own at the switch, which the others know it by; who sent a datagram is told
by the socket that it comes from.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from random import Random
from selectors import EVENT_READ

from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Address

HERE = "127.0.0.1"


class Port:
    """One server's address at the switch."""

    def __init__(self, switch: Switch, name: str, to: Address) -> None:
        self.switch, self.name, self.to = switch, name, to
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((HERE, 0))
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.address: Address = self.sock.getsockname()
        switch.loop.watch(self.sock.fileno(), EVENT_READ, self)

    def ready(self, _mask: int) -> None:
        for _ in range(256):
            try:
                data, sender = self.sock.recvfrom(65536)
            except OSError:
                return
            self.switch.carry(sender, self, data)


class Switch:
    """`cut(a, b)`: whether what `a` sends to `b` is lost just now; `loss`, `double` shares, `late` ms."""

    def __init__(self, loop: Loop, seed: int) -> None:
        self.loop, self.chance = loop, Random(f"{seed} wires")
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.loss = self.double = self.late = 0.0
        self.names: dict[Address, str] = {}  # of those who send
        self.ports: dict[str, Port] = {}
        self.carried = self.lost = 0

    def port(self, name: str, real: Address) -> Address:
        """Where others reach `name`, which listens and sends at `real`."""
        port = self.ports.get(name)
        if port is None:
            port = self.ports[name] = Port(self, name, real)
        self.names[real] = name
        return port.address

    def carry(self, sender: Address, port: Port, data: bytes) -> None:
        self.carried += 1
        chance = self.chance
        if self.cut(self.names.get(sender, ""), port.name) or chance.random() < self.loss:
            self.lost += 1
            return
        for _ in range(2 if chance.random() < self.double else 1):
            if self.late:
                delay = chance.uniform(0.0, 2.0 * self.late)  # those behind may come before
                self.loop.after(delay, lambda: self.send(port, data))
            else:
                self.send(port, data)

    def send(self, port: Port, data: bytes) -> None:
        try:
            port.sock.sendto(data, port.to)
        except OSError:
            self.lost += 1

    def close(self) -> None:
        for port in self.ports.values():
            self.loop.watch(port.sock.fileno(), 0, port)
            port.sock.close()
