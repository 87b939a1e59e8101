"""Resource limits of a proxy process, derived from the memory and descriptors that the platform allows.

`docs/capacity.md` explains how each value is sized and what it costs.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from olivepost.config.fields import FieldReader
from olivepost.config.memory_budget import BUFFER_OVERHEAD_BYTES, BYTES_PER_KB, MemoryBudget, Share
from olivepost.units import MILLISECOND, SECOND, Duration

# Allowed ranges of the configuration's keys, and the defaults of missing keys.
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

# Messages.
MAX_OBJECT_BYTES = 240_000  # size of the platform's largest object
SMALL_BODY_BYTES = 16_384  # size of the largest request body that needs no memory reservation

# Buffers.
# Full size of one buffer. Buffers are smaller if the memory limit is low, because each connection holds a
# buffer.
BUFFER_BYTES = 16_384
FULL_BUFFER_MEMORY_MB = 128  # smallest memory limit at which buffers have their full size
# Smallest memory limit at which buffers have half their full size. Below this limit, they have a quarter.
HALF_BUFFER_MEMORY_MB = 48

# Connections.
# Memory of one client connection: its thread, parser and request, without the read buffer.
CLIENT_CONNECTION_BYTES = 36 * BYTES_PER_KB
# Memory of one upstream connection: its two threads and pending requests, without the read buffer.
UPSTREAM_CONNECTION_BYTES = 64 * BYTES_PER_KB
# The memory for connections is divided so that there are this many client connections for each upstream
# connection.
CLIENTS_PER_UPSTREAM = Share(3, 2)
# Shares of the process's file descriptors. The listener and files use the descriptors that all connections
# leave.
CLIENT_SOCKETS_SHARE = Share(15, 32)  # share of the descriptors that all client connections may use
UPSTREAM_SOCKETS_SHARE = Share(3, 8)  # share of the descriptors that all upstream connections may use
ENDPOINT_SOCKETS_SHARE = Share(1, 16)  # share of the descriptors that the connections to one endpoint may use
DISCOVERY_SOCKETS_SHARE = Share(1, 16)  # share of the descriptors that discovery may use
MAX_CLIENT_CONNECTIONS = 4_096
MAX_DISCOVERY_CONNECTIONS = 16
MIN_CONNECTIONS_PER_ENDPOINT = 3
# Connections to an endpoint that are allowed in addition to the number that can carry one request of each
# client connection.
SPARE_CONNECTIONS_PER_ENDPOINT = 2

# Bodies.
# Share of the memory for bodies that large request bodies may use, without their second copies, if some class
# of requests allows writes.
LARGE_BODY_MEMORY_SHARE = Share(1, 5)
MIN_LARGE_BODY_BYTES = 2 * MAX_OBJECT_BYTES
# Number of copies of a large body that may be in memory. There are two while the body is taken out of the
# received bytes or encoded into a command.
LARGE_BODY_COPIES = 2
CACHE_BUFFERS_SHARE = Share(2, 3)  # share of the body buffers that the response cache may hold
MIN_BODY_BUFFERS = 64
MAX_BODY_BUFFERS = 8_192


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Resource limits and timeouts of one proxy process."""

    # Memory and descriptors
    memory_mb: int
    memory: MemoryBudget
    max_sockets: int

    # Connections
    # Maximum number of open client connections. At this number, the connection that has been idle longest is
    # closed to admit a new one.
    max_client_connections: int
    # Maximum number of connections to one endpoint. They can carry one request of each client connection, if
    # descriptors suffice.
    max_connections_per_endpoint: int
    # Maximum number of upstream connections. It includes connections that are still closing, so that
    # descriptors are left for clients.
    max_upstream_connections: int
    # Maximum number of connections to the coordinator. There is one unless the coordinator responds late.
    max_discovery_connections: int

    # Buffers
    read_buffers: int  # number of receive buffers, one for each client and upstream connection
    # Number of buffers for bodies. They are separate from the read buffers, so that the proxy can read even
    # if clients hold all body buffers.
    body_buffers: int
    cache_buffers: int  # number of the body buffers that the response cache may hold
    buffer_bytes: int

    # Messages
    # Maximum total bytes of all request bodies that are not small; 0 if no class of requests allows writes.
    large_body_bytes: int
    # Maximum size of one request body: `MAX_OBJECT_BYTES` if some class of requests allows writes, else
    # `SMALL_BODY_BYTES`.
    max_request_body_bytes: int
    max_head_bytes: int = 8_192  # maximum size in bytes of the request line and the headers together
    # Size of a request body that any connection may hold without reserving memory.
    small_body_bytes: int = SMALL_BODY_BYTES
    max_response_body_bytes: int = MAX_OBJECT_BYTES

    # Client connections
    # Longest time from connecting, or from the first byte of a later request, to the complete request.
    first_request_timeout: Duration = 2 * SECOND
    # Longest time between a response and the next request's first byte.
    keepalive_timeout: Duration = 5 * SECOND
    # Longest time during which a client or an endpoint may accept no byte.
    write_stall_timeout: Duration = 2 * SECOND
    slow_client_timeout: Duration = 10 * SECOND  # upper bound on the time to write a complete response

    # Upstream connections
    # Maximum number of requests in flight on one upstream connection.
    max_requests_per_connection: int = DEFAULT_REQUESTS_PER_CONNECTION
    connect_timeout: Duration = DEFAULT_CONNECT_TIMEOUT
    upstream_idle_timeout: Duration = DEFAULT_UPSTREAM_IDLE_TIMEOUT
    # If no byte of a response arrives for longer than this, the response is treated as stalled.
    response_pause_timeout: Duration = 200 * MILLISECOND
    response_timeout: Duration = 2 * SECOND  # longest time between a response's first and last byte
    # A liveness check is sent if no byte arrives for this long while requests are pending.
    liveness_check_delay: Duration = 200 * MILLISECOND
    # The connection is closed if the endpoint does not reply to a liveness check within this time.
    liveness_check_timeout: Duration = 200 * MILLISECOND
    # Interval at which a connection is checked while it receives nothing.
    receive_poll_interval: Duration = 50 * MILLISECOND

    # Threads and listener
    stack_bytes: int = 262_144  # stack size of each thread
    writer_threads: int = 1  # threads that write responses to clients; none of them waits for a client
    backlog: int = 512  # connections that the kernel queues until the proxy accepts them


@dataclass(frozen=True, slots=True)
class PlatformLimits:
    """Limits that the platform sets for the process in its configuration."""

    memory_mb: int
    max_sockets: int
    upstream_idle_timeout: Duration
    requests_per_connection: int
    connect_timeout: Duration
    has_writes: bool  # whether some class of requests allows writes


class ConnectionPlan(NamedTuple):
    """Maximum numbers of client and upstream connections of the process."""

    client: int
    upstream: int

    @property
    def total(self) -> int:
        """Returns the maximum number of all connections, each of which has a read buffer."""
        return self.client + self.upstream


class BodyPlan(NamedTuple):
    """Division of the memory for bodies between body buffers and large request bodies."""

    buffers: int
    large_body_bytes: int


def read_limits(configuration: FieldReader, settings: FieldReader) -> ResourceLimits:
    """Derives the limits from the sections `limits` of the configuration and of its section `settings`."""
    return derive_limits(_read_platform_limits(configuration, settings))


def derive_limits(platform: PlatformLimits) -> ResourceLimits:
    """Divides memory and descriptors among connections, buffers and bodies."""
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
        max_discovery_connections=min(
            MAX_DISCOVERY_CONNECTIONS, DISCOVERY_SOCKETS_SHARE.of(platform.max_sockets)
        ),
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
    """Returns the size of one buffer in bytes; buffers are smaller if the memory limit is low."""
    if memory_mb >= FULL_BUFFER_MEMORY_MB:
        return BUFFER_BYTES
    if memory_mb >= HALF_BUFFER_MEMORY_MB:
        return BUFFER_BYTES // 2
    return BUFFER_BYTES // 4


def plan_connections(available_bytes: int, buffer_bytes: int, max_sockets: int) -> ConnectionPlan:
    """Divides memory and descriptors between client and upstream connections.

    Upstream connections may use the memory that client connections leave.
    """
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
    """Returns the maximum number of connections to one endpoint.

    These connections can carry one request of each client connection, if the endpoint's share of the
    descriptors allows so many connections.
    """
    for_all_clients = -(-clients // requests_per_connection)  # rounded up
    wanted = for_all_clients + SPARE_CONNECTIONS_PER_ENDPOINT
    return max(MIN_CONNECTIONS_PER_ENDPOINT, min(ENDPOINT_SOCKETS_SHARE.of(max_sockets), wanted))


def plan_bodies(available_bytes: int, buffer_bytes: int, has_writes: bool) -> BodyPlan:
    """Divides the memory for bodies between large request bodies and the body buffers."""
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
    """Returns a bound as a whole number.

    Returns the default if the key is missing or 0, since 0 means that no bound is set.
    """
    return int(fields.number_within(key, 0, maximum, default)) or default
