"""For how long a lender that starts must keep to what is claimed from it. Pure.

It knows nothing of what its earlier self granted, which may be believed in for one lease. After a power cut
there is nothing to wait for: an earlier self that ended before this machine was started granted its last
before that. That it did is known from the mark that it left: the boot in which it ran. A mark of this boot,
or none, proves nothing.
"""

from __future__ import annotations

from landingshift.system_clock import SystemBoot


def recovery_grace_ms(kept: float, now: SystemBoot, marked: str) -> float:
    """ms; `kept` is how long a grant is booked, `marked` the boot of its earlier self, "" for none."""
    if not marked or not now.boot_id or marked == now.boot_id:
        return kept
    return min(kept, max(0.0, kept - now.uptime_ms))
