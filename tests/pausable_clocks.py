"""A replacement of the system's clocks that plays a pause of the process between two readings of them."""

from __future__ import annotations

import socket
import time
import unittest
from collections.abc import Callable
from math import inf
from selectors import EVENT_READ
from unittest import mock

from landingshift.net.transport.loop import Loop

PAUSE_MS = 600.0
MIN_READINGS = 3  # a pass reads the clocks at least this often


class PausableClocks:
    """The system's clocks; a pause makes both jump ahead before a chosen reading of one of them.

    Attributes:
        on_pause: Called during the pause, once both clocks have advanced.
        has_paused: Whether the pause has happened.
    """

    def __init__(self, case: unittest.TestCase) -> None:
        self._system_monotonic, self._system_unix = time.monotonic, time.time
        self._lead_seconds = 0.0
        self._readings_left = inf
        self.on_pause: Callable[[], None] = lambda: None
        self.has_paused = False
        case.enterContext(mock.patch("time.monotonic", self._monotonic))
        case.enterContext(mock.patch("time.time", self._unix))

    def pause_before_reading(self, number: int) -> None:
        """Pauses before the reading with this number, counted from 1."""
        self._readings_left = number

    def advance(self, duration_ms: float) -> None:
        """Lets time pass."""
        self._lead_seconds += duration_ms / 1000.0

    def cancel_pause(self) -> None:
        """Plays no pause any more."""
        self._readings_left = inf

    def monotonic_ms(self) -> float:
        return (self._system_monotonic() + self._lead_seconds) * 1000.0

    def unix_ms(self) -> float:
        return (self._system_unix() + self._lead_seconds) * 1000.0

    def pause(self) -> None:
        """Pauses now."""
        self.advance(PAUSE_MS)
        self.has_paused = True
        self.on_pause()

    def _count_reading(self) -> None:
        self._readings_left -= 1
        if self._readings_left == 0:
            self.pause()

    def _monotonic(self) -> float:
        self._count_reading()
        return self._system_monotonic() + self._lead_seconds

    def _unix(self) -> float:
        self._count_reading()
        return self._system_unix() + self._lead_seconds


class PauseAfterPoll:
    """Pauses the process in a pass of a loop, after the poll and before other sockets are read."""

    def __init__(self, case: unittest.TestCase, loop: Loop, clocks: PausableClocks) -> None:
        self._clocks = clocks
        self._remote, self._local = socket.socketpair()
        case.addCleanup(self._remote.close)
        case.addCleanup(self._local.close)
        loop.watch(self._local.fileno(), EVENT_READ, self)

    def plan(self) -> None:
        """Makes the next pass pause; sockets that become readable later are read after the pause."""
        self._remote.send(b"p")

    def on_ready(self, _mask: int) -> None:
        """Pauses."""
        self._local.recv(1)
        self._clocks.pause()


class PauseTestCase(unittest.TestCase):
    """Plays tests once for each moment at which a pause in a pass of the loop can matter."""

    def play_each_reading(self, play: Callable[[PausableClocks, int], None], first_reading: int = 1) -> None:
        """Plays a test once for each reading of the clocks in a pass, with new clocks and after all cleanups.

        Args:
            play: Runs a pass that pauses before the reading with the given number, and checks its effects.
            first_reading: The first number; 0 for a test that itself plays another pause for this number.
        """
        reading, has_paused = first_reading - 1, True
        while has_paused:
            reading += 1
            clocks = PausableClocks(self)
            with self.subTest(reading=reading):
                play(clocks, reading)
            has_paused = clocks.has_paused
            self.doCleanups()
        reading_count = reading - 1  # the last play had no reading left to pause before
        self.assertGreaterEqual(reading_count, MIN_READINGS)
