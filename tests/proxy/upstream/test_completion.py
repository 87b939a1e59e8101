"""Tests of the outcomes of upstream requests, which end with a complete response or a lost connection."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from olivepost import interface as api
from olivepost.proxy.buffers import BufferPool, PooledBody
from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.exchange import ResponseKind
from olivepost.proxy.upstream.completion import completed_from_response, events_of_loss
from olivepost.proxy.upstream.line_protocol import ResponseLine
from olivepost.proxy.upstream.request import UpstreamCompleted, UpstreamRequest, UpstreamUnsent
from olivepost.units import MILLISECOND
from tests.proxy.upstream.fakes import REQUEST_ID, START, make_exchange


class FixedClock(Clock):
    """A clock that always shows the same time."""

    def __init__(self, now: int) -> None:
        super().__init__()
        self._now = now

    def now(self) -> int:
        return self._now


def make_request(etag: str | None = None, body: PooledBody | None = None) -> UpstreamRequest:
    exchange = make_exchange(etag)
    return UpstreamRequest(exchange, 0, "cache-1", "parent-1", START, {}, body=body)


def make_response_line(status: str, **fields: str) -> ResponseLine:
    return ResponseLine(REQUEST_ID, status, fields, 0)


@pytest.fixture
def log() -> Iterator[EventLog]:
    event_log = EventLog(Clock(), "proxy-1")
    yield event_log
    event_log.close()


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        ("NONE", api.AttemptStatus.NOT_CACHED),
        ("SHED", api.AttemptStatus.REJECTED),
        ("FAULT", api.AttemptStatus.ERROR),
        ("LATE", api.AttemptStatus.NOT_SENT),
    ],
)
def test_failure_status_ends_the_attempt_with_its_own_status(
    status: str, expected: api.AttemptStatus, log: EventLog
) -> None:
    completed = completed_from_response(
        make_request(), make_response_line(status, why="lacking"), FixedClock(START), log
    )
    assert (completed.status, completed.cache_status) == (expected, api.CacheStatus.SOURCE_MISS)
    assert completed.response is None
    assert not log.counters()


@pytest.mark.parametrize("unknown", ["HIT", "PONG", "hit", "VALID"])
def test_response_without_content_is_an_error_and_counted(unknown: str, log: EventLog) -> None:
    assert (
        completed_from_response(make_request(), make_response_line(unknown), FixedClock(START), log).status
        is api.AttemptStatus.ERROR
    )
    assert log.counters() == {"unexpected_responses": 1}


def test_response_without_body_buffers_is_not_attributed_to_the_endpoint(log: EventLog) -> None:
    request = make_request()
    request.is_missing_buffers = True
    completed = completed_from_response(request, make_response_line("HIT"), FixedClock(START), log)
    assert completed.status is api.AttemptStatus.CANCELLED


@pytest.mark.parametrize(
    ("issued", "generated_at"),
    [
        ("1764575999123", 1_764_575_999_123 * MILLISECOND),
        # A response that was issued after its receipt shows that this process's clock is behind. The time of
        # the receipt is then used.
        ("1764576000123", START),
        ("", None),
        ("soon", None),
        ("²", None),
        ("1" * 16, None),
    ],
)
def test_served_response_has_its_body_tag_and_age(
    issued: str, generated_at: int | None, log: EventLog
) -> None:
    body = PooledBody.reserve(BufferPool(1, 8), 8, 0)
    assert body is not None
    served = make_response_line("HIT", why="warm", entity="tag", issued=issued)
    completed = completed_from_response(make_request(body=body), served, FixedClock(START), log)
    assert completed.status is api.AttemptStatus.OK
    assert completed.response is not None
    assert completed.response.kind is ResponseKind.SERVED
    assert completed.response.body is body
    assert (completed.response.etag, completed.response.generated_at) == ("tag", generated_at)


def test_only_the_clients_own_tag_is_not_modified(log: EventLog) -> None:
    completed = completed_from_response(
        make_request("mine"), make_response_line("VALID", entity="mine"), FixedClock(START), log
    )
    assert completed.response is not None
    assert completed.response.kind is ResponseKind.NOT_MODIFIED
    other = completed_from_response(
        make_request("mine"), make_response_line("VALID", entity="other"), FixedClock(START), log
    )
    assert (other.response, other.status) == (None, api.AttemptStatus.ERROR)


def test_lost_connection_counts_once_and_reroutes_what_was_not_started() -> None:
    unsent, started, also_started, rerouted = (make_request() for _ in range(4))
    started.is_started = True
    also_started.is_started = True
    rerouted.is_rerouted = True
    lost = [unsent, started, also_started, rerouted]
    assert list(events_of_loss(lost, START, was_connected=True)) == [
        UpstreamUnsent(unsent),
        UpstreamCompleted(started, api.AttemptStatus.CONNECTION_LOST, START),
        UpstreamCompleted(also_started, api.AttemptStatus.CONNECTION_LOST, START, is_repeated_loss=True),
        UpstreamCompleted(rerouted, api.AttemptStatus.CONNECT_FAILED, START, is_repeated_loss=True),
    ]


def test_request_is_not_rerouted_from_a_connection_that_was_never_established() -> None:
    request = make_request()
    assert list(events_of_loss([request], START, was_connected=False)) == [
        UpstreamCompleted(request, api.AttemptStatus.CONNECT_FAILED, START)
    ]
