"""Provides the event loop, timers, sockets and worker processes, independent of the message formats."""
