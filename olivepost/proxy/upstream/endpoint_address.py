"""Network address of an endpoint in the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass

from olivepost import interface as api
from olivepost.config import Address
from olivepost.units import Instant


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """Address of one process of an endpoint. A restart of the endpoint replaces its process by another."""

    id: str
    socket_address: Address | None  # None if not given; only a removed endpoint may have none
    # Start of the process in Unix nanoseconds, or None if not given. A process whose start is not given is
    # treated as warm.
    started_at: Instant | None
    state: api.EndpointState

    def is_same_process(self, other: EndpointAddress) -> bool:
        """Whether connections that were made to `other` lead to the process at this address."""
        return self.socket_address == other.socket_address and self.started_at == other.started_at
