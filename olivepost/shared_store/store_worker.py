"""A thread with one connection that runs commands in one store, in batches."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import redis

from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.shared_store import client, messages
from olivepost.shared_store.fault_log import FaultLog
from olivepost.shared_store.scripts import read_reply
from olivepost.shared_store.settings import SharedStoreSettings, StoreSettings
from olivepost.units import Instant

MAX_BATCH = 64  # commands of one round trip, which bounds the time that the first one waits for the last
MAX_REASON_LENGTH = 120  # characters of a store's error that the coordinator gets

ReplyEvent = messages.StoreReply | messages.ReplyLost


class Lane(Enum):
    """What a worker is for, so that upkeep never delays a command that a request waits for."""

    URGENT = "urgent"
    UPKEEP = "upkeep"


@dataclass(frozen=True, slots=True)
class WorkerContext:
    """What all workers of a process share. `post` takes replies, from any thread."""

    settings: SharedStoreSettings
    incarnation: str
    clock: Clock
    log: EventLog
    faults: FaultLog
    post: Callable[[ReplyEvent], None]


class StoreWorker:
    """Runs the commands of one lane in one store; each gets exactly one `StoreReply` or `ReplyLost`.

    The queue is bounded. A command that doesn't fit, or has waited so long that its reply would be of no use,
    is never sent. Any thread may call the public methods; `_changed` guards `_queue` and `_is_closed`.
    """

    def __init__(self, context: WorkerContext, store: StoreSettings, lane: Lane) -> None:
        settings = context.settings
        self._context = context
        self._is_transactional = lane is Lane.UPKEEP
        self._max_wait = settings.wait if lane is Lane.URGENT else settings.give_up
        self._max_queued = settings.queues.urgent if lane is Lane.URGENT else settings.queues.upkeep
        self._client = client.connect(settings, store, connections=1)
        self._queue: deque[tuple[int, messages.StoreCommand]] = deque()  # with the time of each one's arrival
        self._changed = threading.Condition()
        self._is_closed = False
        self._thread = threading.Thread(target=self._run, name=f"store-{lane.value}", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def submit(self, command: messages.StoreCommand) -> None:
        """Queues a command; it is lost at once where the queue is full."""
        with self._changed:
            if len(self._queue) < self._max_queued and not self._is_closed:
                self._queue.append((self._context.clock.now(), command))
                self._changed.notify()
                return
        self._context.log.increment("store_queue_full")
        self._context.post(messages.ReplyLost(command.ticket, "the queue is full"))

    def close(self) -> None:
        """Asks the thread to end; commands that still wait are dropped without a reply."""
        with self._changed:
            self._is_closed = True
            self._changed.notify()

    def join(self, timeout_s: float) -> None:
        """Waits for the thread's end; one that waits for a silent store ends with its timeout."""
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while batch := self._next_batch():
            commands = [command for queued_at, command in batch if self._is_in_time(queued_at, command)]
            if commands:
                self._execute(commands)
        self._client.close()

    def _next_batch(self) -> list[tuple[int, messages.StoreCommand]]:
        """Waits for commands; returns them, or none once the worker is closed."""
        with self._changed:
            self._changed.wait_for(lambda: self._queue or self._is_closed)
            if self._is_closed:
                return []
            return [self._queue.popleft() for _ in range(min(MAX_BATCH, len(self._queue)))]

    def _is_in_time(self, queued_at: Instant, command: messages.StoreCommand) -> bool:
        """Whether a reply could still be of use; else the command is reported as lost."""
        if self._context.clock.now() - queued_at <= self._max_wait:
            return True
        self._context.log.increment("store_commands_expired")
        self._context.post(messages.ReplyLost(command.ticket, "waited too long"))
        return False

    def _execute(self, commands: list[messages.StoreCommand]) -> None:
        context = self._context
        operations = [command.operation for command in commands]
        try:
            replies = client.run(
                self._client,
                operations,
                context.settings.key_prefix,
                context.incarnation,
                self._is_transactional,
            )
        except (redis.RedisError, OSError) as error:
            self._fail(commands, error)
            return
        except Exception as error:  # the thread's top: every command must get its event
            log = context.log
            log.exception("store_worker_error")
            self._fail(commands, error)
            return
        for command, reply in zip(commands, replies, strict=True):
            if isinstance(reply, Exception):
                context.faults.record(reply)
                context.post(messages.ReplyLost(command.ticket, str(reply)[:MAX_REASON_LENGTH]))
            else:
                context.post(read_reply(command.ticket, reply))

    def _fail(self, commands: list[messages.StoreCommand], error: Exception) -> None:
        """Drops the connection, which may hold half a reply, and reports all commands as lost."""
        self._client.connection_pool.disconnect()
        self._context.faults.record(error)
        for command in commands:
            self._context.post(messages.ReplyLost(command.ticket, type(error).__name__))
