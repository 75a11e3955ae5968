"""Cluster membership: a SWIM failure detector with gossip, anti-entropy and RPCs for operators."""
