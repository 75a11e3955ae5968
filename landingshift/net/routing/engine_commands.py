"""Tracks commands that the engine has not confirmed, and decides which of these commands are resent.

A command is in doubt if it was sent on a link that broke: the engine might have received the command.
Guarantee: a run command is withheld if it is in doubt and the effect of its RPC must not happen twice. A
withheld command is not resent until the RPC is answered or abandoned. The RPC might therefore be aborted
although it never ran.

Guarantee: a run never gets the reply to one database call as the reply to another. The command that passes a
reply to a run does not say which call the reply is for. If the run has received the reply and asks for its
next call, it would take a resent reply for the reply to that call, so a reply in doubt is never resent. The
run continues without the call if the reply was lost and the call can be skipped. If the call is required, the
RPC of a lost reply is aborted at its deadline.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from landingshift.admission.interface import Idempotency
from landingshift.net.protocol import engine as wire
from landingshift.net.routing.rpc_record import RoutedRpc


class CommandKind(Enum):
    """What a command asks the engine to do. The numeric values are stored."""

    START_RUN = 1
    """Start the RPC's run. The engine ignores the command while the run is in progress."""
    FEED_REPLY = 2
    """Pass the reply to a database call to the run. The command does not say which call the reply is for."""
    SKIP_CALL = 3
    """Continue the run without the call that a notice asked for. The command names the notice, so it has no
    effect on any other call of the run."""


@dataclass(slots=True, eq=False)
class EngineCommand:
    """A command for an RPC. The command is tracked until the engine has confirmed it."""

    rpc: RoutedRpc
    data: bytes
    kind: CommandKind
    stream_end: int = -1  # offset in the link's output stream at which the command ends; -1 if not written
    is_in_doubt: bool = False  # sent on a link that broke, so the engine might have received it
    is_withheld: bool = False  # not resent until the RPC is answered or abandoned
    on_known: Callable[[], None] | None = None  # called once the command is confirmed without a refusal

    @property
    def is_unsafe_to_resend(self) -> bool:
        """Return whether resending the command could repeat the effect of its RPC.

        The engine might have received the command on the lost link and completed the run in the meantime.
        Resending counts as safe if the RPC is idempotent or already answered.
        """
        may_run_again = self.rpc.method.idempotency is Idempotency.IDEMPOTENT or self.rpc.is_answered
        return self.kind is CommandKind.START_RUN and self.is_in_doubt and not may_run_again

    @property
    def is_reply_in_doubt(self) -> bool:
        """Return whether the command passes a reply to a run that might have received it already."""
        return self.kind is CommandKind.FEED_REPLY and self.is_in_doubt


def start_run_command(rpc: RoutedRpc) -> EngineCommand:
    """Returns the command that starts the RPC's run."""
    return EngineCommand(rpc, wire.encode_run(rpc.rpc_id, rpc.method_name, rpc.body), CommandKind.START_RUN)


def feed_reply_command(rpc: RoutedRpc, reply: bytes) -> EngineCommand:
    """Returns the command that passes the reply to the latest database call of the RPC's run to the run."""
    return EngineCommand(rpc, wire.encode_call_reply(rpc.rpc_id, reply), CommandKind.FEED_REPLY)


def skip_call_command(rpc: RoutedRpc) -> EngineCommand:
    """Returns the command that continues the RPC's run without the latest database call of the run."""
    data = wire.encode_skip_call(rpc.rpc_id, rpc.call_notice_number)
    return EngineCommand(rpc, data, CommandKind.SKIP_CALL)


def known_query_command(rpc: RoutedRpc, on_known: Callable[[], None]) -> EngineCommand:
    """Returns the query whether the engine knows the RPC; see `EngineLink.query_known`."""
    data = wire.encode_skip_call(rpc.rpc_id, wire.NO_NOTICE_NUMBER)
    return EngineCommand(rpc, data, CommandKind.SKIP_CALL, on_known=on_known)


@dataclass(frozen=True, slots=True)
class ResendCounts:
    """The number of unconfirmed commands when a new link became ready.

    Attributes:
        open: Commands that the engine might not have received, including those that are not resent.
        replies_in_doubt: Replies to database calls among them that the engine might have received.
    """

    open: int
    replies_in_doubt: int


class UnconfirmedCommands:
    """Tracks the commands for RPCs in flight until the engine has confirmed them.

    An RPC is in flight until the admission controller releases it. A command is in doubt if it was sent on a
    link that broke, since the engine might have received it. A run command in doubt is withheld if resending
    it could repeat the effect of its RPC.

    Attributes:
        queue: The commands that are not withheld, oldest first. A command that was replaced by a later
            command for the same RPC stays in the queue until it is confirmed or a new link is ready.
        latest: The latest unconfirmed command of each RPC in flight, including withheld ones.
    """

    def __init__(self) -> None:
        self.queue: deque[EngineCommand] = deque()
        self.latest: dict[RoutedRpc, EngineCommand] = {}

    def add(self, command: EngineCommand) -> None:
        """Adds a command; an earlier command for the same RPC will not be resent."""
        self.latest[command.rpc] = command
        self.queue.append(command)

    def forget(self, rpc: RoutedRpc) -> None:
        """Stops tracking the RPC's latest command, which the engine has received or no longer needs."""
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
        """Marks a command as in doubt if it ends within the first `sent_bytes` of the lost link's output."""
        for command in self.queue:
            command.is_in_doubt = command.is_in_doubt or 0 <= command.stream_end <= sent_bytes
            command.stream_end = -1

    def prepare_resend(self) -> ResendCounts:
        """Reduces the queue to the commands that are to be sent on a new link.

        Replaced and forgotten commands are dropped. Commands that are unsafe to resend become withheld.
        Replies in doubt are replaced by commands that skip their calls, or dropped if their calls are
        required.
        """
        open_commands = [command for command in self.queue if self.latest.get(command.rpc) is command]
        self.queue.clear()
        for command in open_commands:
            if command.is_reply_in_doubt:
                self._replace_reply(command)
                continue
            command.is_withheld = command.is_unsafe_to_resend
            if not command.is_withheld:
                self.queue.append(command)
        replies_in_doubt = sum(command.is_reply_in_doubt for command in open_commands)
        return ResendCounts(len(open_commands), replies_in_doubt)

    def _replace_reply(self, reply: EngineCommand) -> None:
        """Replaces a reply in doubt by the command that skips its call; drops it if the call is required.

        The replacement has no effect on a run that has received the reply, because it names the call.
        """
        self.forget(reply.rpc)
        if reply.rpc.method.can_skip_call:
            self.add(skip_call_command(reply.rpc))

    def has_written(self) -> bool:
        """Return whether any command in the queue was written on the present link."""
        return any(command.stream_end >= 0 for command in self.queue)

    def has_query(self) -> bool:
        """Return whether any command in the queue is a query by `EngineLink.query_known`."""
        return any(command.on_known is not None for command in self.queue)

    def is_query(self, rpc: RoutedRpc) -> bool:
        """Return whether the RPC's latest command is a query by `EngineLink.query_known`."""
        command = self.latest.get(rpc)
        return command is not None and command.on_known is not None
