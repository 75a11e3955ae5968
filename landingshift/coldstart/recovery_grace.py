"""Recovery grace period: time after a grantor's start in which it grants no more than holders claim to have.

A grantor that starts does not know the grants of its previous process, which holders can use until they
expire. If the machine has booted since then, the previous process made its last grant before the boot, so the
time since the boot counts towards the grace period. The previous process stored its boot id on disk: if this
id differs from the present one, the machine has booted. If they are equal or one is missing, the whole
reservation period applies.

Guarantee: a restart of the grantor never lets the sum of all leases exceed the capacity.
Failure mode: if the disk is moved to another machine, its boot id differs although the previous process may
still run, so the grace period may be too short.
"""

from __future__ import annotations

from landingshift.system_clock import SystemBoot


def recovery_grace_ms(reservation_ms: float, current_boot: SystemBoot, last_boot_id: str) -> float:
    """Return the length of the recovery grace period in ms, counted from the start of this process.

    Args:
        reservation_ms: Time for which a grant of the previous process stays reserved.
        current_boot: Boot in which this process runs.
        last_boot_id: Id of the boot in which the previous process ran, empty if unknown.
    """
    if not last_boot_id or not current_boot.boot_id or last_boot_id == current_boot.boot_id:
        return reservation_ms
    return min(reservation_ms, max(0.0, reservation_ms - current_boot.uptime_ms))
