"""Measures the time of the parts of a hot restart: `python -m benchmarks.hot_restart`.

Prints medians of 20 repetitions, all measured within one process.
"""

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
from landingshift.hot_restart.request_journal import (
    USED_BYTES,
    USED_BYTES_OFFSET,
    RecordKind,
    RequestJournal,
)

REPEAT_COUNT = 20
DESCRIPTOR_COUNT = 400
RPC_COUNT = 1000
CALLER_COUNT = 40
RECORD_COUNT = 10_000
RECORD_BYTES = 1024
JOURNAL_BYTES = 64 << 20
FRAME_KIND = 1
DEADLINE_MS = 30_000.0

METHOD = Method(
    idempotency=Idempotency.IDEMPOTENT,
    latency_objective_ms=1000.0,
    objective_work_factor=0.0,
    deadline_ms=DEADLINE_MS,
    criticality=1.0,
    late_value_fraction=0.0,
    dedup_window_ms=0.0,
    calls_downstream=True,
    degraded_value_fraction=0.0,
)
SETTINGS = Settings(
    methods=[METHOD],
    tenants=[],
    over_quota_value_fraction=1.0,
    criticality_is_per_work=False,
    server_count=4,
    caller_count=8,
    starts_cold=False,
    cold_speed_fraction=0.2,
    warm_up_ms=9000.0,
    memory_kb=1e9,
    running_memory_factor=2.0,
    dedup_entry_kb=0.0,
    response_cache_ttl_ms=0.0,
    run_cancellation=RunCancellation.NONE,
    downstream=DownstreamKind.NONE,
    downstream_concurrency_quota=0.0,
    downstream_quota_window_ms=0.0,
    lost_call_linger_ms=0.0,
    load_advertisement=LoadAdvertisement.NONE,
    callers_send_deadline=True,
    callers_mark_retries=False,
    max_retry_after_ms=0.0,
    connection_idle_timeout_ms=30_000.0,
    drain_grace_ms=1000.0,
    max_runs_per_core=8.0,
)


class NoActions:
    """Actions of the admission controller that do nothing; accepts every action."""

    def __getattr__(self, _: str) -> Callable[..., None]:
        """Returns a function without effect for any action."""
        return lambda *_: None


def median_ms(operation: Callable[[], object]) -> float:
    """Returns the median duration of `REPEAT_COUNT` calls of `operation`."""
    durations_ms = []
    for _ in range(REPEAT_COUNT):
        started_at_seconds = time.perf_counter()
        operation()
        durations_ms.append((time.perf_counter() - started_at_seconds) * 1000.0)
    return median(durations_ms)


def measure_descriptors() -> None:
    """Measures sending descriptors over the channel and closing the received copies."""
    old_socket, new_socket = socket.socketpair()
    old_side, new_side = Channel(old_socket), Channel(new_socket)
    descriptors = [os.memfd_create("benchmark") for _ in range(DESCRIPTOR_COUNT)]

    def transfer() -> None:
        received: list[int] = []
        for start in range(0, DESCRIPTOR_COUNT, MAX_FRAME_DESCRIPTORS):
            old_side.send(Frame(FRAME_KIND, b"", descriptors[start : start + MAX_FRAME_DESCRIPTORS]))
            old_side.flush()
            for frame in new_side.receive():
                received += frame.descriptors
        for descriptor in received:
            os.close(descriptor)

    print(f"{DESCRIPTOR_COUNT} descriptors sent, received and closed: {median_ms(transfer):.2f} ms")
    for descriptor in descriptors:
        os.close(descriptor)
    old_side.close()
    new_side.close()


def measure_state() -> None:
    """Measures the export, encoding, decoding and import of the admission controller's state."""
    old = AdmissionController(SETTINGS, 1, NoActions(), 0.0)  # type: ignore[arg-type]
    for number in range(RPC_COUNT):
        old.now_ms += 0.1
        caller_id = number % CALLER_COUNT
        rpc = Rpc(METHOD, None, DEADLINE_MS, 0.0, 10.0, caller_id, None, False, False, False, False)
        managed_rpc = old.on_rpc_read(rpc)
        old.settle()
        if number % 3 == 0 and managed_rpc.state is not None:
            old.on_run_finished(next(iter(old.state.rpcs_by_state[managed_rpc.state])), Outcome.OK, 5.0)
    exported, managed_rpcs = old.export_state()
    encoded = msgpack.encode(exported)
    new = AdmissionController(SETTINGS, 1, NoActions(), 0.0)  # type: ignore[arg-type]
    rpcs = [managed_rpc.rpc for managed_rpc in managed_rpcs]
    print(f"{len(managed_rpcs)} open RPCs, {len(encoded) // 1024} KB")
    print(f"exported and encoded: {median_ms(lambda: msgpack.encode(old.export_state()[0])):.2f} ms")

    def import_state() -> None:
        for rpcs_in_state in new.state.rpcs_by_state.values():
            rpcs_in_state.clear()
        new.import_state(msgpack.decode(encoded), rpcs)

    print(f"decoded and imported: {median_ms(import_state):.2f} ms")


def measure_journal() -> None:
    """Measures journal records of 1 KB; reading an RPC on probation writes a record of about this size."""
    record = bytes(RECORD_BYTES)
    journal = RequestJournal.create(JOURNAL_BYTES)

    def write_records() -> None:
        USED_BYTES.pack_into(journal.memory, USED_BYTES_OFFSET, 0)
        for number in range(RECORD_COUNT):
            journal.write(RecordKind.BYTES_READ, number, record)

    microseconds = median_ms(write_records) * 1000.0 / RECORD_COUNT
    print(f"journal record of 1 KB: {microseconds:.2f} us")
    journal.close()


if __name__ == "__main__":
    measure_descriptors()
    measure_state()
    measure_journal()
