"""Encoding of final responses, and the threads that write them."""

from __future__ import annotations

import queue
import threading
from typing import NamedTuple, Protocol

from olivepost.proxy.downstream.connection_lifecycle import CloseReason
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.exchange import Exchange, Response, ResponseKind
from olivepost.proxy.http1 import response_head
from olivepost.proxy.threads import START_TIMEOUT_S, start_thread
from olivepost.units import MILLISECOND


def encode_response(response: Response, closes: bool) -> list[bytes | memoryview]:
    """The head and the body of a final response; `closes` announces that the connection ends after it."""
    headers = {"ETag": f'"{response.etag}"'} if response.etag else {}
    if response.kind is ResponseKind.SERVED and response.body is not None:
        head = response_head(200, response.body.length, headers, closes)
        return [head, *response.body.parts()]
    if response.kind is ResponseKind.NOT_MODIFIED:
        return [response_head(304, None, headers, closes)]
    if response.kind is ResponseKind.REJECTED:
        if response.retry_after is not None:
            headers["X-Come-Back-Ms"] = str(max(1, response.retry_after // MILLISECOND))
        return [response_head(503, 0, headers, closes)]
    return [response_head(502, 0, headers, closes)]


class ClientConnection(Protocol):
    """The connection that a response is written to, as the writer threads see it."""

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

    connection: ClientConnection
    exchange: Exchange
    response: Response


class ResponseWriters:
    """A few threads that write responses without waiting for a client.

    What a socket does not take at once is finished by a thread of its own, so that a client that reads
    slowly delays no other and the event loop never starts a thread.
    """

    def __init__(self, count: int, log: EventLog) -> None:
        self._log = log
        self._jobs: queue.SimpleQueue[WriteJob] = queue.SimpleQueue()
        for _ in range(count):
            start_thread(self._run, "writer", START_TIMEOUT_S)

    def submit(self, connection: ClientConnection, exchange: Exchange, response: Response) -> None:
        """Queues a response; any thread may call it."""
        self._jobs.put(WriteJob(connection, exchange, response))

    def _run(self) -> None:
        log = self._log
        while True:
            job = self._jobs.get()
            try:
                unsent = job.connection.write(job.exchange, job.response)
                if unsent:
                    self._start_slow_writer(job, unsent)
            except RuntimeError:  # no thread can be started: the client can tell that its response is cut
                log.increment("threads_short")
                job.connection.abandon_response(job.exchange, job.response)
            except Exception:  # a fault in one connection must not end the writer of all
                log.exception("response_writer_error")
                job.connection.abort(CloseReason.ERROR)

    def _start_slow_writer(self, job: WriteJob, unsent: list[memoryview]) -> None:
        self._log.increment("slow_clients")
        threading.Thread(target=self._finish, args=(job, unsent), name="slow-writer", daemon=True).start()

    def _finish(self, job: WriteJob, unsent: list[memoryview]) -> None:
        log = self._log
        try:
            job.connection.finish_writing(job.exchange, job.response, unsent)
        except Exception:  # the top of a thread: a fault is logged with its trace
            log.exception("response_writer_error")
