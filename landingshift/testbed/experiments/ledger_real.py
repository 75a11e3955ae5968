"""Real servers killed under load: billed <= received <= billed + disputed, equal without a kill."""

from __future__ import annotations

import contextlib
import os
import signal
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from random import Random

from landingshift.ledger.audit import audit
from landingshift.ledger.entries import Settled, Use, decode, identity, numbers
from landingshift.ledger.store import Store
from landingshift.testbed.experiments.rows import Row, must
from landingshift.testbed.processes.single_server import METHOD, TENANT, Gateway, Stage

TOML = '[ledger]\nfolder = "{folder}/ledger"\ninstance = "lab"\nlock_wait_ms = 20000\n'
WAYS = ("none", "server", "store", "both", "slow")
SLOW = {"LANDINGSHIFT_SLOW": "ledger.commit:200"}  # ms a commit
ABREAST = 4


def fates(folder: str) -> tuple[set[bytes], set[bytes], list[str]]:
    """Identities that are counted, those that are disputed, and what an audit finds."""
    store = Store(folder + "/ledger", "lab", "UTC", "month", 900_000, 100_000)
    uses: dict[int, bytes] = {}
    counted: set[bytes] = set()
    for number, kind, data, _ in store.rows():
        entry = decode(kind, data)
        if isinstance(entry, Use):
            uses[number] = entry.identity
        elif isinstance(entry, Settled):
            counted |= {uses[n] for n in numbers(entry.counted)}
    disputed = {uses[n] for (n,) in store.db.execute("SELECT number FROM disputed")}
    found = [f"audit: entry {f.number}: {f.what}" for f in audit(store)]
    store.close()
    return counted, disputed, found


def one(chance: Random, way: str, forgets: bool) -> tuple[Row, int, int]:
    """One run; the row holds what broke, and how many were received and disputed."""
    row = Row(way)
    with tempfile.TemporaryDirectory() as folder:
        stage = Stage(folder, TOML.format(folder=folder))
        try:
            stage.env = SLOW if way == "slow" else {}
            stage.start()
            gateways = [Gateway(stage, f"{i}", 8) for i in range(4)]
            time.sleep(chance.uniform(0.05, 0.5))
            children = stage.children()
            if way in ("store", "both"):
                for child in children:
                    with contextlib.suppress(ProcessLookupError):
                        os.kill(child, signal.SIGKILL)
            if way in ("server", "both"):
                stage.kill()
            elif way in ("store", "slow"):
                time.sleep(0.5)
            for gateway in gateways:
                gateway.stopping = True
            for gateway in gateways:
                gateway.thread.join(15.0)
            if way in ("server", "both"):
                stage.start()
            stage.leave()
            got = {identity(TENANT.encode(), METHOD.encode(), False, body) for g in gateways for body in g.ok}
            billed, disputed, found = fates(folder)
            if forgets:
                disputed = set()
            row.broken += found[:2]
            must(row, billed <= got, f"{way}: {len(billed - got)} billed that nobody received")
            must(
                row,
                got <= billed | disputed,
                f"{way}: {len(got - billed - disputed)} received and not billed",
            )
            if way in ("none", "store", "slow"):
                must(row, billed == got and not disputed, f"{way}: billed {len(billed)} of {len(got)}")
            late = max((t for g in gateways for t in g.took), default=0.0)
            must(row, late < 3000.0, f"{way}: an answer came after {late:.0f} ms")
            return row, len(got), len(disputed)
        finally:
            stage.close()


def kills(runs: int, seed: int, take_away: str | None = None) -> Row:
    row = Row("kills", figures={"received": 0, "disputed": 0, "most_disputed": 0})
    forgets = take_away == "disputed"
    with ThreadPoolExecutor(ABREAST) as pool:
        jobs = [
            pool.submit(one, Random(f"{seed} kill {i}"), WAYS[i % len(WAYS)], forgets) for i in range(runs)
        ]
        for job in jobs:
            try:
                done, received, disputed = job.result()
            except Exception as err:
                row.broken.append(f"{type(err).__name__}: {err}")
                continue
            finally:
                row.runs += 1
            row.broken += done.broken
            row.figures["received"] += received
            row.figures["disputed"] += disputed
            row.figures["most_disputed"] = max(row.figures["most_disputed"], disputed)
    return row
