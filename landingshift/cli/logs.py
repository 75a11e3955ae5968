"""Event log of long-running commands: JSON lines like those of the server, written with structlog."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, MutableMapping
from typing import Any

import orjson
import structlog


def add_timestamp(
    _logger: Any, _method_name: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Returns the event with its time (Unix ms) and name as the first keys, the order of the server's log."""
    return {"t": round(time.time() * 1000.0), "event": event.pop("event"), **event}


def encode_json(event: MutableMapping[str, Any], **_: Any) -> str:
    """Returns an event as one line of JSON."""
    return orjson.dumps(event, default=str).decode()


def event_logger() -> Callable[..., None]:
    """Returns a function that takes an event's name and fields and writes them to standard error."""
    log = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[add_timestamp, structlog.processors.JSONRenderer(encode_json)],
    )
    return lambda event, **fields: log.info(event, **fields)
