"""Experiments: for each subsystem, test cases in virtual time and with real processes."""
