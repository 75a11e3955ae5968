"""Compares the output of the code with golden files under `tests/golden/` that an earlier build wrote.

The files fix the formats on which peers, stored data and repeated simulations depend.
`LANDINGSHIFT_WRITE_GOLDEN=1` writes the files that do not exist yet; existing files are never changed.
"""

from __future__ import annotations

import json
import os
import unittest
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).parent / "golden"
WRITES_MISSING_FILES = os.environ.get("LANDINGSHIFT_WRITE_GOLDEN") == "1"


def to_json_value(value: Any) -> Any:
    """Converts `value` to JSON types: bytes become `{"hex": ...}`, tuples become lists."""
    match value:
        case bytes() | bytearray():
            return {"hex": bytes(value).hex()}
        case dict():
            return {str(key): to_json_value(each) for key, each in value.items()}
        case list() | tuple():
            return [to_json_value(each) for each in value]
    return value


def from_json_value(value: Any) -> Any:
    """Reverses `to_json_value`, except that tuples come back as lists."""
    match value:
        case {"hex": str(digits)} if len(value) == 1:
            return bytes.fromhex(digits)
        case dict():
            return {key: from_json_value(each) for key, each in value.items()}
        case list():
            return [from_json_value(each) for each in value]
    return value


def golden_json(name: str) -> Any:
    """Returns the content of a golden JSON file."""
    return from_json_value(json.loads((FOLDER / name).read_text()))


def golden_bytes(name: str) -> bytes:
    """Returns the bytes of a golden file that is not JSON."""
    return (FOLDER / name).read_bytes()


def assert_golden_json(test: unittest.TestCase, name: str, value: Any) -> None:
    """Asserts that `value` equals the content of the golden JSON file `name`."""
    path = FOLDER / name
    if WRITES_MISSING_FILES and not path.exists():
        rows = ",\n".join(f" {json.dumps(k)}: {json.dumps(to_json_value(v))}" for k, v in value.items())
        path.write_text("{\n" + rows + "\n}\n")
    test.maxDiff = None
    test.assertEqual(json.loads(json.dumps(to_json_value(value))), json.loads(path.read_text()))


def assert_golden_bytes(test: unittest.TestCase, name: str, value: bytes) -> None:
    """Asserts that `value` equals the golden file `name` byte for byte."""
    path = FOLDER / name
    if WRITES_MISSING_FILES and not path.exists():
        path.write_bytes(value)
    test.assertEqual(value, path.read_bytes())
