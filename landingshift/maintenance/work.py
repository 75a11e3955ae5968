"""Runs the configured work of a machine, after the drain or, if the process was killed, at the next start.

Guarantee: the work for a permit is begun at most once, and if it was not begun before the process was killed,
the next process begins it before it listens. Failure mode: without a permit file, or if the file can't be
written, the work may be missing or done twice.
"""

from __future__ import annotations

import subprocess
from collections.abc import Callable

from landingshift.maintenance.permit_file import WorkPhase, read_permit_file, write_used_permit
from landingshift.maintenance.settings import Settings

Log = Callable[..., None]


class MaintenanceWork:
    """The work of one server and the record of its permits."""

    def __init__(self, server_name: str, settings: Settings, log: Log) -> None:
        self._server_name = server_name
        self._settings = settings
        self._log = log

    def record_drain(self, permit_number: int) -> None:
        """Records that the server drains under a permit; call it before the drain."""
        self._record(permit_number, WorkPhase.PENDING if self._settings.command else WorkPhase.ENDED)

    def run(self, permit_number: int) -> None:
        """Runs the configured command in a child process; does nothing if none is configured."""
        if not self._settings.command:
            return
        self._record(permit_number, WorkPhase.BEGUN)
        timeout_seconds = self._settings.command_timeout_seconds
        try:
            process = subprocess.run(
                self._settings.command, timeout=timeout_seconds, stdin=subprocess.DEVNULL
            )
            self._log("maintenance_command_finished", number=permit_number, status=process.returncode)
        except (OSError, subprocess.TimeoutExpired) as err:
            self._log("maintenance_command_failed", number=permit_number, error=str(err))
        self._record(permit_number, WorkPhase.ENDED)

    def run_pending(self) -> bool:
        """Runs the work that the previous process was killed before; returns whether there was any.

        Logs work that the previous process was killed in, and does not run it again.
        """
        if not self._settings.permit_file_path:
            return False
        permit = read_permit_file(self._settings.permit_file_path, self._server_name)
        if permit.phase is WorkPhase.BEGUN:
            self._log("maintenance_command_interrupted", number=permit.number)
            self._record(permit.number, WorkPhase.ENDED)
            return False
        if permit.phase is not WorkPhase.PENDING or not self._settings.command:
            return False
        if not self._record(permit.number, WorkPhase.BEGUN):
            return False  # or else each start would run the work again
        self._log("maintenance_command_resumed", number=permit.number)
        self.run(permit.number)
        return True

    def _record(self, permit_number: int, phase: WorkPhase) -> bool:
        """Writes the permit file if one is configured; returns whether it was written."""
        if not self._settings.permit_file_path:
            return False
        try:
            write_used_permit(self._settings.permit_file_path, self._server_name, permit_number, phase)
        except OSError as err:
            self._log("maintenance_mark_failed", error=str(err))
            return False
        return True
