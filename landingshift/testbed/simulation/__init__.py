"""Servers in virtual time: clocks, network, disks, and the decisions of all packages behind them."""
