"""Load, stand-ins and experiments: what a change does, shown with failures brought about from a seed."""
