"""Adapter that connects admission controllers to the simulator's wire protocol."""
