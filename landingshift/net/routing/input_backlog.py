"""Shares the loop among connections that send messages faster than they may be handled.

A connection that has used up its turn in a pass of the loop is not read any more, so that its peer is slowed
down by TCP. Its remaining messages are handled in later passes, in turn with those of other such connections.
So is the input of unverified connections, if many of them send at once.

Guarantee: the messages that wait take a bounded part of each pass, whatever their number. Verified
connections that do not exceed their turn are handled in the pass in which their messages are read.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

from landingshift.net.transport.loop import Loop, Timer

MAX_TURN_TIME_MS = 3.0  # no further turn begins in a pass after this time
MAX_UNVERIFIED_PER_READ = 16  # maximum number of unverified connections that are handled without waiting


class BacklogConnection(Protocol):
    """A connection with received messages that are not handled yet."""

    def handle_input(self) -> None:
        """Handles the messages of one turn; adds the connection to the backlog again if messages are left."""


class InputBacklog:
    """The connections that wait for their next turn, in order.

    Attributes:
        unverified_count: The number of unverified connections that were handled without waiting since the
            sockets were polled for the `counted_read`-th time.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.waiting: deque[BacklogConnection] = deque()
        self.timer: Timer | None = None
        self.counted_read = 0
        self.unverified_count = 0

    def may_handle_unverified(self) -> bool:
        """Returns whether the input of an unverified connection may be handled without waiting; counts it."""
        if self.counted_read != self.loop.read_count:
            self.counted_read = self.loop.read_count
            self.unverified_count = 0
        if self.waiting or self.unverified_count >= MAX_UNVERIFIED_PER_READ:
            return False
        self.unverified_count += 1
        return True

    def add(self, connection: BacklogConnection) -> None:
        """Gives the connection a turn in a later pass of the loop; it must not be waiting already."""
        self.waiting.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if self.timer is None:
            self.timer = self.loop.in_next_pass(self._take_turns)

    def _take_turns(self) -> None:
        """Gives turns to waiting connections, at most one to each, until `MAX_TURN_TIME_MS` have passed."""
        self.timer = None
        ends_ms = self.loop.clock_ms() + MAX_TURN_TIME_MS
        try:
            for _ in range(len(self.waiting)):
                self.waiting.popleft().handle_input()
                if self.loop.clock_ms() >= ends_ms:
                    return
        finally:
            if self.waiting:
                self._schedule()
