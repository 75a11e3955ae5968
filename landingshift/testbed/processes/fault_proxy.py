"""A proxy on loopback that forwards UDP and TCP between real server processes and injects faults.

Datagrams can be lost, delayed, reordered and duplicated; connections can be delayed; partitions cut both.
Each server has its own address at the proxy, one port for UDP and TCP, and the other servers use this address
to reach it. The proxy identifies the sender of a datagram or connection by its source address.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from random import Random
from selectors import EVENT_READ

from landingshift.net.transport.listener import Listener
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Address, Stream, connect
from landingshift.testbed.errors import NoFreeAddressError

LOOPBACK = "127.0.0.1"
MAX_CONNECTIONS_PER_ENDPOINT = 64
MAX_UNSENT_BYTES = 8 << 20
"""Greatest number of unsent bytes of one connection."""
RECEIVE_BUFFER_BYTES = 1 << 20
MAX_DATAGRAM_BYTES = 65536
MAX_DATAGRAMS_PER_PASS = 256
MAX_BIND_ATTEMPTS = 50

LinkRule = Callable[[str, str], bool]
"""Takes the names of a sender and a receiver; returns whether traffic in this direction is cut."""


def no_cut(_sender: str, _receiver: str) -> bool:
    """Returns False: the rule of a network without partitions."""
    return False


class FaultProxy:
    """Forwards traffic between servers and injects faults.

    The faults can be changed at any time, in the thread of the loop.

    Attributes:
        loop: Event loop on which the proxy runs.
        is_cut: Current partition rule, by which traffic from one server to another is cut.
        loss_fraction: Fraction of datagrams that are lost.
        duplicate_fraction: Fraction of datagrams that are duplicated.
        delay_ms: Delay of the data of a connection, and mean delay of datagrams.
        endpoints: Endpoint of each server, keyed by the server's name.
        received_count: Number of datagrams that the proxy received.
        lost_count: Number of datagrams that the proxy did not forward.
    """

    def __init__(self, loop: Loop, seed: int) -> None:
        self.loop = loop
        self.is_cut: LinkRule = no_cut
        self.loss_fraction = 0.0
        self.duplicate_fraction = 0.0
        self.delay_ms = 0.0
        self.endpoints: dict[str, ProxyEndpoint] = {}
        self.received_count = 0
        self.lost_count = 0
        self._rng = Random(f"{seed} wires")
        self._name_by_address: dict[Address, str] = {}
        self._name_by_host: dict[str, str] = {}

    def add_server(self, name: str, address: Address) -> Address:
        """Adds a server that listens and sends at `address`; returns its address at the proxy."""
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            endpoint = ProxyEndpoint(self, name, address)
            self.endpoints[name] = endpoint
        self._name_by_address[address] = name
        self._name_by_host[address[0]] = name
        return endpoint.address

    def name_of_host(self, host: str) -> str:
        """Returns the name of the server that sends from a host address, or "" if there is none."""
        return self._name_by_host.get(host, "")

    def forward_datagram(self, sender: Address, receiver: ProxyEndpoint, data: bytes) -> None:
        """Forwards a datagram, or drops, delays or duplicates it according to the faults."""
        self.received_count += 1
        is_cut = self.is_cut(self._name_by_address.get(sender, ""), receiver.name)
        if is_cut or self._rng.random() < self.loss_fraction:
            self.lost_count += 1
            return
        copies = 2 if self._rng.random() < self.duplicate_fraction else 1
        for _ in range(copies):
            if self.delay_ms:
                # A random delay, so that datagrams are reordered.
                delay_ms = self._rng.uniform(0.0, 2.0 * self.delay_ms)
                self.loop.after(delay_ms, lambda: self._send(receiver, data))
            else:
                self._send(receiver, data)

    def _send(self, receiver: ProxyEndpoint, data: bytes) -> None:
        try:
            receiver.send(data)
        except OSError:
            self.lost_count += 1

    def close(self) -> None:
        """Closes all endpoints."""
        for endpoint in self.endpoints.values():
            endpoint.close()


class ProxyEndpoint:
    """The address of one server at the proxy, for UDP and TCP.

    Attributes:
        proxy: The proxy that the endpoint belongs to.
        name: Name of the server.
        server_address: Address at which the server itself listens.
        address: Address at which other servers reach the server, through the proxy.
        connections: Open connections to the server.
    """

    def __init__(self, proxy: FaultProxy, name: str, server_address: Address) -> None:
        self.proxy = proxy
        self.name = name
        self.server_address = server_address
        self.connections: set[ProxiedConnection] = set()
        self._socket, self._listener = self._bind()
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.address: Address = self._socket.getsockname()
        proxy.loop.watch(self._socket.fileno(), EVENT_READ, self)

    def _bind(self) -> tuple[socket.socket, Listener]:
        """Binds a free port for both UDP and TCP; returns the UDP socket and the TCP listener."""
        for _ in range(MAX_BIND_ATTEMPTS):
            datagram_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            datagram_socket.bind((LOOPBACK, 0))
            address = datagram_socket.getsockname()
            try:
                return datagram_socket, Listener(self.proxy.loop, address, self._has_room, self._on_accepted)
            except OSError:
                datagram_socket.close()
        raise NoFreeAddressError("port")

    def _has_room(self, _count: int) -> bool:
        return len(self.connections) < MAX_CONNECTIONS_PER_ENDPOINT

    def _on_accepted(self, sock: socket.socket) -> None:
        ProxiedConnection(self, sock)

    def on_ready(self, _mask: int) -> None:
        """Reads the datagrams that have arrived, and forwards them."""
        for _ in range(MAX_DATAGRAMS_PER_PASS):
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self.proxy.forward_datagram(sender, self, data)

    def send(self, data: bytes) -> None:
        """Sends a datagram to the server."""
        self._socket.sendto(data, self.server_address)

    def close(self) -> None:
        """Closes the endpoint and all its connections."""
        self.proxy.loop.watch(self._socket.fileno(), 0, self)
        self._listener.close()
        for connection in list(self.connections):
            connection.close()
        self._socket.close()


class ProxiedConnection:
    """A connection through the proxy to a server; closed when it receives data in a direction that is cut."""

    def __init__(self, endpoint: ProxyEndpoint, sock: socket.socket) -> None:
        proxy = endpoint.proxy
        self._endpoint = endpoint
        endpoint.connections.add(self)
        self._client = ConnectionEnd(self, proxy.name_of_host(sock.getpeername()[0]))
        self._server = ConnectionEnd(self, endpoint.name)
        self._client.stream = Stream(proxy.loop, sock, self._client, MAX_UNSENT_BYTES)
        server_stream = connect(proxy.loop, endpoint.server_address, self._server, MAX_UNSENT_BYTES)
        if isinstance(server_stream, Stream):
            self._server.stream = server_stream
        else:
            self.close()

    def forward(self, sender: ConnectionEnd, data: bytes) -> None:
        """Forwards data from one end to the other, or closes the connection if this direction is cut."""
        proxy = self._endpoint.proxy
        receiver = self._server if sender is self._client else self._client
        if proxy.is_cut(sender.name, receiver.name):
            self.close()
        elif receiver.stream is not None:
            stream = receiver.stream
            proxy.loop.after(proxy.delay_ms, lambda: stream.write(data))

    def close(self) -> None:
        """Closes both ends."""
        self._endpoint.connections.discard(self)
        for end in (self._client, self._server):
            stream = end.stream
            end.stream = None
            if stream is not None:
                stream.close("cut")


class ConnectionEnd:
    """The proxy's stream to the client or to the server of a proxied connection.

    Attributes:
        name: Name of the server at this end; "" if it is unknown.
        stream: The stream; None before it is connected and after it is closed.
    """

    def __init__(self, connection: ProxiedConnection, name: str) -> None:
        self.name = name
        self.stream: Stream | None = None
        self._connection = connection

    def on_data(self, data: bytes) -> None:
        """Forwards received data to the other end."""
        self._connection.forward(self, data)

    def on_eof(self) -> None:
        """Closes both ends."""
        self._connection.close()

    def on_closed(self, _reason: str) -> None:
        """Closes the other end as well."""
        self.stream = None
        self._connection.close()
