"""What an upstream connection decides without I/O: command fields, liveness, how a request ended."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from olivepost import interface as api
from olivepost.config import ResourceLimits
from olivepost.config.memory_budget import MemoryBudget
from olivepost.proxy.buffers import BufferPool, PooledBody
from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.proxy.exchange import Exchange, ResponseKind
from olivepost.proxy.upstream.command import command_fields
from olivepost.proxy.upstream.completion import completed_from_response, events_of_loss
from olivepost.proxy.upstream.errors import EndpointUnresponsiveError
from olivepost.proxy.upstream.line_protocol import ResponseLine
from olivepost.proxy.upstream.liveness import IDLE_CHECK_AFTER, LivenessMonitor
from olivepost.proxy.upstream.request import UpstreamCompleted, UpstreamRequest, UpstreamUnsent
from olivepost.units import MILLISECOND, SECOND

START = 1_764_576_000 * SECOND
LIMITS = ResourceLimits(
    memory_mb=64,
    memory=MemoryBudget.of_limit(64),
    max_sockets=64,
    max_client_connections=8,
    max_connections_per_endpoint=3,
    max_upstream_connections=8,
    read_buffers=16,
    body_buffers=16,
    cache_buffers=0,
    buffer_bytes=4_096,
    large_body_bytes=0,
    max_request_body_bytes=65_536,
)


class ClockAt(Clock):
    """A clock that stands still."""

    def __init__(self, now: int) -> None:
        super().__init__()
        self._now = now

    def now(self) -> int:
        return self._now


def exchange_with(etag: str | None = None, idempotency_key: str | None = None) -> Exchange:
    return Exchange(
        id="0123456789abcdef",
        class_name="segment",
        object="7f3a",
        part=3,
        group=0,
        etag=etag,
        body=b"",
        timeout=SECOND,
        received_at=START,
        deliver=lambda exchange, response: None,
        is_client_disconnected=lambda: False,
        idempotency_key=idempotency_key,
    )


def request_with(etag: str | None = None, body: PooledBody | None = None) -> UpstreamRequest:
    exchange = exchange_with(etag)
    return UpstreamRequest(exchange, 0, "cache-1", "parent-1", START, {}, body=body)


def line(status: str, **fields: str) -> ResponseLine:
    return ResponseLine("0123456789abcdef", status, fields, 0)


@pytest.fixture
def log() -> Iterator[EventLog]:
    made = EventLog(Clock(), "proxy-1")
    yield made
    made.close()


def test_command_has_only_the_fields_that_routing_decided() -> None:
    attempt = api.ForwardAttempt("0123456789abcdef", "cache-1", None, 0, 1500 * MILLISECOND, None)
    assert command_fields(exchange_with(), attempt) == {
        "lane": "segment",
        "name": "7f3a",
        "piece": "3",
        "ttl": "1500",
    }


def test_command_has_all_fields_in_the_order_of_the_wire() -> None:
    attempt = api.ForwardAttempt(
        "0123456789abcdef", "cache-1", "parent-1", 2, SECOND, 2 * SECOND, collapse_fills=True, refresh=True
    )
    fields = command_fields(exchange_with("tag", "key"), attempt)
    assert list(fields) == ["lane", "name", "piece", "ttl", "miss", "prio", "within", "f", "mine", "dedupe"]
    assert (fields["miss"], fields["prio"], fields["f"]) == ("parent-1", "2", "join+renew")


def test_duration_is_cut_to_milliseconds_and_never_to_zero() -> None:
    attempt = api.ForwardAttempt("0123456789abcdef", "cache-1", None, 0, 1, 2 * MILLISECOND - 1)
    fields = command_fields(exchange_with(), attempt)
    assert (fields["ttl"], fields["within"]) == ("1", "1")


def test_connection_is_idle_only_after_a_silence() -> None:
    liveness = LivenessMonitor(LIMITS, last_received_at=START)
    assert not liveness.is_idle(START + IDLE_CHECK_AFTER)
    assert liveness.is_idle(START + IDLE_CHECK_AFTER + 1)


def test_response_that_stalls_is_unresponsive() -> None:
    liveness = LivenessMonitor(LIMITS, last_received_at=START, response_started_at=START)
    liveness.check_progress(START + LIMITS.response_pause_timeout)
    with pytest.raises(EndpointUnresponsiveError, match="did not go on") as caught:
        liveness.check_progress(START + LIMITS.response_pause_timeout + 1)
    assert caught.value.limit == LIMITS.response_pause_timeout


def test_response_that_trickles_is_unresponsive() -> None:
    now = START + LIMITS.response_timeout + 1
    liveness = LivenessMonitor(LIMITS, last_received_at=now, response_started_at=START)
    with pytest.raises(EndpointUnresponsiveError, match="not complete"):
        liveness.check_progress(now)


def test_liveness_check_without_an_answer_is_unresponsive() -> None:
    liveness = LivenessMonitor(LIMITS, last_received_at=START, check_sent_at=START)
    now = START + LIMITS.liveness_check_timeout + 1
    with pytest.raises(EndpointUnresponsiveError, match="alive"):
        liveness.check_progress(now)
    liveness.record_received(now)
    liveness.check_progress(now)
    assert not liveness.is_waiting


def test_liveness_check_is_due_after_a_silence_with_a_waiting_request() -> None:
    liveness = LivenessMonitor(LIMITS, last_received_at=START)
    now = START + LIMITS.liveness_check_delay + 1
    assert liveness.is_check_due(now, START)
    assert not liveness.is_check_due(now, waiting_since=now)


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
    completed = completed_from_response(request_with(), line(status, why="lacking"), ClockAt(START), log)
    assert (completed.status, completed.cache_status) == (expected, api.CacheStatus.SOURCE_MISS)
    assert completed.response is None
    assert not log.counters()


@pytest.mark.parametrize("unknown", ["HIT", "PONG", "hit", "VALID"])
def test_response_that_serves_nothing_is_an_error_and_counted(unknown: str, log: EventLog) -> None:
    assert (
        completed_from_response(request_with(), line(unknown), ClockAt(START), log).status
        is api.AttemptStatus.ERROR
    )
    assert log.counters() == {"unexpected_responses": 1}


def test_response_without_buffers_for_its_body_is_no_fault_of_the_endpoint(log: EventLog) -> None:
    request = request_with()
    request.is_missing_buffers = True
    completed = completed_from_response(request, line("HIT"), ClockAt(START), log)
    assert completed.status is api.AttemptStatus.CANCELLED


@pytest.mark.parametrize(
    ("issued", "generated_at"),
    [
        ("1764575999123", 1_764_575_999_123 * MILLISECOND),
        ("1764576000123", START),  # generated after it came: this process's clock is behind
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
    served = line("HIT", why="warm", entity="tag", issued=issued)
    completed = completed_from_response(request_with(body=body), served, ClockAt(START), log)
    assert completed.status is api.AttemptStatus.OK
    assert completed.response is not None
    assert completed.response.kind is ResponseKind.SERVED
    assert completed.response.body is body
    assert (completed.response.etag, completed.response.generated_at) == ("tag", generated_at)


def test_only_the_clients_own_tag_is_not_modified(log: EventLog) -> None:
    completed = completed_from_response(
        request_with("mine"), line("VALID", entity="mine"), ClockAt(START), log
    )
    assert completed.response is not None
    assert completed.response.kind is ResponseKind.NOT_MODIFIED
    other = completed_from_response(request_with("mine"), line("VALID", entity="other"), ClockAt(START), log)
    assert (other.response, other.status) == (None, api.AttemptStatus.ERROR)


def test_lost_connection_counts_once_and_spares_what_has_not_begun() -> None:
    unsent, begun, also_begun, rerouted = (request_with() for _ in range(4))
    begun.is_started = True
    also_begun.is_started = True
    rerouted.is_rerouted = True
    lost = [unsent, begun, also_begun, rerouted]
    assert list(events_of_loss(lost, START, was_connected=True)) == [
        UpstreamUnsent(unsent),
        UpstreamCompleted(begun, api.AttemptStatus.CONNECTION_LOST, START),
        UpstreamCompleted(also_begun, api.AttemptStatus.CONNECTION_LOST, START, is_repeated_loss=True),
        UpstreamCompleted(rerouted, api.AttemptStatus.CONNECT_FAILED, START, is_repeated_loss=True),
    ]


def test_request_is_not_forwarded_again_by_a_connection_that_never_came_up() -> None:
    request = request_with()
    assert list(events_of_loss([request], START, was_connected=False)) == [
        UpstreamCompleted(request, api.AttemptStatus.CONNECT_FAILED, START)
    ]
