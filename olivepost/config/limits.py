"""Resource limits of a proxy process, derived from the memory and descriptors that the platform allows."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from olivepost.config.fields import FieldReader
from olivepost.config.memory_budget import BUFFER_OVERHEAD_BYTES, BYTES_PER_KB, MemoryBudget, Share
from olivepost.units import MILLISECOND, SECOND, Duration

# What the keys may hold and what holds where they are missing.
MIN_MEMORY_MB = 16
MAX_MEMORY_MB = 1 << 20
DEFAULT_MEMORY_MB = 192
MIN_SOCKETS = 64
MAX_SOCKETS = 1 << 20
DEFAULT_SOCKETS = 1_024
MAX_REQUESTS_PER_CONNECTION = 1 << 16
DEFAULT_REQUESTS_PER_CONNECTION = 32
MAX_UPSTREAM_IDLE_TIMEOUT: Duration = 3_600 * SECOND
DEFAULT_UPSTREAM_IDLE_TIMEOUT: Duration = 30 * SECOND
MAX_CONNECT_TIMEOUT: Duration = 60 * SECOND
DEFAULT_CONNECT_TIMEOUT: Duration = 400 * MILLISECOND

# Sizes of messages.
MAX_OBJECT_BYTES = 240_000  # bytes: the platform's largest object
SMALL_BODY_BYTES = 16_384  # bytes of a request's body that any connection may hold without a reservation

# Buffers are smaller where memory is short, since each connection holds one.
BUFFER_BYTES = 16_384  # bytes
FULL_BUFFER_MEMORY_MB = 128  # from here on buffers have their full size
HALF_BUFFER_MEMORY_MB = 48  # from here on half of it, below a quarter

# Bytes of a connection beside its buffer to read into. A client's: the touched part of one thread's stack,
# the parser with a small body, and its request (measured: 20 KB with one request, 35 KB after many).
CLIENT_CONNECTION_BYTES = 36 * BYTES_PER_KB
# An upstream one: two threads, the ids of past requests and the requests that are pending on it.
UPSTREAM_CONNECTION_BYTES = 64 * BYTES_PER_KB

# Connections.
CLIENTS_PER_UPSTREAM = Share(3, 2)  # client connections that fit into memory for each upstream one
CLIENT_SOCKETS_SHARE = Share(
    15, 32
)  # of the descriptors: usual clients hold a third, others may have the rest
UPSTREAM_SOCKETS_SHARE = Share(
    3, 8
)  # of the descriptors; what is left serves the listener, discovery and files
ENDPOINT_SOCKETS_SHARE = Share(1, 16)  # of the descriptors, to one endpoint
MAX_CLIENT_CONNECTIONS = 4_096
# A bound of 4 left requests without a connection (never sent) whenever responses took long at full load.
MIN_CONNECTIONS_PER_ENDPOINT = 3
SPARE_CONNECTIONS_PER_ENDPOINT = 2  # beyond those that carry one request of each client connection

# Bodies.
LARGE_BODY_MEMORY_SHARE = Share(1, 5)  # of the memory for bodies, where a class writes
MIN_LARGE_BODY_BYTES = 2 * MAX_OBJECT_BYTES
LARGE_BODY_COPIES = 2  # a large body may be held twice, for a moment
CACHE_BUFFERS_SHARE = Share(2, 3)  # of the body buffers
MIN_BODY_BUFFERS = 64  # nothing can be served with fewer
MAX_BODY_BUFFERS = 8_192


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Limits of one proxy process: sizes in bytes, durations in nanoseconds unless named otherwise."""

    memory_mb: int
    memory: MemoryBudget
    max_sockets: int
    # Open client connections; at the cap the one that has been idle longest is closed for a new one.
    max_client_connections: int
    # To one endpoint: as many as carry one request of each client connection.
    max_connections_per_endpoint: int
    # Those that are closing count too, so that descriptors are left for clients.
    max_upstream_connections: int
    read_buffers: int  # buffers to receive into, one for each client and upstream connection
    # Buffers for bodies; a pool of their own, so that peers that hold bodies can't stop the proxy reading.
    body_buffers: int
    cache_buffers: int  # of the body buffers, those that the response cache may hold
    buffer_bytes: int
    large_body_bytes: int  # of all request bodies beyond the small ones; 0 where no class writes
    max_request_body_bytes: int  # an object's size where a class writes
    max_head_bytes: int = 8_192  # of a request's line and headers
    small_body_bytes: int = SMALL_BODY_BYTES  # that any connection may hold
    max_response_body_bytes: int = MAX_OBJECT_BYTES
    stack_bytes: int = 262_144  # of each thread
    max_requests_per_connection: int = DEFAULT_REQUESTS_PER_CONNECTION  # in flight on one upstream connection
    connect_timeout: Duration = DEFAULT_CONNECT_TIMEOUT
    upstream_idle_timeout: Duration = DEFAULT_UPSTREAM_IDLE_TIMEOUT
    # From connecting to a complete request; a client that can't send one is closed in time.
    first_request_timeout: Duration = 2 * SECOND
    # From a response to the next complete request; the platform's clients keep connections for 4 s.
    keepalive_timeout: Duration = 5 * SECOND
    write_stall_timeout: Duration = 2 * SECOND  # a peer that takes no byte for so long is closed
    # For a complete response to be written, where its request's deadline is later still.
    slow_client_timeout: Duration = 10 * SECOND
    # An endpoint writes a response in one go once it has it: a pause of this length within one, or one that
    # takes longer than this in all, means a stalled connection. Hurts where endpoints stand still.
    response_pause_timeout: Duration = 200 * MILLISECOND
    response_timeout: Duration = 2 * SECOND
    # A connection with pending requests and no byte received for so long gets a liveness check, and is closed
    # if that is not answered in time: the check is cheap, and endpoints stand still for less.
    liveness_check_delay: Duration = 200 * MILLISECOND
    liveness_check_timeout: Duration = 200 * MILLISECOND
    receive_poll_interval: Duration = 50 * MILLISECOND  # how often a silent upstream connection is checked
    # Threads that write responses: none of them blocks, and more only wake each other at full load.
    writer_threads: int = 1
    backlog: int = 512


@dataclass(frozen=True, slots=True)
class PlatformLimits:
    """What the platform allows the process, as its configuration says; durations in nanoseconds."""

    memory_mb: int
    max_sockets: int
    upstream_idle_timeout: Duration
    requests_per_connection: int
    connect_timeout: Duration
    has_writes: bool  # whether some class writes


class ConnectionPlan(NamedTuple):
    """How the places for connections are shared out."""

    client: int
    upstream: int

    @property
    def total(self) -> int:
        """All connections; each has a read buffer."""
        return self.client + self.upstream


class BodyPlan(NamedTuple):
    """How the memory for bodies is shared out."""

    buffers: int
    large_body_bytes: int


def read_limits(configuration: FieldReader, settings: FieldReader) -> ResourceLimits:
    """Derives the limits from the configuration's own `limits` and from those of its settings."""
    return derive_limits(_read_platform_limits(configuration, settings))


def derive_limits(platform: PlatformLimits) -> ResourceLimits:
    """Shares out memory and descriptors."""
    buffer_bytes = choose_buffer_bytes(platform.memory_mb)
    budget = MemoryBudget.of_limit(platform.memory_mb)
    connections = plan_connections(budget.connections, buffer_bytes, platform.max_sockets)
    bodies = plan_bodies(budget.bodies, buffer_bytes, platform.has_writes)
    return ResourceLimits(
        memory_mb=platform.memory_mb,
        memory=budget,
        max_sockets=platform.max_sockets,
        max_client_connections=connections.client,
        max_connections_per_endpoint=plan_connections_per_endpoint(
            platform.max_sockets, connections.client, platform.requests_per_connection
        ),
        max_upstream_connections=connections.upstream,
        read_buffers=connections.total,
        body_buffers=bodies.buffers,
        cache_buffers=CACHE_BUFFERS_SHARE.of(bodies.buffers),
        buffer_bytes=buffer_bytes,
        large_body_bytes=bodies.large_body_bytes,
        max_request_body_bytes=MAX_OBJECT_BYTES if platform.has_writes else SMALL_BODY_BYTES,
        max_requests_per_connection=platform.requests_per_connection,
        connect_timeout=platform.connect_timeout,
        upstream_idle_timeout=platform.upstream_idle_timeout,
    )


def choose_buffer_bytes(memory_mb: int) -> int:
    """Bytes of one buffer."""
    if memory_mb >= FULL_BUFFER_MEMORY_MB:
        return BUFFER_BYTES
    if memory_mb >= HALF_BUFFER_MEMORY_MB:
        return BUFFER_BYTES // 2
    return BUFFER_BYTES // 4


def plan_connections(available_bytes: int, buffer_bytes: int, max_sockets: int) -> ConnectionPlan:
    """Shares out the connections that memory and descriptors allow; what clients leave upstream may use."""
    client_bytes = CLIENT_CONNECTION_BYTES + buffer_bytes
    upstream_bytes = UPSTREAM_CONNECTION_BYTES + buffer_bytes
    group_bytes = (
        CLIENTS_PER_UPSTREAM.numerator * client_bytes + CLIENTS_PER_UPSTREAM.denominator * upstream_bytes
    )
    groups = available_bytes // group_bytes
    client = min(
        MAX_CLIENT_CONNECTIONS, CLIENT_SOCKETS_SHARE.of(max_sockets), groups * CLIENTS_PER_UPSTREAM.numerator
    )
    upstream = min(
        UPSTREAM_SOCKETS_SHARE.of(max_sockets), (available_bytes - client * client_bytes) // upstream_bytes
    )
    return ConnectionPlan(client, upstream)


def plan_connections_per_endpoint(max_sockets: int, clients: int, requests_per_connection: int) -> int:
    """Connections to one endpoint: enough for one request of each client, within a share of descriptors."""
    for_all_clients = -(-clients // requests_per_connection)  # rounded up
    wanted = for_all_clients + SPARE_CONNECTIONS_PER_ENDPOINT
    return max(MIN_CONNECTIONS_PER_ENDPOINT, min(ENDPOINT_SOCKETS_SHARE.of(max_sockets), wanted))


def plan_bodies(available_bytes: int, buffer_bytes: int, has_writes: bool) -> BodyPlan:
    """Shares out the memory for bodies among large request bodies and the body buffers."""
    large_body_bytes = 0
    if has_writes:
        large_body_bytes = max(MIN_LARGE_BODY_BYTES, LARGE_BODY_MEMORY_SHARE.of(available_bytes))
    remaining_bytes = available_bytes - LARGE_BODY_COPIES * large_body_bytes
    buffers = min(MAX_BODY_BUFFERS, remaining_bytes // (buffer_bytes + BUFFER_OVERHEAD_BYTES))
    return BodyPlan(max(MIN_BODY_BUFFERS, buffers), large_body_bytes)


def _read_platform_limits(configuration: FieldReader, settings: FieldReader) -> PlatformLimits:
    process = configuration.section("limits")
    upstream = settings.section("limits")
    return PlatformLimits(
        memory_mb=int(process.number_within("memory_mb", MIN_MEMORY_MB, MAX_MEMORY_MB, DEFAULT_MEMORY_MB)),
        max_sockets=int(process.number_within("sockets", MIN_SOCKETS, MAX_SOCKETS, DEFAULT_SOCKETS)),
        upstream_idle_timeout=_read_bound(
            upstream, "conn-idle", MAX_UPSTREAM_IDLE_TIMEOUT, DEFAULT_UPSTREAM_IDLE_TIMEOUT
        ),
        requests_per_connection=_read_bound(
            upstream, "max-streams", MAX_REQUESTS_PER_CONNECTION, DEFAULT_REQUESTS_PER_CONNECTION
        ),
        connect_timeout=_read_bound(
            upstream, "connect-timeout", MAX_CONNECT_TIMEOUT, DEFAULT_CONNECT_TIMEOUT
        ),
        has_writes=any(settings.section("family-info").items("pass-on")),
    )


def _read_bound(fields: FieldReader, key: str, maximum: int, default: int) -> int:
    """A whole bound; the default where the key is missing, or 0: the platform then names no bound."""
    return int(fields.number_within(key, 0, maximum, default)) or default
