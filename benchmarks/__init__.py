"""Benchmarks. They run for minutes and are not part of the tests."""
