"""Admission control and scheduling of RPCs in servers behind load balancers that can't be changed."""
