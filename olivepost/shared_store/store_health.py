"""Decides whether one shared store is used: its circuit breaker, and the trust in its generation.

A store that came back empty, or from an old snapshot, must not be trusted: its cache locations may be older
than invalidations, its leases may belong to others. Each proxy process therefore leaves a growing serial with
every sync. A store that does not know the last confirmed serial has lost state, whatever its generation is,
and the proxy that notices advances the generation. All other records are kept under a generation, so that
those of older ones become unreachable for all proxies at once. After each change of the generation a proxy
publishes its invalidations again, and trusts what it reads only once they are confirmed. No clock, no I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from olivepost.shared_store.circuit_breaker import BreakerState, CircuitBreaker
from olivepost.shared_store.messages import StoreReply
from olivepost.shared_store.operations import NO_GENERATION, InvalidationChunk


class TrustLevel(Enum):
    """How far a store's records count: not at all, while invalidations are published again, or fully."""

    NONE = "none"
    RESTORING = "restoring"
    TRUSTED = "trusted"


class ReplyVerdict(Enum):
    """What a reply shows about its store."""

    CURRENT = "current"  # the reply counts
    STALE = "stale"  # the command was sent under an earlier generation
    EMPTY = "empty"  # the store has no generation
    ROLLED_BACK = "rolled_back"  # the store has lost state
    MOVED = "moved"  # the store has a later generation


@dataclass(slots=True)
class StoreHealth:
    """One store as this proxy sees it. Used by the coordinator's thread only."""

    name: str
    breaker: CircuitBreaker
    trust: TrustLevel = TrustLevel.NONE
    generation: int = NO_GENERATION  # the one that this proxy has adopted
    last_serial: int = 0  # of the heartbeats sent, which are numbered from 1
    confirmed_serial: int = 0  # the last one that the store has confirmed in this generation
    last_invalidation: int = 0  # number of the last invalidation read; the store numbers them from 1
    unpublished: deque[InvalidationChunk] = field(default_factory=deque)  # still to be published again
    is_advancing: bool = False  # a new generation has been requested

    @property
    def is_available(self) -> bool:
        """Whether a request may wait for the store."""
        return self.breaker.state is BreakerState.CLOSED and self.trust is TrustLevel.TRUSTED

    @property
    def accepts_publications(self) -> bool:
        """Whether something may be published there that no request waits for."""
        return self.trust is TrustLevel.TRUSTED and self.breaker.state is not BreakerState.OPEN

    def issue_serial(self) -> int:
        """Returns the number of this process's next heartbeat."""
        self.last_serial += 1
        return self.last_serial

    def judge_reply(self, reply: StoreReply, generation: int, confirmed_serial: int) -> ReplyVerdict:
        """Returns what a reply shows.

        `generation` and `confirmed_serial` are those of the moment when the command was sent.
        """
        if reply.generation == NO_GENERATION:
            return ReplyVerdict.EMPTY
        if reply.generation < self.generation:
            return ReplyVerdict.ROLLED_BACK if generation == self.generation else ReplyVerdict.STALE
        if reply.generation > self.generation:
            return ReplyVerdict.MOVED
        if generation != self.generation:
            return ReplyVerdict.STALE
        # Once a store has lost state, a serial that it got since proves nothing until a new generation.
        has_lost_state = reply.serial < confirmed_serial or self.trust is TrustLevel.NONE
        return ReplyVerdict.ROLLED_BACK if has_lost_state else ReplyVerdict.CURRENT

    def adopt(self, generation: int, chunks: Iterable[InvalidationChunk]) -> None:
        """Adopts another generation; the store is trusted once all chunks are published and confirmed."""
        self.generation = generation
        self.confirmed_serial = 0
        self.last_invalidation = 0
        self.trust = TrustLevel.RESTORING
        self.unpublished = deque(chunks)

    def confirm_published(self, chunk: InvalidationChunk) -> None:
        """Records that a chunk of invalidations is confirmed; after the last one the store is trusted."""
        if self.trust is not TrustLevel.RESTORING:
            return
        if self.unpublished and self.unpublished[0] is chunk:
            self.unpublished.popleft()
        if not self.unpublished:
            self.trust = TrustLevel.TRUSTED
