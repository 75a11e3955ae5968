"""The machine's wall clock and its boot, as the packages read them; tests can shift or replace both.

`LANDINGSHIFT_CLOCK=-60000` sets the wall clock 60,000 ms back. `LANDINGSHIFT_BOOT=id:ms` stands for the
boot of the machine and how long it has been up.
"""

from __future__ import annotations

import os
import time
from dataclasses import dataclass
from pathlib import Path

CLOCK_SHIFT_VARIABLE = "LANDINGSHIFT_CLOCK"
BOOT_VARIABLE = "LANDINGSHIFT_BOOT"
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"
MAX_BOOT_ID_LENGTH = 64

_CLOCK_SHIFT_MS = float(os.environ.get(CLOCK_SHIFT_VARIABLE, "") or 0.0)
_BOOT_OVERRIDE = os.environ.get(BOOT_VARIABLE, "")


@dataclass(frozen=True, slots=True)
class SystemBoot:
    """This start of the machine.

    Attributes:
        boot_id: What the system calls this boot; empty where the system does not tell.
        uptime_ms: Milliseconds since then.
    """

    boot_id: str
    uptime_ms: float


def wall_clock_ms() -> float:
    """Returns Unix ms."""
    return time.time() * 1000.0 + _CLOCK_SHIFT_MS


def system_boot() -> SystemBoot:
    """Returns the boot that the machine runs in; an empty id and 0 ms where the system does not tell."""
    if _BOOT_OVERRIDE:
        boot_id, _, uptime_ms = _BOOT_OVERRIDE.partition(":")
        return SystemBoot(boot_id, float(uptime_ms or 0.0))
    try:
        with Path(BOOT_ID_PATH).open() as file:
            boot_id = file.read(MAX_BOOT_ID_LENGTH).strip()
        return SystemBoot(boot_id, time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0)
    except (OSError, AttributeError):  # a system without /proc, or without a clock that counts from the boot
        return SystemBoot("", 0.0)
