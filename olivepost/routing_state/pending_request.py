"""A request whose response is pending, its attempts, and its wait for a hint."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from olivepost import interface as api
from olivepost.routing_state.endpoint import Ejection
from olivepost.units import Duration, Instant


class RankedName(NamedTuple):
    """A requested name's rank, and the lifetime that it had left when the request arrived.

    The lifetime is None if the name was unknown or the response can't be cached.
    """

    rank: int
    name_remaining: Duration | None


class SilenceCheck(NamedTuple):
    """Result of checking the cache of an attempt that is past its silence timeout."""

    is_cache_ejected: bool  # whether the cache is ejected; also true while its half-open trial is due
    # The ejection to report to other proxies, or None if there is none. It is reported even if an earlier
    # check ejected the cache.
    ejection: Ejection | None = None


@dataclass(slots=True)
class Attempt:
    """One attempt in flight."""

    number: int
    cache: str
    source: str | None
    sent_at: Instant
    # The interval at which the attempt is checked for silence until it has a response.
    silence_timeout: Duration
    # The cache's entry in the endpoint list when the attempt was sent. The cache may leave the list later.
    cache_metadata: api.EndpointMetadata

    @property
    def endpoint_ids(self) -> tuple[str, ...]:
        """Ids of the endpoints that the attempt occupies, each once."""
        return (self.cache,) if self.source is None else (self.cache, self.source)

    @property
    def source_or_cache(self) -> str:
        """Endpoint that provides the response to a miss: the source, or the cache if there is no source."""
        return self.cache if self.source is None else self.source


@dataclass(frozen=True, slots=True)
class ExecutedAttempt:
    """Attempt that has ended and that its endpoint may have executed."""

    sent_at: Instant
    endpoint: api.EndpointMetadata  # the endpoint's entry in the endpoint list when the attempt was sent


@dataclass(frozen=True, slots=True)
class PossibleFault:
    """Endpoint to which a request's only error is attributed, unless another endpoint sends an error, too."""

    endpoint_id: str
    score: float


@dataclass(slots=True, eq=False)
class HintWait:
    """Wait of an attempt for a cache hint, with the amount that the attempt takes from the retry budget."""

    since: Instant
    retry_cost: int


@dataclass(slots=True)
class PendingRequest:
    """A request whose response is pending."""

    request: api.Request
    request_class: api.ClassSettings
    name: str  # the name under which caches store the requested part of the object
    arrived_at: Instant
    deadline: Instant
    rank: int  # the rank with which caches store the response; caches don't store one of rank 0
    # The lifetime that the name had left when the request arrived, or None if the name was unknown or the
    # response can't be cached.
    name_remaining: Duration | None
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    attempt_count: int = 0
    is_retryable: bool = True  # True until an error is attributed to the request itself
    is_response_started: bool = False
    missed_cache: str | None = None  # the last cache that was found not to have the object, or None
    possible_fault: PossibleFault | None = None
    timer_ids: list[int] = field(default_factory=list)
    avoided: set[str] = field(default_factory=set)  # the endpoints at which this request failed
    executed: list[ExecutedAttempt] = field(default_factory=list)
    hint_time: Duration = 0  # total time for which the request has waited for the shared store
    has_looked_up_location: bool = False
    has_looked_up_fill: bool = False
    hint_wait: HintWait | None = None
    hint: api.CacheHint | None = None
    hinted_cache: str | None = None  # the last attempt's cache if a hint named that cache, or None
    storing_cache: str | None = None  # the cache whose response shows that it has the object, if any
