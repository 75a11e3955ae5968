"""Checks histories by invariants, explores small models exhaustively, and shrinks failing scenarios."""
