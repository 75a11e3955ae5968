"""Failpoints: named places at which a test may end the process, to see what its successor finds.

`LANDINGSHIFT_CRASH=name` or `name:3` (the third time) kills the process there; `LANDINGSHIFT_SLOW=name:200`
waits so many ms each time. With `LANDINGSHIFT_CRASH_ONCE=path` only the first process that gets there dies,
and leaves the file. Unset, `reach` looks at two empty values. `LANDINGSHIFT_CLOCK=-60000` sets the wall
clock that packages read through `wall` so many ms back. `LANDINGSHIFT_HISTORY=path` names a file to which
`note` adds what was believed and decided, for a checker that knows promises only. `LANDINGSHIFT_BOOT=id:ms`
stands for the boot of the machine and how long it is up.
"""

from __future__ import annotations

import os
import signal
import time

crash, _, _times = os.environ.get("LANDINGSHIFT_CRASH", "").partition(":")
left = int(_times or 1)
mark = os.environ.get("LANDINGSHIFT_CRASH_ONCE", "")
slow, _, _ms = os.environ.get("LANDINGSHIFT_SLOW", "").partition(":")
pause = float(_ms or 0.0) / 1000.0
ahead = float(os.environ.get("LANDINGSHIFT_CLOCK", "") or 0.0)
booted = os.environ.get("LANDINGSHIFT_BOOT", "")
history = os.environ.get("LANDINGSHIFT_HISTORY", "")


class Crash(BaseException):
    """Raised in place of a kill by tests that walk through the failpoints within one process."""


inside = False  # set by such tests: raise, do not kill


def arm(name: str, times: int = 1) -> None:
    """Raises `Crash` at the point of this name the `times`-th time; an empty name disarms."""
    global crash, left, inside
    crash, left, inside = name, times, True


def reach(name: str) -> None:
    global left
    if name == slow:
        time.sleep(pause)
    if name == crash:
        left -= 1
        if left == 0:
            if inside:
                raise Crash(name)
            if mark:
                try:
                    os.close(os.open(mark, os.O_CREAT | os.O_EXCL))
                except FileExistsError:
                    return
            os.kill(os.getpid(), signal.SIGKILL)


def wall() -> float:
    """Unix ms."""
    return time.time() * 1000.0 + ahead


def boot() -> tuple[str, float]:
    """The system's name for this start of the machine, "" where it has none, and ms since then."""
    if booted:
        name, _, ms = booted.partition(":")
        return name, float(ms or 0.0)
    try:
        with open("/proc/sys/kernel/random/boot_id") as file:
            return file.read(64).strip(), time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
    except (OSError, AttributeError):
        return "", 0.0


def note(what: str, *values: object) -> None:
    """One line of the history: monotonic ms, which all processes of a machine share, and what was so then."""
    if history:
        with open(history, "a") as file:
            file.write(repr((time.monotonic() * 1000.0, what, *values)) + "\n")
