"""The adoption of a store's later generation, and the advance to a new one after a store has lost state.

A store loses state if it restarts empty or from an old snapshot. After an adoption or an advance, this proxy
publishes all invalidations that it knows to the store again, and trusts the store only after the store has
confirmed them.
"""

from __future__ import annotations

from functools import partial

from olivepost.shared_store.commands import CommandTracker, ReplyValues
from olivepost.shared_store.context import CoordinatorContext
from olivepost.shared_store.invalidations import KnownInvalidations
from olivepost.shared_store.operations import (
    NO_GENERATION,
    AdvanceGeneration,
    InvalidationChunk,
    PublishInvalidations,
)
from olivepost.shared_store.store_health import ReplyVerdict, StoreHealth, TrustLevel
from olivepost.units import Instant


class GenerationManager:
    """The manager of each store's generation and trust level.

    Only the coordinator's thread uses this class.
    """

    def __init__(
        self, context: CoordinatorContext, commands: CommandTracker, invalidations: KnownInvalidations
    ) -> None:
        self._context = context
        self._commands = commands
        self._invalidations = invalidations

    def handle_verdict(
        self, now: Instant, store: StoreHealth, verdict: ReplyVerdict, generation: int
    ) -> None:
        """Acts on the verdict (the conclusion about a store) from a reply whose values are not used.

        `generation` is the generation that the store had when it sent the reply.
        """
        self._context.counts[f"replies_{verdict.value}"] += 1
        if verdict is ReplyVerdict.MOVED:
            self._adopt(now, store, generation)
        elif verdict in (ReplyVerdict.EMPTY, ReplyVerdict.ROLLED_BACK):
            self._advance(now, store, generation)

    def _advance(self, now: Instant, store: StoreHealth, found: int) -> None:
        """Ends the trust in a store, and requests a new generation, unless one has been requested already.

        `found` is the generation that the store has now. A new generation makes all existing records of the
        store unreachable.
        """
        store.trust = TrustLevel.NONE
        if store.is_advancing:
            return
        self._context.log(
            "store_lost_state", {"store": store.name, "found": found, "known": store.generation}
        )
        operation = AdvanceGeneration(found, store.generation)
        store.is_advancing = self._commands.send(now, store, operation, partial(self._on_advanced, store))

    def _on_advanced(self, store: StoreHealth, now: Instant, values: ReplyValues | None) -> None:
        store.is_advancing = False
        generation = values[0] if values else NO_GENERATION
        if isinstance(generation, int) and generation > store.generation:
            self._adopt(now, store, generation)

    def _adopt(self, now: Instant, store: StoreHealth, generation: int) -> None:
        self._context.log(
            "store_generation_changed",
            {
                "store": store.name,
                "from": store.generation,
                "to": generation,
                "invalidations": len(self._invalidations),
            },
        )
        chunks = self._invalidations.chunks() if self._context.terms.invalidations_enabled else []
        store.adopt(generation, chunks)
        self.publish_next_chunk(now, store)

    def publish_next_chunk(self, now: Instant, store: StoreHealth) -> None:
        """Publishes the next chunk of invalidations to a store that is being restored.

        All known invalidations must be published to the store again, in chunks, after the store has got
        another generation, or after the store has not confirmed a publication. If no chunk is left, an empty
        chunk is published, so that the store still confirms its generation.
        """
        chunk = store.unpublished[0] if store.unpublished else ()
        operation = PublishInvalidations(store.generation, chunk)
        self._commands.send(now, store, operation, partial(self._on_published, store, chunk))

    def _on_published(
        self, store: StoreHealth, chunk: InvalidationChunk, now: Instant, values: ReplyValues | None
    ) -> None:
        if values is None:
            # The reply was lost or could not be used, so the chunk (a group of invalidations) is still listed
            # as unpublished. If the store is still being restored, its next reply to a sync makes this proxy
            # publish the chunk again.
            return
        if store.trust is not TrustLevel.RESTORING:
            return
        store.confirm_published(chunk)
        if store.trust is TrustLevel.RESTORING:
            self.publish_next_chunk(now, store)
