"""Tests of the fields of a `fetch` command as they are sent to an endpoint."""

from __future__ import annotations

from olivepost import interface as api
from olivepost.proxy.upstream.command import command_fields
from olivepost.units import MILLISECOND, SECOND
from tests.proxy.upstream.fakes import REQUEST_ID, make_exchange


def test_command_has_only_the_fields_that_routing_decided() -> None:
    attempt = api.ForwardAttempt(REQUEST_ID, "cache-1", None, 0, 1500 * MILLISECOND, None)
    assert command_fields(make_exchange(), attempt) == {
        "lane": "segment",
        "name": "7f3a",
        "piece": "3",
        "ttl": "1500",
    }


def test_command_has_all_fields_in_the_order_of_the_wire() -> None:
    attempt = api.ForwardAttempt(
        REQUEST_ID, "cache-1", "parent-1", 2, SECOND, 2 * SECOND, collapse_fills=True, refresh=True
    )
    fields = command_fields(make_exchange("tag", "key"), attempt)
    assert list(fields) == ["lane", "name", "piece", "ttl", "miss", "prio", "within", "f", "mine", "dedupe"]
    assert (fields["miss"], fields["prio"], fields["f"]) == ("parent-1", "2", "join+renew")


def test_duration_is_cut_to_milliseconds_and_never_to_zero() -> None:
    attempt = api.ForwardAttempt(REQUEST_ID, "cache-1", None, 0, 1, 2 * MILLISECOND - 1)
    fields = command_fields(make_exchange(), attempt)
    assert (fields["ttl"], fields["within"]) == ("1", "1")
