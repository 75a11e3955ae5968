"""The base class of all errors that the packages raise."""

from __future__ import annotations


class LandingshiftError(Exception):
    """Base class of all errors of this library."""
