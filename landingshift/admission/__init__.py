"""Admission control of one server: accepting, queueing, running and rejecting RPCs, and reporting load."""
