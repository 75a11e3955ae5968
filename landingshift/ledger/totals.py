"""Sums of usage and the digests that stand for them in the chain."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b

from msgspec import Struct

from landingshift.ledger.entries import HASH_BYTES, encode


class UsageTotals(Struct, frozen=True):
    """Sums of usage; corrections may make them negative."""

    uses: int = 0
    work_us: int = 0
    bytes_in: int = 0
    bytes_out: int = 0

    def __add__(self, other: UsageTotals) -> UsageTotals:
        """The sum, field by field."""
        return UsageTotals(
            self.uses + other.uses,
            self.work_us + other.work_us,
            self.bytes_in + other.bytes_in,
            self.bytes_out + other.bytes_out,
        )

    def __neg__(self) -> UsageTotals:
        """What takes these totals back."""
        return UsageTotals(-self.uses, -self.work_us, -self.bytes_in, -self.bytes_out)

    def as_row(self) -> tuple[int, int, int, int]:
        """Returns the values in the order of the stored columns."""
        return self.uses, self.work_us, self.bytes_in, self.bytes_out


ZERO_TOTALS = UsageTotals()


class TotalsKey(Struct, frozen=True, order=True):
    """What usage is summed up by, in the order of the stored columns."""

    period: str
    """The period in which the usage counts."""
    service_period: str
    """The period in which it was rendered, where that is another one; else empty."""
    tenant_number: int
    method_number: int

    def as_row(self) -> tuple[str, str, int, int]:
        """Returns the values in the order of the stored columns."""
        return self.period, self.service_period, self.tenant_number, self.method_number


class TenantTotals(Struct, frozen=True):
    """Totals of one tenant and method, with names in full."""

    period: str
    service_period: str
    """The period in which the usage was rendered, where that is another one; else empty."""
    tenant: bytes
    method: bytes
    totals: UsageTotals


class PeriodSummary(Struct, frozen=True):
    """A period's totals over all tenants and methods."""

    name: str
    totals: UsageTotals
    is_closed: bool


Totals = dict[TotalsKey, UsageTotals]


def sum_by_period(totals: Mapping[TotalsKey, UsageTotals]) -> dict[str, UsageTotals]:
    """Totals of each period, in the order in which the periods occur."""
    sums: dict[str, UsageTotals] = {}
    for key, usage in totals.items():
        sums[key.period] = sums.get(key.period, ZERO_TOTALS) + usage
    return sums


def period_digest(totals: Mapping[TotalsKey, UsageTotals]) -> bytes:
    """Digest of one period's totals, whatever their order."""
    return _digest((*key.as_row()[1:], *usage.as_row()) for key, usage in totals.items())


def baseline_digest(totals: Mapping[TotalsKey, UsageTotals]) -> bytes:
    """Digest of the totals of all periods, whatever their order."""
    return _digest((*key.as_row(), *usage.as_row()) for key, usage in totals.items())


def _digest(rows: Iterable[tuple[object, ...]]) -> bytes:
    digest = blake2b(digest_size=HASH_BYTES)
    for row in sorted(map(encode, rows)):
        digest.update(row)
    return digest.digest()
