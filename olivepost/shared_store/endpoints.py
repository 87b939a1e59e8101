"""The store coordinator's list of endpoints.

The list tells whether the cache that a stored record names is still usable.
"""

from __future__ import annotations

from olivepost import interface as api
from olivepost.units import Instant

UNKNOWN_START: Instant = 0  # start time that records contain if an endpoint's start time is unknown


class EndpointDirectory:
    """Endpoints that endpoint updates have listed, by id. Only the coordinator's thread uses this class."""

    def __init__(self) -> None:
        self._by_id: dict[str, api.EndpointMetadata] = {}

    def __contains__(self, endpoint_id: str) -> bool:
        return endpoint_id in self._by_id

    def ids(self) -> set[str]:
        """Returns the ids of all listed endpoints."""
        return set(self._by_id)

    def update(self, update: api.EndpointUpdate) -> None:
        """Applies an update, which either replaces the list or changes single endpoints."""
        if update.kind in (api.EndpointUpdateKind.FULL, api.EndpointUpdateKind.RESTORED):
            self._by_id = {}
        for endpoint in update.endpoints:
            self._by_id.pop(endpoint.id, None)
            if endpoint.state is not api.EndpointState.REMOVED:
                self._by_id[endpoint.id] = endpoint

    def started_at(self, endpoint_id: str) -> Instant:
        """Returns an endpoint's start time as records store it, or `UNKNOWN_START` if the time is unknown."""
        endpoint = self._by_id.get(endpoint_id)
        return UNKNOWN_START if endpoint is None else _stored_start(endpoint)

    def is_usable(self, endpoint_id: str, started_at: Instant) -> bool:
        """Whether an endpoint is ready and still has the start time `started_at`, which a record contains.

        An endpoint with another start time is regarded as restarted since the record was written.
        """
        endpoint = self._by_id.get(endpoint_id)
        if endpoint is None:
            return False
        return endpoint.state is api.EndpointState.READY and _stored_start(endpoint) == started_at

    def is_removed(self, endpoint_id: str, started_at: Instant) -> bool:
        """Whether an endpoint is no longer listed, or has restarted since a record was written.

        The endpoint has restarted if its start time is later than `started_at`, which the record contains.
        """
        endpoint = self._by_id.get(endpoint_id)
        return endpoint is None or _stored_start(endpoint) > started_at


def _stored_start(endpoint: api.EndpointMetadata) -> Instant:
    """Returns the start time of a listed endpoint as records store it."""
    return UNKNOWN_START if endpoint.started_at is None else endpoint.started_at
