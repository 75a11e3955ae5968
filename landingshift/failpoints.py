"""Failpoints: named places at which a test ends or delays a process, to see what its successor finds.

Environment variables set them for the whole process:

- `LANDINGSHIFT_CRASH=name` kills the process at the failpoint of that name; `name:3` at the third visit.
- `LANDINGSHIFT_CRASH_ONCE=path` lets only the first process that gets there die; it creates the file.
- `LANDINGSHIFT_SLOW=name:200` waits 200 ms each time the failpoint is reached.

Tests that walk through failpoints within one process call `arm`; `reach` then raises `SimulatedCrashError`.
With nothing set, `reach` costs two comparisons of strings.
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
    """Raised in place of a kill at an armed failpoint.

    It derives from BaseException so that no handler of ordinary errors survives the crash.

    Attributes:
        failpoint: The name of the failpoint that was reached.
    """

    def __init__(self, failpoint: str) -> None:
        super().__init__(failpoint)
        self.failpoint = failpoint


class Failpoints:
    """What happens at which failpoint of one process; an empty name stands for no failpoint.

    Args:
        crash_name: The failpoint at which the process dies.
        crash_visit: At which visit it dies, counted from 1.
        crash_marker_path: A file that the dying process creates; where it exists already, nobody dies. Empty
            for none.
        slow_name: The failpoint at which the process waits.
        delay_ms: How long it waits there.
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
        """Returns what the environment variables set.

        Raises:
            ValueError: For a count or a delay that is no number.
        """
        crash_name, _, visits = environment.get(CRASH_VARIABLE, "").partition(":")
        slow_name, _, delay_ms = environment.get(SLOW_VARIABLE, "").partition(":")
        return cls(
            crash_name=crash_name,
            crash_visit=int(visits or 1),
            crash_marker_path=environment.get(CRASH_ONCE_VARIABLE, ""),
            slow_name=slow_name,
            delay_ms=float(delay_ms or 0.0),
        )

    def arm(self, name: str, crash_visit: int = 1) -> None:
        """Lets `reach` raise SimulatedCrashError at the given visit of a failpoint; an empty name disarms."""
        self._crash_name = name
        self._visits_left = crash_visit
        self._raises_instead_of_kill = True

    def reach(self, name: str) -> None:
        """Waits, dies or raises where that is set for this failpoint; else does nothing."""
        if name == self._slow_name:
            time.sleep(self._delay_seconds)
        if name == self._crash_name:
            self._on_crash_point_reached(name)

    def _on_crash_point_reached(self, name: str) -> None:
        self._visits_left -= 1
        if self._visits_left != 0:
            return
        if self._raises_instead_of_kill:
            raise SimulatedCrashError(name)
        if self._crash_marker_path and not _create_marker(self._crash_marker_path):
            return
        os.kill(os.getpid(), signal.SIGKILL)


def _create_marker(path: str) -> bool:
    """Creates an empty file; False where it is there already, whoever made it."""
    try:
        os.close(os.open(path, os.O_CREAT | os.O_EXCL))
    except FileExistsError:
        return False
    return True


_process_failpoints = Failpoints.from_environment(os.environ)
# Bound once: a call costs no more than that of a function.
reach = _process_failpoints.reach
arm = _process_failpoints.arm
