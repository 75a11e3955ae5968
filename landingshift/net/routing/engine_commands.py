"""Tracks commands that the engine has not confirmed, and decides which of them may be resent.

A command that was sent on a link that broke is in doubt: the engine may have received it. Guarantee: if the
effect of an RPC must not happen twice and the command to run it is in doubt, the command is withheld: it is
not resent until the RPC is answered or abandoned. The RPC may therefore end as aborted although it never ran.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from landingshift.admission.interface import Idempotency
from landingshift.net.routing.rpc_record import RoutedRpc


@dataclass(slots=True, eq=False)
class EngineCommand:
    """A command for an RPC; tracked until the engine has confirmed it."""

    rpc: RoutedRpc
    data: bytes
    starts_run: bool  # whether it starts the RPC's run
    stream_end: int = -1  # offset of its end in the link's output stream; -1 before it is written
    is_in_doubt: bool = False  # sent on a link that broke: the engine may have received it
    is_withheld: bool = False  # not resent until the RPC is answered or abandoned
    on_known: Callable[[], None] | None = None  # called once the command is confirmed without a refusal

    @property
    def is_unsafe_to_resend(self) -> bool:
        """Return whether resending the command could repeat an effect.

        The engine may have received the command on the lost link and completed the run in the meantime.
        Resending counts as safe if the RPC is idempotent or already answered.
        """
        may_run_again = self.rpc.method.idempotency is Idempotency.IDEMPOTENT or self.rpc.is_answered
        return self.starts_run and self.is_in_doubt and not may_run_again


class UnconfirmedCommands:
    """Commands for open RPCs that the engine has not confirmed.

    Attributes:
        queue: The commands in the order in which they were added, without withheld ones. A command replaced
            by a later command for the same RPC stays until it is confirmed or a new link is ready.
        latest: The latest unconfirmed command of each open RPC, including withheld ones.
    """

    def __init__(self) -> None:
        self.queue: deque[EngineCommand] = deque()
        self.latest: dict[RoutedRpc, EngineCommand] = {}

    def add(self, command: EngineCommand) -> None:
        """Adds a command; an earlier command for the same RPC is no longer resent."""
        self.latest[command.rpc] = command
        self.queue.append(command)

    def forget(self, rpc: RoutedRpc) -> None:
        """Stops tracking the RPC's latest command, which has arrived or whose delivery no longer matters."""
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
        """Marks the commands that end within the first `sent_bytes` of the lost link's output as in doubt."""
        for command in self.queue:
            command.is_in_doubt = command.is_in_doubt or 0 <= command.stream_end <= sent_bytes
            command.stream_end = -1

    def withhold(self) -> int:
        """Reduces the queue to the commands to resend on a new link.

        Replaced and forgotten commands are dropped. Commands that are unsafe to resend become withheld.

        Returns:
            The number of commands that were not dropped, including those that became withheld.
        """
        open_commands = [command for command in self.queue if self.latest.get(command.rpc) is command]
        for command in open_commands:
            command.is_withheld = command.is_unsafe_to_resend
        self.queue = deque(command for command in open_commands if not command.is_withheld)
        return len(open_commands)

    def has_written(self) -> bool:
        """Return whether a queued command was written on the present link."""
        return any(command.stream_end >= 0 for command in self.queue)

    def has_query(self) -> bool:
        """Return whether a queued command asks whether the engine knows its RPC."""
        return any(command.on_known is not None for command in self.queue)

    def is_query(self, rpc: RoutedRpc) -> bool:
        """Return whether the RPC's latest command asks whether the engine knows the RPC."""
        command = self.latest.get(rpc)
        return command is not None and command.on_known is not None
