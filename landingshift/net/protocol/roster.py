"""Encodes the datagram that registers this server with the roster of servers."""

from __future__ import annotations


def encode_presence(server_name: str, is_healthy: bool) -> bytes:
    """Encodes the report that a server is running; if not `is_healthy`, callers should not select it."""
    return f"HERE {server_name} {'on' if is_healthy else 'off'}".encode()
