"""Load generators, stand-ins and experiments that show how a change behaves under injected faults.

The faults are drawn from a seed.
"""

import os

MEMORY = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None
"""Folder of an in-memory file system for temporary files whose disk behaviour is not under test.

None, which selects the default folder for temporary files, where there is no such file system.
"""
