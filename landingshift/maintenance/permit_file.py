"""File in which a server records the permit under which it drained, for its next process.

The content is the server's name, the number of the permit and the phase of the work: `name number phase`. The
phase is missing once the work has ended, and if there is no work to run.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from enum import Enum

MAX_BYTES = 512


class WorkPhase(Enum):
    """Phase of the work for which a server drained. The values are stored."""

    PENDING = "pending"
    """The server drains, or has drained, and has not begun the work."""
    BEGUN = "begun"
    """The work was begun. It must not be begun again, also if the process ends before the work does."""
    ENDED = ""


@dataclass(frozen=True, slots=True)
class UsedPermit:
    """Permit under which a server drained."""

    number: int
    """Number of the permit; 0 if none is recorded."""
    phase: WorkPhase = WorkPhase.ENDED


def read_permit_file(path: str, name: str) -> UsedPermit:
    """Returns the permit under which the previous process of the server `name` drained.

    Its number is 0 if the file is missing, is invalid or belongs to another server.
    """
    try:
        with open(path) as file:
            recorded_name, number, *phase = file.read(MAX_BYTES).split()
        permit = UsedPermit(int(number), WorkPhase(" ".join(phase)))
    except (OSError, ValueError):
        return UsedPermit(0)
    return permit if recorded_name == name else UsedPermit(0)


def read_used_permit(path: str, name: str) -> int:
    """Returns the number of `read_permit_file`, whatever the phase of the work."""
    return read_permit_file(path, name).number


def write_used_permit(path: str, name: str, permit_number: int, phase: WorkPhase = WorkPhase.ENDED) -> None:
    """Replaces the file atomically, so that a crash leaves either the old or the new content.

    Raises:
        OSError: The file could not be written.
    """
    new_path = path + ".new"
    with open(new_path, "w") as file:
        file.write(f"{name} {permit_number} {phase.value}".rstrip() + "\n")
        file.flush()
        os.fsync(file.fileno())
    os.replace(new_path, path)
