"""File in which a server records the permit under which it drained, for its next process.

The content is the server's name and the number of the permit: `name number`.
"""

from __future__ import annotations

import os

MAX_BYTES = 64


def read_used_permit(path: str, name: str) -> int:
    """Returns the permit under which the previous process of the server `name` drained.

    Returns 0 if the file is missing, is invalid or belongs to another server.
    """
    try:
        with open(path) as file:
            recorded_name, number = file.read(MAX_BYTES).split()
        return int(number) if recorded_name == name else 0
    except (OSError, ValueError):
        return 0


def write_used_permit(path: str, name: str, permit_number: int) -> None:
    """Replaces the file atomically, so that a crash leaves either the old or the new content.

    Raises:
        OSError: The file could not be written.
    """
    new_path = path + ".new"
    with open(new_path, "w") as file:
        file.write(f"{name} {permit_number}\n")
        file.flush()
        os.fsync(file.fileno())
    os.replace(new_path, path)
