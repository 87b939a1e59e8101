"""Random histories of events on random settings.

The router must not raise an exception on any event, and must give each request one final response.
"""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from olivepost import interface as api
from tests.router_harness import MS, SECOND, make_class, make_settings
from tests.routing.event_histories import EventHistory, HistoryChecker

EVENTS_PER_HISTORY = 1_000
HISTORIES = 60

CLASSES = (
    make_class("idempotent", freshness_lifetime=8 * SECOND, stale_grace=30 * SECOND),
    make_class("with-key", idempotency=api.Idempotency.WITH_KEY, is_streaming=True),
    make_class("not-idempotent", idempotency=api.Idempotency.NOT_IDEMPOTENT, is_uncacheable=True),
)
tiers = st.builds(
    api.TierSettings,
    st.integers(1, 3),
    st.sampled_from((0.0, 0.2, 1.0)),
    st.sampled_from((SECOND, 10 * SECOND)),
    st.sampled_from((0.0, 2.0)),
)
router_settings = st.builds(
    make_settings,
    *(st.just(request_class) for request_class in CLASSES),
    caches=tiers,
    parents=tiers,
    parent_kind=st.sampled_from(("parent", None)),
    origin_kind=st.sampled_from(("origin", None)),
    has_endpoint_weights=st.booleans(),
    transfer_rate_kb_per_s=st.sampled_from((None, 1_000.0)),
    can_collapse_fills=st.booleans(),
    allows_direct_forwarding=st.booleans(),
    reports_failure_causes=st.booleans(),
    subscribes_to_endpoints=st.booleans(),
    max_attempts=st.integers(1, 6),
    can_cancel_attempts=st.booleans(),
    allows_hedged_requests=st.booleans(),
    marks_client_retries=st.booleans(),
    supports_retry_after=st.booleans(),
    local_transfer_capacity=st.sampled_from((0.0, 2.0)),
    shared_store_timeout=st.sampled_from((None, 10 * MS)),
    max_names=st.sampled_from((None, 2)),
)


@settings(max_examples=HISTORIES, derandomize=True, deadline=None, database=None)
@given(router_settings, st.integers(0, 2**32))
def test_no_event_raises_and_each_request_gets_one_final_response(settings: api.Settings, seed: int) -> None:
    history = EventHistory(seed, tuple(request_class.name for request_class in CLASSES))
    checker = HistoryChecker(settings, history.first_list())
    history.play(checker, EVENTS_PER_HISTORY)
    assert checker.open_requests <= checker.started_responses
