"""File with the boot id of the machine when the grantor last ran.

`recovery_grace` compares the stored id with the present one to find out whether the machine has booted.
"""

from __future__ import annotations

import os

MAX_BOOT_ID_BYTES = 64


def write_last_boot_id(path: str, boot_id: str) -> None:
    """Store the boot id atomically: after a crash, the file contains either the old id or the new one.

    Raises:
        OSError: The file can't be written.
    """
    temporary_path = f"{path}.new"
    with open(temporary_path, "w") as file:
        file.write(boot_id + "\n")
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, path)


def read_last_boot_id(path: str) -> str:
    """Return the boot id that the previous process stored, or an empty string if the file can't be read."""
    try:
        with open(path) as file:
            return file.read(MAX_BOOT_ID_BYTES).strip()
    except (OSError, UnicodeDecodeError):
        return ""


def remove_last_boot_id(path: str) -> bool:
    """Remove the file if it exists. Return False if the file can't be removed, otherwise True."""
    try:
        os.unlink(path)
    except FileNotFoundError:
        return True
    except OSError:
        return False
    return True
