"""The life of a request, health, budgets and purges, one small case each."""

import dataclasses
from typing import Any

import pytest

from olivepost import interface as api
from olivepost.router import Router
from olivepost.routing import capacity, health, outcomes
from olivepost.routing.retries import MAX_RETRIES
from tests.router_harness import (
    FLEET,
    MS,
    ORIGIN,
    SECOND,
    START,
    RouterDriver,
    cache,
    final_responses,
    forwarded_attempts,
    make_class,
    make_settings,
    parent,
    source_of,
)

OK, Status, Note = api.AttemptStatus.OK, api.AttemptStatus, api.CacheStatus


def test_request_goes_to_its_home_cache_with_its_home_parent_as_source() -> None:
    driver = RouterDriver(make_settings())
    look = forwarded_attempts(driver.request("0"))[0]
    first, second = (
        forwarded_attempts(driver.complete_attempt("0", 0, Status.NOT_CACHED))[0],
        forwarded_attempts(driver.request_missed_by_cache("1"))[0],
    )
    assert (first.cache, first.source) == (second.cache, second.source)
    assert first.cache == look.cache
    assert look.source is None
    assert first.source in {"p:1", "q:1"}
    assert first.rank > 0
    assert first.collapse_fills


def test_parts_of_an_object_are_hashed_apart() -> None:
    driver = RouterDriver(make_settings())
    homes = {forwarded_attempts(driver.request(str(i), "film", part=i))[0].cache for i in range(12)}
    assert len(homes) == 3


def test_without_parents_the_origin_is_the_source() -> None:
    driver = RouterDriver(make_settings(), (cache("a:1"), ORIGIN))
    assert forwarded_attempts(driver.request_missed_by_cache("1"))[0].source == "origin:1"


def test_without_parents_and_origin_the_cache_gets_no_source() -> None:
    driver = RouterDriver(make_settings(), (cache("a:1"),))
    fetch = forwarded_attempts(driver.request("1"))[0]
    assert fetch.cache == "a:1"
    assert fetch.source is None


def test_empty_endpoint_list_rejects_at_once_with_retry_after() -> None:
    driver = RouterDriver(make_settings(), ())
    (rejection,) = final_responses(driver.request("1"))
    assert isinstance(rejection, api.Reject)
    assert rejection.retry_after is not None
    assert 0 < rejection.retry_after <= SECOND


def test_without_caches_a_parent_is_asked_directly_only_where_allowed() -> None:
    endpoints = (parent("p:1"), ORIGIN)
    straight = forwarded_attempts(RouterDriver(make_settings(), endpoints).request("1"))[0]
    assert (straight.cache, straight.source) == ("p:1", "origin:1")
    assert final_responses(
        RouterDriver(make_settings(allows_direct_forwarding=False), endpoints).request("1")
    )


def test_uncacheable_class_is_not_cached() -> None:
    driver = RouterDriver(make_settings(make_class(is_uncacheable=True)))
    assert forwarded_attempts(driver.request("1"))[0].rank == 0


def test_deadline_timer_responds_before_the_deadline() -> None:
    driver = RouterDriver(make_settings(can_cancel_attempts=False))
    driver.request("1", timeout=SECOND)
    assert not final_responses(driver.advance(SECOND - 3 * MS))
    assert len(final_responses(driver.advance(2 * MS))) == 1
    assert not driver.complete_attempt("1", 0, OK)  # late outcomes are ignored
    assert not driver.advance(10 * SECOND)


def test_started_stream_has_no_deadline() -> None:
    driver = RouterDriver(make_settings(make_class(is_streaming=True)))
    driver.request("1")
    driver.handle(api.ResponseStarted("1", 0))
    assert not final_responses(driver.advance(20 * SECOND))
    assert not forwarded_attempts(driver.complete_attempt("1", 0, Status.CONNECTION_LOST, is_final=True))


def test_disconnected_client_cancels_attempts_in_flight() -> None:
    driver = RouterDriver(make_settings())
    driver.request("1")
    assert driver.handle(api.ClientDisconnected("1")) == [api.CancelAttempt("1", 0)]
    assert driver.handle(api.ClientDisconnected("1")) == []


def test_failing_cache_is_ejected_then_gets_one_trial() -> None:
    """Guards against a member that answers everything with errors."""
    driver = RouterDriver(make_settings())
    home = forwarded_attempts(driver.request("0"))[0].cache
    assert forwarded_attempts(driver.complete_attempt("0", 0, Status.ERROR))[0].cache != home
    driver.complete_attempt("0", 1, OK, cache_status=Note.HIT)
    assert forwarded_attempts(driver.request("1"))[0].cache == home
    driver.complete_attempt("1", 0, Status.ERROR)
    driver.complete_attempt("1", 1, OK, cache_status=Note.HIT)
    assert forwarded_attempts(driver.request("2"))[0].cache != home
    driver.handle(api.ClientDisconnected("2"))
    driver.advance(1100 * MS)
    assert forwarded_attempts(driver.request("3"))[0].cache == home  # the one trial
    assert forwarded_attempts(driver.request("4"))[0].cache != home
    driver.complete_attempt("3", 0, OK, cache_status=Note.HIT)
    assert forwarded_attempts(driver.request("5"))[0].cache == home


def test_silent_cache_is_abandoned_before_the_deadline() -> None:
    """Guards against members that say nothing while others answer."""
    driver = RouterDriver(make_settings())
    home = forwarded_attempts(driver.request("1"))[0].cache
    actions = driver.advance(SECOND)
    assert api.CancelAttempt("1", 0) in actions
    assert forwarded_attempts(actions)[0].cache != home


def test_slow_response_of_an_endpoint_that_serves_others_is_waited_for() -> None:
    driver = RouterDriver(make_settings())
    home = forwarded_attempts(driver.request("1"))[0].cache
    driver.advance(MS)
    health.record_success(driver.router.state.endpoints.by_id[home], driver.now)
    other = forwarded_attempts(driver.request("2"))[0]
    health.record_success(driver.router.state.endpoints.by_id[other.source or other.cache], driver.now)
    assert api.CancelAttempt("1", 0) not in driver.advance(500 * MS)


def test_rejected_fill_is_charged_to_the_source_where_causes_are_reported() -> None:
    driver = RouterDriver(make_settings(reports_failure_causes=True))
    first = forwarded_attempts(driver.request_missed_by_cache("1"))[0]
    again = forwarded_attempts(
        driver.complete_attempt("1", 1, Status.REJECTED, cache_status=Note.SOURCE_DISCONNECTED)
    )[0]
    assert again.cache == first.cache
    assert again.source != first.source


def test_late_error_of_a_cache_that_serves_others_is_charged_to_its_source() -> None:
    """Incident ic4de60: fills that broke off after seconds had caches suspended that were well."""
    driver = RouterDriver(make_settings())
    first = forwarded_attempts(driver.request_missed_by_cache("1"))[0]
    again = forwarded_attempts(driver.complete_attempt("1", 1, Status.ERROR))[0]
    assert again.cache == first.cache
    assert again.source != first.source


def test_exhausted_retry_budget_responds_at_once() -> None:
    """Guards against trouble that feeds itself with further attempts."""
    driver = RouterDriver(make_settings())
    sent = 0
    for index in range(60):
        actions = driver.request(str(index), f"n{index}")
        for number in range(6):
            sent += len(forwarded_attempts(actions))
            if final_responses(actions):
                break
            actions = driver.complete_attempt(str(index), number, Status.CONNECTION_LOST)
        assert str(index) not in driver.router.requests.pending
    assert sent < 60 + 10 + 0.2 * 60 + 1


def test_errors_of_two_endpoints_are_charged_to_the_request() -> None:
    """Requests for objects that nobody knows had good caches suspended and ate the retry budget."""
    driver = RouterDriver(make_settings())
    for index in range(40):
        held = str(index)
        caches = {forwarded_attempts(driver.request(held, f"odd{index}"))[0].cache}
        again = driver.complete_attempt(held, 0, Status.ERROR)
        if forwarded_attempts(again):
            caches.add(forwarded_attempts(again)[0].cache)
            assert len(caches) == 2
            again = driver.complete_attempt(held, 1, Status.ERROR)
        assert isinstance(final_responses(again)[0], api.Reject)  # at once
    endpoints = driver.router.state.endpoints.by_id.values()
    assert not any(member.ejected_until for member in endpoints)
    assert driver.router.state.retry_balance == MAX_RETRIES


def test_new_name_gets_no_second_attempt_while_most_errors_are_the_requests_own() -> None:
    driver = RouterDriver(make_settings())
    sent = 0
    for index in range(300):
        sent += len(forwarded_attempts(driver.request(str(index), f"odd{index}")))
        again = driver.complete_attempt(str(index), 0, Status.ERROR)
        if forwarded_attempts(again):
            sent += 1
            driver.complete_attempt(str(index), 1, Status.ERROR)
    assert sent < 300 + 60
    driver.router.state.request_fault_share.value = 1.0
    driver.request("live", "known")
    driver.complete_attempt("live", 0, OK, cache_status=Note.HIT)
    driver.request("again", "known")  # a name that lives is asked about all the same
    assert forwarded_attempts(driver.complete_attempt("again", 0, Status.ERROR))


def test_error_that_a_second_endpoint_does_not_share_is_charged_to_the_first() -> None:
    driver = RouterDriver(make_settings())
    home = forwarded_attempts(driver.request("1"))[0].cache
    driver.complete_attempt("1", 0, Status.ERROR)
    assert driver.router.state.endpoints.by_id[home].failure_score == 0
    driver.complete_attempt("1", 1, OK, cache_status=Note.HIT)
    assert driver.router.state.endpoints.by_id[home].failure_score == 0.5


def test_one_connections_end_is_one_failure() -> None:
    """A reset with many attempts on it had a good member suspended, and the retry budget spent."""
    driver = RouterDriver(make_settings())
    homes = {held: forwarded_attempts(driver.request(held, "x"))[0].cache for held in map(str, range(6))}
    (home,) = set(homes.values())
    saved = driver.router.state.retry_balance
    for held in homes:
        moved = driver.complete_attempt(held, 0, Status.CONNECTION_LOST, is_repeated_loss=held != "0")
        assert forwarded_attempts(moved)[0].cache != home  # all go elsewhere
    member = driver.router.state.endpoints.by_id[home]
    assert (member.failure_score, member.ejected_until) == (
        0.5,
        None,
    )
    assert driver.router.state.retry_balance == saved - 1


def test_attempts_older_than_an_ejection_do_not_lengthen_it() -> None:
    driver = RouterDriver(make_settings())
    home = forwarded_attempts(driver.request("0", "x"))[0].cache
    for held in "12345":
        driver.request(held, "x")
    for held in "012345":
        driver.complete_attempt(held, 0, Status.CONNECTION_LOST)
    assert driver.router.state.endpoints.by_id[home].ejected_until == driver.now + SECOND


def test_response_without_bytes_is_no_transfer_time() -> None:
    """Answers VALID, 8 % of all, had shortened the sending times that cold budgets go by."""
    driver = RouterDriver(make_settings())
    for index, bare in enumerate((True, False)):
        driver.request(str(index), size_kb=None)
        driver.complete_attempt(str(index), 0, OK, cache_status=Note.HIT, is_not_modified=bare)
        assert ("image" in driver.router.state.class_work) is not bare


def test_finished_request_leaves_no_timer() -> None:
    driver = RouterDriver(make_settings())
    for index in range(50):
        driver.request_missed_by_cache(str(index), f"n{index}")
        driver.complete_attempt(str(index), 1, OK, cache_status=Note.FILLED)
    assert len(driver.router.timers) == 0
    assert driver.router.requests.pending == {}


def test_timeout_beyond_the_deadline_is_cut_to_it() -> None:
    driver = RouterDriver(make_settings())
    driver.request("1", timeout=10**18)
    assert final_responses(driver.advance(3 * SECOND))
    assert driver.router.requests.pending == {}


def test_non_idempotent_request_is_never_sent_twice_nor_rejected_once_executed() -> None:
    request_class = make_class(idempotency=api.Idempotency.NOT_IDEMPOTENT)
    driver = RouterDriver(make_settings(request_class))
    driver.request("1")
    assert final_responses(driver.complete_attempt("1", 0, Status.CONNECTION_LOST)) == [api.Fail("1")]
    driver.request("2")
    assert forwarded_attempts(driver.complete_attempt("2", 0, Status.CONNECT_FAILED))  # known not to have run
    driver.request("3")
    assert not forwarded_attempts(driver.advance(2 * SECOND))  # a silent one is waited for


def test_request_with_key_stays_in_its_deduplication_scope_and_window() -> None:
    request_class = make_class(
        idempotency=api.Idempotency.WITH_KEY, deduplication_scope=api.DeduplicationScope.CELL
    )
    fleet = (cache("a:1", cell=1), cache("b:1", cell=2), cache("c:1", cell=1), parent("p:1"), ORIGIN)
    driver = RouterDriver(make_settings(request_class), fleet)
    cells = {m.id: m.cell for m in fleet}
    for index in range(20):
        first = forwarded_attempts(driver.request(str(index), f"n{index}"))[0]
        actions = driver.complete_attempt(str(index), 0, Status.ERROR)
        for fetch in forwarded_attempts(actions):
            assert cells[fetch.cache] == cells[first.cache]
        assert not any(isinstance(action, api.Reject) for action in actions)
        driver.handle(api.ClientDisconnected(str(index)))


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.REMOVED])
def test_draining_or_removed_endpoint_is_neither_cache_nor_source(state: api.EndpointState) -> None:
    driver = RouterDriver(make_settings())
    fetch = forwarded_attempts(driver.request_missed_by_cache("1"))[0]
    changed = (cache(fetch.cache, state), parent(source_of(fetch), state))
    driver.handle(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, changed))
    for index in range(30):
        for sent in forwarded_attempts(driver.request_missed_by_cache(f"x{index}", f"n{index}")):
            assert fetch.cache != sent.cache
            assert fetch.source != sent.source


def test_endpoint_missing_from_a_full_list_is_removed() -> None:
    driver = RouterDriver(make_settings())
    driver.handle(api.EndpointUpdate(api.EndpointUpdateKind.FULL, (cache("a:1"), ORIGIN)))
    assert {
        (f.cache, f.source)
        for i in range(9)
        for f in forwarded_attempts(driver.request_missed_by_cache(str(i), f"n{i}"))
    } == {("a:1", "origin:1")}


def test_failed_subscription_is_retried() -> None:
    settings = make_settings(subscribes_to_endpoints=True)
    router = Router(settings, 1)
    timer = router.handle(START, api.EndpointUpdate(api.EndpointUpdateKind.RESTORED, FLEET))[0]
    assert isinstance(timer, api.SetTimer)
    assert timer.delay == 0
    assert router.handle(START, api.TimerFired(timer.timer_id)) == [api.Subscribe()]
    again = router.handle(START, api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ()))[0]
    assert isinstance(again, api.SetTimer)
    assert 0 < again.delay < settings.subscription_timeout


def test_cold_cache_gets_no_more_than_its_slow_start_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    """Budget by hand: 2.0 x 0.2 x 2 transfers x 2 s = 1.6 s of work; each request is 0.05 s."""
    monkeypatch.setattr("olivepost.routing.admission.LEVEL_CEILING", 0.0)
    driver = RouterDriver(
        make_settings(allows_direct_forwarding=False), (cache("a:1", started_at=START), parent("p:1"), ORIGIN)
    )
    sent = sum(len(forwarded_attempts(driver.request(str(i), f"n{i}"))) for i in range(100))
    assert sent == 32
    driver.advance(SECOND)
    assert not forwarded_attempts(driver.request("next"))  # the window has not passed


def test_cold_parent_gets_no_more_than_its_slow_start_budget() -> None:
    """Budget by hand: 2.0 x 0.1 x 2 transfers x 2 s = 0.8 s of work; each request is 0.05 s."""
    endpoints = (cache("a:1"), parent("p:1", started_at=START), ORIGIN)
    driver = RouterDriver(make_settings(), endpoints)
    sources = [forwarded_attempts(driver.request_missed_by_cache(str(i)))[0].source for i in range(20)]
    assert sources.count("p:1") == 16
    assert sources.count("origin:1") == 4


def test_cache_only_attempt_is_not_charged_to_a_cold_parent_nor_sent_to_a_cold_cache() -> None:
    """Every attempt counts at a cold cache; at a cold parent only what fills from it does."""
    endpoints = (cache("a:1"), parent("p:1", started_at=START), ORIGIN)
    driver = RouterDriver(make_settings(), endpoints)
    for index in range(40):
        driver.request(str(index))
    assert not driver.router.state.endpoints.by_id["p:1"].work
    cold = RouterDriver(make_settings(), (cache("a:1", started_at=START), parent("p:1"), ORIGIN))
    assert forwarded_attempts(cold.request("1"))[0].source == "p:1"


def test_slow_start_budget_does_not_grow_as_warm_endpoints_leave() -> None:
    """Incident i0667f8: a release replaced the warm caches and the guess of a link grew with each."""
    fleet = (*[cache(f"w{i}:1") for i in range(6)], ORIGIN)
    driver = RouterDriver(make_settings(allows_direct_forwarding=False), fleet)
    for index in range(200):
        if forwarded_attempts(driver.request(str(index), f"n{index}")):
            driver.complete_attempt(str(index), 0, OK, cache_status=Note.HIT)
    cold = cache("z:1", started_at=driver.now)
    driver.handle(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, (cold,)))
    member = driver.router.state.endpoints.by_id["z:1"]

    def room() -> int:
        # Forgets what was sent before.
        member.work.total(driver.now + driver.router.settings.overload_window + 1)
        for work in range(100_000):
            if not capacity.has_slow_start_budget(driver.router.state, driver.now, member, 0.01 * SECOND):
                return work
            member.work.add(driver.now, 0.01 * SECOND)
        raise AssertionError("no bound on what a cold member is sent")

    before = room()
    gone = tuple(cache(f"w{i}:1", api.EndpointState.REMOVED) for i in range(5))
    driver.handle(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, gone))
    assert room() <= before


def own(driver: RouterDriver, request_id: str, age: int, span: int = 100 * MS, **changes: Any) -> bool:
    """Whether a request that comes with an own copy is answered from it."""
    actions = driver.request(request_id, cached_response=api.CachedResponse(age, span), **changes)
    assert (api.ServeCachedResponse(request_id) in actions) is not bool(forwarded_attempts(actions))
    return api.ServeCachedResponse(request_id) in actions


def test_cached_responses_are_served_while_the_own_link_has_capacity() -> None:
    driver = RouterDriver(make_settings(local_transfer_capacity=2.5))
    assert own(driver, "1", 0)
    assert own(driver, "2", 50 * SECOND)
    assert not own(driver, "3", 0)
    driver.advance(100 * MS)
    assert own(driver, "4", 0)
    assert not own(RouterDriver(make_settings()), "1", 0)


def test_served_cached_responses_are_fresh_and_younger_than_any_invalidation() -> None:
    driver = RouterDriver(
        make_settings(
            make_class(freshness_lifetime=8 * SECOND, stale_grace=30 * SECOND), local_transfer_capacity=9.0
        )
    )
    assert own(driver, "1", 8 * SECOND)
    assert not own(driver, "2", 8 * SECOND + 1)
    driver.handle(api.Invalidation(None, 1, 2 * SECOND))
    assert not own(driver, "3", 2 * SECOND + 1)
    assert own(driver, "4", 2 * SECOND)
    assert own(driver, "5", 3 * SECOND, group=2)


def test_invalidation_counts_for_good_against_cached_responses() -> None:
    """An answer that crossed the purge was kept, and served once caches had nothing older."""
    driver = RouterDriver(make_settings(local_transfer_capacity=9.0))
    driver.handle(api.Invalidation(None, 1, 0))
    driver.advance(60 * SECOND)
    assert not own(driver, "1", 60 * SECOND + 1)
    assert own(driver, "2", 59 * SECOND)


def test_only_repeated_names_are_stored() -> None:
    driver = RouterDriver(make_settings(local_transfer_capacity=2.5))
    kept = []
    for request_id in ("1", "2"):
        driver.request(request_id)
        kept += [
            a
            for a in driver.complete_attempt(request_id, 0, OK, cache_status=Note.HIT)
            if isinstance(a, api.StoreResponse)
        ]
    assert kept == [api.StoreResponse("2")]
    driver = RouterDriver(make_settings())
    for request_id in ("1", "2"):
        driver.request(request_id)
        assert not any(
            isinstance(a, api.StoreResponse)
            for a in driver.complete_attempt(request_id, 0, OK, cache_status=Note.HIT)
        )


@pytest.mark.parametrize("by_group", [True, False])
def test_invalidation_bounds_the_age_until_carried_out_everywhere(by_group: bool) -> None:
    driver = RouterDriver(make_settings())
    assert forwarded_attempts(driver.request("0"))[0].max_age is None
    driver.handle(api.Invalidation(None if by_group else "x", 1, 40 * MS))
    driver.advance(500 * MS)
    assert forwarded_attempts(driver.request("1"))[0].max_age == 540 * MS
    again = forwarded_attempts(driver.complete_attempt("1", 0, Status.ERROR))[0]
    assert again.max_age == 540 * MS
    if not by_group:
        assert forwarded_attempts(driver.request("other", "y"))[0].max_age is None
    driver.advance(8 * SECOND)
    assert forwarded_attempts(driver.request("2"))[0].max_age is None


def test_group_invalidation_counts_where_the_request_names_no_group() -> None:
    driver = RouterDriver(make_settings())
    driver.handle(api.Invalidation(None, 9, 0))
    driver.advance(MS)
    assert forwarded_attempts(driver.request("1", group=None))[0].max_age == MS


def test_invalidation_table_is_bounded_and_forgets_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("olivepost.routing.invalidation.MAX_INVALIDATIONS", 3)
    driver = RouterDriver(make_settings())
    for index in range(9):
        driver.handle(api.Invalidation(f"n{index}", index, 0))
    driver.advance(MS)
    assert len(driver.router.state.invalidations) <= 3
    max_age = forwarded_attempts(driver.request("1", "n0"))[0].max_age
    assert max_age is not None
    assert 0 < max_age <= MS


def test_stale_responses_are_allowed_only_after_a_failure() -> None:
    driver = RouterDriver(make_settings(make_class(freshness_lifetime=8 * SECOND, stale_grace=30 * SECOND)))
    first = forwarded_attempts(driver.request("1"))[0]
    assert first.max_age == 8 * SECOND
    assert first.refresh
    assert forwarded_attempts(driver.complete_attempt("1", 0, Status.ERROR))[0].max_age == 38 * SECOND


def test_full_cache_is_skipped_and_overload_rises() -> None:
    """Guards against a location that takes more than it can serve in time."""
    driver = RouterDriver(make_settings())
    sends = [forwarded_attempts(driver.request(str(i))) for i in range(150)]
    assert {f.cache for fs in sends for f in fs} == {"a:1", "b:1", "c:1"}
    assert driver.router.state.arrivals.level > 0.5


def test_late_fills_reject_the_most_expensive_fills_and_leave_hits_alone() -> None:
    """Quiet day at full size: a location's full link in made every fill late, and all were sent again."""
    driver = RouterDriver(make_settings())
    for index in range(40):
        driver.request_missed_by_cache(f"slow{index}", size_kb=20.0)
        driver.complete_attempt(f"slow{index}", 1, OK, cache_status=Note.FILLED, elapsed=350 * MS)
    assert driver.router.state.fills.level > 0.8
    assert forwarded_attempts(driver.request_missed_by_cache("small", size_kb=5.0))
    assert final_responses(driver.request_missed_by_cache("large", size_kb=400.0))
    assert forwarded_attempts(driver.request("1", size_kb=400.0))  # the look; a hit needs no link in
    for index in range(60):
        driver.request_missed_by_cache(f"quick{index}", size_kb=5.0)
        driver.complete_attempt(f"quick{index}", 1, OK, cache_status=Note.FILLED, elapsed=20 * MS)
    assert forwarded_attempts(driver.request_missed_by_cache("again", size_kb=400.0))


def test_rejected_fills_raise_the_fill_level_as_late_ones_do() -> None:
    """Incident i114a12: thousands of fills were refused, each sent to the next parent of one origin."""
    driver = RouterDriver(make_settings())
    driver.request_missed_by_cache("1")
    driver.complete_attempt("1", 1, Status.REJECTED)
    assert driver.router.state.fills.level > 0


def test_fill_in_flight_for_long_counts_as_late_before_it_ends() -> None:
    driver = RouterDriver(make_settings())
    driver.request_missed_by_cache("1")
    driver.advance(SECOND)
    assert driver.router.state.fills.level > 0


def test_late_fills_lower_the_sources_limit_and_late_hits_the_caches() -> None:
    """Incident i36c20f: links in were full, fills came late, hits did not."""
    driver = RouterDriver(make_settings())
    fetch = forwarded_attempts(driver.request_missed_by_cache("1"))[0]
    endpoints = driver.router.state.endpoints.by_id
    cache_member, source = (endpoints[fetch.cache], endpoints[source_of(fetch)])
    driver.complete_attempt("1", 1, OK, cache_status=Note.FILLED, elapsed=420 * MS)
    assert cache_member.late_share == 0.2
    assert source.late_share > 0.2
    driver.request("2")
    driver.complete_attempt("2", 0, OK, cache_status=Note.HIT, elapsed=420 * MS)
    assert cache_member.late_share > 0.2


def test_concurrency_limit_of_one_of_many_proxies_has_room_for_chance() -> None:
    """Quiet day at full size: the home of every fourth request stood at a bound of one and was skipped."""
    alone, many = (
        RouterDriver(make_settings()),
        RouterDriver(make_settings(caches=api.TierSettings(12, 0.2, 10 * SECOND, 2.0))),
    )
    bounds = [
        capacity.concurrency_limit(f.router.state, f.now, f.router.state.endpoints.by_id["a:1"])
        for f in (alone, many)
    ]
    assert bounds[0] == pytest.approx(1.5 * 6.5)  # no chance in what one front sees of itself
    assert 3 < bounds[1] < 4.5 < 12 * bounds[1]


def test_one_silence_is_waited_for_where_many_good_responses_take_as_long() -> None:
    """Slow fills made caches look silent to fronts with few requests; they were suspended for it."""
    calm, slow = RouterDriver(make_settings()), RouterDriver(make_settings())
    calm.router.state.slow_share.value, slow.router.state.slow_share.value = 0.02, 0.5
    for driver in (calm, slow):
        driver.request("1")
        driver.advance(500 * MS)
    assert not calm.router.requests.pending["1"].in_flight.get(0)
    assert slow.router.requests.pending["1"].in_flight.get(0)


def test_endpoint_late_more_often_than_its_peers_sheds_names_by_degrees() -> None:
    """Full-size day of ageing: two parents grew slow, and half of all misses were refused for it."""
    homes = []
    for late in (0.0, 0.4, 0.9):
        driver = RouterDriver(make_settings())
        for address in ("p:1", "q:1"):
            driver.router.state.endpoints.by_id[address].late_share = 0.0
        driver.router.state.endpoints.by_id["p:1"].late_share = late
        sources = []
        for i in range(200):
            sources.append(forwarded_attempts(driver.request_missed_by_cache(str(i), f"n{i}"))[0].source)
            driver.handle(api.ClientDisconnected(str(i)))
        homes.append(sources.count("p:1"))
    assert homes[0] > 70
    assert 15 < homes[1] < homes[0] - 15
    assert 0 < homes[2] < homes[0] / 4  # a tenth stays, so that recovery shows


def test_endpoints_late_together_shed_nothing() -> None:
    driver = RouterDriver(make_settings())
    for address in ("p:1", "q:1"):
        driver.router.state.endpoints.by_id[address].late_share = 0.9
    assert {
        forwarded_attempts(driver.request_missed_by_cache(str(i), f"n{i}"))[0].source for i in range(9)
    } == {"p:1", "q:1"}


def test_trial_without_a_result_allows_the_next() -> None:
    driver = RouterDriver(make_settings())
    home = forwarded_attempts(driver.request("0"))[0].cache
    health.record_failure(driver.router.state.endpoints.by_id[home], driver.now, 1.0)
    driver.handle(api.ClientDisconnected("0"))
    driver.advance(1100 * MS)
    assert forwarded_attempts(driver.request("1"))[0].cache == home
    driver.handle(api.ClientDisconnected("1"))
    assert forwarded_attempts(driver.request("2"))[0].cache == home


def test_restarted_endpoint_starts_with_fresh_health() -> None:
    driver = RouterDriver(make_settings())
    home = forwarded_attempts(driver.request("0"))[0].cache
    for index in range(2):
        driver.request(f"f{index}")
        outcomes.record_failure(
            driver.router.state, driver.now, driver.router.requests.pending[f"f{index}"], home, 1.0
        )
    assert not health.is_available(driver.router.state.endpoints.by_id[home], driver.now)
    driver.handle(
        api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, (cache(home, started_at=driver.now),))
    )
    assert health.is_available(driver.router.state.endpoints.by_id[home], driver.now)


def test_cold_cache_has_a_lower_concurrency_limit() -> None:
    """A release leaves a location half cold: late hits came from cold caches used like warm ones."""
    driver = RouterDriver(make_settings(), (cache("a:1"), cache("z:1", started_at=START), ORIGIN))
    warm, cold = driver.router.state.endpoints.by_id["a:1"], driver.router.state.endpoints.by_id["z:1"]
    assert capacity.concurrency_limit(driver.router.state, driver.now, cold) == pytest.approx(
        0.2 * capacity.concurrency_limit(driver.router.state, driver.now, warm)
    )
    driver.advance(10 * SECOND)
    assert capacity.concurrency_limit(driver.router.state, driver.now, cold) == capacity.concurrency_limit(
        driver.router.state, driver.now, warm
    )


def test_endpoints_without_a_start_time_are_warm() -> None:
    driver = RouterDriver(
        make_settings(caches=api.TierSettings(1, 0.0, 1, 2.0), parents=api.TierSettings(1, 0.0, 1, 2.0))
    )
    assert forwarded_attempts(driver.request_missed_by_cache("1"))[0].source in {"p:1", "q:1"}


def test_every_request_gets_a_response_while_all_endpoints_are_cold() -> None:
    cold = tuple(dataclasses.replace(m, started_at=START) for m in FLEET[:5])
    driver = RouterDriver(make_settings(), (*cold, ORIGIN))
    for index in range(200):
        actions = driver.request(str(index), f"n{index}")
        assert forwarded_attempts(actions) or final_responses(actions)


# Endings


def test_shutdown_responds_to_all_pending_requests_at_once() -> None:
    driver = RouterDriver(
        make_settings(make_class(), make_class("order", idempotency=api.Idempotency.NOT_IDEMPOTENT))
    )
    driver.request("safe")
    driver.request("unsafe", class_name="order", name="y")
    actions = driver.handle(api.Shutdown())
    assert {type(it) for it in final_responses(actions)} == {api.Reject, api.Fail}
    assert len(final_responses(actions)) == 2
    assert not final_responses(driver.advance(10 * SECOND))


def test_retry_must_start_within_its_idempotency_window() -> None:
    """Rule 2: the attempt may wait for its connection, and its window goes on meanwhile."""
    request_class = make_class(idempotency=api.Idempotency.WITH_KEY, idempotency_window=SECOND)
    driver = RouterDriver(make_settings(request_class))
    (first,) = forwarded_attempts(driver.request("r"))
    assert first.start_before is None
    sent = driver.now
    driver.advance(100 * MS)
    (again,) = forwarded_attempts(driver.complete_attempt("r", 0, api.AttemptStatus.CONNECTION_LOST))
    assert again.start_before == sent + SECOND - driver.router.settings.deadline_margin


@pytest.mark.parametrize(
    "changes", [{"latency_objective": 0, "latency_objective_stretch": 0.0}, {"priority_weight": 0.0}]
)
def test_class_without_objective_or_weight_is_served(changes: dict[str, Any]) -> None:
    """An aim of 0 must not look at its attempts without a pause, nor a worth of 0 divide by it."""
    driver = RouterDriver(make_settings(make_class(**changes), transfer_rate_kb_per_s=None))
    for number in range(20):
        assert forwarded_attempts(driver.request(f"r{number}", name=f"n{number}"))
    assert all(delay > driver.now for delay, _ in driver.timers)
    driver.advance(SECOND)


def test_without_an_overload_multiple_no_cold_endpoint_is_spared() -> None:
    settings = make_settings(
        caches=api.TierSettings(9, 0.1, 10 * SECOND, 0.0), allows_direct_forwarding=False
    )
    driver = RouterDriver(settings, (cache("a:1", started_at=START), ORIGIN))
    assert forwarded_attempts(driver.request("r"))


def test_restarted_proxy_spares_cold_endpoints_for_a_window() -> None:
    """What the process before it sent in that window, it can't know."""
    settings = make_settings(
        caches=api.TierSettings(1, 0.5, 30 * SECOND, 3.0), allows_direct_forwarding=False
    )
    driver = RouterDriver(settings, (cache("a:1", started_at=START - SECOND), ORIGIN))
    assert not forwarded_attempts(driver.request("r1"))
    driver.advance(settings.overload_window + MS)
    assert forwarded_attempts(driver.request("r2"))
