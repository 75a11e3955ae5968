"""The record of an RPC on its way through this server. Knows none of those who handle it."""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.admission.interface import Rpc
from landingshift.admission.managed_rpc import ManagedRpc


@dataclass(slots=True, eq=False)
class RoutedRpc(Rpc):
    """What the admission controller knows of an RPC, and what its way through the server needs besides."""

    rpc_id: bytes
    method_name: bytes  # for the engine
    body: bytes
    connection: int  # slot of the connection that it came on
    message_id: int  # of its request there
    dedup_key: tuple[bytes, str] | None  # the same in its duplicates
    tenant_name: str = ""
    attempt_id: str | None = None  # of the client's attempt, where the installation names a field for it
    slot: int = -1  # in the table of RPCs in flight
    # The admission controller's handle; None before the controller has seen the RPC and once it is closed.
    managed: ManagedRpc | None = None
    is_answered: bool = False
    is_answer_deferred: bool = False  # its ok answer waits at the answer gate
    is_abandoned: bool = False  # nobody waits for its answer any more
    is_closed: bool = False  # the admission controller will not speak of it again
    call_notice_number: int = 0  # of the engine's notice that asked for the call in hand
    call_request: bytes = b""
