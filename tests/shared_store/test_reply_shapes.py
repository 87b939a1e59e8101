"""Tests of replies of any shape and type: the coordinator handles each one, and no lookup gets two hints."""

from __future__ import annotations

import random

import pytest

from olivepost import interface as api
from olivepost.shared_store import messages
from olivepost.shared_store.coordinator import StoreCoordinator
from olivepost.shared_store.operations import AdvanceGeneration, ReplyType
from olivepost.shared_store.settings import SharedStoreSettings
from olivepost.units import MILLISECOND, SECOND

SEEDS = range(20)
STEPS = 2_000
NAMES = ("x", "y")
# Exclusive upper bound of the number of values in a reply, and in each list that a reply contains. The same
# number is the greatest depth to which lists are nested.
MAX_LENGTH = 5


class FaultyStore:
    """A coordinator with one store; the store's replies have the right generation but arbitrary values."""

    def __init__(self, seed: int) -> None:
        stores = [{"name": "s", "address": "127.0.0.1:1"}]
        settings = SharedStoreSettings.model_validate({"branch": "b", "stores": stores})
        self.coordinator = StoreCoordinator(settings.terms("n1", "p1"), seed)
        self.now = 1_000 * SECOND
        self.hinted_request_ids: list[str] = []
        self._random_source = random.Random(seed)
        self._commands: list[messages.StoreCommand] = []
        self._generation = 1

    def step(self, number: int) -> None:
        """Passes one event to the coordinator: a reply to one of its commands, or another random event."""
        self.now += self._random_source.randrange(8) * MILLISECOND
        if self._commands and self._random_source.random() < 0.6:
            self._reply(self._commands.pop(self._random_source.randrange(len(self._commands))))
            return
        self._handle(self._random_source.choice(self._events(number)))

    def _events(self, number: int) -> list[messages.Event]:
        name = self._random_source.choice(NAMES)
        source = self._random_source.choice((None, "p:1"))
        lookup = api.LookUpHint(f"r{number}", name, "a:1", source, 50 * MILLISECOND, SECOND)
        key = api.QuotaKey(api.QuotaKind.CONCURRENCY, "a:1")
        return [
            messages.Tick(),
            messages.LookupRequested(lookup, "object", 1),
            messages.LeaseReleased(
                api.ReleaseLease(f"r{self._random_source.randrange(number + 1)}", "a:1", 3)
            ),
            messages.InvalidationReceived(api.Invalidation("object", 1, 0), self.now // MILLISECOND),
            api.RequestQuota(key, 1.0),
            api.DonateQuota(self._random_source.randrange(number + 1), 0.5, self.now + SECOND),
            api.ReportOutlier("a:1"),
            api.ReportStaleHint(f"r{self._random_source.randrange(number + 1)}", name, "a:1"),
        ]

    def _reply(self, command: messages.StoreCommand) -> None:
        if isinstance(command.operation, AdvanceGeneration):
            self._generation = max(self._generation, command.operation.minimum)
        values = [self._value(MAX_LENGTH) for _ in range(self._random_source.randrange(MAX_LENGTH))]
        if values and self._random_source.random() < 0.7:
            values[0] = self._random_source.choice(list(ReplyType))
        serial = getattr(command.operation, "serial", 1)
        self._handle(messages.StoreReply(command.ticket, self._generation, serial, tuple(values)))

    def _value(self, depth: int) -> object:
        kinds: tuple[object, ...] = (None, -1, 0, 7, 2**70, 1.5, b"", b"7", b"\xff", b"1 {}", "text", True)
        if depth and self._random_source.random() < 0.3:
            return [self._value(depth - 1) for _ in range(self._random_source.randrange(MAX_LENGTH))]
        return self._random_source.choice(kinds)

    def _handle(self, event: messages.Event) -> None:
        for action in self.coordinator.handle(self.now, event):
            if isinstance(action, messages.StoreCommand):
                self._commands.append(action)
            elif isinstance(action, messages.NotifyRouter) and isinstance(action.event, api.CacheHint):
                self.hinted_request_ids.append(action.event.request_id)


@pytest.mark.parametrize("seed", SEEDS)
def test_reply_of_any_shape_is_handled(seed: int) -> None:
    """Regression test: the coordinator failed on replies with too few or unexpected values."""
    store = FaultyStore(seed)
    for number in range(STEPS):
        store.step(number)
    assert store.hinted_request_ids
    assert len(store.hinted_request_ids) == len(set(store.hinted_request_ids))
