"""Errors of usage metering. The constructors build the messages from their arguments."""

from __future__ import annotations

from landingshift.errors import LandingshiftError

COMPACTED_ADVICE = (
    "restore the receiver from a newer copy, or export a backup of this ledger from before the compaction "
    "and then this ledger"
)
"""What an operator can do if a receiver lacks compacted entries."""


class LedgerError(LandingshiftError):
    """Base class of the errors of usage metering."""


class InvalidSettingError(LedgerError, ValueError):
    """A key of the TOML table `[ledger]` has an invalid value."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class InvalidPriceError(LedgerError, ValueError):
    """A key of a price plan has an invalid value."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class InvalidPricePlanError(LedgerError, ValueError):
    """A price plan file can't be read or is invalid; the message names the file and the key."""

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class InvalidReceiverUrlError(LedgerError, ValueError):
    """The URL of an export receiver is not an http or https URL."""

    def __init__(self, url: str) -> None:
        super().__init__(f"{url}: an http or https address is expected")
        self.url = url


class ReceiverUnavailableError(LedgerError):
    """The receiver sent no valid reply, so it is unknown whether it applied the request."""


class EntriesCompactedError(LedgerError):
    """The receiver lacks the records of an entry that a compaction removed."""

    def __init__(self, cursor: int, missing_number: int) -> None:
        super().__init__(
            f"the receiver ends at entry {cursor}, and entry {missing_number}, whose records it lacks, "
            f"was compacted: {COMPACTED_ADVICE}; `--skip-compacted` goes on without these records"
        )
        self.cursor = cursor
        self.missing_number = missing_number


class UnknownEntryKindError(LedgerError, ValueError):
    """The kind of an entry is not a value of `EntryKind`."""

    def __init__(self, kind: int) -> None:
        super().__init__(f"{kind} is not a valid Kind")
        self.kind = kind


class ReceiverConnectionError(ReceiverUnavailableError):
    """The connection to the receiver failed, or its reply violates the protocol."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"{type(cause).__name__}: {cause}")
        self.cause = cause


class UnexpectedStatusError(ReceiverUnavailableError):
    """The receiver replied with an HTTP status that the protocol does not define."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


class EmptyReplyError(ReceiverUnavailableError):
    """The receiver's reply does not contain the name of an instance."""

    def __init__(self) -> None:
        super().__init__("an empty reply")


class StoreUnavailableError(LedgerError):
    """A store can't be used; the message names the store and the problem."""

    def __init__(self, source: str, problem: object) -> None:
        super().__init__(f"{source}: {problem}")
        self.source = source
        self.problem = problem


class StoreLockedError(StoreUnavailableError):
    """Another server has locked the store."""

    def __init__(self, path: str, holder: str) -> None:
        super().__init__(path, f"held by another server (process {holder or 'unknown'})")
        self.holder = holder


class StoreMismatchError(StoreUnavailableError):
    """A store was created for another instance, time zone, period unit, window or schema version."""

    def __init__(self, path: str, key: str, stored: object, expected: object) -> None:
        super().__init__(path, f"its {key} is {stored!r}, not {expected!r}")
        self.key = key
        self.stored = stored
        self.expected = expected


class BrokenChainError(StoreUnavailableError):
    """An entry's hash does not match its data and the hash of the entry before it."""

    def __init__(self, instance: str, entry_number: int) -> None:
        super().__init__(instance, f"entry {entry_number} is changed, or out of its order")
        self.entry_number = entry_number


class MissingEntryError(StoreUnavailableError):
    """An entry was received without the entry before it."""

    def __init__(self, instance: str, missing_number: int, entry_number: int) -> None:
        super().__init__(instance, f"entry {missing_number} is missing before {entry_number}")
        self.missing_number = missing_number
        self.entry_number = entry_number


class CommandRejectedError(LedgerError):
    """A command or batch was rejected because it would break a guarantee; the ledger is unchanged."""


class InvalidPeriodError(CommandRejectedError, ValueError):
    """A text is not the name of a billing period of the ledger's period unit."""

    def __init__(self, name: str, unit: str, example: str) -> None:
        super().__init__(f"{name!r} names no {unit}; one like {example} does")
        self.name = name
        self.unit = unit


class BatchOutOfOrderError(CommandRejectedError):
    """A batch does not have the number that follows the last applied batch."""

    def __init__(self, batch_number: int, last_batch_number: int) -> None:
        super().__init__(f"batch {batch_number} was received after batch {last_batch_number}")
        self.batch_number = batch_number
        self.last_batch_number = last_batch_number


class UnknownUsageError(CommandRejectedError):
    """A batch reports the outcome of usage that is not pending."""

    def __init__(self, sequence: int) -> None:
        super().__init__(f"outcome for usage {sequence}, which is unknown or already settled")
        self.sequence = sequence


class PeriodNotEndedError(CommandRejectedError):
    """A command tried to close a period before its end."""

    def __init__(self, period: str) -> None:
        super().__init__(f"{period} has not ended: nothing can be closed before its time")
        self.period = period


class EarlierPeriodOpenError(CommandRejectedError):
    """A command tried to close a period while an earlier one is open."""

    def __init__(self, earlier: str, period: str) -> None:
        super().__init__(f"{earlier} is open and comes before {period}: close it first")
        self.earlier = earlier
        self.period = period


class PeriodNotBegunError(CommandRejectedError):
    """A correction refers to a period in the future."""

    def __init__(self, period: str) -> None:
        super().__init__(f"{period} has not begun")
        self.period = period


class PeriodNotClosedError(CommandRejectedError):
    """A command tried to compact a period that is still open."""

    def __init__(self, period: str) -> None:
        super().__init__(f"{period} is not closed")
        self.period = period


class EmptyCorrectionError(CommandRejectedError):
    """A correction changes neither the number of RPCs, the run time nor the amount."""

    def __init__(self) -> None:
        super().__init__("a correction of nothing: state uses, work or an amount")


class MissingReasonError(CommandRejectedError):
    """A correction or resolution was entered without a reason."""

    def __init__(self, subject: str) -> None:
        super().__init__(f"a {subject} needs a reason")
        self.subject = subject


class CorruptLedgerError(CommandRejectedError):
    """A command was rejected because an audit found an inconsistent entry."""

    def __init__(self, entry_number: int, problem: str, consequence: str) -> None:
        super().__init__(f"entry {entry_number}: {problem}; {consequence}")
        self.entry_number = entry_number
        self.problem = problem


class EntriesNotExportedError(CommandRejectedError):
    """A command tried to compact entries that were not exported yet."""

    def __init__(self, first_number: int, last_number: int) -> None:
        super().__init__(f"entry {first_number} of {last_number} is not exported yet")
        self.first_number = first_number
        self.last_number = last_number


class DivergedLedgerError(CommandRejectedError):
    """A ledger has entries that its branch in the merged ledger does not have."""

    def __init__(self, entry_number: int) -> None:
        super().__init__(
            f"entry {entry_number} is another one, or not there, in the merged ledger: the two have parted"
        )
        self.entry_number = entry_number


class UnknownEntryError(CommandRejectedError):
    """The ledger has no entry with this number."""

    def __init__(self, entry_number: int) -> None:
        super().__init__(f"{entry_number}: there is no such entry")
        self.entry_number = entry_number


class UnknownTenantError(CommandRejectedError):
    """A correction names a tenant that does not occur in the ledger."""

    def __init__(self, tenant: str) -> None:
        super().__init__(f"tenant: {tenant!r} has no entry in this ledger")
        self.tenant = tenant


class InvalidDisputeSelectionError(CommandRejectedError):
    """A resolution lists usage that is not disputed, lists an entry twice, or lists none."""

    def __init__(self, entry_numbers: list[int]) -> None:
        super().__init__(f"not disputed, named twice or none named: {entry_numbers}")
        self.entry_numbers = entry_numbers


class NoPricePlanError(CommandRejectedError):
    """A statement was requested, but the settings have no price plan."""

    def __init__(self) -> None:
        super().__init__("[ledger] plan: no prices are named")


class NothingToBillError(CommandRejectedError):
    """A statement was requested for a tenant without usage or corrections in the period."""

    def __init__(self, tenant: str, period: str) -> None:
        super().__init__(f"{tenant}: nothing in {period}")
        self.tenant = tenant
        self.period = period


class FileExistsAlreadyError(CommandRejectedError):
    """The target file of a backup already exists."""

    def __init__(self, path: str) -> None:
        super().__init__(f"{path}: is there already")
        self.path = path
