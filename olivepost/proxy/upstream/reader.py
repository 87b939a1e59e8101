"""Reader of an upstream connection: its thread receives responses and checks that they keep arriving."""

from __future__ import annotations

import socket

from olivepost.proxy import sockets
from olivepost.proxy.buffers import PooledBody
from olivepost.proxy.upstream.completion import completed_from_response
from olivepost.proxy.upstream.connection_context import ConnectionContext
from olivepost.proxy.upstream.connection_state import UnmatchedResponse, WriterSignal
from olivepost.proxy.upstream.errors import ReadBufferUnavailableError, UpstreamError
from olivepost.proxy.upstream.line_protocol import LIVENESS_STATUS, ResponseLine, ResponseParser
from olivepost.proxy.upstream.request import UpstreamRequest
from olivepost.units import Instant

# Longest wait for free buffers. The wait is limited, because the thread receives no other response of the
# connection during it.
BUFFER_TIMEOUT_S = 0.05


class ConnectionReader:
    """Receiver of one connection's responses. `run` and the methods that it calls run on the reader thread.

    The writer thread starts the reader thread and joins it before it closes the socket.
    """

    def __init__(self, context: ConnectionContext) -> None:
        self._context = context
        self._state = context.state
        self._resources = context.resources
        self._liveness = context.liveness
        self._parser = ResponseParser(context.resources.limits.max_response_body_bytes)
        self._line: ResponseLine | None = None  # first line of the response in progress
        # Request that the response in progress belongs to; None if the response is dropped.
        self._request: UpstreamRequest | None = None

    def run(self, sock: socket.socket) -> None:
        """Reads until the connection ends, then ends it on this side as well."""
        context = self._context
        read_buffers = self._resources.read_buffers
        buffers = read_buffers.acquire(1, BUFFER_TIMEOUT_S)
        try:
            if buffers is None:
                raise ReadBufferUnavailableError(BUFFER_TIMEOUT_S)
            self._read(sock, buffers[0])
        except UpstreamError as error:
            context.record_loss(str(error))
        except OSError as error:
            context.record_loss(error.strerror or str(error))
        except Exception:  # the thread's outermost handler: any error must end and report the connection
            self._resources.log.exception("upstream_connection_error", endpoint=context.address.id)
        finally:
            context.end()
            if buffers:
                read_buffers.release(buffers)
            sockets.shutdown(sock)
            self._state.outbox.put(WriterSignal.DRAIN)  # wakes the writer thread, which closes the socket

    def _read(self, sock: socket.socket, buffer: memoryview) -> None:
        """Receives and processes bytes until the connection ends; raises OSError or UpstreamError."""
        clock = self._resources.clock
        liveness = self._liveness
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
            liveness.record_progress(is_between_responses=self._parser.is_between_responses)
            if liveness.response_started_at is not None:
                liveness.check_progress(liveness.last_received_at)
        if self._state.pending_count or not self._parser.is_between_responses:
            self._context.record_loss("closed by the endpoint")

    def _process(self, data: memoryview) -> None:
        """Handles the response lines, body chunks and response ends in the received bytes."""
        for item in self._parser.feed(data):
            if isinstance(item, ResponseLine):
                self._start_response(item)
            elif isinstance(item, memoryview):
                if self._request is not None:
                    self._state.append_body(self._request, item)
            else:
                self._finish_response()
                self._liveness.response_started_at = None

    def _check_liveness(self, now: Instant) -> None:
        """Raises EndpointUnresponsiveError if the endpoint is overdue; sends a liveness check if one is due.

        A slow endpoint replies to a liveness check. An endpoint that has failed, can't be reached or has lost
        the end of a response does not.
        """
        liveness = self._liveness
        liveness.check_progress(now)
        if liveness.is_waiting:
            return
        if liveness.is_check_due(now, self._state.waiting_since(now)):
            self._resources.log.increment("liveness_checks_sent")
            liveness.check_sent_at = now
            self._state.outbox.put(WriterSignal.CHECK_LIVENESS)

    def _start_response(self, line: ResponseLine) -> None:
        """Finds the request that a response belongs to, and reserves buffers for the response's body.

        A response may have no pending request, because its request was aborted, was completed before or was
        never written on this connection. Such a response is read to its end and dropped. The connection stays
        open, since the bytes that follow the response are valid.
        """
        self._line = line
        self._request = None
        if line.status == LIVENESS_STATUS:
            return
        match = self._state.find_written(line.request_id)
        if isinstance(match, UnmatchedResponse):
            self._resources.log.increment(match.value)
            return
        self._request = match
        if line.status == "HIT" and line.body_length is not None:
            self._reserve_body(match, line.body_length)

    def _reserve_body(self, request: UpstreamRequest, length: int) -> None:
        """Reserves buffers for a response's body, or records that none became free in time."""
        body = PooledBody.reserve(self._resources.body_buffers, length, BUFFER_TIMEOUT_S)
        if body is None:
            self._resources.log.increment("pool_empty")
            self._state.mark_missing_buffers(request)
        elif not self._state.attach_body(request, body):
            body.release()

    def _finish_response(self) -> None:
        """Completes the request whose response has been received in full."""
        request = self._request
        self._request = None
        if request is None or self._line is None or not self._state.complete(request):
            return
        completed = completed_from_response(request, self._line, self._resources.clock, self._resources.log)
        self._resources.post(completed)
