"""HTTP to the receiver of an export, as `docs/ledger-export.md` specifies."""

from __future__ import annotations

import http.client
from typing import Protocol
from urllib.parse import quote, urlsplit

from google.protobuf.message import DecodeError

from landingshift.ledger.errors import (
    EmptyReplyError,
    InvalidReceiverUrlError,
    ReceiverConnectionError,
    UnexpectedStatusError,
)
from landingshift.ledger.export_pb2 import Ack

MAX_REPLY_BYTES = 1 << 16
HEADERS = {"Content-Type": "application/x-protobuf"}
BATCH_PATH = "/v1/batch"
READABLE_STATUSES = (200, 409)  # 409: the batch is not at the receiver's cursor; the reply says which is


def cursor_path(instance: str) -> str:
    """Where to ask for the cursor of an instance."""
    return f"/v1/cursor?instance={quote(instance)}"


class Receiver(Protocol):
    """Whatever takes an export."""

    def request(self, method: str, path: str, body: bytes | None = None, /) -> Ack:
        """Sends a request.

        Raises:
            ReceiverUnavailableError: There is no reply that can be read.
        """


class HttpReceiver:
    """A receiver behind HTTP; each request has a connection of its own."""

    def __init__(self, url: str, timeout_ms: float) -> None:
        """Connects at each request.

        Args:
            url: Like http://127.0.0.1:8080/ledger.
            timeout_ms: Of each request.

        Raises:
            InvalidReceiverUrlError: The address is none of HTTP.
        """
        parts = urlsplit(url)
        if parts.scheme not in ("http", "https") or not parts.hostname:
            raise InvalidReceiverUrlError(url)
        self._parts = parts
        self._timeout_seconds = timeout_ms / 1000.0

    def request(self, method: str, path: str, body: bytes | None = None) -> Ack:
        """Sends a request.

        Raises:
            ReceiverUnavailableError: There is no reply that can be read.
        """
        connection = self._connect()
        try:
            connection.request(method, self._parts.path.rstrip("/") + path, body, HEADERS)
            reply = connection.getresponse()
            return _decode_reply(reply.status, reply.read(MAX_REPLY_BYTES))
        except (OSError, http.client.HTTPException, DecodeError) as err:
            raise ReceiverConnectionError(err) from err
        finally:
            connection.close()

    def _connect(self) -> http.client.HTTPConnection:
        is_encrypted = self._parts.scheme == "https"
        connection_type = http.client.HTTPSConnection if is_encrypted else http.client.HTTPConnection
        return connection_type(str(self._parts.hostname), self._parts.port, timeout=self._timeout_seconds)


def _decode_reply(status: int, data: bytes) -> Ack:
    if status not in READABLE_STATUSES:
        raise UnexpectedStatusError(status)
    ack: Ack = Ack.FromString(data)
    if not ack.instance:
        raise EmptyReplyError
    return ack
