"""The faults that a soak injects into endpoints and discovery."""

from __future__ import annotations

import random
import threading
from enum import Enum


class EndpointFault(Enum):
    """What an endpoint does in place of its ordinary response; in the order in which a seed chooses."""

    HANG = "never responds"
    TRUNCATE = "closes the connection within a response"
    RESET = "resets the connection"
    GARBLE = "sends bytes that are no response before its response"
    ENDLESS = "announces a body that never ends"
    DUPLICATE = "sends its response twice"
    UNKNOWN_REQUEST = "responds to a request that was never sent before its response"
    DELAY = "responds late"
    ERROR = "responds with an error"
    REJECT = "rejects, without executing"
    REJECT_AS_LATE = "rejects as too late, without executing"


class DiscoveryMode(Enum):
    """How the coordinator treats polls."""

    NORMAL = "responds"
    SILENT = "accepts polls and does not respond"
    DOWN = "closes the connection"


class FaultPlan:
    """The fault that an endpoint shows now, and the share of commands that meet it.

    The run changes both; `_lock` guards the random source, which all connections of the endpoint use.
    """

    def __init__(self, seed: int) -> None:
        self.fault: EndpointFault | None = None
        self.share = 0.0
        self._random_source = random.Random(seed)
        self._lock = threading.Lock()

    def sample(self) -> EndpointFault | None:
        """The fault of one command; None for an ordinary response."""
        with self._lock:
            is_hit = self._random_source.random() < self.share
        return self.fault if is_hit else None
