"""Totals of usage, and the digests of totals that the ledger's entries contain."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b

from msgspec import Struct

from landingshift.ledger.entries import HASH_BYTES, encode


class UsageTotals(Struct, frozen=True):
    """Sums over usage records; corrections may make them negative."""

    uses: int = 0
    """Number of RPCs."""
    work_us: int = 0
    """Run time on the engine."""
    bytes_in: int = 0
    """Size of the request bodies."""
    bytes_out: int = 0
    """Size of the results."""

    def __add__(self, other: UsageTotals) -> UsageTotals:
        """Adds two totals field by field."""
        return UsageTotals(
            self.uses + other.uses,
            self.work_us + other.work_us,
            self.bytes_in + other.bytes_in,
            self.bytes_out + other.bytes_out,
        )

    def __neg__(self) -> UsageTotals:
        """Negates all fields; adding the result removes these totals from a sum."""
        return UsageTotals(-self.uses, -self.work_us, -self.bytes_in, -self.bytes_out)

    def as_row(self) -> tuple[int, int, int, int]:
        """Returns the values in the order of the stored columns."""
        return self.uses, self.work_us, self.bytes_in, self.bytes_out


ZERO_TOTALS = UsageTotals()


class TotalsKey(Struct, frozen=True, order=True):
    """Key of a total; the fields have the order of the stored columns."""

    period: str
    """Period in which the usage is billed."""
    service_period: str
    """Period in which the usage occurred, if it differs from `period`; else empty."""
    tenant_number: int
    """Entry number of the tenant's name, or in a merged ledger the row ID of the name."""
    method_number: int
    """Entry number of the method's name, or in a merged ledger the row ID of the name."""

    def as_row(self) -> tuple[str, str, int, int]:
        """Returns the values in the order of the stored columns."""
        return self.period, self.service_period, self.tenant_number, self.method_number


class TenantTotals(Struct, frozen=True):
    """Totals of one tenant and method in a period, with their names instead of entry numbers."""

    period: str
    """Period in which the usage is billed."""
    service_period: str
    """Period in which the usage occurred, if it differs from `period`; else empty."""
    tenant: bytes
    method: bytes
    totals: UsageTotals


class PeriodSummary(Struct, frozen=True):
    """Totals of a period over all tenants and methods."""

    name: str
    totals: UsageTotals
    is_closed: bool


Totals = dict[TotalsKey, UsageTotals]


def sum_by_period(totals: Mapping[TotalsKey, UsageTotals]) -> dict[str, UsageTotals]:
    """Returns the totals of each period, in the order in which the periods first occur in `totals`."""
    sums: dict[str, UsageTotals] = {}
    for key, usage in totals.items():
        sums[key.period] = sums.get(key.period, ZERO_TOTALS) + usage
    return sums


def period_digest(totals: Mapping[TotalsKey, UsageTotals]) -> bytes:
    """Returns a digest of the totals of a single period; their order does not matter."""
    return _digest((*key.as_row()[1:], *usage.as_row()) for key, usage in totals.items())


def baseline_digest(totals: Mapping[TotalsKey, UsageTotals]) -> bytes:
    """Returns a digest of the totals of any periods; their order does not matter."""
    return _digest((*key.as_row(), *usage.as_row()) for key, usage in totals.items())


def _digest(rows: Iterable[tuple[object, ...]]) -> bytes:
    digest = blake2b(digest_size=HASH_BYTES)
    for row in sorted(map(encode, rows)):
        digest.update(row)
    return digest.digest()
