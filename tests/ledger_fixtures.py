"""Builders of usage records, corrections and price plans for the ledger tests."""

import tempfile
from pathlib import Path

from landingshift.ledger.price_plan import PricePlan, load_price_plan
from landingshift.ledger.store_messages import ReportedUsage
from landingshift.ledger.totals import TenantTotals, UsageTotals
from landingshift.ledger.usage_ledger import CorrectionRequest

PLAN_TOML = """
currency = "EUR"
default = "standard"
[tenants]
gold = "free"
[[plans.standard]]
name = "climbs"
unit = "rpc"
methods = ["climb"]
price = 0.005
[[plans.standard]]
name = "RPCs"
unit = "rpc"
free = 10
tiers = [{ upto = 100, price = 0.01 }, { price = 0.001 }]
[[plans.standard]]
name = "work"
unit = "work_s"
price = 0.1
[[plans.free]]
name = "RPCs"
unit = "rpc"
price = 0
"""


def usage(
    sequence: int = 0, at_ms: int = 1000, identity: bytes = b"i" * 16, tenant: bytes = b"t"
) -> ReportedUsage:
    return ReportedUsage(sequence, at_ms, tenant, b"m", 5000, 10, 20, identity)


def tenant_totals(
    method: bytes, uses: int, work_us: int = 0, service_period: str = "", tenant: bytes = b"t"
) -> TenantTotals:
    return TenantTotals("2026-11", service_period, tenant, method, UsageTotals(uses, work_us))


def correction_request(
    uses: int = 0,
    service_period: str = "1970-01-01",
    amount: str = "",
    reason: str = "complaint",
    tenant: bytes = b"t",
) -> CorrectionRequest:
    return CorrectionRequest(tenant, b"m", service_period, uses, 0, amount, reason, author="operator")


def price_plan(text: str = PLAN_TOML) -> PricePlan:
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory, "plan.toml")
        path.write_text(text)
        return load_price_plan(str(path))
