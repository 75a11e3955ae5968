"""Errors of usage metering; each builds its own text and carries what it is about."""

from __future__ import annotations

from landingshift.errors import LandingshiftError


class LedgerError(LandingshiftError):
    """Base of the errors of usage metering."""


class InvalidSettingError(LedgerError, ValueError):
    """A key of the table `[ledger]` has a value that can't be used."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class InvalidPriceError(LedgerError, ValueError):
    """A key of the price plan has a value that can't be used."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class InvalidPricePlanError(LedgerError, ValueError):
    """A file with prices can't be used; the text names file, table and key."""

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class InvalidReceiverUrlError(LedgerError, ValueError):
    """The address of a receiver is none of HTTP."""

    def __init__(self, url: str) -> None:
        super().__init__(f"{url}: an http or https address is expected")
        self.url = url


class ReceiverUnavailableError(LedgerError):
    """No reply that could be read: whether the receiver applied what was sent is unknown."""


class UnknownEntryKindError(LedgerError, ValueError):
    """An entry has a kind that no build has written."""

    def __init__(self, kind: int) -> None:
        super().__init__(f"{kind} is not a valid Kind")
        self.kind = kind


class ReceiverConnectionError(ReceiverUnavailableError):
    """The connection failed, or the reply is none of the protocol."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"{type(cause).__name__}: {cause}")
        self.cause = cause


class UnexpectedStatusError(ReceiverUnavailableError):
    """The receiver replied with a status that the protocol does not know."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


class EmptyReplyError(ReceiverUnavailableError):
    """The receiver's reply says nothing."""

    def __init__(self) -> None:
        super().__init__("an empty reply")


class StoreUnavailableError(LedgerError):
    """A store can't be used; the text names the store and what keeps it from being used."""

    def __init__(self, source: str, problem: object) -> None:
        super().__init__(f"{source}: {problem}")
        self.source = source
        self.problem = problem


class StoreLockedError(StoreUnavailableError):
    """Another server holds the store."""

    def __init__(self, path: str, holder: str) -> None:
        super().__init__(path, f"held by another server (process {holder or 'unknown'})")
        self.holder = holder


class StoreMismatchError(StoreUnavailableError):
    """A store was made with another instance, time zone or period unit."""

    def __init__(self, path: str, key: str, stored: object, expected: object) -> None:
        super().__init__(path, f"its {key} is {stored!r}, not {expected!r}")
        self.key = key
        self.stored = stored
        self.expected = expected


class BrokenChainError(StoreUnavailableError):
    """An entry's hash does not follow from the entry before it."""

    def __init__(self, instance: str, entry_number: int) -> None:
        super().__init__(instance, f"entry {entry_number} is changed, or out of its order")
        self.entry_number = entry_number


class MissingEntryError(StoreUnavailableError):
    """An entry came without the one before it."""

    def __init__(self, instance: str, missing_number: int, entry_number: int) -> None:
        super().__init__(instance, f"entry {missing_number} is missing before {entry_number}")
        self.missing_number = missing_number
        self.entry_number = entry_number


class CommandRejectedError(LedgerError):
    """A command or batch would break a guarantee; the text says which and why. Nothing was changed."""


class InvalidPeriodError(CommandRejectedError, ValueError):
    """A name that names no period of the ledger's unit."""

    def __init__(self, name: str, unit: str, example: str) -> None:
        super().__init__(f"{name!r} names no {unit}; one like {example} does")
        self.name = name
        self.unit = unit


class BatchOutOfOrderError(CommandRejectedError):
    """A batch of the server does not follow the last one that was committed."""

    def __init__(self, batch_number: int, last_batch_number: int) -> None:
        super().__init__(f"batch {batch_number} after {last_batch_number}: the server and the store disagree")
        self.batch_number = batch_number
        self.last_batch_number = last_batch_number


class UnknownUsageError(CommandRejectedError):
    """An outcome is about usage that is not pending."""

    def __init__(self, sequence: int) -> None:
        super().__init__(f"use {sequence} is not there or settled: the server and the store disagree")
        self.sequence = sequence


class PeriodNotEndedError(CommandRejectedError):
    """A period is to be closed before its end."""

    def __init__(self, period: str) -> None:
        super().__init__(f"{period} has not ended: nothing can be closed before its time")
        self.period = period


class EarlierPeriodOpenError(CommandRejectedError):
    """Periods are closed in their order."""

    def __init__(self, earlier: str, period: str) -> None:
        super().__init__(f"{earlier} is open and comes before {period}: close it first")
        self.earlier = earlier
        self.period = period


class PeriodNotBegunError(CommandRejectedError):
    """A correction is about a period that lies in the future."""

    def __init__(self, period: str) -> None:
        super().__init__(f"{period} has not begun")
        self.period = period


class PeriodNotClosedError(CommandRejectedError):
    """Only closed periods are compacted."""

    def __init__(self, period: str) -> None:
        super().__init__(f"{period} is not closed")
        self.period = period


class EmptyCorrectionError(CommandRejectedError):
    """A correction changes nothing."""

    def __init__(self) -> None:
        super().__init__("a correction of nothing: state uses, work or an amount")


class MissingReasonError(CommandRejectedError):
    """An operator's entry has no reason."""

    def __init__(self, subject: str) -> None:
        super().__init__(f"a {subject} needs a reason")
        self.subject = subject


class CorruptLedgerError(CommandRejectedError):
    """An audit found an entry that does not hold, which the command must not build on."""

    def __init__(self, entry_number: int, problem: str, consequence: str) -> None:
        super().__init__(f"entry {entry_number}: {problem}; {consequence}")
        self.entry_number = entry_number
        self.problem = problem


class EntriesNotExportedError(CommandRejectedError):
    """Usage that no receiver has must not be compacted."""

    def __init__(self, first_number: int, last_number: int) -> None:
        super().__init__(f"entry {first_number} of {last_number} is not exported yet")
        self.first_number = first_number
        self.last_number = last_number


class DivergedLedgerError(CommandRejectedError):
    """A ledger has entries of its own that the merged ledger's branch has not."""

    def __init__(self, entry_number: int) -> None:
        super().__init__(
            f"entry {entry_number} is another one, or not there, in the merged ledger: the two have parted"
        )
        self.entry_number = entry_number


class UnknownEntryError(CommandRejectedError):
    """There is no entry of this number."""

    def __init__(self, entry_number: int) -> None:
        super().__init__(f"{entry_number}: there is no such entry")
        self.entry_number = entry_number


class UnknownTenantError(CommandRejectedError):
    """A correction names a tenant that has no usage."""

    def __init__(self, tenant: str) -> None:
        super().__init__(f"tenant: {tenant!r} has no entry in this ledger")
        self.tenant = tenant


class InvalidDisputeSelectionError(CommandRejectedError):
    """A resolution names usage that is not disputed, names it twice, or names none."""

    def __init__(self, entry_numbers: list[int]) -> None:
        super().__init__(f"not disputed, named twice or none named: {entry_numbers}")
        self.entry_numbers = entry_numbers


class NoPricePlanError(CommandRejectedError):
    """A statement needs prices and the settings name none."""

    def __init__(self) -> None:
        super().__init__("[ledger] plan: no prices are named")


class NothingToBillError(CommandRejectedError):
    """A tenant has nothing in a period."""

    def __init__(self, tenant: str, period: str) -> None:
        super().__init__(f"{tenant}: nothing in {period}")
        self.tenant = tenant
        self.period = period


class FileExistsAlreadyError(CommandRejectedError):
    """A backup never overwrites a file."""

    def __init__(self, path: str) -> None:
        super().__init__(f"{path}: is there already")
        self.path = path
