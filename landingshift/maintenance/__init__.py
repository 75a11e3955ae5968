"""Machines taken out for work, in an order that the servers settle among themselves."""
