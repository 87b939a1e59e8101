"""A worker: a thread that runs commands in one store, through a connection of its own.

The worker runs the commands in batches. A batch is the commands that are sent in one round trip.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

import redis

from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.threads import START_TIMEOUT_S, start_thread
from olivepost.shared_store import client, messages
from olivepost.shared_store.fault_log import FaultLog
from olivepost.shared_store.scripts import read_reply
from olivepost.shared_store.settings import SharedStoreSettings, StoreSettings
from olivepost.units import Instant

# Largest number of commands in one round trip. The number is limited, because the reply to the first command
# of a round trip is passed on only after the reply to the last command has come.
MAX_BATCH = 64
MAX_REASON_LENGTH = 120  # characters of a store's error that the coordinator receives

ReplyEvent = messages.StoreReply | messages.ReplyLost


class Lane(Enum):
    """A lane: one of the two kinds of commands to a store, each of which has its own worker and queue.

    A request waits for each urgent command. The other commands (upkeep) have their own lane, so that they
    never delay an urgent command.
    """

    URGENT = "urgent"
    UPKEEP = "upkeep"


class QueuedCommand(NamedTuple):
    """A command that waits for the worker's connection."""

    command: messages.StoreCommand
    queued_at: Instant


@dataclass(frozen=True, slots=True)
class WorkerContext:
    """The state that all workers of a process share.

    `post` passes the event about a reply to the coordinator; any thread may call it.
    """

    settings: SharedStoreSettings
    incarnation: str
    clock: Clock
    log: EventLog
    faults: FaultLog
    post: Callable[[ReplyEvent], None]


class StoreWorker:
    """A worker that runs the commands of one lane (either the urgent ones or all others) in one store.

    Each command gets exactly one `StoreReply` or `ReplyLost`, unless it is still queued when the worker is
    closed. The queue is bounded. A command that doesn't fit into the queue, or whose reply would be too late
    to be used, is never sent. Any thread may call the public methods; `_changed` guards `_queue` and
    `_is_closed`.
    """

    def __init__(self, context: WorkerContext, store: StoreSettings, lane: Lane) -> None:
        settings = context.settings
        self._context = context
        self._is_transactional = lane is Lane.UPKEEP
        self._max_wait = settings.wait if lane is Lane.URGENT else settings.give_up
        self._max_queued = settings.queues.urgent if lane is Lane.URGENT else settings.queues.upkeep
        self._client = client.create_client(settings, store, connections=1)
        self._queue: deque[QueuedCommand] = deque()
        self._changed = threading.Condition()
        self._is_closed = False
        self._thread_name = f"store-{lane.value}"
        self._thread: threading.Thread | None = None  # `None` before `start`

    def start(self) -> None:
        """Starts the thread; raises RuntimeError if the system can't start one within `START_TIMEOUT_S`."""
        self._thread = start_thread(self._run, self._thread_name, START_TIMEOUT_S)

    def submit(self, command: messages.StoreCommand) -> None:
        """Queues a command, or reports its reply as lost if the queue is full or the worker is closed."""
        with self._changed:
            if len(self._queue) < self._max_queued and not self._is_closed:
                self._queue.append(QueuedCommand(command, self._context.clock.now()))
                self._changed.notify()
                return
        self._context.log.increment("store_queue_full")
        self._context.post(messages.ReplyLost(command.ticket, "the queue is full"))

    def close(self) -> None:
        """Requests the end of the thread; commands that are still queued are dropped without a reply."""
        with self._changed:
            self._is_closed = True
            self._changed.notify()

    def join(self, timeout_s: float) -> None:
        """Waits for the thread's end until the timeout.

        If the store is unresponsive, the thread ends when its connection times out.
        """
        if self._thread is not None:
            self._thread.join(timeout_s)

    def _run(self) -> None:
        while batch := self._take_batch():
            commands = self._drop_expired(batch)
            if commands:
                self._execute(commands)
        self._client.close()

    def _take_batch(self) -> list[QueuedCommand]:
        """Waits for commands, and takes up to `MAX_BATCH` of them from the queue.

        Returns an empty list after `close`.
        """
        with self._changed:
            self._changed.wait_for(lambda: self._queue or self._is_closed)
            if self._is_closed:
                return []
            return [self._queue.popleft() for _ in range(min(MAX_BATCH, len(self._queue)))]

    def _drop_expired(self, batch: list[QueuedCommand]) -> list[messages.StoreCommand]:
        """Returns the commands of a batch that have not waited too long in the queue.

        Reports the replies to the other commands as lost.
        """
        commands: list[messages.StoreCommand] = []
        for command, queued_at in batch:
            if self._context.clock.now() - queued_at <= self._max_wait:
                commands.append(command)
                continue
            self._context.log.increment("store_commands_expired")
            self._context.post(messages.ReplyLost(command.ticket, "waited too long"))
        return commands

    def _execute(self, commands: list[messages.StoreCommand]) -> None:
        context = self._context
        operations = [command.operation for command in commands]
        try:
            replies = client.run_operations(
                self._client,
                operations,
                context.settings.key_prefix,
                context.incarnation,
                is_transaction=self._is_transactional,
            )
        except (redis.RedisError, OSError) as error:
            self._fail(commands, error)
            return
        except Exception as error:
            # Every exception is caught here, because no caller catches exceptions, and every command must get
            # its `StoreReply` or `ReplyLost`.
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
        """Closes the connection, and reports the replies to all given commands as lost.

        The connection is closed because it may still contain part of a reply.
        """
        self._client.connection_pool.disconnect()
        self._context.faults.record(error)
        for command in commands:
            self._context.post(messages.ReplyLost(command.ticket, type(error).__name__))
