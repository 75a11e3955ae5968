"""Load, stand-ins and experiments: what a change does, shown with failures brought about from a seed."""

import os

MEMORY = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None  # for folders whose disk is not what is tried
