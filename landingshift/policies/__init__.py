"""Changes that hold everywhere or nowhere: an agreement among a few voters, and what stands on it."""
