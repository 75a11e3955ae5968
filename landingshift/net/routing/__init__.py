"""Routing of RPCs between gateways, the admission controller, the engine and the database.

This package makes no admission decisions: it passes events to the admission controller and carries out the
controller's actions. Every RPC that was read gets exactly one answer, even if the engine or the database
fails. Only an RPC that its caller has abandoned gets none.
"""
