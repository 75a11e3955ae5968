"""Billing periods in a time zone. All times are arguments in Unix ms; nothing here reads a clock."""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import UTC, date, datetime, timedelta
from typing import Literal
from zoneinfo import ZoneInfo

from msgspec import Struct

from landingshift.ledger.errors import InvalidPeriodError

PeriodUnit = Literal["day", "week", "month"]
_NAME_PATTERNS = {"day": r"(\d{4})-(\d\d)-(\d\d)", "week": r"(\d{4})-W(\d\d)", "month": r"(\d{4})-(\d\d)"}
_EXAMPLE_DAY = date(2026, 3, 2)


@dataclass(frozen=True, slots=True, order=True)
class Period:
    """A billing period."""

    start_ms: int
    """Unix time."""
    end_ms: int
    """Unix time, exclusive."""
    name: str


class PeriodAssignment(Struct, frozen=True):
    """The period in which usage is billed."""

    period: str
    """Name of the period in which the usage is billed."""
    service_period: str
    """Name of the period in which the usage occurred, if it differs from `period`; else empty."""


class BillingCalendar:
    """Divides time into billing periods of one unit, without gaps or overlaps.

    Periods start at local midnight, so that a day lasts 23 or 25 hours when clocks change.
    """

    def __init__(self, time_zone: str, unit: PeriodUnit) -> None:
        self.time_zone = ZoneInfo(time_zone)
        self.unit = unit
        self._latest = Period(0, 0, "")  # cache: consecutive usage is mostly in the same period

    def period_at(self, at_ms: int) -> Period:
        """Returns the period that contains a time."""
        if not self._latest.start_ms <= at_ms < self._latest.end_ms:
            local_time = datetime.fromtimestamp(at_ms / 1000.0, UTC).astimezone(self.time_zone)
            self._latest = self._period_of_day(local_time.date())
        return self._latest

    def assign(self, at_ms: int, closed_end_ms: int) -> PeriodAssignment:
        """Decides in which period usage is billed: the one in which it occurred, or the first open one.

        A closed period never changes, so usage settled after the close is billed in the first open period.
        The assignment then also names the period in which the usage occurred.

        Args:
            at_ms: Unix time at which the usage occurred.
            closed_end_ms: End of the last closed period at the time when the usage was settled.
        """
        service_period = self.period_at(at_ms).name
        if at_ms >= closed_end_ms:
            return PeriodAssignment(service_period, "")
        return PeriodAssignment(self.period_at(closed_end_ms).name, service_period)

    def period_named(self, name: str) -> Period:
        """Returns the period with this name.

        Raises:
            InvalidPeriodError: The name is not the name of a period of the calendar's unit.
        """
        match = re.fullmatch(_NAME_PATTERNS[self.unit], name)
        if match is None:
            raise self._invalid(name)
        parts = [int(part) for part in match.groups()]
        try:
            if self.unit == "week":
                day = date.fromisocalendar(parts[0], parts[1], 1)
            else:
                day = date(parts[0], parts[1], parts[2] if self.unit == "day" else 1)
        except ValueError as err:
            raise self._invalid(name) from err
        return self._period_of_day(day)

    def following(self, period: Period) -> Period:
        """Returns the period after this one."""
        return self.period_at(period.end_ms)

    def _invalid(self, name: str) -> InvalidPeriodError:
        return InvalidPeriodError(name, self.unit, self._name_of(_EXAMPLE_DAY))

    def _period_of_day(self, day: date) -> Period:
        if self.unit == "day":
            first = day
            following = day + timedelta(days=1)
        elif self.unit == "week":
            first = day - timedelta(days=day.weekday())
            following = first + timedelta(days=7)
        else:
            first = day.replace(day=1)
            following = (first + timedelta(days=32)).replace(day=1)
        return Period(self._midnight_ms(first), self._midnight_ms(following), self._name_of(first))

    def _midnight_ms(self, day: date) -> int:
        # If a clock change skips midnight, the day starts at the change; fold 0 gives exactly that instant.
        midnight = datetime(day.year, day.month, day.day, tzinfo=self.time_zone)
        return int(midnight.timestamp() * 1000.0)

    def _name_of(self, day: date) -> str:
        if self.unit == "day":
            return day.isoformat()
        if self.unit == "week":
            year, week, _ = day.isocalendar()
            return f"{year}-W{week:02d}"
        return f"{day.year:04d}-{day.month:02d}"
