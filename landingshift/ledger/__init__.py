"""Use per tenant: what is billed, in which period, durable, exported once and reconciled."""
