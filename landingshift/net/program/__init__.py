"""Configuration, log, signals and wiring."""
