"""Measurements that take minutes; no test runs them."""
