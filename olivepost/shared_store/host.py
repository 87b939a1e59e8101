"""Owns the sharing core's thread and each store's connections; decides nothing.

One thread drives the core. Each store has two lanes, a thread and a connection each: one for what requests
wait for, one for everything else, so that upkeep never holds up a request's question. Lanes are bounded; what
does not fit, or has waited too long to help, is given up unsent.
"""

from __future__ import annotations

import queue
import random
import threading
from collections import deque
from collections.abc import Callable

import redis

from olivepost import interface as api
from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.shared_store import client
from olivepost.shared_store import messages as ev
from olivepost.shared_store.coordinator import StoreCoordinator
from olivepost.shared_store.scripts import read_reply
from olivepost.shared_store.settings import SharedStoreSettings, StoreSettings
from olivepost.units import MILLISECOND, SECOND

TICK = 10 * MILLISECOND
BATCH = 64
MOST_EVENTS = 20_000  # that may wait for the core


class StoreWorker:
    """A thread that asks one store, in batches."""

    def __init__(self, host: StoreHost, store: StoreSettings, urgent: bool, most: int) -> None:
        self._host, self._urgent, self._most = host, urgent, most
        self._client = client.connect(host.settings, store, 1)
        self._waiting: deque[tuple[int, ev.StoreCommand]] = deque()
        self._come = threading.Condition()
        self._over = False
        name = f"store-{'urgent' if urgent else 'upkeep'}"
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def put(self, command: ev.StoreCommand) -> None:
        """Queues a command, or gives it up at once."""
        with self._come:
            if len(self._waiting) < self._most and not self._over:
                self._waiting.append((self._host.clock.now(), command))
                self._come.notify()
                return
        self._host.log.increment("store_queue_full")
        self._host.put(ev.ReplyLost(command.ticket, "the queue is full"))

    def close(self) -> None:
        with self._come:
            self._over = True
            self._come.notify()

    def join(self, within: float) -> None:
        self._thread.join(within)

    def _run(self) -> None:
        while True:
            with self._come:
                while not self._waiting and not self._over:
                    self._come.wait()
                if self._over:
                    break
                batch = [self._waiting.popleft() for _ in range(min(BATCH, len(self._waiting)))]
            self._ask([command for since, command in batch if self._helps(since, command)])
        self._client.close()

    def _helps(self, since: int, command: ev.StoreCommand) -> bool:
        """Whether an answer could still be of use; what is surely not sent is told so."""
        bound = self._host.settings.wait if self._urgent else self._host.settings.give_up
        if self._host.clock.now() - since <= bound:
            return True
        self._host.log.increment("store_asks_unsent")
        self._host.put(ev.ReplyLost(command.ticket, "waited too long"))
        return False

    def _ask(self, commands: list[ev.StoreCommand]) -> None:
        if not commands:
            return
        host = self._host
        try:
            replies = client.run(
                self._client,
                [command.operation for command in commands],
                host.prefix,
                host.incarnation,
                not self._urgent,
            )
        except Exception as fault:  # whatever it is, the tickets must come back
            # A connection left with half an answer would give the next question that.
            self._client.connection_pool.disconnect()
            if not isinstance(fault, (redis.RedisError, OSError)):
                host.log.exception("store_fault")
            host.record_fault(fault)
            for command in commands:
                host.put(ev.ReplyLost(command.ticket, type(fault).__name__))
            return
        for command, reply in zip(commands, replies, strict=True):
            if isinstance(reply, Exception):
                host.record_fault(reply)
                host.put(ev.ReplyLost(command.ticket, str(reply)[:120]))
            else:
                host.put(read_reply(command.ticket, reply))


class StoreHost:
    """What the engine sees of the stores."""

    def __init__(
        self,
        settings: SharedStoreSettings,
        name: str,
        clock: Clock,
        log: EventLog,
        post: Callable[[api.Event], None],
    ) -> None:
        draw = random.SystemRandom()
        self.settings, self.clock, self.log, self._post = settings, clock, log, post
        self.incarnation = f"{draw.getrandbits(64):016x}"
        self.prefix = f"olivepost:{settings.branch}"
        self.core = StoreCoordinator(settings.terms(name, self.incarnation), draw.getrandbits(64))
        self._events: queue.SimpleQueue[ev.Event | None] = queue.SimpleQueue()
        self._faults: dict[str, int] = {}
        self._fault_said = 0
        self._lanes: dict[tuple[str, bool], StoreWorker] = {}
        self._thread = threading.Thread(target=self._run, name="sharing", daemon=True)

    def start(self) -> None:
        """Opens the lanes and starts the core; connections are made as they are needed."""
        queues = self.settings.queues
        for store in self.settings.stores:
            for urgent, most in ((True, queues.urgent), (False, queues.upkeep)):
                self._lanes[store.name, urgent] = StoreWorker(self, store, urgent, most)
        self._thread.start()

    def close(self) -> None:
        """Ends all threads; what is out is left to its time."""
        self._events.put(None)
        for lane in self._lanes.values():
            lane.close()
        self._thread.join(1.0)
        for lane in self._lanes.values():
            lane.join(0.2)  # one that waits for a silent store ends by itself

    def put(self, event: ev.Event) -> None:
        """Hands an event to the core, from any thread; beyond the bound, advice is dropped."""
        if self._events.qsize() >= MOST_EVENTS and not isinstance(
            event, (ev.StoreReply, ev.ReplyLost, ev.LeaseReleased)
        ):
            self.log.increment("sharing_events_dropped")
            return
        self._events.put(event)

    # What the engine calls

    def look_up(self, ask: api.LookUpHint, object_: str, group: int | None) -> None:
        self.put(ev.LookupRequested(ask, object_, group))

    def release_lease(self, settled: api.ReleaseLease, issued: int) -> None:
        self.put(ev.LeaseReleased(settled, issued // MILLISECOND))

    def notify(
        self,
        event: api.EndpointUpdate
        | api.ReportStaleHint
        | api.RequestQuota
        | api.DonateQuota
        | api.ReportOutlier,
    ) -> None:
        self.put(event)

    def invalidate(self, purge: api.Invalidation, now: int) -> None:
        self.put(ev.InvalidationReceived(purge, (now - purge.age) // MILLISECOND))

    def metrics(self) -> dict[str, object]:
        """Counts since the start, and how each store stands."""
        return {
            "counts": dict(self.core.counts),
            "stores": {
                name: {
                    "gate": store.breaker.value,
                    "trust": store.trust.value,
                    "generation": store.generation,
                }
                for name, store in self.core.stores.items()
            },
        }

    def record_fault(self, fault: Exception) -> None:
        """Notes why a store could not be used: a line for each kind of reason every ten seconds at most."""
        self.log.increment("store_faults")
        why = f"{type(fault).__name__}: {fault}"[:160]
        now = self.clock.now()
        if now - self._faults.get(why[:40], 0) >= 10 * SECOND:
            if len(self._faults) > 64:
                self._faults.clear()
            self._faults[why[:40]] = now
            self.log.event("store_fault", why=why)

    def _run(self) -> None:
        due = 0
        while True:
            now = self.clock.now()
            if now >= due:
                due = now + TICK
                self._handle(ev.Tick())
                continue
            try:
                event = self._events.get(timeout=(due - now) / SECOND)
            except queue.Empty:
                continue
            if event is None:
                return
            self._handle(event)

    def _handle(self, event: ev.Event) -> None:
        try:
            actions = self.core.handle(self.clock.now(), event)
        except Exception:  # one event's fault must not end the rest
            self.log.exception("sharing_fault", kind=type(event).__name__)
            if isinstance(event, ev.LookupRequested):
                self._post(api.CacheHint(event.lookup.request_id))
            return
        for action in actions:
            match action:
                case ev.StoreCommand():
                    self._lanes[action.store, action.is_urgent].put(action)
                case ev.NotifyRouter():
                    self._post(action.event)
                case ev.LogEvent():
                    self.log.event(action.name, **action.fields)
