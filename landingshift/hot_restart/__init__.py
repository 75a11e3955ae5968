"""Hot restart: a new build takes over the sockets and open RPCs of the running server.

If this fails, the old process continues to serve.

The server does not use this package yet. `docs/upgrade.md` describes the design and the missing parts.
"""
