"""A new build takes over sockets and all work in hand, or the old one carries on."""
