"""Parser that turns the coordinator's JSON into typed watch events. It does no I/O and keeps no state."""

from __future__ import annotations

from dataclasses import dataclass

from olivepost import interface as api
from olivepost.config import ENDPOINT_STATES, Address, ConfigError, FieldReader
from olivepost.proxy.discovery.messages import DiscoveryEvent
from olivepost.proxy.upstream.endpoint_address import EndpointAddress
from olivepost.proxy.upstream.line_protocol import FIELD_VALUE
from olivepost.units import MILLISECOND, Instant


@dataclass(frozen=True, slots=True)
class NumberedEvent:
    """An event with its index in the coordinator's sequence.

    If the event is invalid, `event` is None and `error` describes the fault.
    """

    index: int
    event: DiscoveryEvent | None
    error: ConfigError | None = None

    @property
    def is_full_update(self) -> bool:
        """Whether the event lists all endpoints, so that no earlier event is needed to apply it."""
        if self.event is None or not isinstance(self.event.change, api.EndpointUpdate):
            return False
        return self.event.change.kind is api.EndpointUpdateKind.FULL


def parse_numbered_event(item: object, now: Instant) -> NumberedEvent:
    """Parses one element of the coordinator's `updates`.

    An invalid event is returned with its error, so that the events after it are still applied. If an event
    has no valid index, raises ConfigError, since the event's place in the sequence is unknown.
    """
    fields = FieldReader("update", item)
    index = fields.integer("index")
    try:
        return NumberedEvent(index, parse_event(fields, now))
    except ConfigError as error:
        return NumberedEvent(index, None, error)


def parse_event(fields: FieldReader, now: Instant) -> DiscoveryEvent:
    """Parses an invalidation or an endpoint update; `now` is the current Unix time in nanoseconds."""
    if "evict" in fields.data:
        return DiscoveryEvent(_parse_invalidation(fields.section("evict"), now), [])
    return _parse_endpoint_update(fields.section("endpoints"))


def _parse_invalidation(fields: FieldReader, now: Instant) -> api.Invalidation:
    name = fields.text("ref", "")
    group = fields.integer("shard") if "shard" in fields.data else None
    if not name and group is None:
        raise fields.error(
            "ref", "is missing; an invalidation needs an object in 'ref' or a group in 'shard'"
        )
    age = max(0, now - fields.integer("unix_ms") * MILLISECOND)
    return api.Invalidation(name or None, group, age)


def _parse_endpoint_update(fields: FieldReader) -> DiscoveryEvent:
    is_full = fields.boolean("full")
    kind = api.EndpointUpdateKind.FULL if is_full else api.EndpointUpdateKind.INCREMENTAL
    endpoints: list[api.EndpointMetadata] = []
    addresses: list[EndpointAddress] = []
    for item in fields.items("servers"):
        server = FieldReader("server", item)
        metadata = _parse_metadata(server)
        endpoints.append(metadata)
        address = _parse_address(server, metadata.state)
        addresses.append(EndpointAddress(metadata.id, address, metadata.started_at, metadata.state))
    return DiscoveryEvent(api.EndpointUpdate(kind, tuple(endpoints)), addresses)


def _parse_metadata(fields: FieldReader) -> api.EndpointMetadata:
    endpoint_id = fields.text("id")
    if not FIELD_VALUE.fullmatch(endpoint_id):
        raise fields.error(
            "id",
            f'is {endpoint_id[:40]!r}; it must be 1 to 200 visible ASCII characters without any of " + , =',
        )
    return api.EndpointMetadata(
        id=endpoint_id,
        state=fields.one_of("state", ENDPOINT_STATES, "in_service"),
        kind=fields.text("kind", ""),
        zone=fields.text("zone", ""),
        cell=fields.integer("cell", 0),
        weight=fields.number("weight", 1.0),
        started_at=fields.integer("started_ms", 0) * MILLISECOND or None,
    )


def _parse_address(fields: FieldReader, state: api.EndpointState) -> Address | None:
    """Parses the address in an endpoint's entry; returns None if a removed endpoint has no address there."""
    if state is api.EndpointState.REMOVED and "addr" not in fields.data:
        return None
    return fields.address("addr")
