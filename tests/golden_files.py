"""Compares what the program writes with files under `tests/golden/` that an earlier build wrote.

The files are the contract with all that is outside of a process: peers, disks and repeated simulations.
`LANDINGSHIFT_WRITE_GOLDEN=1` writes the files that do not exist yet; a file that exists is never written.
"""

from __future__ import annotations

import json
import os
import unittest
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).parent / "golden"
WRITE = os.environ.get("LANDINGSHIFT_WRITE_GOLDEN") == "1"


def plain(value: Any) -> Any:
    """JSON for `value`: bytes become `{"hex": ...}`, tuples become lists."""
    match value:
        case bytes() | bytearray():
            return {"hex": bytes(value).hex()}
        case dict():
            return {str(key): plain(each) for key, each in value.items()}
        case list() | tuple():
            return [plain(each) for each in value]
    return value


def from_plain(value: Any) -> Any:
    """The value of which `plain` made this JSON, with lists for tuples."""
    match value:
        case {"hex": str(digits)} if len(value) == 1:
            return bytes.fromhex(digits)
        case dict():
            return {key: from_plain(each) for key, each in value.items()}
        case list():
            return [from_plain(each) for each in value]
    return value


def golden_json(name: str) -> Any:
    """The content of a golden JSON file."""
    return from_plain(json.loads((FOLDER / name).read_text()))


def golden_bytes(name: str) -> bytes:
    """The content of a golden file that is not JSON."""
    return (FOLDER / name).read_bytes()


def assert_golden_json(test: unittest.TestCase, name: str, value: Any) -> None:
    """Fails where `value` differs from the golden JSON file `name`."""
    path = FOLDER / name
    if WRITE and not path.exists():
        rows = ",\n".join(f" {json.dumps(k)}: {json.dumps(plain(v))}" for k, v in value.items())
        path.write_text("{\n" + rows + "\n}\n")
    test.maxDiff = None
    test.assertEqual(json.loads(json.dumps(plain(value))), json.loads(path.read_text()))


def assert_golden_bytes(test: unittest.TestCase, name: str, value: bytes) -> None:
    """Fails where `value` differs from the golden file `name` by a byte."""
    path = FOLDER / name
    if WRITE and not path.exists():
        path.write_bytes(value)
    test.assertEqual(value, path.read_bytes())
