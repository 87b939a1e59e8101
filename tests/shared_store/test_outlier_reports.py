"""Tests of outlier reports: through the stores, proxies tell each other which endpoints fail.

A report is weak evidence, and it has an effect only if several proxies report the same endpoint.
"""

from __future__ import annotations

import pytest

from olivepost import interface as api
from tests.router_harness import MS
from tests.shared_store.model import make_branch


def test_reports_of_two_other_proxies_raise_the_failure_score_and_those_of_one_do_not() -> None:
    branch = make_branch(4)

    branch.proxies[0].handle_store_event(api.ReportOutlier("c1"))
    branch.run(300 * MS)

    assert all(proxy.router.state.endpoints.by_id["c1"].failure_score == 0 for proxy in branch.proxies[1:])

    branch.proxies[1].handle_store_event(api.ReportOutlier("c1"))
    branch.run(300 * MS)

    scores = [proxy.router.state.endpoints.by_id["c1"].failure_score for proxy in branch.proxies]
    assert scores[0] == scores[1] == 0
    assert scores[2] == scores[3] == pytest.approx(0.4)
    assert not any(proxy.router.state.endpoints.by_id["c1"].ejected_until for proxy in branch.proxies)
