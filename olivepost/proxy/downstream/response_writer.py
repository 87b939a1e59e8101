"""The threads that write responses to clients."""

from __future__ import annotations

import queue
import threading
from typing import NamedTuple, Protocol

from olivepost.proxy.downstream.connection_lifecycle import CloseReason
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.exchange import Exchange, Response
from olivepost.proxy.threads import START_TIMEOUT_S, start_thread


class ResponseTarget(Protocol):
    """The connection that a response is written to, as the writer threads see it.

    Whatever `write` or `finish_writing` raises, the response is released.
    """

    def write(self, exchange: Exchange, response: Response, /) -> list[memoryview]:
        """Writes the response without waiting; returns what the socket did not take."""

    def finish_writing(self, exchange: Exchange, response: Response, unsent: list[memoryview], /) -> None:
        """Writes the rest, waiting for the client to read."""

    def abandon_response(self, exchange: Exchange, response: Response, /) -> None:
        """Cuts off a response that no thread can finish."""

    def abort(self, reason: CloseReason, /) -> None:
        """Shuts down the socket at once."""


class WriteJob(NamedTuple):
    """One response to be written to its client."""

    target: ResponseTarget
    exchange: Exchange
    response: Response


class ResponseWriters:
    """A few threads that write responses without waiting for a client.

    What a socket does not take at once is written by a thread of its own, so that a client that reads slowly
    delays no other and the event loop never starts a thread. Any thread may call `submit`. The threads are
    daemons and run until the process exits.
    """

    def __init__(self, count: int, log: EventLog) -> None:
        self._log = log
        self._jobs: queue.SimpleQueue[WriteJob] = queue.SimpleQueue()
        for _ in range(count):
            start_thread(self._run, "writer", START_TIMEOUT_S)

    def submit(self, target: ResponseTarget, exchange: Exchange, response: Response) -> None:
        """Queues a response; never waits."""
        self._jobs.put(WriteJob(target, exchange, response))

    def _run(self) -> None:
        log = self._log
        while True:
            job = self._jobs.get()
            try:
                unsent = job.target.write(job.exchange, job.response)
                if unsent:
                    self._start_slow_writer(job, unsent)
            except Exception:  # the top of a thread: a fault in one connection must not end the writer of all
                log.exception("response_writer_error")
                job.target.abort(CloseReason.ERROR)

    def _start_slow_writer(self, job: WriteJob, unsent: list[memoryview]) -> None:
        """Starts the thread that finishes a response; without one, the client can tell that it is cut off."""
        self._log.increment("slow_clients")
        thread = threading.Thread(target=self._finish, args=(job, unsent), name="slow-writer", daemon=True)
        try:
            thread.start()
        except (RuntimeError, MemoryError):
            self._log.increment("threads_short")
            job.target.abandon_response(job.exchange, job.response)

    def _finish(self, job: WriteJob, unsent: list[memoryview]) -> None:
        log = self._log
        try:
            job.target.finish_writing(job.exchange, job.response, unsent)
        except Exception:  # the top of a thread: a fault is logged with its trace
            log.exception("response_writer_error")
            job.target.abort(CloseReason.ERROR)
