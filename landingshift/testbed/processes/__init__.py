"""Runs real server processes with stand-ins for their services, a proxy that injects faults, and load."""
