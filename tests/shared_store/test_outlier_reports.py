"""Outlier reports by way of the stores: weak evidence, and only of several proxies."""

from __future__ import annotations

import pytest

from olivepost import interface as api
from tests.helpers import MS
from tests.shared_store.model import make_branch


def test_reports_of_two_proxies_count_as_evidence_and_those_of_one_do_not() -> None:
    branch = make_branch(4)
    branch.fronts[0].do_sharing(api.ReportOutlier("c1"))
    branch.run(300 * MS)
    assert all(front.router.state.endpoints.by_id["c1"].failure_score == 0 for front in branch.fronts[1:])
    branch.fronts[1].do_sharing(api.ReportOutlier("c1"))
    branch.run(300 * MS)
    scores = [front.router.state.endpoints.by_id["c1"].failure_score for front in branch.fronts]
    assert scores[0] == scores[1] == 0
    assert scores[2] == scores[3] == pytest.approx(0.4)
    assert not any(front.router.state.endpoints.by_id["c1"].ejected_until for front in branch.fronts)
