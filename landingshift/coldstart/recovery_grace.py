"""For how long a grantor that starts must grant no more than is claimed from it. Pure.

It knows nothing of the grants of its earlier process, which may be used for one lease. After a power cut
there is nothing to wait for: a process that ended before this machine was booted made its last grant before
that. That it did is known from the id of the boot in which it ran, which it left on disk. The id of this
boot, or none, proves nothing.

Guarantee: the sum of all leases never passes the capacity through a restart of the grantor.
Failure mode: a disk that is moved to another machine brings a boot id that proves too much while the
old process may still run.
"""

from __future__ import annotations

from landingshift.system_clock import SystemBoot


def recovery_grace_ms(booking_ms: float, current_boot: SystemBoot, last_boot_id: str) -> float:
    """How long the grantor must wait.

    Args:
        booking_ms: How long a grant of the earlier process is booked.
        current_boot: The boot in which this process runs.
        last_boot_id: The boot of the earlier process, empty where it is unknown.
    """
    if not last_boot_id or not current_boot.boot_id or last_boot_id == current_boot.boot_id:
        return booking_ms
    return min(booking_ms, max(0.0, booking_ms - current_boot.uptime_ms))
