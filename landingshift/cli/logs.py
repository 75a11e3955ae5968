"""Logs of the commands that run for long: lines like the server's, by structlog with orjson."""

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
    """Puts Unix ms and the event's name in front, as the server's lines have them."""
    return {"t": round(time.time() * 1000.0), "event": event.pop("event"), **event}


def encode_json(event: MutableMapping[str, Any], **_: Any) -> str:
    """Returns a line."""
    return orjson.dumps(event, default=str).decode()


def event_logger() -> Callable[..., None]:
    """Returns what is called with an event's name and its fields; the lines go to standard error."""
    log = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[add_timestamp, structlog.processors.JSONRenderer(encode_json)],
    )
    return lambda event, **fields: log.info(event, **fields)
