"""What is measured: a file for each subsystem, simulated rows and rows of real processes."""
