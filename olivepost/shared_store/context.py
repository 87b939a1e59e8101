"""State that all parts of the store coordinator share: terms (this proxy's parameters), stores,
endpoints, counters and actions.

The actions are commands for stores, events for the router and events for the log. The coordinator emits them
only through this module.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from olivepost import interface as api
from olivepost.routing.selection import rendezvous_order
from olivepost.shared_store.circuit_breaker import CircuitBreaker
from olivepost.shared_store.endpoints import EndpointDirectory
from olivepost.shared_store.messages import Action, LogEvent, NotifyRouter, StoreCommand
from olivepost.shared_store.store_health import StoreHealth
from olivepost.shared_store.terms import SharingTerms


@dataclass(slots=True)
class CoordinatorContext:
    """State that belongs to no single part of the coordinator. Only the coordinator's thread uses this class.

    `counts` are totals since the coordinator was created, by metric name. `actions` are the actions of
    the event that is being handled, in the order in which they were emitted.
    """

    terms: SharingTerms
    stores: dict[str, StoreHealth]
    counts: Counter[str] = field(default_factory=Counter)
    endpoints: EndpointDirectory = field(default_factory=EndpointDirectory)
    actions: list[Action] = field(default_factory=list)
    _last_ticket: int = 0

    @classmethod
    def create(cls, terms: SharingTerms, seed: int) -> CoordinatorContext:
        """Returns a context in which no store is trusted yet; `seed` determines the jitter of backoffs."""
        random_source = random.Random(seed)
        stores: dict[str, StoreHealth] = {}
        for name in terms.stores:
            breaker = CircuitBreaker(random_source, terms.min_trial_delay, terms.max_trial_delay)
            stores[name] = StoreHealth(name, breaker)
        return cls(terms, stores)

    def store_of(self, name: str) -> StoreHealth:
        """Returns the store that is responsible for a name or a quota key.

        Rendezvous hashing selects the store, so that the loss of one store affects only the names and keys
        for which that store is responsible.
        """
        return self.stores[rendezvous_order(name, self.terms.stores)[0]]

    def issue_ticket(self) -> int:
        """Returns a new ticket, a number that no earlier command or quota transfer has used."""
        self._last_ticket += 1
        return self._last_ticket

    def send_command(self, command: StoreCommand) -> None:
        """Adds a command for a store to the actions."""
        self.actions.append(command)

    def notify_router(self, event: api.Event) -> None:
        """Adds an event for the router to the actions."""
        self.actions.append(NotifyRouter(event))

    def log(self, name: str, fields: dict[str, object]) -> None:
        """Adds an event for the log to the actions."""
        self.actions.append(LogEvent(name, fields))
