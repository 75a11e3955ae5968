"""Records observations and decisions of this process in a file, which a checker reads after a test.

`LANDINGSHIFT_HISTORY=path` names the file. Each line is the `repr` of a tuple: the monotonic time in ms (the
same clock for all processes of a machine), the event name and its values. Without the variable nothing is
recorded.
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
    """Appends an event to the history; does nothing if this process does not record its history.

    Args:
        event: The event name, which the checker interprets.
        values: The event's values, of types whose `repr` is a Python literal.
    """
    if not _HISTORY_PATH:
        return
    with open(_HISTORY_PATH, "a") as file:
        file.write(repr((time.monotonic() * 1000.0, event, *values)) + "\n")
