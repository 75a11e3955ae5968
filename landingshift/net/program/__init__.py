"""The program: configuration, optional packages, log, signals and the wiring of the server."""
