"""Reader of an upstream connection: the thread that receives responses and watches that they keep coming."""

from __future__ import annotations

import socket

from olivepost.proxy import sockets
from olivepost.proxy.buffers import PooledBody
from olivepost.proxy.upstream.completion import completed_from_response
from olivepost.proxy.upstream.connection import UpstreamConnection, WriterSignal
from olivepost.proxy.upstream.errors import ReadBufferUnavailableError, UpstreamError
from olivepost.proxy.upstream.line_protocol import ResponseLine, ResponseParser
from olivepost.proxy.upstream.request import UpstreamRequest
from olivepost.units import Instant

# Seconds that a connection, with all its responses, waits for buffers before a body is given up.
BUFFER_TIMEOUT_S = 0.05


class ConnectionReader:
    """Receives the responses of one connection; all of it runs on the reader thread.

    The writer starts that thread, and joins it before it closes the socket.
    """

    def __init__(self, connection: UpstreamConnection) -> None:
        self._connection = connection
        self._resources = connection.resources
        self._liveness = connection.liveness
        self._parser = ResponseParser(connection.resources.limits.max_response_body_bytes)
        self._line: ResponseLine | None = None  # of the response in progress
        self._request: UpstreamRequest | None = None  # that it answers; None: it is dropped

    def run(self, sock: socket.socket) -> None:
        """Read until the connection ends, then end it on this side."""
        connection = self._connection
        read_buffers = self._resources.read_buffers
        buffers = read_buffers.acquire(1, BUFFER_TIMEOUT_S)
        try:
            if buffers is None:
                raise ReadBufferUnavailableError(BUFFER_TIMEOUT_S)
            self._read(sock, buffers[0])
        except UpstreamError as error:
            connection.record_loss(str(error))
        except OSError as error:
            connection.record_loss(error.strerror or str(error))
        except Exception:  # a thread's top: its connection must end and be reported whatever went wrong
            self._resources.log.exception("upstream_connection_error", endpoint=connection.address.id)
        finally:
            connection.end()
            if buffers:
                read_buffers.release(buffers)
            sockets.shutdown(sock)
            connection.outbox.put(WriterSignal.DRAIN)  # wakes the writer

    def _read(self, sock: socket.socket, buffer: memoryview) -> None:
        clock = self._resources.clock
        liveness = self._liveness
        parser = self._parser
        liveness.last_received_at = clock.now()
        while True:
            try:
                size = sockets.receive(sock, buffer)
            except BlockingIOError:
                self._check_liveness(clock.now())
                continue
            if not size:
                break
            liveness.record_received(clock.now())
            self._process(buffer[:size])
            if parser.is_between_responses:
                liveness.response_started_at = 0
            elif not liveness.response_started_at:
                liveness.response_started_at = liveness.last_received_at
            if liveness.response_started_at:
                liveness.check_progress(liveness.last_received_at)
        if self._connection.pending_count or not parser.is_between_responses:
            self._connection.record_loss("closed by the endpoint")

    def _process(self, data: memoryview) -> None:
        """Act on what the bytes complete or add to."""
        for item in self._parser.feed(data):
            if isinstance(item, ResponseLine):
                self._start_response(item)
            elif isinstance(item, memoryview):
                if self._request is not None:
                    self._connection.append_body(self._request, item)
            else:
                self._finish_response()
                self._liveness.response_started_at = 0

    def _check_liveness(self, now: Instant) -> None:
        """Leave a connection that stalls; ask the endpoint for a sign of life after a silence.

        Slow endpoints answer such a check; dead ones, unreachable ones and connections that lost the end of a
        response don't. Hurts where a machine stands still for longer.
        """
        liveness = self._liveness
        liveness.check_progress(now)
        if liveness.is_waiting:
            return
        if liveness.is_check_due(now, self._connection.waiting_since(now)):
            self._resources.log.increment("liveness_checks_sent")
            liveness.check_sent_at = now
            self._connection.outbox.put(WriterSignal.CHECK_LIVENESS)

    def _start_response(self, line: ResponseLine) -> None:
        """Find the request that a response answers, and buffers for its body.

        One that answers no pending request (given up, answered before, never written here) is read whole and
        dropped: the bytes behind it are good.
        """
        self._line = line
        self._request = None
        if line.status == "PONG":
            return
        request = self._connection.find_written(line.request_id)
        self._request = request
        if request is None or line.status != "HIT":
            return
        body = PooledBody.reserve(self._resources.body_buffers, line.body_length, BUFFER_TIMEOUT_S)
        if body is None:
            self._resources.log.increment("pool_empty")
        self._connection.attach_body(request, body)

    def _finish_response(self) -> None:
        """Complete the request whose response has come in full."""
        request = self._request
        self._request = None
        if request is None or self._line is None or not self._connection.complete(request):
            return
        completed = completed_from_response(request, self._line, self._resources.clock, self._resources.log)
        self._resources.post(completed)
