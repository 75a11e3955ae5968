"""Samples of the answers, memory and file descriptors of real servers, and the statistics of a run."""

from __future__ import annotations

import os
import resource
from itertools import pairwise
from pathlib import Path
from typing import Any, NamedTuple

from landingshift.testbed.experiments.scenarios import Fault

RECOVERED_TOLERANCE_PERCENT = 2.0
"""Service has recovered if the ok percentage is less than this many points below that before the fault."""
MAX_RECOVERY_SECONDS = 25.0
"""Longest recovery time that is measured, from the end of a fault."""
BASELINE_SECONDS = 5.0
"""Time before a fault over which the ok percentage is measured that service has to return to."""
RECOVERY_WINDOW_SECONDS = 2.0
RECOVERY_STEP_SECONDS = 0.5
ISOLATION_SECONDS = 10.0
"""Recovery from a fault is measured only if no other fault begins within this time after its end."""
NO_SERVICE_FAULT_KINDS = ("change", "wish", "load")
"""Kinds from which no recovery is measured: operator commands and changes of the load."""
NO_ANSWERS = -1.0
QUARTER_COUNT = 4


class AnswerSample(NamedTuple):
    """Number of answers that gateways have received so far.

    Attributes:
        elapsed_seconds: Time since the run began.
        ok_count: Number of RPCs that were answered ok.
        answered_count: Number of RPCs that were answered with any status.
    """

    elapsed_seconds: float
    ok_count: int
    answered_count: int


class ProcessSample(NamedTuple):
    """Resource usage of the server processes.

    Attributes:
        elapsed_seconds: Time since the run began.
        resident_mb: Mean resident memory per process, in MB.
        descriptor_count: Mean number of open file descriptors per process.
    """

    elapsed_seconds: float
    resident_mb: float
    descriptor_count: float


def sample_processes(process_ids: list[int], elapsed_seconds: float) -> ProcessSample | None:
    """Returns the mean resource usage of the given processes; None if none of them is running."""
    usages = [usage for usage in map(_process_usage, process_ids) if usage is not None]
    if not usages:
        return None
    resident_mb = sum(usage[0] for usage in usages) / len(usages)
    descriptor_count = sum(usage[1] for usage in usages) / len(usages)
    return ProcessSample(elapsed_seconds, resident_mb, descriptor_count)


def _process_usage(process_id: int) -> tuple[float, int] | None:
    """Returns a process's resident memory in MB and its open descriptors; None if it is not running."""
    try:
        resident_pages = int(Path(f"/proc/{process_id}/statm").read_text().split()[1])
        descriptor_count = len(os.listdir(f"/proc/{process_id}/fd"))
    except OSError:
        return None
    return resident_pages * resource.getpagesize() / 1e6, descriptor_count


def quarter_figures(samples: list[ProcessSample]) -> dict[str, Any]:
    """Returns mean memory and descriptors for each quarter of the run, which reveal leaks.

    The result is empty if there are fewer samples than quarters.
    """
    if len(samples) < QUARTER_COUNT:
        return {}
    count = len(samples)
    bounds = [count * quarter // QUARTER_COUNT for quarter in range(QUARTER_COUNT + 1)]
    quarters = [samples[first:last] for first, last in pairwise(bounds)]
    return {
        "memory_mb": [_mean([sample.resident_mb for sample in quarter]) for quarter in quarters],
        "descriptors": [_mean([sample.descriptor_count for sample in quarter]) for quarter in quarters],
    }


def _mean(values: list[float]) -> float:
    return round(sum(values) / len(values), 1)


def ok_percent(answers: list[AnswerSample], since_seconds: float, until_seconds: float) -> float:
    """Returns the percentage of the answers in a time range that were ok; `NO_ANSWERS` if there were none."""
    within = [sample for sample in answers if since_seconds <= sample.elapsed_seconds <= until_seconds]
    if len(within) < 2 or within[-1].answered_count == within[0].answered_count:
        return NO_ANSWERS
    ok_count = within[-1].ok_count - within[0].ok_count
    return 100.0 * ok_count / (within[-1].answered_count - within[0].answered_count)


def recovery_figures(answers: list[AnswerSample], faults: list[Fault]) -> dict[str, Any]:
    """Returns how long service took to recover from isolated faults.

    A fault is isolated if no other one is active from `BASELINE_SECONDS` before it to `ISOLATION_SECONDS`
    after it. Faults without a duration and the kinds `NO_SERVICE_FAULT_KINDS` are ignored.

    Args:
        answers: Samples in order of time.
        faults: All faults of the run.

    Returns:
        `alone` is the number of faults that were measured. `back_s` is the median number of seconds from the
        end of a fault until the ok percentage had recovered. `back_worst` is the maximum, with the kind of
        the fault. The last two are missing if no fault was measured.
    """
    service_faults = [
        fault for fault in faults if fault.kind not in NO_SERVICE_FAULT_KINDS and fault.duration_ms
    ]
    recoveries: list[tuple[float, str]] = []
    for fault in service_faults:
        if _overlaps_another(fault, service_faults):
            continue
        recovery_seconds = _recovery_seconds(answers, fault)
        if recovery_seconds is not None:
            recoveries.append((round(recovery_seconds, 1), fault.kind))
    if not recoveries:
        return {"alone": 0}
    recoveries.sort()
    median_seconds = recoveries[len(recoveries) // 2][0]
    return {"alone": len(recoveries), "back_s": median_seconds, "back_worst": list(recoveries[-1])}


def _overlaps_another(fault: Fault, faults: list[Fault]) -> bool:
    start_ms = fault.start_ms - BASELINE_SECONDS * 1000.0
    end_ms = fault.start_ms + fault.duration_ms + ISOLATION_SECONDS * 1000.0
    return any(
        other.start_ms < end_ms and other.start_ms + other.duration_ms > start_ms
        for other in faults
        if other is not fault
    )


def _recovery_seconds(answers: list[AnswerSample], fault: Fault) -> float | None:
    """Returns the seconds from the end of a fault until service has recovered.

    The result is at most about `MAX_RECOVERY_SECONDS`, and None if no answers came in the `BASELINE_SECONDS`
    before the fault.
    """
    start_seconds = fault.start_ms / 1000.0
    end_seconds = (fault.start_ms + fault.duration_ms) / 1000.0
    percent_before = ok_percent(answers, start_seconds - BASELINE_SECONDS, start_seconds)
    if percent_before < 0.0:
        return None
    window_start_seconds = end_seconds
    while window_start_seconds < end_seconds + MAX_RECOVERY_SECONDS:
        percent = ok_percent(answers, window_start_seconds, window_start_seconds + RECOVERY_WINDOW_SECONDS)
        if percent >= percent_before - RECOVERED_TOLERANCE_PERCENT:
            break
        window_start_seconds += RECOVERY_STEP_SECONDS
    return window_start_seconds - end_seconds
