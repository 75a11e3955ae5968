"""Cold start of a whole cluster: start permits, leased call quotas, discovery and the endpoint cache."""
