"""The policies that simulations propose."""

from __future__ import annotations

import msgspec

AUTHOR = "lab"
COMMENT = "a trial"


def policy_document(number: int) -> bytes:
    """Returns an encoded policy, which is different for each `number`."""
    return msgspec.msgpack.encode({"methods": {"m": {"criticality": float(number + 2)}}})
