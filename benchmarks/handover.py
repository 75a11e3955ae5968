"""What the parts of a handover cost: `python -m benchmarks.handover`. Medians of 20, one process."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable
from statistics import median

from msgspec import msgpack

from landingshift.admission.controller import AdmissionController
from landingshift.admission.interface import (
    DownstreamKind,
    Idempotency,
    LoadAdvertisement,
    Method,
    Outcome,
    Rpc,
    RunCancellation,
    Settings,
)
from landingshift.hot_restart.channel import MAX_FRAME_DESCRIPTORS, Channel, Frame
from landingshift.hot_restart.request_journal import RecordKind, RequestJournal

FDS, RPCS = 400, 1000


class Nothing:
    """Actions that do nothing."""

    def __getattr__(self, _: str) -> Callable[..., None]:
        return lambda *_: None


METHOD = Method(Idempotency.IDEMPOTENT, 1000.0, 0.0, 30000.0, 1.0, 0.0, 0.0, True, 0.0)
SETTINGS = Settings(
    [METHOD],
    [],
    1.0,
    False,
    4,
    8,
    False,
    0.2,
    9000.0,
    1e9,
    2.0,
    0.0,
    0.0,
    RunCancellation.NONE,
    DownstreamKind.NONE,
    0.0,
    0.0,
    0.0,
    LoadAdvertisement.NONE,
    True,
    False,
    0.0,
    30000.0,
    1000.0,
    8.0,
)


def timed(what: Callable[[], object]) -> float:
    """ms, the median of 20."""
    took = []
    for _ in range(20):
        began = time.perf_counter()
        what()
        took.append((time.perf_counter() - began) * 1000.0)
    return median(took)


def descriptors() -> None:
    """400 descriptors over the carrier and closed again on the other side."""
    ours, theirs = socket.socketpair()
    a, b = Channel(ours), Channel(theirs)
    fds = [os.memfd_create("x") for _ in range(FDS)]

    def move() -> None:
        got: list[int] = []
        for i in range(0, FDS, MAX_FRAME_DESCRIPTORS):
            a.send(Frame(1, b"", fds[i : i + MAX_FRAME_DESCRIPTORS]))
            a.flush()
            for frame in b.receive():
                got += frame.descriptors
        for fd in got:
            os.close(fd)

    print(f"{FDS} descriptors moved and closed: {timed(move):.2f} ms")
    for fd in fds:
        os.close(fd)
    a.close()
    b.close()


def state() -> None:
    """The module's state with 1,000 RPCs in hand, given, packed, unpacked and taken."""
    old = AdmissionController(SETTINGS, 1, Nothing(), 0.0)  # type: ignore[arg-type]
    for i in range(RPCS):
        old.now_ms += 0.1
        job = old.on_rpc_read(Rpc(METHOD, None, 30000.0, 0.0, 10.0, i % 40, None, False, False, False, False))
        old.settle()
        if i % 3 == 0 and job.state is not None:
            old.on_run_finished(next(iter(old.state.rpcs_by_state[job.state])), Outcome.OK, 5.0)
    _, jobs = old.export_state()
    packed = msgpack.encode(old.export_state()[0])
    new = AdmissionController(SETTINGS, 1, Nothing(), 0.0)  # type: ignore[arg-type]
    rpcs = [job.rpc for job in jobs]
    print(f"{len(jobs)} RPCs in hand, {len(packed) // 1024} KB")
    print(f"given and packed: {timed(lambda: msgpack.encode(old.export_state()[0])):.2f} ms")

    def take() -> None:
        for rpcs_in_state in new.state.rpcs_by_state.values():
            rpcs_in_state.clear()
        new.import_state(msgpack.decode(packed), rpcs)

    print(f"unpacked and taken: {timed(take):.2f} ms")


def journal() -> None:
    """Records of 1 KB, as an RPC read on probation makes."""
    record, shared = bytes(1024), RequestJournal.create(64 << 20)

    def write() -> None:
        shared.memory[8:16] = bytes(8)
        for i in range(10_000):
            shared.write(RecordKind.BYTES_READ, i, record)

    print(f"a record of 1 KB: {timed(write) / 10:.2f} us")
    shared.close()


if __name__ == "__main__":
    descriptors()
    state()
    journal()
