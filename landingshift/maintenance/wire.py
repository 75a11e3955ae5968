"""Encoding of reports and their answers as lists whose first element names the kind of the message."""

from __future__ import annotations

from typing import Any

from landingshift.maintenance.errors import InvalidMessageError
from landingshift.maintenance.messages import LoadReport, ReportAnswer, ServerStatus

PACKAGE = "upkeep"
"""Name of this package in the membership protocol, which carries its messages."""


def encode_report(report: LoadReport) -> list[Any]:
    """Returns the message body of a report."""
    status = report.status
    return [
        "at",
        report.sequence,
        status.capacity,
        status.model,
        status.serves_critical_methods,
        status.warm_fraction,
        status.rpcs_per_second,
        report.draining_permit,
        report.used_permit,
        status.ok_count,
        status.answered_count,
    ]


def encode_answer(answer: ReportAnswer) -> list[Any]:
    """Returns the message body of an answer."""
    return ["told", answer.sequence, answer.request_state, answer.permit_number, answer.valid_ms]


def decode_message(body: list[Any]) -> LoadReport | ReportAnswer:
    """Returns the report or the answer in a message body.

    Raises:
        InvalidMessageError: The body is neither.
    """
    match body:
        case [
            "at",
            int(sequence),
            float(capacity),
            str(model),
            bool(is_critical),
            float(warm_fraction),
            float(rpcs_per_second),
            int(draining_permit),
            int(used_permit),
            float(ok_count),
            float(answered_count),
        ]:
            status = ServerStatus(
                capacity=capacity,
                model=model,
                serves_critical_methods=is_critical,
                warm_fraction=warm_fraction,
                rpcs_per_second=rpcs_per_second,
                ok_count=ok_count,
                answered_count=answered_count,
            )
            return LoadReport(sequence, status, draining_permit, used_permit)
        case ["told", int(sequence), str(request_state), int(permit_number), float(valid_ms)]:
            return ReportAnswer(sequence, request_state, permit_number, valid_ms)
    raise InvalidMessageError
