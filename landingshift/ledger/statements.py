"""A tenant's statement for a period, as JSON and CSV whose lines add up to the total."""

from __future__ import annotations

import csv
import io
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from decimal import Decimal
from itertools import groupby
from typing import Any

from landingshift.ledger.book import Refused
from landingshift.ledger.entries import Correction, Kind, Opened, Resolved, Settled, Use, decode, pairs
from landingshift.ledger.names import shown
from landingshift.ledger.prices import Charge, Plan, charges
from landingshift.ledger.store import Store


@dataclass(slots=True)
class Statement:
    tenant: str
    period: str
    closed: bool
    currency: str
    charges: list[Charge]
    corrections: list[Correction]
    total: Decimal
    uses: int


def statements(store: Store, plan: Plan, period: str, tenant: bytes | None = None) -> Iterator[Statement]:
    """One a tenant with anything in the period, in the order of names, one in memory at a time."""
    name = store.book.period(period).name
    closed = store.db.execute("SELECT 1 FROM closed WHERE period = ?", (name,)).fetchone() is not None
    corrected: dict[bytes, list[Correction]] = {}
    for (data,) in store.db.execute(
        "SELECT e.data FROM corrections c JOIN entries e USING(number) WHERE period = ?", (name,)
    ):
        entry = decode(Kind.CORRECTION, data)
        assert isinstance(entry, Correction)
        corrected.setdefault(store.named(entry.tenant), []).append(entry)
    for who, totals in groupby(store.totals(name), key=lambda total: total[1]):
        if tenant is not None and who != tenant:
            continue
        rows = list(totals)
        lines, fixes = charges(plan, who, rows), corrected.get(who, [])
        amounts = [line.amount for line in lines] + [plan.rounded(Decimal(c.amount or 0)) for c in fixes]
        yield Statement(
            shown(who),
            name,
            closed,
            plan.currency,
            lines,
            fixes,
            sum(amounts, Decimal(0)),
            sum(row[3] for row in rows),
        )


def as_json(one: Statement) -> dict[str, Any]:
    return {
        "tenant": one.tenant,
        "period": one.period,
        "closed": one.closed,
        "currency": one.currency,
        "uses": one.uses,
        "lines": [
            {
                "name": c.name,
                "unit": c.unit,
                "quantity": str(c.quantity),
                "free": str(c.free),
                "amount": str(c.amount),
                "late": {k: str(v) for k, v in c.late.items()},
            }
            for c in one.charges
        ]
        + [
            {
                "name": "correction",
                "unit": "",
                "quantity": str(c.uses),
                "free": "0",
                "amount": c.amount or "0",
                "late": {c.belongs: str(c.uses)},
                "reason": c.reason,
                "who": c.who,
            }
            for c in one.corrections
        ],
        "total": str(one.total),
    }


def story(store: Store, number: int) -> Iterator[str]:
    """What an entry says, and of a use what became of it. Raises Refused for none."""
    row = store.db.execute("SELECT kind, data, hash FROM entries WHERE number = ?", (number,)).fetchone()
    if row is None:
        raise Refused(f"{number}: there is no such entry")
    entry = decode(row[0], row[1])
    yield f"entry {number}: {Kind(row[0]).name.lower()}, hash {bytes(row[2]).hex()}"
    if not isinstance(entry, Use):
        yield str(entry)
        return
    at = datetime.fromtimestamp(entry.at / 1000.0, store.calendar.zone)
    yield f"{shown(store.named(entry.tenant))} {shown(store.named(entry.method))} at {at.isoformat()}"
    yield f"{entry.work / 1000.0:g} ms of work, {entry.size_in} bytes in, {entry.size_out} out"
    yield f"identity {entry.identity.hex()}, period {store.calendar.at(entry.at).name}"
    fates = ("counted", "a repeat of one counted before", "void: the answer never left whole", "disputed")
    for other, kind, data, _ in store.rows(number):
        later = decode(kind, data)
        match later:
            case Settled():
                spans = (later.counted, later.repeats, later.void, later.disputed)
                words = [word for word, span in zip(fates, spans, strict=True) if within(span, number)]
            case Resolved():
                words = [
                    f"{word} by {later.who}: {later.reason}"
                    for word, span in (("billed", later.billed), ("waived", later.waived))
                    if within(span, number)
                ]
            case Opened():
                words = ["disputed: the server ended before it was known"] * within(later.disputed, number)
            case _:
                words = []
        for word in words:
            yield f"entry {other}: {word}"
            if "disputed" not in word:
                return
    yield "nothing is known of its answer yet"


def within(spans: list[int], number: int) -> bool:
    return any(first <= number < first + count for first, count in pairs(spans))


HEAD = ["tenant", "period", "line", "unit", "quantity", "free", "amount", "currency", "belongs", "reason"]


def as_csv(one: Statement, head: bool) -> str:
    out = io.StringIO()
    rows = csv.writer(out, lineterminator="\n")
    if head:
        rows.writerow(HEAD)
    for c in one.charges:
        late = " ".join(f"{k}={v}" for k, v in c.late.items())
        rows.writerow(
            [one.tenant, one.period, c.name, c.unit, c.quantity, c.free, c.amount, one.currency, late, ""]
        )
    for fix in one.corrections:
        rows.writerow(
            [
                one.tenant,
                one.period,
                "correction",
                "",
                fix.uses,
                0,
                fix.amount or 0,
                one.currency,
                fix.belongs,
                fix.reason,
            ]
        )
    rows.writerow([one.tenant, one.period, "total", "", "", "", one.total, one.currency, "", ""])
    return out.getvalue()
