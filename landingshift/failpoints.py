"""Failpoints: named points in the code at which a test kills or delays a process.

The test then checks that the next process recovers from the state that was left behind. Environment variables
set failpoints for the whole process:

- `LANDINGSHIFT_CRASH=name` kills the process at the named failpoint; `name:3` does so at the third visit.
- `LANDINGSHIFT_CRASH_ONCE=path` limits this to one process, which creates the file before it is killed; while
  the file exists, no process is killed.
- `LANDINGSHIFT_SLOW=name:200` delays the process by 200 ms at each visit to the named failpoint.

Tests that simulate a crash within one process call `arm`; `reach` then raises `SimulatedCrashError`. If no
failpoint is set, `reach` costs two string comparisons.
"""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Mapping

CRASH_VARIABLE = "LANDINGSHIFT_CRASH"
CRASH_ONCE_VARIABLE = "LANDINGSHIFT_CRASH_ONCE"
SLOW_VARIABLE = "LANDINGSHIFT_SLOW"


class SimulatedCrashError(BaseException):
    """Raised at an armed failpoint instead of killing the process.

    It derives from BaseException, so that no handler of ordinary exceptions catches it.

    Attributes:
        failpoint: The name of the failpoint that was reached.
    """

    def __init__(self, failpoint: str) -> None:
        super().__init__(failpoint)
        self.failpoint = failpoint


class Failpoints:
    """The crash and the delay that are set for failpoints of one process; an empty name sets none.

    Args:
        crash_name: The failpoint at which the process is killed.
        crash_visit: The number of the visit to `crash_name` at which the process is killed, counted from 1.
        crash_marker_path: A file that the process creates before it is killed; if the file exists already,
            the process is not killed. If empty, the process is killed in any case.
        slow_name: The failpoint at which the process is delayed.
        delay_ms: The delay at each visit to `slow_name`.
    """

    __slots__ = (
        "_crash_marker_path",
        "_crash_name",
        "_delay_seconds",
        "_raises_instead_of_kill",
        "_slow_name",
        "_visits_left",
    )

    def __init__(
        self,
        crash_name: str = "",
        crash_visit: int = 1,
        crash_marker_path: str = "",
        slow_name: str = "",
        delay_ms: float = 0.0,
    ) -> None:
        self._crash_name = crash_name
        self._visits_left = crash_visit
        self._crash_marker_path = crash_marker_path
        self._slow_name = slow_name
        self._delay_seconds = delay_ms / 1000.0
        self._raises_instead_of_kill = False

    @classmethod
    def from_environment(cls, environment: Mapping[str, str]) -> Failpoints:
        """Returns the failpoints that the environment variables set.

        Raises:
            ValueError: The visit or the delay is not a number.
        """
        crash_name, _, visit = environment.get(CRASH_VARIABLE, "").partition(":")
        slow_name, _, delay_ms = environment.get(SLOW_VARIABLE, "").partition(":")
        return cls(
            crash_name=crash_name,
            crash_visit=int(visit or 1),
            crash_marker_path=environment.get(CRASH_ONCE_VARIABLE, ""),
            slow_name=slow_name,
            delay_ms=float(delay_ms or 0.0),
        )

    def arm(self, name: str, crash_visit: int = 1) -> None:
        """Makes `reach` raise SimulatedCrashError at the given visit to `name`; an empty name disarms it."""
        self._crash_name = name
        self._visits_left = crash_visit
        self._raises_instead_of_kill = True

    def reach(self, name: str) -> None:
        """Marks the failpoint `name` in the code.

        Delays or kills the process, or raises SimulatedCrashError, if this is set for `name`.
        """
        if name == self._slow_name:
            time.sleep(self._delay_seconds)
        if name == self._crash_name:
            self._crash_if_due(name)

    def _crash_if_due(self, name: str) -> None:
        self._visits_left -= 1
        if self._visits_left != 0:
            return
        if self._raises_instead_of_kill:
            raise SimulatedCrashError(name)
        if self._crash_marker_path and not _create_marker(self._crash_marker_path):
            return
        os.kill(os.getpid(), signal.SIGKILL)


def _create_marker(path: str) -> bool:
    """Creates an empty file; returns False if it exists already."""
    try:
        os.close(os.open(path, os.O_CREAT | os.O_EXCL))
    except FileExistsError:
        return False
    return True


_process_failpoints = Failpoints.from_environment(os.environ)
# Bound once, so that a call needs no lookup of the method.
reach = _process_failpoints.reach
arm = _process_failpoints.arm
