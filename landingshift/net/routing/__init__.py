"""Carries RPCs between gateways, engine and database as the module decides."""
