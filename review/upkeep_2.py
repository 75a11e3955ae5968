"""A small fleet with `[upkeep]`: three voters and servers that may drain, for the scripts of this review."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from peers_2 import Case, Server

READY_SECONDS = 30.0
OPEN = ""


class UpkeepFleet:
    """Servers with `[fleet]`, `[policies]` and `[upkeep]`, and the calls of an operator.

    Attributes:
        voters: Names of the voters; all servers get them as `[policies] voters`.
    """

    def __init__(self, case: Case, voters: list[str]) -> None:
        self.case = case
        self.voters = voters
        self.work_log = case.folder / "work.log"

    def toml(self, server: Server) -> str:
        """Returns the settings file of a server, with the values of the operators' pages."""
        peers = [f'"127.0.0.1:{other.fleet[1]}"' for other in self.case.servers.values()]
        journal = f'journal = "{self.case.folder}/{server.name}.agreed"' if server.name in self.voters else ""
        work = f"open({str(self.work_log)!r}, 'a').write('{server.name} worked' + chr(10))"
        return f"""[fleet]
fleet = "profilers-north"
listen = "127.0.0.1:{server.fleet[1]}"
peers = [{", ".join(peers)}]
[policies]
voters = {self.voters}
{journal}
[upkeep]
capacity = 120
model = "r640"
mark = "{self.case.folder}/{server.name}.left"
work = ["{sys.executable}", "-c", "{work}"]
"""

    def leader(self) -> Server | None:
        """Returns the running server that leads and knows of all running servers."""
        running = [server for server in self.case.servers.values() if server.is_running]
        for server in running:
            if server.name in self.voters:
                status = server.try_call("upkeep_status")
                if status and status["leads"] and status["machines"] >= len(running):
                    return server
        return None

    def wait_for_leader(self) -> Server:
        """Waits until a voter leads and all running servers have reported to it."""
        leader: Server = self.case.wait_until("a leader has all reports", READY_SECONDS, self.leader)
        return leader

    def ask(self, name: str) -> None:
        """Asks for work on a machine, as `landingshift upkeep ask NAME --minutes 1` does."""
        count = self.wait_for_leader().call("upkeep_ask", [name, 1.0, 1.0, 0.0, float("inf"), False, ""])
        self.case.record.write(f"operator: upkeep ask {name}: {count} asked for")

    def stage(self, name: str) -> str:
        """Returns the stage of a machine's open request; empty if there is none, `?` without a leader."""
        leader = self.leader_now()
        if leader is None:
            return "?"
        status = leader.try_call("upkeep_status")
        if not status or not status["leads"]:
            return "?"
        return next((str(row["stage"]) for row in status["wishes"] if row["name"] == name), OPEN)

    def leader_now(self) -> Server | None:
        """Returns the running server that leads."""
        for server in self.case.servers.values():
            if server.is_running and server.name in self.voters:
                status = server.try_call("upkeep_status")
                if status and status["leads"]:
                    return server
        return None

    def history(self, name: str) -> list[dict[str, Any]]:
        """Returns the ended requests of a machine, as `landingshift upkeep history` prints them."""
        leader = self.leader_now()
        rows = leader.try_call("upkeep_history") if leader is not None else None
        return [row for row in rows or [] if row["name"] == name]

    def work_count(self, name: str) -> int:
        """Returns how often the command of `work` has run on a machine."""
        path: Path = self.work_log
        return path.read_text().split().count(name) if path.exists() else 0

    def record_state(self, name: str) -> None:
        """Records the request of a machine and how often its work has run."""
        ends = [row["end"] for row in self.history(name)]
        self.case.record.write(
            f"{name}: request '{self.stage(name)}', ended {ends}, work has run {self.work_count(name)} times"
        )
