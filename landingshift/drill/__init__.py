"""The simulator's adapter: its wire in, calls of the controller, and the controller's actions out."""
