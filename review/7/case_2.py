"""A server is killed; an operator bills the disputed uses; the clients retry: each attempt is billed once."""

from __future__ import annotations

import subprocess
import sys
import time

from peers_2 import Case, Gateway, Server, give_up, play

from landingshift.ledger.settings import Settings
from landingshift.ledger.store import UsageStore

BURSTS = [[b"attempt %02d" % number for number in burst] for burst in (range(20), range(20, 40))]
"""The attempts of a client; the first burst is settled before the server is killed."""
BURST_INTERVAL_SECONDS = 0.3
LAST_ANSWERS_SECONDS = 0.03
"""Shorter than `settle_ms`, so that the kill leaves uses disputed."""
ATTEMPT_COUNT = sum(map(len, BURSTS))
RESOLVE = "resolve"


def settings(folder: str) -> Settings:
    """Returns the settings of the ledger: the defaults, but for folder, instance and zone."""
    return Settings(directory=folder, instance="n1", time_zone="Europe/Copenhagen")


def toml(server: Server) -> str:
    """Returns the settings file of the server."""
    folder = server.case.folder / "ledger"
    return f'[ledger]\nfolder = "{folder}"\ninstance = "n1"\nzone = "Europe/Copenhagen"\n'


def resolve(folder: str) -> None:
    """Does what `landingshift ledger resolve --bill-all --reason ...` does, in a process of its own.

    The command needs a library that the deploy file does not install; its calls are repeated here.
    """
    with UsageStore.from_settings(settings(folder)) as store, store.ledger_transaction() as ledger:
        disputed = dict(store.disputed())
        nearby = store.counted_near(disputed.values())
        now_ms = round(time.time() * 1000)
        billed = ledger.resolve_disputes(disputed, [], nearby, "the gateway's log has them", "anna", now_ms)
    print(billed)


def billed_uses(folder: str) -> int:
    """Returns how many uses all periods bill, as `landingshift ledger periods` prints them."""
    with UsageStore.from_settings(settings(folder)) as store:
        return sum(period.totals.uses for period in store.periods())


def send(gateway: Gateway, burst: list[bytes]) -> None:
    """Sends a burst of attempts."""
    for body in burst:
        gateway.send(body)


def retry_all(server: Server) -> bool:
    """Sends all attempts again on a new connection; returns whether all are answered ok."""
    gateway = Gateway(server)
    answers: dict[bytes, str] = {}
    for burst in BURSTS:
        send(gateway, burst)
        answers |= gateway.read_answers(len(burst))
    return len(answers) == ATTEMPT_COUNT and set(answers.values()) == {"ok"}


def run(case: Case) -> int:
    """Runs the case."""
    folder = str(case.folder / "ledger")
    server = case.add_server("n1", toml)
    server.start()
    case.wait_until("the server is ready", 20, lambda: server.events("engine_ready"))
    gateway = Gateway(server)
    send(gateway, BURSTS[0])
    gateway.read_answers(len(BURSTS[0]))
    time.sleep(BURST_INTERVAL_SECONDS)
    send(gateway, BURSTS[1])
    if case.has_trouble:
        gateway.wait_for_answer()
        time.sleep(LAST_ANSWERS_SECONDS)
        server.kill()
        gateway.close()
        case.record.write("the answers to the second burst are lost with the connection")
    else:
        gateway.read_answers(len(BURSTS[1]))
        gateway.close()
        time.sleep(0.5)
        server.terminate()
        server.wait_for_exit(5)
    server.start()
    case.wait_until("the server is ready again", 20, lambda: len(server.events("engine_ready")) == 2)
    with UsageStore.from_settings(settings(folder)) as store:
        disputed_count = len(store.disputed())
    case.record.write("disputed uses after the restart:", disputed_count)
    if case.has_trouble:
        command = [sys.executable, __file__, RESOLVE, folder]
        output = subprocess.run(command, capture_output=True, text=True, check=True, timeout=20).stdout
        case.record.write("the operator bills the disputed uses; billed:", output.strip())
    after_resolve = billed_uses(folder)
    case.record.write("billed uses before the retries:", after_resolve)
    is_answered = retry_all(server)
    time.sleep(0.5)
    server.terminate()
    server.wait_for_exit(5)
    billed = billed_uses(folder)
    case.record.write("billed uses at the end:", billed, "attempts:", ATTEMPT_COUNT)
    if not is_answered or (case.has_trouble and not disputed_count):
        give_up("a retry was not answered ok, or no use was disputed")
    text = f"{ATTEMPT_COUNT} attempts, {disputed_count} disputed by the kill, {billed} uses billed"
    return case.verdict(billed <= ATTEMPT_COUNT, text)


if __name__ == "__main__":
    if sys.argv[1:2] == [RESOLVE]:
        resolve(sys.argv[2])
    else:
        play(__file__, run)
