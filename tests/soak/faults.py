"""The faults that a soak injects into endpoints and discovery."""

from __future__ import annotations

import random
import threading
from enum import Enum


class EndpointFault(Enum):
    """Faults of an endpoint, each with what the endpoint does instead of responding normally.

    The order of the members decides which fault a seed chooses, so it must not change.
    """

    HANG = "never responds"
    TRUNCATE = "closes the connection in the middle of a response"
    RESET = "resets the connection"
    GARBLE = "sends invalid bytes before its response"
    ENDLESS = "announces a body that never ends"
    DUPLICATE = "sends its response twice"
    UNKNOWN_REQUEST = "sends a response to an unknown request before its response"
    DELAY = "sends its response late"
    ERROR = "responds with an error status"
    REJECT = "rejects the request without executing it"
    REJECT_AS_LATE = "rejects the request as too late without executing it"


class DiscoveryMode(Enum):
    """Reaction of the coordinator to polls."""

    NORMAL = "responds to polls"
    UNRESPONSIVE = "receives polls and does not respond"
    DOWN = "closes the connection of a poll"


class FaultPlan:
    """The current fault of an endpoint, and the share of its commands that the fault affects.

    The run changes both while the endpoint serves. `_lock` guards the random source, which the threads of all
    connections to the endpoint use.
    """

    def __init__(self, seed: int) -> None:
        self.fault: EndpointFault | None = None
        self.share = 0.0
        self._random_source = random.Random(seed)
        self._lock = threading.Lock()

    def sample(self) -> EndpointFault | None:
        """Returns the fault that affects the next command; None if the endpoint responds normally."""
        with self._lock:
            is_affected = self._random_source.random() < self.share
        return self.fault if is_affected else None
