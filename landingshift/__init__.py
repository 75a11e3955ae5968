"""Admission and scheduling decisions inside servers behind load balancers that can't be changed."""
