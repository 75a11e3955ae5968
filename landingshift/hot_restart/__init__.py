"""Hot restart: a new build takes over the sockets and all work in hand, or the old process goes on.

Not wired into the server yet; `docs/upgrade.md` tells the design and what is missing.
"""
