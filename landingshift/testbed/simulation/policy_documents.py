"""Policies that simulations propose."""

from __future__ import annotations

import msgspec

AUTHOR = "lab"
COMMENT = "a trial"


def policy_document(number: int) -> bytes:
    """Returns a policy that differs from those of other numbers."""
    return msgspec.msgpack.encode({"methods": {"m": {"criticality": float(number + 2)}}})
