"""Service that runs a SWIM node on the server's event loop, with a UDP socket and a TCP listener."""

from __future__ import annotations

import socket
from collections.abc import Callable
from random import Random
from selectors import EVENT_READ
from typing import TYPE_CHECKING, Any

from landingshift.membership import wire
from landingshift.membership.errors import DatagramRejection, InvalidDatagramError, ListenAddressError
from landingshift.membership.large_messages import LargeMessageTransport
from landingshift.membership.member_table import Member
from landingshift.membership.messages import DEPARTED_STATES, Address, MemberRecord, MemberState
from landingshift.membership.node import SwimNode
from landingshift.membership.operator_rpc import OperatorRpcServer
from landingshift.membership.operator_views import DatagramCounts, member_rows, membership_status
from landingshift.membership.settings import Settings, parse_address
from landingshift.net.transport.loop import Loop, Timer

if TYPE_CHECKING:
    from landingshift.net.program.features import ServiceHost

MAX_DATAGRAMS_PER_PASS = 64  # bounds how long a flood of datagrams delays RPCs
RECEIVE_BUFFER_BYTES = 1 << 20  # holds the datagrams that arrive during a long iteration of the event loop
REJECTION_LOG_INTERVAL_MS = 1000.0
MIN_TIMER_DELAY_MS = 1.0
RUN_ID_BITS = 48


class RejectedDatagrams:
    """Counts rejected datagrams by reason.

    The counts are logged and reset at most once per `REJECTION_LOG_INTERVAL_MS`.
    """

    def __init__(self, loop: Loop, log: Callable[..., None]) -> None:
        self._loop, self._log = loop, log
        self._counts: dict[str, int] = {}

    def add(self, rejection: DatagramRejection) -> None:
        """Counts one rejected datagram, and schedules the log entry if none is scheduled."""
        if not self._counts:
            self._loop.after(REJECTION_LOG_INTERVAL_MS, self._flush)
        self._counts[rejection.value] = self._counts.get(rejection.value, 0) + 1

    def _flush(self) -> None:
        counts = self._counts
        self._counts = {}
        self._log("fleet_datagrams_rejected", **counts)


class MembershipService:
    """Drives a `SwimNode` with a UDP socket and the clock of the event loop.

    Attributes:
        settings: Settings from the table `[fleet]`.
        node: The SWIM node of this server.
        operator_rpc: Server for operator calls and large messages; other packages add their handlers to it.
        large_messages: Transport for messages that can be too large for a datagram.
    """

    def __init__(self, host: ServiceHost, settings: Settings) -> None:
        """Binds the sockets and starts the node.

        Raises:
            ListenAddressError: The address can't be bound.
        """
        router = host.router
        self._router, self._loop, self._log = router, router.loop, host.log
        self.settings = settings
        self._bind()
        self._rejected_datagrams = RejectedDatagrams(self._loop, self._log)
        self._datagram_counts = DatagramCounts()
        self._timer: Timer | None = None
        rng = Random(f"{router.config.seed} fleet {router.config.name}")
        local_record = self._initial_record(rng)
        seed_addresses = [parse_address("peers", address) for address in settings.seed_addresses]
        self.node = SwimNode(
            local_record,
            seed_addresses,
            settings.timings(),
            settings.max_members,
            rng,
            self._loop.now_ms,
            self._log,
        )
        self.node.state_observers.append(self._on_member_state_change)
        self.large_messages = LargeMessageTransport(
            self._loop, self.node, self.operator_rpc, settings.cluster_name
        )
        self.operator_rpc.handlers |= {"members": self._on_members_call, "status": self._on_status_call}
        self._loop.watch(self._socket.fileno(), EVENT_READ, self)
        self._loop.after(0.0, self._on_timer)
        address = f"{local_record.host}:{local_record.port}"
        self._log("fleet_started", name=local_record.name, address=address, run=local_record.run_id)

    def _bind(self) -> None:
        """Binds the TCP listener, then the UDP socket to the same port.

        Raises:
            ListenAddressError: The address can't be bound.
        """
        listen_address = self.settings.listen_address
        address = parse_address("listen", listen_address, allow_port_zero=True)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.operator_rpc = OperatorRpcServer(self._loop, address, self._log)
            self._socket.bind(self.operator_rpc.listener.address)
        except OSError as error:
            self._socket.close()
            raise ListenAddressError(listen_address, error) from error
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def _initial_record(self, rng: Random) -> MemberRecord:
        """Returns this member's first record; its run ID distinguishes this process from earlier ones."""
        host, port = self._advertised_address()
        return MemberRecord(
            name=self._router.config.name,
            host=host,
            port=port,
            zone=self.settings.zone,
            run_id=rng.getrandbits(RUN_ID_BITS),
            incarnation=0,
            metadata_version=0,
            state=MemberState.ALIVE,
            reported_by="",
            metadata={},
        )

    def _advertised_address(self) -> Address:
        if self.settings.advertise_address:
            return parse_address("advertise", self.settings.advertise_address)
        host, port = self._socket.getsockname()
        return host, port

    # Event loop callbacks

    def on_ready(self, _mask: int) -> None:
        """Reads and handles the datagrams that have arrived."""
        for _ in range(MAX_DATAGRAMS_PER_PASS):
            try:
                data = self._socket.recv(wire.MAX_DATAGRAM_BYTES + 1)
            except OSError:  # no datagram is left, or an earlier send failed asynchronously
                break
            self._loop.update_now()
            self._on_datagram(data)
        self.flush_outgoing()

    def _on_datagram(self, data: bytes) -> None:
        self._datagram_counts.received += 1
        try:
            message = wire.decode(self.settings.cluster_name, data)
        except InvalidDatagramError as error:
            self._rejected_datagrams.add(error.rejection)
        else:
            self.node.on_message(message, self._loop.now_ms)

    def _on_timer(self) -> None:
        self._timer = None
        if self._router.is_draining:
            self.node.leave(self._loop.now_ms)
        if self.node.next_deadline_ms() <= self._loop.now_ms:
            self.node.on_timer(self._loop.now_ms)
        self.flush_outgoing()

    def flush_outgoing(self) -> None:
        """Sends the messages that the node has queued, and sets the timer for its next deadline."""
        for receiver, message in self.node.take_outgoing():
            self._datagram_counts.sent += 1
            try:
                self._socket.sendto(wire.encode(self.settings.cluster_name, message), receiver)
            except OSError:  # the send buffer is full or there is no route; the protocol tolerates the loss
                self._datagram_counts.failed += 1
        wake_at_ms = max(self.node.next_deadline_ms(), self._loop.now_ms + MIN_TIMER_DELAY_MS)
        if self._timer is None or wake_at_ms < self._timer.due_ms - MIN_TIMER_DELAY_MS:
            self._loop.cancel(self._timer)
            self._timer = self._loop.after(wake_at_ms - self._loop.now_ms, self._on_timer)

    def _on_member_state_change(self, member: Member, previous_state: MemberState | None) -> None:
        """Logs members that join or depart; suspicions are too frequent to be logged."""
        record = member.record
        member_count = len(self.node.member_table.present_names) + 1
        was_present = previous_state in (MemberState.ALIVE, MemberState.SUSPECT)
        if record.state is MemberState.ALIVE and not was_present:
            self._log("fleet_member", name=record.name, run=record.run_id, members=member_count)
        elif record.state in DEPARTED_STATES and was_present:
            self._log(
                "fleet_gone",
                name=record.name,
                how=record.state.name.lower(),
                by=record.reported_by,
                members=member_count,
            )

    def finish(self) -> None:
        """Announces that this member leaves, then closes the sockets."""
        self.node.leave(self._loop.now_ms)
        self.flush_outgoing()
        self._loop.watch(self._socket.fileno(), 0, self)
        self._socket.close()
        self.operator_rpc.close()

    # Operator calls

    def _on_members_call(self, _params: list[Any]) -> list[dict[str, Any]]:
        return member_rows(self.node, self._loop.now_ms)

    def _on_status_call(self, _params: list[Any]) -> dict[str, Any]:
        return membership_status(self.node, self.settings.cluster_name, self._datagram_counts)


def attach(host: ServiceHost, settings: Settings) -> MembershipService:
    """Starts the membership service on a server.

    Raises:
        ListenAddressError: The address can't be bound.
    """
    return MembershipService(host, settings)
