"""An RPC on its way through this server."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from landingshift.admission.interface import Rpc
from landingshift.admission.managed_rpc import ManagedRpc

if TYPE_CHECKING:
    from landingshift.net.routing.database import Call
    from landingshift.net.routing.dedup import Entry
    from landingshift.net.routing.engine import Command


@dataclass(slots=True, eq=False)
class RoutedRpc(Rpc):
    rid: bytes
    name: bytes  # of its method, for the engine
    body: bytes
    connection: int  # slot of the connection it came on
    number: int  # its message there
    dedup_key: tuple[bytes, str] | None  # the same in a repeat of it
    tenant_name: str = ""
    attempt_id: str | None = None  # of the client's try, where the installation names a field for it
    slot: int = -1
    job: ManagedRpc | None = None
    answered: bool = False
    passing: bool = False  # its ok answer is at the gate
    gone: bool = False  # nobody waits any more
    closed: bool = False  # the module will not speak of it again
    command: Command | None = None  # for the engine, not known to have arrived
    need: int = 0  # the notice that asked for the call in hand
    need_body: bytes = b""
    call: Call | None = None  # in the database's hands
    original: Entry | None = None  # what it repeats
    stale: list[object] = field(default_factory=list)  # links on which a late reply of it may still come
