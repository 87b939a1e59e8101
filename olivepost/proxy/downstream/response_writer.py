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
    """Interface of the connection that a response is written to, as the writer threads use it.

    `write` and `finish_writing` release the response even if they raise an exception.
    """

    def write(self, exchange: Exchange, response: Response, /) -> list[memoryview]:
        """Writes the response without waiting; returns the buffers that the socket did not take.

        Returns an empty list if nothing remains to be written.
        """

    def finish_writing(self, exchange: Exchange, response: Response, unsent: list[memoryview], /) -> None:
        """Writes the buffers that `write` returned; waits when the client has to read first."""

    def abandon_response(self, exchange: Exchange, response: Response, /) -> None:
        """Aborts a partly written response, because no thread could be started to write the rest of it."""

    def abort(self, reason: CloseReason, /) -> None:
        """Shuts down the socket immediately."""


class WriteJob(NamedTuple):
    """One response to be written to its client."""

    target: ResponseTarget
    exchange: Exchange
    response: Response


class ResponseWriters:
    """Fixed number of threads that write responses without waiting for a client.

    If a socket does not take a whole response at once, a separate thread writes the rest. A client that reads
    slowly therefore delays no other client, and the event loop never starts a thread. Any thread may call
    `submit`. The threads are daemons and run until the process exits.
    """

    def __init__(self, count: int, log: EventLog) -> None:
        self._log = log
        self._jobs: queue.SimpleQueue[WriteJob] = queue.SimpleQueue()
        for _ in range(count):
            start_thread(self._run, "writer", START_TIMEOUT_S)

    def submit(self, target: ResponseTarget, exchange: Exchange, response: Response) -> None:
        """Queues a response for a writer thread; never waits."""
        self._jobs.put(WriteJob(target, exchange, response))

    def _run(self) -> None:
        log = self._log
        while True:
            job = self._jobs.get()
            try:
                unsent = job.target.write(job.exchange, job.response)
                if unsent:
                    self._start_slow_writer(job, unsent)
            except Exception:  # top level of the thread: an error in one connection must not end the writer
                log.exception("response_writer_error")
                job.target.abort(CloseReason.ERROR)

    def _start_slow_writer(self, job: WriteJob, unsent: list[memoryview]) -> None:
        """Starts a thread that writes the rest of a response.

        If the system can't start a thread, the connection is aborted, so that the client can detect that the
        response is incomplete.
        """
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
        except Exception:  # top level of the thread: the error is logged with its stack trace
            log.exception("response_writer_error")
            job.target.abort(CloseReason.ERROR)
