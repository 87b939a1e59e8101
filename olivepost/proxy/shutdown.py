"""Graceful shutdown: requests that arrive after SIGTERM are accepted and answered, then everything closes.

After SIGTERM, the platform waits before it kills the process. The wait is the longest deadline of a request
class, limited to three seconds, plus the time in which clients may still connect. Every pending request gets
its final response before the kill, and the process exits before the kill.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from olivepost.proxy.downstream.connection_lifecycle import ConnectionLifecycle
from olivepost.proxy.downstream.listener import ACCEPT_STOP_TIMEOUT_S
from olivepost.proxy.messages import ShutdownDeadline, StopEventLoop
from olivepost.proxy.parts import ProxyParts
from olivepost.units import MILLISECOND, SECOND, Duration, Instant

# Time after SIGTERM during which clients still connect and send requests. A busy proxy has to read all of
# these requests.
ACCEPT_FOR: Duration = 700 * MILLISECOND
# The platform waits for the longest deadline of a request class before the kill, but no longer than this.
MAX_DEADLINE: Duration = 3 * SECOND
# Interval before the platform kills the process. When it begins, every final response has been given to the
# connection of its client. The connection writes the response during the interval.
RESPONSE_MARGIN: Duration = 250 * MILLISECOND
# Interval before the platform kills the process. When it begins, the process begins to exit.
EXIT_MARGIN: Duration = 100 * MILLISECOND
# Interval before the platform kills the process. When it begins, the process ends, even if some of its parts
# have not stopped yet.
END_MARGIN: Duration = 70 * MILLISECOND
# Seconds that clients have to close their connections after their last response.
CLIENT_CLOSE_S = 1.0
# Longest waits in seconds for the threads of the shared store to end, and for the last lines of the log to be
# written. Both waits are shortened if less time remains until the process must end.
STORE_CLOSE_TIMEOUT_S = 1.0
LOG_CLOSE_TIMEOUT_S = 1.0
# Time between two checks of whether all clients have closed their connections.
CHECK_INTERVAL: Duration = 10 * MILLISECOND


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Times of one graceful shutdown, on the proxy's clock."""

    accept_until: Instant
    respond_by: Instant
    exit_by: Instant
    end_by: Instant

    @classmethod
    def from_start(cls, started_at: Instant, longest_deadline: Duration) -> ShutdownSchedule:
        """Returns the schedule of a shutdown that starts at `started_at`.

        `longest_deadline` is the longest of the deadlines of all request classes.
        """
        killed_at = started_at + min(longest_deadline, MAX_DEADLINE) + ACCEPT_FOR
        return cls(
            accept_until=started_at + ACCEPT_FOR,
            respond_by=killed_at - RESPONSE_MARGIN,
            exit_by=killed_at - EXIT_MARGIN,
            end_by=killed_at - END_MARGIN,
        )


class GracefulShutdown:
    """The shutdown of one proxy. The main thread creates it after SIGTERM and runs it once.

    The callback `wait_until` waits for signals until the given time. A signal that requests a reload still
    has its effect, and a second SIGTERM has none. The callback `log_metrics` logs the last `metrics` event.
    """

    def __init__(
        self,
        parts: ProxyParts,
        wait_until: Callable[[Instant], object],
        log_metrics: Callable[[], None],
    ) -> None:
        self._parts = parts
        self._clock = parts.clock
        self._downstream = parts.downstream
        self._wait_until = wait_until
        self._log_metrics = log_metrics
        longest_deadline = max(spec.deadline for spec in parts.config.settings.classes.values())
        self._schedule = ShutdownSchedule.from_start(parts.clock.now(), longest_deadline)

    @property
    def respond_by(self) -> Instant:
        """Time by which every pending request gets its final response. No attempt begins after this time."""
        return self._schedule.respond_by

    def run(self) -> None:
        """Runs all steps of the shutdown.

        Returns when all clients have closed their connections and the log is written, or when the time for
        these steps is over.
        """
        self._log_connections("draining")
        self._drain()
        open_connections = self._stop_accepting()
        self._wait_for_clients(open_connections)
        self._stop_parts()

    def _log_connections(self, event: str) -> None:
        self._parts.log.event(
            event,
            pending_requests=self._parts.event_loop.pending_count,
            connections=self._downstream.open_count,
        )

    def _drain(self) -> None:
        """Continues to accept connections until `accept_until`.

        During this time, health checks fail, and every response ends the connection on which it is sent.
        """
        self._downstream.drain()
        self._parts.event_loop.post(ShutdownDeadline(self._schedule.respond_by))
        while self._clock.now() < self._schedule.accept_until:
            self._wait_until(self._schedule.accept_until)

    def _stop_accepting(self) -> list[ConnectionLifecycle]:
        """Closes idle connections and the listener.

        Returns the connections on which a request or a response is still in progress.
        """
        open_connections = self._downstream.close_idle()
        self._downstream.stop_accepting(min(ACCEPT_STOP_TIMEOUT_S, self._remaining_s(self._schedule.exit_by)))
        return open_connections

    def _wait_for_clients(self, open_connections: list[ConnectionLifecycle]) -> None:
        """Waits until the clients have their responses and have closed their connections.

        The wait ends `CLIENT_CLOSE_S` after the last pending response was written, and at `exit_by` at the
        latest. A client does not know that its connection ends if the last response on that connection did
        not announce it. The proxy therefore closes each of `open_connections` when that connection becomes
        idle.
        """
        closed_by = self._clock.now() + int(CLIENT_CLOSE_S * SECOND)
        while self._downstream.open_count and self._clock.now() < self._schedule.exit_by:
            if self._downstream.has_pending_responses:
                closed_by = self._clock.now() + int(CLIENT_CLOSE_S * SECOND)
            elif self._clock.now() >= closed_by:
                return
            self._wait_until(self._clock.now() + CHECK_INTERVAL)
            open_connections = [
                connection for connection in open_connections if not connection.close_if_idle()
            ]

    def _stop_parts(self) -> None:
        """Stops the parts that are still running, and waits for them until `end_by` at the latest.

        The shared store gets at most half of the time that remains until `end_by`, so that the other half
        remains for the log.
        """
        parts = self._parts
        end_by = self._schedule.end_by
        parts.discovery.stop()
        parts.downstream.stop_watching()
        if parts.shared_store is not None:
            parts.shared_store.close(min(STORE_CLOSE_TIMEOUT_S, self._remaining_s(end_by) / 2))
        self._log_metrics()
        self._log_connections("stopped")
        parts.event_loop.post(StopEventLoop())
        parts.log.close(min(LOG_CLOSE_TIMEOUT_S, self._remaining_s(end_by)))

    def _remaining_s(self, until: Instant) -> float:
        return max(0, until - self._clock.now()) / SECOND
