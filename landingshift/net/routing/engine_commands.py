"""Tracks commands that are not known to have reached the engine, and which of them may be resent.

Guarantee: a run whose effect must not happen twice is not resent after it was written to a link that broke.
It is withheld until its RPC is answered or abandoned, so the RPC may end as aborted although it never ran.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from landingshift.admission.interface import Idempotency
from landingshift.net.routing.rpc_record import RoutedRpc


@dataclass(slots=True, eq=False)
class EngineCommand:
    """A command for an RPC, not known to have reached the engine."""

    rpc: RoutedRpc
    data: bytes
    starts_run: bool  # whether it starts the RPC's run
    stream_end: int = -1  # offset in the link's output stream at which it ends; -1 before it is written
    is_in_doubt: bool = False  # sent on a link that broke: it may have arrived
    is_withheld: bool = False  # not resent until the RPC is answered or abandoned
    on_known: Callable[[], None] | None = None  # called once the engine has accepted the command

    @property
    def is_unsafe_to_resend(self) -> bool:
        """Return whether resending the command could repeat an effect.

        A command that starts a run and was sent on a lost link may have run to completion since.
        """
        may_run_again = self.rpc.method.idempotency is Idempotency.IDEMPOTENT or self.rpc.is_answered
        return self.starts_run and self.is_in_doubt and not may_run_again


class UnconfirmedCommands:
    """Commands for open RPCs that are not known to have reached the engine.

    Attributes:
        queue: The commands in the order in which they were added, without withheld ones. A command that a
            later one for the same RPC has replaced stays until it is confirmed or the link is reconnected.
        latest: The latest unconfirmed command of each open RPC, including withheld ones.
    """

    def __init__(self) -> None:
        self.queue: deque[EngineCommand] = deque()
        self.latest: dict[RoutedRpc, EngineCommand] = {}

    def add(self, command: EngineCommand) -> None:
        """Adds a command, which replaces an earlier one for the same RPC."""
        self.latest[command.rpc] = command
        self.queue.append(command)

    def forget(self, rpc: RoutedRpc) -> None:
        """Stops tracking the RPC's latest command: it has arrived, or its delivery no longer matters."""
        self.latest.pop(rpc, None)

    def confirm(self, confirmed_bytes: int) -> None:
        """Confirms all commands that end within the first `confirmed_bytes` of the link's output stream."""
        while self.queue and 0 <= self.queue[0].stream_end <= confirmed_bytes:
            command = self.queue.popleft()
            if self.latest.get(command.rpc) is not command:
                continue
            del self.latest[command.rpc]
            if command.on_known is not None:
                command.on_known()

    def on_link_lost(self, sent_bytes: int) -> None:
        """Marks commands that were sent on the broken link as in doubt: they may have arrived."""
        for command in self.queue:
            command.is_in_doubt = command.is_in_doubt or 0 <= command.stream_end <= sent_bytes
            command.stream_end = -1

    def withhold(self) -> int:
        """Reduces the queue to the commands to resend on a new link; returns the number of open commands."""
        open_commands = [command for command in self.queue if self.latest.get(command.rpc) is command]
        for command in open_commands:
            command.is_withheld = command.is_unsafe_to_resend
        self.queue = deque(command for command in open_commands if not command.is_withheld)
        return len(open_commands)

    def has_written(self) -> bool:
        """Return whether a queued command was written on the present link."""
        return any(command.stream_end >= 0 for command in self.queue)

    def has_query(self) -> bool:
        """Return whether a queued command asks if the engine knows its RPC."""
        return any(command.on_known is not None for command in self.queue)

    def is_query(self, rpc: RoutedRpc) -> bool:
        """Return whether the RPC's latest command asks if the engine knows it."""
        command = self.latest.get(rpc)
        return command is not None and command.on_known is not None
