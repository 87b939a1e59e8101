"""Where an endpoint of the endpoint list is reached."""

from __future__ import annotations

from dataclasses import dataclass

from olivepost import interface as api
from olivepost.config import Address
from olivepost.units import Instant


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """Address of one process of an endpoint; another start of the endpoint is another process."""

    id: str
    socket_address: Address | None  # None: not given, which only a removed endpoint may have
    started_at: Instant | None  # Unix nanoseconds; None: long ago
    state: api.EndpointState

    def is_same_process(self, other: EndpointAddress) -> bool:
        """Whether connections made to the other address lead to this process."""
        return self.socket_address == other.socket_address and self.started_at == other.started_at
