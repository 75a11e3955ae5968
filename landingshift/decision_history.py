"""The history of what this process believed and decided, for a checker that reads it after a test.

`LANDINGSHIFT_HISTORY=path` names the file. Each line is the `repr` of a tuple: monotonic ms, which all
processes of a machine share, the name of the event and its values. Without the variable nothing is recorded.
"""

from __future__ import annotations

import os
import time

HISTORY_VARIABLE = "LANDINGSHIFT_HISTORY"

_HISTORY_PATH = os.environ.get(HISTORY_VARIABLE, "")


def is_recording() -> bool:
    """Returns whether this process records its history."""
    return bool(_HISTORY_PATH)


def record(event: str, *values: object) -> None:
    """Appends one line, if the process records its history.

    Args:
        event: What happened; the checker knows the name.
        values: What belongs to it, of types whose `repr` is a Python literal.
    """
    if not _HISTORY_PATH:
        return
    with open(_HISTORY_PATH, "a") as file:
        file.write(repr((time.monotonic() * 1000.0, event, *values)) + "\n")
