"""The oracle of a soak, which checks invariants on what clients, endpoints and discovery observed.

All times are monotonic seconds of the test's process, in which the clients, endpoints and coordinator run.
"""

from __future__ import annotations

import threading
import time
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from operator import attrgetter

REJECTED = 503  # status of a response after which trying again must be harmless
MAX_ADVISED_WAIT_S = 0.75  # longest wait that the proxy advises to the client of a rejected request
RESPONSE_SLACK_S = 0.5  # a response may arrive this long after its request's deadline
DISCONNECT_SLACK_S = 0.1  # attempts may reach endpoints this long after the client disconnected
# Added to `DRAIN_GRACE_S` and `INVALIDATION_GRACE_S`, because data needs time to pass through sockets.
SOCKET_SLACK_S = 0.05
# Attempts may reach a draining endpoint this long after the proxy must know that the endpoint drains.
DRAIN_GRACE_S = 0.5
# An invalidated response may be served this long after the proxy must know of the invalidation.
INVALIDATION_GRACE_S = 0.3
DISCOVERY_RECOVERY_S = 2.0  # the proxy must know all updates this long after discovery's outage has ended
# Clients open connections for this long after SIGTERM. They send requests on open connections until the
# proxy exits or is killed.
ACCEPT_AFTER_SIGTERM_S = 0.4
# If a connection ends this soon after a request was sent, the proxy may have closed the idle connection
# before the request arrived.
CLOSE_RACE_S = 0.05
SCHEDULING_SLACK_S = 0.15  # added to each time limit, for scheduling delays of the test's own threads


class Outcome(Enum):
    """Outcome of a request as its client observed it."""

    PENDING = "pending"
    COMPLETED = "completed"
    CLOSED = "closed by the proxy"
    DISCONNECTED = "the client disconnected"


class Execution(Enum):
    """Possibility that an endpoint has executed a request."""

    POSSIBLE = "may have been executed"
    NONE = "not executed"


@dataclass(slots=True)
class ClientRequest:
    """One request, with its response as the client received it."""

    id: str
    name: str
    class_name: str
    sent_at: float  # time at which the last byte was sent
    timeout_s: float
    is_first_on_connection: bool = True
    key: str = ""  # idempotency key, which is the id of the client's first try; empty if there is none
    is_retry: bool = False  # whether the client marks the request as a retry
    is_after_announced_close: bool = False  # whether the previous response had `Connection: close`
    outcome: Outcome = Outcome.PENDING
    ended_at: float = 0.0
    status: int = 0
    etag: str = ""
    body: bytes = b""


@dataclass(slots=True)
class Arrival:
    """One complete command that an endpoint received."""

    request_id: str
    endpoint: str
    source: str
    name: str
    began_at: float  # time at which the first byte arrived
    execution: Execution = Execution.POSSIBLE

    @property
    def label(self) -> str:
        """Description of the command in a violation's text."""
        return f"request {self.request_id} at {self.endpoint}"


@dataclass
class Oracle:
    """The records of what a run observed, and the checks that find violated invariants in the records.

    `lock` guards the records. `pauses` are the spans of time in which the proxy or the test could not run.
    """

    write_class: str
    # Seconds for which the key of a write is remembered, fewer than its client may wait; 0 if writes are not
    # idempotent.
    key_window_s: float = 0.0
    load_id_prefix: str = "-"  # prefix of a load process's request ids; "-" matches no request id
    lock: threading.Lock = field(default_factory=threading.Lock)
    requests: dict[str, ClientRequest] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    drained_at: dict[str, float] = field(default_factory=dict)
    invalidated: dict[str, list[tuple[float, int]]] = field(default_factory=lambda: defaultdict(list))
    pauses: list[tuple[float, float]] = field(default_factory=list)
    discovery_outages: list[tuple[float, float]] = field(default_factory=list)
    killed_at: list[float] = field(default_factory=list)
    terminated_at: float = float("inf")
    observed_faults: list[str] = field(default_factory=list)  # faults of the proxy that the run observed

    def add_request(self, request: ClientRequest) -> None:
        """Records a request that a client sends."""
        with self.lock:
            self.requests[request.id] = request

    def add_arrival(self, arrival: Arrival) -> None:
        """Records a command that an endpoint has received."""
        with self.lock:
            self.arrivals.append(arrival)

    def record_fault(self, text: str) -> None:
        """Records a fault of the proxy that the run itself observed."""
        with self.lock:
            self.observed_faults.append(text)

    def record_drain(self, endpoint_id: str) -> None:
        """Records that discovery has published an endpoint as draining."""
        with self.lock:
            self.drained_at[endpoint_id] = self._notified_at()

    def record_invalidation(self, name: str, unix_ms: int) -> None:
        """Records that discovery has published an invalidation."""
        with self.lock:
            self.invalidated[name].append((self._notified_at(), unix_ms))

    def accepts_new_connections(self) -> bool:
        """Whether clients may open connections; they may until `ACCEPT_AFTER_SIGTERM_S` after SIGTERM."""
        return time.monotonic() < self.terminated_at + ACCEPT_AFTER_SIGTERM_S

    def _notified_at(self) -> float:
        """Returns the time by which the proxy must know an update that is published now."""
        now = time.monotonic()
        recoveries = [
            end + DISCOVERY_RECOVERY_S
            for _, end in self.discovery_outages
            if end + DISCOVERY_RECOVERY_S > now
        ]
        return max([now, *recoveries])

    def violations(self) -> list[str]:
        """Returns all violations, each as a line of text."""
        found = list(self.observed_faults)
        for request in self.requests.values():
            found += self._violations_of(request)
        found += self._endpoint_violations()
        found += self._repeated_execution_violations()
        found += self._rejected_execution_violations()
        return found

    def _paused_for(self, begin: float, end: float) -> float:
        return sum(max(0.0, min(end, until) - max(begin, since)) for since, until in self.pauses)

    def _due_at(self, begin: float, end: float) -> float:
        """Returns the end of a span of time, extended by each pause within the span."""
        for since, until in sorted(self.pauses):
            if since < end and until > begin:
                end += until - max(since, begin)
        return end

    def _was_killed_within(self, begin: float, end: float) -> bool:
        return any(begin - CLOSE_RACE_S <= at <= end for at in self.killed_at)

    def _violations_of(self, request: ClientRequest) -> list[str]:
        allowed_s = request.timeout_s + RESPONSE_SLACK_S + SCHEDULING_SLACK_S
        due_at = self._due_at(request.sent_at, request.sent_at + allowed_s)
        if request.is_after_announced_close or self._was_killed_within(request.sent_at, due_at):
            return []
        match request.outcome:
            case Outcome.DISCONNECTED:
                return []
            case Outcome.CLOSED:
                return self._violations_of_closed(request)
            case Outcome.PENDING:
                return [f"request {request.id}: no response"]
            case Outcome.COMPLETED:
                return self._violations_of_completed(request, due_at)

    def _violations_of_closed(self, request: ClientRequest) -> list[str]:
        age_s = request.ended_at - request.sent_at
        if not request.is_first_on_connection and age_s < CLOSE_RACE_S:
            return []
        after_s = request.sent_at - self.terminated_at
        times = f"{age_s:.3f} s after it was sent, {after_s:.3f} s after SIGTERM"
        return [f"request {request.id}: closed without a response {times}"]

    def _violations_of_completed(self, request: ClientRequest, due_at: float) -> list[str]:
        found = []
        if request.ended_at > due_at:
            duration_s = request.ended_at - request.sent_at
            found.append(f"request {request.id}: response {duration_s:.3f} s after it was sent")
        if request.status == 200:
            found += self._violations_of_served(request)
        return found

    def _violations_of_served(self, request: ClientRequest) -> list[str]:
        label = f"request {request.id}"
        name, _, issued_ms = request.etag.partition("-")
        if name != request.name or not request.body.startswith(name.encode()):
            return [f"{label}: served with the bytes of '{name}' for '{request.name}'"]
        for notified_at, unix_ms in self.invalidated.get(request.name, []):
            limit = notified_at + INVALIDATION_GRACE_S + SOCKET_SLACK_S + SCHEDULING_SLACK_S
            limit += self._paused_for(notified_at, request.sent_at)
            if request.sent_at > limit and int(issued_ms) < unix_ms:
                age_ms = unix_ms - int(issued_ms)
                return [f"{label}: served a response {age_ms} ms older than its invalidation"]
        return []

    def _endpoint_violations(self) -> list[str]:
        found = []
        for arrival in self.arrivals:
            found += self._violations_of_draining(arrival)
            if arrival.request_id.startswith(self.load_id_prefix):
                # The load process records its requests itself and reports only the late and unanswered ones.
                # The oracle cannot check an attempt of a request that it does not know.
                continue
            request = self.requests.get(arrival.request_id)
            if request is None or request.name != arrival.name:
                found.append(f"{arrival.label}: no client sent it")
                continue
            if request.is_after_announced_close:
                found.append(f"{arrival.label}: forwarded from a connection whose end was announced")
            found += self._violation_of_disconnect(arrival, request)
        return found

    def _violation_of_disconnect(self, arrival: Arrival, request: ClientRequest) -> list[str]:
        if request.outcome is not Outcome.DISCONNECTED:
            return []
        limit = request.ended_at + DISCONNECT_SLACK_S + SCHEDULING_SLACK_S
        limit += self._paused_for(request.ended_at, arrival.began_at)
        if arrival.began_at <= limit:
            return []
        after_s = arrival.began_at - request.ended_at
        return [f"{arrival.label}: received {after_s:.3f} s after its client disconnected"]

    def _violations_of_draining(self, arrival: Arrival) -> list[str]:
        found = []
        for endpoint_id in {arrival.endpoint, arrival.source}:
            notified_at = self.drained_at.get(endpoint_id)
            if notified_at is None:
                continue
            limit = notified_at + DRAIN_GRACE_S + SOCKET_SLACK_S + SCHEDULING_SLACK_S
            limit += self._paused_for(notified_at, arrival.began_at)
            if arrival.began_at > limit:
                after_s = arrival.began_at - notified_at
                found.append(f"{arrival.label}: {endpoint_id} was drained {after_s:.3f} s before")
        return found

    def _repeated_execution_violations(self) -> list[str]:
        """Returns a violation for each command that repeats a possibly executed write.

        A write with a key may be repeated, by the proxy and by its client, until the key is forgotten.
        """
        found = []
        executed_at: dict[str, float] = {}
        for arrival in self._arrivals_of_writes():
            key = self.requests[arrival.request_id].key or arrival.request_id
            first_at = executed_at.get(key)
            if first_at is not None and not self._is_key_remembered(first_at, arrival.began_at):
                found.append(f"{arrival.label}: may have been executed before")
            if arrival.execution is Execution.POSSIBLE:
                executed_at.setdefault(key, arrival.began_at)
        return found

    def _is_key_remembered(self, executed_at: float, repeated_at: float) -> bool:
        if not self.key_window_s:
            return False
        limit = executed_at + self.key_window_s + SOCKET_SLACK_S + SCHEDULING_SLACK_S
        return repeated_at <= limit + self._paused_for(executed_at, repeated_at)

    def _rejected_execution_violations(self) -> list[str]:
        """Returns a violation for each write that was rejected although its repeat may be executed.

        That is so if an endpoint may have executed the write, and a client that waits as long as the proxy
        may advise it comes back after the key is forgotten.
        """
        found = []
        for arrival in self._arrivals_of_writes():
            request = self.requests[arrival.request_id]
            if request.status != REJECTED or arrival.execution is not Execution.POSSIBLE:
                continue
            if not self._is_key_remembered(arrival.began_at, request.ended_at + MAX_ADVISED_WAIT_S):
                found.append(f"{arrival.label}: rejected, but may have been executed")
        return found

    def _arrivals_of_writes(self) -> list[Arrival]:
        """Returns the commands of writes in the order of their arrival."""
        arrivals = [
            arrival
            for arrival in self.arrivals
            if arrival.request_id in self.requests
            and self.requests[arrival.request_id].class_name == self.write_class
        ]
        return sorted(arrivals, key=attrgetter("began_at"))
