"""HTTP client for the receiver of an export; the protocol is specified in `docs/ledger-export.md`."""

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
READABLE_STATUSES = (200, 409)
"""HTTP statuses of valid replies. Status 409 means that the batch did not start at the receiver's cursor,
which the reply contains."""


def cursor_path(instance: str) -> str:
    """Returns the URL path of an instance's cursor."""
    return f"/v1/cursor?instance={quote(instance)}"


class Receiver(Protocol):
    """Receiver of an export."""

    def request(self, method: str, path: str, body: bytes | None = None, /) -> Ack:
        """Sends an HTTP request and returns the decoded reply.

        Raises:
            ReceiverUnavailableError: The receiver sent no valid reply.
        """


class HttpReceiver:
    """A receiver reached over HTTP; each request opens its own connection."""

    def __init__(self, url: str, timeout_ms: float) -> None:
        """Creates a client, without connecting yet.

        Args:
            url: Base URL of the receiver, like http://127.0.0.1:8080/ledger.
            timeout_ms: Timeout of each socket operation.

        Raises:
            InvalidReceiverUrlError: The URL is not an http or https URL.
        """
        parts = urlsplit(url)
        if parts.scheme not in ("http", "https") or not parts.hostname:
            raise InvalidReceiverUrlError(url)
        self._parts = parts
        self._timeout_seconds = timeout_ms / 1000.0

    def request(self, method: str, path: str, body: bytes | None = None) -> Ack:
        """Sends an HTTP request and returns the decoded reply.

        Raises:
            ReceiverUnavailableError: The receiver sent no valid reply.
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
