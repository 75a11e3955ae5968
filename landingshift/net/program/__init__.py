"""The program: its configuration, log, signals and wiring."""
