"""The file in which a server keeps by which permit it left, for its next process: `name number`."""

from __future__ import annotations

import os

MAX_BYTES = 64


def read_used_permit(path: str, name: str) -> int:
    """Returns the permit by which the earlier process of the server `name` left; 0 where nothing says so."""
    try:
        with open(path) as file:
            recorded_name, number = file.read(MAX_BYTES).split()
        return int(number) if recorded_name == name else 0
    except (OSError, ValueError):
        return 0


def write_used_permit(path: str, name: str, permit_number: int) -> None:
    """Writes the file so that it is either the old or the new one, whenever the process ends.

    Raises:
        OSError: The file could not be written.
    """
    new_path = path + ".new"
    with open(new_path, "w") as file:
        file.write(f"{name} {permit_number}\n")
        file.flush()
        os.fsync(file.fileno())
    os.replace(new_path, path)
