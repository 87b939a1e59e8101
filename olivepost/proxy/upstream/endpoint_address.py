"""Network address of an endpoint in the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass

from olivepost import interface as api
from olivepost.config import Address
from olivepost.units import Instant


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """Address of one process of an endpoint. An endpoint that restarts is another process."""

    id: str
    socket_address: Address | None  # None if not given, which is allowed only for a removed endpoint
    # Start of the process in Unix nanoseconds, or None if not given. The process is then treated as warm.
    started_at: Instant | None
    state: api.EndpointState

    def is_same_process(self, other: EndpointAddress) -> bool:
        """Whether connections that were made to the other address lead to this process."""
        return self.socket_address == other.socket_address and self.started_at == other.started_at
