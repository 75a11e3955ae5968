"""File with the id of the machine's boot in which a grantor last ran; `recovery_grace` describes its use."""

from __future__ import annotations

import os

MAX_BOOT_ID_BYTES = 64


def write_last_boot_id(path: str, boot_id: str) -> None:
    """Replace the file atomically: a crash leaves either the old boot id or the new one.

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
    """Return the boot id that the previous process stored, or an empty string if there is none to read."""
    try:
        with open(path) as file:
            return file.read(MAX_BOOT_ID_BYTES).strip()
    except (OSError, UnicodeDecodeError):
        return ""


def remove_last_boot_id(path: str) -> bool:
    """Remove the file; return True if it is gone or did not exist, False if it can't be removed."""
    try:
        os.unlink(path)
    except FileNotFoundError:
        return True
    except OSError:
        return False
    return True
