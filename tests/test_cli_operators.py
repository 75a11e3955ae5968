"""The operators' commands over canned answers: which server is asked, what is written, exit statuses."""

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
UNDER_WAY = {"end": "open", "said": "", "version": 0, "waits": [["n1", "armed"], ["n2", ""]]}
COMMITTED = {"end": "taken", "said": "", "version": 5, "waits": []}
REFUSED = {"end": "refused", "said": "too many", "version": 0, "waits": []}


def member(name: str, state: str, port: int) -> dict[str, Any]:
    address = f"127.0.0.1:{port}"
    return {
        "name": name, "address": address, "zone": "z", "state": state, "for_ms": 5.0, "run": 1, "load": 0.5,
    }  # fmt: skip


MEMBERS = [member("n1", "alive", 7001), member("n2", "dead", 7002)]


class OperatorCommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.answers: dict[str, list[Any]] = {}  # of each call, the last one again and again
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

    def run_command(self, *words: str, status: int = 0) -> Result:
        result = CliRunner().invoke(main, [*words], env={"LANDINGSHIFT_TOML": None})
        self.assertEqual(result.exit_code, status, result.output)
        return result

    def policy_file(self) -> str:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(folder, "weights.toml")
        path.write_text(POLICY)
        return str(path)

    def test_members_table_leaves_departed_servers_out_unless_asked_for(self) -> None:
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

    def test_server_that_does_not_answer_ends_the_command_with_status_1(self) -> None:
        result = self.run_command("fleet", "status", *AT_SERVER, status=EXIT_FAILED)
        self.assertEqual(result.stderr, "landingshift: 127.0.0.1:7001: no answer\n")

    def test_wrong_or_missing_address_is_an_error_of_usage(self) -> None:
        self.run_command("fleet", "status", status=EXIT_USAGE)
        self.run_command("fleet", "status", "--at", "nowhere", status=EXIT_USAGE)
        self.run_command("fleet", "status", "--toml", "deploy/landingshift.toml", status=EXIT_USAGE)
        self.assertEqual(self.calls, [])

    def test_leader_is_asked_where_the_server_knows_one(self) -> None:
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

    def test_proposal_is_followed_until_it_is_committed(self) -> None:
        self.answers["policy_do"] = [True]
        self.answers["policy_known"] = [UNDER_WAY, UNDER_WAY, COMMITTED]
        words = ("propose", self.policy_file(), "--why", "w", "--id", "change", "--wait", "60")
        result = self.run_command("policy", *words, *AT_SERVER)
        self.assertEqual(
            result.stderr, "change: under way, waits for n1 (armed), n2 (no text yet)\n"
        )  # once, as it does not change
        self.assertEqual(result.stdout, "change: taken, version 5\n")
        commands = [params for _, call_name, params in self.calls if call_name == "policy_do"]
        self.assertEqual(
            [params[:2] for params in commands], [["change", "propose"], *[["change", "find"]] * 2]
        )

    def test_proposal_that_is_refused_ends_with_status_1(self) -> None:
        self.answers["policy_do"] = [True]
        self.answers["policy_known"] = [REFUSED]
        words = ("propose", self.policy_file(), "--why", "w", "--id", "change", "--wait", "60", "--json")
        result = self.run_command("policy", *words, *AT_SERVER, status=EXIT_FAILED)
        self.assertEqual(json.loads(result.stdout), REFUSED)
        self.assertEqual(result.stderr, "")

    def test_proposal_that_the_server_has_no_space_for_is_an_error(self) -> None:
        self.answers["policy_do"] = [False]
        words = ("propose", self.policy_file(), "--why", "w")
        result = self.run_command("policy", *words, *AT_SERVER, status=EXIT_USAGE)
        self.assertIn("too much is under way", result.stderr)

    def test_file_without_a_policy_is_named(self) -> None:
        result = self.run_command("policy", "check", "/none.toml", status=EXIT_USAGE)
        self.assertIn("/none.toml: ", result.stderr)
        self.assertEqual(self.run_command("policy", "check", self.policy_file()).exit_code, 0)

    def test_one_voter_is_changed_at_a_time(self) -> None:
        words = ("voters", "--add", "n1", "--remove", "n2")
        self.run_command("policy", *words, *AT_SERVER, status=EXIT_USAGE)
        self.assertEqual(self.calls, [])

    def test_maintenance_is_followed_until_all_requests_have_ended(self) -> None:
        self.answers["policy_status"] = [{"leader_at": ""}]
        self.answers["upkeep_ask"] = [2]
        waiting = {"name": "n1", "stage": "wished"}
        leaving = {"name": "n2", "stage": "permitted"}
        self.answers["upkeep_status"] = [{"wishes": [waiting, leaving]}, {"wishes": []}]
        self.answers["upkeep_history"] = [
            [
                {"name": "n1", "since": 9e18, "end": "done", "why": ""},
                {"name": "n2", "since": 9e18, "end": "failed", "why": "disk"},
            ]
        ]
        words = ("ask", "n1", "n2", "--minutes", "3", "--wait", "60")
        result = self.run_command("upkeep", *words, *AT_SERVER, status=EXIT_FAILED)
        self.assertEqual(result.stderr, "0 of 2 over, n2 permitted\n2 of 2 over, \n")
        self.assertEqual(result.stdout, "n2: failed: disk\n")


if __name__ == "__main__":
    unittest.main()
