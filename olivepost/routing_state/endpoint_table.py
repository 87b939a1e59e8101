"""The table of the endpoints that are in the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass, field

from olivepost import interface as api
from olivepost.routing_state.endpoint import Endpoint, Role
from olivepost.routing_state.pending_request import Attempt
from olivepost.routing_state.sliding_window import SlidingWindowSum
from olivepost.units import Duration, Instant

LISTED_ROLES = (Role.CACHE, Role.PARENT, Role.ORIGIN)


def role_of(settings: api.Settings, metadata: api.EndpointMetadata) -> Role:
    """Returns the role of a listed endpoint for this proxy, by the endpoint's kind and zone."""
    if metadata.kind == settings.origin_kind:
        return Role.ORIGIN
    if metadata.kind == settings.parent_kind:
        return Role.PARENT
    return Role.CACHE if metadata.zone == settings.zone else Role.OTHER_ZONE


@dataclass(slots=True)
class EndpointTable:
    """All listed endpoints by id, and the sorted ids of the ready endpoints by role. Not thread-safe."""

    work_window: Duration  # the window over which an endpoint's work is summed
    initial_late_share: float
    # The longest plausible time from an endpoint's start to its listing. An endpoint that is listed later
    # is treated as if it had started when it was listed, because this proxy's clock may be ahead.
    max_listing_delay: Duration
    by_id: dict[str, Endpoint] = field(default_factory=dict)
    caches: tuple[str, ...] = ()
    parents: tuple[str, ...] = ()
    origin: str | None = None  # None if no origin is ready
    # The number of ready long-running endpoints of each role. They are listed without a start.
    long_running: dict[Role, int] = field(default_factory=dict)
    first_listed_at: Instant | None = None  # the time at which this proxy first had an endpoint list

    def update(self, now: Instant, update: api.EndpointUpdate, settings: api.Settings) -> None:
        """Applies an update, which has either the full endpoint list or changes to it.

        A draining endpoint is no longer ready, and a removed endpoint is dropped.
        """
        if self.first_listed_at is None:
            self.first_listed_at = now
        before = self.by_id
        is_complete = update.kind in (api.EndpointUpdateKind.FULL, api.EndpointUpdateKind.RESTORED)
        self.by_id = {} if is_complete else dict(before)
        for metadata in update.endpoints:
            self.by_id.pop(metadata.id, None)
            role = role_of(settings, metadata)
            tier = settings.parents if role is Role.PARENT else settings.caches
            endpoint = self._listed(metadata, role, tier, before.get(metadata.id))
            if endpoint is not before.get(metadata.id):
                is_live = update.kind is not api.EndpointUpdateKind.RESTORED
                endpoint.started_at = self._plausible_start(now, metadata.started_at, is_live)
            if role in LISTED_ROLES and metadata.state is not api.EndpointState.REMOVED:
                self.by_id[metadata.id] = endpoint
        self._update_ready()

    def _update_ready(self) -> None:
        """Derives the ready endpoints of each role from the listed endpoints."""
        self.caches = self._ready(Role.CACHE)
        self.parents = self._ready(Role.PARENT)
        origins = self._ready(Role.ORIGIN)
        self.origin = origins[0] if origins else None
        for role, endpoint_ids in zip(LISTED_ROLES, (self.caches, self.parents, origins), strict=True):
            starts = [self.by_id[endpoint_id].metadata.started_at for endpoint_id in endpoint_ids]
            self.long_running[role] = starts.count(None)

    def _listed(
        self, metadata: api.EndpointMetadata, role: Role, tier: api.TierSettings, known: Endpoint | None
    ) -> Endpoint:
        """Returns the state of a listed endpoint.

        `known` is the state that the table has for the endpoint's id, or None if the id is new. If the id now
        belongs to another process, the health and the slow start are reset, but the work is kept.
        """
        if known is not None and known.metadata.started_at == metadata.started_at:
            known.metadata = metadata
            return known
        work = known.work if known is not None else SlidingWindowSum(self.work_window)
        return Endpoint(metadata, role, tier, work, self.initial_late_share)

    def _plausible_start(self, now: Instant, listed_start: Instant | None, is_live: bool) -> Instant | None:
        """Returns the start of an endpoint that is listed now, or None if it is listed without a start.

        The result is not later than `now`. In a live update, which is any but the restored list, `now`
        replaces a start that is more than `max_listing_delay` ago, since so early a start is implausible.
        """
        if listed_start is None:
            return None
        if is_live and now - listed_start > self.max_listing_delay:
            return now
        return min(listed_start, now)

    def _ready(self, role: Role) -> tuple[str, ...]:
        return tuple(
            sorted(
                endpoint_id
                for endpoint_id, endpoint in self.by_id.items()
                if endpoint.role is role and endpoint.metadata.state is api.EndpointState.READY
            )
        )

    def open_attempt(self, now: Instant, attempt: Attempt, work: float) -> None:
        """Counts an attempt and its work at its endpoints.

        At an ejected endpoint, the attempt is the half-open trial.
        """
        for endpoint_id in attempt.endpoint_ids:
            endpoint = self.by_id[endpoint_id]
            endpoint.in_flight += 1
            endpoint.work.add(now, work)
            endpoint.has_trial_in_flight = endpoint.ejected_until is not None

    def close_attempt(self, attempt: Attempt) -> None:
        """Records that an attempt is no longer in flight at its endpoints."""
        for endpoint_id in attempt.endpoint_ids:
            endpoint = self.by_id.get(endpoint_id)
            if endpoint is not None:
                endpoint.in_flight = max(0, endpoint.in_flight - 1)
                endpoint.has_trial_in_flight = False
