"""The one place where configuration is read, checked and given defaults.

`load` reads what a front is told when it starts (`BALANCER_CONFIG` and the other variables);
`read_settings` reads the module's settings, also for the simulator's adapter. Every message names the
faulty key. The front's own limits follow from `limits` and stand here too.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import orjson

from olivepost import interface as api
from olivepost.units import MILLISECOND, SECOND

BUFFER_SIZE = 16_384
# What a front with a full core may need from a request's last byte to its reader, and from the module's word
# to the client's last byte. The module gives up so long before a deadline; without it a burst of connections
# made final answers come too late. Hurts answers in the last tenth of a second, which are late anyhow.
# Where a class's whole deadline is short, a share of that: a front must not give up most of it.
TURN, TURN_SHARE = 100 * MILLISECOND, 8
OBJECT, SMALL_BODY = 240_000, 16_384  # bytes of an object at most, of a request's body that needs no room
FOREVER = 1 << 62  # ns: the longest span that a key may hold

IDEMPOTENCIES = {
    "read_like": api.Idempotency.IDEMPOTENT,
    "idempotency_key": api.Idempotency.WITH_KEY,
    "non_idempotent": api.Idempotency.NOT_IDEMPOTENT,
}
ENDPOINT_STATES = {
    "in_service": api.EndpointState.READY,
    "terminating": api.EndpointState.DRAINING,
    "terminated": api.EndpointState.REMOVED,
}
PLAIN = re.compile(r"[!#-*\-.0-9:-<>-~]{1,200}", re.ASCII)  # a class's name, in a target and in a field
ADDRESS = re.compile(r"([0-9]{1,3}(?:\.[0-9]{1,3}){3}):([0-9]{1,5})", re.ASCII)


class ConfigError(Exception):
    """A value is missing or not what its key allows; the message names the key."""


class FieldReader:
    """Typed access to an object's fields, with plain words on what is wrong."""

    def __init__(self, where: str, data: object) -> None:
        if not isinstance(data, dict):
            raise ConfigError(f"{where} is not an object")
        self.where = where
        self.data: dict[str, Any] = data

    def _get(self, key: str, kinds: tuple[type, ...], default: Any) -> Any:
        value = self.data.get(key)
        if value is None:
            if default is None:
                raise ConfigError(f"{self.where} lacks '{key}'")
            return default
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise ConfigError(f"{self.where} has a wrong '{key}'")
        return value

    def integer(self, key: str, default: int | None = None) -> int:
        """A whole number, also where it is written with a point."""
        value = self._get(key, (int, float), default)
        if value != int(value):
            raise ConfigError(f"{self.where} has a wrong '{key}': {value:g} is not whole")
        return int(value)

    def number(self, key: str, default: float | None = None) -> float:
        return float(self._get(key, (int, float), default))

    def text(self, key: str, default: str | None = None) -> str:
        return str(self._get(key, (str,), default))

    def boolean(self, key: str) -> bool:
        return bool(self._get(key, (bool,), False))

    def items(self, key: str) -> list[Any]:
        return list(self._get(key, (list,), []))

    def element(self, key: str, index: int) -> FieldReader:
        """One place of a list, as a field of its own by the list's name; empty where the list is shorter."""
        values = self.items(key)
        known = 0 <= index < len(values)
        return FieldReader(f"{self.where}.{key}[{index}]", {key: values[index]} if known else {})

    def section(self, key: str) -> FieldReader:
        return FieldReader(f"{self.where}.{key}", self._get(key, (dict,), {}))

    def one_of(self, key: str, words: dict[str, Any], default: str | None = None) -> Any:
        value = self.text(key, default)
        if value not in words:
            raise ConfigError(f"{self.where} has an unknown '{key}': {value}")
        return words[value]

    def number_within(self, key: str, least: float, most: float, default: float | None = None) -> float:
        value = self.number(key, default)
        if not least <= value <= most:
            raise ConfigError(
                f"{self.where} has a wrong '{key}': {value:g} is not from {least:g} to {most:g}"
            )
        return value

    def duration(self, key: str, default: int | None = None, least: int = 0) -> int:
        """Whole nanoseconds."""
        value = self.integer(key, default)
        if not least <= value <= FOREVER:
            raise ConfigError(f"{self.where} has a wrong '{key}': {value} is not from {least} to {FOREVER}")
        return value

    def address(self, key: str, default: str | None = None) -> Address:
        try:
            return read_address(self.text(key, default))
        except ValueError as fault:
            raise ConfigError(f"{self.where} has a wrong '{key}': {fault}") from fault


Address = tuple[str, int]


def read_address(text: str) -> Address:
    """An IPv4 address and a port."""
    match = ADDRESS.fullmatch(text)
    if not match or any(int(part) > 255 for part in match[1].split(".")) or int(match[2]) > 65535:
        raise ValueError(f"not an address like 10.0.0.4:8080: {text[:80]!r}")
    return match[1], int(match[2])


def read_settings(data: object) -> api.Settings:
    """Reads the settings; keys this page does not use are skipped."""
    info = FieldReader("settings", data)
    family, limits, contract = info.section("family-info"), info.section("limits"), info.section("contract")
    zones, zone = info.items("failure-domains"), info.text("zone")
    fronts = info.integer("siblings", 1)
    classes: dict[str, api.ClassSettings] = {}
    for index, item in enumerate(info.items("classes")):
        row = FieldReader(f"classes[{index}]", item)
        name = row.text("name")
        if name in classes:
            raise ConfigError(f"{row.where} has a wrong 'name': {name} is there twice")
        deadline = row.duration("deadline", least=1)
        classes[name] = api.ClassSettings(
            name=name,
            latency_objective=row.duration("aim", deadline),
            latency_objective_stretch=row.number_within("aim-stretch", 0, 1e6, 0.0),
            deadline=deadline,
            idempotency=row.one_of("effect", IDEMPOTENCIES),
            deduplication_scope=row.one_of(
                "group", {scope.value: scope for scope in api.DeduplicationScope}, "all"
            ),
            idempotency_window=row.duration("window", 0),
            is_streaming=row.boolean("streaming"),
            priority_weight=row.number_within("gain", 0, 1e12, 1.0),
            late_priority_weight=row.number("late-worth", 0.0),
            freshness_lifetime=family.element("max-age", index).duration("max-age", 0),
            stale_grace=family.element("usable-after", index).duration("usable-after", 0),
            stale_priority_weight=family.element("class-stale-worth", index).number("class-stale-worth", 0.0),
            is_uncacheable=family.element("pass-on", index).boolean("pass-on"),
        )
    place = zones.index(zone) if zone in zones else -1
    places = (family.integer("parent-kind", -1), family.integer("store-kind", -1))
    kind = [info.element("kinds", at).text("kinds", "") for at in places]
    own = family.element("zone-balancers", place).integer("zone-balancers", fronts)
    return api.Settings(
        classes=classes,
        zone=zone,
        caches=api.TierSettings(
            proxies=max(1, own),
            slow_start_initial_share=contract.number_within("cold-from", 0, 1, 0.0),
            slow_start_duration=max(1, contract.integer("warm-within", 0)),
            overload_multiple=contract.number_within("fall-multiple", 0, 1e6, 0.0),
        ),
        parents=api.TierSettings(
            proxies=max(1, fronts),
            slow_start_initial_share=family.number_within("parent-floor", 0, 1, 0.0),
            slow_start_duration=max(1, family.integer("parent-cold", 0)),
            overload_multiple=family.number_within("parent-breaks-at", 0, 1e6, 0.0),
        ),
        parent_kind=kind[0],
        origin_kind=kind[1],
        has_endpoint_weights=info.text("weights", "off") != "off",
        transfer_rate_kb_per_s=family.number_within("pace-kb-per-s", 0, 1e12, 0.0),
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
        supports_retry_after=limits.boolean("retry-after"),
        max_retry_after=limits.duration("max-retry-after", 0),
        deadline_margin=info.duration("tick", 0),
    )


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """The front's own limits, from what the machine allows."""

    memory_mb: int
    max_sockets: int
    max_client_connections: int  # open connections of clients; at the cap the one idle longest makes room
    max_connections_per_endpoint: (
        int  # to one member: as many as carry one request of each client's connection
    )
    max_upstream_connections: (
        int  # those that are about to end among them, so that descriptors are left for clients
    )
    read_buffers: int  # buffers to read into, one for each connection and link
    body_buffers: int  # buffers for bodies; apart, so that peers who hold bodies can't make the front deaf
    cache_buffers: int  # of these, for copies of the front's own
    buffer_size: int
    large_body_bytes: int  # bytes of all request bodies beyond the small ones; 0 where no class writes
    max_request_body: int  # of a request: an object's size where a class writes
    max_head_size: int = 8_192  # of a request's line and headers
    small_body_size: int = SMALL_BODY  # that any connection may hold
    max_response_body: int = OBJECT
    stack_size: int = 262_144
    max_requests_per_connection: int = 32  # attempts on one link
    connect_timeout: int = 400 * MILLISECOND
    upstream_idle_timeout: int = 30 * SECOND
    first_request_timeout: int = (
        2 * SECOND
    )  # from connecting to a whole request: who can't say one is closed in time
    keepalive_timeout: int = (
        5 * SECOND
    )  # from an answer to the next whole request: clients themselves stay for 4 s
    write_stall_timeout: int = 2 * SECOND  # a peer that takes no bytes for so long is given up
    slow_client_timeout: int = (
        10 * SECOND
    )  # for all of an answer, where its request's patience is longer still
    # A member writes an answer in one go once it has it: a pause of this length within one, or one that
    # takes longer than this in all, is a link that has stopped or trickles. Hurts where members stand still.
    response_pause_timeout: int = 200 * MILLISECOND
    response_timeout: int = 2 * SECOND
    # A link with calls that wait and no byte for so long is asked whether it is alive, and left if it does
    # not say so in time: the word costs next to nothing, and members that stand still do so for less.
    liveness_check_after: int = 200 * MILLISECOND
    liveness_check_timeout: int = 200 * MILLISECOND
    receive_poll_interval: int = 50 * MILLISECOND  # how often a silent link is looked at
    writer_threads: int = (
        1  # threads that write answers: none waits, and more only wake each other at full load
    )
    max_log_lines: int = 10_000
    backlog: int = 512


@dataclass(frozen=True, slots=True)
class ProxyConfig:
    """All that a front is told."""

    name: str
    listen: Address
    seed: int
    coordinator: Address
    known_events: object
    settings: api.Settings
    limits: ResourceLimits
    transfer_bytes_per_s: float  # bytes a second of one transfer on the front's own link; 0: it has none


PROGRAM = 15  # MB of its own that the program takes before the first connection: 13 as the platform counts
TABLES = 5  # MB for the module's names and the requests that are held, at the busiest rate seen
PLACE = 48 * 1024  # bytes for a connection: what its thread touches of its stack, its objects and its request
LEAST_SPARE = 4  # MB: with less there are no places worth the name; the front then runs close to its limit
LEAST_BODIES = 64  # buffers without which nothing can be served


def read_limits(top: FieldReader, settings: FieldReader) -> ResourceLimits:
    """The front's own limits, as its memory and descriptors allow.

    Clients have nearly half of the descriptors: the usual ones hold a third, the rest is for those that
    should not be there. Of the memory that the program leaves, half at most is for connections and links and
    the rest for bodies, in buffers that are smaller where memory is short, since each connection holds one.
    """
    told, links = top.section("limits"), settings.section("limits")
    memory, sockets = (
        told.number_within("memory_mb", 16, 1 << 20, 192),
        told.number_within("sockets", 64, 1 << 20, 1024),
    )
    idle = links.number_within("conn-idle", 0, 3_600 * SECOND, 30 * SECOND)
    streams = int(links.number_within("max-streams", 0, 1 << 16, 32)) or 32  # here and below, 0: not told
    size = BUFFER_SIZE if memory >= 128 else BUFFER_SIZE // 2 if memory >= 48 else BUFFER_SIZE // 4
    spare = max(LEAST_SPARE, int(memory) * 9 // 10 - PROGRAM - TABLES) * 1_048_576
    places = spare // 2 // (PLACE + size)
    clients = min(4_096, int(sockets) * 15 // 32, places * 3 // 5)
    # A bound of 4 left calls without a link (never sent) whenever a member's answers took long at full load.
    most_links = max(3, min(int(sockets) // 16, -(-clients // streams) + 2))
    all_links = min(int(sockets) * 3 // 8, places - clients)
    readers = clients + all_links
    left = spare - readers * (PLACE + size)
    writes = any(settings.section("family-info").items("pass-on"))
    large = max(2 * OBJECT, left // 5) if writes else 0  # each may be held twice, for a moment
    bodies = max(LEAST_BODIES, min(8_192, (left - 2 * large) * 4 // 5 // size))
    return ResourceLimits(
        memory_mb=int(memory),
        max_sockets=int(sockets),
        max_client_connections=clients,
        read_buffers=readers,
        body_buffers=bodies,
        cache_buffers=bodies * 2 // 3,
        buffer_size=size,
        large_body_bytes=large,
        max_request_body=OBJECT if writes else SMALL_BODY,
        max_connections_per_endpoint=most_links,
        max_upstream_connections=all_links,
        max_requests_per_connection=streams,
        connect_timeout=int(links.number_within("connect-timeout", 0, 60 * SECOND, 400 * MILLISECOND))
        or 400 * MILLISECOND,
        upstream_idle_timeout=int(idle) or 30 * SECOND,
    )


def keys_needing_restart(old: ProxyConfig, new: ProxyConfig) -> list[str]:
    """The keys that differ and that a running front can't take over."""
    named = {
        "name": "name",
        "listen": "listen",
        "seed": "seed",
        "settings": "settings",
        "limits": "limits",
        "transfer_bytes_per_s": "flow_bytes_per_s",
    }
    return [key for field, key in named.items() if getattr(old, field) != getattr(new, field)]


def _read_seed(top: FieldReader) -> int:
    """The seed: hexadecimal digits, or a whole number."""
    value = top.data.get("seed", 0)
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    try:
        return int(top.text("seed"), 16)
    except ValueError as fault:
        raise ConfigError(f"{top.where} has a wrong 'seed': not hexadecimal") from fault


def read_config(data: object, environment: Mapping[str, str]) -> ProxyConfig:
    """Checks a configuration; the variables win over the file's `name` and `listen`."""
    top = FieldReader("configuration", data)
    if listen := environment.get("BALANCER_LISTEN"):
        try:
            address = read_address(listen)
        except ValueError as fault:
            raise ConfigError(f"the environment has a wrong 'BALANCER_LISTEN': {fault}") from fault
    else:
        address = top.address("listen")
    settings = read_settings(top.data.get("settings"))
    flow, link = (
        top.number_within("flow_bytes_per_s", 0, 1e15, 0),
        top.number_within("link_bytes_per_s", 0, 1e15, 0),
    )
    if not settings.classes:
        raise ConfigError("settings lacks 'classes'")
    if odd := next((name for name in settings.classes if not PLAIN.fullmatch(name)), None):
        raise ConfigError(f"settings has a wrong 'classes': the name {odd[:80]!r} can't stand in a request")
    shortest = min(spec.deadline for spec in settings.classes.values())
    tick = max(settings.deadline_margin, min(TURN, shortest // TURN_SHARE))
    settings = replace(settings, local_transfer_capacity=link / flow if flow else 0.0, deadline_margin=tick)
    return ProxyConfig(
        name=environment.get("BALANCER_NAME") or top.text("name", "front"),
        listen=address,
        seed=_read_seed(top),
        coordinator=top.address("coordinator"),
        known_events=top.data.get("known"),
        settings=settings,
        limits=read_limits(top, top.section("settings")),
        transfer_bytes_per_s=flow,
    )


def load(environment: Mapping[str, str], path: str | None = None) -> ProxyConfig:
    """Reads the file that `path` or the variable `BALANCER_CONFIG` names."""
    where = path or environment.get("BALANCER_CONFIG")
    if not where:
        raise ConfigError("the environment lacks 'BALANCER_CONFIG'")
    try:
        data = orjson.loads(Path(where).read_bytes())
    except OSError as fault:
        raise ConfigError(f"'BALANCER_CONFIG' names a file that can't be read: {fault.strerror}") from fault
    except orjson.JSONDecodeError as fault:
        raise ConfigError(f"the configuration is not JSON: {fault}") from fault
    return read_config(data, environment)
