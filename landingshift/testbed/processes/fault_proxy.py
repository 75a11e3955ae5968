"""Forwarders on loopback between real processes: datagrams cut, delayed, lost, doubled and put out of order;
connections cut and delayed.

Each server has an address of its own at the switch, for UDP and TCP, which the others know it by; who sent a
datagram or connects is told by the address that it comes from.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from random import Random
from selectors import EVENT_READ

from landingshift.net.transport.listener import Listener
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Address, Stream, connect

HERE = "127.0.0.1"
PIPES = 64  # connections at a time through one port
BOUND = 8 << 20  # bytes that wait in one


class Port:
    """One server's address at the switch."""

    def __init__(self, switch: Switch, name: str, to: Address) -> None:
        self.switch, self.name, self.to = switch, name, to
        self.pipes: set[Pipe] = set()
        self.sock, self.door = self.both()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.address: Address = self.sock.getsockname()
        switch.loop.watch(self.sock.fileno(), EVENT_READ, self)

    def both(self) -> tuple[socket.socket, Listener]:
        """One port for datagrams and for connections, which no other process has."""
        for _ in range(50):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind((HERE, 0))
            try:
                room = lambda _: len(self.pipes) < PIPES  # noqa: E731
                return sock, Listener(self.switch.loop, sock.getsockname(), room, self.take)
            except OSError:
                sock.close()
        raise RuntimeError("no free port")

    def take(self, sock: socket.socket) -> None:
        Pipe(self, sock)

    def on_ready(self, _mask: int) -> None:
        for _ in range(256):
            try:
                data, sender = self.sock.recvfrom(65536)
            except OSError:
                return
            self.switch.carry(sender, self, data)


class Pipe:
    """One connection through the switch; a cut in either direction breaks it at the next byte."""

    def __init__(self, port: Port, sock: socket.socket) -> None:
        self.port, switch = port, port.switch
        self.name = switch.hosts.get(sock.getpeername()[0], "")
        port.pipes.add(self)
        self.near = End(self, self.name)
        self.far = End(self, port.name)
        self.near.stream = Stream(switch.loop, sock, self.near, BOUND)
        there = connect(switch.loop, port.to, self.far, BOUND)
        if isinstance(there, Stream):
            self.far.stream = there
        else:
            self.close()

    def carry(self, end: End, data: bytes) -> None:
        switch, other = self.port.switch, self.far if end is self.near else self.near
        if switch.cut(end.name, other.name):
            self.close()
        elif other.stream is not None:
            stream = other.stream
            switch.loop.after(switch.late, lambda: stream.write(data))

    def close(self) -> None:
        self.port.pipes.discard(self)
        for end in (self.near, self.far):
            stream, end.stream = end.stream, None
            if stream is not None:
                stream.close("cut")


class End:
    """What one side of a pipe sends."""

    def __init__(self, pipe: Pipe, name: str) -> None:
        self.pipe, self.name = pipe, name
        self.stream: Stream | None = None

    def on_data(self, data: bytes) -> None:
        self.pipe.carry(self, data)

    def on_eof(self) -> None:
        self.pipe.close()

    def on_closed(self, _reason: str) -> None:
        self.stream = None
        self.pipe.close()


class Switch:
    """`cut(a, b)`: whether what `a` sends to `b` is lost just now; `loss`, `double` shares, `late` ms."""

    def __init__(self, loop: Loop, seed: int) -> None:
        self.loop, self.chance = loop, Random(f"{seed} wires")
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.loss = self.double = self.late = 0.0
        self.names: dict[Address, str] = {}  # of those who send
        self.hosts: dict[str, str] = {}  # the same by host alone
        self.ports: dict[str, Port] = {}
        self.carried = self.lost = 0

    def port(self, name: str, real: Address) -> Address:
        """Where others reach `name`, which listens and sends at `real`."""
        port = self.ports.get(name)
        if port is None:
            port = self.ports[name] = Port(self, name, real)
        self.names[real], self.hosts[real[0]] = name, name
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
            port.door.close()
            for pipe in list(port.pipes):
                pipe.close()
            port.sock.close()
