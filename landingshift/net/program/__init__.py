"""The server program: reads the configuration, loads optional packages, and runs the server."""
