"""Invariants over histories, exhaustive search of small models, shrinking of failing scenarios."""
