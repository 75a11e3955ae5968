"""Logs of the commands that run for long: lines like the server's, by structlog with orjson."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, MutableMapping
from typing import Any

import orjson
import structlog


def stamp(_logger: Any, _name: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    return {"t": round(time.time() * 1000.0), "event": event.pop("event"), **event}


def render(event: MutableMapping[str, Any], **_: Any) -> str:
    return orjson.dumps(event, default=str).decode()


def logger() -> Callable[..., None]:
    """Called with the event's name and its fields; lines go to standard error, results to standard output."""
    log = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr), processors=[stamp, structlog.processors.JSONRenderer(render)]
    )
    return lambda event, **fields: log.info(event, **fields)
