"""Commands that are not known to have reached the engine, and which of them may be sent again.

Guarantee: a run whose effect must not happen twice is not sent again once it was given to a link that broke.
It is withheld until its RPC is answered; such an RPC may end aborted though it never ran.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from landingshift.admission.interface import Idempotency
from landingshift.net.routing.rpc_record import RoutedRpc


@dataclass(slots=True, eq=False)
class EngineCommand:
    """A command for an RPC that is not known to have arrived."""

    rpc: RoutedRpc
    data: bytes
    starts_run: bool  # which must not happen twice
    stream_end: int = -1  # where it ends in the link's stream; -1 before it is written
    is_in_doubt: bool = False  # given to a link that broke: it may have arrived
    is_withheld: bool = False
    on_known: Callable[[], None] | None = None  # called once it has arrived and the engine knew the RPC

    @property
    def may_have_run(self) -> bool:
        """Whether sending the command again could have an effect twice.

        One that starts a run and was given to a lost link may have run to its end since.
        """
        may_run_again = self.rpc.method.idempotency is Idempotency.IDEMPOTENT or self.rpc.is_answered
        return self.starts_run and self.is_in_doubt and not may_run_again


class UnconfirmedCommands:
    """The commands of open RPCs until they are known to have arrived.

    Attributes:
        queue: The commands in the order given, without those withheld. Ones that a later command of the
            same RPC has replaced stay until they are confirmed or the link is made again.
        latest: The latest command of each open RPC, withheld ones included.
    """

    def __init__(self) -> None:
        self.queue: deque[EngineCommand] = deque()
        self.latest: dict[RoutedRpc, EngineCommand] = {}

    def add(self, command: EngineCommand) -> None:
        """Takes in a command, in place of an earlier one of its RPC."""
        self.latest[command.rpc] = command
        self.queue.append(command)

    def forget(self, rpc: RoutedRpc) -> None:
        """The RPC's latest command has arrived, or nobody needs to know any more whether it has."""
        self.latest.pop(rpc, None)

    def confirm(self, confirmed_bytes: int) -> None:
        """All commands that end within so many bytes of the link's stream have arrived."""
        while self.queue and 0 <= self.queue[0].stream_end <= confirmed_bytes:
            command = self.queue.popleft()
            if self.latest.get(command.rpc) is not command:
                continue
            del self.latest[command.rpc]
            if command.on_known is not None:
                command.on_known()

    def on_link_lost(self, sent_bytes: int) -> None:
        """What was sent on the link that broke may have arrived."""
        for command in self.queue:
            command.is_in_doubt = command.is_in_doubt or 0 <= command.stream_end <= sent_bytes
            command.stream_end = -1

    def withhold(self) -> int:
        """Leaves in the queue what is to be sent on a new link; returns how many commands were open."""
        open_commands = [command for command in self.queue if self.latest.get(command.rpc) is command]
        for command in open_commands:
            command.is_withheld = command.may_have_run
        self.queue = deque(command for command in open_commands if not command.is_withheld)
        return len(open_commands)

    def has_written(self) -> bool:
        """Whether a command was written on the link that is open."""
        return any(command.stream_end >= 0 for command in self.queue)

    def has_query(self) -> bool:
        """Whether a command asks if the engine knows its RPC."""
        return any(command.on_known is not None for command in self.queue)

    def is_query(self, rpc: RoutedRpc) -> bool:
        """Whether the RPC's latest command asks if the engine knows it."""
        command = self.latest.get(rpc)
        return command is not None and command.on_known is not None
