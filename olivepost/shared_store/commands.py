"""Tracking of the commands whose replies are pending.

Each command has a ticket, a number that connects a reply with its command. The number of pending commands is
limited, and the successes and failures of commands are recorded in the stores' circuit breakers.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from olivepost.shared_store.context import CoordinatorContext
from olivepost.shared_store.messages import StoreCommand
from olivepost.shared_store.operations import StoreOperation
from olivepost.shared_store.store_health import StoreHealth
from olivepost.units import Instant

# Largest number of pending commands, of all stores together. Further commands are dropped. A request whose
# lookup is dropped gets no hint, but does not fail.
MAX_PENDING_COMMANDS = 4_096

ReplyValues = tuple[object, ...]

ReplyHandler = Callable[[Instant, ReplyValues | None], None]
"""Callback with the current time and a reply's values, or with `None` if the reply is lost or not current."""


@dataclass(slots=True)
class PendingCommand:
    """A command whose reply is pending.

    `generation` is the store's generation when the command was sent. `confirmed_serial` is the serial (the
    number) of the last sync that the store had confirmed when the command was sent.
    """

    store: StoreHealth
    operation: StoreOperation
    sent_at: Instant
    generation: int
    confirmed_serial: int
    on_reply: ReplyHandler
    has_failed: bool = False  # whether the circuit breaker has recorded a failure of this command


class CommandTracker:
    """The pending commands, by ticket. Only the coordinator's thread uses this class."""

    def __init__(self, context: CoordinatorContext) -> None:
        self._context = context
        self._pending: dict[int, PendingCommand] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def send(
        self,
        now: Instant,
        store: StoreHealth,
        operation: StoreOperation,
        on_reply: ReplyHandler,
        *,
        is_urgent: bool = False,
    ) -> bool:
        """Sends an operation and returns True.

        If too many commands are pending, drops the operation, returns False and never calls `on_reply`.
        """
        if len(self._pending) >= MAX_PENDING_COMMANDS:
            self._context.counts["commands_dropped"] += 1
            return False
        ticket = self._context.issue_ticket()
        self._pending[ticket] = PendingCommand(
            store, operation, now, store.generation, store.confirmed_serial, on_reply
        )
        self._context.send_command(StoreCommand(ticket, store.name, operation, is_urgent))
        return True

    def complete(self, now: Instant, ticket: int) -> PendingCommand | None:
        """Removes and returns the pending command that has `ticket`, the ticket of a reply.

        Returns `None` if no pending command has the ticket, for example if the reply is a second one.
        """
        command = self._pending.pop(ticket, None)
        if command is None:
            self._context.counts["replies_unmatched"] += 1
            return None
        if self._is_late(now, command):
            self._record_failure(now, command)
        elif not command.has_failed:
            command.store.breaker.record_success(now)
        return command

    def fail(self, now: Instant, ticket: int) -> None:
        """Ends the command that has `ticket`, because the command's reply is lost.

        Records the failure in the store's circuit breaker, and calls `on_reply` with `None`. Does nothing if
        no pending command has the ticket.
        """
        command = self._pending.pop(ticket, None)
        if command is None:
            return
        self._context.counts["replies_lost"] += 1
        self._record_failure(now, command)
        command.on_reply(now, None)

    def record_overdue(self, now: Instant) -> None:
        """Records a failure for each command whose reply is overdue.

        The failure is recorded early, because the reply, or the news of its loss, may come much later.
        """
        for command in self._pending.values():
            if self._is_late(now, command):
                self._record_failure(now, command)

    def _is_late(self, now: Instant, command: PendingCommand) -> bool:
        return now - command.sent_at > self._context.terms.reply_timeout

    def _record_failure(self, now: Instant, command: PendingCommand) -> None:
        """Records a command's failure in its store's circuit breaker, at most once."""
        if not command.has_failed:
            command.has_failed = True
            command.store.breaker.record_failure(now)
