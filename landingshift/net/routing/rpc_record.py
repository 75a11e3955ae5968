"""The record of an RPC in this server; contains no references to the components of the router."""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.admission.interface import Rpc
from landingshift.admission.managed_rpc import ManagedRpc


@dataclass(slots=True, eq=False)
class RoutedRpc(Rpc):
    """The admission controller's view of an RPC, extended by the state needed to route it."""

    rpc_id: bytes
    method_name: bytes  # as sent to the engine
    body: bytes
    connection: int  # slot number of the connection on which the RPC arrived
    message_id: int  # message id of the RPC's request on that connection
    dedup_key: tuple[bytes, str] | None  # shared by duplicates (see `dedup`); None if there is no key
    tenant_name: str = ""
    attempt_id: str | None = None  # id of the client's attempt, if a request field for it is configured
    slot: int = -1  # slot number in the table of RPCs in flight
    # The admission controller's handle for the RPC; None until the controller has received the RPC, and again
    # after the controller has released the RPC.
    managed: ManagedRpc | None = None
    # True once an answer was written. Also True if the answer was dropped, because the caller had abandoned
    # the RPC or because the connection was closed.
    is_answered: bool = False
    is_answer_deferred: bool = False  # the answer gate (see `AnswerGate`) is delaying the ok answer
    is_abandoned: bool = False  # the caller no longer waits for an answer
    is_closed: bool = False  # the admission controller has released the RPC
    call_notice_number: int = 0  # number of the engine's notice that asked for the latest database call
    call_request: bytes = b""  # request of the latest database call

    def is_awaited(self, now_ms: float) -> bool:
        """Returns whether the caller still waits; True if it does not send for how long."""
        if self.managed is None or self.remaining_ms is None:
            return True
        return self.managed.deadline_at_ms > now_ms
