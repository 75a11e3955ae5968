"""The root of all errors that the packages raise for their callers."""

from __future__ import annotations


class LandingshiftError(Exception):
    """Base of each package's own base error."""
