"""The oracle of a soak: records what clients, endpoints and discovery saw, and says which rule was broken.

All times are monotonic seconds of the test's process, where clients, endpoints and coordinator run.
"""

from __future__ import annotations

import threading
import time
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

ANSWER_SLACK_S = 0.5  # after a request's time, in which an answer only earns nothing
LEFT_SLACK_S = 0.1  # after its client has left, for an attempt to reach an endpoint
NOTICE_SLACK_S = 0.05  # by which each limit of the settings is longer on sockets
DRAIN_GRACE_S = 0.5
INVALIDATION_GRACE_S = 0.3
# What discovery has to tell counts as told so long after it was out of reach or silent, at the latest.
DISCOVERY_BREAK_S = 2.0
CONNECT_UNTIL_S = 0.4  # after SIGTERM, for new connections; requests on open ones come until the kill
CLOSE_CROSSING_S = 0.05  # a request that crosses the close of its connection is sent again
MACHINE_SLACK_S = 0.15  # for this machine's own threads to see what has come


class Outcome(Enum):
    """How a request ended for its client."""

    PENDING = "pending"
    ANSWERED = "answered"
    CLOSED = "closed by the proxy"
    LEFT = "left by the client"


class Execution(Enum):
    """Whether an endpoint ran a request."""

    POSSIBLE = "may have run"
    NONE = "never ran"


@dataclass(slots=True)
class ClientRequest:
    """One request, as its client saw it."""

    id: str
    name: str
    class_name: str
    sent_at: float  # its last byte
    timeout_s: float
    is_first_on_connection: bool = True
    outcome: Outcome = Outcome.PENDING
    ended_at: float = 0.0
    status: int = 0
    etag: str = ""
    body: bytes = b""


@dataclass(slots=True)
class Arrival:
    """One command that came whole to an endpoint."""

    request_id: str
    endpoint: str
    source: str
    name: str
    began_at: float  # its first byte
    execution: Execution = Execution.POSSIBLE


@dataclass
class Oracle:
    """All records of a run. `lock` guards them; stops are the times at which the proxy stood still."""

    non_idempotent_class: str
    lock: threading.Lock = field(default_factory=threading.Lock)
    requests: dict[str, ClientRequest] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    drained_at: dict[str, float] = field(default_factory=dict)
    invalidated: dict[str, list[tuple[float, int]]] = field(default_factory=lambda: defaultdict(list))
    stops: list[tuple[float, float]] = field(default_factory=list)
    silences: list[tuple[float, float]] = field(default_factory=list)  # of discovery
    killed: list[float] = field(default_factory=list)
    terminated_at: float = float("inf")
    faults: list[str] = field(default_factory=list)  # what the run itself noticed

    def add_request(self, request: ClientRequest) -> None:
        """A client has sent a request."""
        with self.lock:
            self.requests[request.id] = request

    def add_arrival(self, arrival: Arrival) -> None:
        """An endpoint has received a command."""
        with self.lock:
            self.arrivals.append(arrival)

    def fault(self, text: str) -> None:
        """The run has seen what must not be."""
        with self.lock:
            self.faults.append(text)

    def drain(self, endpoint: str) -> None:
        """Discovery has been told that an endpoint drains."""
        with self.lock:
            self.drained_at[endpoint] = self._told_at()

    def invalidate(self, name: str, unix_ms: int) -> None:
        """Discovery has been told of an invalidation."""
        with self.lock:
            self.invalidated[name].append((self._told_at(), unix_ms))

    def accepts_new_connections(self) -> bool:
        """Whether clients still connect: after SIGTERM they do so for a short time."""
        return time.monotonic() < self.terminated_at + CONNECT_UNTIL_S

    def _told_at(self) -> float:
        """When what is published now counts as told."""
        now = time.monotonic()
        breaks = [end + DISCOVERY_BREAK_S for _, end in self.silences if end + DISCOVERY_BREAK_S > now]
        return max([now, *breaks])

    def violations(self) -> list[str]:
        """Everything that broke a rule."""
        found = list(self.faults)
        for request in self.requests.values():
            found += self._violations_of(request)
        found += self._endpoint_violations()
        found += self._repeated_effects()
        return found

    def _stood_still(self, begin: float, end: float) -> float:
        return sum(max(0.0, min(end, until) - max(begin, since)) for since, until in self.stops)

    def _due_at(self, begin: float, end: float) -> float:
        """The end of a span that begins then, put off by each stop within it."""
        for since, until in sorted(self.stops):
            if since < end and until > begin:
                end += until - max(since, begin)
        return end

    def _was_killed_within(self, begin: float, end: float) -> bool:
        return any(begin - CLOSE_CROSSING_S <= at <= end for at in self.killed)

    def _violations_of(self, request: ClientRequest) -> list[str]:
        time_s = request.timeout_s + ANSWER_SLACK_S + MACHINE_SLACK_S
        due_at = self._due_at(request.sent_at, request.sent_at + time_s)
        if request.outcome is Outcome.LEFT or self._was_killed_within(request.sent_at, due_at):
            return []
        label = f"request {request.id}"
        if request.outcome is Outcome.CLOSED:
            age_s = request.ended_at - request.sent_at
            if not request.is_first_on_connection and age_s < CLOSE_CROSSING_S:
                return []
            after_s = request.sent_at - self.terminated_at
            return [
                f"{label}: closed unanswered {age_s:.3f} s after it was sent, {after_s:.3f} s after SIGTERM"
            ]
        if request.outcome is Outcome.PENDING:
            return [f"{label}: never answered"]
        found = []
        if request.ended_at > due_at:
            found.append(f"{label}: answered {request.ended_at - request.sent_at:.3f} s after it was sent")
        if request.status == 200:
            found += self._violations_of_served(request, label)
        return found

    def _violations_of_served(self, request: ClientRequest, label: str) -> list[str]:
        name, _, issued = request.etag.partition("-")
        if name != request.name or not request.body.startswith(name.encode()):
            return [f"{label}: served with the bytes of '{name}', asked for '{request.name}'"]
        for told_at, unix_ms in self.invalidated.get(request.name, []):
            limit = told_at + INVALIDATION_GRACE_S + NOTICE_SLACK_S + MACHINE_SLACK_S
            limit += self._stood_still(told_at, request.sent_at)
            if request.sent_at > limit and int(issued) < unix_ms:
                return [f"{label}: served a response {unix_ms - int(issued)} ms older than its invalidation"]
        return []

    def _endpoint_violations(self) -> list[str]:
        found = []
        for arrival in self.arrivals:
            label = f"request {arrival.request_id} at {arrival.endpoint}"
            request = self.requests.get(arrival.request_id)
            if request is None or request.name != arrival.name:
                found.append(f"{label}: no client sent it")
                continue
            left_limit = request.ended_at + LEFT_SLACK_S + MACHINE_SLACK_S
            if request.outcome is Outcome.LEFT and arrival.began_at > left_limit + self._stood_still(
                request.ended_at, arrival.began_at
            ):
                found.append(
                    f"{label}: sent {arrival.began_at - request.ended_at:.3f} s after its client left"
                )
            for endpoint in {arrival.endpoint, arrival.source}:
                told_at = self.drained_at.get(endpoint)
                grace = DRAIN_GRACE_S + NOTICE_SLACK_S + MACHINE_SLACK_S
                if told_at is not None and arrival.began_at > told_at + grace + self._stood_still(
                    told_at, arrival.began_at
                ):
                    found.append(f"{label}: {endpoint} was drained {arrival.began_at - told_at:.3f} s before")
        return found

    def _repeated_effects(self) -> list[str]:
        """Requests of the class that must not run twice, sent again after they may have run."""
        found = []
        possible: set[str] = set()
        for arrival in sorted(self.arrivals, key=lambda it: it.began_at):
            request = self.requests.get(arrival.request_id)
            if request is None or request.class_name != self.non_idempotent_class:
                continue
            if arrival.request_id in possible:
                found.append(f"request {arrival.request_id} at {arrival.endpoint}: may have run before")
            if arrival.execution is Execution.POSSIBLE:
                possible.add(arrival.request_id)
        return found
