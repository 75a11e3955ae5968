"""RPCs on their way through the server: from gateways to the admission controller, engine and database.

Nothing here decides about an RPC. Events are handed to the admission controller, and what it asks for is
done. Every RPC that was read gets exactly one answer, whatever fails below.
"""
