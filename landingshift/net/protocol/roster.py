"""The report to the roster."""

from __future__ import annotations


def here(name: str, good: bool) -> bytes:
    return f"HERE {name} {'on' if good else 'off'}".encode()
