"""Length of the recovery grace period, in which a new grantor process grants no more than holders claim.

A grantor that starts does not know the grants of its previous process. Holders can use those grants until the
grants expire. If the machine has booted since the previous process ran, that process made its last grant
before the boot, so the time since the boot counts towards the grace period. Each grantor process stores its
boot id on disk. If the stored id differs from the present one, the machine has booted. If the ids are equal
or one is missing, the grace period is a whole reservation period.

Guarantee: a restart of the grantor never lets the sum of all leases exceed the capacity.
Failure mode: if the disk is moved to another machine, the boot ids differ although the previous process might
still be running on the old machine. The grace period can then be too short.
"""

from __future__ import annotations

from landingshift.system_clock import SystemBoot


def recovery_grace_ms(reservation_ms: float, current_boot: SystemBoot, last_boot_id: str) -> float:
    """Return the length of the recovery grace period in ms, counted from the start of this process.

    Args:
        reservation_ms: Time for which a grant of the previous process stays reserved.
        current_boot: Present boot of the machine.
        last_boot_id: Boot id of the machine when the previous process ran, empty if unknown.
    """
    if not last_boot_id or not current_boot.boot_id or last_boot_id == current_boot.boot_id:
        return reservation_ms
    return min(reservation_ms, max(0.0, reservation_ms - current_boot.uptime_ms))
