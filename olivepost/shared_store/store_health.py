"""The health of one shared store, by its circuit breaker and the trust in its generation.

The health decides whether the store is used. A store that came back empty, or from an old snapshot, must not
be trusted. Its cache locations may be older than invalidations, and its leases may belong to other owners.
Each proxy process therefore numbers its syncs, and stores the number (the serial) with each sync. A store
that does not know the last confirmed serial has lost state, regardless of its generation, and the proxy that
notices the loss advances the generation. All other records are kept under a generation, so that records of
older generations become unreachable for all proxies at once. After each change of the generation, a proxy
publishes its invalidations again, and trusts what it reads only after the store has confirmed them. This
module has no clock and does no I/O.
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
    """The level of trust in a store.

    The store's records are used only at `TRUSTED`. At `RESTORING`, invalidations are being published again.
    """

    NONE = "none"
    RESTORING = "restoring"
    TRUSTED = "trusted"


class ReplyVerdict(Enum):
    """The conclusion from one reply about the store that sent it."""

    CURRENT = "current"  # the reply's values are used
    STALE = "stale"  # the command was sent before this proxy adopted the present generation
    EMPTY = "empty"  # the store has no generation
    ROLLED_BACK = "rolled_back"  # the store has lost state
    MOVED = "moved"  # the store has a later generation than the one that this proxy has adopted


@dataclass(slots=True)
class StoreHealth:
    """The state of one store as this proxy knows it. Only the coordinator's thread uses this class."""

    name: str
    breaker: CircuitBreaker
    trust: TrustLevel = TrustLevel.NONE
    generation: int = NO_GENERATION  # generation that this proxy has adopted
    last_serial: int = 0  # number of the last heartbeat (sync) sent; heartbeats are numbered from 1
    confirmed_serial: int = 0  # number of the last heartbeat that the store has confirmed in this generation
    last_invalidation: int = 0  # number of the last invalidation read; the store numbers invalidations from 1
    # Chunks (groups) of invalidations that must still be published to the store again, in this order.
    unpublished: deque[InvalidationChunk] = field(default_factory=deque)
    is_advancing: bool = False  # whether a new generation has been requested

    @property
    def is_available(self) -> bool:
        """Whether a request may wait for the store."""
        return self.breaker.state is BreakerState.CLOSED and self.trust is TrustLevel.TRUSTED

    @property
    def accepts_publications(self) -> bool:
        """Whether publications that no request waits for may be sent to the store."""
        return self.trust is TrustLevel.TRUSTED and self.breaker.state is not BreakerState.OPEN

    def issue_serial(self) -> int:
        """Returns the number of this process's next heartbeat."""
        self.last_serial += 1
        return self.last_serial

    def judge_reply(self, reply: StoreReply, generation: int, confirmed_serial: int) -> ReplyVerdict:
        """Returns the conclusion from a reply about the store.

        `generation` and `confirmed_serial` are the values of this object when the command was sent.
        """
        if reply.generation == NO_GENERATION:
            return ReplyVerdict.EMPTY
        if reply.generation < self.generation:
            return ReplyVerdict.ROLLED_BACK if generation == self.generation else ReplyVerdict.STALE
        if reply.generation > self.generation:
            return ReplyVerdict.MOVED
        if generation != self.generation:
            return ReplyVerdict.STALE
        # The verdict stays ROLLED_BACK while the trust is NONE, which is the case after a store has lost
        # state. The serial may have grown again since then, so a later serial proves nothing until a new
        # generation is adopted.
        has_lost_state = reply.serial < confirmed_serial or self.trust is TrustLevel.NONE
        return ReplyVerdict.ROLLED_BACK if has_lost_state else ReplyVerdict.CURRENT

    def adopt(self, generation: int, chunks: Iterable[InvalidationChunk]) -> None:
        """Adopts another generation; the store is trusted after all chunks are published and confirmed."""
        self.generation = generation
        self.confirmed_serial = 0
        self.last_invalidation = 0
        self.trust = TrustLevel.RESTORING
        self.unpublished = deque(chunks)

    def confirm_published(self, chunk: InvalidationChunk) -> None:
        """Removes a chunk of invalidations that the store has confirmed; trusts the store after the last."""
        if self.trust is not TrustLevel.RESTORING:
            return
        if self.unpublished and self.unpublished[0] is chunk:
            self.unpublished.popleft()
        if not self.unpublished:
            self.trust = TrustLevel.TRUSTED
