"""Simulates servers in virtual time: clocks, network and disks, with the decision code of all packages."""
