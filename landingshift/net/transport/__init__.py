"""Event loop, timers, sockets and worker processes; independent of the messages that they carry."""
