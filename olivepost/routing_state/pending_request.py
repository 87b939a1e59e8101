"""A request whose response is pending, and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from olivepost import interface as api
from olivepost.routing_state.endpoint import Ejection
from olivepost.units import Duration, Instant


class RankedName(NamedTuple):
    """The rank of a request, and the lifetime that its name had left; None: the name was not known."""

    rank: int
    name_remaining: Duration | None


class SilenceCheck(NamedTuple):
    """What was found of the cache of an attempt that is past its silence timeout."""

    is_cache_ejected: bool  # also while its half-open trial is due
    ejection: Ejection | None = None  # to be reported; also of a cache that an earlier check ejected


@dataclass(slots=True)
class Attempt:
    """One attempt in flight."""

    number: int
    cache: str
    source: str | None
    sent_at: Instant
    silence_timeout: Duration  # after each such time without a response it is checked for silence

    @property
    def endpoint_ids(self) -> tuple[str, ...]:
        """The endpoints that the attempt occupies, each once."""
        return (self.cache,) if self.source is None else (self.cache, self.source)

    @property
    def source_or_cache(self) -> str:
        """Where its response comes from on a miss: the cache itself where nothing is filled."""
        return self.cache if self.source is None else self.source


@dataclass(frozen=True, slots=True)
class ExecutedAttempt:
    """An attempt that is over and may have been executed."""

    sent_at: Instant
    endpoint_id: str


@dataclass(frozen=True, slots=True)
class PossibleFault:
    """The endpoint to which a request's only error is attributed, unless another endpoint errs too."""

    endpoint_id: str
    score: float


@dataclass(slots=True, eq=False)
class HintWait:
    """An attempt that waits for a cache hint, and its cost to the retry budget."""

    since: Instant
    retry_cost: int


@dataclass(slots=True)
class PendingRequest:
    """A request whose response is pending."""

    request: api.Request
    request_class: api.ClassSettings
    name: str  # of the object's part, as caches keep it
    deadline: Instant
    rank: int  # with which caches keep the response; 0: they don't
    name_remaining: Duration | None  # of the name's lifetime on arrival; None: the name was not known
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    attempt_count: int = 0
    is_retryable: bool = True  # False: an error is attributed to the request itself
    is_response_started: bool = False
    missed_cache: str | None = None  # the cache that was found to lack the object
    possible_fault: PossibleFault | None = None
    timer_ids: list[int] = field(default_factory=list)
    avoided: set[str] = field(default_factory=set)  # endpoints that failed this request
    executed: list[ExecutedAttempt] = field(default_factory=list)
    hint_time: Duration = 0  # spent so far waiting for the shared store
    has_looked_up_location: bool = False
    has_looked_up_fill: bool = False
    hint_wait: HintWait | None = None
    hint: api.CacheHint | None = None
    hinted_cache: str | None = None  # the cache of the hint that the last attempt followed
    storing_cache: str | None = None  # that has the object, by its response
