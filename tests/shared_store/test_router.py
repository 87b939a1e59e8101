"""What the router makes of a shared store's word, and what it lends."""

from __future__ import annotations

import pytest

from olivepost import interface as api
from olivepost.routing import capacity, health
from tests.helpers import FLEET, MS, SECOND, Front, cache, fetches, finals, make_class, make_settings

WAIT = 10 * MS


def front(**changes: object) -> Front:
    """A front whose store is up."""
    made = Front(make_settings(**{"shared_store_timeout": WAIT, **changes}))
    made.wait(5 * SECOND)
    made.do(api.StoreAvailability(True))
    return made


def consults(actions: list[api.Action]) -> list[api.LookUpHint]:
    return [action for action in actions if isinstance(action, api.LookUpHint)]


def test_a_new_name_is_asked_about_and_a_known_one_is_not() -> None:
    made = front()
    (asked,) = consults(made.ask("1"))
    assert asked.source == "" and asked.timeout == WAIT
    made.do(api.CacheHint("1"))
    made.end("1", 0, api.AttemptStatus.OK, cache_status=api.CacheStatus.HIT)
    assert not consults(made.ask("2"))


def test_without_a_store_nobody_is_asked() -> None:
    made = Front(make_settings(shared_store_timeout=WAIT))
    assert fetches(made.ask("1")) and not consults(made.ask("2", "y"))


def test_a_request_waits_two_hundredths_of_its_time_and_the_bound_over_all_questions() -> None:
    made = front()
    (short,) = consults(made.ask("1", timeout=100 * MS))
    assert short.timeout == 2 * MS
    made = front()
    made.ask("2", "y")
    assert not fetches(made.wait(9 * MS)) and fetches(made.wait(1 * MS))
    (claim,) = consults(made.end("2", 0, api.AttemptStatus.NOT_CACHED))
    assert claim.source and claim.timeout == 0  # all of it is spent
    assert fetches(made.wait(0))


def test_advice_that_comes_late_changes_nothing() -> None:
    made = front()
    made.ask("1")
    made.wait(WAIT)
    assert not made.do(api.CacheHint("1", "c:1")) and not made.do(api.CacheHint("none", "c:1"))


@pytest.mark.parametrize("address", ["a:1", "b:1", "c:1"])
def test_a_holder_is_asked_first(address: str) -> None:
    made = front()
    made.ask("1")
    (fetch,) = fetches(made.do(api.CacheHint("1", address)))
    assert fetch.cache == fetch.source == address
    actions = made.end("1", 0, api.AttemptStatus.NOT_CACHED)
    assert [a for a in actions if isinstance(a, api.ReportStaleHint)] == [
        api.ReportStaleHint("1", "x.0", address)
    ]


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.REMOVED])
def test_a_holder_that_drains_or_is_gone_is_not(state: api.EndpointState) -> None:
    """Rule 3, whatever a store says."""
    made = front()
    made.ask("1")
    made.do(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, (cache("b:1", state),)))
    (fetch,) = fetches(made.do(api.CacheHint("1", "b:1")))
    assert "b:1" not in (fetch.cache, fetch.source)


@pytest.mark.parametrize("address", ["p:1", "origin:1", "nobody:1"])
def test_a_word_that_names_no_cache_is_passed_over(address: str) -> None:
    made = front()
    made.ask("1")
    (fetch,) = fetches(made.do(api.CacheHint("1", address)))
    assert fetch.cache in ("a:1", "b:1", "c:1")


def test_a_suspended_holder_is_not_asked() -> None:
    made = front()
    health.record_failure(made.router.state.endpoints.by_id["b:1"], made.now, 1.0)
    made.ask("1")
    assert fetches(made.do(api.CacheHint("1", "b:1")))[0].cache != "b:1"


def test_a_fill_under_way_is_joined() -> None:
    made = front()
    made.ask("1")
    (fetch,) = fetches(made.do(api.CacheHint("1", "b:1", True, 200 * MS)))
    assert fetch.cache == "b:1" and fetch.source != "b:1" and fetch.collapse_fills


def test_what_cant_be_joined_is_asked_for_once_it_should_be_over() -> None:
    made = front(can_collapse_fills=False)
    made.ask("1")
    assert not fetches(made.do(api.CacheHint("1", "b:1", True, 200 * MS)))
    assert not fetches(made.wait(199 * MS))
    (fetch,) = fetches(made.wait(1 * MS))
    assert fetch.cache == fetch.source == "b:1"


def test_a_fill_that_never_ends_holds_nobody_past_its_time() -> None:
    """Rule 1: half of the time left at most, then the ordinary way."""
    made = front(can_collapse_fills=False)
    made.ask("1", timeout=SECOND)
    made.do(api.CacheHint("1", "b:1", True, 3600 * SECOND))
    assert fetches(made.wait(500 * MS))
    assert finals(made.wait(SECOND)) and not made.router.requests.pending


def test_a_claimed_fill_is_settled_whatever_becomes_of_it() -> None:
    for status in (api.AttemptStatus.OK, api.AttemptStatus.ERROR):
        made = front()
        made.ask("1")
        made.do(api.CacheHint("1"))
        made.end("1", 0, api.AttemptStatus.NOT_CACHED)
        (fill,) = fetches(made.do(api.CacheHint("1")))
        actions = made.end("1", 1, status, cache_status=api.CacheStatus.FILLED)
        actions += made.do(api.ClientDisconnected("1"))
        (settled,) = [a for a in actions if isinstance(a, api.ReleaseLease)]
        assert settled.cache == (fill.cache if status is api.AttemptStatus.OK else "")


def test_a_purge_bounds_the_age_at_a_holder_too() -> None:
    """Rule 5: no hint makes a copy acceptable that is older than this front's own bound."""
    made = front()
    made.do(api.Invalidation(None, 1, 100 * MS))
    made.ask("1")
    (fetch,) = fetches(made.do(api.CacheHint("1", "b:1")))
    assert 0 < fetch.max_age <= 100 * MS


def test_classes_with_a_fresh_time_claim_at_once_for_new_names() -> None:
    made = Front(make_settings(make_class(freshness_lifetime=8 * SECOND), shared_store_timeout=WAIT))
    made.do(api.StoreAvailability(True))
    (asked,) = consults(made.ask("1"))
    assert asked.source


def cold_front(**changes: object) -> Front:
    made = front(has_endpoint_weights=True, caches=api.TierSettings(4, 0.2, 20 * SECOND, 3.0), **changes)
    made.do(
        api.EndpointUpdate(
            api.EndpointUpdateKind.INCREMENTAL, (cache("a:1", started_at=made.now, weight=8.0),)
        )
    )
    return made


def lent(made: Front, key: str, most: float = 1e12, span: int = SECOND) -> float:
    (action,) = made.do(api.QuotaRequested(1, key, most, made.now + span))
    assert isinstance(action, api.DonateQuota)
    return action.amount


def test_a_part_is_lent_once_and_comes_back_a_window_after_the_loans_end() -> None:
    made = cold_front()
    key = f"cold:a:1@{made.now}"
    amount = lent(made, key)
    assert amount > 0 and lent(made, key) == pytest.approx(0, abs=1)
    made.wait(SECOND + made.router.settings.overload_window - MS)
    assert capacity.transferred(made.router.state, made.now, key, 0) == -amount
    made.wait(2 * MS)
    assert capacity.transferred(made.router.state, made.now, key, 0) == 0


def test_what_was_sent_is_not_lent() -> None:
    """Rule 4 over windows that begin before the loan."""
    made, other = cold_front(), cold_front()
    key = f"cold:a:1@{made.now}"
    member = made.router.state.endpoints.by_id["a:1"]
    part = 3.0 * 0.2 * made.router.settings.overload_window * capacity.certain_link(made.router.state, member)
    member.work.add(made.now, 0.9 * part)
    assert lent(made, key) < 0.11 * part < lent(other, key)


@pytest.mark.parametrize("key", ["cold:a:1@1", "cold:zz@0", "riddle", "", "cold:", "open:b:1@7", "open:@0"])
def test_nothing_is_lent_of_what_is_not_there(key: str) -> None:
    assert lent(cold_front(), key) == 0


def test_a_loan_longer_than_the_longest_is_refused() -> None:
    made = cold_front()
    assert lent(made, f"cold:a:1@{made.now}", span=3 * SECOND) == 0


def test_a_front_that_has_just_started_lends_nothing() -> None:
    made = Front(make_settings(shared_store_timeout=WAIT))
    assert lent(made, "retry") == 0


def test_a_piece_given_back_is_as_if_it_had_not_been_lent() -> None:
    made = cold_front()
    key = f"cold:a:1@{made.now}"
    (action,) = made.do(api.QuotaRequested(1, key, 1e12, made.now + SECOND))
    assert isinstance(action, api.DonateQuota)
    made.do(api.QuotaReceived(key, action.amount, action.expires_at))
    assert not made.router.state.quotas and lent(made, key) == action.amount


def test_retries_move_from_one_front_to_the_other() -> None:
    one, other = front(), front()
    other.router.state.retry_balance = 0.0
    amount = lent(one, "retry", 2.0)
    assert amount == 2.0 and one.router.state.retry_balance == 8.0
    other.do(api.QuotaReceived("retry", amount, other.now + SECOND))
    assert other.router.state.retry_balance == 2.0


def test_a_front_that_lacks_a_budget_says_so() -> None:
    made = Front(
        make_settings(
            has_endpoint_weights=True,
            caches=api.TierSettings(64, 0.2, 20 * SECOND, 2.0),
            allows_direct_forwarding=False,
            shared_store_timeout=WAIT,
        ),
        FLEET,
    )
    made.do(api.StoreAvailability(True))
    cold = tuple(cache(f"{name}:1", started_at=made.now) for name in "abc")
    made.do(api.EndpointUpdate(api.EndpointUpdateKind.INCREMENTAL, cold))
    shorts = [a for n in range(8) for a in made.ask(str(n), f"n{n}") if isinstance(a, api.RequestQuota)]
    assert shorts and all(short.key.startswith(("cold:", "open:")) and short.amount > 0 for short in shorts)


def test_hearsay_alone_suspends_nobody() -> None:
    made = front()
    for _ in range(50):
        made.do(api.OutlierReported("a:1"))
    assert (
        health.is_available(made.router.state.endpoints.by_id["a:1"], made.now)
        and made.router.state.endpoints.by_id["a:1"].failure_score < 1
    )
    assert not made.do(api.OutlierReported("nobody"))
