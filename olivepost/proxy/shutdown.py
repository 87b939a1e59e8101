"""Graceful shutdown: what still comes after SIGTERM is accepted and answered, then everything closes.

After SIGTERM the platform waits for the longest deadline, three seconds at most, and for as long as clients
may still come, before it kills the process. Every pending request gets its final response some time before
that, and the process ends.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from olivepost.proxy.downstream.listener import ACCEPT_STOP_TIMEOUT_S
from olivepost.proxy.messages import ShutdownDeadline, StopEventLoop
from olivepost.units import MILLISECOND, SECOND, Duration, Instant

if TYPE_CHECKING:
    from olivepost.proxy.server import ProxyServer

# After SIGTERM for which clients still connect and send; a busy proxy has to read it all.
ACCEPT_FOR: Duration = 700 * MILLISECOND
# The platform waits for the longest deadline of a class, but no longer than this.
MAX_DEADLINE: Duration = 3 * SECOND
# Before the kill by which every final response is given to its connection: they have yet to be written.
RESPONSE_MARGIN: Duration = 250 * MILLISECOND
# Before the kill by which the process begins to end.
EXIT_MARGIN: Duration = 100 * MILLISECOND
# That clients have to close their connections after their last response.
CLIENT_CLOSE_S = 1.0
# Between two checks whether all clients have closed.
CHECK_INTERVAL: Duration = 10 * MILLISECOND


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The times of a graceful shutdown, in nanoseconds on the proxy's clock."""

    accept_until: int
    respond_by: Instant
    exit_by: int

    @classmethod
    def from_start(cls, started_at: Instant, longest_deadline: int) -> ShutdownSchedule:
        """The schedule of a shutdown that starts now, where a class's requests may take so long."""
        killed_at = started_at + min(longest_deadline, MAX_DEADLINE) + ACCEPT_FOR
        return cls(
            accept_until=started_at + ACCEPT_FOR,
            respond_by=killed_at - RESPONSE_MARGIN,
            exit_by=killed_at - EXIT_MARGIN,
        )


class GracefulShutdown:
    """One proxy's shutdown; the thread that waits for signals runs it.

    `wait_until` waits for signals until a time; a reload is still carried out, a second SIGTERM is ignored.
    """

    def __init__(self, proxy: ProxyServer, wait_until: Callable[[int], object]) -> None:
        self._proxy = proxy
        self._wait_until = wait_until
        longest_deadline = max(spec.deadline for spec in proxy.config.settings.classes.values())
        self._schedule = ShutdownSchedule.from_start(proxy.clock.now(), longest_deadline)

    def run(self) -> None:
        """Returns with nothing open and the log written."""
        self._log_connections("draining")
        self._drain()
        self._stop_accepting()
        self._wait_for_clients()
        self._stop_parts()

    def _log_connections(self, event: str) -> None:
        proxy = self._proxy
        proxy.log.event(
            event,
            pending_requests=proxy.event_loop.pending_count,
            connections=proxy.downstream.open_count,
        )

    def _drain(self) -> None:
        """Goes on accepting, with health checks failing and every response closing its connection."""
        self._proxy.downstream.drain()
        self._proxy.event_loop.post(ShutdownDeadline(self._schedule.respond_by))
        while self._proxy.clock.now() < self._schedule.accept_until:
            self._wait_until(self._schedule.accept_until)

    def _stop_accepting(self) -> None:
        downstream = self._proxy.downstream
        downstream.close_idle()
        remaining_s = max(0, self._schedule.exit_by - self._proxy.clock.now()) / SECOND
        downstream.stop_accepting(min(ACCEPT_STOP_TIMEOUT_S, remaining_s))

    def _wait_for_clients(self) -> None:
        """Waits for pending responses, and then a little for the clients to close."""
        downstream = self._proxy.downstream
        close_s = CLIENT_CLOSE_S
        while self._proxy.clock.now() < self._schedule.exit_by and downstream.open_count and close_s > 0:
            if downstream.has_pending_responses:
                close_s = CLIENT_CLOSE_S
            else:
                close_s -= CHECK_INTERVAL / SECOND
            self._wait_until(self._proxy.clock.now() + CHECK_INTERVAL)

    def _stop_parts(self) -> None:
        proxy = self._proxy
        proxy.discovery.stop()
        if proxy.shared_store is not None:
            proxy.shared_store.close()
        proxy.downstream.stop_watching()
        proxy.log_metrics()
        self._log_connections("stopped")
        proxy.event_loop.post(StopEventLoop())
        proxy.log.close()
