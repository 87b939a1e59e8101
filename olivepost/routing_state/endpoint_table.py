"""The endpoints that the endpoint list names."""

from __future__ import annotations

from dataclasses import dataclass, field

from olivepost import interface as api
from olivepost.routing_state.endpoint import Endpoint, Role
from olivepost.routing_state.pending_request import Attempt
from olivepost.routing_state.sliding_window import SlidingWindowSum
from olivepost.units import Duration, Instant

LISTED_ROLES = (Role.CACHE, Role.PARENT, Role.ORIGIN)


def role_of(settings: api.Settings, metadata: api.EndpointMetadata) -> Role:
    """What a listed endpoint is to this proxy, by its kind and zone."""
    if metadata.kind == settings.origin_kind:
        return Role.ORIGIN
    if metadata.kind == settings.parent_kind:
        return Role.PARENT
    return Role.CACHE if metadata.zone == settings.zone else Role.OTHER_ZONE


@dataclass(slots=True)
class EndpointTable:
    """All listed endpoints by id, and the ids of the ready ones by role, sorted."""

    work_window: Duration  # of the work that was sent to an endpoint
    initial_late_share: float
    # How much earlier than its listing an endpoint may have started; one that seems older is taken for new,
    # since the clock of this proxy may be ahead.
    max_listing_delay: Duration
    by_id: dict[str, Endpoint] = field(default_factory=dict)
    caches: tuple[str, ...] = ()
    parents: tuple[str, ...] = ()
    origin: str | None = None  # None: none is ready
    long_running: dict[Role, int] = field(
        default_factory=dict
    )  # ready endpoints that started long ago, by role
    first_listed_at: Instant | None = None  # when this proxy first had an endpoint list

    def update(self, now: Instant, update: api.EndpointUpdate, settings: api.Settings) -> None:
        """Takes a list, whole or changed. What drains is no longer ready, what is removed is forgotten."""
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
            if metadata.id not in before or endpoint is not before[metadata.id]:
                is_live = update.kind is not api.EndpointUpdateKind.RESTORED
                endpoint.started_at = self._started_at(now, metadata.started_at, is_live)
            if role in LISTED_ROLES and metadata.state is not api.EndpointState.REMOVED:
                self.by_id[metadata.id] = endpoint
        ready = {role: self._ready(role) for role in LISTED_ROLES}
        self.caches = ready[Role.CACHE]
        self.parents = ready[Role.PARENT]
        self.origin = next(iter(ready[Role.ORIGIN]), None)
        for role, endpoint_ids in ready.items():
            started = [self.by_id[endpoint_id].metadata.started_at for endpoint_id in endpoint_ids]
            self.long_running[role] = started.count(None)

    def _listed(
        self, metadata: api.EndpointMetadata, role: Role, tier: api.TierSettings, known: Endpoint | None
    ) -> Endpoint:
        """A listed endpoint; health and warmth of another process at its id start anew."""
        if known is not None and known.metadata.started_at == metadata.started_at:
            known.metadata = metadata
            return known
        work = known.work if known is not None else SlidingWindowSum(self.work_window)
        return Endpoint(metadata, role, tier, work, self.initial_late_share)

    def _started_at(self, now: Instant, listed_start: Instant | None, is_live: bool) -> Instant | None:
        """The start of an endpoint that is listed now: not later than now, nor earlier than is plausible."""
        if listed_start is None:
            return None
        if is_live and now - listed_start > self.max_listing_delay:
            return now
        return min(listed_start, now)

    def _ready(self, role: Role) -> tuple[str, ...]:
        ready = (it for it in self.by_id.values() if it.metadata.state is api.EndpointState.READY)
        return tuple(sorted(endpoint.metadata.id for endpoint in ready if endpoint.role is role))

    def open_attempt(self, now: Instant, attempt: Attempt, work: float) -> None:
        """Counts an attempt at its endpoints; at an ejected one it is the half-open trial."""
        for endpoint_id in attempt.endpoint_ids:
            endpoint = self.by_id[endpoint_id]
            endpoint.in_flight += 1
            endpoint.work.add(now, work)
            endpoint.has_trial_in_flight = endpoint.ejected_until is not None

    def close_attempt(self, attempt: Attempt) -> None:
        """An attempt is no longer in flight at its endpoints."""
        for endpoint_id in attempt.endpoint_ids:
            endpoint = self.by_id.get(endpoint_id)
            if endpoint is not None:
                endpoint.in_flight = max(0, endpoint.in_flight - 1)
                endpoint.has_trial_in_flight = False
