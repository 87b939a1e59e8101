"""Outcomes of upstream requests that ended with a complete response or with the loss of their connection."""

from __future__ import annotations

from collections.abc import Iterator

from olivepost import interface as api
from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.exchange import Response, ResponseKind
from olivepost.proxy.upstream.line_protocol import ResponseLine
from olivepost.proxy.upstream.request import UpstreamCompleted, UpstreamEvent, UpstreamRequest, UpstreamUnsent
from olivepost.units import MILLISECOND, Instant

CACHE_STATUSES = {
    "warm": api.CacheStatus.HIT,
    "fill": api.CacheStatus.FILLED,
    "deep_fill": api.CacheStatus.FILLED_FROM_ORIGIN,
    "piggy": api.CacheStatus.COLLAPSED,
    "aged": api.CacheStatus.STALE_HIT,
    "bounced": api.CacheStatus.SOURCE_REJECTED,
    "dropped": api.CacheStatus.SOURCE_DISCONNECTED,
    "lacking": api.CacheStatus.SOURCE_MISS,
    "jammed": api.CacheStatus.FILL_LIMIT_REACHED,
    "backfire": api.CacheStatus.ORIGIN_FAILED,
}
FAILURE_STATUSES = {
    "NONE": api.AttemptStatus.NOT_CACHED,
    "SHED": api.AttemptStatus.REJECTED,
    "FAULT": api.AttemptStatus.ERROR,
    "LATE": api.AttemptStatus.NOT_SENT,
}
# Maximum number of digits of the field `issued`, a Unix time in milliseconds; current times have 13 digits.
MAX_TIMESTAMP_DIGITS = 15


def completed_from_response(
    request: UpstreamRequest, line: ResponseLine, clock: Clock, log: EventLog
) -> UpstreamCompleted:
    """Returns the outcome of a request, based on its response line and the body that was read for it."""
    cache_status = CACHE_STATUSES.get(line.fields.get("why", ""), api.CacheStatus.UNKNOWN)
    completed_at = clock.now()
    response = _response(request, line, clock, completed_at)
    if response is not None:
        status = api.AttemptStatus.OK
    elif request.is_missing_buffers:
        status = api.AttemptStatus.CANCELLED  # the proxy had no free buffers; the endpoint is not at fault
    elif line.status in FAILURE_STATUSES:
        status = FAILURE_STATUSES[line.status]
    else:
        status = api.AttemptStatus.ERROR
        log.increment("unexpected_responses")
    return UpstreamCompleted(request, status, completed_at, cache_status, response)


def events_of_loss(
    requests: list[UpstreamRequest], lost_at: Instant, was_connected: bool, is_local_failure: bool = False
) -> Iterator[UpstreamEvent]:
    """Yields the outcomes of the requests that were pending on a connection when it ended.

    `lost_at` is the time at which the connection ended. If the connection was established
    (`was_connected`), a request whose first byte was not written is forwarded again, but only once: the
    function yields `UpstreamUnsent` for it. All other requests end with one of three outcomes. If the first
    byte may have been written, the outcome is CONNECTION_LOST. Otherwise, the outcome is NOT_SENT if
    `is_local_failure` is true, because the endpoint is then not at fault, and CONNECT_FAILED if not. Only the
    first `UpstreamCompleted` event reports the loss of the connection; the others have `is_repeated_loss`
    set.
    """
    is_repeated_loss = False
    for request in requests:
        request.discard_body()
        if not request.is_started and was_connected and not request.is_rerouted:
            yield UpstreamUnsent(request)
            continue
        status = api.AttemptStatus.CONNECT_FAILED
        if request.is_started:
            status = api.AttemptStatus.CONNECTION_LOST
        elif is_local_failure:
            status = api.AttemptStatus.NOT_SENT
        yield UpstreamCompleted(request, status, lost_at, is_repeated_loss=is_repeated_loss)
        is_repeated_loss = True


def _response(
    request: UpstreamRequest, line: ResponseLine, clock: Clock, completed_at: Instant
) -> Response | None:
    """Returns the response for the client; None if the endpoint sent none that can be delivered."""
    etag = line.fields.get("entity") or None
    if line.status == "HIT" and request.body is not None:
        generated_at = _generated_at(line.fields.get("issued", ""), clock, completed_at)
        return Response(ResponseKind.SERVED, etag, request.body, generated_at)
    # A response may be reported as not modified only if its entity tag shows that the client has cached it.
    if line.status == "VALID" and etag is not None and etag == request.exchange.etag:
        return Response(ResponseKind.NOT_MODIFIED, etag)
    return None


def _generated_at(issued: str, clock: Clock, completed_at: Instant) -> Instant | None:
    """Returns the time in the field `issued`, converted to this process's clock, but at most `completed_at`.

    Returns None if the field is missing, malformed or 0. A response can't be generated after it was received.
    A later time therefore shows how far this process's clock is behind, and the clock records that.
    """
    is_timestamp = issued.isascii() and issued.isdigit() and len(issued) <= MAX_TIMESTAMP_DIGITS
    if not is_timestamp:
        return None
    unix_ns = int(issued) * MILLISECOND
    clock.observe(unix_ns)
    return min(clock.from_unix(unix_ns), completed_at) or None
