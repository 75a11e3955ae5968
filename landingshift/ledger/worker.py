"""The process that keeps the store: commits in groups what the server says, and tells what is durable.

Whatever was read when the server's end closes is committed before it goes: the server may have been killed.
"""

from __future__ import annotations

import os
import signal
import socket
import sqlite3
import sys
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress

import msgspec

from landingshift import failpoints
from landingshift.ledger.book import Refused
from landingshift.ledger.entries import Batch, Word
from landingshift.ledger.settings import Settings
from landingshift.ledger.store import BadStore, Lock, Store
from landingshift.net.transport.worker import FrameDecoder, encode_frame, inherited_socket

GROUP = 4 << 20  # bytes read into one commit at the most
PAUSES = (0.02, 0.1, 0.25, 0.5, 1.0)  # s between tries of a commit that fails


def now() -> int:
    return round(time.time() * 1000.0)


def main() -> int:
    signal.signal(signal.SIGTERM, signal.SIG_IGN)  # the server says when: it may still have uses to bring
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings = msgspec.json.decode(sys.argv[1], type=Settings)
    run = bytes.fromhex(sys.argv[2])
    sock = inherited_socket()
    encode = msgspec.msgpack.encode

    def tell(word: Word) -> None:
        with suppress(OSError):  # the server is gone; what it said is still to be committed
            sock.sendall(encode_frame(encode(word)))

    try:
        os.makedirs(settings.folder, mode=0o700, exist_ok=True)
        lock = Lock(settings.folder, settings.lock_wait_ms)
        store = opened(settings)
        store.open_run(run, now())
    except (BadStore, OSError, sqlite3.Error) as err:
        tell(Word(-1, str(err)))
        return 2
    tell(Word(store.book.batch))
    frames, decode = FrameDecoder(), msgspec.msgpack.Decoder(Batch).decode
    waiting: deque[Batch] = deque()
    there, pause = True, 0
    while there or waiting:
        if there and not waiting:
            there = more(sock, frames, waiting, decode, True)
        while there and len(frames.buffer) < GROUP and more(sock, frames, waiting, decode, False):
            pass
        if not waiting:
            continue
        failpoints.reach("ledger.take")
        try:
            with store.changing() as book:
                for batch in waiting:
                    book.take(batch, now())
        except Refused as err:
            tell(Word(store.book.batch, str(err)))
            return 1
        except sqlite3.Error as err:
            # Full or slow disks come back: nothing is dropped here, the server's bound is the bound.
            tell(Word(-1, f"{store.path}: {err}"))
            if not there and pause >= len(PAUSES):
                return 1  # nobody waits any more, and the disk does not come back
            time.sleep(PAUSES[min(pause, len(PAUSES) - 1)])
            pause += 1
            continue
        pause = 0
        acked = waiting[-1].number
        waiting.clear()
        failpoints.reach("ledger.acking")
        tell(Word(acked, shortened=store.book.recent.shortened))
    store.close()
    lock.close()
    return 0


def opened(settings: Settings) -> Store:
    return Store(
        settings.folder,
        settings.instance,
        settings.zone,
        settings.period,
        settings.window_s * 1000,
        settings.recent,
    )


def more(
    sock: socket.socket,
    frames: FrameDecoder,
    waiting: deque[Batch],
    decode: Callable[[bytes], Batch],
    wait: bool,
) -> bool:
    """Takes what has come; False at the end, or where nothing more is there and it is not to wait."""
    sock.setblocking(wait)
    try:
        data = sock.recv(1 << 18)
    except BlockingIOError:
        return False
    except OSError:
        data = b""
    waiting.extend(decode(message) for message in frames.feed(data))
    return bool(data)


if __name__ == "__main__":
    sys.exit(main())
