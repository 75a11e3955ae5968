"""Load, stand-ins and experiments, which show what a change does under failures injected from a seed."""

import os

MEMORY = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None
"""The folder on a file system in memory, for files whose disk is not what a test is about."""
