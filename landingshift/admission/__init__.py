"""Every decision about an RPC: whether it is taken, when it runs, what its caller hears."""
