"""Tests the operator commands with canned answers: the server called, the output and the exit status."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest.mock import patch

from click.testing import CliRunner, Result

from landingshift.cli.errors import EXIT_FAILED, EXIT_USAGE
from landingshift.cli.main import main
from landingshift.membership.errors import OperatorRpcError

SERVER = ("127.0.0.1", 7001)
LEADER = ("127.0.0.1", 7002)
AT_SERVER = ("--at", "127.0.0.1:7001")
POLICY = "[rules]\nhold_off_max_ms = 9\n"
PENDING = {"end": "open", "said": "", "version": 0, "waits": [["n1", "armed"], ["n2", ""]]}
COMMITTED = {"end": "taken", "said": "", "version": 5, "waits": []}
REJECTED = {"end": "refused", "said": "too many", "version": 0, "waits": []}


def member(name: str, state: str, port: int) -> dict[str, Any]:
    address = f"127.0.0.1:{port}"
    return {
        "name": name, "address": address, "zone": "z", "state": state, "for_ms": 5.0, "run": 1, "load": 0.5,
    }  # fmt: skip


MEMBERS = [member("n1", "alive", 7001), member("n2", "dead", 7002)]


class OperatorCommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.answers: dict[str, list[Any]] = {}  # by call name; the last answer is repeated
        self.calls: list[tuple[tuple[str, int], str, list[Any]]] = []
        self.enterContext(patch("landingshift.cli.operator_client.call_operator_rpc", self.answer))
        self.enterContext(patch("landingshift.cli.policy.POLL_INTERVAL_SECONDS", 0.0))
        self.enterContext(patch("landingshift.cli.upkeep.POLL_INTERVAL_SECONDS", 0.0))

    def answer(self, address: tuple[str, int], call_name: str, params: list[Any]) -> Any:
        self.calls.append((address, call_name, params))
        if call_name not in self.answers:
            raise OperatorRpcError("no answer")
        answers = self.answers[call_name]
        return answers.pop(0) if len(answers) > 1 else answers[0]

    def run_command(self, *arguments: str, status: int = 0) -> Result:
        result = CliRunner().invoke(main, [*arguments], env={"LANDINGSHIFT_TOML": None})
        self.assertEqual(result.exit_code, status, result.output)
        return result

    def policy_file(self) -> str:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(folder, "weights.toml")
        path.write_text(POLICY)
        return str(path)

    def test_members_table_omits_departed_servers_unless_requested(self) -> None:
        self.answers["members"] = [MEMBERS]
        self.assertEqual(
            self.run_command("fleet", "members", *AT_SERVER).stdout.splitlines(),
            [
                "name  address         zone  state  for_ms  load",
                "n1    127.0.0.1:7001  z     alive  5       0.5",
            ],
        )
        rows = json.loads(self.run_command("fleet", "members", "--gone", "--json", *AT_SERVER).stdout)
        self.assertEqual(rows, MEMBERS)

    def test_missing_answer_ends_the_command_with_status_1(self) -> None:
        result = self.run_command("fleet", "status", *AT_SERVER, status=EXIT_FAILED)
        self.assertEqual(result.stderr, "landingshift: 127.0.0.1:7001: no answer\n")

    def test_invalid_or_missing_address_is_a_usage_error(self) -> None:
        self.run_command("fleet", "status", status=EXIT_USAGE)
        self.run_command("fleet", "status", "--at", "nowhere", status=EXIT_USAGE)
        self.run_command("fleet", "status", "--toml", "deploy/landingshift.toml", status=EXIT_USAGE)
        self.assertEqual(self.calls, [])

    def test_history_is_requested_from_the_leader_if_the_server_knows_one(self) -> None:
        self.answers["policy_history"] = [[]]
        self.answers["policy_status"] = [{"leader_at": "127.0.0.1:7002"}, {"leader_at": ""}]
        self.run_command("policy", "history", *AT_SERVER)
        self.run_command("policy", "history", *AT_SERVER)
        self.assertEqual(
            [(address, call_name) for address, call_name, _ in self.calls],
            [
                (SERVER, "policy_status"),
                (LEADER, "policy_history"),
                (SERVER, "policy_status"),
                (SERVER, "policy_history"),
            ],
        )

    def test_propose_with_wait_shows_progress_until_the_change_is_committed(self) -> None:
        self.answers["policy_do"] = [True]
        self.answers["policy_known"] = [PENDING, PENDING, COMMITTED]
        arguments = ("propose", self.policy_file(), "--why", "w", "--id", "change", "--wait", "60")
        result = self.run_command("policy", *arguments, *AT_SERVER)
        self.assertEqual(
            result.stderr, "change: under way, waits for n1 (armed), n2 (no text yet)\n"
        )  # printed once, as the progress does not change
        self.assertEqual(result.stdout, "change: taken, version 5\n")
        commands = [params for _, call_name, params in self.calls if call_name == "policy_do"]
        self.assertEqual(
            [params[:2] for params in commands], [["change", "propose"], *[["change", "find"]] * 2]
        )

    def test_rejected_proposal_ends_with_status_1(self) -> None:
        self.answers["policy_do"] = [True]
        self.answers["policy_known"] = [REJECTED]
        arguments = ("propose", self.policy_file(), "--why", "w", "--id", "change", "--wait", "60", "--json")
        result = self.run_command("policy", *arguments, *AT_SERVER, status=EXIT_FAILED)
        self.assertEqual(json.loads(result.stdout), REJECTED)
        self.assertEqual(result.stderr, "")

    def test_proposal_is_a_usage_error_if_the_server_has_too_many_pending_commands(self) -> None:
        self.answers["policy_do"] = [False]
        arguments = ("propose", self.policy_file(), "--why", "w")
        result = self.run_command("policy", *arguments, *AT_SERVER, status=EXIT_USAGE)
        self.assertIn("too many pending commands", result.stderr)

    def test_policy_check_names_an_unreadable_file(self) -> None:
        result = self.run_command("policy", "check", "/none.toml", status=EXIT_USAGE)
        self.assertIn("/none.toml: ", result.stderr)
        self.assertEqual(self.run_command("policy", "check", self.policy_file()).exit_code, 0)

    def test_adding_and_removing_a_voter_at_once_is_a_usage_error(self) -> None:
        arguments = ("voters", "--add", "n1", "--remove", "n2")
        self.run_command("policy", *arguments, *AT_SERVER, status=EXIT_USAGE)
        self.assertEqual(self.calls, [])

    def test_maintenance_ask_with_wait_shows_progress_until_all_requests_have_ended(self) -> None:
        self.answers["policy_status"] = [{"leader_at": ""}]
        self.answers["upkeep_ask"] = [2]
        requested = {"name": "n1", "stage": "wished"}
        permitted = {"name": "n2", "stage": "permitted"}
        self.answers["upkeep_status"] = [{"wishes": [requested, permitted]}, {"wishes": []}]
        self.answers["upkeep_history"] = [
            [
                {"name": "n1", "since": 9e18, "end": "done", "why": ""},
                {"name": "n2", "since": 9e18, "end": "failed", "why": "disk"},
            ]
        ]
        arguments = ("ask", "n1", "n2", "--minutes", "3", "--wait", "60")
        result = self.run_command("upkeep", *arguments, *AT_SERVER, status=EXIT_FAILED)
        self.assertEqual(result.stderr, "0 of 2 over, n2 permitted\n2 of 2 over, \n")
        self.assertEqual(result.stdout, "n2: failed: disk\n")


if __name__ == "__main__":
    unittest.main()
