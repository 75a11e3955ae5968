"""Tests that a machine's work is begun exactly once for each permit, also if its process is killed."""

import json
import os
import signal
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from landingshift.maintenance.permit_file import (
    UsedPermit,
    WorkPhase,
    read_permit_file,
    read_used_permit,
    write_used_permit,
)
from landingshift.maintenance.settings import Settings
from landingshift.maintenance.work import MaintenanceWork
from landingshift.testbed import MEMORY
from landingshift.testbed.experiments.maintenance_harness import MaintenanceHarness
from tests.helpers import CONFIG, launch_program

TOML = """[fleet]
fleet = "lab"
listen = "127.0.0.1:0"
[policies]
voters = ["other"]
[upkeep]
capacity = 9
mark = "{folder}/mark"
work = ["{python}", "-c", "{code}"]
"""


class WorkTestCase(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory(dir=MEMORY)
        self.addCleanup(directory.cleanup)
        self.folder = directory.name
        self.mark = f"{self.folder}/mark"
        self.work_log = Path(self.folder, "work.log")
        self.code = f"open('{self.work_log}', 'a').write('worked ')"

    def work_count(self) -> int:
        return self.work_log.read_text().count("worked") if self.work_log.exists() else 0


class MaintenanceWorkTest(WorkTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.events: list[str] = []

    def new_process(self, mark: str | None = None) -> MaintenanceWork:
        command = [sys.executable, "-c", self.code]
        path = self.mark if mark is None else mark
        settings = Settings(capacity_rpcs_per_second=9.0, command=command, permit_file_path=path)
        return MaintenanceWork("n3", settings, lambda event, **_: self.events.append(event))

    def test_work_runs_once_whenever_the_process_is_killed(self) -> None:
        for phase, expected_count, event in [
            (None, 0, None),
            (WorkPhase.PENDING, 1, "maintenance_command_resumed"),
            (WorkPhase.BEGUN, 0, "maintenance_command_interrupted"),
            (WorkPhase.ENDED, 0, None),
        ]:
            with self.subTest(phase=phase):
                self.setUp()
                if phase is not None:
                    write_used_permit(self.mark, "n3", 7, phase)
                for _ in range(3):  # starts
                    self.new_process().run_pending()
                self.assertEqual(self.work_count(), expected_count)
                self.assertEqual(self.events[:1], [event] if event else [])
                self.assertEqual(read_used_permit(self.mark, "n3"), 7 if phase else 0)

    def test_work_after_the_drain_is_not_run_again_at_the_next_start(self) -> None:
        work = self.new_process()
        work.record_drain(7)
        self.assertEqual(read_permit_file(self.mark, "n3"), UsedPermit(7, WorkPhase.PENDING))
        work.run(7)
        self.assertEqual(read_permit_file(self.mark, "n3"), UsedPermit(7))
        self.assertFalse(self.new_process().run_pending())
        self.assertEqual(self.work_count(), 1)

    def test_work_is_not_run_at_the_start_if_that_cannot_be_recorded(self) -> None:
        write_used_permit(self.mark, "n3", 7, WorkPhase.PENDING)
        os.mkdir(f"{self.mark}.new")
        self.assertFalse(self.new_process().run_pending())
        self.assertEqual((self.work_count(), self.events), (0, ["maintenance_mark_failed"]))

    def test_without_a_file_nothing_is_pending(self) -> None:
        self.assertFalse(self.new_process(mark="").run_pending())
        self.assertEqual(self.work_count(), 0)


class ProgramWithPendingWorkTest(WorkTestCase):
    # Guards against a request that ends as done although the machine's process was killed before its work.

    def start_program(self) -> Any:
        write_used_permit(self.mark, "n3", 7, WorkPhase.PENDING)
        toml = Path(self.folder, "ours.toml")
        toml.write_text(TOML.format(folder=self.folder, python=sys.executable, code=self.code))
        process = launch_program(self.folder, CONFIG, env={"LANDINGSHIFT_TOML": str(toml)})
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        assert process.stdout is not None
        return process

    def next_event(self, process: Any) -> str:
        event: str = json.loads(process.stdout.readline())["event"]
        return event

    def test_program_works_before_it_listens_and_starts_anew(self) -> None:
        process = self.start_program()
        events = [self.next_event(process) for _ in range(4)]
        self.assertEqual(
            events,
            ["maintenance_command_resumed", "maintenance_command_finished", "fleet_started", "started"],
        )
        self.assertEqual((self.work_count(), read_permit_file(self.mark, "n3")), (1, UsedPermit(7)))

    def test_shutdown_signal_during_the_work_ends_the_program_after_it(self) -> None:
        self.code = f"import time; time.sleep(1); {self.code}"
        process = self.start_program()
        self.assertEqual(self.next_event(process), "maintenance_command_resumed")
        process.send_signal(signal.SIGTERM)
        self.assertEqual(self.next_event(process), "maintenance_command_finished")
        self.assertEqual((process.wait(10), process.stdout.read()), (0, ""))
        self.assertEqual(self.work_count(), 1)


class HarnessWithWork(MaintenanceHarness):
    """Servers whose maintenance writes a line to a file."""

    def extra_tables(self, index: int) -> str:
        code = f"open('{self.work_path}', 'a').write('{self.servers.name(index)} worked ')"
        return super().extra_tables(index) + f'work = ["{sys.executable}", "-c", "{code}"]\n'

    @property
    def work_path(self) -> Path:
        return Path(self.servers.folder, "work.log")


class KilledMachineTest(unittest.TestCase):
    def test_request_of_a_machine_that_is_killed_while_it_drains_is_done_once_its_work_has_run(self) -> None:
        # Guards against a request that ends as done although its machine was killed before the work.
        with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
            harness = HarnessWithWork(folder, 6, 1)
            self.addCleanup(harness.close)
            harness.start_all()
            last, name = 5, harness.servers.name(5)
            harness.not_restarted.add(last)
            harness.servers.kill(last)
            harness.start(
                last, LANDINGSHIFT_CRASH="upkeep.draining", LANDINGSHIFT_CRASH_ONCE=f"{folder}/died"
            )
            harness.wait_until_ready_or_exited(last)
            harness.request_maintenance([name])
            self.assertTrue(harness.wait_for_exit(last, 40.0))
            self.assertFalse(harness.work_path.exists())
            harness.start(last)
            self.assertTrue(harness.wait_until_ended([name], 40.0))
            self.assertEqual(harness.final_states(), {name: "done"})
            self.assertEqual(harness.work_path.read_text(), f"{name} worked ")


if __name__ == "__main__":
    unittest.main()
