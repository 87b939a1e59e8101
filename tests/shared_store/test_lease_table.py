"""Tests of the fill leases a proxy owns: fencing numbers increase; leases expire by the owner's clock."""

from __future__ import annotations

import pytest

from olivepost.shared_store import lease_table
from olivepost.shared_store.lease_table import LeaseTable, OwnedLease
from tests.router_harness import MS, SECOND
from tests.shared_store.model import make_branch, sum_counter


def lease(request_id: str, fencing_number: int, expires_at: int = SECOND) -> OwnedLease:
    return OwnedLease(request_id, "name", "s0", 7, b"stored", fencing_number, "c0", 0, expires_at)


def test_lease_whose_fencing_number_did_not_grow_is_dropped() -> None:
    leases = LeaseTable()

    assert leases.add(lease("r1", 5))
    assert not leases.add(lease("r2", 5))
    assert not leases.add(lease("r3", 4))
    assert leases.add(lease("r4", 6))
    assert len(leases) == 2


def test_lease_is_active_until_its_expiry_and_in_its_generation_only() -> None:
    leases = LeaseTable()
    owned = lease("r1", 5)

    leases.add(owned)

    assert leases.find_active(SECOND - 1, "name", 7) is owned
    assert leases.find_active(SECOND, "name", 7) is None
    assert leases.find_active(0, "name", 8) is None
    assert leases.drop_expired(SECOND - 1) == 0
    assert leases.drop_expired(SECOND) == 1
    assert len(leases) == 0


def test_release_of_an_earlier_lease_leaves_the_latest_of_its_name() -> None:
    leases = LeaseTable()
    earlier = lease("r1", 5)
    latest = lease("r2", 6, 2 * SECOND)
    leases.add(earlier)
    leases.add(latest)

    assert leases.pop("r1") is earlier
    assert leases.find_active(MS, "name", 7) is latest


def test_lease_that_a_full_table_drops_is_not_counted_as_fenced(monkeypatch: pytest.MonkeyPatch) -> None:
    branch = make_branch()
    monkeypatch.setattr(lease_table, "MAX_LEASES", 0)
    branch.load(50, SECOND)
    branch.run(2 * SECOND)

    assert sum_counter(branch, "leases_dropped")
    assert not sum_counter(branch, "leases_fenced")
    assert not sum_counter(branch, "leases_granted")
