"""Tests of the parser that turns the coordinator's JSON into discovery events."""

import pytest

from olivepost import interface as api
from olivepost.config import Address
from olivepost.proxy.discovery.event_parser import parse_numbered_event
from olivepost.units import MILLISECOND, SECOND

NOW = 1_000 * SECOND
SERVER = {"id": "a", "addr": "127.0.0.1:7371", "zone": "west", "kind": "standard", "started_ms": 5}


def test_endpoint_update_has_metadata_and_addresses() -> None:
    parsed = parse_numbered_event({"index": 3, "endpoints": {"full": True, "servers": [SERVER]}}, NOW)

    assert parsed.index == 3
    assert parsed.is_full_update
    assert parsed.event is not None
    update = parsed.event.change
    assert isinstance(update, api.EndpointUpdate)
    (endpoint,) = update.endpoints
    assert endpoint.id == "a"
    assert endpoint.state is api.EndpointState.READY
    assert endpoint.started_at == 5 * MILLISECOND
    (address,) = parsed.event.addresses
    assert address.socket_address == Address("127.0.0.1", 7371)


def test_removed_endpoint_needs_no_address() -> None:
    server = {"id": "a", "state": "terminated"}
    parsed = parse_numbered_event({"index": 1, "endpoints": {"servers": [server]}}, NOW)

    assert parsed.event is not None
    assert parsed.event.addresses[0].socket_address is None
    assert not parsed.is_full_update


def test_invalidation_has_its_age() -> None:
    item = {"index": 2, "evict": {"ref": "n1", "unix_ms": (NOW - 3 * SECOND) // MILLISECOND}}
    parsed = parse_numbered_event(item, NOW)

    assert parsed.event is not None
    assert parsed.event.change == api.Invalidation("n1", None, 3 * SECOND)


@pytest.mark.parametrize(
    ("fields", "key"),
    [
        ({"evict": {"unix_ms": 1}}, "ref"),
        ({"evict": {"shard": 1}}, "unix_ms"),
        ({"endpoints": {"servers": [{**SERVER, "id": "two words"}]}}, "id"),
        ({"endpoints": {"servers": [{**SERVER, "state": "odd"}]}}, "state"),
        ({"endpoints": {"servers": [{**SERVER, "addr": "here"}]}}, "addr"),
    ],
)
def test_invalid_event_keeps_its_index_and_names_the_key(fields: dict[str, object], key: str) -> None:
    parsed = parse_numbered_event({"index": 7, **fields}, NOW)

    assert parsed.index == 7
    assert parsed.event is None
    assert parsed.error is not None
    assert parsed.error.key == key
