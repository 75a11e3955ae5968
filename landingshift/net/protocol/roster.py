"""The datagram that tells the roster of servers that this one is present."""

from __future__ import annotations


def encode_presence(server_name: str, is_healthy: bool) -> bytes:
    """The report that the server exists and whether callers may choose it."""
    return f"HERE {server_name} {'on' if is_healthy else 'off'}".encode()
