"""Reads the wall clock, the boot id and the uptime of the machine.

Tests can change them by environment variables: `LANDINGSHIFT_CLOCK=-60000` sets the wall clock back by
60,000 ms, and `LANDINGSHIFT_BOOT=id:ms` replaces the boot id and the uptime.
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
    """The current boot of the machine.

    Attributes:
        boot_id: The kernel's id of this boot; empty if the system provides none.
        uptime_ms: The time since the boot.
    """

    boot_id: str
    uptime_ms: float


def wall_clock_ms() -> float:
    """Returns the Unix time in ms, shifted by `LANDINGSHIFT_CLOCK` if that is set."""
    return time.time() * 1000.0 + _CLOCK_SHIFT_MS


def system_boot() -> SystemBoot:
    """Returns the current boot; the id is empty and the uptime 0 if the system does not provide them."""
    if _BOOT_OVERRIDE:
        boot_id, _, uptime_ms = _BOOT_OVERRIDE.partition(":")
        return SystemBoot(boot_id, float(uptime_ms or 0.0))
    try:
        with Path(BOOT_ID_PATH).open() as file:
            boot_id = file.read(MAX_BOOT_ID_LENGTH).strip()
        return SystemBoot(boot_id, time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0)
    except (OSError, AttributeError):  # no /proc or no CLOCK_BOOTTIME on this system
        return SystemBoot("", 0.0)
