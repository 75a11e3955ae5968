"""The boot in which a grantor ran last, on disk beside its endpoint cache; used by `recovery_grace`."""

from __future__ import annotations

import os

MAX_BOOT_ID_BYTES = 64


def write_last_boot_id(path: str, boot_id: str) -> None:
    """Replaces the id; the file is synced and renamed, so that a crash leaves the old one or the new one.

    Raises:
        OSError: It can't be written.
    """
    temporary_path = f"{path}.new"
    with open(temporary_path, "w") as file:
        file.write(boot_id + "\n")
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, path)


def read_last_boot_id(path: str) -> str:
    """The boot id of the last run, empty where it is unknown."""
    try:
        with open(path) as file:
            return file.read(MAX_BOOT_ID_BYTES).strip()
    except (OSError, UnicodeDecodeError):
        return ""


def remove_last_boot_id(path: str) -> bool:
    """Removes the file; returns whether it is gone."""
    try:
        os.unlink(path)
    except FileNotFoundError:
        return True
    except OSError:
        return False
    return True
