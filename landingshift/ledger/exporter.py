"""The exporter's hands: HTTP to the receiver, as `docs/ledger-export.md` specifies. A process of its own."""

from __future__ import annotations

import http.client
import time
from collections.abc import Callable
from random import Random
from typing import Any
from urllib.parse import quote, urlsplit

from google.protobuf.message import DecodeError

from landingshift import failpoints
from landingshift.ledger.cursor import Ask, Cursor, Idle, Send, Stop, Wait
from landingshift.ledger.export_pb2 import Ack
from landingshift.ledger.records import Exporting
from landingshift.ledger.store import Store

REPLY = 1 << 16  # bytes of one reply at the most
TYPE = {"Content-Type": "application/x-protobuf"}


class NoReply(Exception):
    """What became of what was sent is unknown; the text says how it ended."""


class Receiver:
    """`url` like http://127.0.0.1:8080/ledger; each question has a connection of its own."""

    def __init__(self, url: str, timeout: float) -> None:
        """`timeout` in ms. Raises ValueError for what is no such address."""
        parts = urlsplit(url)
        if parts.scheme not in ("http", "https") or not parts.hostname:
            raise ValueError(f"{url}: an http or https address is expected")
        self.parts, self.timeout = parts, timeout / 1000.0

    def ask(self, method: str, path: str, body: bytes | None = None) -> Ack:
        kind = http.client.HTTPSConnection if self.parts.scheme == "https" else http.client.HTTPConnection
        connection = kind(str(self.parts.hostname), self.parts.port, timeout=self.timeout)
        try:
            connection.request(method, self.parts.path.rstrip("/") + path, body, TYPE)
            reply = connection.getresponse()
            data = reply.read(REPLY)
            if reply.status not in (200, 409):  # 409: not its cursor; the reply says which is
                raise NoReply(f"status {reply.status}")
            ack: Ack = Ack.FromString(data)
            if not ack.instance:
                raise NoReply("an empty reply")
            return ack
        except (OSError, http.client.HTTPException, DecodeError) as err:
            raise NoReply(f"{type(err).__name__}: {err}") from err
        finally:
            connection.close()


def export(
    store: Store,
    receiver: Any,
    chance: Random,
    log: Callable[..., None],
    once: bool = True,
    sleep: Callable[[float], None] = time.sleep,
    poll: float = 1000.0,
) -> Stop | None:
    """Until all is exported (`once`) or without an end; a Stop where someone has to look. Times in ms."""
    entries = Exporting(store)
    cursor = Cursor(entries.hash_at, chance)
    path = f"/v1/cursor?instance={quote(store.instance)}"
    while True:
        newest = entries.newest()
        step = cursor.next(newest)
        reply: Ack | None = None
        try:
            match step:
                case Idle():
                    failpoints.reach("ledger.exported")
                    if once:
                        return None
                    sleep(poll / 1000.0)
                case Wait(ms=ms):
                    sleep(ms / 1000.0)
                case Ask():
                    reply = receiver.ask("GET", path)
                case Send(after=after):
                    batch = entries.batch(after)
                    assert batch is not None
                    failpoints.reach("ledger.export")
                    reply = receiver.ask("POST", "/v1/batch", batch.SerializeToString())
                    failpoints.reach("ledger.export_heard")
        except NoReply as err:
            cursor.failed()
            if cursor.fails & (cursor.fails - 1) == 0:  # the first, second, fourth, ... in a row
                log("export_failed", error=str(err), fails=cursor.fails)
            continue
        if reply is None:
            continue
        before = cursor.rewinds
        stop = cursor.heard(reply.cursor, reply.hash, entries.newest())
        if stop is not None:
            log("export_stopped", reason=stop.reason)
            return stop
        if cursor.rewinds > before:
            log("export_rewound", cursor=reply.cursor, had=cursor.most)
        note(store, reply.cursor)


def note(store: Store, cursor: int) -> None:
    """Kept for `status` and `compact` alone: the receiver is the authority."""
    if store.meta("exported") != cursor:
        with store.writing():
            store.note("exported", cursor)
