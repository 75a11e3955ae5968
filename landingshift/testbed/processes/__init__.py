"""Real server processes with stand-ins, a proxy that injects faults, and load."""
