"""Cold start of a whole cluster: start permits, leased call quotas, discovery, the endpoint cache."""
