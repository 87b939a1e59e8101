"""Router settings: the platform's JSON, converted key by key to `olivepost.interface.Settings`.

`docs/proxy.md` documents the platform's keys. Unknown keys are ignored, since a newer platform may add some.
If the platform writes 0 or an empty string for a value that is not set, the settings have None.
"""

from __future__ import annotations

from typing import NamedTuple

from olivepost import interface as api
from olivepost.config.fields import FieldReader

MAX_MULTIPLE = 1e6  # largest allowed `overload_multiple` of a tier or `latency_objective_stretch` of a class
MAX_WEIGHT = 1e12  # largest priority weight of a class
MAX_TRANSFER_RATE_KB_PER_S = 1e12
NO_KIND_INDEX = -1  # the index that the platform writes for the kind of a tier that does not exist

IDEMPOTENCIES = {
    "read_like": api.Idempotency.IDEMPOTENT,
    "idempotency_key": api.Idempotency.WITH_KEY,
    "non_idempotent": api.Idempotency.NOT_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {scope.value: scope for scope in api.DeduplicationScope}
ENDPOINT_STATES = {
    "in_service": api.EndpointState.READY,
    "terminating": api.EndpointState.DRAINING,
    "terminated": api.EndpointState.REMOVED,
}


class ProxyLocation(NamedTuple):
    """Location of the proxy, and the number of proxies."""

    zone: str
    zone_index: int | None  # position in the platform's list of zones; None if the zone isn't listed
    proxies: int  # number of proxies in all zones


class TierKinds(NamedTuple):
    """Kinds of the endpoints that form the tiers above the caches. The kind of a missing tier is None."""

    parent: str | None
    origin: str | None


def read_settings(data: object) -> api.Settings:
    """Reads the settings of a router; raises a ConfigError that names the faulty key."""
    info = FieldReader("settings", data)
    family = info.section("family-info")
    limits = info.section("limits")
    contract = info.section("contract")
    location = _read_location(info)
    classes = _read_classes(info, family)
    kinds = _read_tier_kinds(info, family)
    return api.Settings(
        classes=classes,
        zone=location.zone,
        caches=_read_cache_tier(family, contract, location),
        parents=_read_parent_tier(family, location),
        parent_kind=kinds.parent,
        origin_kind=kinds.origin,
        has_endpoint_weights=info.text("weights", "off") != "off",
        transfer_rate_kb_per_s=family.number_within("pace-kb-per-s", 0, MAX_TRANSFER_RATE_KB_PER_S, 0.0)
        or None,
        can_collapse_fills=family.boolean("can-join"),
        allows_direct_forwarding=family.boolean("direct"),
        sibling_sources=family.text("lateral", "off"),
        reports_hits=family.text("tells", "off") != "off",
        reports_failure_causes=family.text("tells", "off") == "all",
        invalidation_lifetime=family.duration("gone-everywhere", 0),
        overload_window=contract.duration("fall", 0),
        subscribes_to_endpoints=info.text("registry-mode", "push") == "ask",
        subscription_timeout=contract.duration("ask-within", 0),
        max_attempts=max(1, limits.integer("attempts-cap", 1)),
        can_cancel_attempts=limits.boolean("cancel"),
        allows_hedged_requests=limits.boolean("second-copies"),
        marks_client_retries=info.section("clients").boolean("marks-retry"),
        supports_retry_after=limits.boolean("retry-after"),
        max_retry_after=limits.duration("max-retry-after", 0),
        deadline_margin=info.duration("tick", 0),
    )


def _read_location(info: FieldReader) -> ProxyLocation:
    zones = info.items("failure-domains")
    zone = info.text("zone")
    zone_index = zones.index(zone) if zone in zones else None
    return ProxyLocation(zone, zone_index, info.integer("siblings", 1))


def _read_classes(info: FieldReader, family: FieldReader) -> dict[str, api.ClassSettings]:
    """Returns the classes by name. Some values of a class are in lists of `family`, at the class's index."""
    classes: dict[str, api.ClassSettings] = {}
    for index, item in enumerate(info.items("classes")):
        fields = FieldReader(f"{info.where}.classes[{index}]", item)
        name = fields.text("name")
        if name in classes:
            raise fields.error("name", f"must be unique, but {name!r} occurs twice")
        classes[name] = _read_class(name, fields, family, index)
    return classes


def _read_class(name: str, fields: FieldReader, family: FieldReader, index: int) -> api.ClassSettings:
    deadline = fields.duration("deadline", minimum=1)
    return api.ClassSettings(
        name=name,
        latency_objective=fields.duration("aim", deadline),
        latency_objective_stretch=fields.number_within("aim-stretch", 0, MAX_MULTIPLE, 0.0),
        deadline=deadline,
        idempotency=fields.one_of("effect", IDEMPOTENCIES),
        deduplication_scope=fields.one_of("group", DEDUPLICATION_SCOPES, "all"),
        idempotency_window=fields.duration("window", 0),
        is_streaming=fields.boolean("streaming"),
        priority_weight=fields.number_within("gain", 0, MAX_WEIGHT, 1.0),
        late_priority_weight=fields.number("late-worth", 0.0),
        freshness_lifetime=family.element("max-age", index).duration("max-age", 0) or None,
        stale_grace=family.element("usable-after", index).duration("usable-after", 0),
        stale_priority_weight=family.element("class-stale-worth", index).number("class-stale-worth", 0.0),
        is_uncacheable=family.element("pass-on", index).boolean("pass-on"),
    )


def _read_tier_kinds(info: FieldReader, family: FieldReader) -> TierKinds:
    parent_index = family.integer("parent-kind", NO_KIND_INDEX)
    origin_index = family.integer("store-kind", NO_KIND_INDEX)
    return TierKinds(
        parent=info.element("kinds", parent_index).text("kinds", "") or None,
        origin=info.element("kinds", origin_index).text("kinds", "") or None,
    )


def _read_cache_tier(family: FieldReader, contract: FieldReader, location: ProxyLocation) -> api.TierSettings:
    """Reads the tier of the caches in the proxy's own zone; only this zone's proxies use them."""
    in_zone = family.element("zone-balancers", location.zone_index)
    return api.TierSettings(
        proxies=max(1, in_zone.integer("zone-balancers", location.proxies)),
        slow_start_initial_share=contract.number_within("cold-from", 0, 1, 0.0),
        slow_start_duration=max(1, contract.integer("warm-within", 0)),
        overload_multiple=contract.number_within("fall-multiple", 0, MAX_MULTIPLE, 0.0),
    )


def _read_parent_tier(family: FieldReader, location: ProxyLocation) -> api.TierSettings:
    """Reads the tier of the parent caches; the proxies of all zones use them."""
    return api.TierSettings(
        proxies=max(1, location.proxies),
        slow_start_initial_share=family.number_within("parent-floor", 0, 1, 0.0),
        slow_start_duration=max(1, family.integer("parent-cold", 0)),
        overload_multiple=family.number_within("parent-breaks-at", 0, MAX_MULTIPLE, 0.0),
    )
