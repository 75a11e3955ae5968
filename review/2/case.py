"""A break of the engine link lets a run take the reply to one call for the reply to its next call."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    BROKEN,
    HELD,
    NOT_RUN,
    Database,
    Engine,
    Gateway,
    Platform,
    Roster,
    Run,
    Server,
    Try,
    call_body,
    play,
    reply_body,
    small_deployment,
)

SEED = 45
DAY_SECONDS = 75.0
GATEWAYS = 5
REQUESTS_BEFORE_BREAK = 12
REQUESTS_AT_RELINK = 20
MAX_OPEN = 32
WAIT_MS = 2500.0
BREAK_AFTER_SECONDS = (0.06, 0.16)
CYCLE_SECONDS = 1.25
WORK_MS = (4.0, 16.0)
CALLS = (1, 2, 3)
CALL_MS = (5.0, 20.0)
CLIMB_GRADE = {
    "name": "climb-grade", "effect": "retryable", "slo": 1500.0, "give-up": 3000.0, "repeat-window": 5000.0,
    "value": 5.0, "calls": True, "skip_worth": 0.6,
}  # fmt: skip


class Callers:
    """Gateways that each send some requests at the same moment."""

    def __init__(self, platform: Platform, gateways: list[Gateway]) -> None:
        self.platform = platform
        self.gateways = gateways
        self.requests: list[Try] = []
        self.answers: list[asyncio.Future[str]] = []

    def send_burst(self, count: int) -> None:
        """Sends up to `count` requests on each connection, all at once."""
        writes = []
        for gateway in self.gateways:
            fitting = min(count, MAX_OPEN - len(gateway.open))
            requests = [self.platform.new_try("climb-grade", b"route", WAIT_MS) for _ in range(fitting)]
            data, answers = gateway.prepare(*requests)
            self.requests += requests
            self.answers += answers
            writes.append((gateway, data))
        for gateway, data in writes:
            gateway.transport.write(data)


def plan(platform: Platform) -> list[float]:
    """Returns the work of a run with one to three calls."""
    calls = platform.rng.choice(CALLS)
    return [platform.rng.uniform(*WORK_MS) for _ in range(calls + 1)]


async def play_day(platform: Platform, server: Server, engine: Engine) -> list[Try]:
    """Plays bursts of requests and breaks of the link, each break answered by a burst; returns the tries."""
    gateways = [await Gateway.connect(platform, server.address, number) for number in range(GATEWAYS)]
    callers = Callers(platform, gateways)
    engine.on_relinked = lambda: callers.send_burst(REQUESTS_AT_RELINK)
    end = time.monotonic() + DAY_SECONDS
    while time.monotonic() < end:
        callers.send_burst(REQUESTS_BEFORE_BREAK)
        delay = platform.rng.uniform(*BREAK_AFTER_SECONDS)
        await asyncio.sleep(delay)
        if platform.has_trouble:
            engine.break_link()
        else:
            callers.send_burst(REQUESTS_AT_RELINK)
        await asyncio.sleep(CYCLE_SECONDS - delay)
    await asyncio.gather(*callers.answers)
    return callers.requests


async def case(platform: Platform) -> int:
    """Plays the day and checks that each call of a run got the database's reply to that call."""
    engine = Engine(platform, lambda _request: plan(platform), cores=6)
    spoilt: dict[str, Run] = {}

    def on_feed(run: Run) -> None:
        wanted = reply_body(call_body(run.request.rpc_id, run.calls_done))
        if run.replies[-1] != wanted:
            spoilt[run.request.rpc_id] = run
            platform.record.add(
                "foreign_reply", run.request.rpc_id, f"call={run.calls_done}", run.replies[-1]
            )

    engine.on_feed = on_feed
    database = Database(platform, engine, lambda: platform.rng.uniform(*CALL_MS))
    config = small_deployment(
        platform, await engine.listen(), await database.listen(), await Roster.listen(platform), [CLIMB_GRADE]
    )
    server = Server(config)
    try:
        server.start()
        if not await server.wait_ready():
            return NOT_RUN
        requests = await play_day(platform, server, engine)
        answers = Counter(one.answer for one in requests)
        served = [run.request.rpc_id for run in spoilt.values() if run.request.answer == "ok"]
        for rpc_id in served:
            platform.record.add("served_from_foreign_reply", rpc_id, platform.tries[rpc_id].result)
        print(f"{len(requests)} requests {dict(answers)}; {len(spoilt)} runs got the reply to another call")
        print(f"{len(served)} of these were answered as served, from that reply")
        return BROKEN if spoilt else HELD
    finally:
        server.close()


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, SEED, case))
