"""The host of the store coordinator.

The host owns the coordinator's thread, the coordinator's queue of events, and the workers of each store. It
makes no decision. One thread runs the coordinator. Each store has two workers, each with a thread and a
connection. One worker runs the commands that requests wait for, and the other runs all other commands.
"""

from __future__ import annotations

import queue
import random
import threading
import time
from collections.abc import Callable

from olivepost import interface as api
from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.threads import START_TIMEOUT_S, start_thread
from olivepost.shared_store import messages
from olivepost.shared_store.coordinator import StoreCoordinator
from olivepost.shared_store.fault_log import FaultLog
from olivepost.shared_store.settings import SharedStoreSettings
from olivepost.shared_store.store_worker import Lane, StoreWorker, WorkerContext
from olivepost.units import MILLISECOND, SECOND, Duration, Instant

# Interval between ticks. It equals the smallest value of the setting `sync`. Each tick checks the timeouts of
# replies, so the interval is also their resolution.
TICK_INTERVAL: Duration = 10 * MILLISECOND
# Largest number of events in the coordinator's queue. While the queue is full, new lookups, reports and all
# other events except `UNDROPPABLE_EVENTS` are dropped.
MAX_QUEUED_EVENTS = 20_000
# Number of random bits in the id (incarnation) of a process, enough that no two processes of a branch get the
# same id.
INCARNATION_BITS = 64
SEED_BITS = 64
# Time for which `close` waits for all threads together. A thread that has not ended by then, because it waits
# for an unresponsive store, is left running.
CLOSE_TIMEOUT_S = 1.0

# Events that are never dropped. Without its reply event, a command would stay pending forever. Without its
# release, a lease would end only at its expiry.
UNDROPPABLE_EVENTS = (messages.StoreReply, messages.ReplyLost, messages.LeaseReleased)


class StoreHost:
    """The shared stores as the proxy's event loop uses them.

    Any thread may call the methods. No method blocks, except `start` and `close`. `coordinator` belongs to
    the coordinator's thread; other threads only read its counts and stores.
    """

    def __init__(
        self,
        settings: SharedStoreSettings,
        name: str,
        clock: Clock,
        log: EventLog,
        post: Callable[[api.Event], None],
    ) -> None:
        entropy = random.SystemRandom()
        incarnation = f"{entropy.getrandbits(INCARNATION_BITS):016x}"
        terms = settings.terms(name, incarnation)
        self.coordinator = StoreCoordinator(terms, entropy.getrandbits(SEED_BITS))
        self._settings = settings
        self._clock = clock
        self._log = log
        self._post = post
        self._context = WorkerContext(
            settings, incarnation, clock, log, FaultLog(clock, log), self._queue_event
        )
        # The coordinator's events. A queued `None` ends the coordinator's thread.
        self._events: queue.SimpleQueue[messages.Event | None] = queue.SimpleQueue()
        self._workers: dict[tuple[str, Lane], StoreWorker] = {}
        self._thread: threading.Thread | None = None  # `None` before `start`

    def start(self) -> None:
        """Starts all threads; each worker connects when it runs its first command.

        Raises RuntimeError if the system can't start a thread within `START_TIMEOUT_S`.
        """
        for store in self._settings.stores:
            for lane in Lane:
                worker = StoreWorker(self._context, store, lane)
                self._workers[store.name, lane] = worker
                worker.start()
        self._thread = start_thread(self._run, "store-coordinator", START_TIMEOUT_S)

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Requests the end of all threads and waits for them until the timeout.

        A command in flight is not interrupted; the command ends with its reply or at its own timeout.
        """
        until = time.monotonic() + timeout_s
        self._events.put(None)
        for worker in self._workers.values():
            worker.close()
        if self._thread is not None:
            self._thread.join(timeout_s)
        for worker in self._workers.values():
            worker.join(max(0.0, until - time.monotonic()))

    def look_up(self, lookup: api.LookUpHint, object_name: str, group: int | None) -> None:
        """Asks a store which cache has or fills a name; the router gets the answer as a `CacheHint`."""
        self._queue_event(messages.LookupRequested(lookup, object_name, group))

    def release_lease(self, release: api.ReleaseLease, generated_at: Instant | None) -> None:
        """Releases a fill lease.

        `generated_at` is when the request's response was generated, in Unix time. It is `None` if the time is
        unknown.
        """
        generated_at_ms = None if generated_at is None else generated_at // MILLISECOND
        self._queue_event(messages.LeaseReleased(release, generated_at_ms))

    def notify(
        self,
        event: api.EndpointUpdate
        | api.ReportStaleHint
        | api.RequestQuota
        | api.DonateQuota
        | api.ReportOutlier,
    ) -> None:
        """Passes an endpoint update or one of the router's actions to the coordinator."""
        self._queue_event(event)

    def invalidate(self, invalidation: api.Invalidation, now: Instant) -> None:
        """Publishes an invalidation; `now` is in Unix time."""
        invalidated_at = now - invalidation.age
        self._queue_event(messages.InvalidationReceived(invalidation, invalidated_at // MILLISECOND))

    def metrics(self) -> dict[str, object]:
        """Returns the coordinator's counters since its creation, and the state of each store."""
        stores = {
            name: {
                "circuit_breaker": store.breaker.state.value,
                "trust": store.trust.value,
                "generation": store.generation,
            }
            for name, store in self.coordinator.stores.items()
        }
        return {"counters": dict(self.coordinator.counts), "stores": stores}

    def _queue_event(self, event: messages.Event) -> None:
        """Queues an event for the coordinator; any thread may call this method.

        If the queue is full, counts and drops the event, unless it is one of `UNDROPPABLE_EVENTS`.
        """
        is_full = self._events.qsize() >= MAX_QUEUED_EVENTS
        if is_full and not isinstance(event, UNDROPPABLE_EVENTS):
            self._log.increment("store_events_dropped")
            return
        self._events.put(event)

    def _run(self) -> None:
        """Handles queued events, and a tick every `TICK_INTERVAL`, until a `None` is queued."""
        next_tick = self._clock.now()
        while True:
            now = self._clock.now()
            if now >= next_tick:
                next_tick = now + TICK_INTERVAL
                self._handle(messages.Tick())
                continue
            try:
                event = self._events.get(timeout=(next_tick - now) / SECOND)
            except queue.Empty:
                continue
            if event is None:
                return
            self._handle(event)

    def _handle(self, event: messages.Event) -> None:
        try:
            actions = self.coordinator.handle(self._clock.now(), event)
        except Exception:
            # Every exception is caught here, because no caller catches exceptions, and a fault in the
            # handling of one event must not stop the handling of other events.
            log = self._log
            log.exception("store_coordinator_error", kind=type(event).__name__)
            if isinstance(event, messages.LookupRequested):
                # The router gets a hint that names no cache, because a request waits for a hint.
                self._post(api.CacheHint(event.lookup.request_id))
            return
        for action in actions:
            self._perform(action)

    def _perform(self, action: messages.Action) -> None:
        match action:
            case messages.StoreCommand():
                lane = Lane.URGENT if action.is_urgent else Lane.UPKEEP
                self._workers[action.store, lane].submit(action)
            case messages.NotifyRouter():
                self._post(action.event)
            case messages.LogEvent():
                self._log.event(action.name, **action.fields)
