"""The network server, in layers that import only downward: program, routing, protocol, transport."""
