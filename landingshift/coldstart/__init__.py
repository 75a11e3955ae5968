"""A fleet that comes up together: places to start, shares of the store, the last list kept on disk."""
