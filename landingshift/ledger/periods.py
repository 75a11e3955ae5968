"""Billing periods in a named time zone. Pure: times are arguments, Unix ms."""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import UTC, date, datetime, timedelta
from typing import Literal
from zoneinfo import ZoneInfo

Unit = Literal["day", "week", "month"]
NAMES = {"day": r"(\d{4})-(\d\d)-(\d\d)", "week": r"(\d{4})-W(\d\d)", "month": r"(\d{4})-(\d\d)"}


class BadPeriod(ValueError):
    """The text says what name was expected."""


@dataclass(frozen=True, slots=True, order=True)
class Period:
    """From `start` to under `end`, Unix ms."""

    start: int
    end: int
    name: str


class Calendar:
    """Periods start at local midnight, so that a day has 23, 24 or 25 hours and none is missed or doubled."""

    def __init__(self, zone: str, unit: Unit) -> None:
        self.zone, self.unit = ZoneInfo(zone), unit
        self.last = Period(0, 0, "")  # most uses fall into the one before's period

    def at(self, ms: int) -> Period:
        if not self.last.start <= ms < self.last.end:
            self.last = self.of(datetime.fromtimestamp(ms / 1000.0, UTC).astimezone(self.zone).date())
        return self.last

    def counts_in(self, at: int, until: int) -> tuple[str, str]:
        """The period in which a use of this time counts, and the one it belongs to where that is another.

        `until`: end of the last period that was closed when it was settled.
        """
        belongs = self.at(at).name
        return (belongs, "") if at >= until else (self.at(until).name, belongs)

    def named(self, name: str) -> Period:
        match = re.fullmatch(NAMES[self.unit], name)
        try:
            if not match:
                raise ValueError(name)
            parts = [int(part) for part in match.groups()]
            if self.unit == "week":
                day = date.fromisocalendar(parts[0], parts[1], 1)
            else:
                day = date(*[*parts, 1][:3])
        except ValueError as err:
            raise BadPeriod(
                f"{name!r} names no {self.unit}; one like {self.name(date(2026, 3, 2))} does"
            ) from err
        return self.of(day)

    def after(self, period: Period) -> Period:
        return self.at(period.end)

    def of(self, day: date) -> Period:
        if self.unit == "day":
            first, last = day, day + timedelta(days=1)
        elif self.unit == "week":
            first = day - timedelta(days=day.weekday())
            last = first + timedelta(days=7)
        else:
            first = day.replace(day=1)
            last = (first + timedelta(days=32)).replace(day=1)
        return Period(self.midnight(first), self.midnight(last), self.name(first))

    def midnight(self, day: date) -> int:
        # Where the clock jumps over midnight, the day starts at the jump: fold 0 gives just that instant.
        return int(datetime(day.year, day.month, day.day, tzinfo=self.zone).timestamp() * 1000.0)

    def name(self, day: date) -> str:
        if self.unit == "day":
            return day.isoformat()
        if self.unit == "week":
            year, week, _ = day.isocalendar()
            return f"{year}-W{week:02d}"
        return f"{day.year:04d}-{day.month:02d}"
