"""Figures of a run with real servers, from samples of their answers, memory and descriptors."""

from __future__ import annotations

import os
import resource
from itertools import pairwise
from pathlib import Path
from typing import Any, NamedTuple

from landingshift.testbed.experiments.scenarios import Fault

RECOVERED_TOLERANCE_PERCENT = 2.0
"""Of the share answered ok before a fault, within which service counts as recovered."""
MAX_RECOVERY_SECONDS = 25.0
"""After the end of a fault, until which its recovery is looked for."""
BASELINE_SECONDS = 5.0
"""Before a fault, in which the share answered ok is what service should come back to."""
RECOVERY_WINDOW_SECONDS = 2.0
RECOVERY_STEP_SECONDS = 0.5
ISOLATION_SECONDS = 10.0
"""After a fault, in which no other may begin."""
NO_SERVICE_FAULT_KINDS = ("change", "wish", "load")
NO_ANSWERS = -1.0
QUARTERS_COUNT = 4


class AnswerSample(NamedTuple):
    """What gateways had got so far.

    Attributes:
        elapsed_seconds: Since the run began.
        ok_count: RPCs that were answered ok.
        answered_count: RPCs that were answered at all.
    """

    elapsed_seconds: float
    ok_count: int
    answered_count: int


class ProcessSample(NamedTuple):
    """What the system says of the servers' processes.

    Attributes:
        elapsed_seconds: Since the run began.
        resident_mb: The mean of all.
        descriptor_count: The same of open descriptors.
    """

    elapsed_seconds: float
    resident_mb: float
    descriptor_count: float


def sample_processes(process_ids: list[int], elapsed_seconds: float) -> ProcessSample | None:
    """Returns the mean of processes; None where none of them runs."""
    found = [usage for usage in map(_usage_of, process_ids) if usage is not None]
    if not found:
        return None
    resident_mb = sum(usage[0] for usage in found) / len(found)
    descriptor_count = sum(usage[1] for usage in found) / len(found)
    return ProcessSample(elapsed_seconds, resident_mb, descriptor_count)


def _usage_of(process_id: int) -> tuple[float, int] | None:
    """Returns resident MB and open descriptors; None where it does not run."""
    try:
        resident_pages = int(Path(f"/proc/{process_id}/statm").read_text().split()[1])
        descriptor_count = len(os.listdir(f"/proc/{process_id}/fd"))
    except OSError:
        return None
    return resident_pages * resource.getpagesize() / 1e6, descriptor_count


def quarter_figures(samples: list[ProcessSample]) -> dict[str, Any]:
    """Returns the means of each quarter of the run, which show what grows."""
    if len(samples) < QUARTERS_COUNT:
        return {}
    count = len(samples)
    bounds = [count * quarter // QUARTERS_COUNT for quarter in range(QUARTERS_COUNT + 1)]
    quarters = [samples[first:last] for first, last in pairwise(bounds)]
    return {
        "memory_mb": [_mean([sample.resident_mb for sample in quarter]) for quarter in quarters],
        "descriptors": [_mean([sample.descriptor_count for sample in quarter]) for quarter in quarters],
    }


def _mean(values: list[float]) -> float:
    return round(sum(values) / len(values), 1)


def ok_percent(answers: list[AnswerSample], since_seconds: float, until_seconds: float) -> float:
    """Returns the share of answers of a time that were ok; `NO_ANSWERS` where none came."""
    within = [sample for sample in answers if since_seconds <= sample.elapsed_seconds <= until_seconds]
    if len(within) < 2 or within[-1].answered_count == within[0].answered_count:
        return NO_ANSWERS
    ok_count = within[-1].ok_count - within[0].ok_count
    return 100.0 * ok_count / (within[-1].answered_count - within[0].answered_count)


def recovery_figures(answers: list[AnswerSample], faults: list[Fault]) -> dict[str, Any]:
    """Returns how long service takes to recover from faults that no other one overlapped.

    Args:
        answers: By time.
        faults: All of the run.

    Returns:
        How many faults stood alone, and the median and the worst of the seconds from the end of each until
        the share answered ok is back.
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
    """Returns the time from a fault's end until service is back; None where nothing came before it."""
    start_seconds = fault.start_ms / 1000.0
    end_seconds = (fault.start_ms + fault.duration_ms) / 1000.0
    percent_before = ok_percent(answers, start_seconds - BASELINE_SECONDS, start_seconds)
    if percent_before < 0.0:
        return None
    at_seconds = end_seconds
    while at_seconds < end_seconds + MAX_RECOVERY_SECONDS:
        percent = ok_percent(answers, at_seconds, at_seconds + RECOVERY_WINDOW_SECONDS)
        if percent >= percent_before - RECOVERED_TOLERANCE_PERCENT:
            break
        at_seconds += RECOVERY_STEP_SECONDS
    return at_seconds - end_seconds
