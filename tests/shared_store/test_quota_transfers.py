"""Tests of quota transfers: which grants are accepted, and what is donated.

The proxies' parts and the transfers together never exceed the whole quota.
"""

from __future__ import annotations

import pytest

from olivepost import interface as api
from olivepost.routing import capacity
from olivepost.shared_store.quota_donations import MAX_DONATIONS, QuotaDonations
from olivepost.shared_store.quota_requests import IdSequence, QuotaRequests
from olivepost.shared_store.records import QuotaGrant, QuotaRequest, RecordError, decode_record
from tests.router_harness import MS, SECOND
from tests.shared_store.model import make_branch


def make_requests(incarnation: str) -> QuotaRequests:
    return QuotaRequests(IdSequence(incarnation), SECOND)


def make_donations(own_requests: QuotaRequests) -> QuotaDonations:
    return QuotaDonations(own_requests, IdSequence("you"), SECOND)


def request_quota(requests: QuotaRequests) -> QuotaRequest:
    """Records that a proxy is short of a quota; returns the proxy's request for more."""
    requests.record_shortage(0, "cold:c@1", 0.5)
    (record,) = requests.renew(0).values()
    return decode_record(QuotaRequest, record)


def test_grant_counts_once_from_the_instant_of_its_request() -> None:
    requests = make_requests("me")
    request = request_quota(requests)
    grant = QuotaGrant(id="x.1", key=request.key, nonce=request.nonce, amount=0.5)

    assert requests.receive(900 * MS, grant) == (0.5, SECOND)
    with pytest.raises(RecordError, match="received before"):
        requests.receive(901 * MS, grant)


@pytest.mark.parametrize(
    ("change", "at"),
    [
        ({"nonce": "me.0"}, 0),
        ({"nonce": "other.1"}, 0),
        ({"key": "cold:d@1"}, 0),
        ({"amount": -1.0}, 0),
        ({"amount": float("inf")}, 0),
        ({}, SECOND),
    ],
)
def test_grant_that_is_old_foreign_late_or_malformed_counts_for_nothing(
    change: dict[str, object], at: int
) -> None:
    """Guards against exceeding the whole quota by accepting an old, foreign, late or malformed grant.

    The donor of such a grant may already have its amount back, so donor and recipient would both use it.
    """
    requests = make_requests("me")
    request = request_quota(requests)
    fields = {"id": "x.1", "key": request.key, "nonce": request.nonce, "amount": 0.5, **change}

    with pytest.raises(RecordError):
        requests.receive(at, QuotaGrant(**fields))  # type: ignore[arg-type]


def test_donor_waits_longer_than_the_recipients_clock_may_lag() -> None:
    request = request_quota(make_requests("me"))
    donations = make_donations(make_requests("you"))

    donation = donations.offer(0, 1, "f", request)

    assert donation is not None
    assert donation.expires_at >= 1.01 * SECOND


def test_request_is_answered_again_only_after_its_donation_failed() -> None:
    request = request_quota(make_requests("me"))
    donations = make_donations(make_requests("you"))

    assert donations.offer(0, 1, "f", request) is not None
    assert donations.offer(0, 2, "f", request) is None
    assert donations.donate(1, 0.0, 5) is None
    assert donations.offer(0, 3, "f", request) is not None


def test_proxy_that_is_short_of_a_quota_does_not_donate() -> None:
    request = request_quota(make_requests("me"))
    own_requests = make_requests("you")
    own_requests.record_shortage(0, request.key, 0.1)

    assert make_donations(own_requests).offer(0, 1, "f", request) is None


def test_restarted_proxy_does_not_use_what_its_earlier_process_donated() -> None:
    """Guards against quota that both the recipient and the donor's new process use.

    After its restart, a proxy has its complete part of the quota again only when the longest possible
    transfer and an overload window are over.
    """
    branch = make_branch(3)
    branch.restart_cache("c0")
    branch.run(SECOND)
    proxy = branch.proxies[0]
    key = api.QuotaKey(api.QuotaKind.SLOW_START, "c0", branch.caches["c0"].started_at)
    proxy.handle_routing_event(api.QuotaRequested(1, key, 1e12, proxy.clock(branch.now) + SECOND))
    donated = -capacity.transferred(proxy.router.state, proxy.clock(branch.now), key, 0.0)
    assert donated > 0

    proxy.restart()

    state = proxy.router.state
    at = proxy.clock(branch.now)
    endpoint = state.endpoints.by_id["c0"]
    tier = branch.settings.caches
    window = branch.settings.overload_window
    part = (
        tier.overload_multiple
        * capacity.slow_start_share(at - window, endpoint)
        * window
        * capacity.configured_link_transfers(state, endpoint)
    )
    assert capacity.transferred(state, at, key, part) <= -donated

    branch.run(5 * SECOND)

    assert capacity.transferred(proxy.router.state, proxy.clock(branch.now), key, part) == 0


def test_slow_start_quota_is_transferred_to_the_busy_proxy_and_never_exceeded() -> None:
    def served(has_store: bool) -> int:
        branch = make_branch(6, has_store=has_store, size_kb=200.0)
        for name in list(branch.caches):
            branch.restart_cache(name)
        branch.load(60, 5 * SECOND, lambda: 0 if branch.draw.random() < 0.95 else 1)
        for _ in range(120):
            branch.run(50 * MS)
            branch.check_quotas()

        assert not branch.counts.quotas_exceeded
        assert branch.counts.quota_checks
        return branch.counts.served

    assert served(has_store=True) > 1.3 * served(has_store=False)


def test_grant_without_a_reply_stays_donated() -> None:
    """Guards against an amount that the donor and the recipient both use.

    If a command to grant quota gets no reply, the store may have made the grant. The donor must therefore
    not get the amount back.
    """
    branch = make_branch(3)
    branch.restart_cache("c0")
    branch.run(SECOND)
    key = api.QuotaKey(api.QuotaKind.SLOW_START, "c0", branch.caches["c0"].started_at)
    donor = branch.proxies[0]

    branch.links["s0"].cut = 1.0
    branch.proxies[1].handle_store_event(api.RequestQuota(key, 1e6))
    branch.run(60 * MS)
    branch.links["s0"].cut = 0.0
    branch.proxies[1].handle_store_event(api.RequestQuota(key, 1e9))
    for _ in range(40):
        branch.run(10 * MS)
        branch.links["s0"].cut = 1.0 if donor.router.state.quotas else 0.0
        branch.check_quotas()

    assert donor.router.state.quotas
    assert not branch.counts.quotas_exceeded

    branch.run(300 * MS)

    assert capacity.transferred(donor.router.state, donor.clock(branch.now), key, 0.0) < 0


def test_offers_that_the_router_never_answers_are_dropped_when_they_expire() -> None:
    """Regression test: a proxy stopped donating after its router failed to handle some events.

    The offers that the router did not answer stayed open, until as many were open as the limit allows.
    """
    donations = make_donations(make_requests("you"))
    for number in range(MAX_DONATIONS):
        request = request_quota(make_requests(f"other{number}"))
        assert donations.offer(0, number, "f", request) is not None
    late_request = request_quota(make_requests("late"))
    # The earlier offers are still open, and no more than `MAX_DONATIONS` may be.
    assert donations.offer(SECOND, MAX_DONATIONS, "f", late_request) is None

    assert donations.offer(2 * SECOND, MAX_DONATIONS, "f", late_request) is not None
    assert 0 not in donations
    assert MAX_DONATIONS in donations
